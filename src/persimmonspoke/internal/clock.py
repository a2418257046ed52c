"""The monotonic clock that a process uses."""

import time
from typing import Protocol

import eventlet

from persimmonspoke.ids import Instant


class Clock(Protocol):
    """A monotonic clock with a sleep; tests supply one that can be paused."""

    def now(self) -> Instant:
        """Return the time, in seconds from an arbitrary start."""

    def sleep_until(self, deadline: Instant) -> None:
        """Let other tasks run until `deadline`; return at once if it has passed."""


class SystemClock:
    """The machine's clock since boot, which continues while the machine is suspended.

    With a clock that stops during suspension, a lease would be used after its end.
    """

    def now(self) -> Instant:
        """Return the time, in seconds from an arbitrary start."""
        return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def sleep_until(self, deadline: Instant) -> None:
        """Let other tasks run until `deadline`; return at once if it has passed."""
        eventlet.sleep(max(0.0, deadline - self.now()))
