"""Measured service times by kind of request, and arriving work by rank."""

import math

from persimmonspoke.ids import Instant

DEFAULT_TYPICAL_S = 0.1  # used until a request of the kind has been answered
SMOOTHING = 0.05
ARRIVAL_DECAY_S = 1.0  # time constant of the measured arrival rate


class ServiceTimes:
    """Typical answer time of each kind of request, at a target of slowness 1."""

    def __init__(self):
        self._typical_s: dict[str, float] = {}

    def of(self, kind: str) -> float:
        """Return the typical time of `kind`, in seconds."""
        return self._typical_s.get(kind, DEFAULT_TYPICAL_S)

    def longest(self) -> float:
        """Return the typical time of the slowest kind, in seconds."""
        return max(self._typical_s.values(), default=DEFAULT_TYPICAL_S)

    def record(self, kind: str, took_s: float, slowness: float) -> None:
        """Record the answer time of one request, at a target of `slowness`."""
        typical_s = took_s / slowness
        previous = self._typical_s.get(kind)
        if previous is None:
            self._typical_s[kind] = typical_s
        else:
            self._typical_s[kind] = previous + SMOOTHING * (typical_s - previous)


class ArrivalRate:
    """Work arriving per second for one queue, by rank, with exponential decay."""

    def __init__(self):
        self._work: dict[int, tuple[float, Instant]] = {}

    def record(self, rank: int, typical_s: float, now: Instant) -> None:
        """Record the arrival of a request whose typical answer time is `typical_s`."""
        self._work[rank] = (self._decayed(rank, now) + typical_s / ARRIVAL_DECAY_S, now)

    def rate_before(self, rank: int, now: Instant) -> float:
        """Return the work per second of all ranks that are served before `rank`."""
        return sum(self._decayed(other, now) for other in self._work if other < rank)

    def _decayed(self, rank, now):
        work, recorded_at = self._work.get(rank, (0.0, now))
        return work * math.exp(-(now - recorded_at) / ARRIVAL_DECAY_S)
