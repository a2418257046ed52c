"""Fake targets, and the clients that send orders and requests to them."""

from dataclasses import dataclass
from functools import partial

import eventlet

from persimmonspoke import errors
from persimmonspoke.errors import (
    OrderOutcomeUnknown,
    RouteLapsed,
    TargetFenced,
    TargetRefusedConnection,
    TargetShed,
    TargetUnreachable,
)
from persimmonspoke.ids import TeamId
from persimmonspoke.internal.targets.api import OrderReply, TargetAddress
from persimmonspoke.internal.targets.settings import TargetSettings
from tests.fakes import virtual_hub
from tests.fakes.history import Execution
from tests.fakes.network import AnswerLost, ConnectionRefused, NotSent
from tests.fakes.process import FakeClock, FakeProcess, GateKind
from tests.fakes.target_requests import FakeAnswer

DRAIN_POLL_S = 0.01
WORK_S = 0.005
CONNECT_S = 0.001


@dataclass
class _HeldShard:
    """One shard that a target owns until `not_after`, on the target's clock."""

    page: tuple
    epoch: int
    not_after: float


class FakeTarget:
    """One target, across restarts.

    Parameters
    ----------
    checks : bool
        Whether it refuses orders and requests with an outdated epoch.

    Attributes
    ----------
    team : TeamId
        The team that it serves.
    work_s : float
        Duration of one request.
    sheds : bool
        Whether it refuses all requests without running them.
    """

    team = TeamId("m")

    def __init__(self, address: TargetAddress, history, checks=True, rate=1.0):
        self.address = address
        self.history = history
        self.checks = checks
        self.work_s = WORK_S
        self.sheds = False
        self.process = FakeProcess(address.target_id, address.ip, rate, 5000.0)
        self._forget()

    def _forget(self):
        self.held = {}
        self.fences = {}
        self.busy = {}

    def kill(self):
        """Kill the process; its machine refuses connections from then on."""
        self.process.kill()
        self.history.record_crash(self.address.target_id)
        self._forget()

    def restart(self):
        """Start a new run, which owns nothing, on the same machine."""
        old = self.process
        self.process = FakeProcess(old.name, old.machine, old.rate, old.offset)

    def clock(self):
        """Return the time on the target's clock."""
        return FakeClock(self.process).now()

    def grant(self, order):
        """Execute a grant order."""
        page = (order.team, order.service, order.page)
        self._check_fence(page, order.fence)
        for granted in order.shards:
            self._hold(page, granted, order.not_after)
        return OrderReply(self.clock())

    def release(self, order):
        """Execute a release order; return when requests in flight have ended."""
        page = (order.team, order.service, order.page)
        self._check_fence(page, order.fence)
        shards = [(order.team, order.service, shard) for shard in order.shards]
        for shard in shards:
            self.held.pop(shard, None)
            self.history.record_drop(self.address.target_id, shard)
        while any(self.busy.get(shard) for shard in shards):
            eventlet.sleep(DRAIN_POLL_S)
            self.process.gate(GateKind.CLOCK)
        return OrderReply(self.clock())

    def accepts(self, shard, epoch):
        """Return whether a request for `shard` may run here now."""
        if not self.checks or shard is None:
            return True
        held = self.held.get(shard)
        return (
            held is not None and held.epoch == epoch and self.clock() < held.not_after
        )

    def execute(self, request, protected, shard, epoch, sent):
        """Run one request, and return its id as the answer."""
        if self.sheds:
            raise TargetShed(f"{self.address.target_id} is overloaded")
        if not self.accepts(shard, epoch):
            raise TargetFenced(f"{self.address.target_id} does not own {shard}")
        name = self.address.target_id
        run = Execution(
            request, protected, name, shard, epoch, sent, virtual_hub.now(), self.checks
        )
        self.history.executions.append(run)
        process = self.process
        self.busy[shard] = self.busy.get(shard, 0) + 1
        try:
            eventlet.sleep(self.work_s)
            process.gate(GateKind.CLOCK)
        finally:
            if process is self.process and not process.killed:
                self.busy[shard] -= 1
            run.ended = run.ended or virtual_hub.now()
        return request

    def _check_fence(self, page, fence):
        if self.checks and fence < self.fences.get(page, 0):
            raise TargetFenced(f"{self.address.target_id} knows a later epoch")
        self.fences[page] = max(fence, self.fences.get(page, 0))

    def _hold(self, page, granted, not_after):
        """Own one shard until `not_after`, unless that has passed."""
        if self.clock() >= not_after:
            return
        shard = (page[0], page[1], granted.shard)
        self.held[shard] = _HeldShard(page, granted.epoch, not_after)
        until = self.process.virtual(not_after)
        name = self.address.target_id
        self.history.record_hold(name, shard, granted.epoch, until, self.checks)


class FakeOrders:
    """Sends the orders of one entry host; implements `TargetOrders`.

    Parameters
    ----------
    targets : dict of TargetId to FakeTarget
        All targets.
    """

    def __init__(self, network, process, targets):
        self.network = network
        self.process = process
        self.targets = targets

    def grant(self, target, order, deadline):
        """Grant or renew ownership of shards."""
        destination = self.targets[target.target_id]
        return self._order(destination, lambda: destination.grant(order), deadline)

    def release(self, target, order, deadline):
        """Release shards; the answer confirms that no requests for them are running."""
        destination = self.targets[target.target_id]
        return self._order(destination, lambda: destination.release(order), deadline)

    def _order(self, destination, work, deadline):
        """Send one order, and translate the errors of the network."""
        name = destination.address.target_id
        try:
            return self.network.exchange(
                self.process, destination.process, work, deadline, GateKind.ORDER
            )
        except ConnectionRefused:
            raise TargetRefusedConnection(f"nothing listens at {name}") from None
        except NotSent:
            raise TargetUnreachable(f"no connection to {name}") from None
        except AnswerLost:
            raise OrderOutcomeUnknown(f"{name} did not answer") from None


class FakeRequests:
    """Sends the requests of one entry host; implements `TargetRequests`."""

    def __init__(self, network, process, targets):
        self.network = network
        self.process = process
        self.targets = targets

    def send(self, target, req):
        """Send the request to `target`, and return the answer.

        The first part of the path names the service.
        """
        destination = self.targets[target.target_id]
        shard = epoch = None
        if req.shard is not None:
            shard = (destination.team, req.path.split("/")[1], req.shard.shard)
            epoch = req.shard.epoch
        eventlet.sleep(CONNECT_S)
        self.process.gate(GateKind.CLOCK)
        if not req.may_send():
            raise RouteLapsed("the route's lease ended")
        req.before_write()
        work = partial(
            destination.execute,
            req.request_id,
            req.protected,
            shard,
            epoch,
            virtual_hub.now(),
        )
        body = self._write(destination, work, req.deadline).encode()
        return FakeAnswer(headers=(("Content-Length", str(len(body))),), body=(body,))

    def _write(self, destination, work, deadline):
        """Send one request, and translate the errors of the network."""
        name = destination.address.target_id
        try:
            return self.network.exchange(
                self.process,
                destination.process,
                work,
                deadline,
                GateKind.REQUEST,
                TargetSettings().connect_s,
            )
        except ConnectionRefused:
            raise TargetRefusedConnection(f"nothing listens at {name}") from None
        except NotSent:
            raise TargetUnreachable(f"no connection to {name}") from None
        except AnswerLost:
            raise errors.AnswerLost(f"{name} did not answer") from None
