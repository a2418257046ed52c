"""How many requests a target that names a rate limit may get at a time."""

import math

from persimmonspoke.ids import Instant
from persimmonspoke.internal.targets.rate_limits import UNLIMITED

BURST_S = 0.5  # the requests of half a second may be sent at once


class RateAllowance:
    """Token bucket of one target; each request takes one token.

    It starts empty, because the requests sent before, perhaps for another desk, are
    not known.

    Parameters
    ----------
    now : Instant
        When it starts to fill.
    """

    def __init__(self, now: Instant):
        self._tokens = 0.0
        self._filled_at = now

    def fill(self, limit_per_s: float, now: Instant) -> float:
        """Add the tokens of the time since the last call; return the number of tokens.

        While the target is `UNLIMITED`, the number is infinite.
        """
        passed_s, self._filled_at = now - self._filled_at, now
        if limit_per_s == UNLIMITED:
            self._tokens = 0.0
            return math.inf
        burst = max(1.0, BURST_S * limit_per_s)
        self._tokens = min(burst, self._tokens + passed_s * limit_per_s)
        return self._tokens

    def take(self) -> None:
        """Take the token of one request."""
        self._tokens -= 1.0
