"""When a leader was last known to lead: by its store, or by the other hosts."""

import logging
from collections.abc import Callable

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

    def on_written(self, sent_at: Instant) -> None:
        """Record a successful write of the object, which was sent at `sent_at`."""
        self.written_at = max(self.written_at, sent_at)
        self._record(sent_at)

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
            self._write()
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
                log.info(
                    "leader: confirmed by other hosts",
                    extra={"store_age_s": round(asked_at - self.written_at, 3)},
                )
                self._record(asked_at)
        finally:
            self._is_asking = False

    def _record(self, asked_at):
        if asked_at > self.confirmed_at:
            self.confirmed_at = asked_at
            changed, self._changed = self._changed, Event()
            changed.send(None)
