"""Speed and spread of the answer times of one target."""

SMOOTHING = 0.05  # the spread needs more answers than the mean
INITIAL_VARIATION = 0.25
MIN_VARIATION = 0.05
MAX_VARIATION = 1.0
MAX_RATIO = 8.0  # of one answer, so that a single one doesn't decide
FIRST_ANSWERS = 2  # weight of the initial estimate, in answers


class AnswerSpread:
    """Squared coefficient of variation of a target's answer times."""

    def __init__(self):
        self.answers = 0
        self._variation = INITIAL_VARIATION

    def of(self) -> float:
        """Return the squared coefficient of variation, within sensible bounds."""
        return min(max(self._variation, MIN_VARIATION), MAX_VARIATION)

    def record(self, ratio: float) -> None:
        """Record an answer time, relative to the time that was expected."""
        self.answers += 1
        deviation = min(ratio, MAX_RATIO) - 1
        self._variation += SMOOTHING * (deviation**2 - self._variation)

    def first_weight(self, smoothing: float) -> float:
        """Return the weight of the newest answer in a mean.

        The first answers of a target count for more than `smoothing`, so that its speed
        is known soon.
        """
        return max(smoothing, 1 / (self.answers + FIRST_ANSWERS))
