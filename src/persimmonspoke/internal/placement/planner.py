"""Plans which target should own each shard.

Shards whose owner has been removed or is leaving are placed first, the busiest first,
each on the target with the least load for its capacity at that point.  Then shards
move from the busiest target to the least busy one while the imbalance justifies moves.
The threshold depends on the measure that the team weighs most.
"""

import heapq
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonspoke.ids import ShardId, TargetId
from persimmonspoke.internal.placement.view import (
    Move,
    PlacementView,
    TargetState,
    TargetView,
)
from persimmonspoke.internal.questionnaire.configuration import (
    Measure,
    ServiceConfig,
    TargetConfig,
)

_BASE_SHARE = 0.02
"""Share of the total load added evenly to all shards, so that idle shards count too."""

_HOT_SHARE = 0.5
"""A shard is hot if it alone exceeds this share of its target's typical load.

The typical load is the mean load for each unit of capacity, times the target's.
"""


@dataclass(frozen=True, slots=True)
class Policy:
    """The limits of rebalancing for one measure.

    Attributes
    ----------
    start, stop : float
        Rebalancing starts when the load of the busiest target exceeds `start` times
        the lower bound of the peak load, and ends at `stop` times the bound.
    idle_below : float
        Rebalancing also starts when a target has less than this share of the mean
        load.
    max_moves : int
        Maximum number of moves in one round, forced ones not included.
    cooldown_s : float
        Time for which a shard that has moved is not moved again.
    moves_hot : bool
        Whether a hot shard itself may move, rather than other shards of its target.
    """

    start: float
    stop: float
    idle_below: float
    max_moves: int
    cooldown_s: float
    moves_hot: bool


POLICIES = {
    Measure.IMBALANCE: Policy(1.06, 1.02, 0.8, 256, 10.0, True),
    Measure.UNAVAILABLE_TIME: Policy(1.08, 1.03, 0.7, 32, 30.0, False),
    Measure.CHURN: Policy(1.5, 1.25, 0.5, 16, 300.0, True),
}


def initial_owners(
    service: ServiceConfig, targets: Iterable[TargetConfig]
) -> list[TargetId]:
    """Return the first owner of each shard, spread evenly by capacity."""
    views = [TargetView(entry.target_id, float(entry.slots)) for entry in targets]
    placement = _Placement.of(views, [1.0] * service.shard_count)
    return [placement.place(shard) for shard in range(service.shard_count)]


def peak_load_lower_bound(
    loads: Iterable[float], targets: Iterable[TargetView]
) -> float:
    """Return a lower bound of the peak load for each unit of capacity.

    No placement can have a lower peak, because some target has at least the mean
    load, some target has the busiest shard, and one of n targets has two of the n + 1
    busiest shards.
    """
    capacities = [t.capacity for t in targets if t.state is TargetState.LIVE]
    loads = list(loads)
    largest = max(capacities)
    busiest = heapq.nlargest(len(capacities) + 1, loads)
    bounds = [sum(loads) / sum(capacities), busiest[0] / largest]
    if len(busiest) > len(capacities):
        bounds.append((busiest[-1] + busiest[-2]) / largest)
    return max(bounds)


def plan(view: PlacementView) -> tuple[Move, ...]:
    """Return the moves of one round, forced ones first."""
    live = [entry for entry in view.targets if entry.state is TargetState.LIVE]
    if not live or not view.owners:
        return ()
    placement = _Placement.of(live, _weights(view.loads))
    unplaced = [
        shard for shard, owner in enumerate(view.owners) if owner not in placement
    ]
    for shard, owner in enumerate(view.owners):
        if owner in placement:
            placement.put(shard, owner)
    unplaced.sort(key=placement.weights.__getitem__, reverse=True)
    moves = [
        Move(ShardId(shard), view.owners[shard], placement.place(shard), forced=True)
        for shard in unplaced
    ]
    if len(live) > 1:
        moves += _Rebalance(view, live, placement, frozenset(unplaced)).moves()
    return tuple(moves)


def _weights(loads):
    """Return the loads plus a small equal base, so that the number of shards counts."""
    total = sum(loads)
    base = (_BASE_SHARE * total if total else 1.0) / max(1, len(loads))
    return [load + base for load in loads]


class _Placement:
    """The shards and the load of each live target; changes as shards are placed."""

    def __init__(self, capacities, weights):
        self.capacities: dict[TargetId, float] = capacities
        self.weights: list[float] = weights
        self.shards: dict[TargetId, set[int]] = {
            target_id: set() for target_id in capacities
        }
        self.load: dict[TargetId, float] = dict.fromkeys(capacities, 0.0)
        self._heap: list[tuple[float, TargetId]] = [
            (0.0, target_id) for target_id in capacities
        ]

    @classmethod
    def of(cls, targets, weights):
        return cls({entry.target_id: entry.capacity for entry in targets}, weights)

    def __contains__(self, target_id):
        return target_id in self.capacities

    def put(self, shard, target_id):
        self.shards[target_id].add(shard)
        self.load[target_id] += self.weights[shard]

    def take(self, shard, target_id):
        self.shards[target_id].remove(shard)
        self.load[target_id] -= self.weights[shard]

    def relative_load(self, target_id):
        """Return the target's load for each unit of its capacity."""
        return self.load[target_id] / self.capacities[target_id]

    def place(self, shard):
        """Put `shard` on the target with the lowest relative load, and return it."""
        while True:
            relative_load, target_id = self._heap[0]
            actual = self.relative_load(target_id)
            if relative_load == actual:
                break
            heapq.heapreplace(self._heap, (actual, target_id))
        self.put(shard, target_id)
        return target_id


class _Rebalance:
    """Moves from the busiest target to the least busy one, within a policy."""

    def __init__(self, view, live, placement, placed_shards):
        self._view = view
        self._placement = placement
        self._placed_shards = placed_shards
        self._policy = POLICIES[view.measure]
        self._load_bound = peak_load_lower_bound(placement.weights, live)
        capacities = placement.capacities.values()
        self._mean_load = sum(placement.load.values()) / sum(capacities)
        self._exhausted: set[TargetId] = set()
        self._movable: dict[TargetId, list[tuple[float, int]]] = {}
        self._moves: dict[int, Move] = {}

    def moves(self):
        """Return the moves, at most one for each shard."""
        if not self._should_rebalance():
            return []
        while len(self._moves) < self._policy.max_moves:
            source, target = self._busiest_and_least_busy()
            if source is None or self._is_balanced(source, target):
                break
            shard = self._choose_shard(source, target)
            if shard is None:
                self._exhausted.add(source)
                continue
            self._move(shard, source, target)
        return [move for move in self._moves.values() if move.source != move.target]

    def _should_rebalance(self):
        relative_loads = [
            self._placement.relative_load(target_id)
            for target_id in self._placement.capacities
        ]
        if max(relative_loads) > self._policy.start * self._load_bound:
            return True
        return (
            min(relative_loads)
            < self._policy.idle_below * self._mean_load * self._reachable_share()
        )

    def _reachable_share(self):
        """Return the largest share of the mean load that all targets can reach.

        It is below 1 if one shard alone exceeds the mean: the other targets then
        share what remains.
        """
        count = len(self._placement.capacities)
        spare = self._load_bound - self._mean_load
        return max(0.0, 1.0 - spare / (self._mean_load * (count - 1)))

    def _busiest_and_least_busy(self):
        targets = self._placement.capacities
        candidates = [
            target_id for target_id in targets if target_id not in self._exhausted
        ]
        if not candidates:
            return None, None
        source = max(candidates, key=self._placement.relative_load)
        return source, min(targets, key=self._placement.relative_load)

    def _is_balanced(self, source, target):
        high = self._placement.relative_load(source)
        low = self._placement.relative_load(target)
        if high <= self._policy.stop * self._load_bound:
            min_load = (
                self._policy.idle_below * self._mean_load * self._reachable_share()
            )
            return low >= min_load or high <= self._mean_load
        return False

    def _choose_shard(self, source, target):
        """Return the shard whose move best balances the two targets, or None."""
        placement = self._placement
        low, high = placement.relative_load(target), placement.relative_load(source)
        capacity_in, capacity_out = (
            placement.capacities[target],
            placement.capacities[source],
        )
        gap = (high - low) / (1 / capacity_in + 1 / capacity_out)
        movable = self._movable_shards(source)
        at = bisect_left(movable, (gap, -1))
        best = None
        for position in (*range(at, min(at + 2, len(movable))), at - 1, at - 2):
            if not 0 <= position < len(movable):
                continue
            weight, _ = movable[position]
            after = max(low + weight / capacity_in, high - weight / capacity_out)
            if after < high * (1 - 1e-9) and (best is None or after < best[0]):
                best = (after, position)
        if best is None:
            return None
        return movable.pop(best[1])[1]

    def _movable_shards(self, source):
        """Return the movable shards of `source`, lightest first."""
        movable = self._movable.get(source)
        if movable is None:
            weights = self._placement.weights
            movable = sorted(
                (weights[shard], shard)
                for shard in self._placement.shards[source]
                if self._may_move(shard)
            )
            typical_load = self._mean_load * self._placement.capacities[source]
            hot = bool(movable) and movable[-1][0] > _HOT_SHARE * typical_load
            if hot and not self._policy.moves_hot:
                # A move of the hot shard would affect the most callers of the target,
                # so its other shards move instead.
                movable.pop()
            self._movable[source] = movable
        return movable

    def _may_move(self, shard):
        moved_at = self._view.moved_at.get(ShardId(shard))
        cooled_down = (
            moved_at is None or self._view.now - moved_at >= self._policy.cooldown_s
        )
        return (
            cooled_down
            and shard not in self._moves
            and shard not in self._placed_shards
        )

    def _move(self, shard, source, target):
        self._placement.take(shard, source)
        self._placement.put(shard, target)
        self._moves[shard] = Move(ShardId(shard), source, target, forced=False)
