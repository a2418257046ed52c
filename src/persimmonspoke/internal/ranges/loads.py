"""How many requests each key gets, and how long each target takes for one."""

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable
from itertools import accumulate

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.ranges.ranges import KeyRange

SMOOTHING = 0.1
FIRST_SERVICE_S = 0.1  # until a target has answered; only ratios between targets count
LEAST_WEIGHT = 0.02  # requests a second; less is dropped


class Loads:
    """Recent load of all keys, as all hosts measured it together.

    Parameters
    ----------
    load_s : float
        Time constant of the decay.
    """

    def __init__(self, load_s: float):
        self._load_s = load_s
        self._weights: dict[ServiceId, Counter[int]] = {}
        self._sorted: dict[ServiceId, _SortedLoad] = {}
        self._decayed_at: Instant | None = None
        self._service_s: dict[TargetId, float] = {}

    def add(
        self,
        loads: Iterable[tuple[ServiceId, int, int]],
        work: Iterable[tuple[TargetId, int, float]],
    ) -> None:
        """Take in what one host measured since its last report.

        Parameters
        ----------
        loads : iterable of (service, key, requests)
        work : iterable of (target, requests answered, seconds that they took)
        """
        for service, key, count in loads:
            weights = self._weights.setdefault(service, Counter())
            weights[key] += count / self._load_s
        for target_id, answered, busy_s in work:
            mean = busy_s / answered
            known = self._service_s.get(target_id, mean)
            share = 1 - (1 - SMOOTHING) ** answered
            self._service_s[target_id] = known + share * (mean - known)

    def decay(self, now: Instant) -> None:
        """Let older load count less, and make the newest count at all."""
        if self._decayed_at is not None:
            factor = math.exp(-(now - self._decayed_at) / self._load_s)
            for service, weights in self._weights.items():
                kept = {k: w * factor for k, w in weights.items()}
                self._weights[service] = Counter(
                    {k: w for k, w in kept.items() if w >= LEAST_WEIGHT}
                )
        self._decayed_at = now
        self._sorted = {
            service: _SortedLoad(weights) for service, weights in self._weights.items()
        }

    def service_s(self, target_id: TargetId) -> float:
        """Return how long the target takes for one request."""
        return self._service_s.get(target_id, FIRST_SERVICE_S)

    def deviation(self, rate: float) -> float:
        """Return how far chance alone takes a measured rate from the true one."""
        return math.sqrt(rate / (2 * self._load_s))

    def keys(self, service: ServiceId, entry: KeyRange) -> list[tuple[int, float]]:
        """Return the loaded keys of a range, in order, with requests a second."""
        load = self._sorted.get(service)
        return load.items(entry.first, entry.last) if load is not None else []

    def rate(self, service: ServiceId, entry: KeyRange) -> float:
        """Return the requests a second of one range."""
        load = self._sorted.get(service)
        return load.total(entry.first, entry.last) if load is not None else 0.0


class _SortedLoad:
    """The loads of one service's keys, ready for sums over runs of keys."""

    def __init__(self, weights):
        self._keys = sorted(weights)
        self._weights = [weights[key] for key in self._keys]
        self._sums = [0.0, *accumulate(self._weights)]

    def items(self, first, last):
        start, stop = self._bounds(first, last)
        return list(zip(self._keys[start:stop], self._weights[start:stop], strict=True))

    def total(self, first, last):
        start, stop = self._bounds(first, last)
        return self._sums[stop] - self._sums[start]

    def _bounds(self, first, last):
        return bisect_left(self._keys, first), bisect_right(self._keys, last)
