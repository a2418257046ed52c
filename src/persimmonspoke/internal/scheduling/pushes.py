"""Grants that a lender sends between reports."""

import logging
from collections.abc import Callable

import eventlet

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.scheduling.groups import GroupId
from persimmonspoke.internal.scheduling.lenders import Members
from persimmonspoke.internal.scheduling.messages import SlotGrant
from persimmonspoke.internal.scheduling.settings import SchedulingSettings

_log = logging.getLogger(__name__)


class GrantPushes:
    """Sends grants, one at a time to each holder; a newer one replaces a waiting one.

    Parameters
    ----------
    deliver : callable
        Applies a grant whose holder is this host.
    """

    def __init__(
        self,
        cfg: SchedulingSettings,
        clock: Clock,
        link: PeerLink | None,
        members: Members,
        deliver: Callable[[SlotGrant], None],
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._members = members
        self._deliver = deliver
        self._newest: dict[tuple[GroupId, HostId], SlotGrant] = {}
        self._sending: set[tuple[GroupId, HostId]] = set()

    def push(self, holder: HostId, grant: SlotGrant) -> None:
        """Send `grant` in a task, unless a newer one replaces it before."""
        key = (grant.group, holder)
        self._newest[key] = grant
        if key not in self._sending:
            self._sending.add(key)
            eventlet.spawn_n(self._send, key)

    def _send(self, key):
        _, holder = key
        try:
            while (grant := self._newest.pop(key, None)) is not None:
                if holder == self._members.me().host_id:
                    self._deliver(grant)
                else:
                    self._call(holder, grant)
        finally:
            self._sending.discard(key)

    def _call(self, holder, grant):
        peers = {peer.host_id: peer for peer in self._members.live()}
        if holder not in peers:
            return
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        try:
            self._link.call(peers[holder], grant, deadline)
        except PeerError as exc:
            # The answer to the holder's next report contains the same permits.
            _log.debug(
                "scheduling: grant not seen",
                extra={"holder": holder, "reason": str(exc)},
            )
