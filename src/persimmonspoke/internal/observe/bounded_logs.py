"""Logs on standard output that never make the process wait."""

import logging
import sys
from collections import deque

import eventlet
from eventlet import patcher
from pythonjsonlogger.json import JsonFormatter

from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.logs import FIELDS, RENAMED

# The green module's write would wait where this one says that it would have to.
os = patcher.original("os")

LINES_PER_S = 300  # a request makes one line, and a host takes under 200 a second
MOST_WAITING_BYTES = 1 << 20
FLUSH_S = 0.1


class BoundedHandler(logging.Handler):
    """Writes lines from a task of its own; drops and counts what is too much.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
    """

    def __init__(self, descriptor: int, clock: Clock):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._credit = float(LINES_PER_S)
        self._credited_at = clock.now()
        self._told = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Take in a record; nothing is formatted for one that is dropped."""
        now = self._clock.now()
        earned = (now - self._credited_at) * LINES_PER_S
        self._credit = min(float(LINES_PER_S), self._credit + earned)
        self._credited_at = now
        # Warnings may use what is left when the rest must wait.
        least = 0.0 if record.levelno >= logging.WARNING else LINES_PER_S / 10
        if self._credit < least + 1 or self._waiting_bytes > MOST_WAITING_BYTES:
            self.dropped += 1
            return
        self._credit -= 1
        self._put(self.format(record))

    def flush_some(self) -> None:
        """Write what can be written without waiting."""
        if self.dropped > self._told:
            missing, self._told = self.dropped - self._told, self.dropped
            self._put(f'{{"level": "WARNING", "message": "lines dropped: {missing}"}}')
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def run(self) -> None:
        """Write for as long as the task lives."""
        while True:
            eventlet.sleep(FLUSH_S)
            self.flush_some()

    def _put(self, text):
        line = text.encode() + b"\n"
        self._waiting.append(line)
        self._waiting_bytes += len(line)


def start_bounded_logs(level: str, host_id: str, clock: Clock) -> BoundedHandler:
    """Send all log records of this process to standard output, as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno(), clock)
    handler.setFormatter(
        JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"run": host_id})
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    eventlet.spawn_n(handler.run)
    return handler
