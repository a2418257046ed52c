"""Schedulers of several hosts, connected by a fake link, in virtual time."""

import eventlet

from persimmonspoke.errors import NotRun, PeerTimeout
from persimmonspoke.ids import Instant
from persimmonspoke.internal.peers import codec
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.questionnaire.configuration import (
    Measure,
    Precedence,
    ServiceConfig,
    TargetConfig,
    TeamConfig,
)
from persimmonspoke.internal.scheduling.api import SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shared import SharedScheduler
from tests.fakes import virtual_hub


class HubClock:
    """The virtual hub's time as a `Clock`."""

    def now(self):
        return Instant(virtual_hub.now())

    def sleep_until(self, deadline):
        eventlet.sleep(max(0.0, deadline - self.now()))


def make_service(name="filing", targets=8, slots=3, **changes):
    """Return a service that is not divided by key, with `changes` of its fields."""
    values = dict(
        service=name,
        path_prefix=f"/{name}",
        key=None,
        shard_count=0,
        shards_per_page=64,
        protected_methods=(),
        precedence=Precedence.NORMAL,
        wait_ms=1000,
        max_body_bytes=0,
        targets=make_targets(name, targets, slots),
    )
    return ServiceConfig(**(values | changes))


def make_targets(name, count, slots):
    """Return `count` targets, named after their service."""
    network = sum(name.encode()) % 250
    return tuple(
        TargetConfig(
            target_id=f"{name}-{number}",
            ip=f"10.0.{network}.{number + 1}",
            port=80,
            data_centre="dc1",
            slots=slots,
            connections=110,
        )
        for number in range(count)
    )


def make_team(*services, team="laurentide", weight=1, generation=1):
    """Return one team's configuration."""
    return TeamConfig(
        team=team,
        generation=generation,
        questionnaire_hash="",
        measure=Measure.IMBALANCE,
        weight=weight,
        services=services,
    )


def make_ticket(service, key=None, wait_s=10.0, team="laurentide"):
    """Return a ticket whose deadline is `wait_s` from now."""
    return Ticket(team, service, key, False, Instant(virtual_hub.now() + wait_s))


def candidates_of(service):
    """Return the ids of all targets of `service`."""
    return tuple(target.target_id for target in service.targets)


class Link:
    """One host's link to the others, with simulated latency and failures."""

    def __init__(self, fleet, host_id):
        self._fleet = fleet
        self._host_id = host_id
        self.handlers = {}

    def serve(self, kind, handler):
        self.handlers[kind] = handler

    def call(self, peer, message, deadline):
        fleet = self._fleet
        fleet.messages += 1
        eventlet.sleep(fleet.delay_s())
        if fleet.cut & {peer.host_id, self._host_id}:
            eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
            raise PeerTimeout(peer.host_id)
        if fleet.through_codec:
            message = codec.decode(codec.encode(message))
        answer = fleet.links[peer.host_id].handlers[type(message)](message)
        eventlet.sleep(fleet.delay_s())
        return answer


class _Members:
    def __init__(self, fleet, me):
        self._fleet = fleet
        self._me = me

    def live(self):
        return tuple(p for p in self._fleet.peers if p.host_id not in self._fleet.dead)

    def me(self):
        return self._me


class Fleet:
    """Schedulers of several hosts, and the number of requests at each target.

    Attributes
    ----------
    messages : int
        Number of calls between hosts.
    jitter : random.Random or None
        Source of random message delays; None for a fixed latency.
    cut : set of HostId
        Hosts whose calls time out.
    dead : set of HostId
        Hosts that the others do not list as live.
    running, max_running : dict of TargetId to int
        Requests that run at each target now, and their highest number so far.
    started_tickets : list of Ticket
        Tickets that got a slot, in order.
    """

    def __init__(self, hosts, *teams, cfg=None, latency_s=0.0005, through_codec=True):
        self.latency_s = latency_s
        self.through_codec = through_codec
        self.messages = 0
        self.jitter = None
        self.cut, self.dead = set(), set()
        self.peers = [
            PeerAddress(f"h{number}.r", "10.1.0.1", 7000 + number)
            for number in range(hosts)
        ]
        self.links = {p.host_id: Link(self, p.host_id) for p in self.peers}
        self.hosts = [
            SharedScheduler(
                cfg or SchedulingSettings(),
                HubClock(),
                self.links[peer.host_id],
                _Members(self, peer),
            )
            for peer in self.peers
        ]
        for host in self.hosts:
            for team in teams:
                host.configure(team)
            host.start()
        self.running, self.max_running, self.started_tickets = {}, {}, []

    def stop(self):
        """Stop the background tasks of the hosts."""
        for host in self.hosts:
            host.stop()

    def delay_s(self):
        """Return the delay of one message; it is random if `jitter` is set."""
        if self.jitter is None:
            return self.latency_s
        return self.latency_s * 8 * self.jitter.random()

    def run(self, host, ticket, candidates, work_s=0.02, outcome=SlotOutcome.ANSWERED):
        """Run one request on one host; return its failure, if any."""
        try:
            slot = self.hosts[host].acquire(ticket, candidates)
        except NotRun as exc:
            return exc
        target = slot.target_id
        self.started_tickets.append(ticket)
        self.running[target] = self.running.get(target, 0) + 1
        self.max_running[target] = max(
            self.max_running.get(target, 0), self.running[target]
        )
        eventlet.sleep(work_s)
        self.running[target] -= 1
        slot.done(outcome)
        return None

    def spawn(self, host, ticket, candidates, **changes):
        """Run one request in a task, whose `wait()` returns the failure, if any."""
        return eventlet.spawn(self.run, host, ticket, candidates, **changes)
