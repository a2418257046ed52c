"""Finds callers that left while their requests are in hand."""

import socket

import eventlet
from eventlet import greenio, hubs
from greenlet import getcurrent

from persimmonspoke.errors import CallerGone
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.clock import Clock


class Watched:
    """One request in hand: the caller's socket and the task that serves it."""

    __slots__ = ("over", "since", "sock", "task")

    def __init__(self, sock, since):
        self.sock = sock
        self.since = since
        self.task = getcurrent()
        self.over = False


class CallerWatch:
    """Interrupts the task of a request, by `CallerGone`, when its caller has left.

    One task looks at all sockets in turn.  A listener for each would cost each
    request two system calls, and few requests live long enough to be looked at.
    """

    def __init__(self, cfg: CallerSettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self._watched: dict[Watched, None] = {}

    def add(self, sock) -> Watched | None:
        """Watch the caller of the present task's request; None if it has no socket."""
        if sock is None:
            return None
        watched = Watched(sock, self._clock.now())
        self._watched[watched] = None
        return watched

    def check_one(self, watched: Watched | None) -> None:
        """Raise `CallerGone` if the caller has left before its request was read."""
        if watched is not None and has_left(watched.sock):
            raise CallerGone("the caller left before its request was read")

    def remove(self, watched: Watched | None) -> None:
        """Watch it no longer."""
        if watched is not None:
            watched.over = True
            self._watched.pop(watched, None)

    def run(self) -> None:
        """Look for callers that have left, for ever; a task of the daemon."""
        while True:
            eventlet.sleep(self._cfg.gone_check_s)
            self.check()

    def check(self) -> None:
        """Look once at the requests that have been in hand for a while."""
        young = self._clock.now() - self._cfg.gone_check_s
        for watched in tuple(self._watched):
            # They are in the order of their arrival.
            if watched.since > young:
                break
            if has_left(watched.sock):
                hub = hubs.get_hub()
                hub.schedule_call_global(0, self._interrupt, watched)

    def _interrupt(self, watched):
        # The task may have ended this request since, and begun the next one.
        if not watched.over:
            self.remove(watched)
            watched.task.throw(CallerGone("the caller closed its connection"))


def has_left(sock) -> bool:
    """Return whether the other end of `sock` has closed the connection."""
    plain = sock.fd if isinstance(sock, greenio.GreenSocket) else sock
    try:
        return plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
