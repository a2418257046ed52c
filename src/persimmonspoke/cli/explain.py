"""The command ``explain``: one request's story, from the hosts' log lines."""

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
AFTER = timedelta(seconds=1)  # a leader hears of a refusal within a second
REQUEST_ENDED = "callers: request ended"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
OWN_RUN = ("daemon:", "news:", "routing: configuration", "lines dropped")
LEADERS = ("leader: took over", "leader: stopped", "leader: resigned")
HOST_FIELDS = ("leader", "desk", "host", "former")
COMMON_FIELDS = frozenset({"time", "level", "module", "message", "run"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line.

    Attributes
    ----------
    run : str
        Host and process that wrote it.
    fields : dict
        All fields, as written.
    """

    time: datetime
    run: str
    message: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line for people."""
        rest = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS
        )
        stamp = self.time.strftime(TIME_FORMAT)[:-3]
        return f"{stamp}  {self.run}  {self.message}  {rest}".rstrip()


@dataclass(slots=True)
class LogLines:
    """What was read of all files, without the lines of other requests.

    Attributes
    ----------
    unreadable : int
        Lines that are no structured line.
    """

    lines: list[LogLine]
    runs: set[str]
    unreadable: int = 0


def explain(args: argparse.Namespace) -> Report:
    """Tell what happened to the request `args.request_id`.

    Raises
    ------
    NotInLogs
        No line names the request.
    UnreadableFile
        A file can't be read.
    """
    read = read_lines(args.request_id, args.files or [STANDARD_INPUT])
    own = [line for line in read.lines if _names(line, args.request_id)]
    if not own:
        raise NotInLogs(
            f"no line names request {args.request_id} among those of "
            f"{len(read.runs)} runs; add the log of the host that took it"
        )
    story = sorted(_story(own, read.lines, args.before), key=lambda line: line.time)
    missing = sorted(_named_hosts(story) - read.runs)
    notes = [f"no line was read of {run}, which these lines name" for run in missing]
    if read.unreadable:
        notes.append(f"{read.unreadable} lines were no structured lines")
    value = {
        "request_id": args.request_id,
        "lines": [line.fields for line in story],
        "missing": missing,
        "unreadable": read.unreadable,
    }
    return Report(value, (*(line.text() for line in story), *notes))


def read_lines(request_id: str, files: Iterable[str]) -> LogLines:
    """Read files, and keep what may have to do with one request."""
    read = LogLines([], set())
    for name in files:
        try:
            with _open(name) as stream:
                _take(read, request_id, stream)
        except (OSError, EOFError, UnicodeDecodeError) as exc:
            raise UnreadableFile(f"{name} can't be read: {exc}") from exc
    return read


def _open(name):
    if name == STANDARD_INPUT:
        return nullcontext(sys.stdin)
    if name.endswith(".gz"):
        return gzip.open(name, "rt", encoding="utf-8")
    return open(name, encoding="utf-8")


def _take(read, request_id, stream):
    for text in stream:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            read.unreadable += 1
            continue
        read.runs.add(line.run)
        if line.message != REQUEST_ENDED or _names(line, request_id):
            read.lines.append(line)


def _parse(text) -> LogLine | None:
    """Return a line; what a collector has put before the fields is skipped."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else {}
        time = datetime.strptime(fields["time"], TIME_FORMAT)
        return LogLine(time, fields["run"], fields["message"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _names(line, request_id):
    return line.fields.get("request_id") == request_id


def _story(own, lines, before_s) -> Iterator[LogLine]:
    """Yield the request's lines, and the beliefs that may have decided it."""
    took_s = max(line.fields.get("took_ms") or 0.0 for line in own) / 1000
    began = min(line.time for line in own) - timedelta(seconds=took_s)
    first = began - timedelta(seconds=before_s)
    last = max(line.time for line in own) + AFTER
    for line in lines:
        in_time = first <= line.time <= last
        if line in own or (in_time and any(_bears_on(line, r) for r in own)):
            yield line


def _bears_on(line, request):
    """Return whether a belief has to do with a request's service, key or targets."""
    fields, of = line.fields, request.fields
    if line.message.startswith(LEADERS):
        return True
    if line.run == request.run and line.message.startswith(OWN_RUN):
        return True
    key = of.get("key")
    if "key" in fields and str(fields["key"]) != key:
        return False
    tried = {attempt[0] for attempt in of.get("attempts") or ()}
    if tried & _targets(fields):
        return True
    if fields.get("service") != of.get("service") or "service" not in fields:
        return False
    if line.message.startswith("desk:"):
        return True
    if key is None or "first" not in fields:
        return False
    return fields["first"] <= int(key) <= fields["last"]


def _targets(fields):
    """Return the targets that a line names."""
    found = set()
    for name in ("target", "from", "to"):
        value = fields.get(name)
        found |= set(value) if isinstance(value, list) else {value}
    return found - {None}


def _named_hosts(lines):
    """Return the runs of hosts that lines name."""
    named = {line.fields.get(name) for line in lines for name in HOST_FIELDS}
    # Host names have no process id; only runs tell whether a log is missing.
    return {run for run in named if isinstance(run, str) and "." in run}
