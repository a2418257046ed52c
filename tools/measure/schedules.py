"""Broken promises over all fault schedules, with the real tasks."""

from collections.abc import Iterator

from tests.slow.test_fault_schedules import (
    FaultSchedules,
    UncheckedSchedules,
    run_schedules,
)

from tools.measure.rows import MeasureRow

PROMISES = (
    "two_owners",
    "protected_run_twice",
    "refused_yet_run",
    "lost_acknowledged_assignment",
    "reverted_generation",
    "wrong_answer",
    "leaving_new_work",
)


def rows() -> Iterator[MeasureRow]:
    """Yield the number of violations of each promise, and of schedules and steps."""
    ended_early = 0
    for machine in (FaultSchedules, UncheckedSchedules):
        try:
            run_schedules(machine)
        except AssertionError:
            ended_early += 1
    scenario = "fault_schedules"
    yield MeasureRow(scenario, "schedules", FaultSchedules.schedules, "schedules")
    yield MeasureRow(scenario, "steps", FaultSchedules.steps, "steps")
    yield MeasureRow(scenario, "runs_ended_by_a_violation", ended_early, "runs", 0)
    for promise in PROMISES:
        count = FaultSchedules.seen[promise]
        yield MeasureRow(scenario, promise, count, "violations", 0)
