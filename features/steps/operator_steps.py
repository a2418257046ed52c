"""Steps for operators that revise one questionnaire at the same time."""

import eventlet
from behave import given, then, when
from tests.cover.test_questionnaire import answers
from tests.fakes.admin_api import StoreProcess
from tests.fakes.store import WriteFate

from persimmonspoke.errors import ApplyConflict
from persimmonspoke.ids import Instant
from persimmonspoke.internal.questionnaire.teams import Teams

CALL_S = 5
WAITS_MS = (8, 9)


def _apply(site, expected, **changes):
    """Apply a questionnaire; return the accepted revision, or the conflict."""
    deadline = Instant(site.clock.now() + CALL_S)
    try:
        return Teams(site.store, site.clock).apply(
            "demo", answers(**changes), expected, deadline
        )
    except ApplyConflict as exc:
        return exc


@given("an accepted questionnaire")
def step_accepted(context):
    context.sites = [StoreProcess()]
    context.sites.append(context.sites[0].with_same_store("b"))
    assert _apply(context.sites[0], 0).generation == 1


@when("the answers of the next {count:d} writes are lost after they took effect")
def step_lose_answers(context, count):
    for site in context.sites:
        site.store.faults.lost.extend([WriteFate.AFTER_EFFECT] * count)


@when("two operators revise it at once")
def step_race(context):
    tasks = [
        eventlet.spawn(_apply, site, 1, wait_ms=wait_ms)
        for site, wait_ms in zip(context.sites, WAITS_MS, strict=True)
    ]
    context.outcomes = [task.wait() for task in tasks]


@then("one revision is accepted and the other operator sees what changed")
def step_one_wins(context):
    conflicts = [item for item in context.outcomes if isinstance(item, ApplyConflict)]
    accepted = [
        item for item in context.outcomes if not isinstance(item, ApplyConflict)
    ]
    assert len(conflicts) == 1, context.outcomes
    assert accepted[0].generation == 2
    winner = context.outcomes.index(accepted[0])
    change = conflicts[0].changes[0]
    assert change.path == "services[desk].wait_ms", change
    assert {change.before, change.after} == set(WAITS_MS), change
    site = context.sites[0]
    record = Teams(site.store, site.clock).read(
        "demo", Instant(site.clock.now() + CALL_S)
    )
    assert record.questionnaire == answers(wait_ms=WAITS_MS[winner])
