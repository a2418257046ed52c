"""The routes of divided services on one host, as the leader last told them."""

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

WHOLE = PageId(0)
REFUSED_S = 0.4  # a refused route is tried again after two reports to the leader

log = logging.getLogger(__name__)


class RangeRoutes:
    """Implements `persimmonspoke.internal.ownership.api.Routes`.

    The targets check who may send what, so a route needs no lease: one that is out
    of date costs a refusal.

    Parameters
    ----------
    leaving_grace_s : float
        How long a leaving owner still gets requests, while its keys are moved.

    Attributes
    ----------
    table : RangeTable or None
        The newest one.
    on_change : callable
        Called whenever a newer table has been taken in.
    """

    def __init__(self, state: RoutingState, clock: Clock, leaving_grace_s: float):
        self._state = state
        self._clock = clock
        self._leaving_grace_s = leaving_grace_s
        self._taken_at = clock.now()
        self._firsts: dict[ServiceId, list[int]] = {}
        self._refused: dict[tuple[ServiceId, TargetId, int], Instant] = {}
        self._to_report: list[tuple[ServiceId, int, int]] = []
        self._changed = Event()
        self.table: RangeTable | None = None
        self.on_change: Callable[[], None] = lambda: None

    def take(self, table: RangeTable) -> bool:
        """Take in a table; return whether it is newer than the one before."""
        if table.age_key() <= self.known():
            return False
        self._set(table)
        return True

    def take_record(self, found: Ownership) -> None:
        """Take in the owners that the store names, for want of a leader's table."""
        if found.leader is None or not found.services:
            return
        services = {
            service: tuple(
                RouteRow(r.first, r.last, r.owner, r.fence, 0.0) for r in ranges.ranges
            )
            for service, ranges in found.services.items()
        }
        self.take(RangeTable(found.leader, found.epoch, found.serial, services))

    def change(self, change: TableChange) -> bool:
        """Apply a change; return False if tables between are missing here."""
        if (change.epoch, change.serial) <= self.known():
            return True
        if (change.epoch, change.serial - 1) != self.known():
            return False
        rows = self.table.services.get(change.service, ())
        new = _replaced(rows, [RouteRow(*row) for row in change.rows])
        services = {**self.table.services, change.service: new}
        self._set(replace(self.table, serial=change.serial, services=services))
        return True

    def _set(self, table):
        now = self._clock.now()
        self.table = table
        self._firsts = {
            service: [row.first for row in rows]
            for service, rows in table.services.items()
        }
        self._taken_at = now
        self._refused = {
            key: until for key, until in self._refused.items() if until > now
        }
        fired, self._changed = self._changed, Event()
        fired.send(None)
        self.on_change()

    def owner(self, service: ServiceId, key: KeyText) -> TargetId | None:
        """Return who owns `key`; None while it is changing hands."""
        row = self._row(service, key)
        return None if row is None else row.owner

    def known(self) -> tuple[int, int]:
        """Return epoch and serial of the table."""
        return self.table.age_key() if self.table is not None else (0, 0)

    def refusals(self) -> list[tuple[ServiceId, int, int]]:
        """Return service, key and fence of the refusals since the last call."""
        found, self._to_report = self._to_report, []
        return found

    def find(self, team: TeamId, service: ServiceConfig, key: KeyText) -> Route:
        """Return the route of `key`, or raise `NoOwnerYet`."""
        row = self._row(service.service, key)
        if row is None or row.owner is None:
            raise NoOwnerYet("the key is changing hands", opens_at=self._opens_at(row))
        until = self._refused.get((service.service, row.owner, row.fence))
        if until is not None and until > self._clock.now():
            raise NoOwnerYet("the owner has just refused the key", opens_at=until)
        record = self._state.targets.get(row.owner)
        routed = self._state.service_config(service.service)
        if record is None or routed is None or record.service != service.service:
            raise NoOwnerYet("the owner has left")
        if self._has_left(row.owner):
            raise NoOwnerYet("the owner is leaving")
        return Route(
            page=PageKey(team, service.service, WHOLE),
            shard=ShardId(int(key)),
            epoch=Epoch(row.fence),
            target=target_config(record, routed),
        )

    def wait(
        self, team: TeamId, service: ServiceConfig, key: KeyText, deadline: Instant
    ) -> Route:
        """Return the route of `key` as soon as there is one, or raise `NoOwnerYet`.

        A key that is known not to open before `deadline` is refused at once.
        """
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
        """Return whether `route` still holds; asked just before the first byte."""
        row = self._row(route.page.service, str(route.shard))
        return (
            row is not None
            and row.owner == route.target.target_id
            and not self._has_left(row.owner)
        )

    def refused(self, route: Route) -> None:
        """Take note that the target does not hold the key; the leader is told."""
        service, fence = route.page.service, int(route.epoch)
        until = Instant(self._clock.now() + REFUSED_S)
        self._refused[service, route.target.target_id, fence] = until
        self._to_report.append((service, int(route.shard), fence))
        log.info(
            "routes: owner refused a key",
            extra={
                "service": service,
                "target": route.target.target_id,
                "key": route.shard,
                "fence": fence,
                "table_epoch": self.table.epoch,
                "table_serial": self.table.serial,
                "table_age_s": round(self._clock.now() - self._taken_at, 3),
            },
        )

    def in_flight(self, route: Route) -> AbstractContextManager[None]:
        """Return a context that does nothing: the target counts its work itself."""
        return nullcontext()

    def _has_left(self, target_id):
        """Return whether a target has been leaving for longer than it may get work."""
        since = self._state.leaving_since(target_id)
        return since is not None and self._clock.now() - since >= self._leaving_grace_s

    def _row(self, service, key) -> RouteRow | None:
        firsts = self._firsts.get(service)
        if not firsts:
            return None
        return self.table.services[service][bisect_right(firsts, int(key)) - 1]

    def _opens_at(self, row) -> Instant | None:
        if row is None or row.open_in_s < 0:
            return None
        return Instant(self._taken_at + row.open_in_s)


def _replaced(rows: tuple[RouteRow, ...], new: list[RouteRow]) -> tuple[RouteRow, ...]:
    """Return `rows` with the keys of `new` routed as `new` says."""
    first, last = new[0].first, new[-1].last
    kept = []
    for row in rows:
        if row.last < first or row.first > last:
            kept.append(row)
            continue
        if row.first < first:
            kept.append(replace(row, last=first - 1))
        if row.last > last:
            kept.append(replace(row, first=last + 1))
    return tuple(sorted([*kept, *new], key=lambda row: row.first))
