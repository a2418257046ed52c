"""Churn: keys that change owner, relative to the smallest possible number."""

import random

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.placement.planner import peak_load_lower_bound, plan
from persimmonspoke.internal.placement.view import (
    PlacementView,
    TargetState,
    TargetView,
)
from persimmonspoke.internal.questionnaire.configuration import Measure
from tools.measure.keyed_load import (
    HOT_PERIOD_S,
    KEYS,
    PLAN_INTERVAL_S,
    SHARDS,
    PlannedPlacement,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import DEPLOYMENTS

SEED = 12
_TARGET = 1.25
_HOUR_S = 3600.0
_OBSERVED_S = 3 * HOT_PERIOD_S
_MAX_ROUNDS = 200


def rows():
    """Return the rows of both deployments."""
    for deployment in DEPLOYMENTS:
        for loads, name in (
            (_even_loads(), "even load"),
            (_uneven_loads(), "uneven load"),
        ):
            yield from _join_rows(deployment, loads, name)
            yield from _leave_rows(deployment, loads, name)
        for measure in Measure:
            yield _hot_keys_row(deployment, measure)


def _even_loads():
    return [1.0] * SHARDS


def _uneven_loads():
    rng = random.Random(SEED)
    return [rng.paretovariate(1.5) for _ in range(SHARDS)]


def _join_rows(deployment, loads, name):
    count = deployment.keyed_targets
    targets = [TargetView(TargetId(f"t{n}")) for n in range(count)]
    owners, _ = _plan_until_settled(deployment, loads, targets, [""] * SHARDS)
    joined = [*targets, TargetView(TargetId("new"))]
    new_owners, moves = _plan_until_settled(deployment, loads, joined, owners)
    min_moves = SHARDS // (count + 1)
    modulo_moves = sum(n % count != n % (count + 1) for n in range(SHARDS))
    yield _churn_row(
        f"{deployment.name}, a target joins, {name}", moves, min_moves, modulo_moves
    )
    yield _imbalance_row(
        f"{deployment.name}, a target has joined, {name}", loads, joined, new_owners
    )


def _leave_rows(deployment, loads, name):
    count = deployment.keyed_targets
    targets = [TargetView(TargetId(f"t{n}")) for n in range(count)]
    owners, _ = _plan_until_settled(deployment, loads, targets, [""] * SHARDS)
    leaving = [
        TargetView(targets[0].target_id, state=TargetState.LEAVING),
        *targets[1:],
    ]
    new_owners, moves = _plan_until_settled(deployment, loads, leaving, owners)
    min_moves = owners.count(targets[0].target_id)
    modulo_moves = sum(n % count != n % (count - 1) for n in range(SHARDS))
    yield _churn_row(
        f"{deployment.name}, a target leaves, {name}", moves, min_moves, modulo_moves
    )
    yield _imbalance_row(
        f"{deployment.name}, a target has left, {name}", loads, leaving, new_owners
    )


def _plan_until_settled(deployment, loads, targets, owners):
    """Plan until nothing moves; return the owners and the number of moves."""
    owners = list(owners)
    total = 0
    for number in range(_MAX_ROUNDS):
        view = PlacementView(
            deployment.measure, 1000.0 * number, owners, loads, targets
        )
        moves = plan(view)
        if not moves:
            return owners, total
        total += len(moves)
        for move in moves:
            owners[move.shard] = move.target
    raise AssertionError("the planner still moves shards after the last round")


def _churn_row(scenario, moves, min_moves, modulo_moves):
    return MeasureRow(
        scenario,
        "churn",
        round(moves / min_moves, 3),
        "moved over least",
        _TARGET,
        "modulo",
        round(modulo_moves / min_moves, 3),
    )


def _imbalance_row(scenario, loads, targets, owners):
    owned = {}
    for owner, load in zip(owners, loads, strict=True):
        owned[owner] = owned.get(owner, 0.0) + load
    value = max(owned.values()) / peak_load_lower_bound(loads, targets)
    return MeasureRow(scenario, "imbalance", round(value, 3), "ratio", 1.10)


def _hot_keys_row(deployment, measure):
    """Return the row with the share of keys moved per hour due to hot keys."""
    placement = PlannedPlacement(measure, deployment.keyed_targets, SEED)
    moves = 0
    for number in range(int(_OBSERVED_S / PLAN_INTERVAL_S)):
        if number * PLAN_INTERVAL_S % HOT_PERIOD_S == 0:
            placement.load.change_hot_keys()
        new_moves = placement.step()
        moves += len(new_moves) if number * PLAN_INTERVAL_S >= HOT_PERIOD_S else 0
    hours = (_OBSERVED_S - HOT_PERIOD_S) / _HOUR_S
    return MeasureRow(
        f"{deployment.name}, 82 hot keys move, weighs {measure.value}",
        "keys_moved",
        round(moves / hours * KEYS / SHARDS / KEYS, 3),
        "share of all keys an hour",
    )
