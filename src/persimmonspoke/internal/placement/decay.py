"""Counts that fade with time, at no cost while nothing happens."""

import math

from persimmonspoke.ids import Instant

_LARGEST_EXPONENT = 40.0


class Fading:
    """Weights that make newer counts outweigh older ones.

    Instead of shrinking every count as time passes, each new one counts for more;
    dividing by the weight of the present gives the faded count.  Now and then the
    holder scales all its counts down, before the numbers grow too large.

    Parameters
    ----------
    half_life_s : float
        Time in which a count fades to one half.
    now : Instant
        The present.
    """

    __slots__ = ("_rate", "_start")

    def __init__(self, half_life_s: float, now: Instant):
        self._rate = math.log(2) / half_life_s
        self._start = now

    def weight(self, now: Instant) -> float:
        """Return what one event at `now` counts for."""
        return math.exp((now - self._start) * self._rate)

    def must_rescale(self, now: Instant) -> bool:
        """Return whether counts have grown so large that they must be scaled."""
        return (now - self._start) * self._rate > _LARGEST_EXPONENT

    def rescale(self, now: Instant) -> float:
        """Make `now` the new start and return the factor for all counts."""
        factor = 1.0 / self.weight(now)
        self._start = now
        return factor

    def per_second(self) -> float:
        """Return the factor from a faded count to a rate in events a second."""
        return self._rate
