"""What the leader knows of all keys: owners, keys changing hands, fencing tokens."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import (
    RangeTable,
    RouteRow,
    TableChange,
    address_fields,
    row_fields,
)
from persimmonspoke.internal.ranges.ranges import (
    FIRST_KEY,
    LAST_KEY,
    KeyRange,
    RangeMap,
)
from persimmonspoke.internal.ranges.record import FENCES_PER_EPOCH

UNKNOWN_S = -1.0


@dataclass(slots=True, eq=False)
class Hold:
    """Keys that are changing hands; no host sends requests for them.

    Attributes
    ----------
    to : frozenset of TargetId
        Who shall get the keys, as far as that is planned.
    opens_at : Instant or None
        When the keys can go to another target at the latest, if known.
    """

    service: ServiceId
    first: int
    last: int
    to: frozenset[TargetId] = frozenset()
    opens_at: Instant | None = None


class Ledger:
    """The leader's own copy of who owns what; hosts are told of each change.

    Parameters
    ----------
    publish : callable
        Tells all hosts, this one included, what has changed in the table.
    """

    def __init__(
        self,
        clock: Clock,
        leadership: Leadership,
        publish: Callable[[TableChange], None],
    ):
        self._clock = clock
        self._leadership = leadership
        self._publish = publish
        self._holds: list[Hold] = []
        self._fences = 0
        self._serial = 0
        self._table: RangeTable | None = None

    def begin(self) -> None:
        """Start anew, as the leader of a new epoch."""
        self._holds = []
        self._fences = 0
        self._serial = 0
        self._table = None
        for service in self._leadership.ownership.services:
            self.changed(service, FIRST_KEY, LAST_KEY)

    def end(self) -> None:
        """Forget the keys that were changing hands."""
        self._holds = []

    def map(self, service: ServiceId) -> RangeMap | None:
        """Return the ranges of a service; None before they are dealt out."""
        ownership = self._leadership.ownership
        return None if ownership is None else ownership.services.get(service)

    def next_fences(self, count: int = 1) -> int:
        """Return the first of `count` new fencing tokens, above all before."""
        first = self._leadership.epoch * FENCES_PER_EPOCH + self._fences + 1
        self._fences += count
        return first

    def commit_map(self, service: ServiceId, ranges: RangeMap) -> None:
        """Store the first ranges of a service; errors as `Leadership.commit`."""
        self._leadership.commit(lambda now: now.with_map(service, ranges, self._serial))
        self.changed(service, FIRST_KEY, LAST_KEY)

    def commit(self, service: ServiceId, entries: Iterable[KeyRange]) -> None:
        """Store new owners; errors as `Leadership.commit`."""
        self._leadership.commit(_replacing(service, entries, self._serial))

    def amend(self, service: ServiceId, entry: KeyRange) -> None:
        """Change the leader's own copy, without a change of owner."""
        self._leadership.amend(_replacing(service, [entry], self._serial))

    # Keys that are changing hands.

    def hold(self, holds: list[Hold]) -> None:
        """Close keys of one service, and tell all hosts."""
        self._holds += holds
        self.changed(holds[0].service, holds[0].first, holds[-1].last)

    def lift(self, holds: list[Hold]) -> None:
        """Open keys again, and tell all hosts their owners."""
        left = set(map(id, holds))
        self._holds = [hold for hold in self._holds if id(hold) not in left]
        first = min(hold.first for hold in holds)
        last = max(hold.last for hold in holds)
        self.changed(holds[0].service, first, last)

    def opens_at(self, holds: list[Hold], until: Instant) -> None:
        """Tell all hosts until when keys stay closed at the longest."""
        if holds[0].opens_at == until:
            return
        for hold in holds:
            hold.opens_at = until
        self.changed(holds[0].service, holds[0].first, holds[-1].last)

    def holds_of(self, service: ServiceId) -> list[Hold]:
        """Return the holds of a service."""
        return [hold for hold in self._holds if hold.service == service]

    def is_held(self, service: ServiceId, entry: KeyRange) -> bool:
        """Return whether any key of a range is changing hands."""
        holds = self.holds_of(service)
        return any(entry.overlaps(hold.first, hold.last) for hold in holds)

    def occupied(self, service: ServiceId) -> frozenset[TargetId]:
        """Return the targets that give or take keys now."""
        ranges = self.map(service)
        holds = self.holds_of(service)
        givers = {ranges.of(hold.first).owner for hold in holds}
        return frozenset(givers.union(*(hold.to for hold in holds)))

    def incoming(self, service: ServiceId, target_id: TargetId) -> int:
        """Return how many runs of keys a target has got and not yet confirmed."""
        ranges = self.map(service)
        owners = [ranges.of(hold.first).owner for hold in self.holds_of(service)]
        return owners.count(target_id)

    def grantable(
        self, service: ServiceId, target_id: TargetId
    ) -> tuple[KeyRange, ...]:
        """Return the target's ranges, without the keys that are changing hands."""
        ranges = self.map(service)
        if ranges is None:
            return ()
        holds = self.holds_of(service)
        found = []
        for entry in ranges.owned_by(target_id):
            found += _without(entry, holds)
        return tuple(found)

    def is_current(self, service: ServiceId, entry: KeyRange) -> bool:
        """Return whether `entry` is still part of a range, and not changing hands."""
        ranges = self.map(service)
        if ranges is None or self.is_held(service, entry):
            return False
        now = ranges.of(entry.first)
        return now.same_grant(entry) and now.last >= entry.last

    def refence(
        self, service: ServiceId, entry: KeyRange, handover: str | None, held: bool
    ) -> KeyRange | None:
        """Give a range a new fence; return it, or None if it has changed hands.

        Parameters
        ----------
        held : bool
            Whether its keys are held because it is just being given to its owner.
        """
        if not held and not self.is_current(service, entry):
            return None
        new = replace(entry, fence=self.next_fences(), handover=handover)
        self.amend(service, new)
        self.changed(service, new.first, new.last)
        return new

    # What hosts are told.

    def table(self) -> RangeTable:
        """Return who owns which keys now."""
        if self._table is None or self._table.serial != self._serial:
            ownership = self._leadership.ownership
            self._table = RangeTable(
                leader=self._leadership.leader,
                epoch=self._leadership.epoch,
                serial=self._serial,
                services={
                    service: tuple(self._rows(service, FIRST_KEY, LAST_KEY))
                    for service in ownership.services
                },
            )
        return self._table

    def changed(self, service: ServiceId, first: int, last: int) -> None:
        """Tell all hosts who owns the keys from `first` to `last` now."""
        if not self._leadership.leading:
            return
        self._serial += 1
        self._publish(
            TableChange(
                address_fields(self._leadership.leader),
                self._leadership.epoch,
                self._serial,
                service,
                first,
                last,
                [row_fields(row) for row in self._rows(service, first, last)],
            )
        )

    def _rows(self, service, first, last) -> list[RouteRow]:
        """Return the rows of the keys from `first` to `last`."""
        now = self._clock.now()
        holds = [
            hold
            for hold in self.holds_of(service)
            if hold.first <= last and first <= hold.last
        ]
        rows = []
        for entry in self.map(service).between(first, last):
            near = [hold for hold in holds if entry.overlaps(hold.first, hold.last)]
            rows += [
                RouteRow(part.first, part.last, part.owner, part.fence, 0.0)
                for part in _without(entry, near)
            ]
            rows += [_held_row(entry, hold, now) for hold in near]
        return sorted(rows, key=lambda row: row.first)


def _replacing(service, entries, serial):
    """Return the change that puts `entries` into a service's ranges."""

    def change(ownership):
        ranges = ownership.services[service]
        for entry in entries:
            ranges = ranges.with_range(entry)
        return ownership.with_map(service, ranges, serial)

    return change


def _held_row(entry, hold, now):
    """Return the row of the keys of a range that are changing hands."""
    left_s = UNKNOWN_S
    if hold.opens_at is not None:
        left_s = max(0.001, hold.opens_at - now)
    first, last = max(entry.first, hold.first), min(entry.last, hold.last)
    return RouteRow(first, last, None, entry.fence, left_s)


def _without(entry: KeyRange, holds: list[Hold]) -> list[KeyRange]:
    """Return the parts of a range that no hold covers."""
    parts = [entry]
    for hold in holds:
        rest = []
        for part in parts:
            if not part.overlaps(hold.first, hold.last):
                rest.append(part)
                continue
            if part.first < hold.first:
                rest.append(replace(part, last=hold.first - 1))
            if part.last > hold.last:
                rest.append(replace(part, first=hold.last + 1))
        parts = rest
    return parts
