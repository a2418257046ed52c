"""The green threads of one node, which can all be killed together."""

import logging
from collections.abc import Callable

import eventlet
import greenlet

from persimmonspoke.errors import PersimmonspokeError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

_LOG = logging.getLogger(__name__)


class Tasks:
    """Starts, counts and kills tasks."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._running: set = set()
        self._killed = False

    def spawn(self, func: Callable, *args) -> None:
        """Run `func` in a new task; a failure is logged."""
        if self._killed:
            return
        task = eventlet.spawn(self._run, func, *args)
        self._running.add(task)
        task.link(lambda ended: self._running.discard(ended))

    def every(self, period_s: float, func: Callable[[], None]) -> None:
        """Run `func` in one task every `period_s`, counted between starts of runs."""
        self.spawn(self._repeat, period_s, func)

    def gather(self, func: Callable, items) -> list:
        """Run `func` on all items concurrently and return the results in order."""
        tasks = [eventlet.spawn(func, item) for item in items]
        self._running.update(tasks)
        try:
            return [task.wait() for task in tasks]
        finally:
            self._running.difference_update(tasks)
            for task in tasks:
                task.kill()

    def kill(self) -> None:
        """Kill all tasks immediately; later calls of `spawn` do nothing."""
        self._killed = True
        for task in list(self._running):
            task.kill()

    def __len__(self):
        return len(self._running)

    def _repeat(self, period_s, func):
        while True:
            due = Instant(self._clock.now() + period_s)
            self._run(func)
            self._clock.sleep_until(due)

    @staticmethod
    def _run(func, *args):
        try:
            func(*args)
        except greenlet.GreenletExit:
            raise
        except PersimmonspokeError as exc:
            _LOG.info("tasks: a step failed", extra={"cause": repr(exc)})
        except Exception:
            _LOG.exception("tasks: a step failed for a reason that nobody expects")
