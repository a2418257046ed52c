"""Unavailability, leaving targets and new configurations, with the real tasks."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

import eventlet
from tests.fakes import checkers, virtual_hub
from tests.fakes.cluster import FakeCluster

from tools.measure.rows import MeasureRow

KEYS = tuple(f"k{number}" for number in range(12))
PROBE_INTERVAL_S = 0.1
SETTLE_S = 4.0
OBSERVED_S = 6.0
OUTAGE_S = 60.0
RECOVERY_TARGET_S = 2.0
MIN_GAP_S = 0.01
"""Shorter gaps are differences in latency between requests, not unavailability."""


@dataclass
class _Run:
    """A cluster that serves callers, and the instant of the injected fault."""

    sizes: dict = field(default_factory=dict)

    def __enter__(self):
        self.cluster = FakeCluster(**self.sizes)
        eventlet.sleep(SETTLE_S)
        self.cluster.probe(KEYS, PROBE_INTERVAL_S)
        eventlet.sleep(1)
        self.fault_at = virtual_hub.now()
        return self

    def __exit__(self, *exc):
        self.cluster.close()

    def unavailable_s(self):
        """Return the longest time without a response, over all keys."""
        gaps = checkers.unavailable_s(
            self.cluster.history, self.fault_at, PROBE_INTERVAL_S
        )
        longest = max(gaps.values())
        return round(longest, 3) if longest > MIN_GAP_S else 0.0

    def failed(self):
        """Return how many of the requests sent since the fault have failed."""
        answers = self.cluster.history.answers
        return sum(a.asked_at >= self.fault_at and a.status != 200 for a in answers)


def _kill_target(cluster):
    cluster.targets[cluster.owner()].kill()


def _freeze_target(cluster):
    cluster.targets[cluster.owner()].process.pause()


def _kill_host(cluster):
    cluster.kill_host(cluster.keeper())


def _lose_machine(cluster):
    cluster.vanish_host(cluster.keeper())


def _freeze_host(cluster):
    cluster.hosts[cluster.keeper()].process.pause()


def _lose_data_centre(cluster):
    cluster.lose_centre("x")


LOSSES = (
    ("target_killed", _kill_target, {}),
    ("target_frozen", _freeze_target, {}),
    ("entry_host_killed", _kill_host, {}),
    ("entry_host_machine_lost", _lose_machine, {}),
    ("entry_host_frozen", _freeze_host, {}),
    (
        "data_centre_lost",
        _lose_data_centre,
        {"hosts": 6, "targets": 6, "centres": ("x", "y", "z")},
    ),
)
OUTAGES = (
    ("store_down", None),
    ("store_down_and_target_killed", _kill_target),
    ("store_down_and_entry_host_killed", _kill_host),
    ("store_down_and_entry_host_machine_lost", _lose_machine),
)


def rows() -> Iterator[MeasureRow]:
    """Yield all rows of this module."""
    for checks_fence in (True, False):
        kind = "checking" if checks_fence else "not_checking"
        yield from _losses(checks_fence, kind)
        yield from _outages(checks_fence, kind)
        yield from _planned_move(checks_fence, kind)
    yield _config_in_force()


def _losses(checks_fence, kind):
    for name, inject_fault, sizes in LOSSES:
        with _Run({"checks": checks_fence, **sizes}) as run:
            inject_fault(run.cluster)
            eventlet.sleep(OBSERVED_S)
            yield _unavailable(f"{name}.{kind}", run, RECOVERY_TARGET_S)


def _outages(checks_fence, kind):
    for name, inject_fault in OUTAGES:
        with _Run({"checks": checks_fence}) as run:
            run.cluster.store_faults(down=True)
            eventlet.sleep(SETTLE_S)
            if inject_fault is not None:
                inject_fault(run.cluster)
            eventlet.sleep(OUTAGE_S)
            target = 0.0 if inject_fault is None else None
            yield _unavailable(f"{name}.{kind}", run, target)


def _unavailable(scenario, run, target):
    return MeasureRow(scenario, "unavailable_s_max", run.unavailable_s(), "s", target)


def _planned_move(checks_fence, kind):
    """Yield the rows on the drain of an owner.

    No request should fail, and the longest wait is the hold of the moved keys.
    """
    with _Run({"checks": checks_fence}) as run:
        owner = run.cluster.owner()
        run.cluster.drain(owner)
        eventlet.sleep(OBSERVED_S)
        history = run.cluster.history
        scenario = f"planned_move.{kind}"
        yield MeasureRow(scenario, "failed_requests", run.failed(), "requests", 0)
        longest_wait_s = max(
            a.answered_at - a.asked_at
            for a in history.answers
            if a.asked_at >= run.fault_at
        )
        yield MeasureRow(scenario, "longest_hold_s", round(longest_wait_s, 3), "s")
        start_times = [e.started for e in history.executions if e.target == owner]
        last_start_s = max(0.0, max(start_times) - run.fault_at)
        yield MeasureRow(
            scenario,
            "leaving_new_work_s",
            round(last_start_s, 3),
            "s",
            checkers.LEAVING_S,
        )


def _config_in_force():
    """Return the longest time from an apply until all hosts have it in force."""
    with _Run({"hosts": 6, "centres": ("x", "y", "z")}) as run:
        for generation in itertools.islice(itertools.count(2), 10):
            run.cluster.apply(generation)
            eventlet.sleep(1.7)
        eventlet.sleep(OBSERVED_S)
        names = [host.process.name for host in run.cluster.hosts.values()]
        longest = checkers.config_in_force_s(run.cluster.history, names)
        return MeasureRow(
            "ten_changes_at_six_hosts",
            "config_in_force_s",
            round(longest, 3),
            "s",
            checkers.IN_FORCE_S,
        )
