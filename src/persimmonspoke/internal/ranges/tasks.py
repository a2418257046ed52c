"""Tasks that run only while their host leads."""

import logging

import eventlet

from persimmonspoke.errors import AuthorityLapsed

log = logging.getLogger(__name__)


class LeaderTasks:
    """Starts tasks, and ends all of them when the host stops leading."""

    def __init__(self):
        self._tasks: set[eventlet.greenthread.GreenThread] = set()

    def spawn(self, function, *args) -> None:
        """Run `function` in a new task."""
        task = eventlet.spawn(_run_and_log_errors, function, *args)
        self._tasks.add(task)
        task.link(lambda done: self._tasks.discard(done))

    def end_all(self) -> None:
        """Kill all tasks except the calling one."""
        tasks, self._tasks = self._tasks, set()
        current = eventlet.getcurrent()
        for task in tasks:
            if task is not current:
                task.kill()


def _run_and_log_errors(function, *args):
    """Run a task; log its exceptions, so that none is lost and the leader goes on."""
    try:
        function(*args)
    except AuthorityLapsed as exc:
        log.info(
            "ranges: task ended, this host may not give orders",
            extra={"reason": str(exc)},
        )
    except Exception:
        log.exception("ranges: task failed with an unexpected error")
