"""Print all measurements, one JSON object per line."""

import importlib
import sys
import warnings

MODULES = (
    "tools.measure.imbalance",
    "tools.measure.churn",
    "tools.measure.waits",
    "tools.measure.teams",
    "tools.measure.lender_loss",
    "tools.measure.hedging",
    "tools.measure.silence",
    "tools.measure.ownership",
    "tools.measure.schedules",
    "tools.measure.even_load",
    "tools.measure.successions",
)


def main(names):
    """Print the rows of all modules, or of those whose short name is in `names`."""
    # Eventlet's import prints a deprecation warning on standard error.
    warnings.simplefilter("ignore")
    from tests.fakes import virtual_hub

    virtual_hub.install()
    for path in MODULES:
        if names and path.rpartition(".")[2] not in names:
            continue
        for row in importlib.import_module(path).rows():
            print(row.line(), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
