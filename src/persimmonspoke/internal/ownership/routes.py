"""The routes that this host holds, learned from all keepers."""

import logging
from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager

import eventlet
import eventlet.event
import xxhash

from persimmonspoke.errors import NoOwnerYet, PeerError
from persimmonspoke.ids import (
    Epoch,
    HostId,
    Instant,
    KeyText,
    PageId,
    ServiceId,
    ShardId,
    TargetId,
    TeamId,
)
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.member import Member
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.api import Route
from persimmonspoke.internal.ownership.configs import Configs
from persimmonspoke.internal.ownership.lender import RouteServer
from persimmonspoke.internal.ownership.messages import (
    HoldReply,
    HoldRequest,
    RouteNotice,
    RouteNoticeReply,
    RoutePage,
    RouteRequest,
)
from persimmonspoke.internal.ownership.page import PageKey
from persimmonspoke.internal.ownership.takeover import Takeover
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.questionnaire.configuration import ServiceConfig
from persimmonspoke.internal.targets.request_api import NOT_RUN_ERRORS

_LOG = logging.getLogger(__name__)

LONG_AGO = Instant(float("-inf"))
STEP_S = 0.02
REFRESH_STEP_S = 0.05
IDLE_REFRESH_S = 10.0
ASK_S = 0.2


def shard_of(service: ServiceConfig, key: KeyText) -> ShardId:
    """Return the shard of `key`."""
    return ShardId(xxhash.xxh64_intdigest(key) % service.shard_count)


class _KeeperView:
    """What this host knows of one keeper: how far it has read, and its lease."""

    def __init__(self):
        self.change = 0
        self.lease_end = LONG_AGO
        self.asked_at = LONG_AGO
        self.answered_at = LONG_AGO
        self.asking = False
        self.silent = False


class RouteTable:
    """Implements `persimmonspoke.internal.ownership.api.Routes`.

    Attributes
    ----------
    on_request : callable
        Told the route of each request that begins.
    """

    def __init__(
        self,
        member: Member,
        route_server: RouteServer,
        takeover: Takeover,
        configs: Configs,
        clock: Clock,
        link: PeerLink,
        tasks: Tasks,
    ):
        self._member = member
        self._route_server = route_server
        self._takeover = takeover
        self._configs = configs
        self._timers = member.cfg.timers
        self._clock = clock
        self._link = link
        self._tasks = tasks
        self._pages: dict[PageKey, RoutePage] = {}
        self._keepers: dict[HostId, _KeeperView] = {}
        self._refused: dict[tuple[PageKey, ShardId], tuple[Epoch, Instant]] = {}
        self._in_flight: Counter = Counter()
        self._doubts: dict[
            tuple[PageKey, ShardId], tuple[Epoch, TargetId, Instant]
        ] = {}
        self._learned = 0
        self._known_at: tuple = ()
        self._keeper_ids: set[HostId] = set()
        self._urgent: set[HostId] = set()
        self._changed = eventlet.event.Event()
        self.on_request: Callable[[Route], None] = lambda route: None
        route_server.on_local_notice = self._noticed
        route_server.on_local_hold = self._hold

    def start(self) -> None:
        """Begin to ask keepers and to listen to them."""
        self._link.serve(RouteNotice, self._noticed)
        self._link.serve(HoldRequest, self._hold)
        self._tasks.every(REFRESH_STEP_S, self._refresh)

    # Routes for requests.

    def find(self, team: TeamId, service: ServiceConfig, key: KeyText) -> Route:
        """Return the route of `key`, or raise `NoOwnerYet`."""
        shard = shard_of(service, key)
        page_key = PageKey(
            team, service.service, PageId(shard // service.shards_per_page)
        )
        entry = self._entry(page_key)
        if entry is None or shard not in entry.page.shards():
            raise NoOwnerYet(f"{page_key.path()} is not known yet")
        assignment = entry.page.assignment(shard)
        for target in service.targets:
            if target.target_id == assignment.owner:
                route = Route(page_key, shard, assignment.epoch, target)
                self._check(route, entry)
                return route
        raise NoOwnerYet(f"shard {shard} of {page_key.path()} has no owner")

    def wait(
        self, team: TeamId, service: ServiceConfig, key: KeyText, deadline: Instant
    ) -> Route:
        """Return the route of `key` as soon as there is one, or raise `NoOwnerYet`."""
        while True:
            try:
                return self.find(team, service, key)
            except NoOwnerYet:
                remaining_s = deadline - self._clock.now()
                if remaining_s <= 0:
                    raise
                with eventlet.Timeout(min(remaining_s, STEP_S), False):
                    self._changed.wait()

    def may_send(self, route: Route) -> bool:
        """Return whether `route` still holds; asked just before the first byte."""
        entry = self._entry(route.page)
        if entry is None or entry.page.assignment(route.shard).epoch != route.epoch:
            return False
        try:
            self._check(route, entry)
        except NoOwnerYet:
            return False
        return True

    def refused(self, route: Route) -> None:
        """Take note that the target does not own the route's shard; ask the keeper."""
        place = (route.page, route.shard)
        self._refused[place] = (route.epoch, self._clock.now())
        entry = self._entry(route.page)
        if entry is not None:
            self._view(entry.page.keeper).asked_at = LONG_AGO

    @contextmanager
    def in_flight(self, route: Route):
        """Count one request on the route's shard for as long as the context lasts."""
        self.on_request(route)
        place = (route.page, route.shard)
        began = self._clock.now()
        self._in_flight[place] += 1
        try:
            yield
            self._settle_doubts(route.target.target_id, began)
        except NOT_RUN_ERRORS:
            raise
        except BaseException:
            if not route.target.checks_fence:
                owner = route.target.target_id
                self._doubts[place] = (route.epoch, owner, self._clock.now())
            raise
        finally:
            self._in_flight[place] -= 1
            if not self._in_flight[place]:
                del self._in_flight[place]

    def _settle_doubts(self, target_id, began):
        """Forget doubts that are older than a request which the target answered.

        A request without an answer may wait in a frozen target and run when the
        target returns.  Once that target answers a later one, the wait is over.
        """
        for place, (_, owner, at) in list(self._doubts.items()):
            if owner == target_id and at <= began:
                del self._doubts[place]

    def _check(self, route, entry):
        """Raise `NoOwnerYet` if no request may be sent on `route` now."""
        if not self._member.holds_lease():
            raise NoOwnerYet("this host has no lease")
        if route.shard in entry.held:
            raise NoOwnerYet(f"shard {route.shard} is being moved")
        if self._is_refused(route, entry):
            raise NoOwnerYet(f"the owner of shard {route.shard} has not got it yet")
        if not route.target.checks_fence and not self._is_lent(entry):
            raise NoOwnerYet("the routes to this target are not confirmed")

    def _is_lent(self, entry):
        return self._clock.now() < self._view(entry.page.keeper).lease_end

    def _is_refused(self, route, entry):
        """Return whether the keeper has not been heard since the target refused."""
        epoch, at = self._refused.get((route.page, route.shard), (Epoch(-1), LONG_AGO))
        return epoch == route.epoch and self._view(entry.page.keeper).answered_at <= at

    def _entry(self, key) -> RoutePage | None:
        """Return the newest state of a page, from its keeper or from the store."""
        entry = self._pages.get(key)
        stored = self._takeover.stored_pages().get(key)
        if stored is not None and (entry is None or entry.page.epoch < stored[0].epoch):
            return RoutePage(stored[0], 0, ())
        return entry

    def keeper_of(self, key: PageKey) -> HostId | None:
        """Return the keeper of a page, as far as it is known."""
        entry = self._entry(key)
        return entry.page.keeper if entry is not None else None

    def owners(self, team: TeamId, service: ServiceId) -> dict[ShardId, TargetId]:
        """Return the owner of each shard of a service, as far as it is known."""
        stored = self._takeover.stored_pages()
        found = {}
        for key in {*self._pages, *stored}:
            if (key.team, key.service) != (team, service):
                continue
            page = self._entry(key).page
            for shard, entry in zip(page.shards(), page.assignments, strict=True):
                found[ShardId(shard)] = entry.owner
        return found

    # Learning from keepers.

    def _view(self, keeper) -> _KeeperView:
        return self._keepers.setdefault(keeper, _KeeperView())

    def _refresh(self):
        """Ask each keeper whose turn it is."""
        now = self._clock.now()
        for keeper in self._all_keepers():
            view = self._view(keeper)
            if view.asking or now < view.asked_at + self._period_s(keeper, view):
                continue
            view.asking = True
            view.asked_at = now
            self._tasks.spawn(self._ask, keeper, view)

    def _period_s(self, keeper, view):
        """Return how often to ask a keeper.

        Where all targets check the fence, routes need no lease: keepers tell about
        changes by themselves, and a target refuses what a host has missed.
        """
        if view.silent or keeper in self._urgent:
            return self._timers.route_refresh_s
        return IDLE_REFRESH_S

    def _all_keepers(self):
        """Return all hosts that may keep pages, with the successors of silent ones."""
        known_at = (self._learned, *self._member.directory.version())
        if known_at != self._known_at:
            self._known_at = known_at
            self._survey()
        keepers = set(self._keeper_ids)
        for keeper in self._keeper_ids:
            if self._view(keeper).silent:
                record = self._member.directory.get(keeper)
                if record is not None and record.successor:
                    keepers.add(record.successor)
        return keepers

    def _survey(self):
        """Find all keepers, and those whose routes are needed fresh."""
        pages = {key: page for key, (page, _) in self._takeover.stored_pages().items()}
        urgent = set()
        for key, entry in self._pages.items():
            if key not in pages or pages[key].epoch <= entry.page.epoch:
                pages[key] = entry.page
                if entry.held:
                    urgent.add(entry.page.keeper)
        strict = self._strict_services()
        for key, page in pages.items():
            if (key.team, key.service) in strict:
                urgent.add(page.keeper)
        self._urgent = urgent
        self._keeper_ids = {page.keeper for page in pages.values()}
        self._keeper_ids.add(self._member.host_id)

    def _strict_services(self):
        """Return the services that have a target which does not check the fence."""
        return {
            key
            for key, service in self._configs.divided().items()
            if not all(target.checks_fence for target in service.targets)
        }

    def _ask(self, keeper, view):
        asked_at = self._clock.now()
        req = RouteRequest(self._member.host_id, view.change)
        deadline = Instant(asked_at + ASK_S)
        try:
            if keeper == self._member.host_id:
                reply = self._route_server.serve_routes(req)
            else:
                record = self._member.directory.get(keeper)
                if record is None or record.revoked:
                    view.silent = True
                    return
                reply = self._link.call(record.address, req, deadline)
        except PeerError:
            view.silent = True
            return
        finally:
            view.asking = False
        view.silent = False
        for entry in reply.pages:
            self._learn(entry)
        view.change = max(view.change, reply.change)
        view.lease_end = max(view.lease_end, asked_at + self._timers.route_lease_s)
        view.answered_at = asked_at
        self._wake()

    def _noticed(self, notice: RouteNotice) -> RouteNoticeReply:
        self._view(notice.keeper)
        for entry in notice.pages:
            self._learn(entry)
        self._wake()
        return RouteNoticeReply()

    def _learn(self, entry):
        """Take in a page, unless what is known is newer."""
        known = self._pages.get(entry.page.key)
        if known is not None and _age(known) >= _age(entry):
            return
        self._pages[entry.page.key] = entry
        self._learned += 1

    def _wake(self):
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()

    # Stopping for a move.

    def _hold(self, req: HoldRequest) -> HoldReply:
        """Stop sending on the shards, and wait for what is in hand."""
        self._learn(req.page)
        until = Instant(self._clock.now() + req.wait_s)
        places = [(req.page.page.key, shard) for shard in req.shards]
        while self._clock.now() < until and self._any_in_flight(places):
            self._clock.sleep_until(Instant(self._clock.now() + STEP_S / 4))
        return HoldReply(not self._any_in_flight(places))

    def _any_in_flight(self, places):
        return any(
            place in self._in_flight or self._in_doubt(*place) for place in places
        )

    def _in_doubt(self, page_key, shard):
        """Return whether the shard's owner may yet run a request without an answer."""
        entry = self._entry(page_key)
        epoch, _, _ = self._doubts.get((page_key, shard), (None, None, None))
        return entry is not None and entry.page.assignment(shard).epoch == epoch


def _age(entry):
    """Order the states of one page; one keeper may change it within an epoch."""
    return entry.page.epoch, entry.change
