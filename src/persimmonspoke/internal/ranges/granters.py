"""The targets that may own keys, each with the granter that renews its holds."""

import logging
from collections.abc import Callable

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import GrantLeft
from persimmonspoke.internal.ranges.api import RangeOrders
from persimmonspoke.internal.ranges.granter import Granter, Trust
from persimmonspoke.internal.ranges.ledger import Ledger
from persimmonspoke.internal.ranges.planner import Seat
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.ranges.tasks import LeaderTasks
from persimmonspoke.internal.routing.config import TargetRecord, TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.api import TargetAddress

log = logging.getLogger(__name__)

STORE_SILENT_S = 1.5  # one confirmation missed
PROBE_S = 1.0  # between two questions to a silent target


class Granters:
    """All granters of a leader, and what they ask it.

    Attributes
    ----------
    tend_soon : callable
        Has lost targets looked after without waiting for the next turn.
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
    ):
        self._cfg = cfg
        self._clock = clock
        self._leadership = leadership
        self._state = state
        self._orders = orders
        self._tasks = tasks
        self._granters: dict[tuple[ServiceId, TargetId], Granter] = {}
        self.ledger = ledger
        self.tend_soon: Callable[[], None] = lambda: None

    def begin(self) -> None:
        """Start anew, as the leader of a new epoch."""
        self._granters = {}

    # What granters ask.

    def check_lease(self) -> None:
        """Raise `AuthorityLapsed` unless this host may order now."""
        self._leadership.check()

    def hold_s(self) -> float:
        """Return how long the next grants should last."""
        if self.store_answers():
            return self._cfg.hold_s
        return self._cfg.outage_hold_s

    def store_answers(self) -> bool:
        """Return whether the store has confirmed this host's lead of late."""
        lease_s = self._leadership.lease_until - self._clock.now()
        return lease_s >= self._leadership.lease_s - STORE_SILENT_S

    def opened(self, service: ServiceId, entry: KeyRange) -> None:
        """Take note that the owner has confirmed its first grant of a range."""
        log.info(
            "ranges: granted",
            extra={
                "service": service,
                "target": entry.owner,
                "first": entry.first,
                "last": entry.last,
                "fence": entry.fence,
                "warm": entry.handover is not None,
                "epoch": self._leadership.epoch,
            },
        )

    # What the keeper and the mover ask.

    def of(self, service: ServiceId, target_id: TargetId) -> Granter | None:
        """Return a target's granter, if it has one."""
        return self._granters.get((service, target_id))

    def start(self, service: ServiceId) -> None:
        """Have the holds of all owners renewed."""
        ranges = self.ledger.map(service)
        for target_id in ranges.owners() if ranges else ():
            record = self._state.targets.get(target_id)
            if record is not None and record.service == service:
                self.granter(record)

    def granter(self, record: TargetRecord) -> Granter:
        """Return the granter of a target; it starts when first asked for."""
        key = (record.service, record.target_id)
        granter = self._granters.get(key)
        address = TargetAddress(record.target_id, record.ip, record.port)
        fresh = granter is not None and granter.born_ms != record.born_ms
        if granter is None or granter.address != address or fresh:
            until = granter.until if granter is not None and not fresh else None
            granter = Granter(
                self, record, address, self._cfg, self._clock, self._orders
            )
            if until is not None:
                granter.held_before(until)
            self._granters[key] = granter
        if not granter.running and granter.trust is Trust.ANSWERS:
            granter.running = True
            self._tasks.spawn(granter.run)
        return granter

    def address(self, service: ServiceId, target_id: TargetId) -> TargetAddress | None:
        """Return where to order a target; None if nobody knows it any more."""
        granter = self.of(service, target_id)
        if granter is not None:
            return granter.address
        record = self._state.targets.get(target_id)
        if record is None:
            return None
        return TargetAddress(target_id, record.ip, record.port)

    def held_until(self, service: ServiceId, target_id: TargetId) -> Instant:
        """Return until when a silent target may hold keys by anybody's orders."""
        until = self._leadership.former_until
        granter = self.of(service, target_id)
        if granter is not None:
            until = max(until, granter.until)
        former = self._leadership.former_grants.get(target_id)
        return until if former is None else max(until, former)

    def grants_left(self) -> tuple[GrantLeft, ...]:
        """Return how long each target may still hold keys by this host's orders."""
        now = self._clock.now()
        return tuple(
            GrantLeft(granter.target_id, granter.until - now)
            for granter in self._granters.values()
            if granter.until > now
        )

    def is_silent(self, service: ServiceId, target_id: TargetId) -> bool:
        """Return whether a target leaves orders unanswered."""
        granter = self.of(service, target_id)
        return granter is not None and granter.trust is Trust.SILENT

    def takes_keys(self, record: TargetRecord) -> bool:
        """Return whether a target may be given keys."""
        silent = self.is_silent(record.service, record.target_id)
        return record.state is TargetState.READY and not silent

    def ready(self, service: ServiceId) -> list[TargetRecord]:
        """Return the targets of a service that may be given keys, by id."""
        return [
            record
            for _, record in sorted(self._state.targets.items())
            if record.service == service and self.takes_keys(record)
        ]

    def seats(self, service: ServiceId) -> tuple[Seat, ...]:
        """Return the same targets with their slots."""
        return tuple(Seat(r.target_id, r.slots) for r in self.ready(service))

    def probe_silent(self, service: ServiceId) -> None:
        """Ask silent targets that own nothing any more whether they are back."""
        owners = self.ledger.map(service).owners()
        for (of, target_id), granter in list(self._granters.items()):
            if of != service or granter.trust is not Trust.SILENT:
                continue
            if target_id in owners:
                continue
            if target_id not in self._state.targets:
                del self._granters[of, target_id]
            elif self._clock.now() >= granter.probe_at:
                granter.probe_at = Instant(self._clock.now() + PROBE_S)
                self._tasks.spawn(granter.probe, self.ledger.next_fences())
