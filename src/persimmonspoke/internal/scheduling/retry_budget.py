"""A budget of retries, so that retries cannot feed an overload."""

from persimmonspoke.internal.scheduling.settings import SchedulingSettings


class RetryBudget:
    """Retries of one service, limited to a share of its first tries.

    Parameters
    ----------
    cfg : SchedulingSettings
        Gives the share and the most retries that can be saved up.
    """

    def __init__(self, cfg: SchedulingSettings):
        self._share = cfg.retry_share
        self._burst = cfg.retry_burst
        self._tokens = 0.0

    def limit(self, burst: float) -> None:
        """Let no more than `burst` retries be saved up, but always one."""
        self._burst = max(burst, self._price())
        self._tokens = min(self._tokens, self._burst)

    def tried(self) -> None:
        """Count one request that starts to wait for a slot."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry; return whether there was one.

        The retry waits for a slot again and is counted there; the price makes up
        for that, so that retries earn no further retries.
        """
        if self._tokens < self._price() - 1e-9:
            return False
        self._tokens -= self._price()
        return True

    def _price(self):
        return 1.0 + self._share
