"""Requests of the other hosts while the host that lends slots is unreachable."""

import random

import eventlet
from tests.fakes.scheduling_fleet import make_service, make_team

from tools.measure.queue_model import (
    WORK_S,
    LentPermits,
    Stream,
    Tally,
    Targets,
    send_one,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import DEPLOYMENTS

SEED = 16
_LOADS = (0.02, 0.6)
_HEALTHY_S = 1.0
_DETECTION_S = 0.6
_OBSERVED_S = 2.5
_TIMEOUT_S = 1.0
_TARGET = 0.99


def rows():
    """Return the rows of both deployments, nearly idle and at 60% of the slots."""
    for deployment in DEPLOYMENTS:
        for load in _LOADS:
            tally, sheds = _run(deployment, load)
            scenario = f"{deployment.name}, lender lost, {load:.0%} of slots"
            served = round(tally.share_in_time(), 4)
            wait_ms = round(tally.p99_wait_ms(), 3)
            yield MeasureRow(scenario, "served_in_time", served, "share", _TARGET)
            yield MeasureRow(scenario, "p99_wait", wait_ms, "ms")
            yield MeasureRow(scenario, "sheds", round(sheds, 4), "a request")


def _run(deployment, load):
    service = make_service("pool", deployment.pool_targets, deployment.pool_slots)
    targets = Targets(service)
    strategy = LentPermits(deployment.hosts, [make_team(service)], targets, SEED)
    fleet = strategy.fleet
    capacity = deployment.pool_targets * deployment.pool_slots / WORK_S
    stream = Stream("laurentide", service, load * capacity, _TIMEOUT_S)
    tally_before, tally_after = Tally(), Tally()
    rng = random.Random(SEED)
    all_hosts = list(range(deployment.hosts))
    _send(strategy, all_hosts, stream, tally_before, rng, _HEALTHY_S)
    sheds = targets.sheds
    lender = _lender(fleet)
    lost_host = fleet.peers[lender].host_id
    fleet.cut.add(lost_host)
    eventlet.spawn_after(_DETECTION_S, fleet.dead.add, lost_host)
    others = [host for host in all_hosts if host != lender]
    _send(strategy, others, stream, tally_after, rng, _OBSERVED_S)
    eventlet.sleep(_TIMEOUT_S + 1)
    return tally_after, (targets.sheds - sheds) / tally_after.arrived


def _lender(fleet):
    lending = [any(state.lent for state in host.state()) for host in fleet.hosts]
    return lending.index(True)


def _send(strategy, hosts, stream, tally, rng, seconds):
    left_s = seconds
    while left_s > 0:
        gap_s = rng.expovariate(stream.rate)
        eventlet.sleep(gap_s)
        left_s -= gap_s
        work_s = rng.expovariate(1 / WORK_S)
        host, key = rng.choice(hosts), rng.randrange(1000)
        eventlet.spawn_n(send_one, strategy, host, stream, tally, key, work_s)
