"""The fleet as the scheduler, the relays and the operators see it."""

from persimmonspoke.ids import HostId
from persimmonspoke.internal.membership.directory import Directory
from persimmonspoke.internal.membership.record import HostRecord
from persimmonspoke.internal.news.relays import (
    RelayCandidate,
    choose_relays,
    relays_to_ask,
)
from persimmonspoke.internal.peers.api import PeerAddress


class Fleet:
    """Implements the scheduler's `Members`, and names the relays.

    Parameters
    ----------
    me : HostRecord
        This host, as its record will name it.
    directory : Directory
        All host records, as read from the news.
    """

    def __init__(self, me: HostRecord, directory: Directory):
        self._me = me
        self._directory = directory

    def me(self) -> PeerAddress:
        """Return this host."""
        return self._me.address

    def live(self) -> tuple[PeerAddress, ...]:
        """Return all hosts that may still act, this one included."""
        hosts = self._hosts()
        return tuple(hosts[host_id].address for host_id in sorted(hosts))

    def watches(self) -> bool:
        """Return whether this host watches the store itself.

        A host that the news do not name yet watches, because it has to learn of
        the others before it can ask them.
        """
        if self._directory.get(self._me.host_id) is None:
            return True
        chosen = {relay.address.host_id for relay in self._relays()}
        return self._me.host_id in chosen

    def relays(self) -> tuple[PeerAddress, ...]:
        """Return the relays that this host asks, in its order of preference."""
        return relays_to_ask(self._relays(), self._me.host_id, self._me.data_centre)

    def _relays(self):
        """Return the relays of all data centres."""
        records = self._hosts().values()
        return choose_relays(
            RelayCandidate(record.address, record.data_centre) for record in records
        )

    def _hosts(self) -> dict[HostId, HostRecord]:
        """Return the records of the hosts that may still act."""
        hosts = {record.host_id: record for record in self._directory.unrevoked()}
        hosts[self._me.host_id] = self._me
        return hosts
