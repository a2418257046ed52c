"""A TCP proxy between the hosts of a soak and what they connect to.

Hosts see each target, each other and the store at an address of this proxy, which tells
from which process a connection comes and may hold, delay or reset its bytes.  A host
knows itself by the address that it listens at, and all others know it by that of the
proxy; so the proxy replaces one by the other in what it passes on.  Both have the same
length.
"""

import asyncio
import contextlib
import enum
import os
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

MIN_LOOK_PAUSE_S = 0.005
REWRITE_WAIT_S = 0.002  # for the rest of an address that a read has split
END_WAIT_S = 0.05  # for the end of a connection that the kernel counts as closed
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY = 4, 20
DIAG_INODE = 84  # its offset in the kernel's answer
GRANT = b"POST /grant"


class CutKind(enum.Enum):
    """What becomes of the bytes between a host and another end."""

    RESET = "reset"  # connections are reset, also new ones
    SILENT = "silent"  # bytes are held in both directions
    NO_ANSWERS = "no answers"  # bytes to the host are held
    NO_REQUESTS = "no requests"  # bytes from the host are held
    SLOW = "slow"  # bytes are late in both directions


HELD = {
    CutKind.SILENT: {True, False},
    CutKind.NO_REQUESTS: {True},
    CutKind.NO_ANSWERS: {False},
}


@dataclass(frozen=True)
class Cut:
    """A disturbance between some hosts and some other ends, by their names."""

    kind: CutKind
    hosts: frozenset[str]
    ends: frozenset[str]
    delay_s: float = 0.0

    def covers(self, host: str, end: str) -> bool:
        """Return whether it lies between a host and another end.

        A link between two hosts is cut whichever of them has opened the connection.
        """
        pairs = ((host, end), (end, host))
        return any(one in self.hosts and other in self.ends for one, other in pairs)


class Rewriter:
    """Replaces texts by others of the same length in a stream of bytes."""

    def __init__(self, pairs):
        self._pairs = pairs
        self._rest = b""

    def replace(self, data: bytes) -> bytes:
        """Return all bytes that can be passed on now."""
        data = self._rest + data
        for old, new in self._pairs:
            data = data.replace(old, new)
        longest = max(
            (
                n
                for old, _ in self._pairs
                for n in range(1, len(old))
                if data.endswith(old[:n])
            ),
            default=0,
        )
        self._rest = data[len(data) - longest :]
        return data[: len(data) - longest]

    def rest(self) -> bytes:
        """Return the bytes that were kept as the possible begin of a text."""
        data, self._rest = self._rest, b""
        return data


class _Side(asyncio.Protocol):
    """One of the two connections of a link."""

    def __init__(self, link, from_host):
        self._link = link
        self._from_host = from_host
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        if self._from_host:
            self._link.open(transport)

    def data_received(self, data):
        self._link.receive(self._from_host, data)

    def eof_received(self):
        self._link.receive(self._from_host, None)
        return True

    def connection_lost(self, exc):
        self._link.lose(self._from_host, exc)


class _Link:
    """A connection from a host through the proxy."""

    def __init__(self, proxy, end, upstream, host=None):
        self.proxy = proxy
        self.host, self.end = host, end
        self.via = None
        self._upstream = upstream
        self._sides = {True: None, False: None}
        self._queues = {True: [], False: []}
        self._rewriters = {}
        self._finished = set()
        self._cut_off = False  # it was opened while the way was cut
        self._opened_since = 0.0

    def accept(self):
        """Return the protocol of the connection from the host."""
        self._sides[True] = _Side(self, True)
        return self._sides[True]

    def open(self, transport):
        """Connect to the other end, unless the way there is cut."""
        self.proxy.links.add(self)
        self._opened_since = self.proxy.passed_at
        ends = map(transport.get_extra_info, ("peername", "sockname"))
        asyncio.ensure_future(self._connect(*ends))

    async def _connect(self, *ends):
        if self.host is None:
            self.host = await self.proxy.find_host(*ends)
            if self.host is None and await self._is_given_up():
                self.reset()
                return
        self._rewriters = self.proxy.rewriters(self.host, self.end)
        kinds = self.kinds()
        if CutKind.RESET in kinds:
            self.reset()
            return
        if any(kind in HELD for kind in kinds):
            self._cut_off = True
            return
        loop = asyncio.get_running_loop()
        side = _Side(self, False)
        try:
            await loop.create_connection(lambda: side, *self._upstream)
        except OSError:
            self.reset()
            return
        # A process that has started since can't have accepted the host's connection.
        started_at = self.proxy.started_at.get(self.end, 0.0)
        if self not in self.proxy.links or started_at > self._opened_since:
            reset(side.transport)
            self.reset()
            return
        self._sides[False] = side
        self.via = side.transport.get_extra_info("sockname")[1]
        self.proxy.note("conn", via=self.via, host=self.host, end=self.end)
        self.flush()

    async def _is_given_up(self):
        """Return whether the host has closed the connection and sent nothing."""
        until = time.monotonic() + END_WAIT_S
        while not self._queues[True] and time.monotonic() < until:
            if self._sides[True].transport.is_closing():
                return True
            await asyncio.sleep(REWRITE_WAIT_S)
        return [data for _, data in self._queues[True]] == [None]

    def kinds(self):
        """Return the kinds of all cuts on the way now."""
        return {cut.kind for cut in self.proxy.cuts_of(self.host, self.end)}

    def receive(self, from_host, data):
        """Take bytes of one side; None is their end."""
        cuts = self.proxy.cuts_of(self.host, self.end)
        delay_s = sum(cut.delay_s for cut in cuts)
        queue = self._queues[from_host]
        due_at = time.monotonic() + delay_s
        queue.append((max(due_at, queue[-1][0]) if queue else due_at, data))
        self.flush()

    def flush(self):
        """Pass on what is due and not held."""
        loop = asyncio.get_running_loop()
        kinds = self.kinds()
        for from_host, queue in self._queues.items():
            receiver = self._sides[not from_host]
            held = any(from_host in HELD.get(kind, ()) for kind in kinds)
            if held or receiver is None or receiver.transport is None:
                continue
            while queue and queue[0][0] <= time.monotonic():
                self._pass_on(receiver, from_host, queue.pop(0)[1])
            if queue:
                loop.call_later(queue[0][0] - time.monotonic() + 0.001, self.flush)

    def _pass_on(self, receiver, from_host, data):
        rewriter = self._rewriters.get(from_host)
        if from_host and data is not None and data.startswith(GRANT):
            self.proxy.last_granter = self.host or self.proxy.last_granter
        if data is None:
            self._write_rest(receiver, rewriter)
            self._finished.add(from_host)
            if len(self._finished) == 2:
                self._close()
            else:
                with contextlib.suppress(OSError):  # its end is noticed soon
                    receiver.transport.write_eof()
            return
        if rewriter is not None:
            data = rewriter.replace(data)
            loop = asyncio.get_running_loop()
            loop.call_later(REWRITE_WAIT_S, self._write_rest, receiver, rewriter)
        if data:
            receiver.transport.write(data)

    def _write_rest(self, receiver, rewriter):
        if rewriter is not None and (data := rewriter.rest()):
            receiver.transport.write(data)

    def lose(self, from_host, exc):
        """Take the end of one side; a reset is passed on, with what was held lost."""
        if exc is not None:
            self.reset()

    def heal(self):
        """Go on after the end of a cut."""
        if self._cut_off and not any(kind in HELD for kind in self.kinds()):
            self.reset()
        else:
            self.flush()

    def reset(self):
        """Reset both sides."""
        self.proxy.links.discard(self)
        for queue in self._queues.values():
            queue.clear()
        for side in self._sides.values():
            if side is not None and side.transport is not None:
                reset(side.transport)

    def _close(self):
        self.proxy.links.discard(self)
        for side in self._sides.values():
            side.transport.close()


def reset(transport):
    """Close a connection by a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def _socket_name(local, remote):
    """Return the name that a descriptor of a connection's socket has; None if closed.

    The kernel is asked for this one socket (sock_diag(7)): the table in ``/proc/net``
    takes 15 ms to read while many connections have just been closed.
    """
    ends = (socket.inet_aton(local[0]), socket.inet_aton(remote[0]))
    query = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 2**32 - 1)
    query += struct.pack("!HH16s16sIQ", local[1], remote[1], *ends, 0, 2**64 - 1)
    head = struct.pack("=IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, 1, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(head + query)
        data = sock.recv(4096)
    if struct.unpack_from("=IH", data)[1] != SOCK_DIAG_BY_FAMILY:
        return None
    (inode,) = struct.unpack_from("=I", data, DIAG_INODE)
    return f"socket:[{inode}]" if inode else None


class Proxy:
    """All links of a soak.

    Parameters
    ----------
    note : callable
        Takes a kind and fields, and writes one line of the history.
    host_pids : callable
        Returns the name of each host that runs, by process id.

    Attributes
    ----------
    last_granter : str or None
        Host that has sent the last grant.
    passed_at : float
        A moment up to which all connections have been accepted.
    started_at : dict of float
        When the last process of each other end was started.
    """

    def __init__(self, note: Callable, host_pids: Callable):
        self.note = note
        self.links = set()
        self.last_granter = None
        self.passed_at = 0.0
        self.started_at = {}
        self._host_pids = host_pids
        self._addresses = {}
        self._cuts = []
        self._servers = []
        self._owners = {}
        self._look = None
        self._look_s = 0.0

    async def listen(self, address, upstream, end, host=None):
        """Pass on connections to `address`, from one host or any."""
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(
                lambda: _Link(self, end, upstream, host).accept(), *address, backlog=256
            )
        )

    def close(self):
        """Stop listening, and reset all links."""
        for server in self._servers:
            server.close()
        for link in list(self.links):
            link.reset()

    def name_address(self, host, own_ip, seen_ip):
        """Set by which address a host knows itself and by which others know it."""
        self._addresses[host] = own_ip.encode(), seen_ip.encode()

    def rewriters(self, host, end):
        """Return what replaces addresses, by direction; nothing if nothing does."""
        own = {
            name: self._addresses[name]
            for name in (host, end)
            if name in self._addresses
        }
        if end != "store" and end not in own:
            return {}
        found = {}
        for sender, receiver, from_host in ((host, end, True), (end, host, False)):
            pairs = []
            if sender in own:
                pairs.append(own[sender])
            if receiver in own:
                pairs.append(own[receiver][::-1])
            found[from_host] = Rewriter(pairs)
        return found

    def cut(self, cut: Cut) -> None:
        """Begin a disturbance."""
        self._cuts.append(cut)
        if cut.kind is CutKind.RESET:
            for link in [k for k in self.links if cut.covers(k.host, k.end)]:
                link.reset()

    def heal(self, cut: Cut) -> None:
        """End a disturbance."""
        self._cuts.remove(cut)
        for link in list(self.links):
            link.heal()

    def cuts_of(self, host, end):
        """Return the disturbances between a host and another end."""
        return [cut for cut in self._cuts if cut.covers(host, end)]

    async def find_host(self, peer, here):
        """Return the name of the host that has opened a connection.

        None if it isn't known, mostly because it has been closed again.
        """
        wanted = _socket_name(peer, here)
        if wanted is not None and wanted not in self._owners:
            if self._look is None:
                self._look = asyncio.ensure_future(self._look_for_owners())
            await asyncio.shield(self._look)
        return self._owners.get(wanted)

    async def _look_for_owners(self):
        """Find the owners of all connections that have been opened until now.

        One look serves all that wait for it.  It is no thread's work, since each of its
        many short calls would wait for its turn in the interpreter.
        """
        await asyncio.sleep(max(MIN_LOOK_PAUSE_S, self._look_s))
        self._look = None
        began_at = time.monotonic()
        self._owners = _owners(self._host_pids())
        self._look_s = time.monotonic() - began_at


def _owners(host_pids):
    """Return the name of the host that has a socket open, by the socket's name."""
    return {path: name for pid, name in host_pids.items() for path in _open_files(pid)}


def _open_files(pid):
    """Yield what the descriptors of a process refer to."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):  # of a process that has ended
        for entry in os.listdir(folder):
            with contextlib.suppress(OSError):  # a descriptor closed meanwhile
                yield os.readlink(f"{folder}/{entry}")
