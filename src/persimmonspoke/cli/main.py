"""The command-line tool ``persimmonspoke``."""

import argparse
import sys
from collections.abc import Callable, Sequence

from persimmonspoke.cli import (
    configuration_commands,
    host_commands,
    questionnaire_commands,
)
from persimmonspoke.cli.arguments import make_parser
from persimmonspoke.cli.client import AdminClient, HttpTransport, Transport
from persimmonspoke.cli.exit_status import exit_status
from persimmonspoke.cli.explain import explain
from persimmonspoke.cli.report import Report, failure_report
from persimmonspoke.errors import PersimmonspokeError
from persimmonspoke.internal.clock import Clock, SystemClock

MakeTransport = Callable[[str, float], Transport]
_LOCAL_COMMANDS = {
    "explain": explain,
    "configuration check": configuration_commands.check,
    "questionnaire check": questionnaire_commands.check,
    "questionnaire generate": questionnaire_commands.generate_configuration,
}
_REMOTE_COMMANDS = {
    "show": questionnaire_commands.show,
    "diff": questionnaire_commands.diff,
    "status": host_commands.status,
    "assignments": host_commands.assignments,
    "dump": host_commands.dump,
    "drain": host_commands.drain,
    "undrain": host_commands.drain,
}


def main(
    argv: Sequence[str] | None = None,
    make_transport: MakeTransport = HttpTransport,
    clock: Clock | None = None,
) -> int:
    """Run one command and return its exit status.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; those of the process by default.
    make_transport : callable
        Creates the transport from a URL and a timeout in seconds.
    clock : Clock, optional
        The system clock by default.
    """
    args = make_parser().parse_args(argv)
    try:
        report = _run(args, make_transport, clock or SystemClock())
    except PersimmonspokeError as exc:
        _print_failure(failure_report(exc), args.json)
        return int(exit_status(exc))
    print(report.text(args.json))
    return int(report.status)


def _run(args: argparse.Namespace, make_transport: MakeTransport, clock: Clock):
    """Run the command in `args` and return its report."""
    name = getattr(args, "action", args.command)
    full_name = args.command if name == args.command else f"{args.command} {name}"
    if full_name in _LOCAL_COMMANDS:
        return _LOCAL_COMMANDS[full_name](args)
    token = None
    if args.token_file is not None:
        token = questionnaire_commands.read_file(args.token_file).strip()
    client = AdminClient(make_transport(args.admin, args.timeout), clock, token)
    if name == "apply":
        return questionnaire_commands.apply(args, client, clock)
    return _REMOTE_COMMANDS[name](args, client)


def _print_failure(report: Report, as_json: bool):
    """Print a failure: as JSON to standard output, else to standard error."""
    print(report.text(as_json), file=sys.stdout if as_json else sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
