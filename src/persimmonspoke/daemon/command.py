"""Command-line options and signal handling that the daemons' commands share."""

import argparse
import pathlib
import signal
from collections.abc import Callable, Mapping

import eventlet
from eventlet.green import socket

MAX_SIGNALS = 64  # read at a time


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


def run_on_signals(callbacks: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Run a signal's callback in a new task whenever the signal arrives.

    Call it once, in the main thread.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    for signal_number in callbacks:
        # A handler of its own could run while the event hub changes its timers, and
        # would not wake a hub that waits.
        signal.signal(signal_number, lambda *_: None)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    eventlet.spawn(_run_callbacks, reader, writer, callbacks)


def _run_callbacks(reader, writer, callbacks):
    """Run callbacks for the signal numbers that are read, until `writer` is closed."""
    with reader, writer:
        while numbers := reader.recv(MAX_SIGNALS):
            for number in numbers:
                if number in callbacks:
                    eventlet.spawn(callbacks[number])
