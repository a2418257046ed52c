"""Duration of one plan by number of shards.

It is wall-clock time, so it is not part of `make measure`.

Run as ``python -m tools.measure.plan_speed``.
"""

import random
import time

from persimmonspoke.internal.placement.planner import plan
from persimmonspoke.internal.placement.view import PlacementView, TargetView
from persimmonspoke.internal.questionnaire.configuration import Measure
from tools.measure.rows import MeasureRow

_TARGETS = 64
_RUNS = 5


def rows():
    """Yield the shortest of several runs for each size and scenario."""
    for shards in (1024, 4096, 16384, 65536):
        rng = random.Random(1)
        loads = [rng.paretovariate(1.5) for _ in range(shards)]
        targets = [TargetView(f"t{n}") for n in range(_TARGETS)]
        owners = [f"t{n % _TARGETS}" for n in range(shards)]
        even_loads = [1.0] * shards
        scenarios = {
            "nothing to do": (targets, even_loads),
            "hot shards": (targets, loads),
            "a target lost": (targets[1:], even_loads),
        }
        for scenario, (available_targets, rates) in scenarios.items():
            view = PlacementView(
                Measure.IMBALANCE, 0.0, owners, rates, available_targets
            )
            shortest_s = min(_time_once(view) for _ in range(_RUNS))
            name = f"{shards} shards, {_TARGETS} targets, {scenario}"
            yield MeasureRow(name, "plan_time", round(1000 * shortest_s, 2), "ms")


def _time_once(view):
    started_at = time.perf_counter()
    plan(view)
    return time.perf_counter() - started_at


if __name__ == "__main__":
    for row in rows():
        print(row.line())
