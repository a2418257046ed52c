"""The control plane of one daemon: store, watches, peers, membership, ownership."""

import eventlet

from persimmonspoke.daemon.fleet import Fleet
from persimmonspoke.daemon.settings import Settings
from persimmonspoke.ids import DataCentreId, HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.http_host_list import HttpHostList
from persimmonspoke.internal.membership.record import NO_HOST, HostRecord
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.relay import RelayReader, serve_news
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.node import Node, NodeSettings
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.zmq_link import ZmqLink
from persimmonspoke.internal.store.http_store import HttpStore
from persimmonspoke.internal.targets.http_orders import HttpTargetOrders

MAX_MISSED_WATCHES = 2


class ControlPlane:
    """The components that keep this host's view of the fleet up to date.

    Parameters
    ----------
    caller_port, admin_port : int
        The ports that this daemon listens on, as chosen by the kernel if need be.
    """

    def __init__(
        self,
        cfg: Settings,
        host_id: HostId,
        clock: Clock,
        caller_port: int,
        admin_port: int,
    ):
        self._cfg = cfg
        self._clock = clock
        self.store = HttpStore(cfg.platform_url, clock)
        self.link = ZmqLink(PeerAddress(host_id, cfg.ip, cfg.peer_port), clock)
        self.cache = StoreCache(clock)
        self.watcher = StoreWatcher(self.store, self.cache, clock, cfg.timers)
        self.host_list = HttpHostList(cfg.platform_url, clock)
        settings = NodeSettings(
            host_id=host_id,
            ip=cfg.ip,
            peer_port=self.link.address.port,
            caller_port=caller_port,
            admin_port=admin_port,
            data_centre=DataCentreId(cfg.data_centre),
            timers=cfg.timers,
        )
        self.node = Node(
            settings,
            clock,
            self.store,
            self.link,
            HttpTargetOrders(cfg.targets, clock),
            self.cache,
            self.host_list,
        )
        self.in_force = self.node.configs.in_force
        own_record = HostRecord.initial(settings, NO_HOST)
        self.fleet = Fleet(own_record, self.node.member.directory)
        self.relay_reader = RelayReader(
            host_id, self.link, self.cache, clock, self.fleet.relays, self._needs_relay
        )

    def start(self) -> None:
        """Start to watch the store, and join the fleet."""
        serve_news(self.link, self.cache, self.watcher, self._clock)
        eventlet.spawn(self.watcher.run, self.fleet.watches_store)
        eventlet.spawn(
            self.watcher.run_reads,
            self._cfg.timers.watch_s,
            self._cfg.timers.store_call_s,
            self.fleet.watches_store,
        )
        eventlet.spawn(self.relay_reader.run)
        eventlet.spawn(self.host_list.run)
        self.node.start()

    def store_view_age_s(self) -> float | None:
        """Return the time since this host was last known to be up to date, if ever."""
        confirmed = [
            at
            for at in (self.watcher.confirmed_at, self.relay_reader.confirmed_at)
            if at is not None
        ]
        return self._clock.now() - max(confirmed) if confirmed else None

    def _needs_relay(self):
        """Return whether this host has to get store updates from relays.

        It does if it does not watch the store itself, or if its watch was last
        confirmed more than `MAX_MISSED_WATCHES` watch periods ago.
        """
        if not self.fleet.watches_store():
            return True
        confirmed = self.watcher.confirmed_at
        oldest_allowed = Instant(
            self._clock.now() - MAX_MISSED_WATCHES * self._cfg.timers.watch_s
        )
        return confirmed is not None and confirmed < oldest_allowed
