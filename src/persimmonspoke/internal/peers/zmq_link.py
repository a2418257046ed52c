"""The link between daemons over ZeroMQ.

Each daemon binds one ROUTER socket and opens one DEALER socket to each peer that it
calls.  A message has four frames: the number of the call, the host id of the
receiving run, a kind, and the body.  The host id prevents a message that was queued
in a socket from being processed by a later run at the same address.  The number is the
caller's alone, and ends with `TOLERANT_MARK` since `Revision.TOLERANT`.
"""

import itertools
import logging
import time
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
from persimmonspoke.internal.peers.codec import (
    decode,
    decode_with_revision,
    earlier_revision,
    encode,
)
from persimmonspoke.internal.peers.revisions import LAST_STRICT, NEWEST, PeerRevisions

FRAMES_PER_MESSAGE = 4
TOLERANT_MARK = b"+"
MAX_LOGGED = 100  # reasons for which one-way messages were refused
MAX_TURN_S = 0.02  # of messages, before other tasks run
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

log = logging.getLogger(__name__)


class _Kind(Enum):
    """The kind of a message, which determines the meaning of its body."""

    CALL = b"c"
    POST = b"p"
    HELLO = b"h"
    ANSWER = b"a"
    REFUSAL = b"r"


_ANSWER_KINDS = frozenset({_Kind.ANSWER.value, _Kind.REFUSAL.value})


class ZmqLink:
    """Calls to and from other daemons.

    Implements `persimmonspoke.internal.peers.api.PeerLink`.

    Parameters
    ----------
    me : PeerAddress
        Address to listen on; with port 0 the kernel chooses a port.

    Attributes
    ----------
    address : PeerAddress
        Address on which this daemon listens.
    bytes_sent, bytes_received : int
        Total size of all message bodies so far.
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
        self._revisions = PeerRevisions(encode, earlier_revision)
        self._logged: set[str] = set()
        self._dropped: list[_Connection] = []
        self.bytes_sent = 0
        self.bytes_received = 0
        self._message_socket = _MessageSocket(self._listener, self._receive)

    def serve(self, kind: type, handler: Callable[[Any], Any]) -> None:
        """Answer messages of type `kind` with `handler`, each in its own task."""
        self._handlers[kind] = handler

    def call(self, peer: PeerAddress, message: Any, deadline: Instant) -> Any:
        """Send `message` and return the answer, or raise `PeerError`."""

        def send(body):
            kind, answer = self._exchange(peer, _Kind.CALL, body, deadline)
            if kind is _Kind.REFUSAL:
                raise PeerRefused(
                    f"{peer.host_id} refused: {answer.decode(errors='replace')}"
                )
            return answer

        return decode(self._revisions.call(peer.host_id, message, send))

    def post(self, peer: PeerAddress, message: Any) -> None:
        """Send `message` without an answer; it may be lost."""
        body = self._revisions.encode_for(peer.host_id, message)
        self.bytes_sent += len(body)
        receiver = peer.host_id.encode()
        self._connection(peer).message_socket.send(
            [b"", receiver, _Kind.POST.value, body]
        )

    def probe(self, peer: PeerAddress, deadline: Instant) -> Liveness:
        """Return whether the run that `peer` names can still be alive."""
        left_s = max(0.001, deadline - self._clock.now())
        try:
            eventlet.green.socket.create_connection(
                (peer.ip, peer.port), left_s
            ).close()
        except ConnectionRefusedError:
            return Liveness.DEAD
        except OSError:
            return Liveness.SILENT
        try:
            _, host_id = self._exchange(peer, _Kind.HELLO, b"", deadline)
        except PeerTimeout:
            return Liveness.SILENT
        same_run = host_id == peer.host_id.encode()
        return Liveness.ANSWERS if same_run else Liveness.DEAD

    def close(self) -> None:
        """Stop listening and close all connections."""
        for conn in (*self._connections.values(), *self._dropped):
            conn.message_socket.close()
        self._message_socket.close()
        self._context.term()

    def _exchange(self, peer, kind, body, deadline):
        """Send one message; return the kind and body of its answer."""
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
        """Use no longer a connection that may never respond again.

        The next call to the peer opens a new one.  The old one is closed once no call
        waits for an answer that may be on its way there.
        """
        endpoint = (peer.ip, peer.port)
        if self._connections.get(endpoint) is conn:
            del self._connections[endpoint]
        conn.close_when_idle()
        dropped = (*self._dropped, conn)
        self._dropped = [c for c in dropped if not c.message_socket.is_closed]

    def _connection(self, peer):
        """Return the connection to the peer's address; open it on first use."""
        endpoint = (peer.ip, peer.port)
        if endpoint not in self._connections:
            sock = self._context.socket(zmq.DEALER)
            self._configure(sock)
            sock.connect(f"tcp://{peer.ip}:{peer.port}")
            self._connections[endpoint] = _Connection(sock, self._clock)
        return self._connections[endpoint]

    def _configure(self, sock):
        """Set the options common to all sockets."""
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)

    def _receive(self, frames):
        """Process a one-way message, or start a task that answers a call."""
        if len(frames) != 1 + FRAMES_PER_MESSAGE:
            log.warning("link: a message has the wrong number of frames")
        elif frames[3] == _Kind.POST.value:
            self._deliver(*frames[2:])
        else:
            eventlet.spawn_n(self._answer, *frames)

    def _deliver(self, receiver, kind, body):
        """Pass a one-way message to its handler, which must not block."""
        self.bytes_received += len(body)
        if receiver != self.address.host_id.encode():
            return
        kind, reason = self._handle(body)
        if kind == _Kind.REFUSAL.value:
            self._log_refused(reason.decode())

    def _log_refused(self, reason):
        """Log why a one-way message was refused, once for each reason."""
        if reason not in self._logged and len(self._logged) < MAX_LOGGED:
            self._logged.add(reason)
            log.info("link: one-way message refused", extra={"reason": reason})

    def _answer(self, sender, number, receiver, kind, body):
        """Answer a hello or a call.

        A hello is answered whichever run it is for.  A call for another run is
        ignored.
        """
        self.bytes_received += len(body)
        me = self.address.host_id.encode()
        if kind == _Kind.HELLO.value:
            frames = [sender, number, me, _Kind.ANSWER.value, me]
        elif receiver != me or kind != _Kind.CALL.value:
            return
        else:
            is_tolerant = number.endswith(TOLERANT_MARK)
            frames = [sender, number, me, *self._handle(body, is_tolerant)]
        self.bytes_sent += len(frames[-1])
        self._message_socket.send(frames)

    def _handle(self, body, is_tolerant=True):
        """Run the message's handler; return the kind and body of the answer.

        With `is_tolerant` the caller reads the newest layout of the answer.
        """
        try:
            msg, revision = decode_with_revision(body)
            handler = self._handlers.get(type(msg))
            if handler is None:
                raise MalformedMessage(f"no handler for {type(msg).__name__}")
            answer = handler(msg)
            revision = NEWEST if is_tolerant else min(revision, LAST_STRICT)
            data = b"" if answer is None else encode(answer, revision)
            return _Kind.ANSWER.value, data
        except PersimmonspokeError as exc:
            return _Kind.REFUSAL.value, f"{type(exc).__name__}: {exc}".encode()
        except Exception:
            log.exception("link: a handler failed")
            return _Kind.REFUSAL.value, b"internal failure"


class _MessageSocket:
    """One socket, and the task that receives its messages.

    The socket's file descriptor is edge-triggered, and a send can consume the event
    for a message that has arrived.  So received messages are also processed after each
    send.  Messages that arrive without a break are processed in turns of `MAX_TURN_S`,
    between which other tasks run.
    """

    def __init__(self, sock, on_message):
        self._sock = sock
        self._deliver = on_message
        self._is_draining = False
        self._reader = eventlet.spawn(self._read)

    def send(self, frames) -> None:
        """Send one message; drop it if the socket's send queue is full."""
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            log.debug("link: message dropped", extra={"reason": str(exc)})
        if not (self.drain() or self._is_draining):
            self._is_draining = True
            eventlet.spawn_n(self._drain_rest)

    @property
    def is_closed(self) -> bool:
        """Whether the socket has been closed."""
        return self._sock.closed

    def close(self) -> None:
        """Close the socket and discard messages that have not been sent."""
        self._reader.kill()
        self._sock.close(linger=0)

    def _read(self):
        while True:
            while not self.drain():
                eventlet.sleep(0)
            hubs.trampoline(self._sock.FD, read=True)

    def _drain_rest(self):
        try:
            while not self.drain():
                eventlet.sleep(0)
        finally:
            self._is_draining = False

    def drain(self) -> bool:
        """Process messages that have arrived; return whether none is left."""
        ends_at = time.monotonic() + MAX_TURN_S
        while not self._sock.closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                # No more messages have arrived, or the peer's host is unreachable.
                return True
            self._deliver(frames)
            if time.monotonic() >= ends_at:
                return False
        return True


class _Connection:
    """One DEALER socket and the calls in flight on it.

    Attributes
    ----------
    answered_at : Instant
        When the last answer arrived.
    """

    def __init__(self, sock, clock):
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending_calls: dict[bytes, eventlet.event.Event] = {}
        self.answered_at = Instant(float("-inf"))
        self._is_dropped = False
        self.message_socket = _MessageSocket(sock, self._deliver)

    def exchange(self, host_id: HostId, kind: _Kind, body: bytes, left_s: float):
        """Send one message; return the kind and body of its answer."""
        number = str(next(self._numbers)).encode() + TOLERANT_MARK
        self._pending_calls[number] = answer_event = eventlet.event.Event()
        try:
            with eventlet.Timeout(max(0.0, left_s), PeerTimeout(host_id)):
                self.message_socket.send([number, host_id.encode(), kind.value, body])
                return answer_event.wait()
        except PeerTimeout:
            # The event hub fires timers before it looks at the sockets.
            while not self.message_socket.drain():
                pass  # the answer may be among what is left
            if not answer_event.ready():
                raise
            return answer_event.wait()
        finally:
            del self._pending_calls[number]
            if self._is_dropped:
                self.close_when_idle()

    def close_when_idle(self) -> None:
        """Close the connection once no call waits for an answer on it."""
        self._is_dropped = True
        if not self._pending_calls:
            self.message_socket.close()

    def _deliver(self, frames):
        """Pass an answer to the call that waits for it."""
        if len(frames) != FRAMES_PER_MESSAGE:
            log.warning("link: an answer has the wrong number of frames")
            return
        number, _, kind, body = frames
        if kind not in _ANSWER_KINDS:
            log.warning("link: an answer has an unknown kind", extra={"kind": kind})
            return
        self.answered_at = self._clock.now()
        answer_event = self._pending_calls.get(number)
        if answer_event is not None and not answer_event.ready():
            answer_event.send((_Kind(kind), body))


def _bind(listener, me):
    """Bind the listening socket; return the port."""
    try:
        if me.port:
            listener.bind(f"tcp://{me.ip}:{me.port}")
            return me.port
        return listener.bind_to_random_port(f"tcp://{me.ip}")
    except zmq.ZMQError as exc:
        raise OSError(exc.errno, f"{me.ip}:{me.port}: {exc}") from exc
