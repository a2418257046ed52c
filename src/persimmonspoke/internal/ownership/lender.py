"""The keeper's side of routes: granting leases for them, and revoking them."""

from persimmonspoke.errors import PeerError, PeerRefused
from persimmonspoke.ids import HostId, Instant, ShardId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.ownership.messages import (
    HoldRequest,
    RouteNotice,
    RoutePage,
    RouteReply,
    RouteRequest,
)
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink

POLL_S = 0.02
NOTICE_TIMEOUT_S = 0.2


class RouteServer:
    """Serves the routes of the pages that this host keeps, under leases.

    Attributes
    ----------
    route_leases_until : dict of HostId to Instant
        By host, when its last route lease is guaranteed to have lapsed.
    on_local_notice : callable
        Receives the notices that go to this host's own route table.
    on_local_hold : callable
        Receives the hold requests that go to this host's own route table.
    """

    def __init__(self, keeper: Keeper, clock: Clock, link: PeerLink, tasks: Tasks):
        self.route_leases_until: dict[HostId, Instant] = {}
        self.on_local_notice = lambda notice: None
        self.on_local_hold = lambda req: False
        self._keeper = keeper
        self._timers = keeper.member.cfg.timers
        self._clock = clock
        self._link = link
        self._tasks = tasks
        keeper.on_change = self._start_publishing

    def start(self) -> None:
        """Start to answer route requests."""
        self._link.serve(RouteRequest, self.serve_routes)

    def serve_routes(self, req: RouteRequest) -> RouteReply:
        """Return the changed pages, and renew the asker's lease for all routes."""
        if not self._keeper.member.holds_lease():
            raise PeerRefused("this host holds no lease and may not serve routes")
        now = self._clock.now()
        until = Instant(now + self._timers.max_duration_s(self._timers.route_lease_s))
        self.route_leases_until[req.asker] = max(
            until, self.route_leases_until.get(req.asker, until)
        )
        pages = tuple(
            self._route_page(managed)
            for managed in self._keeper.open_pages()
            if managed.change > req.since
        )
        return RouteReply(self._keeper.change, pages)

    def _route_page(self, managed):
        return RoutePage(managed.page, managed.change, tuple(sorted(managed.held)))

    # Notices of changed pages to other hosts.

    def _start_publishing(self, managed):
        self._tasks.spawn(self._publish, managed)

    def _publish(self, managed):
        """Notify all hosts of a changed page.

        A host that misses the notice receives the page with its next route request.
        """
        notice = RouteNotice(self._keeper.host_id, (self._route_page(managed),))
        self.on_local_notice(notice)
        for record in self._keeper.member.directory.unrevoked():
            if record.host_id != self._keeper.host_id:
                self._tasks.spawn(self._notify, record.address, notice)

    def _notify(self, address, notice):
        deadline = Instant(self._clock.now() + NOTICE_TIMEOUT_S)
        try:
            self._link.call(address, notice, deadline)
        except PeerError:
            return

    # Revocation of routes, before shards get another owner.

    def stop_requests(
        self,
        managed: ManagedPage,
        shards: tuple[ShardId, ...],
        until: Instant,
        drain: bool,
    ) -> bool:
        """Stop all hosts from sending requests for `shards`, which must be held.

        Returns whether, by `until`, each host that holds routes has confirmed that it
        stopped, or is dead, or its route lease has lapsed, and whether all route leases
        that an earlier keeper of the page gave have lapsed.  With `drain`, a host that
        confirms must also have no requests for `shards` in flight any more.
        """
        stopped = self._tasks.gather(
            lambda host: self._stop_host(host, managed, shards, until, drain),
            tuple(self.route_leases_until),
        )
        while self._clock.now() < min(managed.inherited_routes_until, until):
            self._pause()
        return all(stopped) and self._clock.now() >= managed.inherited_routes_until

    def _stop_host(self, host_id, managed, shards, until, drain):
        """Return whether one host has stopped by `until`."""
        while self._clock.now() < until:
            if self._cannot_send(host_id) or self._confirms_stop(
                host_id, managed, shards, until, drain
            ):
                return True
            self._pause()
        return self._cannot_send(host_id)

    def _cannot_send(self, host_id):
        """Return whether the host is dead or its route lease has lapsed."""
        if host_id in self._keeper.member.directory.dead:
            return True
        return self._clock.now() > self.route_leases_until[host_id]

    def _confirms_stop(self, host_id, managed, shards, until, drain):
        wait_s = max(0.0, until - self._clock.now()) / 2 if drain else 0.0
        page = self._route_page(managed)
        req = HoldRequest(self._keeper.host_id, page, shards, wait_s)
        try:
            if host_id == self._keeper.host_id:
                reply = self.on_local_hold(req)
            else:
                reply = self._link.call(self._address(host_id), req, until)
        except PeerError:
            return False
        return reply.drained or not drain

    def _pause(self):
        self._clock.sleep_until(Instant(self._clock.now() + POLL_S))

    def _address(self, host_id) -> PeerAddress:
        record = self._keeper.member.directory.get(host_id)
        if record is None:
            raise PeerRefused(f"{host_id} has no record")
        return record.address
