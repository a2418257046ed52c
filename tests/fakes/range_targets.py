"""Fake targets that hold key ranges under grants, as the platform's targets do."""

import random
from dataclasses import dataclass, field

import eventlet

from persimmonspoke.errors import (
    OrderConnectionLost,
    OrderOutcomeUnknown,
    TargetFenced,
    TargetRefusedConnection,
    TargetUnreachable,
)
from tests.fakes import virtual_hub
from tests.fakes.process import GateKind

LATENCY_S = 0.001
THAW_GRACE_S = 0.3  # the platform ignores a grant so soon after its sender's pause
SAMPLED_KEYS = range(0, 65536, 97)
"""The keys that targets record; all others behave like their neighbours."""


def _sampled(order):
    """Return the sampled keys that an order covers."""
    first = -(-order.first // SAMPLED_KEYS.step) * SAMPLED_KEYS.step
    return range(first, order.last + 1, SAMPLED_KEYS.step)


@dataclass
class FakeRangeTarget:
    """One target; its holds end by its own clock, which may run slow.

    Attributes
    ----------
    rate : float
        Speed of the target's clock, relative to virtual time.
    silent : bool
        Whether orders have no effect and get no answer.
    down : bool
        Whether no process listens at the target's address.
    late_s : float
        Delay after which orders take effect without an answer; 0 for orders that are
        executed and answered at once.
    late_share : float
        Share of the orders that are delayed by `late_s`, drawn from `rng`.
    work_s : float
        How long a release waits for requests in flight.
    fences : dict of int to int
        Highest fence that any order has carried, for each key.
    holds : dict of int to (int, float)
        Fence of each key's hold, and its end in virtual time.
    uncounted : dict of int to float
        Time until which a hold of the key does not count as one, because its order
        arrived just after the pause of its sender had ended.
    acquisitions : list of (float, int, int)
        Time, key and fence of each grant under a fence that is new for the key.
    """

    name: str
    rate: float = 1.0
    silent: bool = False
    down: bool = False
    late_s: float = 0.0
    late_share: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    work_s: float = 0.0
    fences: dict = field(default_factory=dict)
    holds: dict = field(default_factory=dict)
    uncounted: dict = field(default_factory=dict)
    orders: list = field(default_factory=list)
    acquisitions: list = field(default_factory=list)

    def is_late(self):
        """Draw whether the next order is delayed and not answered."""
        return self.late_s > 0 and self.rng.random() < self.late_share

    def grant(self, order, arrived, uncounted=False):
        """Execute a grant that arrived at the virtual time `arrived`."""
        keys = _sampled(order)
        if any(self.fences.get(key, 0) > order.fence for key in keys):
            raise TargetFenced("a higher fence was seen")
        end = arrived + order.hold_s / self.rate
        for key in keys:
            # A grant that is executed after its end gives no key.
            if self.fences.get(key, 0) < order.fence and end > virtual_hub.now():
                self.acquisitions.append((virtual_hub.now(), key, order.fence))
            self.fences[key] = order.fence
            if uncounted and key not in self.held():
                self.uncounted[key] = end
            self.holds[key] = (order.fence, end)

    def release(self, order):
        """Execute a release, and return a handover."""
        for key in _sampled(order):
            self.fences[key] = max(order.fence, self.fences.get(key, 0))
            self.holds.pop(key, None)
        return f"handover-{self.name}-{order.fence}"

    def crash(self):
        """End the process, and with it its holds and what it knows of fences."""
        self.down = True
        self.holds.clear()
        self.fences.clear()

    def counted_keys(self):
        """Return the keys of `held` whose holds count."""
        now = virtual_hub.now()
        return {key for key in self.held() if self.uncounted.get(key, 0) <= now}

    def held(self):
        """Return the keys that the target holds at present."""
        now = virtual_hub.now()
        return {key for key, (_, end) in self.holds.items() if end > now}


class FakeRangeOrders:
    """Orders of one process to all targets; implements `RangeOrders`.

    Parameters
    ----------
    process : FakeProcess
        May be paused between its last check and the sending of an order.
    reaches : callable
        Returns whether the process can connect to a target.
    is_refused : callable
        Returns whether a connection to a target that it can't reach is refused.
    listening : dict of str to str, optional
        Targets whose processes listen at the addresses of others, by these.
    """

    def __init__(
        self,
        process,
        targets,
        reaches=lambda name: True,
        is_refused=lambda: False,
        listening=None,
    ):
        self._process = process
        self._targets = targets
        self._reaches = reaches
        self._is_refused = is_refused
        self._listening = {} if listening is None else listening
        # Names of the processes at the other ends of this one's connections.
        self._connected: dict[str, str] = {}

    def grant(self, target, order, deadline):
        """Grant keys to a target, or renew its grant."""
        found = self._target(target)
        if found.is_late():
            arrived = virtual_hub.now()
            eventlet.spawn_after(
                found.late_s, _grant_ignoring_refusal, found.grant, order, arrived
            )
            self._wait_until(deadline)
            raise OrderOutcomeUnknown("no answer in time")
        found.grant(order, virtual_hub.now(), self._thawed_recently())
        eventlet.sleep(LATENCY_S)

    def release(self, target, order, deadline):
        """Revoke a target's grant."""
        found = self._target(target)
        if found.is_late():
            eventlet.spawn_after(found.late_s, found.release, order)
            self._wait_until(deadline)
            raise OrderOutcomeUnknown("no answer in time")
        handover = found.release(order)
        eventlet.sleep(LATENCY_S + found.work_s)
        return handover

    def _thawed_recently(self):
        return virtual_hub.now() - self._process.resumed_at <= THAW_GRACE_S

    def _target(self, address):
        # A pause can begin between the last check and the first byte.
        self._process.gate(GateKind.ORDER, sending=True)
        name = self._listening.get(address.target_id, address.target_id)
        found = self._targets[name]
        eventlet.sleep(LATENCY_S)
        if found.down:
            raise TargetRefusedConnection("nothing listens")
        if self._connected.setdefault(address.target_id, name) != name:
            del self._connected[address.target_id]
            raise OrderConnectionLost("the process at the other end has ended")
        if not self._reaches(address.target_id) and self._is_refused():
            raise TargetRefusedConnection("nothing listens")
        if found.silent or not self._reaches(address.target_id):
            eventlet.sleep(0.5)
            raise TargetUnreachable("no connection")
        return found

    def _wait_until(self, deadline):
        eventlet.sleep(max(0.0, deadline - virtual_hub.now()))


def _grant_ignoring_refusal(grant, order, arrived):
    """Execute a late grant; its sender is not informed of a refusal."""
    try:
        grant(order, arrived)
    except TargetFenced:
        return
