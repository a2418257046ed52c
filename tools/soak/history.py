"""Records of a soak of real processes, and how they are read from its folder.

Each process appends JSON lines to a file of its own.  All times are seconds of the
machine's monotonic clock, so records of different processes can be compared.
"""

import dataclasses
import json
import pathlib
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any


class UnreadableHistory(Exception):
    """A folder can't be read as the records of a run."""


@dataclass(frozen=True)
class Record:
    """One line; `at` is when it was written, right after what it tells of."""

    at: float


@dataclass(frozen=True)
class Start(Record):
    """A process begins; no other one has its label `process`."""

    process: str
    id: str = ""
    role: str = "target"
    address: str = ""
    service: str | None = None
    born: int | None = None


@dataclass(frozen=True)
class End(Record):
    """A process has ended, and the runner has waited for it."""

    process: str
    how: str = ""


@dataclass(frozen=True)
class Change(Record):
    """Something happens to a process, which its kind tells."""

    process: str


@dataclass(frozen=True)
class LinkChange(Record):
    """A link is harmed from now on, or whole again."""

    what: str
    ends: Any


@dataclass(frozen=True)
class Connection(Record):
    """A host has a connection to a target, which sees it come from the port `via`."""

    via: int
    host: str | None
    end: str


@dataclass(frozen=True)
class Stall(Record):
    """The proxy passed nothing on for the `for_s` seconds before."""

    for_s: float


@dataclass(frozen=True)
class Order(Record):
    """A release that has reached a target, for the keys ``[range_from, range_to)``.

    The target begins no work on them from `at` on.
    """

    process: str
    range_from: int
    range_to: int
    fence: int
    outcome: str


@dataclass(frozen=True)
class Grant(Order):
    """A grant that has reached a target.

    Attributes
    ----------
    arrived_at, hold_s : float
        From when on its time counts, and how long that is.
    held_until : float, optional
        When its time is over by the target's clock, which may run slow.
    late, held_up : bool
        Whether the target applied it later than it arrived; whether it was delayed on
        its way.
    via : int, optional
        Port that it came from.
    """

    arrived_at: float
    hold_s: float
    held_until: float | None = None
    late: bool = False
    held_up: bool = False
    via: int | None = None

    @property
    def end_at(self):
        """Return when its time is over."""
        by_request = self.arrived_at + self.hold_s
        return by_request if self.held_until is None else self.held_until

    @property
    def is_taken(self):
        """Return whether the target has applied it, for the first time or again."""
        return self.outcome in ("taken", "duplicate")


@dataclass(frozen=True)
class Work(Record):
    """A target has begun to work on a request, or ended that."""

    process: str
    request: str
    key: int  # -1 if it needs none
    protected: bool
    started_at: float
    ended_at: float | None = None
    fence: int | None = None


@dataclass(frozen=True)
class Sent(Record):
    """A caller has sent a request to a host, if its name is known."""

    request: str
    key: int  # -1 if it needs none
    protected: bool
    service: str | None = None
    host: str | None = None


@dataclass(frozen=True)
class Answered(Record):
    """A caller has got an answer, whose body names a target and a request."""

    request: str
    status: int
    complete: bool
    body_process: str | None = None
    body_request: str | None = None


@dataclass(frozen=True)
class Lost(Record):
    """A caller has got no answer: the connection ended, or the caller gave up."""

    request: str
    error: str = ""


FILES = ("runner.jsonl", "callers.jsonl", "target-*.jsonl")
KINDS = {
    "process_start": Start,
    "process_end": End,
    "pause": Change,
    "resume": Change,
    "term": Change,
    "cut": LinkChange,
    "heal": LinkChange,
    "conn": Connection,
    "stall": Stall,
    "life": Start,
    "grant": Grant,
    "release": Order,
    "work": Work,
    "draining": Change,
    "leaving": Change,  # the store has acknowledged that
    "sent": Sent,
    "answered": Answered,
    "lost": Lost,
}


@dataclass
class History:
    """All records of a run, by kind in the order of time.

    Attributes
    ----------
    torn : dict of str to str
        Incomplete last line of a file, as a process leaves it that is killed.
    """

    records: dict = field(default_factory=lambda: defaultdict(list))
    torn: dict = field(default_factory=dict)

    @classmethod
    def of(cls, rows, torn=None):
        """Return the history of decoded lines in any order."""
        history = cls(torn=torn or {})
        for row in sorted(rows, key=lambda row: row["at"]):
            # Kinds and fields that came after this reader are left out.
            if row["kind"] in KINDS:
                record_type = KINDS[row["kind"]]
                names = {found.name for found in dataclasses.fields(record_type)}
                values = {name: row[name] for name in names & row.keys()}
                history.records[row["kind"]].append(record_type(**values))
        return history

    def all(self, kind):
        """Return the records of a kind."""
        return self.records.get(kind, [])

    def works(self):
        """Return one record, the last one, for each run of a request."""
        runs = {(w.process, w.request, w.started_at): w for w in self.all("work")}
        return list(runs.values())


def read(folder):
    """Return the history in a folder.

    Raises
    ------
    UnreadableHistory
        If the folder has no record of the runner, or a line other than the last one of
        a file can't be read.
    """
    rows, torn = [], {}
    folder = pathlib.Path(folder)
    if not (folder / "runner.jsonl").exists():
        raise UnreadableHistory(f"{folder} has no runner.jsonl: is it a run's folder?")
    for path in sorted(path for name in FILES for path in folder.glob(name)):
        lines = path.read_text(errors="replace").split("\n")
        if lines[-1]:  # A line is complete once its line feed has been written.
            torn[path.stem] = lines[-1]
        for number, line in enumerate(lines[:-1], 1):
            try:
                rows.append(json.loads(line))
                History.of(rows[-1:])
            except (ValueError, KeyError, TypeError) as exc:
                raise UnreadableHistory(f"{path}:{number}: {exc!r}") from exc
    return History.of(rows, torn)
