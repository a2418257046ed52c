"""Hedging with Thompson sampling, on an undivided service of idempotent reads.

Each host draws, for each target, how likely a fast answer is, from what it has
seen, asks the best, and asks a second one when no answer came within a delay.
"""

import random

import eventlet
from eventlet.event import Event
from tests.fakes import virtual_hub
from tests.fakes.scheduling_fleet import candidates_of, make_service, make_team

from persimmonspoke.errors import NotRun
from tools.measure.queue_model import WORK_S, Lent, Stream, Targets, simulate
from tools.measure.rows import MeasureRow
from tools.measure.sites import LAURENTIDE

SEED = 15
SECONDS = 2.0
_TARGETS = 10
_SLOTS = 3
_HEDGE_AFTER_S = 3 * WORK_S
_FAST_S = 2 * WORK_S
_FORGET = 0.98
_SLOW = {"reads-0": 5.0}


def rows():
    """Return the rows at two loads, with all targets alike and with a slow one."""
    for load in (0.5, 0.9):
        for slow, name in (({}, "targets alike"), (_SLOW, "one target 5 times slower")):
            scenario = f"{_TARGETS} replicas, {load:.0%} of slots, {name}"
            ours, our_runs = _run(Lent, load, slow)
            hedged, runs = _run(Hedging, load, slow)
            for measure, value, baseline, unit in (
                ("p99_wait", ours.p99_wait_ms(), hedged.p99_wait_ms(), "ms"),
                (
                    "served_in_time",
                    ours.share_in_time(),
                    hedged.share_in_time(),
                    "share",
                ),
                ("runs", our_runs, runs, "a request"),
            ):
                yield MeasureRow(
                    scenario,
                    measure,
                    round(value, 3),
                    unit,
                    None,
                    "hedging and Thompson sampling",
                    round(baseline, 3),
                )


def _run(way, load, slow):
    service = make_service("reads", _TARGETS, _SLOTS)
    targets = Targets(service, slow)
    model = way(LAURENTIDE.hosts, [make_team(service)], targets, SEED)
    rate = load * _TARGETS * _SLOTS / WORK_S
    stream = Stream("laurentide", service, rate)
    tally = simulate(model, LAURENTIDE.hosts, [stream], SECONDS, SEED)[0]
    return tally, (targets.runs + targets.sheds) / tally.arrived


class Hedging:
    """Each host samples targets by its own experience and hedges."""

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self._rng = random.Random(seed)
        self._seen = [{} for _ in range(hosts)]

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        first = Event()
        names = candidates_of(ticket.service)
        asked = self._pick(host, names)
        eventlet.spawn_n(self._ask, host, asked, work_s, first)
        if self._answered(first, _HEDGE_AFTER_S):
            return
        others = tuple(name for name in names if name != asked)
        # A second run takes as long as another draw would, not as the first one.
        again_s = self._rng.expovariate(1 / WORK_S)
        eventlet.spawn_n(self._ask, host, self._pick(host, others), again_s, first)
        if not self._answered(first, ticket.deadline - virtual_hub.now()):
            raise NotRun

    def _answered(self, first, seconds):
        first.wait(timeout=max(0.0, seconds))
        return first.ready()

    def _pick(self, host, names):
        seen = self._seen[host]

        def draw(name):
            fast, slow = seen.get(name, (1.0, 1.0))
            return self._rng.betavariate(fast, slow)

        return max(names, key=draw)

    def _ask(self, host, name, work_s, first):
        started = virtual_hub.now()
        while not self.targets.run(name, work_s):
            self._note(host, name, fast=False)
            eventlet.sleep(WORK_S)
            if first.ready() or virtual_hub.now() - started > 0.5:
                return
            name = self._pick(host, tuple(self._seen[host]))
        self._note(host, name, fast=virtual_hub.now() - started < _FAST_S)
        if not first.ready():
            first.send(None)

    def _note(self, host, name, fast):
        good, bad = self._seen[host].get(name, (1.0, 1.0))
        good, bad = 1 + (good - 1) * _FORGET, 1 + (bad - 1) * _FORGET
        self._seen[host][name] = (good + 1, bad) if fast else (good, bad + 1)
