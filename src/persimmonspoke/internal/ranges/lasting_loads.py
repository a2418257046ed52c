"""The load that lasts: averages over seconds, without hot spells."""

from collections import Counter

from persimmonspoke.ids import Instant
from persimmonspoke.internal.ranges.loads import Loads, SortedLoad
from persimmonspoke.internal.ranges.ranges import MAX_KEY, MIN_KEY
from persimmonspoke.internal.targets.rate_limits import UNLIMITED

KEYS_PER_BUCKET = 64  # neighbouring keys whose load is compared together
HOT_RATIO = 3.0  # load of a bucket over the mean from which it may be in a hot spell
DEVIATIONS = 2.5  # difference to shorter averages that is more than noise
BUCKETS = (MAX_KEY - MIN_KEY + 1) // KEYS_PER_BUCKET


class LastingLoads(Loads):
    """Loads in which keys count like any others while a hot spell changes their rate.

    A spell of 3 to 5 s is over before a long average follows it, and stays in that
    average for twice as long.  So where shorter averages differ clearly from it, the
    keys count with the mean load of all keys.

    Parameters
    ----------
    shorter : sequence of Loads
        Averages of the same reports over shorter times; they are decayed first.
    """

    def __init__(self, load_s, speeds, shorter, limit_of=lambda target_id: UNLIMITED):
        super().__init__(load_s, speeds, limit_of)
        self._shorter = tuple(shorter)

    def decay(self, now: Instant) -> None:
        """Decay all loads to `now`, and leave out hot spells."""
        super().decay(now)
        self._sorted = {
            service: SortedLoad(self._without_spells(service, rates))
            for service, rates in self._rates.items()
        }

    def _without_spells(self, service, rates):
        buckets = _by_bucket(rates)
        if not buckets:
            return rates
        mean = sum(buckets.values()) / BUCKETS
        hot = {b: rate for b, rate in buckets.items() if rate >= HOT_RATIO * mean}
        if not hot:
            return rates
        factors = {}
        for loads in self._shorter:
            recent = _by_bucket(loads.all_rates(service))
            for bucket, rate in hot.items():
                change = abs(recent.get(bucket, 0.0) - rate)
                if change > DEVIATIONS * loads.deviation(rate):
                    factors[bucket] = mean / rate
        return {
            key: rate * factors.get(key // KEYS_PER_BUCKET, 1.0)
            for key, rate in rates.items()
        }


def _by_bucket(rates):
    buckets = Counter()
    for key, rate in rates.items():
        buckets[key // KEYS_PER_BUCKET] += rate
    return buckets
