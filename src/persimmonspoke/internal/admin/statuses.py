"""Collection of the statuses of all entry hosts over the peer link."""

from collections.abc import Iterable

import eventlet

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.admin.api import Node, UnreachableHost
from persimmonspoke.internal.admin.messages import (
    HostStatus,
    StatusReply,
    StatusRequest,
)
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink

MAX_CALLS_AT_ONCE = 64


def serve_status(link: PeerLink, node: Node) -> None:
    """Serve the status of `node` to other hosts."""
    link.serve(StatusRequest, lambda request: StatusReply(node.status()))


def collect_statuses(
    link: PeerLink, addresses: Iterable[PeerAddress], deadline: Instant
) -> list[HostStatus | UnreachableHost]:
    """Return the status of each host, or why there is none, in the given order."""
    pool = eventlet.GreenPool(MAX_CALLS_AT_ONCE)
    return list(pool.imap(lambda peer: _ask(link, peer, deadline), addresses))


def _ask(link, peer, deadline):
    """Return the status of one host, or why there is none."""
    try:
        reply = link.call(peer, StatusRequest(), deadline)
    except PeerError as exc:
        return UnreachableHost(peer.host_id, f"{type(exc).__name__}: {exc}")
    if not isinstance(reply, StatusReply):
        return UnreachableHost(peer.host_id, "the answer is no status")
    if reply.status.host_id != peer.host_id:
        return UnreachableHost(peer.host_id, "another run answers at its address")
    return reply.status
