"""The command ``persimmonspoke-routed``, which runs the daemon on users' platform."""

import gc
import os
import warnings

# Nothing that is imported is garbage; `_run` starts the collector.
gc.disable()

# All addresses are numeric, and eventlet's DNS resolver is slow to import.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The search for plugins reads the metadata of every installed package; none is used.
os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
# The deprecation warning addresses new projects; operators can't act on it.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet

# Modules that open sockets must be imported after this line.
# Frozen objects are exempt from eventlet's collection and its scan for native locks.
gc.freeze()
eventlet.monkey_patch()

import signal
import sys
from enum import IntEnum

from persimmonspoke.daemon.command import run_on_signals, settings_parser
from persimmonspoke.daemon.routed import RoutedDaemon
from persimmonspoke.daemon.routed_settings import RoutedSettings
from persimmonspoke.errors import InvalidSettings
from persimmonspoke.internal.checked_yaml import load_checked
from persimmonspoke.internal.observe.bounded_logs import start_bounded_logs
from persimmonspoke.platform.settings_file import read_settings, settings_path

DESCRIPTION = """\
Route requests to the targets that own their keys, on the users' platform, whose
settings file the environment names."""

EPILOG = """\
exit status: 0 stopped in an orderly way; 1 failed; 2 the settings are invalid.
signals: SIGTERM and SIGINT stop gracefully; SIGHUP reads the platform's settings
file again, which is also done without a signal when it changes."""


class ExitStatus(IntEnum):
    """Exit statuses of the command."""

    STOPPED = 0
    FAILED = 1
    INVALID_SETTINGS = 2


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until it ends and return its exit status."""
    parser = settings_parser("persimmonspoke-routed", DESCRIPTION, EPILOG)
    args = parser.parse_args(argv)
    try:
        text = args.settings.read_text()
        cfg = load_checked(RoutedSettings, text, str(args.settings))
        if args.check:
            print(f"{args.settings}: the settings are valid")
            return ExitStatus.STOPPED
        path = settings_path()
        platform = read_settings(path.read_text())
    except (InvalidSettings, OSError, UnicodeDecodeError) as exc:
        print(exc, file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
    return _run(cfg, platform, path)


def _run(cfg, platform, path):
    """Run one daemon until it ends and return its exit status."""
    try:
        daemon = RoutedDaemon(cfg, platform, path)
    except OSError as exc:
        print(f"cannot listen: {exc}", file=sys.stderr)
        return ExitStatus.FAILED
    gc.freeze()
    gc.enable()
    handler = start_bounded_logs(cfg.observe.log_level, daemon.host_id, daemon.clock)
    daemon.metrics.gauge("log.lines_dropped", lambda: handler.dropped)
    run_on_signals(
        {
            signal.SIGTERM: daemon.stop,
            signal.SIGINT: daemon.stop,
            signal.SIGHUP: daemon.reload,
        }
    )
    daemon.run()
    handler.flush_without_blocking()
    return ExitStatus.STOPPED


if __name__ == "__main__":
    sys.exit(main())
