"""How many requests each key gets, and how long each target takes for one."""

import math
from collections import Counter
from collections.abc import Iterable

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
        """Let older load count less."""
        if self._decayed_at is not None:
            factor = math.exp(-(now - self._decayed_at) / self._load_s)
            for service, weights in self._weights.items():
                kept = {k: w * factor for k, w in weights.items()}
                self._weights[service] = Counter(
                    {k: w for k, w in kept.items() if w >= LEAST_WEIGHT}
                )
        self._decayed_at = now

    def service_s(self, target_id: TargetId) -> float:
        """Return how long the target takes for one request."""
        return self._service_s.get(target_id, FIRST_SERVICE_S)

    def keys(self, service: ServiceId, entry: KeyRange) -> list[tuple[int, float]]:
        """Return the loaded keys of a range, in order, with requests a second."""
        weights = self._weights.get(service, {})
        return sorted(
            (key, weight)
            for key, weight in weights.items()
            if entry.first <= key <= entry.last
        )

    def rate(self, service: ServiceId, entry: KeyRange) -> float:
        """Return the requests a second of one range."""
        return sum(weight for _, weight in self.keys(service, entry))
