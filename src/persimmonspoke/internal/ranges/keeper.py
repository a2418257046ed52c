"""The leader's control loop over key ranges: grants, moves, and lost targets."""

import logging
from collections.abc import Callable

from persimmonspoke.errors import AuthorityLapsed, NoOwnerYet, StoreError
from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import HostReport, RangeTable, TableChange
from persimmonspoke.internal.ranges.api import RangeOrders
from persimmonspoke.internal.ranges.evacuator import Evacuator
from persimmonspoke.internal.ranges.first_deal import plan_correction, speeds_are_known
from persimmonspoke.internal.ranges.granters import Granters
from persimmonspoke.internal.ranges.idle_ranges import plan_merges
from persimmonspoke.internal.ranges.lasting_loads import LastingLoads
from persimmonspoke.internal.ranges.ledger import Ledger, Transfer
from persimmonspoke.internal.ranges.load_view import LoadView
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.mover import Mover
from persimmonspoke.internal.ranges.planner import (
    KEY_COUNT,
    PlannedMove,
    utilisation_by_target,
)
from persimmonspoke.internal.ranges.ranges import RangeMap, divide_evenly
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.ranges.speeds import TargetSpeeds
from persimmonspoke.internal.ranges.spread import plan_spread
from persimmonspoke.internal.ranges.tasks import LeaderTasks
from persimmonspoke.internal.ranges.uneven_load import plan_uneven_load
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import MAX_REREGISTRATION_S, RoutingState
from persimmonspoke.internal.targets.paths import TargetPaths
from persimmonspoke.internal.targets.warmups import Warmups, no_warmups

log = logging.getLogger(__name__)

RECONCILE_PERIOD_S = 0.1


class Keeper:
    """Assigns each key of every divided service to one target, while its host leads.

    Parameters
    ----------
    publish : callable
        Sends a change of the range table to all hosts, this one included.
    paths : TargetPaths
        This host's paths to the targets.  While they are cut nothing shows which
        targets are lost, so owners keep their keys.
    warmups : Warmups
        The cold targets, which get keys only for the requests that they may get.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        leadership: Leadership,
        state: RoutingState,
        orders: RangeOrders,
        publish: Callable[[TableChange], None],
        paths: TargetPaths,
        warmups: Warmups | None = None,
    ):
        warmups = no_warmups(clock) if warmups is None else warmups
        self._cfg = cfg
        self._paths = paths
        self._clock = clock
        self._leadership = leadership
        self._state = state
        self.speeds = TargetSpeeds()
        self._loads = Loads(cfg.load_s, self.speeds, warmups.limit_per_s)
        self._burst_loads = Loads(cfg.burst_s, self.speeds, warmups.limit_per_s)
        shorter = self._burst_loads, self._loads
        self._lasting_loads = LastingLoads(
            cfg.lasting_s, self.speeds, shorter, warmups.limit_per_s
        )
        self._all_loads = *shorter, self._lasting_loads
        self._uncorrected: set[ServiceId] = set()
        self._tasks = LeaderTasks()
        self.ledger = Ledger(clock, leadership, publish)
        self.granters = Granters(
            cfg, clock, leadership, state, orders, self.ledger, self._tasks, paths
        )
        self.granters.reconcile_soon = self._reconcile_soon
        self._mover = Mover(
            cfg,
            clock,
            state,
            self.ledger,
            self.granters,
            self._loads,
            warmups,
        )
        self._evacuator = Evacuator(
            cfg,
            clock,
            state,
            self.ledger,
            self.granters,
            self._mover,
            self._loads,
            self._tasks,
        )
        self._leading_since: Instant | None = None
        self._eligible_since: dict[ServiceId, tuple[frozenset[TargetId], Instant]] = {}
        self._next_rebalance_at = clock.now()
        self._resolving: set[ServiceId] = set()
        leadership.max_grant_s = cfg.max_duration_s(cfg.outage_hold_s)
        leadership.on_takeover = self._on_takeover
        leadership.on_stop = self.stop
        leadership.remaining_grants = self.granters.remaining_grants

    @property
    def moves(self) -> int:
        """Number of planned moves carried out so far."""
        return self._mover.moves

    @property
    def moved_share(self) -> float:
        """Keys that planned moves have given to other owners, over all keys."""
        return self._mover.moved_keys / KEY_COUNT

    def busiest_over_mean(self) -> float:
        """Return the highest utilisation of a target over the mean of its service.

        It is the highest of all services, and 0 on a host that does not lead.
        """
        if not self._leadership.leading:
            return 0.0
        found = [
            max(rates.values()) * len(rates) / total
            for rates in self.utilisation().values()
            if (total := sum(rates.values())) > 0
        ]
        return max(found, default=0.0)

    def on_report(self, report: HostReport) -> None:
        """Add the load that a host measured, and renew the grants of refusing owners.

        An owner that refuses a request under the current fence does not hold the key.
        """
        self.speeds.add(report.work, report.work_by_kind)
        for loads in self._all_loads:
            loads.add(report.loads, report.work)
        for service, key, fence in report.refused:
            ranges = self.ledger.map(service)
            if ranges is None:
                continue
            entry = ranges.find(key)
            granter = self.granters.find(service, entry.owner)
            if granter is not None and entry.fence == fence:
                granter.wake()

    def table(self) -> RangeTable:
        """Return the current range table."""
        return self.ledger.table()

    def utilisation(self) -> dict[ServiceId, dict[TargetId, float]]:
        """Return the utilisation of each target, by service; for metrics and dumps."""
        return {
            service: utilisation_by_target(
                service, ranges, self.granters.eligible_targets(service), self._loads
            )
            for service in self._state.divided_services()
            if (ranges := self.ledger.map(service)) is not None
        }

    def stop(self) -> None:
        """End all tasks and transfers, because this host no longer leads."""
        self._tasks.end_all()
        self.granters.close_connections()
        self.ledger.clear_transfers()

    def _on_takeover(self):
        self._leading_since = self._clock.now()
        self._eligible_since = {}
        self._uncorrected = set()
        self.granters.reset()
        self._evacuator.reset()
        self._resolving = set()
        for service in self._leadership.ownership.services:
            if not self._is_unresolved(service):
                self.granters.start_granters(service)
        self.ledger.reset()
        self._tasks.spawn(self._run)

    def _run(self):
        plan_at = self._clock.now()
        while self._leadership.leading:
            self._reconcile()
            if self._clock.now() >= plan_at:
                plan_at = self._clock.now() + self._cfg.plan_s
                self._plan()
            self._clock.sleep_until(Instant(self._clock.now() + RECONCILE_PERIOD_S))

    def _resolve_owners(self, service):
        """Take back the keys of a service before any is granted.

        The ownership is an older copy, so any target may hold any key.
        """
        try:
            self._wait_for_registrations()
            self._mover.resolve_owners(service)
            divided = self._state.divided_services()
            self._leadership.commit(lambda known: known.with_resolved(service, divided))
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: owners not resolved",
                extra={"service": service, "reason": repr(exc)},
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
        finally:
            # Unless it is resolved, the next round starts again.
            self._resolving.discard(service)

    def _is_unresolved(self, service):
        """Return whether keys of a service may have other owners than are known."""
        resolved = self._leadership.ownership.resolved
        return resolved is not None and service not in resolved

    def _wait_for_registrations(self):
        """Wait until all living targets have registered again."""
        restored_at = self._state.restored_at()
        since = self._leading_since if restored_at is None else restored_at
        self._clock.sleep_until(Instant(since + MAX_REREGISTRATION_S))

    def _reconcile_soon(self):
        self._tasks.spawn(self._reconcile)

    def _reconcile(self):
        """Start grants of owned keys, and reassign keys that must change their grant.

        These are the keys of targets that are leaving, deregistered or silent, or that
        have restarted.
        """
        if not self._leadership.leading or self._paths.is_cut:
            return
        for service in self._state.divided_services():
            if self._is_unresolved(service):
                if service not in self._resolving:
                    self._resolving.add(service)
                    self._tasks.spawn(self._resolve_owners, service)
                continue
            ranges = self.ledger.map(service)
            if ranges is None:
                self._assign_all(service)
                continue
            self.granters.start_granters(service)
            self.granters.probe_silent(service)
            for target_id in ranges.owners():
                self._reconcile_target(service, target_id)
            self._evacuator.start_transfers(service)

    def _reconcile_target(self, service, target_id):
        """Evacuate the ranges that a target must no longer own."""
        entries = self.ledger.map(service).owned_by(target_id)
        to_move = [entry for entry in entries if self._must_move(service, entry)]
        startable = [
            entry for entry in to_move if not self.ledger.in_transfer(service, entry)
        ]
        if not startable:
            return
        transfers = [Transfer(service, entry.first, entry.last) for entry in startable]
        self.ledger.begin_transfers(transfers)
        self._tasks.spawn(
            self._mover.evacuate, service, target_id, startable, transfers
        )

    def _must_move(self, service, entry):
        """Return whether a range must be granted anew, to its owner or to another."""
        record = self._state.targets.get(entry.owner)
        if self.granters.is_silent(service, entry.owner):
            return True
        removed = record is None or record.service != service
        restarted = not removed and record.born_ms != entry.born_ms
        if removed or restarted or record.state is TargetState.LEAVING:
            # Without the store no new owner can be committed, so the owner stays.
            return self.granters.store_is_reachable()
        return False

    def _assign_all(self, service):
        """Divide all keys of a service among its targets for the first time."""
        eligible = self.granters.eligible_records(service)
        if not eligible or not self._registrations_settled(service, eligible):
            return
        owners = [(record.target_id, record.born_ms) for record in eligible]
        first = self.ledger.next_fences(len(owners))
        ranges = RangeMap(divide_evenly(owners, first))
        try:
            self.ledger.commit_ranges(service, ranges)
        except (StoreError, AuthorityLapsed) as exc:
            log.warning("ranges: keys not dealt out", extra={"reason": repr(exc)})
            return
        log.info(
            "ranges: keys dealt out",
            extra={"service": service, "targets": len(eligible)},
        )
        self._uncorrected.add(service)
        self.granters.start_granters(service)

    def _registrations_settled(self, service, eligible):
        """Return whether the set of eligible targets has been stable for `settle_s`.

        It also counts as settled after `settle_most_s` of leading.
        """
        now = self._clock.now()
        current = frozenset(record.target_id for record in eligible)
        before, since = self._eligible_since.get(service, (None, now))
        if current != before:
            self._eligible_since[service] = (current, since := now)
        waited_s = now - self._leading_since
        return now - since >= self._cfg.settle_s or waited_s >= self._cfg.settle_most_s

    def _plan(self):
        """Start moves that balance the load of the targets.

        None start while the store is silent, since they could not be committed, nor
        while this host's paths are cut.
        """
        for loads in (self._burst_loads, self._loads):
            loads.decay(self._clock.now())
        if self._paths.is_cut or not self.granters.store_is_reachable():
            return
        rebalance = self._clock.now() >= self._next_rebalance_at
        if rebalance:
            self._next_rebalance_at = Instant(self._clock.now() + self._cfg.even_s)
            # It has many keys, so it is brought up to date only where it is used.
            self._lasting_loads.decay(self._clock.now())
        for service in self._state.divided_services():
            ranges = self.ledger.map(service)
            if self._is_unresolved(service):
                continue
            if ranges is not None:
                plans = self._next_plans(service, ranges, rebalance)
                for plan in plans:
                    self.start_move(service, plan, len(plans) > 1)

    def _next_plans(self, service, ranges, rebalance) -> list[PlannedMove]:
        """Return the moves to start now; those that are ready together share a commit.

        Moves that relieve overloaded targets come first.  If there are none and
        `rebalance` is set, return those that even out the load or merge ranges.
        """
        transfers = self.ledger.transfers_of(service)
        if len(transfers) >= self._cfg.moves:
            return []
        eligible = self.granters.eligible_targets(service)
        transferring = self.ledger.transferring_targets(service)
        moving = [(t.first, t.last) for t in transfers]
        arguments = service, ranges, eligible
        busy = transferring, moving
        if service in self._uncorrected:
            plans = self._correct_first_deal(*arguments, *busy)
            if plans:
                return plans
        plans = plan_spread(*arguments, self._burst_loads, *busy, self._loads)
        plans = plans or plan_spread(*arguments, self._loads, *busy)
        if plans or not rebalance:
            return plans or []
        return plan_uneven_load(
            *arguments, self._lasting_loads, *busy, self._loads
        ) or plan_merges(*arguments, self._loads, *busy)

    def _correct_first_deal(
        self, service, ranges, eligible, transferring, moving
    ) -> list[PlannedMove]:
        """Return the moves that deal keys by speed, once the speeds are known."""
        names = tuple(target.target_id for target in eligible)
        if not speeds_are_known(self.speeds, names):
            return []
        self._uncorrected.discard(service)
        view = LoadView(service, ranges, eligible, self._loads, transferring, moving)
        return plan_correction(view, self.speeds)

    def start_move(
        self, service: ServiceId, plan: PlannedMove, shares_commit: bool = False
    ) -> None:
        """Start a planned move in a task, if the owners of the service are known.

        Parameters
        ----------
        shares_commit : bool
            Whether other moves start at the same time, which can share a write.
        """
        if self._is_unresolved(service):
            return
        transfer = Transfer(
            service, plan.piece.first, plan.piece.last, frozenset(plan.receivers)
        )
        self.ledger.begin_transfers([transfer])
        self._tasks.spawn(self._mover.move, service, transfer, plan, shares_commit)
