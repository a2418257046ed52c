"""Restarts the daemon's tasks after unexpected errors."""

import logging
from collections.abc import Callable

import eventlet

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics

RESTART_S = 0.5  # keeps a task that fails at once from taking all processor time

log = logging.getLogger(__name__)


def spawn_supervised(
    task: Callable[[], None], clock: Clock, metrics: Metrics
) -> eventlet.greenthread.GreenThread:
    """Run `task` in a green thread; log each of its errors, and start it again."""
    return eventlet.spawn(_run_until_it_returns, task, clock, metrics)


def _run_until_it_returns(task, clock, metrics):
    while True:
        try:
            return task()
        except Exception:
            log.exception("daemon: task failed", extra={"task": _name(task)})
            metrics.incr("tasks.failed")
        clock.sleep_until(Instant(clock.now() + RESTART_S))


def _name(task):
    return getattr(task, "__qualname__", repr(task))
