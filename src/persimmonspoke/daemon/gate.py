"""Admission of callers' requests, and the number of requests in flight."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

POLL_INTERVAL_S = 0.02


class HostGate:
    """Implements `persimmonspoke.internal.callers.api.Gate`.

    Parameters
    ----------
    is_ready : callable
        Returns whether this host may serve requests, for instance by its lease.

    Attributes
    ----------
    draining : bool
        Whether an operator has taken this host out of service.
    leaving : bool
        Whether requests are still accepted, but each response closes its connection.
    stopping : bool
        Whether the process is about to end.
    late_from, ends_at : Instant or None
        Requests that come from `late_from` on are admitted only if they end before
        `ends_at`; None while the host does not stop.
    in_flight : int
        Number of requests in flight, that is, not yet answered.
    """

    def __init__(self, is_ready: Callable[[], bool], clock: Clock):
        self._is_ready = is_ready
        self._clock = clock
        self.draining = False
        self.leaving = False
        self.stopping = False
        self.late_from: Instant | None = None
        self.ends_at: Instant | None = None
        self.in_flight = 0

    def open(self) -> bool:
        """Return whether the host accepts new requests."""
        return not self.draining and not self.stopping and self._is_ready()

    def may_last_until(self, deadline: Instant) -> bool:
        """Return whether a request that comes now may last until `deadline`."""
        if self.late_from is None or self._clock.now() < self.late_from:
            return True
        return deadline <= self.ends_at

    @contextmanager
    def admitted(self) -> Iterator[None]:
        """Count one request as in flight for as long as the context lasts."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def wait_until_idle(self, deadline: Instant) -> bool:
        """Wait until no request is in flight; return whether that was in time."""
        while self.in_flight and self._clock.now() < deadline:
            self._clock.sleep_until(Instant(self._clock.now() + POLL_INTERVAL_S))
        return self.in_flight == 0
