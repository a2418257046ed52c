"""What other hosts say about the leader, when this one hears nothing of it."""

import logging

import eventlet

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.messages import LeaderKnown, LeaderQuery
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink

NOT_HEARD_S = 1e6

log = logging.getLogger(__name__)


class Inquiries:
    """Asks other hosts who leads, and when they last heard of it."""

    def __init__(self, cfg: FleetSettings, clock: Clock, link: PeerLink, hosts: Hosts):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._hosts = hosts
        self._seen_version = Version(0)
        self._seen_at = Instant(float("-inf"))

    def ask(self, address: PeerAddress) -> LeaderKnown:
        """Return what one host knows; raise `PeerError` if it does not answer."""
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        query = LeaderQuery(self._hosts.me().host_id)
        return self._link.call(address, query, deadline)

    def is_lost_for_all(self, leader: PeerAddress | None, version: Version) -> bool:
        """Return whether the leader is lost, rather than this host cut off.

        Most other hosts have to agree.  A host that reaches few of them goes by the
        object alone, which a living leader writes again and again.

        Parameters
        ----------
        version : Version
            Of the object that names the leader, as the store has just told it.
        """
        now = self._clock.now()
        if version != self._seen_version:
            self._seen_version, self._seen_at = version, now
        others = [
            entry.address for entry in self._hosts.recorded() if entry.address != leader
        ]
        calls = [eventlet.spawn(self._heard_by, address, leader) for address in others]
        answers = [call.wait() for call in calls]
        known = [heard_s for heard_s in answers if heard_s is not None]
        if any(heard_s < self._cfg.suspect_s for heard_s in known):
            log.info("leader: lost here, and not to others")
            return False
        if 2 * len(known) >= len(others):
            return True
        return now - self._seen_at >= self._cfg.unchanged_s

    def newer_leader(self, epoch: int) -> LeaderKnown | None:
        """Return the first host's word on a leader after `epoch`, if any has one."""
        for entry in self._hosts.recorded():
            try:
                known = self.ask(entry.address)
            except PeerError as exc:
                log.debug("leader: nothing known", extra={"reason": str(exc)})
                continue
            if known.leader is not None and known.epoch > epoch:
                return known
        return None

    def rank(self, leader: PeerAddress | None) -> int:
        """Return how many other candidates go before this host."""
        lost = leader.host_id if leader else None
        before = [
            entry
            for entry in self._hosts.entries()
            if entry.address.host_id != lost
            and entry.address.host_id < self._hosts.me().host_id
        ]
        return len(before)

    def _heard_by(self, address, leader) -> float | None:
        """Return how long ago a host heard its leader; None if it is silent.

        A host that follows somebody else has not heard this leader.
        """
        try:
            known = self.ask(address)
        except PeerError:
            return None
        return known.heard_s if known.leader == leader else NOT_HEARD_S
