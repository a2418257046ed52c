"""Command-line options and signal handling that the daemons' commands share."""

import argparse
import pathlib
import signal
from collections.abc import Callable

import eventlet


def settings_parser(prog: str, description: str, epilog: str):
    """Return the argument parser of a daemon's command."""
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
        help="settings file in YAML",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def stop_on_signals(stop: Callable[[], None]) -> None:
    """Call `stop` on SIGTERM and SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        on_signal(signal_number, stop)


def on_signal(signal_number: signal.Signals, callback: Callable[[], None]) -> None:
    """Run `callback` in a new task when the signal arrives.

    A signal handler interrupts whichever task is running, so it must not block;
    it only starts the new task.
    """
    signal.signal(signal_number, lambda *_: eventlet.spawn(callback))
