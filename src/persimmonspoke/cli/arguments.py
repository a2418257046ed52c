"""Argument parser and help texts of the command line."""

import argparse

DEFAULT_ADMIN_URL = "http://127.0.0.1:7200"
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_BEFORE_S = 10.0  # longer than the keys are held for any ordinary grant

_EPILOG = """\
exit statuses:
  0  done
  1  failure: the host or the store could not do it
  2  wrong usage, or input that breaks a rule; nothing was changed
  3  conflict: another operator's revision was accepted first
  4  accepted, but not in force on every live host in time
  5  no answer; an apply may have taken effect, the message says how to find out
  6  no log line names the request

first steps:
  persimmonspoke configuration check new.json --in-force old.json
  persimmonspoke questionnaire check questionnaire.yaml
  persimmonspoke questionnaire diff questionnaire.yaml
  persimmonspoke questionnaire apply questionnaire.yaml --generation 0 --wait 20
  persimmonspoke status
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="persimmonspoke",
        description="Operate persimmonspoke, a router for servers that own keys.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_questionnaire(commands)
    _add_configuration(commands)
    _add_explain(commands)
    remote = [_remote_options()]
    commands.add_parser(
        "status",
        parents=remote,
        help="list the live hosts and the generations in force",
    )
    entry = commands.add_parser(
        "assignments", parents=remote, help="show which targets own a service's keys"
    )
    entry.add_argument("team")
    entry.add_argument("service")
    entry.add_argument("--shards", action="store_true", help="list every shard")
    commands.add_parser(
        "dump", parents=remote, help="print the state of one daemon as JSON"
    )
    for name, text in (
        ("drain", "give a host or a target no new work"),
        ("undrain", "give a host or a target new work again"),
    ):
        entry = commands.add_parser(
            name,
            parents=remote,
            help=text,
            description=f"{text[0].upper()}{text[1:]}. Without --target, the host at "
            "--admin is meant. Targets are named as in the questionnaire.",
        )
        entry.add_argument(
            "--target", nargs=3, metavar=("TEAM", "SERVICE", "TARGET"), default=None
        )
    return parser


def _add_questionnaire(commands):
    """Add the commands about questionnaires."""
    group = commands.add_parser(
        "questionnaire", help="check, compare and apply a team's questionnaire"
    )
    actions = group.add_subparsers(dest="action", required=True, metavar="ACTION")
    local, remote = [_local_options()], [_remote_options()]
    entry = actions.add_parser(
        "check", parents=local, help="report every fault; needs no host"
    )
    entry.add_argument("file")
    entry = actions.add_parser(
        "generate", parents=local, help="print the configuration; needs no host"
    )
    entry.add_argument("file")
    entry.add_argument("--previous", help="the configuration that this one follows")
    entry.add_argument("--output", help="write it to this file instead of printing it")
    entry = actions.add_parser(
        "show", parents=remote, help="print the accepted questionnaire, to revise it"
    )
    entry.add_argument("team")
    entry = actions.add_parser(
        "diff", parents=remote, help="show what a questionnaire would change"
    )
    entry.add_argument("file")
    _add_apply(actions, remote)


def _add_configuration(commands):
    """Add the commands about configurations of the platform."""
    group = commands.add_parser(
        "configuration", help="check a configuration of the platform"
    )
    actions = group.add_subparsers(dest="action", required=True, metavar="ACTION")
    entry = actions.add_parser(
        "check",
        parents=[_local_options()],
        help="report errors, entries that never match and contradicting limits; needs "
        "no host",
        description="Check a configuration before it is sent. Ends with status 2 if "
        "there are errors; warnings and changes do not count.",
    )
    entry.add_argument("file", help="JSON value of the object config/main")
    entry.add_argument(
        "--in-force",
        metavar="FILE",
        help="the version in force, to list what differs from it",
    )


def _add_explain(commands):
    """Add the command that shows a request's log lines."""
    entry = commands.add_parser(
        "explain",
        parents=[_local_options()],
        help="show what happened to a request, from log files; needs no host",
        description="Print a request's log lines in the order of time, with the lines "
        "about its service, its key and the targets that were tried. Names the hosts "
        "whose lines are missing.",
    )
    entry.add_argument("request_id", metavar="ID")
    entry.add_argument(
        "files",
        nargs="*",
        metavar="FILE",
        help="logs of any hosts, also compressed (.gz); standard input by default",
    )
    entry.add_argument(
        "--before",
        type=_seconds,
        metavar="SECONDS",
        default=DEFAULT_BEFORE_S,
        help="how far back to look before the request (default: %(default)s)",
    )


def _add_apply(actions, remote):
    """Add the command that applies a questionnaire."""
    entry = actions.add_parser(
        "apply",
        parents=remote,
        help="have a questionnaire accepted and put into force",
        description="Have a questionnaire accepted. If another operator's revision "
        "was accepted since the generation that you name, nothing changes and the "
        "conflict is shown. If the response is lost, the request is repeated to learn "
        "the outcome.",
    )
    entry.add_argument("file")
    entry.add_argument(
        "--generation",
        type=_whole_number,
        required=True,
        help="generation that your file revises, as `questionnaire diff` shows it; "
        "0 for a new team",
    )
    entry.add_argument(
        "--wait",
        type=_seconds,
        metavar="SECONDS",
        help="return once every live host has it in force",
    )
    entry.add_argument(
        "--attempt",
        metavar="NAME",
        help="name of an earlier attempt whose outcome is unknown, to learn it",
    )


def _local_options():
    """Return a parser with the options of every command."""
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument("--json", action="store_true", help="print JSON")
    return options


def _remote_options():
    """Return a parser with the options of commands that call the administration API."""
    options = argparse.ArgumentParser(add_help=False, parents=[_local_options()])
    options.add_argument(
        "--admin",
        metavar="URL",
        default=DEFAULT_ADMIN_URL,
        help="administration API of any entry host (default: %(default)s)",
    )
    options.add_argument(
        "--token-file", metavar="FILE", help="file that holds the bearer token"
    )
    options.add_argument(
        "--timeout",
        type=_seconds,
        metavar="SECONDS",
        default=DEFAULT_TIMEOUT_S,
        help="longest wait for an answer (default: %(default)s)",
    )
    return options


def _seconds(text):
    """Return `text` as a positive, finite number of seconds."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds above 0")
    return value


def _whole_number(text):
    """Return `text` as an integer of 0 or more."""
    if not (text.isascii() and text.isdigit()):
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number of 0 or more")
    return int(text)
