"""The leader's work on key ranges: grants, planned moves, and keys of lost targets."""

import logging
from collections.abc import Callable

from persimmonspoke.errors import AuthorityLapsed, StoreError
from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import HostReport, RangeTable, TableChange
from persimmonspoke.internal.ranges.api import RangeOrders
from persimmonspoke.internal.ranges.granters import Granters
from persimmonspoke.internal.ranges.ledger import Hold, Ledger
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.mover import Mover
from persimmonspoke.internal.ranges.planner import (
    PlannedMove,
    plan_merge,
    plan_move,
    utilisations,
)
from persimmonspoke.internal.ranges.ranges import RangeMap, divide_evenly
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.ranges.spread import plan_spread
from persimmonspoke.internal.ranges.tasks import LeaderTasks
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState

log = logging.getLogger(__name__)

TEND_S = 0.1


class Keeper:
    """Keeps every key of every divided service with one target, while it leads.

    Parameters
    ----------
    publish : callable
        Tells all hosts, this one included, what has changed in the table.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        leadership: Leadership,
        state: RoutingState,
        orders: RangeOrders,
        publish: Callable[[TableChange], None],
    ):
        self._cfg = cfg
        self._clock = clock
        self._leadership = leadership
        self._state = state
        self._loads = Loads(cfg.load_s)
        self._recent = Loads(cfg.burst_s)
        self._tasks = LeaderTasks()
        self.ledger = Ledger(clock, leadership, publish)
        self.granters = Granters(
            cfg, clock, leadership, state, orders, self.ledger, self._tasks
        )
        self.granters.tend_soon = self._tend_soon
        self._mover = Mover(
            cfg, clock, state, orders, self.ledger, self.granters, self._loads
        )
        self._began_at: Instant | None = None
        self._registered: dict[ServiceId, tuple[frozenset[TargetId], Instant]] = {}
        self._even_at = clock.now()
        leadership.longest_grant_s = cfg.longest(cfg.outage_hold_s)
        leadership.on_lead = self._on_lead
        leadership.on_stop = self.stop
        leadership.grants_left = self.granters.grants_left

    @property
    def moves(self) -> int:
        """Planned moves carried out so far."""
        return self._mover.moves

    def on_report(self, report: HostReport) -> None:
        """Take in what a host measured."""
        for loads in (self._loads, self._recent):
            loads.add(report.loads, report.work)
        for service, key, fence in report.refused:
            ranges = self.ledger.map(service)
            if ranges is None:
                continue
            entry = ranges.of(key)
            granter = self.granters.of(service, entry.owner)
            if granter is not None and entry.fence == fence:
                granter.wake()

    def table(self) -> RangeTable:
        """Return who owns which keys now."""
        return self.ledger.table()

    def busy(self) -> dict[ServiceId, dict[TargetId, float]]:
        """Return each target's utilisation, for the metrics and the dump."""
        return {
            service: utilisations(
                service, ranges, self.granters.seats(service), self._loads
            )
            for service in self._state.divided_services()
            if (ranges := self.ledger.map(service)) is not None
        }

    def stop(self) -> None:
        """End all work, because the lead is over."""
        self._tasks.end_all()
        self.ledger.end()

    def _on_lead(self):
        self._began_at = self._clock.now()
        self._registered = {}
        self.granters.begin()
        for service in self._leadership.ownership.services:
            self.granters.start(service)
        self.ledger.begin()
        self._tasks.spawn(self._run)

    def _run(self):
        plan_at = self._clock.now()
        while self._leadership.leading:
            self._tend()
            if self._clock.now() >= plan_at:
                plan_at = self._clock.now() + self._cfg.plan_s
                self._plan()
            self._clock.sleep_until(Instant(self._clock.now() + TEND_S))

    def _tend_soon(self):
        self._tasks.spawn(self._tend)

    def _tend(self):
        """Take keys back from targets that are leaving, gone or silent."""
        if not self._leadership.leading:
            return
        for service in self._state.divided_services():
            ranges = self.ledger.map(service)
            if ranges is None:
                self._deal_out(service)
                continue
            self.granters.start(service)
            self.granters.probe_silent(service)
            for target_id in ranges.owners():
                self._tend_target(service, target_id)

    def _tend_target(self, service, target_id):
        """Move all that a target owns, if it must not own it any more."""
        entries = self.ledger.map(service).owned_by(target_id)
        must = [entry for entry in entries if self._must_move(service, entry)]
        free = [entry for entry in must if not self.ledger.is_held(service, entry)]
        if not free:
            return
        holds = [Hold(service, entry.first, entry.last) for entry in free]
        self.ledger.hold(holds)
        self._tasks.spawn(self._mover.evacuate, service, target_id, free, holds)

    def _must_move(self, service, entry):
        record = self._state.targets.get(entry.owner)
        if record is not None and record.born_ms != entry.born_ms:
            return True
        if self.granters.is_silent(service, entry.owner):
            return True
        gone = record is None or record.service != service
        if gone or record.state is TargetState.LEAVING:
            # No new owner can be written down, so the present one had better stay.
            return self.granters.store_answers()
        return False

    def _deal_out(self, service):
        """Give all keys of a service to its targets for the first time."""
        ready = self.granters.ready(service)
        if not ready or not self._has_settled(service, ready):
            return
        owners = [(record.target_id, record.born_ms) for record in ready]
        first = self.ledger.next_fences(len(owners))
        ranges = RangeMap(divide_evenly(owners, first))
        try:
            self.ledger.commit_map(service, ranges)
        except (StoreError, AuthorityLapsed) as exc:
            log.warning("ranges: keys not dealt out", extra={"reason": repr(exc)})
            return
        log.info(
            "ranges: keys dealt out",
            extra={"service": service, "targets": len(ready)},
        )
        self.granters.start(service)

    def _has_settled(self, service, ready):
        """Return whether no more targets register, or keys have waited for long."""
        now = self._clock.now()
        known = frozenset(record.target_id for record in ready)
        before, since = self._registered.get(service, (None, now))
        if known != before:
            self._registered[service] = (known, since := now)
        waited_s = now - self._began_at
        return now - since >= self._cfg.settle_s or waited_s >= self._cfg.settle_most_s

    def _plan(self):
        """Even out the targets' load by planned moves."""
        for loads in (self._loads, self._recent):
            loads.decay(self._clock.now())
        if not self.granters.store_answers():
            return
        even = self._clock.now() >= self._even_at
        if even:
            self._even_at = Instant(self._clock.now() + self._cfg.even_s)
        for service in self._state.divided_services():
            ranges = self.ledger.map(service)
            for _ in range(self._cfg.moves):
                if len(self.ledger.holds_of(service)) >= self._cfg.moves:
                    break
                plan = self._next_plan(service, ranges, even) if ranges else None
                if plan is None:
                    break
                self.start_move(service, plan)

    def _next_plan(self, service, ranges, even) -> PlannedMove | None:
        """Return the move that is worth most; an urgent one, unless `even`."""
        seats = self.granters.seats(service)
        closed = self.ledger.occupied(service)
        held = [(h.first, h.last) for h in self.ledger.holds_of(service)]
        urgent = plan_spread(
            service, ranges, seats, self._recent, closed, held
        ) or plan_spread(service, ranges, seats, self._loads, closed, held)
        if urgent is not None or not even:
            return urgent
        return plan_move(
            service, ranges, seats, self._loads, closed, held
        ) or plan_merge(service, ranges, seats, self._loads, closed, held)

    def start_move(self, service: ServiceId, plan: PlannedMove) -> None:
        """Carry out a planned move in a task of its own."""
        hold = Hold(service, plan.piece.first, plan.piece.last, frozenset(plan.takers))
        self.ledger.hold([hold])
        self._tasks.spawn(self._mover.move, service, hold, plan)
