"""The live hosts of the fleet, and which of them are relays."""

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
    """Implements the scheduler's `Members`, and selects the relays.

    Parameters
    ----------
    me : HostRecord
        The record of this host, as it will be written to the store.
    directory : Directory
        All host records, as read from the store.
    """

    def __init__(self, me: HostRecord, directory: Directory):
        self._me = me
        self._directory = directory

    def me(self) -> PeerAddress:
        """Return the address of this host."""
        return self._me.address

    def live(self) -> tuple[PeerAddress, ...]:
        """Return the addresses of all unrevoked hosts, this one included."""
        hosts = self._hosts()
        return tuple(hosts[host_id].address for host_id in sorted(hosts))

    def watches_store(self) -> bool:
        """Return whether this host watches the store itself.

        A host whose own record has not arrived from the store watches it, because
        it has to learn of the other hosts before it can ask them.
        """
        if self._directory.get(self._me.host_id) is None:
            return True
        chosen = {relay.address.host_id for relay in self._relays()}
        return self._me.host_id in chosen

    def relays(self) -> tuple[PeerAddress, ...]:
        """Return the relays that this host asks, the preferred one first."""
        return relays_to_ask(self._relays(), self._me.host_id, self._me.data_centre)

    def _relays(self):
        """Return the relays of all data centres."""
        records = self._hosts().values()
        return choose_relays(
            RelayCandidate(record.address, record.data_centre) for record in records
        )

    def _hosts(self) -> dict[HostId, HostRecord]:
        """Return the records of the unrevoked hosts, this one included."""
        hosts = {record.host_id: record for record in self._directory.unrevoked()}
        hosts[self._me.host_id] = self._me
        return hosts
