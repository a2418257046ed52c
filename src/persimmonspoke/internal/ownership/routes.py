"""The routes that this host holds, received from all keepers."""

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
POLL_S = 0.02
REFRESH_CHECK_S = 0.05
IDLE_REFRESH_S = 10.0
ASK_TIMEOUT_S = 0.2


def shard_of(service: ServiceConfig, key: KeyText) -> ShardId:
    """Return the shard of `key`."""
    return ShardId(xxhash.xxh64_intdigest(key) % service.shard_count)


class _KeeperView:
    """What this host knows about one keeper.

    Attributes
    ----------
    change : int
        Change number of the keeper up to which this host has its pages.
    lease_end : Instant
        End of the lease for the keeper's routes.
    asked_at, answered_at : Instant
        When the last request, and the last answered request, was sent.
    asking : bool
        Whether a request is in flight.
    silent : bool
        Whether the last request was not answered.
    """

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
        Called with the route of each request that begins.
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
        self._unanswered: dict[
            tuple[PageKey, ShardId], tuple[Epoch, TargetId, Instant]
        ] = {}
        self._page_updates = 0
        self._keepers_version: tuple = ()
        self._keeper_ids: set[HostId] = set()
        self._frequent_keepers: set[HostId] = set()
        self._changed = eventlet.event.Event()
        self.on_request: Callable[[Route], None] = lambda route: None
        route_server.on_local_notice = self._on_notice
        route_server.on_local_hold = self._on_hold

    def start(self) -> None:
        """Start to ask keepers for routes and to serve their notices."""
        self._link.serve(RouteNotice, self._on_notice)
        self._link.serve(HoldRequest, self._on_hold)
        self._tasks.every(REFRESH_CHECK_S, self._refresh)

    # Routes for requests, and counts of requests in flight.

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
                self._raise_if_unusable(route, entry)
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
                with eventlet.Timeout(min(remaining_s, POLL_S), False):
                    self._changed.wait()

    def may_send(self, route: Route) -> bool:
        """Return whether `route` is still valid; called just before the first byte."""
        entry = self._entry(route.page)
        if entry is None or entry.page.assignment(route.shard).epoch != route.epoch:
            return False
        try:
            self._raise_if_unusable(route, entry)
        except NoOwnerYet:
            return False
        return True

    def report_refusal(self, route: Route) -> None:
        """Record that the target refused the route's shard; ask the keeper soon."""
        shard_key = (route.page, route.shard)
        self._refused[shard_key] = (route.epoch, self._clock.now())
        entry = self._entry(route.page)
        if entry is not None:
            self._view(entry.page.keeper).asked_at = LONG_AGO

    @contextmanager
    def in_flight(self, route: Route):
        """Count one request as in flight on the route's shard within the context."""
        self.on_request(route)
        shard_key = (route.page, route.shard)
        began = self._clock.now()
        self._in_flight[shard_key] += 1
        try:
            yield
            self._clear_unanswered(route.target.target_id, began)
        except NOT_RUN_ERRORS:
            raise
        except BaseException:
            if not route.target.checks_fence:
                owner = route.target.target_id
                self._unanswered[shard_key] = (route.epoch, owner, self._clock.now())
            raise
        finally:
            self._in_flight[shard_key] -= 1
            if not self._in_flight[shard_key]:
                del self._in_flight[shard_key]

    def _clear_unanswered(self, target_id, began):
        """Discard unanswered requests that ended before an answered one began.

        A request without an answer may wait in a frozen target and run when the
        target resumes.  It cannot run any more once that target has answered a
        later request.
        """
        for shard_key, (_, owner, at) in list(self._unanswered.items()):
            if owner == target_id and at <= began:
                del self._unanswered[shard_key]

    def _raise_if_unusable(self, route, entry):
        """Raise `NoOwnerYet` if no request may be sent on `route` now."""
        if not self._member.holds_lease():
            raise NoOwnerYet("this host has no lease")
        if route.shard in entry.held:
            raise NoOwnerYet(f"shard {route.shard} is being moved")
        if self._is_refused(route, entry):
            raise NoOwnerYet(f"the owner of shard {route.shard} has not got it yet")
        if not route.target.checks_fence and not self._has_route_lease(entry):
            raise NoOwnerYet("the routes to this target are not confirmed")

    def _has_route_lease(self, entry):
        return self._clock.now() < self._view(entry.page.keeper).lease_end

    def _is_refused(self, route, entry):
        """Return whether a refusal of the route by its target still counts.

        It counts until the keeper has answered a request that was sent after it.
        """
        epoch, at = self._refused.get((route.page, route.shard), (Epoch(-1), LONG_AGO))
        return epoch == route.epoch and self._view(entry.page.keeper).answered_at <= at

    def _entry(self, key) -> RoutePage | None:
        """Return the latest known state of a page, from its keeper or the store."""
        entry = self._pages.get(key)
        stored = self._takeover.stored_pages().get(key)
        if stored is not None and (entry is None or entry.page.epoch < stored[0].epoch):
            return RoutePage(stored[0], 0, ())
        return entry

    def keeper_of(self, key: PageKey) -> HostId | None:
        """Return the keeper of a page, or None if it is not known."""
        entry = self._entry(key)
        return entry.page.keeper if entry is not None else None

    def owners(self, team: TeamId, service: ServiceId) -> dict[ShardId, TargetId]:
        """Return the known owner of each shard of a service."""
        stored = self._takeover.stored_pages()
        found = {}
        for key in {*self._pages, *stored}:
            if (key.team, key.service) != (team, service):
                continue
            page = self._entry(key).page
            for shard, entry in zip(page.shards(), page.assignments, strict=True):
                found[ShardId(shard)] = entry.owner
        return found

    # Requests for routes, and notices from keepers.

    def _view(self, keeper) -> _KeeperView:
        return self._keepers.setdefault(keeper, _KeeperView())

    def _refresh(self):
        """Ask each keeper whose refresh period has passed."""
        now = self._clock.now()
        for keeper in self._all_keepers():
            view = self._view(keeper)
            if view.asking or now < view.asked_at + self._period_s(keeper, view):
                continue
            view.asking = True
            view.asked_at = now
            self._tasks.spawn(self._ask, keeper, view)

    def _period_s(self, keeper, view):
        """Return the period at which to ask a keeper.

        Where all targets check the fence, routes need no lease and are refreshed only
        every `IDLE_REFRESH_S`: keepers send notices of changes, and a target refuses a
        request that relies on a route whose change the host has missed.
        """
        if view.silent or keeper in self._frequent_keepers:
            return self._timers.route_refresh_s
        return IDLE_REFRESH_S

    def _all_keepers(self):
        """Return this host and the known keepers, and the successors of silent ones."""
        known_version = (self._page_updates, *self._member.directory.version())
        if known_version != self._keepers_version:
            self._keepers_version = known_version
            self._find_keepers()
        keepers = set(self._keeper_ids)
        for keeper in self._keeper_ids:
            if self._view(keeper).silent:
                record = self._member.directory.get(keeper)
                if record is not None and record.successor:
                    keepers.add(record.successor)
        return keepers

    def _find_keepers(self):
        """Determine all keepers, and those whose routes must be refreshed often."""
        pages = {key: page for key, (page, _) in self._takeover.stored_pages().items()}
        frequent = set()
        for key, entry in self._pages.items():
            if key not in pages or pages[key].epoch <= entry.page.epoch:
                pages[key] = entry.page
                if entry.held:
                    frequent.add(entry.page.keeper)
        unchecked = self._unchecked_services()
        for key, page in pages.items():
            if (key.team, key.service) in unchecked:
                frequent.add(page.keeper)
        self._frequent_keepers = frequent
        self._keeper_ids = {page.keeper for page in pages.values()}
        self._keeper_ids.add(self._member.host_id)

    def _unchecked_services(self):
        """Return the services that have a target which does not check the fence."""
        return {
            key
            for key, service in self._configs.divided().items()
            if not all(target.checks_fence for target in service.targets)
        }

    def _ask(self, keeper, view):
        """Ask one keeper for its changed pages and a renewal of the route lease."""
        asked_at = self._clock.now()
        req = RouteRequest(self._member.host_id, view.change)
        deadline = Instant(asked_at + ASK_TIMEOUT_S)
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
            self._update_page(entry)
        view.change = max(view.change, reply.change)
        view.lease_end = max(view.lease_end, asked_at + self._timers.route_lease_s)
        view.answered_at = asked_at
        self._wake_waiters()

    def _on_notice(self, notice: RouteNotice) -> RouteNoticeReply:
        self._view(notice.keeper)
        for entry in notice.pages:
            self._update_page(entry)
        self._wake_waiters()
        return RouteNoticeReply()

    def _update_page(self, entry):
        """Replace the known state of a page by `entry` if that is newer."""
        known = self._pages.get(entry.page.key)
        if known is not None and _version_key(known) >= _version_key(entry):
            return
        self._pages[entry.page.key] = entry
        self._page_updates += 1

    def _wake_waiters(self):
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()

    # Holding requests during a move.

    def _on_hold(self, req: HoldRequest) -> HoldReply:
        """Stop sending requests for the shards, and wait for those in flight."""
        self._update_page(req.page)
        until = Instant(self._clock.now() + req.wait_s)
        shard_keys = [(req.page.page.key, shard) for shard in req.shards]
        while self._clock.now() < until and self._any_in_flight(shard_keys):
            self._clock.sleep_until(Instant(self._clock.now() + POLL_S / 4))
        return HoldReply(not self._any_in_flight(shard_keys))

    def _any_in_flight(self, shard_keys):
        return any(
            shard_key in self._in_flight or self._may_still_run(*shard_key)
            for shard_key in shard_keys
        )

    def _may_still_run(self, page_key, shard):
        """Return whether the shard's owner may still run an unanswered request."""
        entry = self._entry(page_key)
        epoch, _, _ = self._unanswered.get((page_key, shard), (None, None, None))
        return entry is not None and entry.page.assignment(shard).epoch == epoch


def _version_key(entry):
    """Return the sort key of a page's states; the epoch alone is not unique.

    A keeper can change the held shards of a page without a new epoch.
    """
    return entry.page.epoch, entry.change
