"""Measured service times by kind of request, and arriving work by rank."""

import math

from persimmonspoke.ids import Instant

DEFAULT_USUAL_S = 0.1  # used until a request of the kind has been answered
SMOOTHING = 0.05
ARRIVAL_DECAY_S = 1.0  # time constant of the measured arrival rate


class ServiceTimes:
    """Usual time of an answer of each kind of request, at a target of usual speed."""

    def __init__(self):
        self._usual_s: dict[str, float] = {}

    def of(self, kind: str) -> float:
        """Return the usual time of `kind`, in seconds."""
        return self._usual_s.get(kind, DEFAULT_USUAL_S)

    def longest(self) -> float:
        """Return the usual time of the slowest kind, in seconds."""
        return max(self._usual_s.values(), default=DEFAULT_USUAL_S)

    def record(self, kind: str, took_s: float, slowness: float) -> None:
        """Record an answer of a target that is `slowness` times as slow as usual."""
        usual_s = took_s / slowness
        previous = self._usual_s.get(kind)
        if previous is None:
            self._usual_s[kind] = usual_s
        else:
            self._usual_s[kind] = previous + SMOOTHING * (usual_s - previous)


class ArrivalRate:
    """Work arriving per second for one queue, by rank, with exponential decay."""

    def __init__(self):
        self._work: dict[int, tuple[float, Instant]] = {}

    def record(self, rank: int, usual_s: float, now: Instant) -> None:
        """Record the arrival of a request that usually takes `usual_s`."""
        self._work[rank] = (self._decayed(rank, now) + usual_s / ARRIVAL_DECAY_S, now)

    def rate_before(self, rank: int, now: Instant) -> float:
        """Return the work per second of all ranks that are served before `rank`."""
        return sum(self._decayed(other, now) for other in self._work if other < rank)

    def _decayed(self, rank, now):
        work, recorded_at = self._work.get(rank, (0.0, now))
        return work * math.exp(-(now - recorded_at) / ARRIVAL_DECAY_S)
