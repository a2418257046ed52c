"""Selection of the host that lends the slots of a group."""

from typing import Protocol

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.scheduling.groups import GroupId, rank_hosts
from persimmonspoke.internal.scheduling.settings import SchedulingSettings


class Members(Protocol):
    """The live entry hosts, as far as this host knows."""

    def live(self) -> tuple[PeerAddress, ...]:
        """Return all live hosts, this one included."""

    def me(self) -> PeerAddress:
        """Return this host."""


class SingleHostMembers:
    """A fleet of one host."""

    def __init__(self, me: PeerAddress):
        self._me = me

    def live(self) -> tuple[PeerAddress, ...]:
        """Return this host alone."""
        return (self._me,)

    def me(self) -> PeerAddress:
        """Return this host."""
        return self._me


class Lenders:
    """Selects the lender of each group: the live host that ranks first for it.

    Hosts may disagree for a short time.  A slot may then be lent twice, so the target
    may shed a request, but no guarantee is violated.
    """

    def __init__(self, cfg: SchedulingSettings, clock: Clock, members: Members):
        self._cfg = cfg
        self._clock = clock
        self._members = members
        self._live = members.live()
        self._previous_live = self._live
        self._changed_at = Instant(float("-inf"))
        self._avoid: dict[HostId, Instant] = {}
        self._ranked: dict[GroupId, tuple[HostId, ...]] = {}

    def refresh(self) -> None:
        """Update the set of live hosts."""
        live = self._members.live()
        if live != self._live:
            self._previous_live = self._live
            self._live = live
            self._changed_at = self._clock.now()
            self._ranked.clear()

    def lender_of(self, group: GroupId) -> PeerAddress:
        """Return the host that this host considers the lender of `group`."""
        self.refresh()
        by_id = {peer.host_id: peer for peer in self._live}
        now = self._clock.now()
        ranked = self._rank(group, self._live)
        for host_id in ranked:
            if self._avoid.get(host_id, now) <= now:
                return by_id[host_id]
        return by_id[ranked[0]] if ranked else self._members.me()

    def avoid(self, host_id: HostId) -> None:
        """Skip a host that did not answer, for `avoid_s`."""
        if host_id != self._members.me().host_id:
            self._avoid[host_id] = Instant(self._clock.now() + self._cfg.avoid_s)

    def full_lending_from(self, group: GroupId) -> Instant:
        """Return when this host may lend all slots that no holder reports as lent.

        That is now, if this host ranks first and no other host can have lent within
        the last lease; otherwise when permits that another host lent have expired.
        """
        self.refresh()
        now = self._clock.now()
        me = self._members.me().host_id
        lease_s = self._cfg.permit_s * (1 + self._cfg.clock_drift)
        ranks_first = self._rank(group, self._live)[:1] == (me,)
        previous_ranked = rank_hosts(
            group, (peer.host_id for peer in self._previous_live)
        )
        if ranks_first and (
            previous_ranked[:1] == (me,) or now - self._changed_at >= lease_s
        ):
            return now
        return Instant(now + lease_s)

    def _rank(self, group, live):
        ranked = self._ranked.get(group)
        if ranked is None:
            ranked = rank_hosts(group, (peer.host_id for peer in live))
            self._ranked[group] = ranked
        return ranked
