"""How much work each shard gets."""

import heapq
from array import array
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Instant, ShardId
from persimmonspoke.internal.placement.decay import Fading


@dataclass(frozen=True, slots=True)
class ShardRate:
    """One shard and its requests a second."""

    shard: ShardId
    rate: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What one host saw of one service.

    Attributes
    ----------
    rest : float
        Requests a second to all shards that are not among `busiest`.
    """

    busiest: tuple[ShardRate, ...]
    rest: float


class ShardLoads:
    """Counts the requests of one service by shard.

    Parameters
    ----------
    shard_count : int
        Shards of the service.
    half_life_s : float
        Time in which a count fades to one half.
    """

    def __init__(self, shard_count: int, half_life_s: float, now: Instant):
        self._fading = Fading(half_life_s, now)
        self._counts = array("d", bytes(8 * shard_count))

    def add(self, shard: ShardId, now: Instant, work: float = 1.0) -> None:
        """Count one request, or `work` in any other unit."""
        if self._fading.must_rescale(now):
            factor = self._fading.rescale(now)
            self._counts = array("d", (count * factor for count in self._counts))
        self._counts[shard] += work * self._fading.weight(now)

    def rates(self, now: Instant) -> list[float]:
        """Return the requests a second of each shard."""
        scale = self._fading.per_second() / self._fading.weight(now)
        return [count * scale for count in self._counts]

    def report(self, most: int, now: Instant) -> LoadReport:
        """Return the `most` busiest shards by name, and the rest in one number."""
        rates = self.rates(now)
        names = heapq.nlargest(most, range(len(rates)), key=rates.__getitem__)
        busiest = tuple(ShardRate(ShardId(n), rates[n]) for n in names if rates[n] > 0)
        rest = sum(rates) - sum(entry.rate for entry in busiest)
        return LoadReport(busiest, max(0.0, rest))


def merge(reports: Iterable[LoadReport], shard_count: int) -> list[float]:
    """Return the requests a second of each shard, over all hosts.

    What a report does not name is spread evenly over the shards it does not name.
    """
    rates = [0.0] * shard_count
    common = 0.0
    for report in reports:
        unnamed = shard_count - len(report.busiest)
        each = report.rest / unnamed if unnamed else 0.0
        common += each
        for entry in report.busiest:
            rates[entry.shard] += entry.rate - each
    return [max(0.0, rate + common) for rate in rates]
