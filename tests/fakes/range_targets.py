"""Targets that hold key ranges by grants, as the platform's targets do."""

import random
from dataclasses import dataclass, field

import eventlet

from persimmonspoke.errors import OrderOutcomeUnknown, TargetFenced, TargetUnreachable
from tests.fakes import virtual_hub
from tests.fakes.process import GateKind

LATENCY_S = 0.001
THAW_S = 0.3  # the platform counts no grant that arrives so soon after a thaw
SAMPLED_KEYS = range(0, 65536, 97)
"""The keys that targets remember; all others are like their neighbours."""


def _sampled(order):
    """Return the sampled keys that an order is about."""
    first = -(-order.first // SAMPLED_KEYS.step) * SAMPLED_KEYS.step
    return range(first, order.last + 1, SAMPLED_KEYS.step)


@dataclass
class FakeRangeTarget:
    """One target; holds are counted on its own clock, which may run slow.

    Attributes
    ----------
    fences : dict of int to int
        Highest fence seen of each key that any order named.
    holds : dict of int to (int, float)
        Fence and virtual end of the hold of each key.
    excused : dict of int to float
        Until when a hold of the key does not count, because the order for it arrived
        just after its sender had been thawed.
    silent : bool
        Whether orders get no answer and no effect.
    late_s : float
        Orders get no answer and take effect after so many seconds; 0 for at once.
    late_share : float
        Share of the orders that this happens to, drawn from `drawn`.
    work_s : float
        How long a release waits for work in hand.
    """

    name: str
    rate: float = 1.0
    silent: bool = False
    late_s: float = 0.0
    late_share: float = 1.0
    drawn: random.Random = field(default_factory=lambda: random.Random(7))
    work_s: float = 0.0
    fences: dict = field(default_factory=dict)
    holds: dict = field(default_factory=dict)
    excused: dict = field(default_factory=dict)
    orders: list = field(default_factory=list)
    taken: list = field(default_factory=list)

    def is_late(self):
        """Return whether the next order gets no answer."""
        return self.late_s > 0 and self.drawn.random() < self.late_share

    def grant(self, order, arrived, excused=False):
        """Carry out a grant that arrived at the virtual time `arrived`."""
        keys = _sampled(order)
        if any(self.fences.get(key, 0) > order.fence for key in keys):
            raise TargetFenced("a higher fence was seen")
        end = arrived + order.hold_s / self.rate
        for key in keys:
            # A grant that arrives after its time gives no key.
            if self.fences.get(key, 0) < order.fence and end > virtual_hub.now():
                self.taken.append((virtual_hub.now(), key, order.fence))
            self.fences[key] = order.fence
            if excused and key not in self.held():
                self.excused[key] = end
            self.holds[key] = (order.fence, end)

    def release(self, order):
        """Carry out a release."""
        for key in _sampled(order):
            self.fences[key] = max(order.fence, self.fences.get(key, 0))
            self.holds.pop(key, None)
        return f"handover-{self.name}-{order.fence}"

    def counted(self):
        """Return the keys that the target holds now by orders that count."""
        now = virtual_hub.now()
        return {key for key in self.held() if self.excused.get(key, 0) <= now}

    def held(self):
        """Return the keys that the target holds now."""
        now = virtual_hub.now()
        return {key for key, (_, end) in self.holds.items() if end > now}


class FakeRangeOrders:
    """Orders of one process to all targets; implements `RangeOrders`.

    Parameters
    ----------
    process : FakeProcess
        May be paused between its last check and the moment of sending.
    reaches : callable
        Returns whether the process reaches a target now.
    """

    def __init__(self, process, targets, reaches=lambda name: True):
        self._process = process
        self._targets = targets
        self._reaches = reaches

    def grant(self, target, order, deadline):
        """Grant or renew the holding of keys."""
        found = self._target(target)
        if found.is_late():
            arrived = virtual_hub.now()
            eventlet.spawn_after(found.late_s, _quietly, found.grant, order, arrived)
            self._wait_until(deadline)
            raise OrderOutcomeUnknown("no answer in time")
        found.grant(order, virtual_hub.now(), self._just_thawed())
        eventlet.sleep(LATENCY_S)

    def release(self, target, order, deadline):
        """Take keys back."""
        found = self._target(target)
        if found.is_late():
            eventlet.spawn_after(found.late_s, found.release, order)
            self._wait_until(deadline)
            raise OrderOutcomeUnknown("no answer in time")
        handover = found.release(order)
        eventlet.sleep(LATENCY_S + found.work_s)
        return handover

    def _just_thawed(self):
        return virtual_hub.now() - self._process.resumed_at <= THAW_S

    def _target(self, address):
        # A pause may fall between the last check and the first byte.
        self._process.gate(GateKind.ORDER, sending=True)
        found = self._targets[address.target_id]
        eventlet.sleep(LATENCY_S)
        if found.silent or not self._reaches(address.target_id):
            eventlet.sleep(0.5)
            raise TargetUnreachable("no connection")
        return found

    def _wait_until(self, deadline):
        eventlet.sleep(max(0.0, deadline - virtual_hub.now()))


def _quietly(grant, order, arrived):
    """Carry out a late grant; nobody hears that it was refused."""
    try:
        grant(order, arrived)
    except TargetFenced:
        return
