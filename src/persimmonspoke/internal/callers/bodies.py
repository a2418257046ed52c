"""Reads the bodies of callers' requests: buffers short ones, streams long ones."""

from collections.abc import Iterator

import eventlet

from persimmonspoke.errors import (
    BodyTooLarge,
    BodyTooSlow,
    LengthRequired,
    MalformedRequest,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets.request_api import Body, StreamedBody

CHUNK_BYTES = 16384


class BodyChunks:
    """An iterator over the chunks of a body.

    Attributes
    ----------
    started : bool
        Whether any chunk has been requested; the body can't be sent again then.
    """

    def __init__(self, chunks: Iterator[bytes]):
        self.started = False
        self._chunks = chunks

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        self.started = True
        return next(self._chunks)


class BodyReader:
    """Reads one request's body from its WSGI input.

    Every read ends by `deadline`, so that a slow caller can't hold resources longer.
    """

    def __init__(
        self,
        cfg: CallerSettings,
        clock: Clock,
        environ: dict,
        limit_bytes: int,
        deadline: Instant,
    ):
        self._cfg = cfg
        self._clock = clock
        self._input = environ["wsgi.input"]
        self._limit = limit_bytes
        self._deadline = deadline
        self._length = _length(environ)

    def read(self) -> Body:
        """Return a short body as bytes, and a longer one as a `StreamedBody`."""
        if self._length == 0:
            return b""
        if self._length is not None and self._length > self._limit:
            raise BodyTooLarge(f"the body is longer than {self._limit} bytes")
        first_part, ended = self._read_first_part()
        if ended:
            return first_part
        chunks = BodyChunks(self._chunks(first_part))
        return StreamedBody(chunks, self._length, first_part)

    def _read_first_part(self):
        chunks, size = [], 0
        while size < self._cfg.buffered_bytes:
            chunk = self._read(min(CHUNK_BYTES, self._cfg.buffered_bytes - size))
            chunks.append(chunk)
            size += len(chunk)
            self._check_size(size, ended=not chunk)
            if not chunk or size == self._length:
                return b"".join(chunks), True
        return b"".join(chunks), False

    def _chunks(self, first_part) -> Iterator[bytes]:
        yield first_part
        size = len(first_part)
        while size != self._length:
            chunk = self._read(CHUNK_BYTES)
            size += len(chunk)
            self._check_size(size, ended=not chunk)
            if not chunk:
                return
            yield chunk

    def _check_size(self, size, ended):
        if size > self._limit:
            raise BodyTooLarge(f"the body is longer than {self._limit} bytes")
        if ended and self._length is not None and size < self._length:
            raise MalformedRequest("the body ended early")

    def _read(self, count) -> bytes:
        timer = eventlet.Timeout(max(0.0, self._deadline - self._clock.now()))
        try:
            return self._input.read(count)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise BodyTooSlow("the body had not arrived at the deadline") from exc
        except (OSError, ValueError) as exc:
            raise MalformedRequest(f"the body can't be read: {exc}") from exc
        finally:
            timer.cancel()


def is_replayable(body: Body) -> bool:
    """Return whether `body` can still be sent from the beginning."""
    return isinstance(body, bytes) or not body.chunks.started


def _length(environ) -> int | None:
    """Return the length of the body, or None if it is sent in chunks."""
    coding = environ.get("HTTP_TRANSFER_ENCODING")
    if coding is None:
        return int(environ.get("CONTENT_LENGTH") or 0)
    if coding.lower() != "chunked":
        raise LengthRequired("the only transfer coding that is read is chunked")
    return None
