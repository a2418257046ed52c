"""Detects callers that close their connection while their request is in flight."""

import array
import fcntl
import socket
import termios

import eventlet
from eventlet import greenio, hubs
from eventlet.event import Event
from greenlet import getcurrent

from persimmonspoke.errors import CallerGone
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.clock import Clock

_ENDED_STATES = frozenset((6, 7, 8, 9, 11))
"""Values of ``tcpi_state`` after the other end has closed or reset the connection.

TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING of Linux (``net/tcp_states.h``).
"""


class WatchedRequest:
    """One request in flight: the caller's socket and the task that serves it.

    Attributes
    ----------
    ended : bool
        Whether the request has ended, so that its task must not be interrupted.
    """

    __slots__ = ("ended", "started_at", "sock", "task")

    def __init__(self, sock, started_at):
        self.sock = sock
        self.started_at = started_at
        self.task = getcurrent()
        self.ended = False


class CallerWatch:
    """Raises `CallerGone` in the task of a request when its caller disconnects.

    One task polls all sockets.  Registering each socket with the event hub would cost
    every request two system calls, and few requests last long enough to be polled.
    """

    def __init__(self, cfg: CallerSettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self._watched: dict[WatchedRequest, None] = {}
        self._arrival = Event()

    def add(self, sock) -> WatchedRequest | None:
        """Watch the caller of the current task's request.

        Return None if the request has no socket.
        """
        if sock is None:
            return None
        watched = WatchedRequest(sock, self._clock.now())
        self._watched[watched] = None
        if len(self._watched) == 1 and not self._arrival.ready():
            self._arrival.send()
        return watched

    def check_request(self, watched: WatchedRequest | None) -> None:
        """Raise `CallerGone` if the caller has already closed the connection."""
        if watched is not None and is_closed_by_peer(watched.sock):
            raise CallerGone("the caller left before its request was read")

    def remove(self, watched: WatchedRequest | None) -> None:
        """Stop watching a request; None is ignored."""
        if watched is not None:
            watched.ended = True
            self._watched.pop(watched, None)

    def run(self) -> None:
        """Poll the callers' sockets forever; run as a task of the daemon."""
        while True:
            if not self._watched:
                self._arrival = Event()
                self._arrival.wait()
            eventlet.sleep(self._cfg.gone_check_s)
            self.check()

    def check(self) -> None:
        """Poll once the sockets of requests older than `gone_check_s`."""
        newest_start = self._clock.now() - self._cfg.gone_check_s
        for watched in tuple(self._watched):
            # The requests are in order of arrival, so all later ones are newer.
            if watched.started_at > newest_start:
                break
            if is_closed_by_peer(watched.sock):
                hub = hubs.get_hub()
                hub.schedule_call_global(0, self._interrupt, watched)

    def _interrupt(self, watched):
        # The task may have finished this request and started another meanwhile.
        if not watched.ended:
            self.remove(watched)
            watched.task.throw(CallerGone("the caller closed its connection"))


def is_closed_by_peer(sock) -> bool:
    """Return whether the other end of `sock` has closed or reset the connection.

    An end that arrived behind bytes which are still unread counts as well.
    """
    try:
        first_byte = _peek(sock)
    except BlockingIOError:
        return False
    except OSError:
        return True
    # The peek does not see past unread bytes, for example of a pipelined request.
    return first_byte == b"" or _has_received_end(sock)


def has_nothing_to_read(sock) -> bool:
    """Return whether no byte, end or error has arrived on `sock`."""
    try:
        _peek(sock)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def unread_bytes(sock) -> int:
    """Return how many bytes have arrived on `sock` and have not been read."""
    count = array.array("i", [0])
    fcntl.ioctl(_raw(sock).fileno(), termios.FIONREAD, count)
    return count[0]


def _peek(sock):
    return _raw(sock).recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def _has_received_end(sock):
    """Return whether the kernel has received an end or a reset of the connection."""
    try:
        info = _raw(sock).getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        # Not a TCP socket; the peek sees its end once the bytes have been read.
        return False
    return info[0] in _ENDED_STATES


def _raw(sock):
    return sock.fd if isinstance(sock, greenio.GreenSocket) else sock
