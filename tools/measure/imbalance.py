"""Imbalance: the busiest owner's share over the lower bound of any placement."""

import xxhash

from persimmonspoke.internal.questionnaire.configuration import Measure
from tools.measure.keyed_load import (
    HOT_PERIOD_S,
    KEYS,
    PLAN_INTERVAL_S,
    SHARD_OF,
    KeyedLoad,
    PlannedPlacement,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import DEPLOYMENTS

SEED = 11
_TARGET = 1.10
_PERIODS = 5
_SETTLE_S = 40.0


def rows():
    """Return the rows of both deployments."""
    for deployment in DEPLOYMENTS:
        targets = deployment.keyed_targets
        steady = _settled_imbalance(deployment.measure, targets)
        yield from _rows_against_hashing(
            f"{deployment.name}, load at rest", steady, targets, hot=False
        )
        for measure in Measure:
            name = f"{deployment.name}, 82 hot keys move, weighs {measure.value}"
            mean, settled = moving_imbalance(measure, targets)
            yield from _rows_against_hashing(name, mean, targets, hot=True)
            yield MeasureRow(
                name, "imbalance_20s_after_change", round(settled, 3), "ratio", _TARGET
            )


def _settled_imbalance(measure, targets):
    """Return the mean imbalance without hot keys, after the planner has settled."""
    placement = PlannedPlacement(measure, targets, SEED)
    placement.load = KeyedLoad(SEED, hot_share=0.0)
    values = []
    for number in range(int(2 * _SETTLE_S / PLAN_INTERVAL_S)):
        placement.step()
        if number * PLAN_INTERVAL_S >= _SETTLE_S:
            values.append(placement.imbalance())
    return _mean(values)


def moving_imbalance(measure, targets):
    """Return the mean imbalance in all, and from 20 s after each change of hot keys."""
    placement = PlannedPlacement(measure, targets, SEED)
    values, settled = [], []
    for number in range(int(_PERIODS * HOT_PERIOD_S / PLAN_INTERVAL_S)):
        since_change_s = number * PLAN_INTERVAL_S % HOT_PERIOD_S
        if number and since_change_s == 0:
            placement.load.change_hot_keys()
        placement.step()
        if number * PLAN_INTERVAL_S >= _SETTLE_S:
            values.append(placement.imbalance())
            if since_change_s >= 20:
                settled.append(values[-1])
    return _mean(values), _mean(settled)


def _rows_against_hashing(scenario, value, targets, hot):
    """Yield the rows that compare `value` with two ways of hashing keys."""
    for baseline, owner_of in (("modulo", _modulo), ("rendezvous", _rendezvous)):
        owners = [owner_of(key, targets) for key in range(KEYS)]
        load = KeyedLoad(SEED) if hot else KeyedLoad(SEED, hot_share=0.0)
        values = []
        for _ in range(_PERIODS if hot else 1):
            values.append(
                load.busiest_share(owners.__getitem__) / load.min_busiest_share(targets)
            )
            load.change_hot_keys()
        yield MeasureRow(
            scenario,
            "imbalance",
            round(value, 3),
            "ratio",
            _TARGET,
            baseline,
            round(_mean(values), 3),
        )


def _modulo(key, targets):
    return SHARD_OF[key] % targets


def _rendezvous(key, targets):
    return max(range(targets), key=lambda n: xxhash.xxh64_intdigest(f"{key}|{n}"))


def _mean(values):
    return sum(values) / len(values)
