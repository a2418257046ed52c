"""Exponential decay of counts that costs nothing while no events arrive."""

import math

from persimmonspoke.ids import Instant

_MAX_EXPONENT = 40.0


class ExponentialDecay:
    """Weights of events that grow with time, so that older events count less.

    Instead of scaling all counts down as time passes, each new event is added with a
    larger weight; a count divided by the current weight is the decayed count.  The
    user of the class rescales all its counts before the numbers grow too large.

    Parameters
    ----------
    half_life_s : float
        Time in which a count decays to one half.
    now : Instant
        The current time.
    """

    __slots__ = ("_rate", "_start")

    def __init__(self, half_life_s: float, now: Instant):
        self._rate = math.log(2) / half_life_s
        self._start = now

    def weight(self, now: Instant) -> float:
        """Return the weight of an event at `now`."""
        return math.exp((now - self._start) * self._rate)

    def needs_rescale(self, now: Instant) -> bool:
        """Return whether counts have grown so large that they must be rescaled."""
        return (now - self._start) * self._rate > _MAX_EXPONENT

    def rescale(self, now: Instant) -> float:
        """Give events at `now` the weight 1; return the factor for existing counts."""
        factor = 1.0 / self.weight(now)
        self._start = now
        return factor

    def per_second(self) -> float:
        """Return the factor that turns a decayed count into events a second."""
        return self._rate
