"""The command ``persimmonspoked``."""

import warnings

# The deprecation warning addresses new projects; operators can't act on it.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet

# Modules that open sockets must be imported after this line.
eventlet.monkey_patch()

import json
import logging
import signal
import sys

from persimmonspoke.daemon.command import (
    run_on_signals,
    settings_parser,
)
from persimmonspoke.daemon.daemon import Daemon, ExitStatus
from persimmonspoke.daemon.settings import Settings
from persimmonspoke.errors import InvalidSettings
from persimmonspoke.internal.checked_yaml import load_checked
from persimmonspoke.internal.observe.logs import start_logs

EPILOG = """\
exit status: 0 stopped in an orderly way; 1 failed; 2 the settings are invalid;
3 another host took over while this one was silent: start it again.
signals: SIGTERM and SIGINT stop gracefully; SIGUSR1 writes the state as JSON to
standard output."""

log = logging.getLogger(__name__)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until it ends and return its exit status."""
    parser = settings_parser(
        "persimmonspoked", "Route requests to the targets that own their keys.", EPILOG
    )
    args = parser.parse_args(argv)
    try:
        text = args.settings.read_text()
        settings = load_checked(Settings, text, str(args.settings))
    except (InvalidSettings, OSError, UnicodeDecodeError) as exc:
        print(exc, file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    if args.check:
        print(f"{args.settings}: the settings are valid")
        return ExitStatus.STOPPED
    return _run(settings)


def _run(settings):
    """Run one daemon until it ends and return its exit status."""
    try:
        daemon = Daemon(settings)
    except OSError as exc:
        print(f"cannot listen: {exc}", file=sys.stderr)
        return ExitStatus.FAILED
    start_logs(settings.observe.log_level, daemon.host_id)
    run_on_signals(
        {
            signal.SIGTERM: daemon.stop,
            signal.SIGINT: daemon.stop,
            signal.SIGUSR1: lambda: _print_dump(daemon),
        }
    )
    return daemon.run()


def _print_dump(daemon):
    """Write the state of the daemon to standard output, as JSON."""
    print(json.dumps(daemon.dump()), flush=True)


if __name__ == "__main__":
    sys.exit(main())
