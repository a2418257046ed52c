"""How long requests of each kind take, and how much work of each rank arrives."""

import math

from persimmonspoke.ids import Instant

FIRST_USUAL_S = 0.1  # until a request of the kind has been answered
SMOOTHING = 0.05
ARRIVALS_S = 1.0  # time constant of the measured arrivals


class UsualTimes:
    """Usual time of an answer of each kind of request, at a target of usual speed."""

    def __init__(self):
        self._usual_s: dict[str, float] = {}

    def of(self, kind: str) -> float:
        """Return the usual time of `kind`, in seconds."""
        return self._usual_s.get(kind, FIRST_USUAL_S)

    def longest(self) -> float:
        """Return the usual time of the longest kind, in seconds."""
        return max(self._usual_s.values(), default=FIRST_USUAL_S)

    def note(self, kind: str, took_s: float, slowness: float) -> None:
        """Take in one answer of a target that is `slowness` times as slow as usual."""
        usual_s = took_s / slowness
        known = self._usual_s.get(kind)
        if known is None:
            self._usual_s[kind] = usual_s
        else:
            self._usual_s[kind] = known + SMOOTHING * (usual_s - known)


class Arrivals:
    """Work that arrives for one queue, by rank; older arrivals count less."""

    def __init__(self):
        self._work: dict[int, tuple[float, Instant]] = {}

    def note(self, rank: int, usual_s: float, now: Instant) -> None:
        """Take in one request."""
        self._work[rank] = (self._now(rank, now) + usual_s / ARRIVALS_S, now)

    def above(self, rank: int, now: Instant) -> float:
        """Return the work a second of requests that go before `rank`."""
        return sum(self._now(other, now) for other in self._work if other < rank)

    def _now(self, rank, now):
        work, at = self._work.get(rank, (0.0, now))
        return work * math.exp(-(now - at) / ARRIVALS_S)
