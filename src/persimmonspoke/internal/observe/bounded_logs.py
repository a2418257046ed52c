"""Logs on standard output that never block the process."""

import logging
import sys
from collections import deque

import eventlet
from eventlet import patcher
from eventlet.event import Event
from pythonjsonlogger.json import JsonFormatter

from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.logs import LOG_FORMAT, RENAMED_FIELDS

# Unlike eventlet's green version, this write raises BlockingIOError instead of waiting.
os = patcher.original("os")

LINES_PER_S = 300  # a request writes one line, and a host serves under 200 a second
MAX_QUEUED_BYTES = 1 << 20
FLUSH_S = 0.1


class BoundedHandler(logging.Handler):
    """Writes lines from a separate task; drops and counts lines above the limits.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    def __init__(self, descriptor: int, clock: Clock):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._credit = float(LINES_PER_S)
        self._credited_at = clock.now()
        self._dropped_reported = 0
        self._due = Event()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record; one that is dropped is not formatted."""
        now = self._clock.now()
        earned = (now - self._credited_at) * LINES_PER_S
        self._credit = min(float(LINES_PER_S), self._credit + earned)
        self._credited_at = now
        # The last tenth of the credit is reserved for warnings and errors.
        reserve = 0.0 if record.levelno >= logging.WARNING else LINES_PER_S / 10
        if self._credit < reserve + 1 or self._queued_bytes > MAX_QUEUED_BYTES:
            self.dropped += 1
            self._note_due()
            return
        self._credit -= 1
        self._enqueue(self.format(record))

    def flush_without_blocking(self) -> None:
        """Write as many queued lines as possible without blocking."""
        if self.dropped > self._dropped_reported:
            newly_dropped, self._dropped_reported = (
                self.dropped - self._dropped_reported,
                self.dropped,
            )
            self._enqueue(
                f'{{"level": "WARNING", "message": "lines dropped: {newly_dropped}"}}'
            )
        while self._queue:
            # One system call for several lines.
            lines = b"".join(self._queue)
            self._queue.clear()
            try:
                written = os.write(self._descriptor, lines)
            except BlockingIOError:
                written = 0
            self._queued_bytes -= written
            if written < len(lines):
                self._queue.append(lines[written:])
                return

    def run(self) -> None:
        """Write queued lines periodically, forever, while there are any."""
        while True:
            if not self._queue and self.dropped == self._dropped_reported:
                self._due = Event()
                self._due.wait()
            eventlet.sleep(FLUSH_S)
            self.flush_without_blocking()

    def _note_due(self):
        if not self._due.ready():
            self._due.send()

    def _enqueue(self, text):
        line = text.encode() + b"\n"
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._note_due()


def start_bounded_logs(level: str, host_id: str, clock: Clock) -> BoundedHandler:
    """Send all log records of this process to standard output, as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno(), clock)
    handler.setFormatter(
        JsonFormatter(
            LOG_FORMAT, rename_fields=RENAMED_FIELDS, static_fields={"run": host_id}
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    eventlet.spawn_n(handler.run)
    return handler
