"""Simulation of strategies for sharing target slots between hosts, in virtual time.

Queues, permits and limits are the real code.  This module models only the arriving
requests, the targets that serve or shed them, and the delay of messages.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import eventlet
from tests.fakes import virtual_hub
from tests.fakes.scheduling_fleet import Fleet, HubClock, candidates_of

from persimmonspoke.errors import NotRun
from persimmonspoke.ids import Instant
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.scheduling.api import SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shared import LocalScheduler

NETWORK_DELAY_S = 0.0005
WORK_S = 0.02
_RETRY_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one service that arrive at random.

    Attributes
    ----------
    rate : float
        Requests per second, over all hosts.
    """

    team: str
    service: object
    rate: float
    timeout_s: float = 0.5


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one stream."""

    waits: list = field(default_factory=list)
    in_time: int = 0
    arrived: int = 0

    def p99_wait_ms(self):
        """Return the 99th percentile of the waits of served requests."""
        if not self.waits:
            return 0.0
        return 1000 * sorted(self.waits)[int(0.99 * len(self.waits))]

    def share_in_time(self):
        """Return the share of requests that were answered in time."""
        return self.in_time / max(1, self.arrived)


class Targets:
    """Targets that shed the requests for which they have no free slot."""

    def __init__(self, service, slow=()):
        self._slots = {entry.target_id: entry.slots for entry in service.targets}
        self._busy = Counter()
        self._slow = dict(slow)
        self.sheds = 0
        self.runs = 0

    def run(self, target_id, work_s):
        """Serve or shed one request; return whether it was served."""
        eventlet.sleep(NETWORK_DELAY_S)
        served = self._busy[target_id] < self._slots[target_id]
        if served:
            self._busy[target_id] += 1
            self.runs += 1
            try:
                eventlet.sleep(work_s * self._slow.get(target_id, 1))
            finally:
                self._busy[target_id] -= 1
        else:
            self.sheds += 1
        eventlet.sleep(NETWORK_DELAY_S)
        return served


class LentPermits:
    """Strategy: each host uses permits lent by one lender."""

    name = "lent permits"

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self.fleet = Fleet(
            hosts, *teams, latency_s=NETWORK_DELAY_S, through_codec=False
        )

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        _serve(self.fleet.hosts[host], self.targets, ticket, work_s)


class LocalKnowledge:
    """Strategy: each host schedules as if it were the only user of all slots."""

    name = "direct, local knowledge"

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self.hosts = [
            _isolated_scheduler(teams, f"h{number}") for number in range(hosts)
        ]

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        _serve(self.hosts[host], self.targets, ticket, work_s)


class Forwarding:
    """Strategy: one host has the only queue and forwards all requests and responses."""

    name = "forwarding through one host"

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self._scheduler = _isolated_scheduler(teams, "h0")

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        hop_s = NETWORK_DELAY_S if host else 0.0
        eventlet.sleep(hop_s)
        _serve(self._scheduler, self.targets, ticket, work_s)
        eventlet.sleep(hop_s)


class FirstComeRandom:
    """Strategy: each request goes to a random target; if shed, it draws again."""

    name = "first come, random choice"

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self._rng = random.Random(seed)

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        names = candidates_of(ticket.service)
        while not self.targets.run(self._rng.choice(names), work_s):
            if virtual_hub.now() + _RETRY_PAUSE_S >= ticket.deadline:
                raise NotRun
            eventlet.sleep(_RETRY_PAUSE_S)


STRATEGIES = (LentPermits, LocalKnowledge, Forwarding)


def _isolated_scheduler(teams, name):
    scheduler = LocalScheduler(
        SchedulingSettings(), HubClock(), PeerAddress(name, "10.1.0.1", 1)
    )
    for team in teams:
        scheduler.configure(team)
    scheduler.start()
    return scheduler


def _serve(scheduler, targets, ticket, work_s):
    """Serve one request by slots of `scheduler`; retry for as long as it is shed."""
    while True:
        slot = scheduler.acquire(ticket, candidates_of(ticket.service))
        served = targets.run(slot.target_id, work_s)
        slot.done(SlotOutcome.ANSWERED if served else SlotOutcome.SHED)
        if served:
            return
        eventlet.sleep(_RETRY_PAUSE_S)


def simulate(strategy, hosts, streams, seconds, seed):
    """Send the requests of `streams` for `seconds`; return a tally per stream."""
    tallies = [Tally() for _ in streams]
    for number, stream in enumerate(streams):
        rng = random.Random(seed * 1000 + number)
        eventlet.spawn_n(
            _generate_requests, strategy, hosts, stream, tallies[number], seconds, rng
        )
    longest_timeout_s = max(stream.timeout_s for stream in streams)
    eventlet.sleep(seconds + longest_timeout_s + 30 * WORK_S)
    return tallies


def _generate_requests(strategy, hosts, stream, tally, seconds, rng):
    end = virtual_hub.now() + seconds
    while virtual_hub.now() < end:
        eventlet.sleep(rng.expovariate(stream.rate))
        work_s = rng.expovariate(1 / WORK_S)
        host = rng.randrange(hosts)
        key = rng.randrange(1000)
        eventlet.spawn_n(send_one, strategy, host, stream, tally, key, work_s)


def send_one(strategy, host, stream, tally, key, work_s):
    """Send one request and record its outcome in `tally`."""
    arrived = virtual_hub.now()
    deadline = Instant(arrived + stream.timeout_s)
    ticket = Ticket(stream.team, stream.service, key, False, deadline)
    tally.arrived += 1
    try:
        strategy.serve(host, ticket, work_s)
    except NotRun:
        return
    tally.waits.append(virtual_hub.now() - arrived - work_s - 2 * NETWORK_DELAY_S)
    tally.in_time += virtual_hub.now() <= deadline
