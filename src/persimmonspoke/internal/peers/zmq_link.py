"""The link between daemons over ZeroMQ.

Each daemon binds one ROUTER socket and opens one DEALER socket to each peer that it
calls.  A message is four frames: the number of the call, the host id of the run that
it is meant for, a kind, and the body.  The host id keeps a message that waited in a
socket from being taken by a later run at the same address.
"""

import itertools
import logging
from collections.abc import Callable
from enum import Enum
from typing import Any

import eventlet
import eventlet.event
import eventlet.green.socket
import zmq
from eventlet import hubs

from persimmonspoke.errors import (
    MalformedMessage,
    PeerRefused,
    PeerTimeout,
    PersimmonspokeError,
)
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.peers.api import Liveness, PeerAddress
from persimmonspoke.internal.peers.codec import decode, encode

FRAMES_PER_MESSAGE = 4
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

log = logging.getLogger(__name__)


class _Kind(Enum):
    """What the body of a message is."""

    CALL = b"c"
    POST = b"p"
    HELLO = b"h"
    ANSWER = b"a"
    REFUSAL = b"r"


class ZmqLink:
    """Calls to and from other daemons.

    Implements `persimmonspoke.internal.peers.api.PeerLink`.

    Parameters
    ----------
    me : PeerAddress
        Where to listen; port 0 lets the kernel choose one.

    Attributes
    ----------
    address : PeerAddress
        Where this daemon listens.
    bytes_sent, bytes_received : int
        Size of all message bodies so far.
    """

    def __init__(self, me: PeerAddress, clock: Clock):
        self._clock = clock
        self._context = zmq.Context()
        self._listener = self._context.socket(zmq.ROUTER)
        self._configure(self._listener)
        port = _bind(self._listener, me)
        self.address = PeerAddress(me.host_id, me.ip, port)
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._connections: dict[tuple[str, int], _Connection] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self._mailbox = _Mailbox(self._listener, self._accept)

    def serve(self, kind: type, handler: Callable[[Any], Any]) -> None:
        """Answer messages of type `kind` by `handler`, one task a message."""
        self._handlers[kind] = handler

    def call(self, peer: PeerAddress, message: Any, deadline: Instant) -> Any:
        """Send `message` and return the answer, or raise `PeerError`."""
        body = encode(message)
        kind, answer = self._exchange(peer, _Kind.CALL, body, deadline)
        if kind is _Kind.REFUSAL:
            raise PeerRefused(f"{peer.host_id} refused: {answer.decode()}")
        return decode(answer)

    def post(self, peer: PeerAddress, message: Any) -> None:
        """Send `message` without an answer; it may be lost."""
        body = encode(message)
        self.bytes_sent += len(body)
        me = peer.host_id.encode()
        self._connection(peer).mailbox.send([b"", me, _Kind.POST.value, body])

    def probe(self, peer: PeerAddress, deadline: Instant) -> Liveness:
        """Find out whether that run of the peer can still be alive."""
        left = max(0.001, deadline - self._clock.now())
        try:
            eventlet.green.socket.create_connection((peer.ip, peer.port), left).close()
        except ConnectionRefusedError:
            return Liveness.DEAD
        except OSError:
            return Liveness.SILENT
        try:
            _, host_id = self._exchange(peer, _Kind.HELLO, b"", deadline)
        except PeerTimeout:
            return Liveness.SILENT
        return Liveness.ANSWERS if host_id.decode() == peer.host_id else Liveness.DEAD

    def close(self) -> None:
        """Stop listening and drop all connections."""
        for conn in self._connections.values():
            conn.mailbox.close()
        self._mailbox.close()
        self._context.term()

    def _exchange(self, peer, kind, body, deadline):
        """Send one message and return the answer's kind and body."""
        conn = self._connection(peer)
        self.bytes_sent += len(body)
        sent_at = self._clock.now()
        try:
            kind, answer = conn.exchange(peer.host_id, kind, body, deadline - sent_at)
        except PeerTimeout:
            if conn.answered_at < sent_at:
                self._drop(peer, conn)
            raise
        self.bytes_received += len(answer)
        return kind, answer

    def _drop(self, peer, conn):
        """Have the next call open a new connection: this one may be silent for good."""
        where = (peer.ip, peer.port)
        if self._connections.get(where) is conn:
            del self._connections[where]
        conn.mailbox.close()

    def _connection(self, peer):
        """Return the connection to the peer's address, opened on first use."""
        where = (peer.ip, peer.port)
        if where not in self._connections:
            sock = self._context.socket(zmq.DEALER)
            self._configure(sock)
            sock.connect(f"tcp://{peer.ip}:{peer.port}")
            self._connections[where] = _Connection(sock, self._clock)
        return self._connections[where]

    def _configure(self, sock):
        """Set the options that all sockets share."""
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)

    def _accept(self, frames):
        """Answer one message, in a task of its own."""
        if len(frames) != 1 + FRAMES_PER_MESSAGE:
            log.warning("link: a message has the wrong number of frames")
        elif frames[3] == _Kind.POST.value:
            self._take(*frames[2:])
        else:
            eventlet.spawn_n(self._answer, *frames)

    def _take(self, meant_for, kind, body):
        """Hand a message without an answer to its handler, which must not wait."""
        self.bytes_received += len(body)
        if meant_for == self.address.host_id.encode():
            self._handle(body)

    def _answer(self, sender, number, meant_for, kind, body):
        """Answer one message; one for another run gets only a hello's answer."""
        self.bytes_received += len(body)
        me = self.address.host_id.encode()
        if kind == _Kind.HELLO.value:
            frames = [sender, number, me, _Kind.ANSWER.value, me]
        elif meant_for != me or kind != _Kind.CALL.value:
            return
        else:
            frames = [sender, number, me, *self._handle(body)]
        self.bytes_sent += len(frames[-1])
        self._mailbox.send(frames)

    def _handle(self, body):
        """Run the handler; return the answer's kind and body."""
        try:
            msg = decode(body)
            handler = self._handlers.get(type(msg))
            if handler is None:
                raise MalformedMessage(f"no handler for {type(msg).__name__}")
            answer = handler(msg)
            return _Kind.ANSWER.value, b"" if answer is None else encode(answer)
        except PersimmonspokeError as exc:
            return _Kind.REFUSAL.value, f"{type(exc).__name__}: {exc}".encode()
        except Exception:
            log.exception("link: a handler failed")
            return _Kind.REFUSAL.value, b"internal failure"


class _Mailbox:
    """One socket, and the task that takes in what arrives on it.

    The library signals news on its descriptor once only, also to a task that sends;
    so all that has arrived is taken in after each send, too.
    """

    def __init__(self, sock, take):
        self._sock = sock
        self._take = take
        self._reader = eventlet.spawn(self._read)

    def send(self, frames) -> None:
        """Send one message; it is dropped if the peer has not read many."""
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            log.debug("link: message dropped", extra={"reason": str(exc)})
        self._drain()

    def close(self) -> None:
        """Drop the socket and what has not been sent."""
        self._reader.kill()
        self._sock.close(linger=0)

    def _read(self):
        while True:
            self._drain()
            hubs.trampoline(self._sock.FD, read=True)

    def _drain(self):
        while not self._sock.closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                # Nothing more has arrived, or the peer's host can't be reached.
                return
            self._take(frames)


class _Connection:
    """One DEALER socket and its calls in flight.

    Attributes
    ----------
    answered_at : Instant
        When the last answer arrived.
    """

    def __init__(self, sock, clock):
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[bytes, eventlet.event.Event] = {}
        self.answered_at = Instant(float("-inf"))
        self.mailbox = _Mailbox(sock, self._take)

    def exchange(self, host_id: HostId, kind: _Kind, body: bytes, left_s: float):
        """Send one message; return the answer's kind and body."""
        number = str(next(self._numbers)).encode()
        self._waiting[number] = answered = eventlet.event.Event()
        try:
            with eventlet.Timeout(max(0.0, left_s), PeerTimeout(host_id)):
                self.mailbox.send([number, host_id.encode(), kind.value, body])
                return answered.wait()
        finally:
            del self._waiting[number]

    def _take(self, frames):
        """Hand an answer to the call that waits for it."""
        if len(frames) != FRAMES_PER_MESSAGE:
            log.warning("link: an answer has the wrong number of frames")
            return
        number, _, kind, body = frames
        self.answered_at = self._clock.now()
        answered = self._waiting.get(number)
        if answered is not None and not answered.ready():
            answered.send((_Kind(kind), body))


def _bind(listener, me):
    """Bind the listening socket; return the port."""
    try:
        if me.port:
            listener.bind(f"tcp://{me.ip}:{me.port}")
            return me.port
        return listener.bind_to_random_port(f"tcp://{me.ip}")
    except zmq.ZMQError as exc:
        raise OSError(exc.errno, f"{me.ip}:{me.port}: {exc}") from exc
