"""The targets that may own keys, each with the granter that renews its grants."""

import logging
from collections.abc import Callable

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import GrantLeft
from persimmonspoke.internal.ranges.api import RangeOrders
from persimmonspoke.internal.ranges.connections import (
    OrderConnections,
    TargetConnections,
)
from persimmonspoke.internal.ranges.granter import Granter, Responsiveness
from persimmonspoke.internal.ranges.ledger import Ledger
from persimmonspoke.internal.ranges.order_history import address_fields
from persimmonspoke.internal.ranges.planner import EligibleTarget
from persimmonspoke.internal.ranges.ranges import MAX_KEY, MIN_KEY, KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.ranges.tasks import LeaderTasks
from persimmonspoke.internal.routing.config import TargetRecord, TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.paths import TargetPaths

log = logging.getLogger(__name__)

MAX_CONFIRMATION_AGE_S = 1.5  # exceeded after one missed confirmation
PROBE_PERIOD_S = 1.0  # between two probes of a silent target


class Granters:
    """All granters of a leader.

    Attributes
    ----------
    paths : TargetPaths
        This host's paths to the targets.
    reconcile_soon : callable
        Starts to reassign the keys of lost targets before the next period.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        leadership: Leadership,
        state: RoutingState,
        orders: RangeOrders,
        ledger: Ledger,
        tasks: LeaderTasks,
        paths: TargetPaths,
    ):
        self._cfg = cfg
        self._clock = clock
        self._leadership = leadership
        self._state = state
        self._connections = OrderConnections(
            orders, clock, leadership.check_led_at, ledger.unsent
        )
        self._tasks = tasks
        self.paths = paths
        self._granters: dict[tuple[ServiceId, TargetId], Granter] = {}
        self.ledger = ledger
        self.reconcile_soon: Callable[[], None] = lambda: None

    def reset(self) -> None:
        """Drop all granters, for a new epoch in which this host leads.

        What still runs for the epoch before then sends no more grants.
        """
        for granter in self._granters.values():
            granter.is_replaced = True
        self._granters = {}

    def close_connections(self) -> None:
        """Close all connections for orders, because this host no longer leads."""
        self._connections.close()

    # Methods that granters call.

    def connections(self, address: TargetAddress) -> TargetConnections:
        """Return the connections for orders to a target at an address."""
        return self._connections.to(address)

    def log_latest_orders(self, address: TargetAddress, reason: str) -> None:
        """Log the latest orders to a target at an address, if there were any."""
        connections = self._connections.find(address)
        if connections is not None:
            connections.history.write(reason)

    def check_lease(self) -> None:
        """Raise `AuthorityLapsed` unless this host may give orders now."""
        self._leadership.check()

    @property
    def lease_until(self) -> Instant:
        """End of this host's lease."""
        return self._leadership.lease_until

    def hold_s(self) -> float:
        """Return the length of the next grants; longer while the store is silent."""
        if self.store_is_reachable():
            return self._cfg.hold_s
        return self._cfg.outage_hold_s

    def store_is_reachable(self) -> bool:
        """Return whether the store has recently confirmed that this host leads."""
        lease_s = self._leadership.lease_until - self._clock.now()
        return lease_s >= self._leadership.lease_s - MAX_CONFIRMATION_AGE_S

    def on_first_grant(
        self, service: ServiceId, entry: KeyRange, order_fields: dict
    ) -> None:
        """Log that the owner of a range has confirmed its first grant."""
        log.info(
            "ranges: granted",
            extra={
                **order_fields,
                "service": service,
                "warm": entry.handover is not None,
                "epoch": self._leadership.epoch,
            },
        )

    # Methods that the keeper and the mover call.

    def find(self, service: ServiceId, target_id: TargetId) -> Granter | None:
        """Return a target's granter, or None if it has none."""
        return self._granters.get((service, target_id))

    def start_granters(self, service: ServiceId) -> None:
        """Start the granters of all targets that own keys of a service."""
        ranges = self.ledger.map(service)
        for target_id in ranges.owners() if ranges else ():
            record = self._state.targets.get(target_id)
            if record is not None and record.service == service:
                self.granter(record)

    def granter(self, record: TargetRecord) -> Granter:
        """Return the granter of a target; create and start it if necessary.

        A target at a new address, or one that has restarted, gets a new granter.
        """
        key = (record.service, record.target_id)
        granter = self._granters.get(key)
        address = TargetAddress(record.target_id, record.ip, record.port)
        restarted = granter is not None and granter.born_ms != record.born_ms
        if granter is None or granter.address != address or restarted:
            replaced = granter
            granter = Granter(self, record, address, self._cfg, self._clock)
            if replaced is not None:
                replaced.is_replaced = True
                granter.include_holds_of(replaced)
                self._log_replaced(replaced, granter)
            self._granters[key] = granter
        if not granter.running and granter.responsiveness is Responsiveness.ANSWERS:
            granter.running = True
            self._tasks.spawn(granter.run)
        return granter

    def address(self, service: ServiceId, target_id: TargetId) -> TargetAddress | None:
        """Return the address for orders to a target; None if it is not known."""
        granter = self.find(service, target_id)
        if granter is not None:
            return granter.address
        record = self._state.targets.get(target_id)
        if record is None:
            return None
        return TargetAddress(target_id, record.ip, record.port)

    def earlier_addresses(
        self, service: ServiceId, target_id: TargetId
    ) -> tuple[TargetAddress, ...]:
        """Return the earlier addresses of a target at which its keys may still be held.

        Another process may listen there now.
        """
        granter = self.find(service, target_id)
        return () if granter is None else granter.earlier_addresses()

    def held_until(self, service: ServiceId, target_id: TargetId) -> Instant:
        """Return until when a target that does not answer may hold keys.

        It may hold them by orders of this host or of a former leader.
        """
        until = self._leadership.former_orders_end_at
        granter = self.find(service, target_id)
        if granter is not None:
            until = max(until, granter.may_hold_until)
        former = self._leadership.former_grants_end_at.get(target_id)
        return until if former is None else max(until, former)

    def hold_fields(self, service: ServiceId, target_id: TargetId) -> dict:
        """Return the log fields of what `held_until` takes into account."""
        granter = self.find(service, target_id)
        own = None if granter is None else granter.may_hold_until
        former = self._leadership.former_grants_end_at.get(target_id)
        return {
            "own_grants_left_s": self._left_s(own),
            "former_grants_left_s": self._left_s(former),
            "former_leaders_left_s": self._left_s(
                self._leadership.former_orders_end_at
            ),
        }

    def _left_s(self, until):
        """Return the time left until a moment; None if it has passed or is unknown."""
        left_s = 0.0 if until is None else until - self._clock.now()
        return round(left_s, 3) if left_s > 0 else None

    def _log_replaced(self, replaced, granter):
        """Log that a target has a new entry, with the latest orders by the old one."""
        connections = self._connections.find(replaced.address)
        orders = (
            [] if connections is None else connections.history.rows(MIN_KEY, MAX_KEY)
        )
        log.info(
            "ranges: target has a new entry",
            extra={
                "service": granter.service,
                **address_fields(granter.address),
                "born_ms": granter.born_ms,
                "before_ip": replaced.address.ip,
                "before_port": replaced.address.port,
                "before_born_ms": replaced.born_ms,
                "orders": orders,
                "may_hold_for_s": self._left_s(granter.may_hold_until),
            },
        )

    def remaining_grants(self) -> tuple[GrantLeft, ...]:
        """Return the time left of each target's holds by orders of this host."""
        now = self._clock.now()
        return tuple(
            GrantLeft(granter.target_id, granter.may_hold_until - now)
            for granter in self._granters.values()
            if granter.may_hold_until > now
        )

    def record_answer(self, service: ServiceId, target_id: TargetId) -> None:
        """Record that a target has just answered an order."""
        granter = self.find(service, target_id)
        if granter is not None:
            granter.record_answer()

    def is_silent(self, service: ServiceId, target_id: TargetId) -> bool:
        """Return whether a target is known not to answer orders."""
        granter = self.find(service, target_id)
        return granter is not None and granter.responsiveness is Responsiveness.SILENT

    def may_receive_keys(self, record: TargetRecord) -> bool:
        """Return whether a target is ready and not silent."""
        silent = self.is_silent(record.service, record.target_id)
        return record.state is TargetState.READY and not silent

    def eligible_records(self, service: ServiceId) -> list[TargetRecord]:
        """Return the targets of a service that may receive keys, ordered by id."""
        return [
            record
            for _, record in sorted(self._state.targets.items())
            if record.service == service and self.may_receive_keys(record)
        ]

    def eligible_targets(self, service: ServiceId) -> tuple[EligibleTarget, ...]:
        """Return the targets that may receive keys, with their slots, ordered by id."""
        return tuple(
            EligibleTarget(r.target_id, r.slots) for r in self.eligible_records(service)
        )

    def probe_silent(self, service: ServiceId) -> None:
        """Probe silent targets that own no keys; drop those that no longer exist."""
        owners = self.ledger.map(service).owners()
        for (of_service, target_id), granter in list(self._granters.items()):
            if (
                of_service != service
                or granter.responsiveness is not Responsiveness.SILENT
            ):
                continue
            if target_id in owners:
                continue
            if target_id not in self._state.targets:
                del self._granters[of_service, target_id]
            elif self._clock.now() >= granter.next_probe_at:
                granter.next_probe_at = Instant(self._clock.now() + PROBE_PERIOD_S)
                self._tasks.spawn(granter.probe, self.ledger.next_fences())
