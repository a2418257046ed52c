"""Even load of unequal targets, by four ways to choose among them, at 1 to 300 hosts.

No way asks a target for its load: what hosts know comes from answers that arrive
anyway.
"""

import random
from collections import defaultdict, deque

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore
from tests.fakes import virtual_hub
from tests.fakes.scheduling_fleet import candidates_of, make_service, make_team

from persimmonspoke.internal.questionnaire.configuration import Precedence
from tools.measure.queue_model import (
    NETWORK_DELAY_S,
    WORK_S,
    Stream,
    Targets,
    simulate,
)
from tools.measure.rows import MeasureRow

SEED = 17
SECONDS = 2.0
TARGETS = 24
SLOTS = 4
SPEEDS = (0.7, 0.7, 1.6)
HOSTS = (1, 10, 64, 300)
LOADS = (0.7, 0.9)
URGENT_SHARE = 0.3
SAMPLE_S = 0.005
EXPLORED_SHARE = 0.05  # requests that a probing host sends to a random target
SMOOTHING = 0.2


class QueueingTargets(Targets):
    """Targets of different speeds that queue what they have no free slot for."""

    def __init__(self, service):
        speeds = {
            entry.target_id: SPEEDS[number % len(SPEEDS)]
            for number, entry in enumerate(service.targets)
        }
        super().__init__(service, {name: 1 / speed for name, speed in speeds.items()})
        self.speeds = speeds
        self._free = {name: Semaphore(SLOTS) for name in speeds}
        self.open = defaultdict(int)
        self.busy_s = defaultdict(float)

    def run(self, target_id, work_s):
        """Serve one request; return the load of the target that its answer tells."""
        eventlet.sleep(NETWORK_DELAY_S)
        self.open[target_id] += 1
        with self._free[target_id]:
            took_s = work_s * self._slow[target_id]
            eventlet.sleep(took_s)
            self.busy_s[target_id] += took_s
        self.open[target_id] -= 1
        load = self.open[target_id]
        eventlet.sleep(NETWORK_DELAY_S)
        return load

    def idle_and_waiting(self):
        """Return how many slots are idle and how many requests wait at targets."""
        counts = [self.open[name] for name in self.speeds]
        idle = sum(max(0, SLOTS - count) for count in counts)
        return idle, sum(max(0, count - SLOTS) for count in counts)


class _Way:
    """Base class: each host chooses a target by what it knows."""

    name = ""

    def __init__(self, hosts, targets, seed):
        self.targets = targets
        self.random = random.Random(seed)
        self.names = list(targets.speeds)
        self.hosts = hosts
        self.messages = 0

    def waiting(self):
        """Return how many requests wait outside the targets."""
        return 0

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        target_id = self.choose(host)
        began = virtual_hub.now()
        load = self.targets.run(target_id, work_s)
        self.learn(host, target_id, load, virtual_hub.now() - began)

    def choose(self, host):
        """Return the target for a request at `host`."""
        raise NotImplementedError

    def learn(self, host, target_id, load, took_s):
        """Learn from an answer that arrived at `host`."""


class DeskWay(_Way):
    """One desk assigns each slot, and knows all that wait."""

    name = "desk with complete knowledge"

    def __init__(self, hosts, targets, seed):
        super().__init__(hosts, targets, seed)
        self._used = defaultdict(int)
        self._queues = {rank: deque() for rank in Precedence}

    def waiting(self):
        """Return how many requests wait at the desk."""
        return sum(len(queue) for queue in self._queues.values())

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        self._message(host)
        target_id = self._best()
        if target_id is None:
            reply = Event()
            self._queues[ticket.service.precedence].append(reply)
            target_id = reply.wait()
        else:
            self._used[target_id] += 1
        self._message(host)
        self.targets.run(target_id, work_s)
        self._message(host)
        for rank in Precedence:
            if self._queues[rank]:
                self._queues[rank].popleft().send(target_id)
                return
        self._used[target_id] -= 1

    def _best(self):
        free = [name for name in self.names if self._used[name] < SLOTS]
        if not free:
            return None
        return max(
            free, key=lambda name: (self.targets.speeds[name], -self._used[name])
        )

    def _message(self, host):
        if host != 0:
            self.messages += 1
            eventlet.sleep(NETWORK_DELAY_S)


class TwoChoices(_Way):
    """The better of two random targets, by the last answer and what was sent since."""

    name = "power of two choices"

    def __init__(self, hosts, targets, seed):
        super().__init__(hosts, targets, seed)
        self._loads = defaultdict(float)

    def choose(self, host):
        """Return the target for a request at `host`."""
        pair = self.random.sample(self.names, 2)
        speeds = self.targets.speeds
        found = min(pair, key=lambda name: (self._loads[host, name] + 1) / speeds[name])
        self._loads[host, found] += 1
        return found

    def learn(self, host, target_id, load, took_s):
        """Learn from an answer that arrived at `host`."""
        self._loads[host, target_id] = load


class SharesByRate(_Way):
    """Each host sends each target a share of its requests, by the target's speed."""

    name = "shares by rate"

    def __init__(self, hosts, targets, seed):
        super().__init__(hosts, targets, seed)
        total = sum(targets.speeds.values())
        self._shares = {name: speed / total for name, speed in targets.speeds.items()}
        self._credits = {
            host: {name: self.random.random() for name in self.names}
            for host in range(hosts)
        }

    def choose(self, host):
        """Return the target for a request at `host`."""
        due = self._credits[host]
        for name, share in self._shares.items():
            due[name] += share
        found = max(due, key=due.get)
        due[found] -= 1
        return found


class Probing(_Way):
    """The target that answered fastest of late; a few requests try the others."""

    name = "probing with real requests"

    def __init__(self, hosts, targets, seed):
        super().__init__(hosts, targets, seed)
        self._times = defaultdict(lambda: WORK_S)
        self._in_flight = defaultdict(int)

    def choose(self, host):
        """Return the target for a request at `host`."""
        found = self.random.choice(self.names)
        if self.random.random() >= EXPLORED_SHARE:
            found = min(
                self.names,
                key=lambda name: (
                    self._times[host, name] * (1 + self._in_flight[host, name] / SLOTS),
                    self.random.random(),
                ),
            )
        self._in_flight[host, found] += 1
        return found

    def learn(self, host, target_id, load, took_s):
        """Learn from an answer that arrived at `host`."""
        self._in_flight[host, target_id] -= 1
        known_s = self._times[host, target_id]
        self._times[host, target_id] = known_s + SMOOTHING * (took_s - known_s)


WAYS = (DeskWay, TwoChoices, SharesByRate, Probing)


def rows():
    """Return the rows of all ways, loads and fleet sizes."""
    for load in LOADS:
        for hosts in HOSTS:
            for make in WAYS:
                yield from _rows_of(make, hosts, load)


def _rows_of(make, hosts, load):
    first = make_service("high", TARGETS, SLOTS, precedence=Precedence.HIGH)
    second = first.model_copy(
        update={"service": "normal", "precedence": Precedence.NORMAL}
    )
    make_team(first, second)
    targets = QueueingTargets(first)
    way = make(hosts, targets, SEED)
    capacity = SLOTS * sum(targets.speeds.values()) / WORK_S
    streams = [
        Stream("laurentide", service, load * capacity * share, 10.0)
        for service, share in ((first, URGENT_SHARE), (second, 1 - URGENT_SHARE))
    ]
    samples = []
    sampler = eventlet.spawn(_sample, way, samples)
    tallies = simulate(way, hosts, streams, SECONDS, SEED)
    sampler.kill()
    busy = [targets.busy_s[name] / SLOTS for name in candidates_of(first)]
    arrived = sum(tally.arrived for tally in tallies)
    scenario = f"{load:.0%} load, {hosts} hosts, {way.name}"
    values = [
        ("busiest_target", max(busy) * len(busy) / sum(busy), "times the mean"),
        ("idle_while_waiting", sum(samples) / max(1, len(samples)), "share of slots"),
        ("messages", way.messages / arrived, "a request"),
    ]
    for stream, tally in zip(streams, tallies, strict=True):
        waits = sorted(tally.waits)
        for share in (0.5, 0.99):
            wait_ms = 1000 * waits[int(share * len(waits))]
            name = f"{stream.service.service}_p{share * 100:.0f}_excess"
            values.append((name, wait_ms, "ms"))
    for measure, value, unit in values:
        yield MeasureRow(scenario, measure, round(value, 3), unit)


def _sample(way, samples):
    """Record the share of slots that are idle while as many requests wait."""
    while virtual_hub.now() >= 0:
        eventlet.sleep(SAMPLE_S)
        idle, waiting = way.targets.idle_and_waiting()
        if len(samples) < SECONDS / SAMPLE_S:
            samples.append(min(idle, waiting + way.waiting()) / (TARGETS * SLOTS))
