"""What this process has seen of its targets; their own endpoints are only hints."""

from persimmonspoke.ids import Instant
from persimmonspoke.internal.scheduling.api import SlotOutcome

_SMOOTHING = 0.1
_FIRST_PENALTY_S = 0.05
_LONGEST_PENALTY_S = 2.0
_CUT_PERIOD_S = 0.1


class TargetHealth:
    """One host's experience of one endpoint.

    Attributes
    ----------
    latency_s : float
        Smoothed time of answers; 0 until there was one.
    avoid_until : Instant
        Until then the endpoint is used only if no other will do.
    """

    __slots__ = ("latency_s", "avoid_until", "answered", "troubled", "_penalty_s")

    def __init__(self):
        self.latency_s = 0.0
        self.avoid_until = Instant(float("-inf"))
        self.answered = 0
        self.troubled = 0
        self._penalty_s = _FIRST_PENALTY_S

    def note(self, outcome: SlotOutcome, took_s: float, now: Instant) -> None:
        """Take in how one request ended."""
        if outcome is SlotOutcome.ANSWERED:
            self.answered += 1
            self._penalty_s = _FIRST_PENALTY_S
            if self.latency_s:
                self.latency_s += _SMOOTHING * (took_s - self.latency_s)
            else:
                self.latency_s = took_s
        elif outcome is not SlotOutcome.CANCELLED:
            self.troubled += 1
            self.avoid_until = Instant(now + self._penalty_s)
            self._penalty_s = min(2 * self._penalty_s, _LONGEST_PENALTY_S)


class SlotLimit:
    """How many slots of one endpoint may be lent now.

    Each answer raises the limit a little, trouble halves it, and a target that has
    just joined starts from one slot.  So cold targets are eased in, and a target
    that sheds gets less work until it answers again.

    Parameters
    ----------
    slots : int
        The endpoint's slots, by its configuration.
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
        """Take in `count` answers."""
        if self._limit < self.slots:
            self._limit = min(self.slots, self._limit + count / (4 * self._limit))

    def troubled(self, now: Instant) -> None:
        """Take in that the endpoint shed or failed requests."""
        if now - self._cut_at >= _CUT_PERIOD_S:
            self._limit = max(1.0, min(self._limit, self.slots) / 2)
            self._cut_at = now
