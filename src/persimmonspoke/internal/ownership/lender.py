"""The keeper's end of routes: lending them, and calling them back."""

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

STEP_S = 0.02
NOTICE_S = 0.2


class RouteServer:
    """Lends the routes of the pages that this host keeps.

    Attributes
    ----------
    lent : dict of HostId to Instant
        By host, the instant at which its last route lease surely has lapsed.
    """

    def __init__(self, keeper: Keeper, clock: Clock, link: PeerLink, tasks: Tasks):
        self.lent: dict[HostId, Instant] = {}
        self.on_local_notice = lambda notice: None
        self.on_local_hold = lambda req: False
        self._keeper = keeper
        self._timers = keeper.member.cfg.timers
        self._clock = clock
        self._link = link
        self._tasks = tasks
        keeper.on_change = self._publish_soon

    def start(self) -> None:
        """Begin to answer other hosts."""
        self._link.serve(RouteRequest, self.serve_routes)

    def serve_routes(self, req: RouteRequest) -> RouteReply:
        """Answer with the changed pages, and so lend all routes for one lease."""
        if not self._keeper.member.holds_lease():
            raise PeerRefused("no routes without a lease")
        now = self._clock.now()
        until = Instant(now + self._timers.longest(self._timers.route_lease_s))
        self.lent[req.asker] = max(until, self.lent.get(req.asker, until))
        pages = tuple(
            self._route_page(managed)
            for managed in self._keeper.open_pages()
            if managed.change > req.since
        )
        return RouteReply(self._keeper.change, pages)

    def _route_page(self, managed):
        return RoutePage(managed.page, managed.change, tuple(sorted(managed.held)))

    # News of changes.

    def _publish_soon(self, managed):
        self._tasks.spawn(self._publish, managed)

    def _publish(self, managed):
        """Tell all hosts about a changed page; who misses it asks soon anyway."""
        notice = RouteNotice(self._keeper.host_id, (self._route_page(managed),))
        self.on_local_notice(notice)
        for record in self._keeper.member.directory.unrevoked():
            if record.host_id != self._keeper.host_id:
                self._tasks.spawn(self._notify, record.address, notice)

    def _notify(self, address, notice):
        deadline = Instant(self._clock.now() + NOTICE_S)
        try:
            self._link.call(address, notice, deadline)
        except PeerError:
            return

    # Calling routes back.

    def stop(
        self,
        managed: ManagedPage,
        shards: tuple[ShardId, ...],
        until: Instant,
        drain: bool,
    ) -> bool:
        """Stop all hosts from sending on `shards`, which must be held already.

        Returns whether, by `until`, each host that holds routes has confirmed that
        it stopped, or its route lease has lapsed.  With `drain`, a host must have
        nothing in hand any more either.
        """
        stopped = self._tasks.gather(
            lambda host: self._stop_host(host, managed, shards, until, drain),
            tuple(self.lent),
        )
        while self._clock.now() < min(managed.inherited_routes_until, until):
            self._pause()
        return all(stopped) and self._clock.now() >= managed.inherited_routes_until

    def _stop_host(self, host_id, managed, shards, until, drain):
        while self._clock.now() < until:
            if self._gone(host_id) or self._confirms(
                host_id, managed, shards, until, drain
            ):
                return True
            self._pause()
        return self._gone(host_id)

    def _gone(self, host_id):
        """Return whether the host surely sends nothing on routes of this keeper."""
        if host_id in self._keeper.member.directory.dead:
            return True
        return self._clock.now() > self.lent[host_id]

    def _confirms(self, host_id, managed, shards, until, drain):
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
        self._clock.sleep_until(Instant(self._clock.now() + STEP_S))

    def _address(self, host_id) -> PeerAddress:
        record = self._keeper.member.directory.get(host_id)
        if record is None:
            raise PeerRefused(f"{host_id} has no record")
        return record.address
