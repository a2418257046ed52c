"""One host's membership: its record, its lease, and the leases that it grants."""

from typing import Protocol

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.directory import Directory
from persimmonspoke.internal.membership.grantor import Grantor
from persimmonspoke.internal.membership.holder import Holder
from persimmonspoke.internal.membership.record import HostState
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.store.api import Store

POLL_S = 0.05


class HostList(Protocol):
    """The platform's list of hosts, which lags behind reality."""

    def is_removed(self, name: str) -> bool:
        """Return whether the platform reports that the host `name` has been removed."""


class Member:
    """This host as a member of the fleet.

    Attributes
    ----------
    directory : Directory
        Records of all entry hosts that this host knows.
    holder : Holder
        This host's own lease.
    grantor : Grantor
        The leases that this host grants.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        store: Store,
        link: PeerLink,
        store_view: StoreView,
        host_list: HostList,
        tasks: Tasks,
    ):
        self.cfg = cfg
        self._clock = clock
        self.directory = Directory(store_view, cfg.host_id)
        self.holder = Holder(cfg, clock, store, link, store_view, self.directory, tasks)
        self.grantor = Grantor(
            clock,
            store,
            link,
            store_view,
            host_list,
            self.directory,
            self.holder,
            tasks,
        )

    @property
    def host_id(self) -> HostId:
        """The id of this run."""
        return self.cfg.host_id

    @property
    def revoked(self) -> bool:
        """Whether this run has permanently lost its authority."""
        return self.holder.revoked

    @property
    def leaving(self) -> bool:
        """Whether this run is transferring its pages before it stops."""
        record = self.holder.record
        return record is not None and record.state is HostState.LEAVING

    def holds_lease(self) -> bool:
        """Return whether this host may act now."""
        return self.holder.valid_at(self._clock.now())

    def join(self) -> None:
        """Join the fleet; return once this host's record is in the store."""
        self.holder.join()
        self.grantor.start()
        self.holder.start()

    def announce_leaving(self, deadline: Instant) -> bool:
        """Write that this host is leaving; return whether it is written in time.

        Other hosts then name it neither successor nor keeper.
        """
        record = self.holder.record
        return self._write_until(deadline, record.as_leaving, lambda: self.leaving)

    def resign(self, deadline: Instant) -> bool:
        """Revoke this run itself; return whether that is written in time.

        First it waits until no other host names this one as successor, but no longer
        than until `deadline`.
        """
        while self._named_by_others() and self._clock.now() < deadline:
            self._pause()
        holder = self.holder
        done = self._write_until(
            deadline,
            lambda: holder.record.as_revoked(self.host_id),
            lambda: holder.record.revoked,
        )
        holder.revoked = holder.revoked or done
        return done

    def _write_until(self, deadline, make, done):
        while not done() and not self.revoked and self._clock.now() < deadline:
            if not self.holder.write_record(make()):
                self._pause()
        return done()

    def _named_by_others(self):
        return any(
            record.successor == self.host_id
            for record in self.directory.unrevoked()
            if record.host_id != self.host_id
        )

    def _pause(self):
        self._clock.sleep_until(Instant(self._clock.now() + POLL_S))
