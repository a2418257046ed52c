"""A retry budget, which keeps retries from increasing an overload."""

from persimmonspoke.internal.scheduling.settings import SchedulingSettings


class RetryBudget:
    """Token bucket that limits the retries of one service to a share of first attempts.

    Parameters
    ----------
    cfg : SchedulingSettings
        Has `retry_share`, the tokens gained with each attempt, and `retry_burst`, the
        size of the bucket.
    """

    def __init__(self, cfg: SchedulingSettings):
        self._share = cfg.retry_share
        self._burst = cfg.retry_burst
        self._tokens = 0.0

    def set_burst(self, burst: float) -> None:
        """Set the size of the bucket, which is always large enough for one retry."""
        self._burst = max(burst, self._cost())
        self._tokens = min(self._tokens, self._burst)

    def count_attempt(self) -> None:
        """Count one attempt, when it starts to wait for a slot."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_take(self) -> bool:
        """Take one retry from the budget; return whether one was left.

        The retry will be counted as an attempt, too.  Its cost includes the tokens
        gained by that, so that retries gain no further retries.
        """
        if self._tokens < self._cost() - 1e-9:
            return False
        self._tokens -= self._cost()
        return True

    def _cost(self):
        return 1.0 + self._share
