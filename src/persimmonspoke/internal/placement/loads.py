"""The load of each shard, as counted by one host and merged over hosts."""

import heapq
from array import array
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Instant, ShardId
from persimmonspoke.internal.placement.decay import ExponentialDecay


@dataclass(frozen=True, slots=True)
class ShardRate:
    """A shard and its requests a second."""

    shard: ShardId
    rate: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one service as one host counted it.

    Attributes
    ----------
    rest : float
        Requests a second to all shards that are not among `busiest`, added up.
    """

    busiest: tuple[ShardRate, ...]
    rest: float


class ShardLoads:
    """Counts the requests of one service by shard.

    Parameters
    ----------
    shard_count : int
        Number of shards of the service.
    half_life_s : float
        Time in which a count decays to one half.
    """

    def __init__(self, shard_count: int, half_life_s: float, now: Instant):
        self._decay = ExponentialDecay(half_life_s, now)
        self._counts = array("d", bytes(8 * shard_count))

    def add(self, shard: ShardId, now: Instant, work: float = 1.0) -> None:
        """Count one request, or `work` in any other unit."""
        if self._decay.needs_rescale(now):
            factor = self._decay.rescale(now)
            self._counts = array("d", (count * factor for count in self._counts))
        self._counts[shard] += work * self._decay.weight(now)

    def rates(self, now: Instant) -> list[float]:
        """Return the requests a second of each shard."""
        scale = self._decay.per_second() / self._decay.weight(now)
        return [count * scale for count in self._counts]

    def report(self, max_count: int, now: Instant) -> LoadReport:
        """Return the rates of the `max_count` busiest shards, and the summed rest."""
        rates = self.rates(now)
        busiest_shards = heapq.nlargest(
            max_count, range(len(rates)), key=rates.__getitem__
        )
        busiest = tuple(
            ShardRate(ShardId(n), rates[n]) for n in busiest_shards if rates[n] > 0
        )
        rest = sum(rates) - sum(entry.rate for entry in busiest)
        return LoadReport(busiest, max(0.0, rest))


def merge(reports: Iterable[LoadReport], shard_count: int) -> list[float]:
    """Return the requests a second of each shard, over all hosts.

    The `rest` of a report is spread evenly over the shards that it does not name.
    """
    rates = [0.0] * shard_count
    unnamed_total = 0.0
    for report in reports:
        unnamed = shard_count - len(report.busiest)
        unnamed_rate = report.rest / unnamed if unnamed else 0.0
        unnamed_total += unnamed_rate
        for entry in report.busiest:
            rates[entry.shard] += entry.rate - unnamed_rate
    return [max(0.0, rate + unnamed_total) for rate in rates]
