"""Moves of shards to other owners: away from lost or leaving targets, or as planned."""

import logging
from collections import Counter

from persimmonspoke.errors import AuthorityLapsed, TargetError
from persimmonspoke.ids import Instant, ShardId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.configs import ServiceKey
from persimmonspoke.internal.ownership.granter import Granter, TargetState
from persimmonspoke.internal.ownership.granters import Granters, service_of
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.ownership.lender import RouteServer
from persimmonspoke.internal.ownership.page import NO_TARGET
from persimmonspoke.internal.ownership.spread import Placement

_LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.05
POLL_S = 0.02
FENCED_EPOCH_STEP = 1000
MAX_SHARDS_PER_MOVE = 64
MAX_HOLD_S = 16.0
STORE_TIMEOUT_S = 0.1


class Mover:
    """Changes the owners of shards, on all pages that this host keeps."""

    def __init__(
        self,
        keeper: Keeper,
        granters: Granters,
        route_server: RouteServer,
        placement: Placement,
        clock: Clock,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._granters = granters
        self._route_server = route_server
        self._placement = placement
        self._timers = keeper.member.cfg.timers
        self._clock = clock
        self._tasks = tasks
        self._planned_moves: dict[ServiceKey, dict[ShardId, TargetId]] = {}

    def set_planned_moves(
        self, service: ServiceKey, moves: dict[ShardId, TargetId]
    ) -> None:
        """Set the planned moves of a service's shards, replacing the previous ones.

        Moves of shards on other keepers' pages are ignored here.
        """
        self._planned_moves[service] = dict(moves)

    def start(self) -> None:
        """Start to check the pages periodically."""
        self._tasks.every(CHECK_PERIOD_S, self._check_all)

    def _check_all(self):
        if not self._keeper.member.holds_lease():
            return
        now = self._clock.now()
        for managed in self._keeper.open_pages():
            if managed.busy or now < managed.no_grants_before:
                continue
            if (
                not managed.latest_in_force()
                or self._fenced(managed)
                or self._needs_moves(managed)
            ):
                managed.busy = True
                self._tasks.spawn(self._run_repair, managed)

    def _run_repair(self, managed):
        try:
            with managed.lock:
                self._repair(managed)
        finally:
            managed.busy = False

    def _repair(self, managed):
        """Make the most urgent change of one page."""
        if managed.closed:
            return
        if not managed.latest_in_force():
            self._keeper.commit(managed, managed.latest)
        if self._fenced(managed):
            self._raise_epoch(managed)
        lost = self._lost_owners(managed)
        if lost:
            self._replace_owners(managed, lost)
            return
        leaving = self._leaving_owners(managed)
        if leaving:
            self._move_from_leaving(managed, min(leaving))
        else:
            self._make_planned_moves(managed)

    def _move_from_leaving(self, managed, source):
        """Move shards away from a leaving target.

        After each failure the next attempt moves fewer shards, other ones first, and
        may hold their requests for longer.
        """
        shards = managed.owned_by((source,))
        batch = max(1, MAX_SHARDS_PER_MOVE >> (2 * managed.failed_moves))
        first = managed.failed_moves % len(shards)
        moves = self._choose_owners(managed, (shards[first:] + shards[:first])[:batch])
        hold_s = min(MAX_HOLD_S, self._timers.hold_s * 2**managed.failed_moves)
        done = self.move(managed, source, moves, Instant(self._clock.now() + hold_s))
        managed.failed_moves = 0 if done else managed.failed_moves + 1

    def _make_planned_moves(self, managed):
        """Make the planned moves away from one target, if there are any."""
        feasible = self._feasible_moves(managed)
        if not feasible:
            return
        if not self._keeper.is_current_in_store(managed, STORE_TIMEOUT_S):
            # Planned moves can wait; without the store they would hold requests longer.
            self._planned_moves[service_of(managed)] = {}
            return
        source = managed.page.assignment(min(feasible)).owner
        moves = {
            shard: target
            for shard, target in feasible.items()
            if managed.page.assignment(shard).owner == source
        }
        until = Instant(self._clock.now() + self._timers.hold_s)
        if not self.move(managed, source, moves, until):
            for shard in moves:
                self._planned_moves[service_of(managed)].pop(shard, None)

    def _feasible_moves(self, managed) -> dict[ShardId, TargetId]:
        """Return the planned moves of a page between targets that are available."""
        service = service_of(managed)
        planned = self._planned_moves.get(service)
        if not planned:
            return {}
        available = {target.target_id for target in self._granters.candidates(service)}
        found = {}
        for shard in managed.page.shards():
            target = planned.get(shard)
            owner = managed.page.assignment(shard).owner
            if target in available and target != owner and owner in available:
                found[shard] = target
        return found

    def _needs_moves(self, managed):
        """Return whether shards of the page should move and a target can take them."""
        service = service_of(managed)
        if not self._granters.candidates(service):
            return False
        return bool(
            self._lost_owners(managed)
            or self._leaving_owners(managed)
            or self._feasible_moves(managed)
        )

    # Pages of which a target has seen a later epoch.

    def _fenced(self, managed):
        """Return whether a target has refused an order for the page as outdated."""
        return any(
            managed.page.key in granter.fenced
            for granter in self._granters.for_service(service_of(managed)).values()
        )

    def _raise_epoch(self, managed):
        """Raise the epoch of a page above the one that a target has seen.

        That epoch can only come from an earlier keeper whose last changes were lost.
        """
        page = managed.page.with_keeper(self._keeper.host_id, FENCED_EPOCH_STEP)
        self._keeper.commit(managed, page)
        for granter in self._granters.for_service(service_of(managed)).values():
            granter.fenced.discard(managed.page.key)

    # Replacement of lost owners.

    def _lost_owners(self, managed) -> frozenset[TargetId]:
        """Return the owners that are lost: none of their grants can still be valid."""
        return frozenset(
            owner for owner in managed.owners() if self._is_lost(managed, owner)
        )

    def _is_lost(self, managed, owner):
        if owner == NO_TARGET:
            return True
        granter = self._granters.get(service_of(managed), owner)
        if granter is None:
            return managed.lapsed(owner, self._clock.now())
        if granter.state is TargetState.SUSPECT:
            return managed.lapsed(owner, self._clock.now())
        return granter.state is TargetState.DEAD

    def _replace_owners(self, managed, lost):
        """Move all shards of lost targets to others, in one change of the page."""
        shards = managed.owned_by(lost)
        if not self._granters.candidates(service_of(managed)):
            return
        try:
            managed.held.update(shards)
            if not self._stop_requests(managed, lost, shards):
                return
            # A target that has come back in the meantime keeps its shards.
            moves = self._choose_owners(
                managed, managed.owned_by(lost & self._lost_owners(managed))
            )
            if moves:
                self._change_owners(managed, moves)
        finally:
            self._keeper.unhold(managed, shards)

    def _stop_requests(self, managed, lost, shards):
        """Stop all requests to lost targets; return whether they have stopped.

        A target that checks the fence refuses requests by itself.  Requests in flight
        to a silent target that does not check must end first; a dead target runs none.
        Returns False if one of the targets is no longer lost.
        """
        while lost & self._lost_owners(managed) == lost:
            unchecked = [
                owner for owner in lost if not self._checks_fence(managed, owner)
            ]
            if not unchecked:
                return True
            self._keeper.hold(managed, shards)
            until = Instant(self._clock.now() + self._timers.hold_s)
            drain = any(not self._is_dead(managed, owner) for owner in unchecked)
            if self._route_server.stop_requests(managed, shards, until, drain):
                return True
        return False

    def _is_dead(self, managed, owner):
        granter = self._granters.get(service_of(managed), owner)
        return granter is not None and granter.state is TargetState.DEAD

    def _checks_fence(self, managed, owner):
        granter = self._granters.get(service_of(managed), owner)
        return granter is None or granter.cfg.checks_fence

    # Moves away from owners that are alive.

    def _leaving_owners(self, managed) -> frozenset[TargetId]:
        """Return the owners that are alive but drained or no longer configured."""
        service = service_of(managed)
        leaving = self._granters.leaving(service) & managed.owners()
        return frozenset(
            owner
            for owner in leaving
            if self._granters.get(service, owner).state is TargetState.ALIVE
        )

    def move(
        self,
        managed: ManagedPage,
        source: TargetId,
        moves: dict[ShardId, TargetId],
        until: Instant,
    ) -> bool:
        """Move shards away from the live target `source` without failing requests.

        The caller must hold the page's lock.  Requests are held until `until` at most.
        Returns whether the shards moved; if not, `source` still owns them.
        """
        granter = self._granters.get(service_of(managed), source)
        shards = tuple(moves)
        if not moves or granter is None:
            return False
        managed.moving.update(shards)
        earlier_orders = managed.open_orders(source)
        self._keeper.hold(managed, shards)
        try:
            if not self._free_shards(managed, granter, shards, earlier_orders, until):
                return False
            self._change_owners(managed, moves)
        finally:
            self._keeper.unhold(managed, shards)
        return True

    def _free_shards(self, managed, granter: Granter, shards, earlier_orders, until):
        """Take shards from their target; return whether their requests have ended."""
        target_id = granter.cfg.target_id
        if not granter.cfg.checks_fence and not self._route_server.stop_requests(
            managed, shards, until, drain=True
        ):
            return False
        # An unanswered grant order could arrive after the release and grant the
        # shards again.
        while managed.may_arrive(target_id, earlier_orders, self._clock.now()):
            if self._clock.now() > until:
                return False
            self._clock.sleep_until(Instant(self._clock.now() + POLL_S))
        try:
            granter.release(managed, shards, until)
        except TargetError as exc:
            _LOG.info(
                "moves: a release failed",
                extra={"target": target_id, "cause": repr(exc)},
            )
            return not granter.cfg.checks_fence
        return True

    # Steps that all changes of owners share.

    def _choose_owners(self, managed, shards):
        service = service_of(managed)
        owned = Counter()
        for other in self._keeper.open_pages():
            if service_of(other) == service:
                owned.update(entry.owner for entry in other.page.assignments)
        targets = self._granters.candidates(service)
        return self._placement.choose(shards, targets, owned)

    def _change_owners(self, managed, moves):
        if not self._keeper.member.holds_lease():
            raise AuthorityLapsed("this host holds no lease and may not move shards")
        self._keeper.commit(managed, managed.page.with_owners(moves))
        managed.moving.difference_update(moves)
        self._granters.grant_owners(managed, sorted(set(moves.values())))
        _LOG.info(
            "moves: owners changed",
            extra={"page": managed.page.key.path(), "shards": len(moves)},
        )
