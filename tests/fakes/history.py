"""What an observer outside of the system sees; the checkers read it."""

from dataclasses import dataclass, field

from persimmonspoke.ids import Epoch, RequestId, TargetId
from tests.fakes import virtual_hub

ShardKey = tuple[str, str, int]


@dataclass(slots=True)
class Hold:
    """A span of virtual time in which a target would accept work for a shard."""

    target: TargetId
    shard: ShardKey
    epoch: Epoch
    since: float
    until: float
    checks: bool


@dataclass(slots=True)
class Execution:
    """One run of one request at a target; `ended` is None while it goes on."""

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
    """What the caller of one request was told."""

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
    """A span of virtual time in which operators wanted a target to leave."""

    target: TargetId
    since: float
    until: float = float("inf")


@dataclass
class History:
    """All that was seen, in the order in which it happened."""

    holds: list[Hold] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    in_force: list = field(default_factory=list)
    acknowledged: list = field(default_factory=list)
    leaving: list = field(default_factory=list)
    _open: dict = field(default_factory=dict)

    def record_hold(self, target, shard, epoch, until, checks):
        """Note that `target` now accepts work for `shard` until a virtual time."""
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
        """Note that `target` accepts no more work for `shard` from now on."""
        hold = self._open.pop((target, shard), None)
        if hold is not None:
            hold.until = min(hold.until, virtual_hub.now())

    def record_drain(self, target):
        """Note that from now on `target`, and no other, is to leave."""
        now = virtual_hub.now()
        if self.leaving:
            if self.leaving[-1].target == target:
                return
            self.leaving[-1].until = now
        self.leaving.append(Leaving(target, now))

    def record_crash(self, target):
        """Note that `target` lost all that it held and all that it ran."""
        for name, shard in list(self._open):
            if name == target:
                self.record_drop(name, shard)
        for execution in self.executions:
            if execution.target == target and execution.ended is None:
                execution.ended = virtual_hub.now()
