"""The history that an outside observer records, for the checkers."""

from dataclasses import dataclass, field

from persimmonspoke.ids import Epoch, RequestId, TargetId
from tests.fakes import virtual_hub

ShardKey = tuple[str, str, int]


@dataclass(slots=True)
class Hold:
    """A span of virtual time in which a target would accept requests for a shard."""

    target: TargetId
    shard: ShardKey
    epoch: Epoch
    since: float
    until: float
    checks: bool


@dataclass(slots=True)
class Execution:
    """One execution of a request at a target; `ended` is None while it runs."""

    request: RequestId
    protected: bool
    target: TargetId
    shard: ShardKey | None
    epoch: Epoch | None
    sent: float
    started: float
    checks: bool
    ended: float | None = None


@dataclass(slots=True)
class Answer:
    """The answer to one request, as the caller received it."""

    request: RequestId
    key: str
    asked_at: float
    answered_at: float
    status: int
    run: str | None = None
    kind: str | None = None
    body: str | None = None


@dataclass(slots=True)
class Leaving:
    """A span of virtual time in which a target was drained."""

    target: TargetId
    since: float
    until: float = float("inf")


@dataclass
class History:
    """All recorded events, in the order in which they happened."""

    holds: list[Hold] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    in_force: list = field(default_factory=list)
    acknowledged: list = field(default_factory=list)
    leaving: list = field(default_factory=list)
    _open: dict = field(default_factory=dict)

    def record_hold(self, target, shard, epoch, until, checks):
        """Record that `target` accepts requests for `shard` from now to `until`."""
        now = virtual_hub.now()
        hold = self._open.get((target, shard))
        if hold is not None and hold.until >= now and hold.epoch == epoch:
            hold.until = max(until, now)
            return
        self.record_drop(target, shard)
        hold = Hold(target, shard, epoch, now, until, checks)
        self._open[target, shard] = hold
        self.holds.append(hold)

    def record_drop(self, target, shard):
        """Record that `target` accepts no more requests for `shard` from now on."""
        hold = self._open.pop((target, shard), None)
        if hold is not None:
            hold.until = min(hold.until, virtual_hub.now())

    def record_drain(self, target):
        """Record that from now on `target`, and no other, is drained."""
        now = virtual_hub.now()
        if self.leaving:
            if self.leaving[-1].target == target:
                return
            self.leaving[-1].until = now
        self.leaving.append(Leaving(target, now))

    def record_crash(self, target):
        """Record that `target` crashed, which ends all its holds and executions."""
        for name, shard in list(self._open):
            if name == target:
                self.record_drop(name, shard)
        for execution in self.executions:
            if execution.target == target and execution.ended is None:
                execution.ended = virtual_hub.now()
