"""What the commands of all daemons share: their options, and signals that stop them."""

import argparse
import pathlib
import signal
from collections.abc import Callable

import eventlet


def settings_parser(prog: str, description: str, epilog: str):
    """Return the parser of a daemon's command line."""
    parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="settings in YAML",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    return parser


def stop_on_signals(stop: Callable[[], None]) -> None:
    """Have SIGTERM and SIGINT stop the daemon."""
    for number in (signal.SIGTERM, signal.SIGINT):
        on_signal(number, stop)


def on_signal(number: signal.Signals, work: Callable[[], None]) -> None:
    """Have a signal run `work` in a task of its own.

    A handler runs between two steps of any task, so it may only start a new one.
    """
    signal.signal(number, lambda *_: eventlet.spawn(work))
