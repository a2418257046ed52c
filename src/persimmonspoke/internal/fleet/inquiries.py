"""Queries to other hosts about a leader that no longer answers this host."""

import logging
from dataclasses import dataclass

import eventlet

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.messages import HostEntry, LeaderKnown, LeaderQuery
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink

# Silence reported for a leader that a host does not follow; longer ones are cut to it.
NEVER_HEARD_S = 1e6

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Survey:
    """What other hosts know of later leaders.

    Attributes
    ----------
    later : LeaderKnown or None
        The answer that names the leader of the latest epoch; None if none is later.
    unanimous : bool
        Whether all that were asked have answered, each from the epoch asked about.  A
        host needs only the store to be elected, so one without an answer may lead.
    asked : int
        Number of hosts that were asked.
    unheard : tuple of HostId
        Those that did not answer.
    later_known_by : HostId or None
        The host that named the later leader.
    """

    later: LeaderKnown | None
    unanimous: bool
    asked: int
    unheard: tuple[HostId, ...]
    later_known_by: HostId | None

    def log_fields(self) -> dict:
        """Return the fields of a log line about this survey."""
        later = self.later
        return {
            "heard": self.asked - len(self.unheard),
            "asked": self.asked,
            "unheard": list(self.unheard),
            "later": later and [later.leader.host_id, later.epoch],
            "later_known_by": self.later_known_by,
        }


class LeaderInquiries:
    """Asks other hosts who leads, and when they last had contact with the leader."""

    def __init__(self, cfg: FleetSettings, clock: Clock, link: PeerLink, hosts: Hosts):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._hosts = hosts
        self._version = Version(0)
        self._version_seen_at = Instant(float("-inf"))

    def ask(self, address: PeerAddress) -> LeaderKnown:
        """Return a host's answer to `LeaderQuery`, or raise `PeerError`."""
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        query = LeaderQuery(self._hosts.me().host_id)
        return self._link.call(address, query, deadline)

    def is_confirmed_lost(
        self,
        leader: PeerAddress | None,
        version: Version,
        hosts: frozenset[str] | None = None,
    ) -> bool:
        """Return whether the leader is lost, rather than this host isolated.

        The leader is not lost if any host had contact with it recently.  Otherwise
        the answers decide if at least half of the other hosts give one.  With fewer
        answers, as while most hosts start after a loss of power, the leader is lost if
        its machine has started another run, or once the object that names it has been
        unchanged for `unchanged_s`, because a live leader writes it periodically.  A
        leader that loses the store goes on if all hosts that it knows confirm it, so
        for a host that it does not know only that proof and the end of its lease count.

        Parameters
        ----------
        version : Version
            Current version of the object that names the leader.
        hosts : frozenset of str or None
            Names of the hosts that the leader knows; None if it is of a build that
            does not name them, and does not ask all of them either.
        """
        now = self._clock.now()
        if version != self._version:
            self._version, self._version_seen_at = version, now
        known = [
            entry.address
            for entry in self._hosts.known_hosts()
            if entry.address != leader
        ]
        # Some hosts are enough: a wrong answer costs a change of the leader, not more.
        others = self._sample(known)
        calls = [
            eventlet.spawn(self._silence_seen_by, address, leader) for address in others
        ]
        answers = [call.wait() for call in calls]
        silences = [silence_s for silence_s in answers if silence_s is not None]
        if any(silence_s < self._cfg.suspect_s for silence_s in silences):
            log.info("leader: unreachable from this host only")
            return False
        is_named = hosts is None or self._hosts.my_entry.name in hosts
        if is_named and 2 * len(silences) >= len(others):
            return True
        wait_s = self._cfg.unchanged_s if is_named else self._cfg.lease_s
        if now - self._version_seen_at >= wait_s:
            return True
        # A refused connection proves less: a cut may refuse connections, too.
        return leader is not None and self._hosts.was_restarted(leader.host_id)

    def find_newer_leader(
        self, epoch: int, count: int | None = None
    ) -> LeaderKnown | None:
        """Ask up to `count` hosts for a leader of a later epoch, in turn.

        Return the first one found.  By default some `inquiries` hosts are asked.
        """
        recorded = self._hosts.recorded_hosts()
        step = -(-len(recorded) // (count or self._cfg.inquiries)) or 1
        for entry in recorded[::step]:
            try:
                known = self.ask(entry.address)
            except PeerError as exc:
                log.debug("leader: host did not answer", extra={"reason": str(exc)})
                continue
            if known.leader is not None and known.epoch > epoch:
                return known
        return None

    def survey(self, epoch: int) -> Survey:
        """Ask some hosts, all at once, for a leader of a later epoch than `epoch`."""
        return self._survey(epoch, self._sample(self._hosts.known_hosts()))

    def survey_all(self, epoch: int, named: tuple[HostEntry, ...]) -> Survey:
        """Ask all hosts, all at once, for a leader of a later epoch than `epoch`.

        Parameters
        ----------
        named : tuple of HostEntry
            Hosts that are asked even if they have no record any more.
        """
        entries = (*named, *self._hosts.known_hosts())
        asked = {entry.address: entry for entry in entries}
        return self._survey(epoch, tuple(asked.values()))

    def _survey(self, epoch, asked):
        calls = [eventlet.spawn(self._ask_or_none, e.address) for e in asked]
        found = [
            (e.address.host_id, c.wait()) for e, c in zip(asked, calls, strict=True)
        ]
        answers = [(name, answer) for name, answer in found if answer is not None]
        later_known_by, later = max(
            (
                (name, answer)
                for name, answer in answers
                if answer.leader is not None and answer.epoch > epoch
            ),
            key=lambda item: item[1].epoch,
            default=(None, None),
        )
        # A host that has led in a later epoch and resigned names no leader.  One that
        # has just started may not know what an earlier run on its machine has done.
        same = [answer for _, answer in answers if answer.epoch == epoch]
        return Survey(
            later,
            len(same) == len(asked),
            len(asked),
            tuple(name for name, answer in found if answer is None),
            later_known_by,
        )

    def candidate_rank(self, leader: PeerAddress | None) -> int:
        """Return how many hosts may replace `leader` before this one."""
        lost_id = leader.host_id if leader else None
        return self._hosts.rank_among(self._hosts.entries(), lost_id)

    def _sample(self, hosts):
        """Return at most `inquiries` of `hosts`."""
        return hosts[:: -(-len(hosts) // self._cfg.inquiries) or 1]

    def _ask_or_none(self, address) -> LeaderKnown | None:
        try:
            return self.ask(address)
        except PeerError as exc:
            log.debug("leader: host did not answer", extra={"reason": str(exc)})
            return None

    def _silence_seen_by(self, address, leader) -> float | None:
        """Return the time since a host had contact with `leader`.

        This is `NEVER_HEARD_S` if the host follows another leader, and None if it
        does not answer.
        """
        known = self._ask_or_none(address)
        if known is None:
            return None
        return known.heard_s if known.leader == leader else NEVER_HEARD_S
