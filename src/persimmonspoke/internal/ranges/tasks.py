"""Tasks that live as long as their host leads."""

import logging

import eventlet

from persimmonspoke.errors import AuthorityLapsed

log = logging.getLogger(__name__)


class LeaderTasks:
    """Starts tasks, and ends all of them when the lead is over."""

    def __init__(self):
        self._tasks: set[eventlet.greenthread.GreenThread] = set()

    def spawn(self, function, *args) -> None:
        """Run `function` in a task of its own."""
        task = eventlet.spawn(_logging_faults, function, *args)
        self._tasks.add(task)
        task.link(lambda done: self._tasks.discard(done))

    def end_all(self) -> None:
        """End all tasks but the one that calls this."""
        tasks, self._tasks = self._tasks, set()
        current = eventlet.getcurrent()
        for task in tasks:
            if task is not current:
                task.kill()


def _logging_faults(function, *args):
    """Run a task whose fault must not stay unseen; the next turn goes on without."""
    try:
        function(*args)
    except AuthorityLapsed as exc:
        log.info("ranges: task ended", extra={"reason": str(exc)})
    except Exception:
        log.exception("ranges: task failed by a fault of this host")
