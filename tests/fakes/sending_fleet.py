"""Hosts that keep their caches up to date and send callers' requests to targets.

Processes have a share of a core, and decoding, messages and requests take their time,
so that hosts without enough of it exist in virtual time.
"""

from dataclasses import dataclass

import eventlet

from persimmonspoke.daemon.targets_source import UpdatedTargets
from persimmonspoke.errors import RequestFailure, RouteLapsed
from persimmonspoke.ids import Instant
from persimmonspoke.internal.callers.attempts import RequestRunner
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.fleet.messages import RangeTable, RouteRow
from persimmonspoke.internal.observe.api import NoMetrics
from persimmonspoke.internal.observe.lateness import Lateness
from persimmonspoke.internal.ranges.routes import RangeRoutes
from persimmonspoke.internal.routing.config import (
    RouteConfig,
    RoutedService,
    RouteKind,
    RoutingConfig,
    SplitPart,
    TargetRecord,
    TargetState,
)
from persimmonspoke.internal.routing.fresh_targets import (
    FreshnessLimits,
    FreshTargets,
)
from persimmonspoke.internal.routing.state import RoutingState
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import FirstCandidateScheduler
from tests.fakes.process import GateKind
from tests.fakes.target_requests import FakeAnswer
from tests.fakes.update_fleet import DRAIN_S, UpdateFleet, UpdateHost

POOL, DIVIDED = "pool", "divided"
OWNERS = 10  # the first targets own keys of `DIVIDED`, the others serve `POOL`
KEYS = 65536
PATIENCE_S = 1.5
REQUEST_S = 0.002  # of a full core
UPDATE_WAIT_S = 0.5
GRACE_S = 0.7 * DRAIN_S
WAY_S = 0.01  # from the last look of a host until the target reads


def decode_target(name, value):
    """Return the record of a target, with its number at the end of its name."""
    owns = int(name[1:]) < OWNERS
    state = TargetState.READY if value["state"] == "ready" else TargetState.LEAVING
    service = DIVIDED if owns else POOL
    return TargetRecord(name, service, "10.1.0.1", 80, "z0", 2, state, 1)


@dataclass(frozen=True)
class Sent:
    """One request that reached a target."""

    at: float
    host: str
    target_id: str


class SendingHost(UpdateHost):
    """One host of a `SendingFleet`."""

    def __init__(self, fleet, number, run=1):
        super().__init__(fleet, number, run)
        self.process.processor_share = fleet.share_of(number)
        self.state = RoutingState(
            self.cache,
            self.clock,
            "config/main",
            "servers/",
            self.decode_config,
            decode_target,
            self.updates.last_outage_at,
        )
        self.routes = RangeRoutes(self.state, self.clock, GRACE_S)
        rows = tuple(
            RouteRow(
                KEYS * n // OWNERS, KEYS * (n + 1) // OWNERS - 1, f"t{n}", 1 + n, 0.0
            )
            for n in range(OWNERS)
        )
        self.routes.apply_table(RangeTable(None, 1, 1, {DIVIDED: rows}))
        self.scheduler = FirstCandidateScheduler(retries=10**6)
        lateness = Lateness(self.clock)
        self.tasks += [eventlet.spawn(lateness.run)]
        self.updates._path._late_since = lateness.longest_since
        source = UpdatedTargets(
            self.updates, self.state, "servers/", self.state.refresh, lateness
        )
        limits = FreshnessLimits.within(DRAIN_S)
        self.fresh_targets = FreshTargets(limits, self.clock, source)
        self.updates.knowledge.on_proof = self.fresh_targets.wake
        self.runner = self.make_runner()
        self.failures = []
        self.tasks += [eventlet.spawn(self.apply_updates)]
        self.tasks += [eventlet.spawn(self.take_requests)]

    def make_runner(self):
        """Return what sends the requests, made as the daemon makes it."""
        return RequestRunner(
            CallerSettings(),
            self.routes,
            self.scheduler,
            self,
            self.clock,
            NoMetrics(),
            unready_since=self.state.unready_since,
            fresh_targets=self.fresh_targets,
        )

    def decode_config(self, value):
        """Return a configuration with one route a service; it takes `table_s`."""
        self.process.work(self.fleet.table_s)
        routes = tuple(
            RouteConfig(
                name, "h", f"/{name}/", RouteKind.SAFE, 9.0, 9.0, 1, 3,
                (SplitPart(name, 1.0),),
            )
            for name in (POOL, DIVIDED)
        )  # fmt: skip
        services = {s: RoutedService(s, 50, s == DIVIDED) for s in (POOL, DIVIDED)}
        return RoutingConfig(value["version"], routes, services)

    def apply_updates(self):
        """Apply new configurations and targets, forever."""
        count = -1
        while True:
            self.cache.wait(count, Instant(self.clock.now() + UPDATE_WAIT_S))
            self.process.gate(GateKind.CLOCK)
            count = self.cache.change_count()
            self.state.refresh()

    def take_requests(self):
        """Take requests of both services, which wait while the process can't run."""
        number = 0
        while True:
            eventlet.sleep(self.fleet.request_period_s)
            number += 1
            self.tasks = [task for task in self.tasks if not task.dead]
            self.tasks.append(eventlet.spawn(self.serve, number, virtual_hub.now()))

    def serve(self, number, came_at):
        """Serve one request."""
        self.process.gate(GateKind.REQUEST)
        self.process.work(REQUEST_S)
        if self.state.table is None or self.updates.confirmed_at is None:
            return  # not ready yet
        service = (POOL, DIVIDED)[number % 2]
        route = next(r for r in self.state.table.cfg.routes if r.name == service)
        entry = self.state.entry(route)
        if service == POOL and entry.target_ids:
            # Requests are spread over the targets.
            turn = number // 2 % len(entry.target_ids)
            self.scheduler.turn = turn
        req = CallerRequest(
            f"{self.process.name}/{number}",
            entry,
            "GET",
            f"/{service}/",
            (),
            str(number * 7919 % KEYS) if service == DIVIDED else None,
            False,
            self.process.local(came_at + PATIENCE_S),
            route,
        )
        try:
            self.runner.run(req, b"").close()
        except RequestFailure as exc:
            self.failures.append((virtual_hub.now(), exc))

    def send(self, target, req):
        """Send a request to a target; implements `TargetRequests`."""
        self.process.gate(GateKind.REQUEST, sending=True)
        if not req.may_send():
            raise RouteLapsed("the right to send ended before the first byte")
        req.before_write()
        sent = Sent(virtual_hub.now() + WAY_S, self.process.name, target.target_id)
        self.fleet.sent.append(sent)
        eventlet.sleep(WAY_S)
        return FakeAnswer()

    def has_ended(self, target):
        """Return False: no target ends by itself."""
        return False


class SendingFleet(UpdateFleet):
    """Hosts that send requests.

    Attributes
    ----------
    table_s : float
        Processor time that it takes to decode a configuration, in seconds of a core.
    sent : list of Sent
        All requests that have reached targets.
    left : dict of str to float
        When the store acknowledged that a target leaves.
    """

    host_type = SendingHost

    def __init__(self, hosts, request_period_s=0.2, small=0.4, large=0.7):
        self.table_s = 0.016
        self.request_period_s = request_period_s
        self.shares = {True: large, False: small}
        self.sent = []
        self.left = {}
        super().__init__(hosts)

    def share_of(self, number):
        """Return the share of a core that a host has."""
        return self.shares[number < 4]

    def let_leave(self, name):
        """Let a target leave."""
        self.put(f"servers/{name}", {"state": "draining"})
        self.left.setdefault(name, virtual_hub.now())

    def late_sends(self, bound_s=DRAIN_S):
        """Return the requests that reached a target too late, by how much."""
        return [
            (round(sent.at - self.left[sent.target_id] - bound_s, 3), sent)
            for sent in self.sent
            if sent.at - self.left.get(sent.target_id, sent.at) > bound_s
        ]
