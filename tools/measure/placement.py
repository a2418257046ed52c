"""Measures key placement under the loads of the design page, against single moves.

Run ``python -m tools.measure.placement [targets ...]``.
"""

import sys

from tests.fakes.placement_model import (
    Load,
    PlacementModel,
    PlannedByWorth,
    SingleMoves,
)

SEEDS = (1, 2)
EQUAL_SPEEDS = (0.8, 0.9, 1.0, 1.1, 1.2)
SMALL_HOT = ((1, 0.2), (60, 0.32), (200, 0.44))
LOADS = {
    "64": Load(64),
    "64, disturbed": Load(64, disturbed=0.2),
    "64, no hot keys": Load(64, hot=()),
    "304": Load(304),
    "10 equal": Load(10, slots=3, speeds=EQUAL_SPEEDS, hot=SMALL_HOT, oscillation=0.0),
    "10 equal, no hot keys": Load(
        10, slots=3, speeds=EQUAL_SPEEDS, hot=(), oscillation=0.0
    ),
}


def main(names, policies):
    """Print the result of each load, policy and seed."""
    for name in names or LOADS:
        for policy in policies:
            for seed in SEEDS:
                result = PlacementModel(LOADS[name], policy(), seed).run()
                print(f"{name:24}{policy.__name__:14}{seed}  {result}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:], (SingleMoves, PlannedByWorth))
