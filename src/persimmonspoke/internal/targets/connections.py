"""Connections to targets: which may be reused, for what, and how many there are.

A connection can go silent for good while new ones work.  So a protected request
gets a connection that is new or has answered just now, a connection that timed out
is never used again, and its idle sisters are dropped with it.
"""

import io
import socket
from collections import deque
from collections.abc import Callable
from http.client import HTTPResponse as RawResponse

import eventlet
from eventlet import greenio, hubs
from eventlet.semaphore import Semaphore
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError

from persimmonspoke.errors import TargetRefusedConnection, TargetUnreachable
from persimmonspoke.ids import Instant, RequestId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.settings import TargetSettings

REMEMBERED_REQUESTS = 8
"""How many of its last requests a connection remembers."""


class _Source(io.RawIOBase):
    """The bytes of a socket; can be told not to wait for any.

    It reads the plain socket, because the green one takes a reset for an orderly
    end, and an answer without a length would then look whole.
    """

    def __init__(self, sock):
        super().__init__()
        self._sock = sock
        self._plain = sock.fd if isinstance(sock, greenio.GreenSocket) else sock
        self.waits = True

    def readable(self):
        return True

    def readinto(self, buffer):
        while self.waits:
            try:
                return self._plain.recv_into(buffer)
            except BlockingIOError:
                hubs.trampoline(
                    self._plain,
                    read=True,
                    timeout=self._sock.gettimeout(),
                    timeout_exc=TimeoutError,
                )
        return None


class _Reader:
    """A connection's buffered bytes, lent to one answer at a time.

    The library would give each answer a buffer of its own, and drop with it what
    arrived behind the answer.
    """

    def __init__(self, sock):
        self._source = _Source(sock)
        self.buffer = io.BufferedReader(self._source)

    def has_bytes(self) -> bool:
        """Return whether something was read from the socket and not used."""
        if self.buffer.closed:
            return False
        self._source.waits = False
        try:
            return bool(self.buffer.peek(1))
        finally:
            self._source.waits = True

    def makefile(self, mode) -> "_Loan":
        """Lend the buffer to one answer; the library asks a socket for a file."""
        return _Loan(self.buffer)

    def close(self) -> None:
        """Drop all bytes."""
        self.buffer.close()


class _Loan:
    """A file whose closing leaves the connection's buffer open."""

    def __init__(self, buffer):
        self._buffer = buffer

    def __getattr__(self, name):
        return getattr(self._buffer, name)

    def close(self):
        """Do nothing: the connection owns the buffer."""


class TargetConnection(HTTPConnection):
    """One connection to a target, and what is known of its health.

    Attributes
    ----------
    wrote : bool
        Whether any byte of the present request has left this process.
    answered_at : Instant or None
        When the last whole answer had arrived; None for a new connection.
    """

    def __init__(self, ip: str, port: int):
        super().__init__(ip, port)
        self.wrote = False
        self.answered_at = None
        self._carried = deque(maxlen=REMEMBERED_REQUESTS)
        self._reader: _Reader | None = None
        self._unread: socket.socket | None = None
        self.response_class = self._make_response

    def connect(self):
        """Open the connection, and the one buffer for all its answers."""
        super().connect()
        self._reader = _Reader(self.sock)

    def close(self):
        """Close the connection, but leave a last answer to be read from it.

        The library calls this when the target will close the connection, too.
        """
        sock, self.sock = self.sock, None
        self._unread = sock or self._unread
        super().close()

    def drop(self) -> None:
        """Close the connection and forget what arrived on it."""
        self.close()
        if self._reader is not None:
            self._reader.close()
        if self._unread is not None:
            self._unread.close()
            self._unread = None

    def expect_another(self) -> None:
        """Make ready to read one more answer, after one to an earlier request."""
        self._HTTPConnection__state = "Request-sent"
        self._response_options = self._last_options

    def _make_response(self, sock, *args, **kwargs):
        return RawResponse(self._reader, *args, **kwargs)

    def getresponse(self):
        """Return the next answer; see the library."""
        self._last_options = self._response_options
        return super().getresponse()

    def send(self, data):
        """Send `data` whole, and take note of the first byte that goes out."""
        sent = self.sock.send(data)
        self.wrote = True
        if sent < len(data):
            self.sock.sendall(memoryview(data)[sent:])

    def begin(self, request_id: RequestId) -> None:
        """Take note of the request that comes next."""
        self.wrote = False
        self._carried.append(request_id)

    def carried(self, request_id: RequestId) -> bool:
        """Return whether a late second answer to `request_id` could still come."""
        return request_id in self._carried

    def quiet(self) -> bool:
        """Return whether the connection is open and nothing waits to be read."""
        sock = self.sock
        if sock is None or self._reader.has_bytes():
            return False
        # The green socket would suspend the task; the plain one answers at once.
        plain = sock.fd if isinstance(sock, greenio.GreenSocket) else sock
        try:
            plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def connect(ip: str, port: int, timeout_s: float) -> TargetConnection:
    """Open a connection to a target.

    Raises
    ------
    TargetRefusedConnection
        Nothing listens there, although the target's host answers.
    TargetUnreachable
        No connection came about in time, or for another reason.
    """
    if timeout_s <= 0:
        raise TargetUnreachable("the deadline passed before the connection")
    conn = TargetConnection(ip, port)
    conn.timeout = timeout_s
    try:
        conn.connect()
    except NewConnectionError as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            raise TargetRefusedConnection(str(exc)) from exc
        raise TargetUnreachable(str(exc)) from exc
    except (HTTPError, OSError) as exc:
        raise TargetUnreachable(str(exc)) from exc
    conn.timeout = None
    return conn


class TargetPool:
    """The connections of this host to one target.

    Parameters
    ----------
    limit : int
        Largest number of connections, idle ones included.
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

    def resize(self, limit: int) -> None:
        """Change the largest number of connections."""
        change = limit - self._limit
        self._limit = limit
        if change < 0:
            self._permits.counter += change
        for _ in range(change):
            self._permits.release()

    def acquire(
        self, request_id: RequestId, deadline: Instant, proved: bool
    ) -> TargetConnection:
        """Return a connection for one request.

        Parameters
        ----------
        proved : bool
            Whether it must be new or have answered just now.
        """
        self._take_permit(deadline)
        self._in_use += 1
        try:
            conn = self._reusable(request_id, proved)
            return self._open(deadline) if conn is None else conn
        except BaseException:
            self._give_permit()
            raise

    def acquire_new(self, deadline: Instant) -> TargetConnection:
        """Return a connection that has carried nothing yet."""
        self._take_permit(deadline)
        self._in_use += 1
        try:
            return self._open(deadline)
        except BaseException:
            self._give_permit()
            raise

    def release(self, conn: TargetConnection) -> None:
        """Take back a connection on which a whole answer has just arrived."""
        conn.answered_at = self._clock.now()
        self._idle.append(conn)
        self._give_permit()

    def discard(self, conn: TargetConnection) -> None:
        """Close a connection that must not be used again."""
        conn.drop()
        self._give_permit()

    def drop_idle(self) -> None:
        """Close all idle connections, since one of their kind went silent."""
        while self._idle:
            self._idle.pop().drop()

    def drop_old(self) -> None:
        """Close the connections that were idle for too long."""
        oldest = self._clock.now() - self._cfg.idle_s
        while self._idle and self._idle[0].answered_at < oldest:
            self._idle.popleft().drop()

    @property
    def open_count(self) -> int:
        """Return the number of connections, idle ones included."""
        return self._in_use + len(self._idle)

    def _take_permit(self, deadline: Instant) -> None:
        left_s = deadline - self._clock.now()
        if left_s <= 0 or not self._permits.acquire(timeout=left_s):
            raise TargetUnreachable("no connection came free before the deadline")

    def _give_permit(self) -> None:
        self._in_use -= 1
        self._permits.release()

    def _reusable(self, request_id, proved):
        age_s = self._cfg.proved_alive_s if proved else self._cfg.idle_s
        oldest = self._clock.now() - age_s
        # The last to be released comes first, so all that follow are older still.
        for index in range(len(self._idle) - 1, -1, -1):
            conn = self._idle[index]
            if conn.answered_at < oldest:
                return None
            if conn.carried(request_id):
                continue
            del self._idle[index]
            if conn.quiet():
                return conn
            conn.drop()
        return None

    def _open(self, deadline):
        while self._idle and self.open_count > self._limit:
            self._idle.popleft().drop()
        left_s = min(self._cfg.connect_s, deadline - self._clock.now())
        return connect(self.target.ip, self.target.port, left_s)


class TargetPools:
    """The pools of all targets, by address.

    Parameters
    ----------
    limit_of : callable
        Returns this host's share of a target's connections.
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

    def of(self, target: TargetConfig) -> TargetPool:
        """Return the pool of `target`."""
        address = (target.ip, target.port)
        pool = self._pools.get(address)
        if pool is None:
            limit = self._limit_of(target)
            pool = TargetPool(self.cfg, target, limit, self._clock)
            self._pools[address] = pool
        return pool

    def keep_tidy(self) -> None:
        """Close idle connections and follow the limits; a task of the daemon."""
        while True:
            eventlet.sleep(self.cfg.tidy_s)
            self.tidy()

    def tidy(self) -> None:
        """Close connections idle for too long, and take in the present limits."""
        for pool in tuple(self._pools.values()):
            pool.resize(self._limit_of(pool.target))
            pool.drop_old()
