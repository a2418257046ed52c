"""Health of targets as measured by this process, and the slot limits that follow.

The health endpoints of the targets themselves are only hints.
"""

from persimmonspoke.ids import Instant
from persimmonspoke.internal.scheduling.api import SlotOutcome

_SMOOTHING = 0.1
_INITIAL_PENALTY_S = 0.05
_MAX_PENALTY_S = 2.0
_MIN_CUT_INTERVAL_S = 0.1


class TargetHealth:
    """Latency and failures of one endpoint, as measured on this host.

    Attributes
    ----------
    latency_s : float
        Smoothed answer time; 0 before the first answer.
    avoid_until : Instant
        Until then the endpoint is used only if no other is available.
    answered, troubled : int
        Number of requests that were answered, and that were shed or failed.
    """

    __slots__ = ("latency_s", "avoid_until", "answered", "troubled", "_penalty_s")

    def __init__(self):
        self.latency_s = 0.0
        self.avoid_until = Instant(float("-inf"))
        self.answered = 0
        self.troubled = 0
        self._penalty_s = _INITIAL_PENALTY_S

    def record(self, outcome: SlotOutcome, took_s: float, now: Instant) -> None:
        """Record the outcome of one request."""
        if outcome is SlotOutcome.ANSWERED:
            self.answered += 1
            self._penalty_s = _INITIAL_PENALTY_S
            if self.latency_s:
                self.latency_s += _SMOOTHING * (took_s - self.latency_s)
            else:
                self.latency_s = took_s
        elif outcome is not SlotOutcome.CANCELLED:
            self.troubled += 1
            self.avoid_until = Instant(now + self._penalty_s)
            self._penalty_s = min(2 * self._penalty_s, _MAX_PENALTY_S)


class SlotLimit:
    """The number of slots of one endpoint that may be lent at a time.

    Each answer raises the limit a little, a shed or failed request halves it, and a
    target that has just joined starts with one slot.  So the load of cold targets
    grows slowly, and a target that sheds gets less work until it answers again.

    Parameters
    ----------
    slots : int
        Slots of the endpoint according to its configuration.
    cold : bool
        Whether the endpoint has just joined.
    """

    def __init__(self, slots: int, cold: bool):
        self.slots = slots
        self._limit = 1.0 if cold else float(slots)
        self._cut_at = Instant(float("-inf"))

    def now(self) -> int:
        """Return the slots that may be lent, at least 1."""
        return int(min(self._limit, self.slots))

    def answered(self, count: int) -> None:
        """Raise the limit after `count` answers."""
        if self._limit < self.slots:
            self._limit = min(self.slots, self._limit + count / (4 * self._limit))

    def troubled(self, now: Instant) -> None:
        """Halve the limit because the endpoint shed or failed requests."""
        if now - self._cut_at >= _MIN_CUT_INTERVAL_S:
            self._limit = max(1.0, min(self._limit, self.slots) / 2)
            self._cut_at = now
