"""A fake of the platform's object API, with the known ways in which it fails."""

import json
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import eventlet
import eventlet.event

from persimmonspoke.errors import (
    StoreCompacted,
    StoreConflict,
    StoreError,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.internal.store.api import Listing, StoredObject
from tests.fakes import virtual_hub
from tests.fakes.process import GateKind

LATENCY_S = 0.003
STEP_S = 0.05  # between two looks at a gap that goes on
MAX_VALUE_BYTES = 1_000_000


class WriteFate(Enum):
    """What happens to a write whose answer is lost."""

    AFTER_EFFECT = "took effect"
    BEFORE_EFFECT = "did not take effect"
    LATE_EFFECT = "takes effect later"


class WatchGap(Enum):
    """What watches say while they hear nothing of the changes that are made."""

    SILENT = "no answer until they are cut"
    ENDS = "they end without a change, at the revision from which they were asked"
    ENDS_NEWEST = "the same, but they name the store's newest revision"


@dataclass
class StoreFaults:
    """The faults in effect now, for one process or for all.

    Attributes
    ----------
    down : bool
        Whether connections are refused and open calls fail.
    silent : bool
        Whether calls are accepted but neither executed nor answered.
    extra_s : float
        Additional latency of each call.
    lost : deque of Lost
        Fates of the next writes, in order; their answers are lost.
    lose_changes : bool
        Whether the answers of watches that tell of changes are lost.
    gap : WatchGap or None
        What watches say while they hear nothing, as before the history is dropped.
    late_s : float
        Delay after which a write of fate `LATE_EFFECT` takes effect.
    """

    down: bool = False
    silent: bool = False
    extra_s: float = 0.0
    lost: deque = field(default_factory=deque)
    lose_changes: bool = False
    gap: WatchGap | None = None
    late_s: float = 60.0


class FakePlatformStore:
    """The stored objects, shared by all processes.

    Attributes
    ----------
    calls : list of (float, str)
        Virtual time and kind of each call that reached the store.
    era : int
        Number of restorations so far.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.revision = 0
        self.calls = []
        self._objects = {}
        self._log = []
        self._writes = []
        self._compacted = 0
        self._copies = []
        self.era = 0
        self.cuts = 0  # times that all waiting watches were cut off
        self._changed = eventlet.event.Event()

    def get(self, key):
        """Return the object under `key`."""
        if key not in self._objects:
            raise StoreMissing(key)
        return self._read(key, *self._objects[key])

    def list(self, prefix):
        """Return all objects under `prefix`."""
        found = sorted(self._objects.items())
        items = [self._read(key, *had) for key, had in found if key.startswith(prefix)]
        return Listing(tuple(items), self.revision, self.era)

    def put(self, key, value, version):
        """Write `value` if the object is at `version`; None deletes the object."""
        if self._objects.get(key, (None, 0))[1] != version:
            raise StoreConflict(f"{key} is not at version {version}")
        text = json.dumps(value or {})
        if len(text) > MAX_VALUE_BYTES:
            raise ValueError(f"{key} would hold {len(text)} bytes")
        self._copies.append((virtual_hub.now(), self.revision, dict(self._objects)))
        self.revision += 1
        self._objects[key] = (text, self.revision)
        if value is None:
            del self._objects[key]
        self._log.append((self.revision, key, text))
        stored = self._read(key, text, self.revision)
        self._writes.append(stored)
        self.wake()
        return stored

    def changes(self, prefix, revision):
        """Return the latest change of each object after `revision`."""
        if not self._compacted <= revision <= self.revision:
            raise StoreCompacted(str(revision))
        newest = {
            key: self._read(key, text, at)
            for at, key, text in self._log
            if at > revision and key.startswith(prefix)
        }
        return Listing(tuple(newest.values()), self.revision, self.era)

    def restore(self, age_s):
        """Replace all objects by those of `age_s` ago, and begin a new era."""
        lost = [copy for copy in self._copies if copy[0] > virtual_hub.now() - age_s]
        if lost:
            _, self.revision, self._objects = lost[0]
            self._copies = self._copies[: -len(lost)]
        self._log = [change for change in self._log if change[0] <= self.revision]
        self.era += 1
        self.wake()

    def compact(self):
        """Discard the log of past changes."""
        self._compacted = self.revision
        self._log.clear()

    def begin_gap(self, gap):
        """Let watches hear nothing of changes until `end_gap`."""
        self.faults.gap = gap

    def end_gap(self):
        """Drop the history, and cut off all waiting watches."""
        self.faults.gap = None
        self.compact()
        self.cuts += 1
        self.wake()

    def writes(self):
        """Return all writes so far, in order."""
        return tuple(self._writes)

    def wake(self):
        """Wake all waiting watches, which then check for changes and faults."""
        fired, self._changed = self._changed, eventlet.event.Event()
        fired.send()

    def wait(self, timeout_s):
        """Wait until `wake` is called, for `timeout_s` at most."""
        self._changed.wait(timeout=timeout_s)

    def rate(self, since, until, writes):
        """Return the calls per second in a span of virtual time."""
        kinds = ("write",) if writes else ("read", "watch")
        hits = [at for at, kind in self.calls if since <= at < until and kind in kinds]
        return len(hits) / (until - since)

    def _read(self, key, text, version):
        return StoredObject(key, json.loads(text), version, self.era)


class FakeStore:
    """One process's connection to the platform's store; implements `Store`."""

    def __init__(self, platform, process):
        self.platform = platform
        self.process = process
        self.faults = StoreFaults()
        self.era = 0
        self.heard_at = float("-inf")
        self.lists = 0

    def get(self, key, deadline):
        """Return the object under `key`, or raise `StoreMissing`."""
        return self._call("read", lambda: self.platform.get(key), deadline)

    def get_stale(self, key, deadline):
        """Return the object under `key`, like `get`."""
        return self._call("stale", lambda: self.platform.get(key), deadline)

    def list(self, prefix, deadline):
        """Return all objects whose keys start with `prefix`."""
        self.lists += 1
        return self._call("read", lambda: self.platform.list(prefix), deadline)

    def create(self, key, value, deadline):
        """Write a new object, or raise `StoreConflict` if the key exists."""
        return self.update(key, value, 0, deadline)

    def update(self, key, value, version, deadline):
        """Replace the object if its version is still `version`."""
        work = lambda: self.platform.put(key, value, version)  # noqa: E731
        return self._call("write", work, deadline)

    def delete(self, key, version, deadline):
        """Remove the object if its version is still `version`."""
        self._call("write", lambda: self.platform.put(key, None, version), deadline)

    def watch(self, prefix, revision, deadline, answer_deadline=None):
        """Wait for changes after `revision` and return them."""
        ends = self.process.virtual(deadline)

        def work():
            cuts = self.platform.cuts
            while True:
                self._raise_if_down()
                if self.platform.cuts != cuts:
                    raise StoreUnavailable("the watch was cut off")
                gap = self.platform.faults.gap
                found = self.platform.changes(prefix, revision)
                if gap is not None:
                    newest = gap is WatchGap.ENDS_NEWEST
                    rev = self.platform.revision if newest else revision
                    found = Listing((), rev, self.platform.era)
                left = ends - virtual_hub.now()
                if gap is not WatchGap.SILENT and (found.items or left <= LATENCY_S):
                    return found
                is_over = left <= LATENCY_S  # and the answer is withheld
                self.platform.wait(STEP_S if is_over else left - LATENCY_S)

        return self._call("watch", work, answer_deadline or deadline)

    def _call(self, kind, work, deadline):
        """Make one call under the faults in effect."""
        self.process.gate(GateKind.STORE, sending=True)
        ends = self.process.virtual(deadline)
        fate = self._fate() if kind == "write" else None
        answer = eventlet.event.Event()
        eventlet.spawn_n(self._serve, kind, work, fate, answer)
        outcome = answer.wait(timeout=max(0.0, ends - virtual_hub.now()))
        self.process.gate(GateKind.STORE)
        if outcome is None:
            raise self._no_answer(kind)
        returned, raised, era = outcome
        self.era = max(self.era, era)
        if raised is not None:
            raise raised
        self.heard_at = self.process.local(virtual_hub.now())
        return returned

    def _serve(self, kind, work, fate, answer):
        """Execute one call in the store, and send the answer."""
        extra_s = max(self.platform.faults.extra_s, self.faults.extra_s)
        eventlet.sleep((LATENCY_S + extra_s) / 2)
        if self.platform.faults.silent or self.faults.silent:
            return
        returned = raised = None
        try:
            self._raise_if_down()
            self.platform.calls.append((virtual_hub.now(), kind))
            if fate is WriteFate.LATE_EFFECT:
                late_s = max(self.platform.faults.late_s, self.faults.late_s)
                eventlet.spawn_after(late_s, _ignore_conflict, work)
            elif fate is not WriteFate.BEFORE_EFFECT:
                returned = work()
        except StoreError as exc:
            raised = exc
        era = self.platform.era
        eventlet.sleep((LATENCY_S + extra_s) / 2)
        if fate is not None:
            returned, raised = None, self._no_answer(kind)
        loses = self.platform.faults.lose_changes or self.faults.lose_changes
        if kind == "watch" and loses and returned is not None and returned.items:
            return
        if not answer.ready():
            answer.send((returned, raised, 0 if fate is not None else era))

    def _fate(self):
        """Return the fate of the next write, or None without a fault."""
        for faults in (self.faults, self.platform.faults):
            if faults.lost:
                return faults.lost.popleft()
        return None

    def _raise_if_down(self):
        if self.platform.faults.down or self.faults.down:
            raise StoreUnavailable("the store refuses connections")

    @staticmethod
    def _no_answer(kind):
        if kind == "write":
            return StoreOutcomeUnknown("no answer to a write")
        return StoreUnavailable("no answer")


def _ignore_conflict(work):
    """Execute a late write, whose version may be out of date."""
    try:
        work()
    except StoreConflict:
        return
