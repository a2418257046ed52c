"""Checks of the system's guarantees on the history that an observer recorded."""

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise

from tests.fakes import virtual_hub

LEAVING_S = 3.0
IN_FORCE_S = 17.0
SLACK_S = 1e-6


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a guarantee."""

    guarantee: str
    at: float
    detail: str


def two_owners(history):
    """Find shards that two targets owned at once, or that returned to an old owner.

    A target that checks the fence owns a shard while it would accept requests for it.
    Of a target that does not check, only executions are visible: two targets may not
    run requests of one shard at the same time, and no request of an earlier epoch may
    run after one of a later epoch.
    """
    found = []
    for shard, holds in _by_shard(h for h in history.holds if h.checks):
        found += _overlaps(shard, sorted(holds, key=lambda hold: hold.since))
    runs = [run for run in history.executions if run.shard and not run.checks]
    for shard, runs_of in _by_shard(runs):
        found += _conflicting_runs(shard, sorted(runs_of, key=lambda run: run.started))
    return found


def _by_shard(records):
    groups = defaultdict(list)
    for record in records:
        groups[record.shard].append(record)
    return sorted(groups.items())


def _overlaps(shard, holds):
    found = []
    for number, hold in enumerate(holds):
        for other in holds[number + 1 :]:
            overlap_s = min(hold.until, other.until) - other.since
            if other.target != hold.target and overlap_s > SLACK_S:
                detail = f"{shard}: {hold} and {other}"
                found.append(Violation("two_owners", other.since, detail))
    return found


def _conflicting_runs(shard, runs):
    found = []
    now = virtual_hub.now()
    latest = None
    for run in runs:
        if latest is not None and run.target != latest.target:
            ended = now if latest.ended is None else latest.ended
            if run.epoch < latest.epoch or ended - run.started > SLACK_S:
                detail = f"{shard}: {latest} then {run}"
                found.append(Violation("two_owners", run.started, detail))
        if latest is None or run.epoch >= latest.epoch:
            latest = run
    return found


def protected_run_twice(history):
    """Find protected requests that ran more than once."""
    seen, found = {}, []
    for run in history.executions:
        if run.protected and run.request in seen:
            detail = f"{seen[run.request]} and {run}"
            found.append(Violation("protected_run_twice", run.started, detail))
        seen[run.request] = run
    return found


def refused_yet_run(history):
    """Find requests that ran although the answer said that they did not."""
    runs = {run.request: run for run in history.executions}
    return [
        Violation(
            "refused_yet_run",
            answer.answered_at,
            f"{answer} and {runs[answer.request]}",
        )
        for answer in history.answers
        if answer.run == "not_run" and answer.request in runs
    ]


def wrong_answer(history):
    """Find successful answers whose body is not that of the caller's request."""
    return [
        Violation("wrong_answer", answer.answered_at, f"{answer}")
        for answer in history.answers
        if answer.status == 200 and answer.body != answer.request
    ]


def lost_acknowledged_assignment(writes):
    """Find stored pages that a later write reverted to an earlier epoch.

    Parameters
    ----------
    writes : iterable of StoredObject
        All writes to the store, in order.
    """
    last, found = {}, []
    for stored in writes:
        if not stored.key.startswith("pages/"):
            continue
        before = last.get(stored.key)
        if before is not None and not _follows(before.value, stored.value):
            detail = f"{before} then {stored}"
            found.append(Violation("lost_acknowledged_assignment", 0.0, detail))
        last[stored.key] = stored
    return found


def _follows(before, after):
    """Return whether the page `after` is a valid next state of `before`."""
    if not after or after["epoch"] <= before["epoch"]:
        return False
    old_entries = zip(before["owners"], before["epochs"], strict=True)
    new_entries = zip(after["owners"], after["epochs"], strict=True)
    return all(
        new == old or new[1] > old[1]
        for old, new in zip(old_entries, new_entries, strict=True)
    )


def reverted_generation(history):
    """Find runs of hosts on which a configuration reverted to an earlier one."""
    newest, found = {}, []
    for at, host, team, generation in history.in_force:
        if generation < newest.get((host, team), 0):
            detail = f"{host} went back to generation {generation} of {team}"
            found.append(Violation("reverted_generation", at, detail))
        newest[host, team] = generation
    return found


def config_in_force_s(history, hosts):
    """Return the longest time until an accepted configuration was in force."""
    longest = 0.0
    for applied, team, generation in history.acknowledged:
        for host in hosts:
            first = min(
                at
                for at, name, of, number in history.in_force
                if (name, of) == (host, team) and number >= generation
            )
            longest = max(longest, first - applied)
    return longest


def leaving_new_work(history):
    """Find requests that began at a target more than `LEAVING_S` after its drain."""
    return [
        Violation("leaving_new_work", run.started, f"{leaving}: {run}")
        for leaving in history.leaving
        for run in history.executions
        if run.target == leaving.target
        and leaving.since + LEAVING_S < run.started < leaving.until
    ]


def unavailable_s(history, since, period_s):
    """Return, by key, the longest time without a successful answer.

    Parameters
    ----------
    period_s : float
        Period of the requests for each key, which is subtracted from each gap.
    """
    now = virtual_hub.now()
    times = defaultdict(list)
    for answer in history.answers:
        if answer.answered_at >= since:
            times[answer.key] += [answer.answered_at] if answer.status == 200 else []
    return {
        key: max(
            0.0,
            max(b - a for a, b in pairwise([since, *sorted(answer_times), now]))
            - period_s,
        )
        for key, answer_times in times.items()
    }


def all_violations(cluster):
    """Return all violations in the cluster's history."""
    history = cluster.history
    return [
        *two_owners(history),
        *protected_run_twice(history),
        *refused_yet_run(history),
        *wrong_answer(history),
        *lost_acknowledged_assignment(cluster.platform.writes()),
        *reverted_generation(history),
        *leaving_new_work(history),
    ]
