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
from persimmonspoke.internal.ownership.kept import KeptPage
from persimmonspoke.internal.ownership.lender import Lender
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
        lender: Lender,
        placement: Placement,
        clock: Clock,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._granters = granters
        self._lender = lender
        self._placement = placement
        self._timers = keeper.member.cfg.timers
        self._clock = clock
        self._tasks = tasks
        self._wishes: dict[ServiceKey, dict[ShardId, TargetId]] = {}

    def wish(self, service: ServiceKey, moves: dict[ShardId, TargetId]) -> None:
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
        for kept in self._keeper.open_pages():
            if kept.busy or now < kept.quiet_until:
                continue
            if not kept.settled() or self._fenced(kept) or self._unfit(kept):
                kept.busy = True
                self._tasks.spawn(self._look_after, kept)

    def _look_after(self, kept):
        try:
            with kept.lock:
                self._repair(kept)
        finally:
            kept.busy = False

    def _repair(self, kept):
        """Do the most urgent thing for one page."""
        if kept.closed:
            return
        if not kept.settled():
            self._keeper.commit(kept, kept.latest)
        if self._fenced(kept):
            self._raise_epoch(kept)
        lost = self._lost(kept)
        if lost:
            self._replace(kept, lost)
            return
        leaving = self._leaving(kept)
        if leaving:
            self._vacate(kept, min(leaving))
        else:
            self._fulfil(kept)

    def _vacate(self, kept, source):
        """Move shards away from a leaving target: fewer, and longer, if that fails."""
        shards = kept.owned_by((source,))
        batch = max(1, SHARDS_AT_ONCE >> (2 * kept.failures))
        first = kept.failures % len(shards)
        moves = self._choose(kept, (shards[first:] + shards[:first])[:batch])
        hold_s = min(LONGEST_HOLD_S, self._timers.hold_s * 2**kept.failures)
        done = self.move(kept, source, moves, Instant(self._clock.now() + hold_s))
        kept.failures = 0 if done else kept.failures + 1

    def _fulfil(self, kept):
        """Make the planned moves from one target, if there are any."""
        wished = self._wished(kept)
        if not wished:
            return
        if not self._keeper.store_has(kept, STORE_PATIENCE_S):
            # Such a move can wait.  Without the store it would hold requests longer.
            self._wishes[service_of(kept)] = {}
            return
        source = kept.page.assignment(min(wished)).owner
        moves = {
            shard: target
            for shard, target in wished.items()
            if kept.page.assignment(shard).owner == source
        }
        until = Instant(self._clock.now() + self._timers.hold_s)
        if not self.move(kept, source, moves, until):
            for shard in moves:
                self._wishes[service_of(kept)].pop(shard, None)

    def _wished(self, kept) -> dict[ShardId, TargetId]:
        """Return the planned moves that can be made on one page now."""
        service = service_of(kept)
        wishes = self._wishes.get(service)
        if not wishes:
            return {}
        able = {target.target_id for target in self._granters.candidates(service)}
        found = {}
        for shard in kept.page.shards():
            target = wishes.get(shard)
            owner = kept.page.assignment(shard).owner
            if target in able and target != owner and owner in able:
                found[shard] = target
        return found

    def _unfit(self, kept):
        """Return whether an owner should lose its shards, and another can have them."""
        service = service_of(kept)
        if not self._granters.candidates(service):
            return False
        return bool(self._lost(kept) or self._leaving(kept) or self._wished(kept))

    # Targets that have seen a later state.

    def _fenced(self, kept):
        return any(
            kept.page.key in granter.fenced
            for granter in self._granters.of(service_of(kept)).values()
        )

    def _raise_epoch(self, kept):
        """Go above the state that some target has seen.

        It can only come from a keeper before this one, whose last changes were lost.
        """
        page = kept.page.kept_by(self._keeper.host_id, FENCED_EPOCH_STEP)
        self._keeper.commit(kept, page)
        for granter in self._granters.of(service_of(kept)).values():
            granter.fenced.discard(kept.page.key)

    # Lost targets.

    def _lost(self, kept) -> frozenset[TargetId]:
        """Return the owners whose grants surely are over."""
        return frozenset(owner for owner in kept.owners() if self._is_lost(kept, owner))

    def _is_lost(self, kept, owner):
        if owner == NO_TARGET:
            return True
        granter = self._granters.get(service_of(kept), owner)
        if granter is None:
            return kept.lapsed(owner, self._clock.now())
        if granter.state is TargetState.SUSPECT:
            return kept.lapsed(owner, self._clock.now())
        return granter.state is TargetState.DEAD

    def _replace(self, kept, lost):
        """Give all shards of lost targets to others, by one change of the page."""
        shards = kept.owned_by(lost)
        if not self._granters.candidates(service_of(kept)):
            return
        try:
            kept.held.update(shards)
            if not self._cut_off(kept, lost, shards):
                return
            # Time has passed; a target may have come back, and then keeps its own.
            moves = self._choose(kept, kept.owned_by(lost & self._lost(kept)))
            if moves:
                self._change_owners(kept, moves)
        finally:
            self._keeper.unhold(kept, shards)

    def _cut_off(self, kept, lost, shards):
        """Return whether no host sends requests to lost targets any more.

        A target that checks the fence refuses them by itself.  What is in hand at a
        silent target that does not check has to end first; a dead one has nothing
        in hand.
        """
        while lost & self._lost(kept) == lost:
            loose = [owner for owner in lost if not self._checks(kept, owner)]
            if not loose:
                return True
            self._keeper.hold(kept, shards)
            until = Instant(self._clock.now() + self._timers.hold_s)
            drain = any(not self._is_dead(kept, owner) for owner in loose)
            if self._lender.stop(kept, shards, until, drain):
                return True
        return False

    def _is_dead(self, kept, owner):
        granter = self._granters.get(service_of(kept), owner)
        return granter is not None and granter.state is TargetState.DEAD

    def _checks(self, kept, owner):
        granter = self._granters.get(service_of(kept), owner)
        return granter is None or granter.cfg.checks_fence

    # Planned moves.

    def _leaving(self, kept) -> frozenset[TargetId]:
        """Return the owners that are to lose their shards though they live."""
        service = service_of(kept)
        leaving = self._granters.leaving(service) & kept.owners()
        return frozenset(
            owner
            for owner in leaving
            if self._granters.get(service, owner).state is TargetState.ALIVE
        )

    def move(
        self,
        kept: KeptPage,
        source: TargetId,
        moves: dict[ShardId, TargetId],
        until: Instant,
    ) -> bool:
        """Move shards away from `source`, which lives, without failing a request.

        The caller holds the page's lock.  Requests wait until `until` at most.
        Returns whether the shards moved; if not, `source` still owns them.
        """
        granter = self._granters.get(service_of(kept), source)
        shards = tuple(moves)
        if not moves or granter is None:
            return False
        kept.moving.update(shards)
        earlier = kept.open_orders(source)
        self._keeper.hold(kept, shards)
        try:
            if not self._freed(kept, granter, shards, earlier, until):
                return False
            self._change_owners(kept, moves)
        finally:
            self._keeper.unhold(kept, shards)
        return True

    def _freed(self, kept, granter: Granter, shards, earlier, until):
        """Return whether the target has ended its work and takes no more."""
        target_id = granter.cfg.target_id
        if not granter.cfg.checks_fence and not self._lender.stop(
            kept, shards, until, drain=True
        ):
            return False
        # An order that is still on its way could arrive after the release and
        # grant the shards again.
        while kept.may_arrive(target_id, earlier, self._clock.now()):
            if self._clock.now() > until:
                return False
            self._clock.sleep_until(Instant(self._clock.now() + STEP_S))
        try:
            granter.release(kept, shards, until)
        except TargetError as exc:
            _LOG.info(
                "moves: a release failed",
                extra={"target": target_id, "cause": repr(exc)},
            )
            return not granter.cfg.checks_fence
        return True

    # Both.

    def _choose(self, kept, shards):
        service = service_of(kept)
        owned = Counter()
        for other in self._keeper.open_pages():
            if service_of(other) == service:
                owned.update(entry.owner for entry in other.page.assignments)
        targets = self._granters.candidates(service)
        return self._placement.choose(shards, targets, owned)

    def _change_owners(self, kept, moves):
        if not self._keeper.member.holds_lease():
            raise AuthorityLapsed("no moves without a lease")
        self._keeper.commit(kept, kept.page.moved(moves))
        kept.moving.difference_update(moves)
        self._granters.grant_owners(kept, sorted(set(moves.values())))
        _LOG.info(
            "moves: owners changed",
            extra={"page": kept.page.key.path(), "shards": len(moves)},
        )
