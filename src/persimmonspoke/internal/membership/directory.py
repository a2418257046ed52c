"""What this host knows about all entry hosts, and who answers for whom."""

from collections.abc import Iterator

from persimmonspoke.ids import HostId
from persimmonspoke.internal.membership.record import (
    NOBODY,
    PREFIX,
    HostRecord,
    HostState,
)
from persimmonspoke.internal.membership.ring import highest, successors_of
from persimmonspoke.internal.news.api import StoreView


class Directory:
    """The host records, read from the news, and the runs that are proven dead.

    Attributes
    ----------
    dead : set of HostId
        Runs whose end is proven.  A run never comes back under the same id.
    """

    def __init__(self, store_view: StoreView, me: HostId):
        self._store_view = store_view
        self._me = me
        self._count = -1
        self._records: dict[HostId, HostRecord] = {}
        self.dead: set[HostId] = set()

    def records(self) -> dict[HostId, HostRecord]:
        """Return the record of each host, by id."""
        count = self._store_view.change_count()
        if count != self._count:
            found = (
                item.value for item in self._store_view.items(PREFIX) if item.value
            )
            self._records = {
                value["host_id"]: HostRecord.from_value(value) for value in found
            }
            self._count = count
        return self._records

    def version(self) -> tuple[int, int]:
        """Return a value that differs whenever anything known here has changed."""
        return self._store_view.change_count(), len(self.dead)

    def get(self, host_id: HostId) -> HostRecord | None:
        """Return the record of one host, if it is known."""
        return self.records().get(host_id)

    def active(self) -> tuple[HostRecord, ...]:
        """Return the hosts that may be given pages and successors."""
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
        """Return the hosts that may become successor of this one, the best first."""
        order = successors_of(self._me, self.active())
        return tuple(record for record in order if record.host_id != self._me)

    def responsible(self, host_id: HostId) -> HostId | None:
        """Return the one host that may revoke `host_id`, or takes what it left."""
        for follower in self._followers(host_id):
            record = self.get(follower)
            if record is None:
                return None
            if not record.revoked:
                return follower
        return None

    def orphaned(self, host_id: HostId) -> bool:
        """Return whether `host_id` and all that follow it have ended."""
        if not self._ended(host_id):
            return False
        return all(self._ended(follower) for follower in self._followers(host_id))

    def heir_is_me(self, host_id: HostId) -> bool:
        """Return whether this host takes the pages that `host_id` has left."""
        follower = self.responsible(host_id)
        if follower == self._me:
            return True
        if not self.orphaned(host_id):
            return False
        hosts = (record.host_id for record in self.active())
        return highest(f"orphan|{host_id}", hosts) == self._me

    def _ended(self, host_id):
        record = self.get(host_id)
        return host_id in self.dead or record is None or record.revoked

    def _followers(self, host_id: HostId) -> Iterator[HostId]:
        """Yield who answers for `host_id`, then who answers for that one, and on."""
        seen = {host_id}
        at = self.get(host_id)
        while at is not None:
            revoker = at.revoked_by if at.revoked else NOBODY
            follower = revoker if revoker not in (NOBODY, at.host_id) else at.successor
            if follower == NOBODY or follower in seen:
                return
            seen.add(follower)
            yield follower
            at = self.get(follower)
