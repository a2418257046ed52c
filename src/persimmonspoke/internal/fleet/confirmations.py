"""When a leader was last known to lead: by its store, or by the other hosts."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import AuthorityLapsed, StoreError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

SPACING_S = 0.03  # between two writes; connections opened together share one
STORE_FIRST_S = 0.1  # until other hosts are asked as well; the store takes milliseconds
STORE_SILENT_S = 1.5  # longer than from one periodic write to the answer to the next
RETRY_S = 0.1  # while neither the store nor other hosts have confirmed

LONG_AGO = Instant(float("-inf"))

log = logging.getLogger(__name__)


class ConfirmationSource(Enum):
    """Who has confirmed a leader."""

    STORE = "store"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Evidence that no later leader had been elected when it was asked for.

    Attributes
    ----------
    heard, asked : int
        Number of other hosts that answered and that were asked; 0 if it is the store's.
    """

    asked_at: Instant
    source: ConfirmationSource
    heard: int = 0
    asked: int = 0

    def log_fields(self, now: Instant) -> dict:
        """Return the fields of a log line about what this confirmation allowed."""
        fields = {
            "confirmed_by": self.source.value,
            "confirmed_age_s": round(now - self.asked_at, 3),
        }
        if self.source is ConfirmationSource.HOSTS:
            fields["confirmed_by_hosts"] = [self.heard, self.asked]
        return fields


class Confirmations:
    """Confirms, on request, that this host has led until now.

    A confirmation is about the moment at which it was asked for: no other host had
    been elected by then.

    Parameters
    ----------
    write : callable
        Writes the object that names the leader; raises `StoreError`, or
        `AuthorityLapsed` if another host has been elected.  Calls `on_written`.
    ask_hosts : callable
        Asks other hosts; returns whether enough of them know of no later leader.

    Attributes
    ----------
    written_at : Instant
        When the last successful write of the object was sent.
    confirmed_at : Instant
        Latest moment of which a confirmation is known.
    latest : Confirmation or None
        The confirmation of that moment.
    surveyed : tuple of int
        Hosts that answered and that were asked, as last noted by `ask_hosts`.
    """

    def __init__(
        self, clock: Clock, write: Callable[[], None], ask_hosts: Callable[[], bool]
    ):
        self._clock = clock
        self._write = write
        self._ask_hosts = ask_hosts
        self._changed = Event()
        self._is_writing = False
        self._is_asking = False
        self.written_at = LONG_AGO
        self.confirmed_at = LONG_AGO
        self.latest: Confirmation | None = None
        self.surveyed = (0, 0)

    def on_written(self, sent_at: Instant) -> None:
        """Record a successful write of the object, which was sent at `sent_at`."""
        self.written_at = max(self.written_at, sent_at)
        self._record(Confirmation(sent_at, ConfirmationSource.STORE))

    def wait_for(self, since: Instant, deadline: Instant) -> bool:
        """Wait for a confirmation about `since` or later; return whether there is one.

        The store is asked first, and other hosts if it does not answer at once.  One
        that has been silent gets no more than the periodic writes of the leader.
        """
        while self.confirmed_at < since:
            left_s = deadline - self._clock.now()
            if left_s <= 0:
                return False
            changed = self._changed
            self._request(since)
            with eventlet.Timeout(min(left_s, RETRY_S), False):
                changed.wait()
        return True

    def _store_is_silent(self):
        return self._clock.now() - self.written_at >= STORE_SILENT_S

    def _request(self, since):
        if not (self._is_writing or self._store_is_silent()):
            self._is_writing = True
            eventlet.spawn_n(self._confirm_by_store)
        if not self._is_asking:
            self._is_asking = True
            eventlet.spawn_n(self._confirm_by_hosts, since)

    def _confirm_by_store(self):
        try:
            self._clock.sleep_until(Instant(self.written_at + SPACING_S))
            asked_at = self._clock.now()
            self._write()
            if self.written_at >= asked_at:
                log.info(
                    "leader: confirmed by the store",
                    extra={"took_s": round(self._clock.now() - asked_at, 3)},
                )
        except (StoreError, AuthorityLapsed) as exc:
            log.info("leader: not confirmed", extra={"reason": repr(exc)})
        finally:
            self._is_writing = False

    def _confirm_by_hosts(self, since):
        """Ask other hosts, unless the store confirms this host in time."""
        try:
            if not self._store_is_silent():
                ask_at = Instant(self._clock.now() + STORE_FIRST_S)
                self._clock.sleep_until(ask_at)
            if self.confirmed_at >= since:
                return
            asked_at = self._clock.now()
            if self._ask_hosts():
                heard, asked = self.surveyed
                log.info(
                    "leader: confirmed by other hosts",
                    extra={
                        "store_age_s": round(asked_at - self.written_at, 3),
                        "heard": heard,
                        "asked": asked,
                    },
                )
                source = ConfirmationSource.HOSTS
                self._record(Confirmation(asked_at, source, heard, asked))
        finally:
            self._is_asking = False

    def _record(self, confirmation):
        if confirmation.asked_at > self.confirmed_at:
            self.confirmed_at = confirmation.asked_at
            self.latest = confirmation
            changed, self._changed = self._changed, Event()
            changed.send(None)
