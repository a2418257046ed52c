"""Request storms: of one team against another, of archive reads against filings."""

from tests.fakes.scheduling_fleet import make_service, make_team

from persimmonspoke.internal.questionnaire.configuration import Precedence
from tools.measure.queue_model import (
    WORK_S,
    FirstComeRandom,
    LentPermits,
    Stream,
    Targets,
    simulate,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import LAURENTIDE, QOYAN
from tools.measure.waits import services_of

SEED = 14
SECONDS = 2.0
_STORM_LOAD = 2.0
_CALM_LOAD = 0.2
_TARGET = 0.99


def rows():
    """Return the rows of both storms."""
    for deployment in (LAURENTIDE, QOYAN):
        yield from _row_pair(
            f"{deployment.name}, archive reads storm", archive_storm, deployment
        )
    name = "two teams on one pool, the other team storms with urgent requests"
    yield from _row_pair(name, team_storm, LAURENTIDE)


def _row_pair(scenario, run, deployment):
    measured = run(LentPermits, deployment)
    base = run(FirstComeRandom, deployment)
    yield MeasureRow(
        scenario,
        "p99_wait",
        round(measured.p99_wait_ms(), 3),
        "ms",
        None,
        FirstComeRandom.name,
        round(base.p99_wait_ms(), 3),
    )
    yield MeasureRow(
        scenario,
        "served_in_time",
        round(measured.share_in_time(), 3),
        "share",
        _TARGET,
        FirstComeRandom.name,
        round(base.share_in_time(), 3),
    )


def archive_storm(strategy, deployment):
    """Return the tally of filings while archive reads demand twice the slots."""
    filing, _, archive = services_of(deployment.pool_targets, deployment.pool_slots)
    capacity = deployment.pool_targets * deployment.pool_slots / WORK_S
    streams = [
        Stream("laurentide", filing, _CALM_LOAD * capacity),
        Stream("laurentide", archive, _STORM_LOAD * capacity),
    ]
    targets = Targets(filing)
    model = strategy(deployment.hosts, [make_team(filing, archive)], targets, SEED)
    return simulate(model, deployment.hosts, streams, SECONDS, SEED)[0]


def team_storm(strategy, deployment):
    """Return the tally of the calm team while the other team overloads the targets."""
    calm = make_service("shared", deployment.pool_targets, deployment.pool_slots)
    storm = calm.model_copy(update={"precedence": Precedence.HIGH})
    capacity = deployment.pool_targets * deployment.pool_slots / WORK_S
    streams = [
        Stream("calm", calm, _CALM_LOAD * capacity),
        Stream("storm", storm, _STORM_LOAD * capacity),
    ]
    teams = [make_team(calm, team="calm"), make_team(storm, team="storm")]
    targets = Targets(calm)
    model = strategy(deployment.hosts, teams, targets, SEED)
    return simulate(model, deployment.hosts, streams, SECONDS, SEED)[0]
