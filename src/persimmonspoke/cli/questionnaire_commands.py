"""Commands about questionnaires: check, generate, show, diff, apply."""

import argparse
import uuid
from pathlib import Path
from typing import Any

import yaml

from persimmonspoke.cli.client import AdminClient
from persimmonspoke.cli.report import Report, change_lines
from persimmonspoke.errors import NotInForce, UnreadableFile
from persimmonspoke.ids import Generation, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.canonical import (
    config_to_value,
    from_text,
    to_text,
)
from persimmonspoke.internal.questionnaire.generate import generate
from persimmonspoke.internal.questionnaire.questions import read_questionnaire

FIRST_POLL_PAUSE_S = 0.25
MAX_POLL_PAUSE_S = 2.0


def check(args: argparse.Namespace) -> Report:
    """Check a questionnaire without any host."""
    answers = read_questionnaire(read_file(args.file), args.file)
    count = len(answers.services)
    value = {
        "team": answers.team,
        "services": count,
        "questionnaire_hash": answers.digest(),
    }
    line = f"{args.file}: team {answers.team}, {count} services, no faults"
    return Report(value, (line,))


def generate_configuration(args: argparse.Namespace) -> Report:
    """Generate the configuration that applying the questionnaire would create."""
    answers = read_questionnaire(read_file(args.file), args.file)
    previous = None
    if args.previous is not None:
        previous = from_text(read_file(args.previous), args.previous)
    config = generate(answers, previous)
    text = to_text(config)
    if args.output is None:
        return Report(config_to_value(config), (text.rstrip("\n"),))
    _write_file(args.output, text)
    line = f"{args.output}: generation {config.generation} of team {config.team}"
    return Report({"team": config.team, "generation": config.generation}, (line,))


def show(args: argparse.Namespace, client: AdminClient) -> Report:
    """Show the accepted questionnaire as YAML that can be edited and applied."""
    value = client.get(f"/v1/teams/{args.team}/questionnaire")
    header = f"# Generation {value['generation']} of team {value['team']}."
    text = yaml.safe_dump(value["questionnaire"], sort_keys=False)
    return Report(value, (header, text.rstrip("\n")))


def diff(args: argparse.Namespace, client: AdminClient) -> Report:
    """Show what a questionnaire would change."""
    text = read_file(args.file)
    team = read_questionnaire(text, args.file).team
    value = client.post(f"/v1/teams/{team}/diff", text)
    head = f"Against generation {value['generation']} of team {team}:"
    lines = change_lines(value["changes"]) or ("  nothing changes",)
    return Report(value, (head, *lines))


def apply(args: argparse.Namespace, client: AdminClient, clock: Clock) -> Report:
    """Apply a questionnaire; with ``--wait``, return once it is in force."""
    text = read_file(args.file)
    team = read_questionnaire(text, args.file).team
    value = client.apply(
        team,
        text,
        Generation(args.generation),
        args.attempt or uuid.uuid4().hex,
        Instant(clock.now() + args.timeout),
    )
    accepted = value["generation"]
    lines = (f"Generation {accepted} of team {team} is accepted.",)
    if value["replaced"]:
        lines += ("A later generation has been accepted since.",)
    if args.wait is not None:
        deadline = Instant(clock.now() + args.wait)
        count = await_in_force(client, clock, team, accepted, deadline)
        value = {**value, "hosts_in_force": count}
        lines += (f"It is in force on all {count} live hosts.",)
    return Report(value, lines)


def await_in_force(
    client: AdminClient, clock: Clock, team: str, generation: int, deadline: Instant
) -> int:
    """Wait until all live hosts have `generation` in force and return their number.

    Raises
    ------
    NotInForce
        `deadline` passed first; the exception names the hosts that are behind.
    """
    pause_s = FIRST_POLL_PAUSE_S
    while True:
        rows = client.get("/v1/status")["hosts"]
        behind = [
            reason for row in rows if (reason := _why_behind(row, team, generation))
        ]
        if rows and not behind:
            return len(rows)
        poll_at = Instant(clock.now() + pause_s)
        if poll_at >= deadline:
            break
        clock.sleep_until(poll_at)
        pause_s = min(2 * pause_s, MAX_POLL_PAUSE_S)
    message = f"generation {generation} of team {team} is accepted, not yet in force on"
    raise NotInForce(message, behind or ["any host: none is live"])


def read_file(path: str) -> str:
    """Return the text in a file, or raise `UnreadableFile`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise UnreadableFile(f"{path} can't be read: {exc}") from exc


def _write_file(path, text):
    """Write `text` to a file, or raise `UnreadableFile`."""
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as exc:
        raise UnreadableFile(f"{path} can't be written: {exc}") from exc


def _why_behind(row: dict[str, Any], team: str, generation: int) -> str | None:
    """Return why a host does not have `generation` in force, or None if it has."""
    if not row["reachable"]:
        return f"{row['host_id']}: {row['reason']}"
    found = row["in_force"].get(team, 0)
    if found < generation:
        return f"{row['host_id']}: generation {found}"
    return None
