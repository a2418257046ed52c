"""Signs in a target's answers that it has become cold without saying so."""

from collections import deque

from persimmonspoke.ids import Instant
from persimmonspoke.internal.desk.momentary import MomentaryLoad

ANSWERS = 12  # fewer slow answers in a row come about by chance
# Of a target that is twice as slow; by chance 12 answers are 1.7 times as slow, and 11
# of them slower than usual, about once in 10^5 answers.
MIN_RATIO = 1.7
MAX_USUAL_ANSWERS = 1
# A machine is slowed for about 0.4 s at a time, a target is cold for some seconds.
MIN_SPAN_S = 0.8
USUAL_SMOOTHING = 0.02


class ColdSigns:
    """Compares the answer times of one target with its usual ones.

    A target that is cold is about twice as slow on all its requests.  Answers from
    moments at which its machine was slowed are not counted.
    """

    __slots__ = ("_recent", "_usual", "_count")

    def __init__(self):
        self._recent: deque[tuple[Instant, float]] = deque(maxlen=ANSWERS)
        self._usual = 1.0
        self._count = 0

    def record(self, ratio: float, assigned_at: Instant) -> None:
        """Record an answer time, as a multiple of the typical time of its kind."""
        if len(self._recent) == ANSWERS:
            # The recent answers are compared with those before them.
            self._count += 1
            share = max(USUAL_SMOOTHING, 1 / self._count)
            self._usual += share * (self._recent[0][1] - self._usual)
        self._recent.append((assigned_at, ratio))

    def look_cold(self, moment: MomentaryLoad, now: Instant) -> bool:
        """Return whether the target seems to have become cold.

        After that its present speed is its usual one: a target that stays slow is not
        cold.
        """
        slowdown = moment.take_lasting_slowdown(now)
        if slowdown < MIN_RATIO and not self._are_slow():
            return False
        if self._recent:
            ratios = [ratio for _, ratio in self._recent]
            self._usual = sum(ratios) / len(ratios)
            self._recent.clear()
        return True

    def _are_slow(self):
        """Return whether the recent answers are those of a target twice as slow."""
        if len(self._recent) < ANSWERS or self._count < 2 * ANSWERS:
            return False
        if self._recent[-1][0] - self._recent[0][0] < MIN_SPAN_S:
            return False
        ratios = [ratio / self._usual for _, ratio in self._recent]
        usual = sum(ratio < 1.0 for ratio in ratios)
        return usual <= MAX_USUAL_ANSWERS and sum(ratios) >= MIN_RATIO * ANSWERS
