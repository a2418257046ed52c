"""Reads long answers from targets ahead of callers that read slowly.

A target has finished with a request once its answer has been read, whether or not the
caller has read it.  So a slow caller occupies no slot as long as the answer fits into
the buffers; when they are full, the target is read only as fast as the caller reads.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterator

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import AnswerLost
from persimmonspoke.ids import Instant, RequestId
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics

CHUNK_OVERHEAD_BYTES = 128
"""Counted for each buffered chunk, since a target may send very small ones."""

log = logging.getLogger(__name__)


class ReadAheadBuffers:
    """The buffers of all answers that this host reads ahead.

    Attributes
    ----------
    used_bytes : int
        Bytes that all buffers hold now.
    """

    def __init__(self, cfg: CallerSettings, clock: Clock, metrics: Metrics):
        self.cfg = cfg
        self.clock = clock
        self.metrics = metrics
        self.used_bytes = 0

    def has_room(self, answer_bytes: int) -> bool:
        """Return whether an answer that has `answer_bytes` buffered may buffer more.

        It may always buffer one chunk, so that each answer advances.
        """
        return answer_bytes == 0 or (
            answer_bytes < self.cfg.read_ahead_bytes
            and self.used_bytes < self.cfg.read_ahead_total_bytes
        )


class AnswerReader:
    """Reads one answer in a task of its own, as far ahead as the buffers allow.

    Parameters
    ----------
    chunks : iterator of bytes
        The answer; raises `AnswerLost` if it ends early, or at the deadline.
    deadline : Instant
        When the answer is given up, even if its caller reads nothing.
    on_end : callable
        Called in the reader's task when the answer has ended: with None if it is
        whole, else with the `AnswerLost`.

    Attributes
    ----------
    has_waited : bool
        Whether the target has had to wait for the caller.
    """

    def __init__(
        self,
        buffers: ReadAheadBuffers,
        chunks: Iterator[bytes],
        deadline: Instant,
        request_id: RequestId,
        on_end: Callable[[AnswerLost | None], None],
    ):
        self._buffers = buffers
        self._source = chunks
        self._deadline = deadline
        self._request_id = request_id
        self._on_end = on_end
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._error: Exception | None = None
        self._is_reading = True
        self.has_waited = False
        self._data: Event | None = None
        self._room: Event | None = None
        self._task = eventlet.spawn(self._run)

    def chunks(self) -> Iterator[bytes]:
        """Yield the answer; raise `AnswerLost` as soon as it is known to be lost."""
        while self._error is None:
            if self._chunks:
                yield self._take()
            elif self._is_reading:
                self._data = Event()
                self._data.wait()
            else:
                return
        raise self._error

    def stop(self) -> None:
        """Stop reading, and discard what is buffered."""
        if self._is_reading:
            self._is_reading = False
            self._task.kill()
        self._discard()

    def _run(self):
        try:
            for chunk in self._source:
                self._append(chunk)
                self._wait_for_room()
        except Exception as exc:
            self._error = exc
            self._discard()
        finally:
            self._is_reading = False
        self._wake(self._data)
        if self._error is None or isinstance(self._error, AnswerLost):
            self._on_end(self._error)

    def _append(self, chunk):
        self._chunks.append(chunk)
        self._count(len(chunk) + CHUNK_OVERHEAD_BYTES)
        self._wake(self._data)

    def _take(self):
        chunk = self._chunks.popleft()
        self._count(-len(chunk) - CHUNK_OVERHEAD_BYTES)
        self._wake(self._room)
        return chunk

    def _discard(self):
        self._chunks.clear()
        self._count(-self._buffered_bytes)

    def _count(self, change_bytes):
        self._buffered_bytes += change_bytes
        self._buffers.used_bytes += change_bytes

    def _wait_for_room(self):
        """Wait until the caller has read enough; raise `AnswerLost` at the deadline."""
        while not self._buffers.has_room(self._buffered_bytes):
            self._record_wait()
            left_s = self._deadline - self._buffers.clock.now()
            if left_s <= 0:
                raise AnswerLost("the caller read too slowly to have it in time")
            self._room = Event()
            self._room.wait(timeout=left_s)

    def _record_wait(self):
        if self.has_waited:
            return
        self.has_waited = True
        self._buffers.metrics.incr("callers.read_ahead.full")
        log.info(
            "callers: answer is read at its caller's pace",
            extra={
                "request_id": self._request_id,
                "buffered_bytes": self._buffered_bytes,
                "all_buffered_bytes": self._buffers.used_bytes,
            },
        )

    @staticmethod
    def _wake(event):
        if event is not None and not event.ready():
            event.send()
