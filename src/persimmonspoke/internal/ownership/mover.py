"""Giving shards to other owners: after a loss, and as planned."""

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

PERIOD_S = 0.05
STEP_S = 0.02
FENCED_EPOCH_STEP = 1000
SHARDS_AT_ONCE = 64
LONGEST_HOLD_S = 16.0
STORE_PATIENCE_S = 0.1


class Mover:
    """Looks after the owners of all pages that this host keeps."""

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
        self._wishes: dict[ServiceKey, dict[ShardId, TargetId]] = {}

    def set_planned_moves(
        self, service: ServiceKey, moves: dict[ShardId, TargetId]
    ) -> None:
        """Plan these moves of a service's shards, in place of what was planned.

        Shards on pages of other keepers are left to those.
        """
        self._wishes[service] = dict(moves)

    def start(self) -> None:
        """Begin to look after the pages."""
        self._tasks.every(PERIOD_S, self._look_after_all)

    def _look_after_all(self):
        if not self._keeper.member.holds_lease():
            return
        now = self._clock.now()
        for managed in self._keeper.open_pages():
            if managed.busy or now < managed.no_grants_before:
                continue
            if (
                not managed.latest_in_force()
                or self._fenced(managed)
                or self._unfit(managed)
            ):
                managed.busy = True
                self._tasks.spawn(self._look_after, managed)

    def _look_after(self, managed):
        try:
            with managed.lock:
                self._repair(managed)
        finally:
            managed.busy = False

    def _repair(self, managed):
        """Do the most urgent thing for one page."""
        if managed.closed:
            return
        if not managed.latest_in_force():
            self._keeper.commit(managed, managed.latest)
        if self._fenced(managed):
            self._raise_epoch(managed)
        lost = self._lost(managed)
        if lost:
            self._replace(managed, lost)
            return
        leaving = self._leaving(managed)
        if leaving:
            self._vacate(managed, min(leaving))
        else:
            self._fulfil(managed)

    def _vacate(self, managed, source):
        """Move shards away from a leaving target: fewer, and longer, if that fails."""
        shards = managed.owned_by((source,))
        batch = max(1, SHARDS_AT_ONCE >> (2 * managed.failures))
        first = managed.failures % len(shards)
        moves = self._choose(managed, (shards[first:] + shards[:first])[:batch])
        hold_s = min(LONGEST_HOLD_S, self._timers.hold_s * 2**managed.failures)
        done = self.move(managed, source, moves, Instant(self._clock.now() + hold_s))
        managed.failures = 0 if done else managed.failures + 1

    def _fulfil(self, managed):
        """Make the planned moves from one target, if there are any."""
        wished = self._wished(managed)
        if not wished:
            return
        if not self._keeper.is_current_in_store(managed, STORE_PATIENCE_S):
            # Such a move can wait.  Without the store it would hold requests longer.
            self._wishes[service_of(managed)] = {}
            return
        source = managed.page.assignment(min(wished)).owner
        moves = {
            shard: target
            for shard, target in wished.items()
            if managed.page.assignment(shard).owner == source
        }
        until = Instant(self._clock.now() + self._timers.hold_s)
        if not self.move(managed, source, moves, until):
            for shard in moves:
                self._wishes[service_of(managed)].pop(shard, None)

    def _wished(self, managed) -> dict[ShardId, TargetId]:
        """Return the planned moves that can be made on one page now."""
        service = service_of(managed)
        wishes = self._wishes.get(service)
        if not wishes:
            return {}
        able = {target.target_id for target in self._granters.candidates(service)}
        found = {}
        for shard in managed.page.shards():
            target = wishes.get(shard)
            owner = managed.page.assignment(shard).owner
            if target in able and target != owner and owner in able:
                found[shard] = target
        return found

    def _unfit(self, managed):
        """Return whether an owner should lose its shards, and another can have them."""
        service = service_of(managed)
        if not self._granters.candidates(service):
            return False
        return bool(
            self._lost(managed) or self._leaving(managed) or self._wished(managed)
        )

    # Targets that have seen a later state.

    def _fenced(self, managed):
        return any(
            managed.page.key in granter.fenced
            for granter in self._granters.of(service_of(managed)).values()
        )

    def _raise_epoch(self, managed):
        """Go above the state that some target has seen.

        It can only come from a keeper before this one, whose last changes were lost.
        """
        page = managed.page.with_keeper(self._keeper.host_id, FENCED_EPOCH_STEP)
        self._keeper.commit(managed, page)
        for granter in self._granters.of(service_of(managed)).values():
            granter.fenced.discard(managed.page.key)

    # Lost targets.

    def _lost(self, managed) -> frozenset[TargetId]:
        """Return the owners whose grants surely are over."""
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

    def _replace(self, managed, lost):
        """Give all shards of lost targets to others, by one change of the page."""
        shards = managed.owned_by(lost)
        if not self._granters.candidates(service_of(managed)):
            return
        try:
            managed.held.update(shards)
            if not self._cut_off(managed, lost, shards):
                return
            # Time has passed; a target may have come back, and then keeps its own.
            moves = self._choose(managed, managed.owned_by(lost & self._lost(managed)))
            if moves:
                self._change_owners(managed, moves)
        finally:
            self._keeper.unhold(managed, shards)

    def _cut_off(self, managed, lost, shards):
        """Return whether no host sends requests to lost targets any more.

        A target that checks the fence refuses them by itself.  What is in hand at a
        silent target that does not check has to end first; a dead one has nothing
        in hand.
        """
        while lost & self._lost(managed) == lost:
            loose = [owner for owner in lost if not self._checks(managed, owner)]
            if not loose:
                return True
            self._keeper.hold(managed, shards)
            until = Instant(self._clock.now() + self._timers.hold_s)
            drain = any(not self._is_dead(managed, owner) for owner in loose)
            if self._route_server.stop(managed, shards, until, drain):
                return True
        return False

    def _is_dead(self, managed, owner):
        granter = self._granters.get(service_of(managed), owner)
        return granter is not None and granter.state is TargetState.DEAD

    def _checks(self, managed, owner):
        granter = self._granters.get(service_of(managed), owner)
        return granter is None or granter.cfg.checks_fence

    # Planned moves.

    def _leaving(self, managed) -> frozenset[TargetId]:
        """Return the owners that are to lose their shards though they live."""
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
        """Move shards away from `source`, which lives, without failing a request.

        The caller holds the page's lock.  Requests wait until `until` at most.
        Returns whether the shards moved; if not, `source` still owns them.
        """
        granter = self._granters.get(service_of(managed), source)
        shards = tuple(moves)
        if not moves or granter is None:
            return False
        managed.moving.update(shards)
        earlier = managed.open_orders(source)
        self._keeper.hold(managed, shards)
        try:
            if not self._freed(managed, granter, shards, earlier, until):
                return False
            self._change_owners(managed, moves)
        finally:
            self._keeper.unhold(managed, shards)
        return True

    def _freed(self, managed, granter: Granter, shards, earlier, until):
        """Return whether the target has ended its work and takes no more."""
        target_id = granter.cfg.target_id
        if not granter.cfg.checks_fence and not self._route_server.stop(
            managed, shards, until, drain=True
        ):
            return False
        # An order that is still on its way could arrive after the release and
        # grant the shards again.
        while managed.may_arrive(target_id, earlier, self._clock.now()):
            if self._clock.now() > until:
                return False
            self._clock.sleep_until(Instant(self._clock.now() + STEP_S))
        try:
            granter.release(managed, shards, until)
        except TargetError as exc:
            _LOG.info(
                "moves: a release failed",
                extra={"target": target_id, "cause": repr(exc)},
            )
            return not granter.cfg.checks_fence
        return True

    # Both.

    def _choose(self, managed, shards):
        service = service_of(managed)
        owned = Counter()
        for other in self._keeper.open_pages():
            if service_of(other) == service:
                owned.update(entry.owner for entry in other.page.assignments)
        targets = self._granters.candidates(service)
        return self._placement.choose(shards, targets, owned)

    def _change_owners(self, managed, moves):
        if not self._keeper.member.holds_lease():
            raise AuthorityLapsed("no moves without a lease")
        self._keeper.commit(managed, managed.page.with_owners(moves))
        managed.moving.difference_update(moves)
        self._granters.grant_owners(managed, sorted(set(moves.values())))
        _LOG.info(
            "moves: owners changed",
            extra={"page": managed.page.key.path(), "shards": len(moves)},
        )
