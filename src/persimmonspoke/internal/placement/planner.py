"""Who should own which shard.

Shards whose owner is gone or leaving are placed first, the busiest first, each at
the target that then has the least load for its capacity.  After that, shards move
from the busiest target to the least busy one as long as the imbalance is worth it;
how much that is depends on the measure that the team weighs most.
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
"""Part of the load that is spread evenly, so that quiet shards count as well."""

_HOT_SHARE = 0.5
"""A shard is hot that alone makes up this part of a target's usual load."""


@dataclass(frozen=True, slots=True)
class Policy:
    """How far a measure goes.

    Attributes
    ----------
    start, stop : float
        Rebalance when the busiest target exceeds the best reachable load by the
        factor `start`, until it is within `stop`.
    idle_below : float
        Also rebalance when a target has less than this part of the mean load.
    max_moves : int
        Moves in one round, besides forced ones.
    rest_s : float
        Time for which a shard that has moved stays where it is.
    moves_hot : bool
        Whether the busiest shard of a target may move itself.
    """

    start: float
    stop: float
    idle_below: float
    max_moves: int
    rest_s: float
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
    state = _State.of(views, [1.0] * service.shard_count)
    return [state.place(shard) for shard in range(service.shard_count)]


def peak_load_lower_bound(
    loads: Iterable[float], targets: Iterable[TargetView]
) -> float:
    """Return a load for each unit of capacity that no placement can go below.

    Some target has at least the mean; the busiest shard is on some target; and of
    the n + 1 busiest shards two share one of n targets.
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
    """Return the moves of one round, the most urgent first."""
    live = [entry for entry in view.targets if entry.state is TargetState.LIVE]
    if not live or not view.owners:
        return ()
    state = _State.of(live, _weights(view.loads))
    homeless = [shard for shard, owner in enumerate(view.owners) if owner not in state]
    for shard, owner in enumerate(view.owners):
        if owner in state:
            state.put(shard, owner)
    homeless.sort(key=state.weights.__getitem__, reverse=True)
    moves = [
        Move(ShardId(shard), view.owners[shard], state.place(shard), forced=True)
        for shard in homeless
    ]
    if len(live) > 1:
        moves += _Rebalance(view, live, state, frozenset(homeless)).moves()
    return tuple(moves)


def _weights(loads):
    """Return the loads with a small even part, which also counts shards."""
    total = sum(loads)
    base = (_BASE_SHARE * total if total else 1.0) / max(1, len(loads))
    return [load + base for load in loads]


class _State:
    """Shards and load of each live target."""

    def __init__(self, capacities, weights):
        self.capacities: dict[TargetId, float] = capacities
        self.weights: list[float] = weights
        self.shards: dict[TargetId, set[int]] = {name: set() for name in capacities}
        self.load: dict[TargetId, float] = dict.fromkeys(capacities, 0.0)
        self._heap: list[tuple[float, TargetId]] = [(0.0, n) for n in capacities]

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

    def filled(self, target_id):
        """Return the target's load for each unit of its capacity."""
        return self.load[target_id] / self.capacities[target_id]

    def place(self, shard):
        """Put `shard` on the least filled target and return that."""
        while True:
            filled, name = self._heap[0]
            actual = self.filled(name)
            if filled == actual:
                break
            heapq.heapreplace(self._heap, (actual, name))
        self.put(shard, name)
        return name


class _Rebalance:
    """Moves from the busiest target to the least busy one, within a policy."""

    def __init__(self, view, live, state, placed):
        self._view = view
        self._state = state
        self._placed = placed
        self._policy = POLICIES[view.measure]
        self._best = peak_load_lower_bound(state.weights, live)
        capacities = state.capacities.values()
        self._mean = sum(state.load.values()) / sum(capacities)
        self._stuck: set[TargetId] = set()
        self._ordered: dict[TargetId, list[tuple[float, int]]] = {}
        self._moved: dict[int, Move] = {}

    def moves(self):
        """Return the moves, at most one for each shard."""
        if not self._is_worth_it():
            return []
        while len(self._moved) < self._policy.max_moves:
            source, target = self._extremes()
            if source is None or self._is_good(source, target):
                break
            shard = self._choose(source, target)
            if shard is None:
                self._stuck.add(source)
                continue
            self._move(shard, source, target)
        return [move for move in self._moved.values() if move.source != move.target]

    def _is_worth_it(self):
        filled = [self._state.filled(name) for name in self._state.capacities]
        if max(filled) > self._policy.start * self._best:
            return True
        return min(filled) < self._policy.idle_below * self._mean * self._evenness()

    def _evenness(self):
        """Return which part of the mean every target could get at best.

        Where one shard makes up a whole target's load, the others share the rest.
        """
        count = len(self._state.capacities)
        spare = self._best - self._mean
        return max(0.0, 1.0 - spare / (self._mean * (count - 1)))

    def _extremes(self):
        names = self._state.capacities
        able = [name for name in names if name not in self._stuck]
        if not able:
            return None, None
        source = max(able, key=self._state.filled)
        return source, min(names, key=self._state.filled)

    def _is_good(self, source, target):
        high = self._state.filled(source)
        low = self._state.filled(target)
        if high <= self._policy.stop * self._best:
            enough = self._policy.idle_below * self._mean * self._evenness()
            return low >= enough or high <= self._mean
        return False

    def _choose(self, source, target):
        """Return the shard whose move evens the two out best, or None."""
        state = self._state
        low, high = state.filled(target), state.filled(source)
        capacity_in, capacity_out = state.capacities[target], state.capacities[source]
        gap = (high - low) / (1 / capacity_in + 1 / capacity_out)
        ordered = self._sorted(source)
        at = bisect_left(ordered, (gap, -1))
        best = None
        for position in (*range(at, min(at + 2, len(ordered))), at - 1, at - 2):
            if not 0 <= position < len(ordered):
                continue
            weight, _ = ordered[position]
            after = max(low + weight / capacity_in, high - weight / capacity_out)
            if after < high * (1 - 1e-9) and (best is None or after < best[0]):
                best = (after, position)
        if best is None:
            return None
        return ordered.pop(best[1])[1]

    def _sorted(self, source):
        """Return the movable shards of `source`, lightest first."""
        ordered = self._ordered.get(source)
        if ordered is None:
            weights = self._state.weights
            ordered = sorted(
                (weights[shard], shard)
                for shard in self._state.shards[source]
                if self._may_move(shard)
            )
            usual = self._mean * self._state.capacities[source]
            hot = bool(ordered) and ordered[-1][0] > _HOT_SHARE * usual
            if hot and not self._policy.moves_hot:
                # Its callers would notice the move most; its neighbours go instead.
                ordered.pop()
            self._ordered[source] = ordered
        return ordered

    def _may_move(self, shard):
        moved_at = self._view.moved_at.get(ShardId(shard))
        rested = moved_at is None or self._view.now - moved_at >= self._policy.rest_s
        return rested and shard not in self._moved and shard not in self._placed

    def _move(self, shard, source, target):
        self._state.take(shard, source)
        self._state.put(shard, target)
        self._moved[shard] = Move(ShardId(shard), source, target, forced=False)
