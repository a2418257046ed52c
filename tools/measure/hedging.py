"""Hedging with Thompson sampling, on a service that is not divided by key.

Requests are idempotent reads.  For each target, a host samples the probability of a
fast response from past outcomes, sends the request to the best target, and to a second
one if no response arrives within a delay.
"""

import random

import eventlet
from eventlet.event import Event
from tests.fakes import virtual_hub
from tests.fakes.scheduling_fleet import candidates_of, make_service, make_team

from persimmonspoke.errors import NotRun
from tools.measure.queue_model import WORK_S, LentPermits, Stream, Targets, simulate
from tools.measure.rows import MeasureRow
from tools.measure.sites import LAURENTIDE

SEED = 15
SECONDS = 2.0
_TARGETS = 10
_SLOTS = 3
_HEDGE_AFTER_S = 3 * WORK_S
_FAST_S = 2 * WORK_S
_DECAY = 0.98
_SLOW = {"reads-0": 5.0}


def rows():
    """Yield the rows at two loads, with equal targets and with one slow target."""
    for load in (0.5, 0.9):
        for slow, name in (({}, "targets alike"), (_SLOW, "one target 5 times slower")):
            scenario = f"{_TARGETS} replicas, {load:.0%} of slots, {name}"
            our_tally, our_runs = _run(LentPermits, load, slow)
            hedging_tally, runs = _run(Hedging, load, slow)
            for measure, value, baseline, unit in (
                (
                    "p99_wait",
                    our_tally.p99_wait_ms(),
                    hedging_tally.p99_wait_ms(),
                    "ms",
                ),
                (
                    "served_in_time",
                    our_tally.share_in_time(),
                    hedging_tally.share_in_time(),
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


def _run(strategy, load, slow):
    service = make_service("reads", _TARGETS, _SLOTS)
    targets = Targets(service, slow)
    model = strategy(LAURENTIDE.hosts, [make_team(service)], targets, SEED)
    rate = load * _TARGETS * _SLOTS / WORK_S
    stream = Stream("laurentide", service, rate)
    tally = simulate(model, LAURENTIDE.hosts, [stream], SECONDS, SEED)[0]
    return tally, (targets.runs + targets.sheds) / tally.arrived


class Hedging:
    """Strategy: each host samples targets by its own past outcomes, and hedges."""

    def __init__(self, hosts, teams, targets, seed):
        self.targets = targets
        self._rng = random.Random(seed)
        self._outcomes = [{} for _ in range(hosts)]

    def serve(self, host, ticket, work_s):
        """Serve one request that arrived at `host`."""
        first_answer = Event()
        candidates = candidates_of(ticket.service)
        first_target = self._sample_target(host, candidates)
        eventlet.spawn_n(self._send, host, first_target, work_s, first_answer)
        if self._answered(first_answer, _HEDGE_AFTER_S):
            return
        others = tuple(name for name in candidates if name != first_target)
        # The duration of the second run is drawn independently of the first one.
        second_work_s = self._rng.expovariate(1 / WORK_S)
        eventlet.spawn_n(
            self._send,
            host,
            self._sample_target(host, others),
            second_work_s,
            first_answer,
        )
        if not self._answered(first_answer, ticket.deadline - virtual_hub.now()):
            raise NotRun

    def _answered(self, first_answer, seconds):
        first_answer.wait(timeout=max(0.0, seconds))
        return first_answer.ready()

    def _sample_target(self, host, candidates):
        outcomes = self._outcomes[host]

        def draw(name):
            fast, slow = outcomes.get(name, (1.0, 1.0))
            return self._rng.betavariate(fast, slow)

        return max(candidates, key=draw)

    def _send(self, host, name, work_s, first_answer):
        started_at = virtual_hub.now()
        while not self.targets.run(name, work_s):
            self._record_outcome(host, name, fast=False)
            eventlet.sleep(WORK_S)
            if first_answer.ready() or virtual_hub.now() - started_at > 0.5:
                return
            name = self._sample_target(host, tuple(self._outcomes[host]))
        self._record_outcome(host, name, fast=virtual_hub.now() - started_at < _FAST_S)
        if not first_answer.ready():
            first_answer.send(None)

    def _record_outcome(self, host, name, fast):
        fast_weight, slow_weight = self._outcomes[host].get(name, (1.0, 1.0))
        fast_weight, slow_weight = (
            1 + (fast_weight - 1) * _DECAY,
            1 + (slow_weight - 1) * _DECAY,
        )
        self._outcomes[host][name] = (
            (fast_weight + 1, slow_weight) if fast else (fast_weight, slow_weight + 1)
        )
