"""The routes of divided services on one host, from the leader's newest table."""

import logging
from bisect import bisect_right
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import NoOwnerYet
from persimmonspoke.ids import (
    Epoch,
    Instant,
    KeyText,
    PageId,
    ServiceId,
    ShardId,
    TargetId,
    TeamId,
)
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.messages import RangeTable, RouteRow, TableChange
from persimmonspoke.internal.ownership.api import Route
from persimmonspoke.internal.ownership.page import PageKey
from persimmonspoke.internal.questionnaire.configuration import ServiceConfig
from persimmonspoke.internal.ranges.record import Ownership
from persimmonspoke.internal.routing.state import RoutingState, target_config
from persimmonspoke.internal.scheduling.wait_end import wait_end

WHOLE_SERVICE_PAGE = PageId(0)
REFUSED_RETRY_S = 0.4  # pause after a refusal; two reports to the leader fit into it

EVACUATED_RETRY_S = 1.0  # the store may stay away, and evacuations last long

NOT_SOON = Instant(float("inf"))

log = logging.getLogger(__name__)


class RangeRoutes:
    """Implements `persimmonspoke.internal.ownership.api.Routes`.

    Targets refuse requests for keys that they do not hold, so a route needs no lease:
    an outdated one only costs a refusal.

    Parameters
    ----------
    leaving_grace_s : float
        How long a leaving owner still gets requests, while its keys are transferred.
    evacuation_grace_s : float
        The same for an owner in an evacuated data centre.

    Attributes
    ----------
    table : RangeTable or None
        The newest table that this host knows.
    on_change : callable
        Called after each change of the table.
    """

    def __init__(
        self,
        state: RoutingState,
        clock: Clock,
        leaving_grace_s: float,
        evacuation_grace_s: float = float("inf"),
    ):
        self._state = state
        self._clock = clock
        self._leaving_grace_s = leaving_grace_s
        self._evacuation_grace_s = evacuation_grace_s
        self._updated_at = clock.now()
        self._firsts: dict[ServiceId, list[int]] = {}
        self._refused_until: dict[tuple[ServiceId, TargetId, int], Instant] = {}
        self._unreported_refusals: list[tuple[ServiceId, int, int]] = []
        self._changed = Event()
        self.table: RangeTable | None = None
        self.on_change: Callable[[], None] = lambda: None

    def apply_table(self, table: RangeTable) -> bool:
        """Apply a table if it is newer than the present one; return whether it is."""
        if table.version() <= self.version():
            return False
        self._replace_table(
            table,
            {
                service: [row.first for row in rows]
                for service, rows in table.services.items()
            },
        )
        return True

    def update_from_ownership(self, found: Ownership) -> None:
        """Apply the owners that the store names, until a leader sends its table."""
        if found.leader is None or not found.services:
            return
        services = {
            service: tuple(
                RouteRow(r.first, r.last, r.owner, r.fence, 0.0) for r in ranges.ranges
            )
            for service, ranges in found.services.items()
        }
        self.apply_table(RangeTable(found.leader, found.epoch, found.serial, services))

    def apply_change(self, change: TableChange) -> bool:
        """Apply a change; return False if an earlier change is missing on this host."""
        if (change.epoch, change.serial) <= self.version():
            return True
        if (change.epoch, change.serial - 1) != self.version():
            return False
        rows = self.table.services.get(change.service, ())
        firsts = self._firsts.get(change.service, [])
        new = with_rows(rows, firsts, [RouteRow(*row) for row in change.rows])
        services = {**self.table.services, change.service: new}
        self._replace_table(
            replace(self.table, serial=change.serial, services=services),
            {**self._firsts, change.service: [row.first for row in new]},
        )
        return True

    def _replace_table(self, table, firsts):
        now = self._clock.now()
        self.table = table
        self._firsts = firsts
        self._updated_at = now
        self._refused_until = {
            key: until for key, until in self._refused_until.items() if until > now
        }
        fired, self._changed = self._changed, Event()
        fired.send(None)
        self.on_change()

    def owner(self, service: ServiceId, key: KeyText) -> TargetId | None:
        """Return the owner of `key`; None while the key is being transferred."""
        row = self._row(service, key)
        return None if row is None else row.owner

    def version(self) -> tuple[int, int]:
        """Return epoch and serial of the table; (0, 0) if there is none."""
        return self.table.version() if self.table is not None else (0, 0)

    def drain_refusals(self) -> list[tuple[ServiceId, int, int]]:
        """Return and clear the service, key and fence of unreported refusals."""
        refusals, self._unreported_refusals = self._unreported_refusals, []
        return refusals

    def find(self, team: TeamId, service: ServiceConfig, key: KeyText) -> Route:
        """Return the route of `key`; raise `NoOwnerYet` if it can't be served now."""
        row = self._row(service.service, key)
        if row is None or row.owner is None:
            raise NoOwnerYet(
                "the key is changing hands", self._opens_at(service.service, row)
            )
        until = self._refused_until.get((service.service, row.owner, row.fence))
        if until is not None and until > self._clock.now():
            raise NoOwnerYet("the owner has just refused the key", opens_at=until)
        record = self._state.targets.get(row.owner)
        routed = self._state.service_config(service.service)
        if record is None or routed is None or record.service != service.service:
            raise NoOwnerYet("the owner has left")
        if self.is_closed(row.owner):
            # Its keys could not be moved in time, as while the store is away.
            retry_s = self._closed_retry_s(row.owner)
            raise NoOwnerYet("the owner may not be used", NOT_SOON, retry_s)
        return Route(
            page=PageKey(team, service.service, WHOLE_SERVICE_PAGE),
            shard=ShardId(int(key)),
            epoch=Epoch(row.fence),
            target=target_config(record, routed),
        )

    def wait(
        self, team: TeamId, service: ServiceConfig, key: KeyText, deadline: Instant
    ) -> Route:
        """Return the route of `key` as soon as there is one, or raise `NoOwnerYet`.

        If the key is known to have no owner before `deadline`, raise at once.  The wait
        ends shortly before `deadline`, in time for the refusal.
        """
        deadline = wait_end(deadline, self._clock.now())
        while True:
            try:
                return self.find(team, service, key)
            except NoOwnerYet as exc:
                now = self._clock.now()
                if now >= deadline or (
                    exc.opens_at is not None and exc.opens_at >= deadline
                ):
                    raise
                until = deadline
                if exc.opens_at is not None and exc.opens_at > now:
                    until = min(until, exc.opens_at)
            with eventlet.Timeout(max(0.001, until - now), False):
                self._changed.wait()

    def may_send(self, route: Route) -> bool:
        """Return whether `route` is still valid; called just before the first byte."""
        row = self._row(route.page.service, str(route.shard))
        return (
            row is not None
            and row.owner == route.target.target_id
            and not self.is_closed(row.owner)
        )

    def report_refusal(self, route: Route) -> None:
        """Record that the target does not hold the key, and report it to the leader."""
        service, fence = route.page.service, int(route.epoch)
        until = Instant(self._clock.now() + REFUSED_RETRY_S)
        self._refused_until[service, route.target.target_id, fence] = until
        self._unreported_refusals.append((service, int(route.shard), fence))
        log.info(
            "routes: owner refused a key",
            extra={
                "service": service,
                "target": route.target.target_id,
                "key": route.shard,
                "fence": fence,
                "table_epoch": self.table.epoch,
                "table_serial": self.table.serial,
                "table_age_s": round(self._clock.now() - self._updated_at, 3),
            },
        )

    def in_flight(self, route: Route) -> AbstractContextManager[None]:
        """Return a context that does nothing: targets track their own requests."""
        return nullcontext()

    def is_closed(self, target_id: TargetId) -> bool:
        """Return whether an owner may get no more requests, while it still has keys.

        It has then been leaving or evacuated for at least the grace period.
        """
        now = self._clock.now()
        leaving = self._state.leaving_since(target_id)
        if leaving is not None and now - leaving >= self._leaving_grace_s:
            return True
        evacuated = self._state.evacuated_since(target_id)
        if evacuated is None:
            return False
        if now - evacuated >= self._evacuation_grace_s:
            return True
        # No other target can get its keys.
        return self._state.is_evacuated(self._state.targets[target_id].service)

    def _closed_retry_s(self, target_id):
        """Return when to retry requests for a closed owner; None for the usual time."""
        is_evacuated = self._state.evacuated_since(target_id) is not None
        return EVACUATED_RETRY_S if is_evacuated else None

    def owns_keys(self, target_id: TargetId) -> bool:
        """Return whether a target owns any keys that are not being transferred."""
        tables = self.table.services.values() if self.table is not None else ()
        return any(row.owner == target_id for rows in tables for row in rows)

    def evacuated_key_count(self) -> int:
        """Return how many keys still have owners in evacuated data centres."""
        if self.table is None or not self._state.evacuations:
            return 0
        return sum(
            row.last - row.first + 1
            for rows in self.table.services.values()
            for row in rows
            if row.owner is not None
            and self._state.evacuated_since(row.owner) is not None
        )

    def _row(self, service, key) -> RouteRow | None:
        firsts = self._firsts.get(service)
        if not firsts:
            return None
        return self.table.services[service][bisect_right(firsts, int(key)) - 1]

    def _opens_at(self, service, row) -> Instant | None:
        if self._state.is_evacuated(service):
            return NOT_SOON
        if row is None or row.open_in_s < 0:
            return None
        return Instant(self._updated_at + row.open_in_s)


def with_rows(
    rows: tuple[RouteRow, ...], firsts: list[int], new: list[RouteRow]
) -> tuple[RouteRow, ...]:
    """Return `rows` with the rows of the keys that `new` covers replaced by `new`.

    Parameters
    ----------
    rows, new
        Rows in the order of their keys.
    firsts : list of int
        First keys of `rows`.
    """
    first, last = new[0].first, new[-1].last
    begin = max(0, bisect_right(firsts, first) - 1)
    if begin < len(rows) and rows[begin].last < first:
        begin += 1
    end = bisect_right(firsts, last)
    before, after = [], []
    if begin < end:
        if rows[begin].first < first:
            before = [replace(rows[begin], last=first - 1)]
        if rows[end - 1].last > last:
            after = [replace(rows[end - 1], first=last + 1)]
    return (*rows[:begin], *before, *new, *after, *rows[end:])
