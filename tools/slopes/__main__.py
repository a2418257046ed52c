"""Print measured slopes, one JSON object per line: ``make slopes``.

Sizes of state and numbers of messages are deterministic.  Processor times depend on
the machine and are noisy.
"""

import importlib
import subprocess
import sys
import warnings

MODULES = ("state", "processor", "fleet", "connections")
"""Modules, whose names begin their rows' names; each runs in a separate process."""


def main(names: list[str]) -> None:
    """Print the rows of the named modules, or of all if no name is given."""
    warnings.simplefilter("ignore")
    if len(names) == 1:
        for row in importlib.import_module(f"tools.slopes.{names[0]}").rows():
            print(row.line(), flush=True)
        return
    for name in names or MODULES:
        command = [sys.executable, "-W", "ignore", "-m", "tools.slopes", name]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main(sys.argv[1:])
