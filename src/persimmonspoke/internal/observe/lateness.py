"""How late this process runs its own tasks, and which of them made it late.

A process that is frozen, or short of processor time, can't tell that from the
silence of its peers by a timeout alone: its timers are late as well.
"""

import logging
import os
import time
from collections import deque

import greenlet

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

BEAT_S = 0.1
LATE_S = 0.2  # shorter delays are usual while requests are served
MEMORY_S = 10.0  # longer than any timeout that asks for it
MIN_SLICE_S = 0.005  # shorter turns of a task are only counted together
MAX_NAMED = 5
STARTERS = ("eventlet", "supervision")

log = logging.getLogger(__name__)


class TaskTimes:
    """The time that tasks have run without a break since the last `take`, by name.

    The names are the functions that the tasks began with.
    """

    def __init__(self):
        self._switched_at = time.monotonic()
        self._long: dict[str, float] = {}
        self._short_s = 0.0

    def install(self) -> None:
        """Record the turns of all tasks of this thread from now on."""
        greenlet.settrace(self._on_switch)

    def _on_switch(self, event, args):
        now = time.monotonic()
        ran_s, self._switched_at = now - self._switched_at, now
        if ran_s < MIN_SLICE_S:
            self._short_s += ran_s
            return
        name = _first_function(args[0])
        self._long[name] = self._long.get(name, 0.0) + ran_s

    def take(self) -> tuple[dict[str, float], float]:
        """Return the seconds of the tasks that ran longest, and of all short turns."""
        longest = sorted(self._long.items(), key=lambda row: -row[1])[:MAX_NAMED]
        short_s, self._long, self._short_s = self._short_s, {}, 0.0
        return {name: round(ran_s, 3) for name, ran_s in longest}, round(short_s, 3)


def _first_function(task):
    """Return the name of the outermost function of a task that has been switched out.

    The functions that start and restart tasks are left out.
    """
    frame, name = task.gr_frame, "ended or the hub"
    while frame is not None:
        code = frame.f_code
        if not any(part in code.co_filename for part in STARTERS):
            name = f"{os.path.basename(code.co_filename)}:{code.co_name}"
        frame = frame.f_back
    return name


class Lateness:
    """Measures by a timer how late this process runs.

    Parameters
    ----------
    times : TaskTimes or None
        What the tasks have done, for log lines.

    Attributes
    ----------
    longest : float
        The longest delay of this process so far, in seconds.
    """

    def __init__(self, clock: Clock, times: TaskTimes | None = None):
        self._clock = clock
        self._times = times
        self.longest = 0.0
        self._late: deque[tuple[Instant, float]] = deque()
        self._due_at = Instant(clock.now() + BEAT_S)

    def run(self) -> None:
        """Measure forever; run as a task of the daemon."""
        while True:
            self._due_at = Instant(self._clock.now() + BEAT_S)
            began_cpu_s = time.process_time()
            self._clock.sleep_until(self._due_at)
            self._record(time.process_time() - began_cpu_s)

    def longest_since(self, since: Instant) -> float:
        """Return the longest delay, in seconds, that has ended since an instant.

        A delay that goes on counts as long as it has lasted.
        """
        now = self._clock.now()
        recent = (late_s for at, late_s in self._late if at >= since)
        return max(now - self._due_at, 0.0, *recent)

    def _record(self, cpu_s):
        now = self._clock.now()
        late_s = now - self._due_at
        self.longest = max(late_s, self.longest)
        named, short_s = ({}, 0.0) if self._times is None else self._times.take()
        while self._late and self._late[0][0] < now - MEMORY_S:
            self._late.popleft()
        if late_s < LATE_S:
            return
        self._late.append((now, late_s))
        log.info(
            "process: late",
            extra={
                "late_s": round(late_s, 3),
                "cpu_s": round(cpu_s, 3),
                "long_turns_s": named,
                "short_turns_s": short_s,
            },
        )
