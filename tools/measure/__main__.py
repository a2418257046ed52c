"""Print every measured figure, one JSON object a line."""

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
)


def main(names):
    """Print the rows of all modules, or of those whose last name is given."""
    # Eventlet warns about itself at import, on standard error and at each run.
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
