"""Violated guarantees over all fault schedules, with the real tasks."""

from collections.abc import Iterator

from tests.slow.test_fault_schedules import (
    FaultSchedules,
    UncheckedSchedules,
    run_schedules,
)

from tools.measure.rows import MeasureRow

GUARANTEES = (
    "two_owners",
    "protected_run_twice",
    "refused_yet_run",
    "lost_acknowledged_assignment",
    "reverted_generation",
    "wrong_answer",
    "leaving_new_work",
)


def rows() -> Iterator[MeasureRow]:
    """Yield the numbers of schedules, steps, and violations of each guarantee."""
    violated_runs = 0
    for machine in (FaultSchedules, UncheckedSchedules):
        try:
            run_schedules(machine)
        except AssertionError:
            violated_runs += 1
    scenario = "fault_schedules"
    yield MeasureRow(scenario, "schedules", FaultSchedules.schedules, "schedules")
    yield MeasureRow(scenario, "steps", FaultSchedules.steps, "steps")
    yield MeasureRow(scenario, "runs_ended_by_a_violation", violated_runs, "runs", 0)
    for guarantee in GUARANTEES:
        count = FaultSchedules.seen[guarantee]
        yield MeasureRow(scenario, guarantee, count, "violations", 0)
