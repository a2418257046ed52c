"""Whether this host's list of targets is new enough to send requests by it.

A target that leaves may get no request later than a bound.  A host that has not heard
for nearly so long which targets there are can't tell whether one of them has left: it
may have been paused, short of processor time, or without an answer of its relays.  It
lists the targets itself then, and holds requests until it knows.  If the store does not
answer it, its list is used however old, since to refuse would cost every caller.
"""

import logging
from typing import Protocol

import eventlet
from eventlet.event import Event
from pydantic import BaseModel, ConfigDict

from persimmonspoke.errors import DeadlinePassed, StoreError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.settings import (
    APPLY_SHARE,
    LIST_TIMEOUT_SHARE,
    SEND_ASK_SHARE,
    SEND_SHARE,
)

MAX_TRIES = 3  # of a host that is late itself, and can't tell whether the store is away
AWAY_S = 1.0  # for which a failed listing shows that the store is away
MIN_LATE_S = 0.1  # delays of this process that may have cost the answer

log = logging.getLogger(__name__)


class FreshnessLimits(BaseModel):
    """Ages of the proof that the known targets are the newest.

    Attributes
    ----------
    ask_s : float
        Age from which requests make this host list the targets.
    send_s : float
        Age up to which requests are sent.
    timeout_s : float
        How long to wait for a listing.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    ask_s: float = float("inf")
    send_s: float = float("inf")
    timeout_s: float = 0.3

    @classmethod
    def within(cls, bound_s: float) -> "FreshnessLimits":
        """Return the limits that keep a bound for targets that leave."""
        return cls(
            ask_s=SEND_ASK_SHARE * bound_s,
            send_s=SEND_SHARE * bound_s,
            timeout_s=LIST_TIMEOUT_SHARE * bound_s,
        )

    def unkept(self, bound_s: float) -> dict[str, float]:
        """Return ages that leave too little of a bound for the way, by what fails."""
        is_kept = self.send_s <= (1 - APPLY_SHARE) * bound_s
        return {} if is_kept else {"this process was away": self.send_s}


class TargetsSource(Protocol):
    """What a host knows of the store's entries of targets."""

    def targets_proven_at(self) -> Instant | None:
        """Return when the known entries were last proven to be the newest, if ever."""

    def apply_targets(self) -> None:
        """Put the entries that have arrived into force."""

    def list_targets(self, timeout_s: float) -> None:
        """List the entries, or raise `StoreError`."""

    def store_is_away(self) -> bool:
        """Return whether the store has just left a check without an answer."""

    def late_since(self, since: Instant) -> float:
        """Return the longest delay of this process since an instant, in seconds."""


class FreshTargets:
    """Decides whether requests may be sent by the present list of targets.

    Attributes
    ----------
    held : int
        Number of requests that had to wait so far.
    listings : int
        Number of listings that requests have caused so far.
    """

    def __init__(self, cfg: FreshnessLimits, clock: Clock, source: TargetsSource):
        self._cfg = cfg
        self._clock = clock
        self._source = source
        self._is_listing = False
        self._away_until = Instant(float("-inf"))
        self._changed = Event()
        self.held = 0
        self.listings = 0

    def may_send(self) -> bool:
        """Return whether the list is new enough, or can't be renewed; never waits."""
        self._source.apply_targets()
        return self._age_s() <= self._cfg.send_s or self._is_away()

    def wait(self, deadline: Instant) -> None:
        """Return once `may_send()`.

        Raises
        ------
        DeadlinePassed
            The deadline has passed before.
        """
        if self._age_s() > self._cfg.ask_s:
            self._list()
        if self.may_send():
            return
        self.held += 1
        began_at, age_s = self._clock.now(), self._age_s()
        while not self.may_send():
            left_s = deadline - self._clock.now()
            if left_s <= 0:
                raise DeadlinePassed(
                    "this host could not learn in time which targets are leaving"
                )
            self._list()
            with eventlet.Timeout(left_s, False):
                self._changed.wait()
        log.info(
            "targets: request held until the list was new enough",
            extra={
                "held_s": round(self._clock.now() - began_at, 3),
                "age_s": round(age_s, 3),
                "away": self._is_away(),
            },
        )

    def wake(self) -> None:
        """Let held requests look again: something new is proven."""
        fired, self._changed = self._changed, Event()
        fired.send()

    def _age_s(self):
        proven_at = self._source.targets_proven_at()
        return float("inf") if proven_at is None else self._clock.now() - proven_at

    def _is_away(self):
        return self._clock.now() <= self._away_until or self._source.store_is_away()

    def _list(self):
        """List the targets in a task of its own, unless one does or none can."""
        if not self._is_listing and not self._is_away():
            self._is_listing = True
            eventlet.spawn_n(self._list_until_fresh)

    def _list_until_fresh(self):
        try:
            for _ in range(MAX_TRIES):
                if self._age_s() <= self._cfg.ask_s or not self._try_to_list():
                    return
            self._record_away("no listing was in time")
        finally:
            self._is_listing = False
            self.wake()

    def _try_to_list(self):
        """List the targets; return whether another try can be of use."""
        began_at = self._clock.now()
        self.listings += 1
        try:
            self._source.list_targets(self._cfg.timeout_s)
        except StoreError as exc:
            if self._source.late_since(began_at) < MIN_LATE_S:
                self._record_away(str(exc))
                return False
        except Exception as exc:
            # A request that waits would ask again at once.
            log.exception("targets: the listing failed by a fault of this host")
            self._record_away(str(exc))
            return False
        return True

    def _record_away(self, cause):
        self._away_until = Instant(self._clock.now() + AWAY_S)
        log.info(
            "targets: the list can't be renewed",
            extra={"cause": cause, "age_s": round(self._age_s(), 3)},
        )
