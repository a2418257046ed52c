"""The request rate of each key, and the mean service time of each target."""

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import accumulate

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.speeds import TargetSpeeds
from persimmonspoke.internal.targets.rate_limits import UNLIMITED

MIN_RATE = 0.02  # requests a second; keys with a lower rate are dropped


class Loads:
    """Recent load of all keys, added up over the reports of all hosts.

    Parameters
    ----------
    load_s : float
        Time constant of the decay.
    speeds : TargetSpeeds or None
        Speeds that are learned elsewhere; if None, `add` learns them.
    limit_of : callable
        Returns the requests a second that a target may get as far as this host knows;
        the limits in the reports of other hosts count as well.
    """

    def __init__(
        self,
        load_s: float,
        speeds: TargetSpeeds | None = None,
        limit_of: Callable[[TargetId], float] = lambda target_id: UNLIMITED,
    ):
        self._limit_of = limit_of
        self._time_constant_s = load_s
        self._rates: dict[ServiceId, Counter[int]] = {}
        self._sorted: dict[ServiceId, SortedLoad] = {}
        self._decayed_at: Instant | None = None
        self._learns_speeds = speeds is None
        self.speeds = TargetSpeeds() if speeds is None else speeds
        self._limits_per_s: dict[TargetId, float] = {}

    def add(
        self,
        loads: Iterable[tuple[ServiceId, int, int]],
        work: Sequence[tuple[TargetId, int, float, float]],
    ) -> None:
        """Add what one host measured since its last report.

        The loads count in the results only after the next call of `decay`.

        Parameters
        ----------
        loads : iterable of (service, key, requests)
        work : sequence of (target, requests answered, seconds that they took, limit)
            The rate limit is in requests a second; `UNLIMITED` without one.
        """
        for service, key, count in loads:
            rates = self._rates.setdefault(service, Counter())
            rates[key] += count / self._time_constant_s
        for target_id, _, _, limit_per_s in work:
            self._limits_per_s[target_id] = limit_per_s
        if self._learns_speeds:
            self.speeds.add(work)

    def decay(self, now: Instant) -> None:
        """Decay all loads to `now`, and make those added since the last call count."""
        if self._decayed_at is not None:
            factor = math.exp(-(now - self._decayed_at) / self._time_constant_s)
            for service, rates in self._rates.items():
                decayed = {key: rate * factor for key, rate in rates.items()}
                self._rates[service] = Counter(
                    {key: rate for key, rate in decayed.items() if rate >= MIN_RATE}
                )
        self._decayed_at = now
        self._sorted = {
            service: SortedLoad(rates) for service, rates in self._rates.items()
        }

    def service_s(self, target_id: TargetId) -> float:
        """Return a target's mean time for one request."""
        return self.speeds.service_s(target_id)

    def request_cost(self, target_id: TargetId, slots: int) -> float:
        """Return the utilisation that one request a second adds to a target.

        It is a share of the target's slots, or of its rate limit if that allows less.
        """
        limit_per_s = min(
            self._limits_per_s.get(target_id, UNLIMITED), self._limit_of(target_id)
        )
        return max(self.service_s(target_id) / slots, 1 / limit_per_s)

    def deviation(self, rate: float) -> float:
        """Return the standard deviation of a measured rate whose mean is `rate`."""
        return math.sqrt(rate / (2 * self._time_constant_s))

    def requests(self, rate: float) -> float:
        """Return about how many requests were counted for a measured rate."""
        return rate * self._time_constant_s

    def measured_share(self, age_s: float) -> float:
        """Return the part that is measured of a rate that began `age_s` ago."""
        return 1 - math.exp(-age_s / self._time_constant_s)

    def all_rates(self, service: ServiceId) -> Mapping[int, float]:
        """Return the rates of all keys of a service that have load, in no order."""
        return self._rates.get(service, {})

    def keys(self, service: ServiceId, entry: KeyRange) -> list[tuple[int, float]]:
        """Return the keys of a range that have load, in order, with their rates."""
        load = self._sorted.get(service)
        return load.items(entry.first, entry.last) if load is not None else []

    def rate(self, service: ServiceId, entry: KeyRange) -> float:
        """Return the requests a second for all keys of a range."""
        load = self._sorted.get(service)
        return load.total(entry.first, entry.last) if load is not None else 0.0


class SortedLoad:
    """The rates of one service's keys, sorted by key, with prefix sums."""

    def __init__(self, rates):
        self._keys = sorted(rates)
        self._rates = [rates[key] for key in self._keys]
        self._sums = [0.0, *accumulate(self._rates)]

    def items(self, first, last):
        """Return the keys from `first` to `last`, with their rates."""
        start, stop = self._bounds(first, last)
        return list(zip(self._keys[start:stop], self._rates[start:stop], strict=True))

    def total(self, first, last):
        """Return the rate of all keys from `first` to `last`."""
        start, stop = self._bounds(first, last)
        return self._sums[stop] - self._sums[start]

    def _bounds(self, first, last):
        return bisect_left(self._keys, first), bisect_right(self._keys, last)
