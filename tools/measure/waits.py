"""Waits, requests served in time and shed requests, by sharing strategy."""

from tests.fakes.scheduling_fleet import make_service, make_team

from persimmonspoke.internal.questionnaire.configuration import Precedence
from tools.measure.queue_model import (
    STRATEGIES,
    WORK_S,
    FirstComeRandom,
    Stream,
    Targets,
    simulate,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import DEPLOYMENTS

SEED = 13
SECONDS = 3.0
_MIX = {Precedence.HIGH: 0.2, Precedence.NORMAL: 0.4, Precedence.LOW: 0.4}
_LOADS = (0.9, 1.5)


def rows():
    """Return the rows of both deployments."""
    for deployment in DEPLOYMENTS:
        for load in _LOADS:
            yield from _rows_against_baseline(deployment, load)


def services_of(targets, slots):
    """Return one service per precedence, all on the same targets."""
    first = make_service("high", targets, slots, precedence=Precedence.HIGH)
    return [
        first.model_copy(update={"service": rank.name.lower(), "precedence": rank})
        for rank in Precedence
    ]


def _rows_against_baseline(deployment, load):
    base = _run(FirstComeRandom, deployment, load)
    for strategy in STRATEGIES:
        result = _run(strategy, deployment, load)
        scenario = f"{deployment.name}, {load:.0%} of slots, {strategy.name}"
        pairs = zip(Precedence, result["tallies"], base["tallies"], strict=True)
        for rank, measured, other in pairs:
            name = f"{scenario}, {rank.name.lower()}"
            yield _row(
                name, "p99_wait", measured.p99_wait_ms(), "ms", other.p99_wait_ms()
            )
            yield _row(
                name,
                "served_in_time",
                measured.share_in_time(),
                "share",
                other.share_in_time(),
                0.99 if rank is Precedence.HIGH else None,
            )
        yield _row(scenario, "sheds", result["sheds"], "a request", base["sheds"])
        yield _row(scenario, "peer_messages", result["messages"], "a request", 0.0)


def _run(strategy, deployment, load):
    services = services_of(deployment.pool_targets, deployment.pool_slots)
    targets = Targets(services[0])
    model = strategy(deployment.hosts, [make_team(*services)], targets, SEED)
    capacity = deployment.pool_targets * deployment.pool_slots / WORK_S
    streams = [
        Stream("laurentide", service, load * capacity * _MIX[service.precedence])
        for service in services
    ]
    tallies = simulate(model, deployment.hosts, streams, SECONDS, SEED)
    arrived = sum(tally.arrived for tally in tallies)
    fleet = getattr(model, "fleet", None)
    return {
        "tallies": tallies,
        "sheds": targets.sheds / arrived,
        "messages": fleet.messages / arrived if fleet else 0.0,
    }


def _row(scenario, measure, value, unit, baseline, target=None):
    return MeasureRow(
        scenario,
        measure,
        round(value, 3),
        unit,
        target,
        FirstComeRandom.name,
        round(baseline, 3),
    )
