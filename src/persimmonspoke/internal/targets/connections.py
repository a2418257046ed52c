"""Connection pools for targets, and the rules for reusing a connection.

An established connection can stop responding permanently while new ones work.  So a
protected request gets a connection that is new or has answered very recently, a
connection that timed out is never reused, and the other idle connections to the same
target are closed with it.
"""

import contextlib
import io
import logging
import os
import re
import socket
from collections import deque
from collections.abc import Callable
from http.client import BadStatusLine, HTTPException, LineTooLong
from http.client import HTTPResponse as RawResponse

import eventlet
from eventlet import greenio, hubs
from eventlet.green import socket as green_socket
from eventlet.semaphore import Semaphore
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from persimmonspoke.errors import (
    TargetFull,
    TargetRefusedConnection,
    TargetUnreachable,
)
from persimmonspoke.ids import Instant, RequestId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.back_offs import ResetBackOff
from persimmonspoke.internal.targets.settings import TargetSettings

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 128 * 1024
"""Size of an answer's head with all interim answers before it; and of the chunk sizes
and trailers between two pieces of its body."""

MAX_STATUS_LINE_BYTES = 8192

RESET_WAIT_S = 0.01  # longer than one round trip between data centres and to hosts

RESET_ERRORS = (ConnectionResetError, BrokenPipeError)

READS_BEFORE_YIELD = 2  # with 16, endless interim answers held up the others

MAX_REMEMBERED_REQUESTS = 8
"""How many of its latest request ids a connection remembers."""

_STATUS_LINE = re.compile(
    r"(HTTP/1\.[0-9])[ \t]+([1-5][0-9]{2})(?:[ \t]+([^\r\n]*))?\r?\n", re.ASCII
)


class TooManyBytes(HTTPException):
    """A peer has sent more bytes than the part of an answer that is read may have."""


class _SocketSource(io.RawIOBase):
    """A raw stream over a socket, whose reads can be switched off by `may_read`.

    At most `left_bytes` more bytes are read, since a faulty peer may send bytes that
    are no answer without end.

    It reads the underlying socket instead of the green one, because the green one
    reports a reset as an orderly end of stream, and a truncated answer without a
    length would then look complete.
    """

    def __init__(self, sock):
        super().__init__()
        self._sock = sock
        self._raw_sock = sock.fd if isinstance(sock, greenio.GreenSocket) else sock
        self._reads_until_yield = READS_BEFORE_YIELD
        self.may_read = True
        self.left_bytes = MAX_HEAD_BYTES

    def readable(self):
        return True

    def readinto(self, buffer):
        while self.may_read:
            self._yield_sometimes()
            try:
                count = self._raw_sock.recv_into(buffer)
            except BlockingIOError:
                hubs.trampoline(
                    self._raw_sock,
                    read=True,
                    timeout=self._sock.gettimeout(),
                    timeout_exc=TimeoutError,
                )
                self._reads_until_yield = READS_BEFORE_YIELD
                continue
            self._reads_until_yield -= 1
            self.left_bytes -= count
            if self.left_bytes < 0:
                raise TooManyBytes("the answer has more bytes than its parts may have")
            return count
        return None

    def _yield_sometimes(self):
        """Let other tasks and timers run, even if the peer sends without a pause."""
        if self._reads_until_yield <= 0:
            self._reads_until_yield = READS_BEFORE_YIELD
            eventlet.sleep(0)


class _ConnectionBuffer:
    """The receive buffer of a connection, shared by its successive answers.

    The library would create a buffer for each answer and discard with it any bytes
    that arrived after that answer.
    """

    def __init__(self, sock):
        self._source = _SocketSource(sock)
        self.buffer = io.BufferedReader(self._source)

    def has_bytes(self) -> bool:
        """Return whether the buffer holds bytes that belong to no answer yet."""
        if self.buffer.closed:
            return False
        self._source.may_read = False
        try:
            return bool(self.buffer.peek(1))
        finally:
            self._source.may_read = True

    def allow(self, count: int) -> None:
        """Allow `count` bytes to be read until the next call of this method."""
        self._source.left_bytes = count

    def makefile(self, mode) -> "_BufferFile":
        """Return a file over the buffer; the library calls this on its socket."""
        return _BufferFile(self.buffer)

    def close(self) -> None:
        """Discard the buffered bytes."""
        self.buffer.close()


class _BufferFile:
    """A file over the connection's buffer; closing it leaves the buffer open."""

    def __init__(self, buffer):
        self._buffer = buffer

    def __getattr__(self, name):
        return getattr(self._buffer, name)

    def readline(self, limit=-1):
        """Return the next line; raise `ConnectionResetError` if it ends early.

        The library takes the end of the connection for the end of a head, of a chunk's
        size or of the trailers.
        """
        line = self._buffer.readline(limit)
        if not line.endswith(b"\n") and len(line) != limit:
            raise ConnectionResetError("the connection ended within a line")
        return line

    def close(self):
        """Do nothing: the connection owns the buffer."""


class _StrictResponse(RawResponse):
    """A response whose status is three digits from 100 to 599 (RFC 9110, section 15).

    The library converts the status with `int`, which takes ``+200``, ``2_00`` and
    ``0200`` for 200, and allows codes up to 999.
    """

    def _read_status(self):
        """Return version, status and reason; the library calls this."""
        line = str(self.fp.readline(MAX_STATUS_LINE_BYTES + 1), "iso-8859-1")
        if len(line) > MAX_STATUS_LINE_BYTES:
            raise LineTooLong("status line")
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise BadStatusLine(line)
        version, status, reason = match.groups("")
        return version, int(status), reason


class TargetConnection(HTTPConnection):
    """One connection to a target, and the state that decides on its reuse.

    Attributes
    ----------
    opened_at : Instant
        When it was opened.
    wrote : bool
        Whether any byte of the current request has been written.
    answered_at : Instant or None
        When the last complete answer had arrived; None for a new connection.
    """

    def __init__(self, ip: str, port: int):
        super().__init__(ip, port)
        self.opened_at = Instant(0.0)
        self.wrote = False
        self.answered_at = None
        self._recent_requests = deque(maxlen=MAX_REMEMBERED_REQUESTS)
        self._carried_count = 0
        self._recv_buffer: _ConnectionBuffer | None = None
        self._closing_sock: socket.socket | None = None
        self.response_class = self._make_response

    def _new_conn(self):
        """Return a connected socket; the library calls this."""
        return _open_socket(self.host, self.port, self.timeout)

    def connect(self):
        """Open the connection and create the receive buffer for all its answers."""
        super().connect()
        self._recv_buffer = _ConnectionBuffer(self.sock)

    def close(self):
        """Close the connection, but let the last answer still be read from it.

        The library also calls this when the target announces that it will close the
        connection.
        """
        sock, self.sock = self.sock, None
        self._closing_sock = sock or self._closing_sock
        super().close()

    def drop(self) -> None:
        """Close the connection and discard all bytes received on it."""
        self.close()
        if self._recv_buffer is not None:
            self._recv_buffer.close()
        if self._closing_sock is not None:
            self._closing_sock.close()
            self._closing_sock = None

    def expect_next_answer(self) -> None:
        """Prepare to read another answer after skipping one to an earlier request."""
        self._HTTPConnection__state = "Request-sent"
        self._response_options = self._last_options

    def _make_response(self, sock, *args, **kwargs):
        return _StrictResponse(self._recv_buffer, *args, **kwargs)

    def getresponse(self):
        """Return the next answer; see `HTTPConnection.getresponse`."""
        self._last_options = self._response_options
        return super().getresponse()

    def send(self, data):
        """Send all of `data`, and set `wrote` once the first byte is written."""
        written_count = self.sock.send(data)
        self.wrote = True
        if written_count < len(data):
            self.sock.sendall(memoryview(data)[written_count:])

    def start_request(self, request_id: RequestId) -> None:
        """Record the id of the request that is about to be sent."""
        self.wrote = False
        self._recent_requests.append(request_id)
        self._carried_count += 1
        self.allow_bytes(MAX_HEAD_BYTES)

    def allow_bytes(self, count: int) -> None:
        """Allow the peer to send `count` bytes until the next call of this method."""
        if self._recv_buffer is not None:
            self._recv_buffer.allow(count)

    def has_carried(self, request_id: RequestId) -> bool:
        """Return whether the request was sent on this connection recently.

        A late second answer to it could then still arrive.
        """
        return request_id in self._recent_requests

    def may_have_carried(self, request_id: RequestId, repeated: bool) -> bool:
        """Return whether the request may have been sent on this connection.

        Parameters
        ----------
        repeated : bool
            Whether it was sent on any connection to the target before.
        """
        forgot_some = self._carried_count > MAX_REMEMBERED_REQUESTS
        return self.has_carried(request_id) or (repeated and forgot_some)

    def check_not_closed_within(self, timeout_s: float) -> None:
        """Raise `TargetFull` if the target closes this unused connection in time.

        The connection is then dropped, also if the wait is interrupted.
        """
        try:
            with contextlib.suppress(TimeoutError):
                hubs.trampoline(
                    self.sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
                )
            if not self.is_reusable():
                raise TargetFull("the target reset the new connection")
        except BaseException:
            self.drop()
            raise

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        sock = self.sock
        if sock is None or self._recv_buffer.has_bytes():
            return False
        # The green socket would suspend the task; the raw one returns at once.
        raw_sock = sock.fd if isinstance(sock, greenio.GreenSocket) else sock
        try:
            raw_sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def _open_socket(ip, port, timeout_s):
    """Return a socket that is connected within a timeout, or raise `OSError`.

    A timeout that fires late says nothing: the event hub fires timers before it looks
    at the sockets, so the connection may have been accepted in time.
    """
    sock = green_socket.socket()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout_s)
        try:
            sock.connect((ip, port))
        except TimeoutError:
            _check_connected(sock.fd)
    except BaseException:
        sock.close()
        raise
    return sock


def _check_connected(raw_sock):
    """Raise `OSError` unless a socket is connected."""
    error = raw_sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    try:
        raw_sock.getpeername()
    except OSError as exc:
        raise TimeoutError("the connection was not accepted in time") from exc


def connect(ip: str, port: int, timeout_s: float) -> TargetConnection:
    """Open a connection to a target.

    Raises
    ------
    TargetRefusedConnection
        The target's host refused the connection: nothing listens on the port.
    TargetFull
        The target has reset the connection.
    TargetUnreachable
        The connection timed out or failed in another way.
    """
    if timeout_s <= 0:
        raise TargetUnreachable("the deadline passed before the connection")
    conn = TargetConnection(ip, port)
    conn.timeout = timeout_s
    try:
        conn.connect()
    except ConnectionRefusedError as exc:
        raise TargetRefusedConnection(str(exc)) from exc
    except RESET_ERRORS as exc:
        raise TargetFull(f"the target reset the new connection: {exc}") from exc
    except (HTTPError, OSError) as exc:
        raise TargetUnreachable(str(exc)) from exc
    conn.timeout = None
    return conn


def can_connect(target: TargetAddress, timeout_s: float) -> bool:
    """Return whether a target accepts a connection within `timeout_s`."""
    try:
        connect(target.ip, target.port, timeout_s).drop()
    except TargetFull:
        return True
    except (TargetRefusedConnection, TargetUnreachable):
        return False
    return True


class TargetPool:
    """The connections of this host to one target.

    Parameters
    ----------
    limit : int
        Maximum number of connections, including idle ones.

    Attributes
    ----------
    back_off : ResetBackOff
        Until when no new connections are opened.
    keeps_idle : bool
        Whether connections are kept for further requests.
    opened, reused : int
        Connections opened so far, and requests sent over kept ones.
    """

    def __init__(
        self, cfg: TargetSettings, target: TargetConfig, limit: int, clock: Clock
    ):
        self._cfg = cfg
        self.target = target
        self._clock = clock
        self._limit = limit
        self._permits = Semaphore(limit)
        self._idle: deque[TargetConnection] = deque()
        self._in_use = 0
        self.back_off = ResetBackOff(clock)
        self.keeps_idle = True
        self.opened = 0
        self.reused = 0

    def resize(self, limit: int) -> None:
        """Change the maximum number of connections."""
        change = limit - self._limit
        self._limit = limit
        if change < 0:
            self._permits.counter += change
        for _ in range(change):
            self._permits.release()

    def acquire(
        self,
        request_id: RequestId,
        deadline: Instant,
        require_recent: bool,
        repeated: bool = False,
    ) -> TargetConnection:
        """Return a connection for one request.

        Parameters
        ----------
        require_recent : bool
            Whether the connection must be new or have answered within
            `proved_alive_s`.
        repeated : bool
            Whether the request was sent to the target before; the connection must not
            have carried it then.
        """
        self._acquire_permit(deadline)
        self._in_use += 1
        try:
            conn = self._find_reusable(request_id, require_recent, repeated)
            if conn is None:
                return self._open(deadline, require_recent)
            self.reused += 1
            return conn
        except BaseException:
            self._release_permit()
            raise

    def acquire_new(
        self, deadline: Instant, over_limit: bool = False
    ) -> TargetConnection:
        """Return a newly opened connection.

        Parameters
        ----------
        over_limit : bool
            Whether it may exceed the limit, because it replaces a connection in use
            that may be dead.
        """
        if over_limit:
            self._permits.counter -= 1
        else:
            self._acquire_permit(deadline)
        self._in_use += 1
        try:
            return self._open(deadline)
        except BaseException:
            self._release_permit()
            raise

    def release(self, conn: TargetConnection) -> None:
        """Return a connection to the pool after a complete answer has arrived."""
        if conn.answered_at is None:
            self.back_off.record_answer(conn.opened_at)
        conn.answered_at = self._clock.now()
        if self.keeps_idle:
            self._idle.append(conn)
        else:
            conn.drop()
        self._release_permit()

    def discard(self, conn: TargetConnection) -> None:
        """Close a connection that must not be used again."""
        conn.drop()
        self._release_permit()

    def drop_idle(self, answered_by: Instant | None = None) -> None:
        """Close the idle connections, because one to this target went silent.

        Parameters
        ----------
        answered_by : Instant or None
            Only those that have not answered after this; all of them if None.
        """
        while self._idle and (
            answered_by is None or self._idle[0].answered_at <= answered_by
        ):
            self._idle.popleft().drop()

    def drop_expired(self) -> None:
        """Close the connections that have been idle for longer than `idle_s`."""
        min_answered_at = self._clock.now() - self._cfg.idle_s
        while self._idle and self._idle[0].answered_at < min_answered_at:
            self._idle.popleft().drop()

    @property
    def open_count(self) -> int:
        """Return the number of connections, including idle ones."""
        return self._in_use + len(self._idle)

    def _acquire_permit(self, deadline: Instant) -> None:
        left_s = deadline - self._clock.now()
        if left_s <= 0 or not self._permits.acquire(timeout=left_s):
            raise TargetUnreachable("no connection came free before the deadline")

    def _release_permit(self) -> None:
        self._in_use -= 1
        self._permits.release()

    def _find_reusable(self, request_id, require_recent, repeated):
        max_age_s = self._cfg.proved_alive_s if require_recent else self._cfg.idle_s
        min_answered_at = self._clock.now() - max_age_s
        # The most recently released come first, so all after a stale one are stale.
        for index in range(len(self._idle) - 1, -1, -1):
            conn = self._idle[index]
            if conn.answered_at < min_answered_at:
                return None
            if conn.may_have_carried(request_id, repeated):
                continue
            del self._idle[index]
            if conn.is_reusable():
                return conn
            conn.drop()
        return None

    def _open(self, deadline, waits_for_reset=False):
        """Open a connection, unless the target resets new ones.

        Parameters
        ----------
        waits_for_reset : bool
            Whether to give a target that has reset connections time to reset this one,
            too.  After the first byte nobody could tell whether the request ran.
        """
        self._check_back_off()
        while self._idle and self.open_count > self._limit:
            self._idle.popleft().drop()
        left_s = min(self._cfg.connect_s, deadline - self._clock.now())
        self.opened += 1
        opened_at = self._clock.now()
        try:
            conn = connect(self.target.ip, self.target.port, left_s)
            conn.opened_at = opened_at
            if waits_for_reset and self.back_off.has_begun:
                conn.check_not_closed_within(RESET_WAIT_S)
        except TargetFull as exc:
            self.record_reset()
            raise TargetFull(str(exc), self.back_off.left_s()) from exc
        return conn

    def _check_back_off(self):
        left_s = self.back_off.left_s()
        if left_s > 0.0:
            raise TargetFull("the target has just reset connections", left_s)

    def record_reset(self) -> None:
        """Record that the target has reset a connection, and log a new back-off."""
        was_left_s = self.back_off.left_s()
        self.back_off.record_reset()
        if was_left_s == 0.0:
            log.info(
                "targets: connection reset, no new ones for a while",
                extra={
                    "target": self.target.target_id,
                    "back_off_s": round(self.back_off.left_s(), 3),
                    "connections": self.open_count,
                },
            )


class TargetPools:
    """The connection pools of all targets, by address.

    Parameters
    ----------
    limit_of : callable
        Returns how many of a target's connections are this host's share.

    Attributes
    ----------
    is_unused : callable
        Returns whether a target gets no more requests; connections to it are closed.
    """

    def __init__(
        self,
        cfg: TargetSettings,
        clock: Clock,
        limit_of: Callable[[TargetConfig], int],
    ):
        self.cfg = cfg
        self._clock = clock
        self._limit_of = limit_of
        self._pools: dict[tuple[str, int], TargetPool] = {}
        self.is_unused: Callable[[TargetConfig], bool] = lambda target: False

    def of(self, target: TargetConfig) -> TargetPool:
        """Return the pool of `target`."""
        address = (target.ip, target.port)
        pool = self._pools.get(address)
        if pool is None:
            limit = self._limit_of(target)
            pool = TargetPool(self.cfg, target, limit, self._clock)
            self._pools[address] = pool
        elif pool.target.target_id != target.target_id:
            pool.target = target  # another target listens at the address now
        return pool

    def opened(self) -> int:
        """Return how many connections have been opened so far, also in vain."""
        return sum(pool.opened for pool in self._pools.values())

    def reused(self) -> int:
        """Return how many requests have been sent over kept connections so far."""
        return sum(pool.reused for pool in self._pools.values())

    def backing_off(self) -> int:
        """Return how many targets get no new connections now."""
        pools = self._pools.values()
        return sum(1 for pool in pools if pool.back_off.left_s() > 0.0)

    def run_cleanup(self) -> None:
        """Call `clean_up` periodically; run as a task of the daemon."""
        while True:
            eventlet.sleep(self.cfg.tidy_s)
            self.clean_up()

    def close_unused(self) -> None:
        """Close the kept connections to targets that get no more requests."""
        for pool in tuple(self._pools.values()):
            pool.keeps_idle = not self.is_unused(pool.target)
            if not pool.keeps_idle:
                pool.drop_idle()

    def clean_up(self) -> None:
        """Close connections idle for too long, and apply the current limits."""
        for pool in tuple(self._pools.values()):
            pool.resize(self._limit_of(pool.target))
            pool.drop_expired()
        self.close_unused()
