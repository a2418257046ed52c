"""The command ``explain``: log lines of all hosts that concern one request."""

import argparse
import gzip
import json
import sys
from collections.abc import Iterable, Iterator
from contextlib import nullcontext
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from persimmonspoke.cli.report import Report
from persimmonspoke.errors import NotInLogs, UnreadableFile

STANDARD_INPUT = "-"
FOLLOW_UP_TIME = timedelta(seconds=1)  # the leader learns of a refusal by then
REQUEST_ENDED = "callers: request ended"
OWN_MESSAGES = (
    REQUEST_ENDED,
    "callers: sent elsewhere as well",
    "targets: exchange ended early",
    "targets: sent a second time",
)
"""Messages of lines that concern only the request that they name."""

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
OWN_RUN_PREFIXES = (
    "daemon:",
    "news:",
    "routing: configuration",
    "store: new era",
    "paths:",
    "lines dropped",
)
IN_FORCE = "routing: configuration in force"
MISSED_ROUTE_OUTCOMES = ("unknown_path", "route_unconfirmed")
MISSED_CHANGE_TIME = timedelta(seconds=10)  # a change is in force by then, or never

LEADERSHIP_MESSAGES = (
    "leader: took over",
    "leader: hands over",
    "leader: stopped",
    "leader: resigned",
)
HOST_FIELDS = ("leader", "desk", "host", "former", "forwarded_to", "forwarded_by")
COMMON_FIELDS = frozenset({"time", "level", "module", "message", "run"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line in JSON.

    Attributes
    ----------
    run : str
        Id of the run that wrote the line: the host name, a dot, and the run.
    fields : dict
        All fields of the line.
    """

    time: datetime
    run: str
    message: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line as readable text."""
        details = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS
        )
        timestamp = self.time.strftime(TIME_FORMAT)[:-3]
        return f"{timestamp}  {self.run}  {self.message}  {details}".rstrip()


@dataclass(slots=True)
class LogLines:
    """The lines of all files, without those of other requests.

    Attributes
    ----------
    runs : set of str
        Runs of which any line was read.
    unreadable : int
        Number of lines that are not log lines in JSON.
    """

    lines: list[LogLine]
    runs: set[str]
    unreadable: int = 0


def explain(args: argparse.Namespace) -> Report:
    """Return the log lines that concern the request `args.request_id`.

    Raises
    ------
    NotInLogs
        No line has the id of the request.
    UnreadableFile
        A file can't be read.
    """
    collected = read_lines(args.request_id, args.files or [STANDARD_INPUT])
    request_lines = [
        line for line in collected.lines if _has_request_id(line, args.request_id)
    ]
    if not request_lines:
        raise NotInLogs(
            f"no line names request {args.request_id} among those of "
            f"{len(collected.runs)} runs; add the log of the host that took it"
        )
    relevant = sorted(
        _relevant_lines(request_lines, collected.lines, args.before),
        key=lambda line: line.time,
    )
    missing = sorted(_named_hosts(relevant) - collected.runs)
    notes = [f"no line was read of {run}, which these lines name" for run in missing]
    if collected.unreadable:
        notes.append(f"{collected.unreadable} lines were no structured lines")
    value = {
        "request_id": args.request_id,
        "lines": [line.fields for line in relevant],
        "missing": missing,
        "unreadable": collected.unreadable,
    }
    return Report(value, (*(line.text() for line in relevant), *notes))


def read_lines(request_id: str, files: Iterable[str]) -> LogLines:
    """Read files; skip the lines that concern only other requests."""
    collected = LogLines([], set())
    for name in files:
        try:
            with _open(name) as stream:
                _read_stream(collected, request_id, stream)
        except (OSError, EOFError, UnicodeDecodeError) as exc:
            raise UnreadableFile(f"{name} can't be read: {exc}") from exc
    return collected


def _open(name):
    if name == STANDARD_INPUT:
        return nullcontext(sys.stdin)
    if name.endswith(".gz"):
        return gzip.open(name, "rt", encoding="utf-8")
    return open(name, encoding="utf-8")


def _read_stream(collected, request_id, stream):
    for text in stream:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            collected.unreadable += 1
            continue
        collected.runs.add(line.run)
        if line.message not in OWN_MESSAGES or _has_request_id(line, request_id):
            collected.lines.append(line)


def _parse(text) -> LogLine | None:
    """Return a log line, without any prefix of a log collector; None if malformed."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else {}
        time = datetime.strptime(fields["time"], TIME_FORMAT)
        return LogLine(time, fields["run"], fields["message"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _has_request_id(line, request_id):
    return line.fields.get("request_id") == request_id


def _relevant_lines(request_lines, lines, before_s) -> Iterator[LogLine]:
    """Yield the request's lines, and lines about state that may have affected it."""
    took_s = max(line.fields.get("took_ms") or 0.0 for line in request_lines) / 1000
    started_at = min(line.time for line in request_lines) - timedelta(seconds=took_s)
    earliest = started_at - timedelta(seconds=before_s)
    latest = max(line.time for line in request_lines) + FOLLOW_UP_TIME
    for line in lines:
        in_time = earliest <= line.time <= latest
        if line in request_lines or any(
            _is_about_repetition(line, request_line)
            or _is_missed_change(line, request_line)
            or (in_time and _is_related(line, request_line))
            for request_line in request_lines
        ):
            yield line


def _is_about_repetition(line, request):
    """Return whether a line concerns an equal request, however long ago."""
    fingerprint = request.fields.get("fingerprint")
    return fingerprint is not None and line.fields.get("fingerprint") == fingerprint


def _is_missed_change(line, request):
    """Return whether a host got a newer configuration than one that knew no route."""
    refused = request.fields.get("outcome") in MISSED_ROUTE_OUTCOMES
    if not refused or line.message != IN_FORCE:
        return False
    newer = line.fields.get("generation", 0) > request.fields.get("generation", 0)
    return newer and abs(line.time - request.time) <= MISSED_CHANGE_TIME


def _is_related(line, request):
    """Return whether a line concerns a request's host, service, key or targets."""
    fields, request_fields = line.fields, request.fields
    if line.message.startswith(LEADERSHIP_MESSAGES):
        return True
    if line.run == request.run and line.message.startswith(OWN_RUN_PREFIXES):
        return True
    key = request_fields.get("key")
    if "key" in fields and str(fields["key"]) != key:
        return False
    tried_targets = {attempt[0] for attempt in request_fields.get("attempts") or ()}
    if tried_targets & _named_targets(fields):
        return True
    if (
        fields.get("service") != request_fields.get("service")
        or "service" not in fields
    ):
        return False
    if line.message.startswith("desk:"):
        return True
    if key is None or "first" not in fields:
        return False
    return fields["first"] <= int(key) <= fields["last"]


def _named_targets(fields):
    """Return the targets in the fields of a line."""
    targets = set()
    for name in ("target", "from", "to"):
        value = fields.get(name)
        targets |= set(value) if isinstance(value, list) else {value}
    return targets - {None}


def _named_hosts(lines):
    """Return the runs in the fields of lines."""
    named = {line.fields.get(name) for line in lines for name in HOST_FIELDS}
    # Plain host names, without a run after the dot, do not show which log is missing.
    return {run for run in named if isinstance(run, str) and "." in run}
