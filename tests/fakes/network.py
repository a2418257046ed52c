"""A fake network with latency and cuts, and the peer links over it."""

from dataclasses import dataclass, field
from functools import partial

import eventlet
import eventlet.event

from persimmonspoke.errors import (
    MalformedMessage,
    PeerRefused,
    PeerTimeout,
    PersimmonspokeError,
)
from persimmonspoke.internal.peers import codec
from persimmonspoke.internal.peers.api import Liveness, PeerAddress
from persimmonspoke.internal.peers.revisions import (
    LAST_STRICT,
    NEWEST,
    UNREADABLE,
    PeerRevisions,
    Revision,
)
from tests.fakes import virtual_hub
from tests.fakes.process import GateKind

LATENCY_S = 0.0005


class ConnectionRefused(Exception):
    """The machine is up but no process listens."""


class NotSent(Exception):
    """No connection was made before the deadline."""


class AnswerLost(Exception):
    """The message was sent, but no answer arrived before the deadline."""


@dataclass
class FakeNetwork:
    """The connections between machines, with cuts, and the links of processes.

    Attributes
    ----------
    cuts : set of (str, str)
        Pairs of machines such that no packet gets from the first to the second.
    vanished : set of str
        Machines without power, which neither answer nor refuse connections.
    crashes : list of Exception
        Unexpected exceptions raised by handlers; a test that has any fails.
    """

    cuts: set = field(default_factory=set)
    vanished: set = field(default_factory=set)
    links: dict = field(default_factory=dict)
    crashes: list = field(default_factory=list)

    def cut(self, sources, destinations, both=True):
        """Cut all paths from `sources` to `destinations`, and back if `both`."""
        for source in sources:
            for destination in destinations:
                self.cuts.add((source, destination))
                if both:
                    self.cuts.add((destination, source))

    def heal(self):
        """Undo all cuts."""
        self.cuts.clear()

    def reaches(self, source, destination):
        """Return whether a packet sent now arrives."""
        is_vanished = (
            source.machine in self.vanished or destination.machine in self.vanished
        )
        return (
            not is_vanished and (source.machine, destination.machine) not in self.cuts
        )

    def exchange(self, source, destination, work, deadline, kind, connect_s=None):
        """Run `work` in `destination` on behalf of `source` and return its outcome.

        Parameters
        ----------
        work : callable
            Runs in a task of `destination`, once that process is not paused.
        deadline : float
            On the clock of `source`.
        kind : GateKind
            Gate at which `source` may be made to pause.
        connect_s : float, optional
            Timeout of the connection, if it ends before `deadline`.
        """
        source.gate(kind, sending=True)
        ends = source.virtual(deadline)
        if not (
            self.reaches(source, destination) and self.reaches(destination, source)
        ):
            latest = ends if connect_s is None else virtual_hub.now() + connect_s
            _sleep_to(min(ends, latest))
            source.gate(kind)
            raise NotSent
        if destination.killed:
            eventlet.sleep(LATENCY_S)
            source.gate(kind)
            raise ConnectionRefused
        answer = eventlet.event.Event()
        eventlet.spawn_n(self._deliver, source, destination, work, answer, kind)
        outcome = answer.wait(timeout=max(0.0, ends - virtual_hub.now()))
        source.gate(kind)
        if outcome is None:
            raise AnswerLost
        returned, raised = outcome
        if raised is not None:
            raise raised
        return returned

    def _deliver(self, source, destination, work, answer, kind):
        """Deliver one message to its destination, and the answer back."""
        eventlet.sleep(LATENCY_S)
        if not self.reaches(source, destination):
            return
        destination.gate(kind)
        returned = raised = None
        try:
            returned = work()
        except PersimmonspokeError as exc:
            raised = exc
        except Exception as exc:
            self.crashes.append(exc)
            raise
        destination.gate(kind)
        if self.reaches(destination, source):
            eventlet.sleep(LATENCY_S)
            if not answer.ready():
                answer.send((returned, raised))


class FakeLink:
    """One process's end of the peer link; implements `PeerLink`.

    Attributes
    ----------
    bytes_sent : int
        Size of all messages and answers that this process sent.
    revision : Revision
        Layout of messages that the process's build reads and writes.
    message_s, byte_s : float
        Processor time of each message and of each of its bytes, in seconds of a full
        core.
    """

    def __init__(self, network, process, address: PeerAddress):
        self.network = network
        self.process = process
        self.address = address
        self.bytes_sent = 0
        self._handlers = {}
        self.revision = NEWEST
        self.message_s = self.byte_s = 0.0
        self._revisions = PeerRevisions(self._encode, codec.earlier_revision)
        network.links[address.ip, address.port] = self

    def call(self, peer, message, deadline):
        """Send `message` and return the answer, or raise `PeerError`."""
        send = partial(self._send, peer, deadline)
        answer = self._revisions.call(peer.host_id, message, send)
        self._work(answer)
        return self._decode(answer)[0] if answer else None

    def _send(self, peer, deadline, data):
        """Send an encoded message and return the encoded answer."""
        self.bytes_sent += len(data)
        destination_link = self.network.links[peer.ip, peer.port]
        try:
            return self.network.exchange(
                self.process,
                destination_link.process,
                partial(destination_link.answer, peer, data, self.revision),
                deadline,
                GateKind.PEER,
            )
        except ConnectionRefused:
            _sleep_to(self.process.virtual(deadline))
            raise PeerTimeout(
                f"no process listens at the address of {peer.host_id}"
            ) from None
        except (NotSent, AnswerLost):
            raise PeerTimeout(f"{peer.host_id} did not answer") from None
        except PersimmonspokeError as exc:
            raise PeerRefused(f"{type(exc).__name__}: {exc}") from exc

    def answer(self, peer, data, caller_revision):
        """Return the encoded answer to one message that was sent to the run `peer`."""
        if peer.host_id != self.address.host_id:
            raise PeerRefused("another run listens at this address")
        message, revision = self._decode(data)
        if caller_revision >= Revision.TOLERANT:
            revision = NEWEST
        else:
            revision = min(revision, LAST_STRICT)
        if type(message) not in self._handlers:
            raise PeerRefused("this type of message is not served yet")
        returned = self._handlers[type(message)](message)
        answer = b"" if returned is None else self._encode(returned, revision)
        self._work(answer)
        self.bytes_sent += len(answer)
        return answer

    def _work(self, data):
        """Take the processor time of a message."""
        self.process.work(self.message_s + self.byte_s * len(data))

    def _encode(self, message, revision):
        return codec.encode(message, min(revision, self.revision))

    def _decode(self, data):
        """Return a message and its revision, without fields that an old build lacks.

        A build before `Revision.TOLERANT` refuses them.
        """
        message, revision = codec.decode_with_revision(data)
        is_longer = len(data) > len(codec.encode(message, self.revision))
        if self.revision < Revision.TOLERANT and is_longer:
            raise MalformedMessage(f"{UNREADABLE}: it has more fields")
        if is_longer:
            message = codec.decode(codec.encode(message, self.revision))
        return message, revision

    def post(self, peer, message):
        """Send `message` without waiting for an answer."""
        deadline = self._post_deadline()
        eventlet.spawn_n(self._post, peer, message, deadline)

    def _post_deadline(self):
        return self.process.local(virtual_hub.now()) + 1.0

    def _post(self, peer, message, deadline):
        try:
            self.call(peer, message, deadline)
        except PersimmonspokeError:
            return

    def probe(self, peer, deadline):
        """Return whether the run `peer` answers, is silent, or is dead."""
        destination_link = self.network.links[peer.ip, peer.port]
        try:
            found = self.network.exchange(
                self.process,
                destination_link.process,
                lambda: destination_link.address.host_id,
                deadline,
                GateKind.PEER,
            )
        except ConnectionRefused:
            return Liveness.DEAD
        except (NotSent, AnswerLost):
            return Liveness.SILENT
        return Liveness.ANSWERS if found == peer.host_id else Liveness.DEAD

    def serve(self, kind, handler):
        """Call `handler` for messages of type `kind`, in one task per message."""
        self._handlers[kind] = handler


def _sleep_to(virtual):
    """Sleep until a virtual time."""
    eventlet.sleep(max(0.0, virtual - virtual_hub.now()))
