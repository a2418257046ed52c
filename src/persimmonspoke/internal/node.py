"""The control plane of one entry host, assembled from its parts."""

import logging

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.member import HostList, Member
from persimmonspoke.internal.membership.settings import NodeSettings, new_host_id
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.ownership.balancer import Balancer
from persimmonspoke.internal.ownership.configs import Configs
from persimmonspoke.internal.ownership.granters import Granters
from persimmonspoke.internal.ownership.handover import Handover
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.lender import RouteServer
from persimmonspoke.internal.ownership.mover import Mover
from persimmonspoke.internal.ownership.routes import RouteTable
from persimmonspoke.internal.ownership.spread import LeastOwned, Placement
from persimmonspoke.internal.ownership.takeover import Takeover
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.targets.api import TargetOrders

_LOG = logging.getLogger(__name__)

__all__ = ["HostList", "Node", "NodeSettings", "new_host_id"]


class Node:
    """Membership, pages and routes of one run of the daemon.

    The caller must run the tasks that update `store_view`, and make `link` listen.

    Parameters
    ----------
    cfg : NodeSettings
        Where this run listens, and its timers.
    placement : Placement, optional
        Chooses the new owner of a shard that has lost its owner.

    Attributes
    ----------
    routes : RouteTable
        The routes that this host holds.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        store: Store,
        link: PeerLink,
        orders: TargetOrders,
        store_view: StoreView,
        host_list: HostList,
        placement: Placement | None = None,
    ):
        self.cfg = cfg
        self._clock = clock
        self.tasks = Tasks(clock)
        self.configs = Configs(store_view)
        self.member = Member(cfg, clock, store, link, store_view, host_list, self.tasks)
        self.keeper = Keeper(self.member, clock, store, link, store_view, self.tasks)
        self.route_server = RouteServer(self.keeper, clock, link, self.tasks)
        self.takeover = Takeover(
            self.keeper, self.configs, clock, store, link, store_view, self.tasks
        )
        self.granters = Granters(self.keeper, self.configs, clock, orders, self.tasks)
        self.mover = Mover(
            self.keeper,
            self.granters,
            self.route_server,
            placement or LeastOwned(),
            clock,
            self.tasks,
        )
        self.handover = Handover(self.keeper, clock, link, store_view, self.tasks)
        self.routes = RouteTable(
            self.member,
            self.route_server,
            self.takeover,
            self.configs,
            clock,
            link,
            self.tasks,
        )
        self.balancer = Balancer(
            self.member,
            self.configs,
            self.granters,
            self.mover,
            self.routes,
            clock,
            link,
            self.tasks,
        )

    def start(self) -> None:
        """Start a task that joins the fleet and then starts all parts."""
        self.tasks.spawn(self._run)

    def _run(self):
        self.keeper.start()
        self.member.join()
        parts = (
            self.route_server,
            self.takeover,
            self.granters,
            self.mover,
            self.handover,
            self.routes,
            self.balancer,
        )
        for part in parts:
            part.start()
        _LOG.info("node: joined", extra={"host": self.cfg.host_id})

    def stop(self, deadline: Instant) -> bool:
        """Leave the fleet; return whether all pages were transferred in time.

        Routes continue to serve this host's requests in flight until the last step.
        """
        if self.member.holder.record is None:
            self.kill()
            return True
        completed = (
            self.member.announce_leaving(deadline)
            and self.handover.transfer_all(deadline)
            and self.member.resign(deadline)
        )
        self.kill()
        return completed

    def kill(self) -> None:
        """Kill all tasks immediately, as the end of the process would."""
        self.tasks.kill()

    def ready(self) -> bool:
        """Return whether this host may take new requests."""
        return self.holds_lease() and not self.member.leaving

    def holds_lease(self) -> bool:
        """Return whether this host holds a valid lease, so that it may act."""
        return self.member.holds_lease()

    def revoked(self) -> bool:
        """Return whether this run has permanently lost its authority and should end."""
        return self.member.revoked

    def dump(self) -> dict:
        """Return the state of the control plane as plain data."""
        now = self._clock.now()
        holder = self.member.holder
        return {
            "host_id": self.cfg.host_id,
            "ready": self.ready(),
            "revoked": holder.revoked,
            "lease_s": min(max(0.0, holder.lease_end() - now), 3600.0),
            "successor": holder.record.successor if holder.record else None,
            "grantors": [address.host_id for address in holder.grantors()],
            "promises": {
                host_id: lease.until - now
                for host_id, lease in self.member.grantor.granted_leases.items()
                if lease.until > now
            },
            "acting_for": sorted(self.member.grantor.acting),
            "pages": {
                key.path(): _dump_page(managed) for key, managed in self._sorted_pages()
            },
            "tasks": len(self.tasks),
        }

    def _sorted_pages(self):
        return sorted(self.keeper.pages.items(), key=lambda item: item[0].path())


def _dump_page(managed):
    """Return one page as plain data."""
    return {
        "epoch": managed.page.epoch,
        "stored_epoch": managed.stored_epoch,
        "closed": managed.closed,
        "held": sorted(managed.held),
        "owners": [entry.owner for entry in managed.page.assignments],
    }
