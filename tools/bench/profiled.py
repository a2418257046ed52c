"""Run the daemon under a profiler; write the costliest functions to a file."""

import cProfile
import io
import pstats
import sys

from persimmonspoke.daemon.main import main

MAX_FUNCTIONS = 45


def run(output, argv):
    """Run the daemon until it is stopped, then write the profile."""
    profiler = cProfile.Profile()
    try:
        profiler.runcall(main, argv)
    finally:
        text = io.StringIO()
        pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(
            MAX_FUNCTIONS
        )
        with open(output, "w") as file:
            file.write(text.getvalue())


if __name__ == "__main__":
    run(sys.argv[1], sys.argv[2:])
