"""Records of all entry hosts, and which host may revoke or succeed which."""

from collections.abc import Iterator

from persimmonspoke.ids import HostId
from persimmonspoke.internal.membership.record import (
    NO_HOST,
    PREFIX,
    HostRecord,
    HostState,
)
from persimmonspoke.internal.membership.ring import rendezvous_host, successors_of
from persimmonspoke.internal.news.api import StoreView


class Directory:
    """The host records in the local copy of the store, and runs proven dead.

    Attributes
    ----------
    dead : set of HostId
        Runs that are proven dead.  A run never restarts under the same id.
    """

    def __init__(self, store_view: StoreView, me: HostId):
        self._store_view = store_view
        self._me = me
        self._read_at_count = -1
        self._records: dict[HostId, HostRecord] = {}
        self.dead: set[HostId] = set()

    def records(self) -> dict[HostId, HostRecord]:
        """Return the records of all hosts, by id."""
        count = self._store_view.change_count()
        if count != self._read_at_count:
            found = (
                item.value for item in self._store_view.items(PREFIX) if item.value
            )
            self._records = {
                value["host_id"]: HostRecord.from_value(value) for value in found
            }
            self._read_at_count = count
        return self._records

    def version(self) -> tuple[int, int]:
        """Return a value that changes whenever a record or `dead` has changed."""
        return self._store_view.change_count(), len(self.dead)

    def get(self, host_id: HostId) -> HostRecord | None:
        """Return the record of one host, or None if it is not known."""
        return self.records().get(host_id)

    def active(self) -> tuple[HostRecord, ...]:
        """Return the hosts that may become keeper or successor."""
        return tuple(
            record
            for record in self.records().values()
            if record.state is HostState.ACTIVE and record.host_id not in self.dead
        )

    def unrevoked(self) -> tuple[HostRecord, ...]:
        """Return the hosts that may still hold authority."""
        return tuple(
            record
            for record in self.records().values()
            if not record.revoked and record.host_id not in self.dead
        )

    def candidates(self) -> tuple[HostRecord, ...]:
        """Return the hosts that may become this host's successor, the best first."""
        order = successors_of(self._me, self.active())
        return tuple(record for record in order if record.host_id != self._me)

    def responsible_host(self, host_id: HostId) -> HostId | None:
        """Return the one host that may revoke `host_id`, or take over its pages.

        Returns None if there is no such host, or its record is not known.
        """
        for successor_id in self._successor_chain(host_id):
            record = self.get(successor_id)
            if record is None:
                return None
            if not record.revoked:
                return successor_id
        return None

    def orphaned(self, host_id: HostId) -> bool:
        """Return whether `host_id` and its whole chain of successors have ended."""
        if not self._has_ended(host_id):
            return False
        return all(
            self._has_ended(successor_id)
            for successor_id in self._successor_chain(host_id)
        )

    def inherits_pages_of(self, host_id: HostId) -> bool:
        """Return whether this host takes over the pages of `host_id`."""
        successor_id = self.responsible_host(host_id)
        if successor_id == self._me:
            return True
        if not self.orphaned(host_id):
            return False
        hosts = (record.host_id for record in self.active())
        return rendezvous_host(f"orphan|{host_id}", hosts) == self._me

    def _has_ended(self, host_id):
        record = self.get(host_id)
        return host_id in self.dead or record is None or record.revoked

    def _successor_chain(self, host_id: HostId) -> Iterator[HostId]:
        """Yield the host that succeeds `host_id`, then the one that succeeds it, etc.

        A host that another one has revoked is succeeded by that one, any other host by
        the successor that its record names.
        """
        seen = {host_id}
        at = self.get(host_id)
        while at is not None:
            revoker = at.revoked_by if at.revoked else NO_HOST
            successor_id = (
                revoker if revoker not in (NO_HOST, at.host_id) else at.successor
            )
            if successor_id == NO_HOST or successor_id in seen:
                return
            seen.add(successor_id)
            yield successor_id
            at = self.get(successor_id)
