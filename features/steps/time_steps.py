"""Steps that advance virtual time."""

import eventlet
from behave import then, when
from tests.fakes import virtual_hub


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.started_at = virtual_hub.now()
    eventlet.sleep(seconds)


@then("the clock shows {seconds:g} seconds more")
def step_clock(context, seconds):
    assert abs(virtual_hub.now() - context.started_at - seconds) < 1e-6
