"""Unavailable time, leaving targets and new configurations, with the real tasks."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

import eventlet
from tests.fakes import checkers, virtual_hub
from tests.fakes.cluster import FakeCluster

from tools.measure.rows import MeasureRow

KEYS = tuple(f"k{number}" for number in range(12))
PERIOD_S = 0.1
START_S = 4.0
AFTER_S = 6.0
OUTAGE_S = 60.0
RECOVERY_TARGET_S = 2.0
RESOLUTION_S = 0.01
"""Differences between two requests' paths make gaps that are none."""


@dataclass
class _Run:
    """One cluster that serves callers, and the moment of the fault."""

    sizes: dict = field(default_factory=dict)

    def __enter__(self):
        self.cluster = FakeCluster(**self.sizes)
        eventlet.sleep(START_S)
        self.cluster.probe(KEYS, PERIOD_S)
        eventlet.sleep(1)
        self.since = virtual_hub.now()
        return self

    def __exit__(self, *exc):
        self.cluster.close()

    def unavailable_s(self):
        """Return the longest time without an answer, over all keys."""
        gaps = checkers.unavailable_s(self.cluster.history, self.since, PERIOD_S)
        longest = max(gaps.values())
        return round(longest, 3) if longest > RESOLUTION_S else 0.0

    def failed(self):
        """Return how many requests failed since the fault."""
        answers = self.cluster.history.answers
        return sum(a.asked_at >= self.since and a.status != 200 for a in answers)


def _lose_target(cluster):
    cluster.targets[cluster.owner()].kill()


def _freeze_target(cluster):
    cluster.targets[cluster.owner()].process.pause()


def _kill_host(cluster):
    cluster.kill_host(cluster.keeper())


def _lose_machine(cluster):
    cluster.vanish_host(cluster.keeper())


def _freeze_host(cluster):
    cluster.hosts[cluster.keeper()].process.pause()


def _lose_centre(cluster):
    cluster.lose_centre("x")


LOSSES = (
    ("target_killed", _lose_target, {}),
    ("target_frozen", _freeze_target, {}),
    ("entry_host_killed", _kill_host, {}),
    ("entry_host_machine_lost", _lose_machine, {}),
    ("entry_host_frozen", _freeze_host, {}),
    (
        "data_centre_lost",
        _lose_centre,
        {"hosts": 6, "targets": 6, "centres": ("x", "y", "z")},
    ),
)
OUTAGES = (
    ("store_down", None),
    ("store_down_and_target_killed", _lose_target),
    ("store_down_and_entry_host_killed", _kill_host),
    ("store_down_and_entry_host_machine_lost", _lose_machine),
)


def rows() -> Iterator[MeasureRow]:
    """Yield all rows of this module."""
    for checks in (True, False):
        kind = "checking" if checks else "not_checking"
        yield from _losses(checks, kind)
        yield from _outages(checks, kind)
        yield from _planned_move(checks, kind)
    yield _config_in_force()


def _losses(checks, kind):
    for name, lose, sizes in LOSSES:
        with _Run({"checks": checks, **sizes}) as run:
            lose(run.cluster)
            eventlet.sleep(AFTER_S)
            yield _unavailable(f"{name}.{kind}", run, RECOVERY_TARGET_S)


def _outages(checks, kind):
    for name, lose in OUTAGES:
        with _Run({"checks": checks}) as run:
            run.cluster.store_faults(down=True)
            eventlet.sleep(START_S)
            if lose is not None:
                lose(run.cluster)
            eventlet.sleep(OUTAGE_S)
            target = 0.0 if lose is None else None
            yield _unavailable(f"{name}.{kind}", run, target)


def _unavailable(scenario, run, target):
    return MeasureRow(scenario, "unavailable_s_max", run.unavailable_s(), "s", target)


def _planned_move(checks, kind):
    """Drain an owner: no request fails, and the longest wait is the hold."""
    with _Run({"checks": checks}) as run:
        owner = run.cluster.owner()
        run.cluster.drain(owner)
        eventlet.sleep(AFTER_S)
        history = run.cluster.history
        scenario = f"planned_move.{kind}"
        yield MeasureRow(scenario, "failed_requests", run.failed(), "requests", 0)
        held = max(
            a.answered_at - a.asked_at
            for a in history.answers
            if a.asked_at >= run.since
        )
        yield MeasureRow(scenario, "longest_hold_s", round(held, 3), "s")
        begun = [e.started for e in history.executions if e.target == owner]
        late = max(0.0, max(begun) - run.since)
        yield MeasureRow(
            scenario, "leaving_new_work_s", round(late, 3), "s", checkers.LEAVING_S
        )


def _config_in_force():
    """Apply generations while a host is away, and wait until all have them."""
    with _Run({"hosts": 6, "centres": ("x", "y", "z")}) as run:
        for generation in itertools.islice(itertools.count(2), 10):
            run.cluster.apply(generation)
            eventlet.sleep(1.7)
        eventlet.sleep(AFTER_S)
        names = [host.process.name for host in run.cluster.hosts.values()]
        longest = checkers.config_in_force_s(run.cluster.history, names)
        return MeasureRow(
            "ten_changes_at_six_hosts",
            "config_in_force_s",
            round(longest, 3),
            "s",
            checkers.IN_FORCE_S,
        )
