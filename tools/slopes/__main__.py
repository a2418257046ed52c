"""Print measured slopes, one JSON object a line: ``make slopes``.

Sizes of state and numbers of messages are the same on every run.  Processor times
are this machine's, and noisy.
"""

import importlib
import subprocess
import sys
import warnings

MODULES = ("state", "processor", "fleet", "connections")
"""The first word of each module's rows; each runs in a process of its own."""


def main(names: list[str]) -> None:
    """Print the rows of the named modules; without a name, of all."""
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
