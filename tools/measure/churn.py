"""Churn: how many keys change their owner, over the least number possible."""

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
    ROUND_S,
    SHARDS,
    PlannedPlacement,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import SITES

SEED = 12
_TARGET = 1.25
_HOUR_S = 3600.0
_WATCHED_S = 3 * HOT_PERIOD_S
_MOST_ROUNDS = 200


def rows():
    """Return the rows of both sites."""
    for site in SITES:
        for loads, name in ((_even(), "even load"), (_uneven(), "uneven load")):
            yield from _joined(site, loads, name)
            yield from _left(site, loads, name)
        for measure in Measure:
            yield _hot(site, measure)


def _even():
    return [1.0] * SHARDS


def _uneven():
    rng = random.Random(SEED)
    return [rng.paretovariate(1.5) for _ in range(SHARDS)]


def _joined(site, loads, name):
    count = site.keyed_targets
    targets = [TargetView(TargetId(f"t{n}")) for n in range(count)]
    owners, _ = _settle(site, loads, targets, [""] * SHARDS)
    joined = [*targets, TargetView(TargetId("new"))]
    after, moves = _settle(site, loads, joined, owners)
    least = SHARDS // (count + 1)
    modulo = sum(n % count != n % (count + 1) for n in range(SHARDS))
    yield _row(f"{site.name}, a target joins, {name}", moves, least, modulo)
    yield _balance(f"{site.name}, a target has joined, {name}", loads, joined, after)


def _left(site, loads, name):
    count = site.keyed_targets
    targets = [TargetView(TargetId(f"t{n}")) for n in range(count)]
    owners, _ = _settle(site, loads, targets, [""] * SHARDS)
    leaving = [
        TargetView(targets[0].target_id, state=TargetState.LEAVING),
        *targets[1:],
    ]
    after, moves = _settle(site, loads, leaving, owners)
    least = owners.count(targets[0].target_id)
    modulo = sum(n % count != n % (count - 1) for n in range(SHARDS))
    yield _row(f"{site.name}, a target leaves, {name}", moves, least, modulo)
    yield _balance(f"{site.name}, a target has left, {name}", loads, leaving, after)


def _settle(site, loads, targets, owners):
    """Carry out rounds until nothing moves; return the owners and the moves."""
    owners = list(owners)
    total = 0
    for number in range(_MOST_ROUNDS):
        view = PlacementView(site.measure, 1000.0 * number, owners, loads, targets)
        moves = plan(view)
        if not moves:
            return owners, total
        total += len(moves)
        for move in moves:
            owners[move.shard] = move.target
    raise AssertionError("the planner does not come to rest")


def _row(scenario, moves, least, modulo):
    return MeasureRow(
        scenario,
        "churn",
        round(moves / least, 3),
        "moved over least",
        _TARGET,
        "modulo",
        round(modulo / least, 3),
    )


def _balance(scenario, loads, targets, owners):
    owned = {}
    for owner, load in zip(owners, loads, strict=True):
        owned[owner] = owned.get(owner, 0.0) + load
    value = max(owned.values()) / peak_load_lower_bound(loads, targets)
    return MeasureRow(scenario, "imbalance", round(value, 3), "ratio", 1.10)


def _hot(site, measure):
    """Return the keys that hot keys make move in an hour."""
    placement = PlannedPlacement(measure, site.keyed_targets, SEED)
    moves = 0
    for number in range(int(_WATCHED_S / ROUND_S)):
        if number * ROUND_S % HOT_PERIOD_S == 0:
            placement.load.heat()
        made = placement.step()
        moves += len(made) if number * ROUND_S >= HOT_PERIOD_S else 0
    hours = (_WATCHED_S - HOT_PERIOD_S) / _HOUR_S
    return MeasureRow(
        f"{site.name}, 82 hot keys move, weighs {measure.value}",
        "keys_moved",
        round(moves / hours * KEYS / SHARDS / KEYS, 3),
        "share of all keys an hour",
    )
