"""The leader's record of all keys: owners, transfers in progress, fencing tokens."""

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
from persimmonspoke.internal.ranges.commits import SharedCommits
from persimmonspoke.internal.ranges.fences import FenceSet
from persimmonspoke.internal.ranges.ranges import (
    MAX_KEY,
    MIN_KEY,
    KeyRange,
    RangeMap,
)
from persimmonspoke.internal.ranges.record import FENCES_PER_EPOCH

UNKNOWN_OPENING_S = -1.0
MAX_UNSENT = 1 << 14  # fences; a takeover gives out as many as there are ranges


@dataclass(slots=True, eq=False)
class Transfer:
    """A run of keys that is getting a new owner; no host sends requests for its keys.

    Attributes
    ----------
    to : frozenset of TargetId
        The planned new owners; empty if none were planned.
    opens_at : Instant or None
        Latest time at which another target can be given the keys, if known.
    """

    service: ServiceId
    first: int
    last: int
    to: frozenset[TargetId] = frozenset()
    opens_at: Instant | None = None


class Ledger:
    """The leader's copy of the owners of all keys; publishes each change to all hosts.

    Parameters
    ----------
    publish : callable
        Sends a change of the range table to all hosts, this one included.

    Attributes
    ----------
    commits : SharedCommits
        The writes of new owners to the store.
    unsent : FenceSet
        Fences of this epoch that no connection has carried, as far as it remembers.
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
        self._transfers: list[Transfer] = []
        self._fences = 0
        self._serial = 0
        self._table: RangeTable | None = None
        self.commits = SharedCommits(clock, leadership.commit)
        self.unsent = FenceSet(MAX_UNSENT)

    def reset(self) -> None:
        """Reset all state for a new epoch in which this host leads."""
        services = self._leadership.ownership.services
        self._transfers = []
        # The takeover has given each range a fence of this epoch.
        self._fences = 0
        self.next_fences(sum(len(ranges.ranges) for ranges in services.values()))
        self._serial = 0
        self._table = None
        for service in services:
            self.publish_change(service, MIN_KEY, MAX_KEY)

    def clear_transfers(self) -> None:
        """Drop all transfers, when this host stops leading."""
        self._transfers = []

    def map(self, service: ServiceId) -> RangeMap | None:
        """Return the ranges of a service; None before its keys are first assigned."""
        ownership = self._leadership.ownership
        return None if ownership is None else ownership.services.get(service)

    def next_fences(self, count: int = 1) -> int:
        """Reserve `count` fencing tokens above all earlier ones; return the first."""
        first = self._leadership.epoch * FENCES_PER_EPOCH + self._fences + 1
        self._fences += count
        for fence in range(first, first + count):
            self.unsent.add(fence)
        return first

    def commit_ranges(self, service: ServiceId, ranges: RangeMap) -> None:
        """Store the first ranges of a service; raise as `Leadership.commit` does."""
        self._leadership.commit(
            lambda ownership: ownership.with_ranges(service, ranges, self._serial)
        )
        self.publish_change(service, MIN_KEY, MAX_KEY)

    def commit(
        self,
        service: ServiceId,
        entries: Iterable[KeyRange],
        gather_until: Instant | None = None,
    ) -> None:
        """Store ranges with new owners; raise as `Leadership.commit` does.

        Parameters
        ----------
        gather_until : Instant or None
            Until then other commits can share the write; None for now.
        """
        if gather_until is None:
            gather_until = self._clock.now()
        change = _replace_entries(service, entries, self._serial)
        self.commits.commit(change, gather_until)

    def update_local(self, service: ServiceId, entry: KeyRange) -> None:
        """Replace a range in the leader's copy only; its owner must stay the same."""
        self._leadership.update_local(_replace_entries(service, [entry], self._serial))

    # Methods for transfers, and for the ranges outside of them.

    def begin_transfers(self, transfers: list[Transfer]) -> None:
        """Stop requests for keys of one service on all hosts."""
        self._transfers += transfers
        self.publish_change(
            transfers[0].service, transfers[0].first, transfers[-1].last
        )

    def end_transfers(self, transfers: list[Transfer]) -> None:
        """Resume requests for keys of one service, and publish their owners."""
        ended = set(map(id, transfers))
        self._transfers = [
            transfer for transfer in self._transfers if id(transfer) not in ended
        ]
        first = min(transfer.first for transfer in transfers)
        last = max(transfer.last for transfer in transfers)
        self.publish_change(transfers[0].service, first, last)

    def set_opens_at(self, transfers: list[Transfer], until: Instant) -> None:
        """Publish the latest time at which keys can be given to another target."""
        if transfers[0].opens_at == until:
            return
        for transfer in transfers:
            transfer.opens_at = until
        self.publish_change(
            transfers[0].service, transfers[0].first, transfers[-1].last
        )

    def transfers_of(self, service: ServiceId) -> list[Transfer]:
        """Return the transfers in progress of a service."""
        return [transfer for transfer in self._transfers if transfer.service == service]

    def in_transfer(self, service: ServiceId, entry: KeyRange) -> bool:
        """Return whether any key of a range is being transferred."""
        transfers = self.transfers_of(service)
        return any(
            entry.overlaps(transfer.first, transfer.last) for transfer in transfers
        )

    def transferring_targets(self, service: ServiceId) -> frozenset[TargetId]:
        """Return the sources and planned receivers of all transfers of a service."""
        ranges = self.map(service)
        transfers = self.transfers_of(service)
        sources = {ranges.find(transfer.first).owner for transfer in transfers}
        return frozenset(sources.union(*(transfer.to for transfer in transfers)))

    def assigned_transfers(self, service: ServiceId, target_id: TargetId) -> int:
        """Return the number of transfers whose keys are already assigned to a target.

        The target has not confirmed its grants of these keys yet.
        """
        ranges = self.map(service)
        owners = [
            ranges.find(transfer.first).owner for transfer in self.transfers_of(service)
        ]
        return owners.count(target_id)

    def grantable(
        self, service: ServiceId, target_id: TargetId
    ) -> tuple[KeyRange, ...]:
        """Return the target's ranges, without the keys that are being transferred."""
        ranges = self.map(service)
        if ranges is None:
            return ()
        transfers = self.transfers_of(service)
        parts = []
        for entry in ranges.owned_by(target_id):
            parts += _parts_outside(entry, transfers)
        return tuple(parts)

    def is_current(self, service: ServiceId, entry: KeyRange) -> bool:
        """Return whether `entry` is part of a current range and in no transfer."""
        ranges = self.map(service)
        if ranges is None or self.in_transfer(service, entry):
            return False
        current = ranges.find(entry.first)
        return current.same_grant(entry) and current.last >= entry.last

    def renew_fence(
        self,
        service: ServiceId,
        entry: KeyRange,
        handover: str | None,
        transferring: bool,
    ) -> KeyRange | None:
        """Give a range a new fence; return the range, or None if `entry` is outdated.

        Parameters
        ----------
        transferring : bool
            Whether the range is granted to a new owner within a transfer; `entry` is
            then current although its keys are being transferred.
        """
        if not transferring and not self.is_current(service, entry):
            return None
        new = replace(entry, fence=self.next_fences(), handover=handover)
        self.update_local(service, new)
        self.publish_change(service, new.first, new.last)
        return new

    # Methods for the range table that all hosts receive.

    def table(self) -> RangeTable:
        """Return the current range table."""
        if self._table is None or self._table.serial != self._serial:
            ownership = self._leadership.ownership
            self._table = RangeTable(
                leader=self._leadership.leader,
                epoch=self._leadership.epoch,
                serial=self._serial,
                services={
                    service: tuple(self._rows(service, MIN_KEY, MAX_KEY))
                    for service in ownership.services
                },
            )
        return self._table

    def publish_change(self, service: ServiceId, first: int, last: int) -> None:
        """Publish the current owners of the keys from `first` to `last`, if any."""
        if not self._leadership.leading or self.map(service) is None:
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
        transfers = [
            transfer
            for transfer in self.transfers_of(service)
            if transfer.first <= last and first <= transfer.last
        ]
        rows = []
        for entry in self.map(service).between(first, last):
            overlapping = [
                transfer
                for transfer in transfers
                if entry.overlaps(transfer.first, transfer.last)
            ]
            rows += [
                RouteRow(part.first, part.last, part.owner, part.fence, 0.0)
                for part in _parts_outside(entry, overlapping)
            ]
            rows += [_transfer_row(entry, transfer, now) for transfer in overlapping]
        return sorted(rows, key=lambda row: row.first)


def _replace_entries(service, entries, serial):
    """Return the change that puts `entries` into the ranges of a service."""

    def change(ownership):
        ranges = ownership.services[service]
        for entry in entries:
            ranges = ranges.with_range(entry)
        return ownership.with_ranges(service, ranges, serial)

    return change


def _transfer_row(entry, transfer, now):
    """Return the row, without an owner, of a range's keys that a transfer covers."""
    open_in_s = UNKNOWN_OPENING_S
    if transfer.opens_at is not None:
        open_in_s = max(0.001, transfer.opens_at - now)
    first, last = max(entry.first, transfer.first), min(entry.last, transfer.last)
    return RouteRow(first, last, None, entry.fence, open_in_s)


def _parts_outside(entry: KeyRange, transfers: list[Transfer]) -> list[KeyRange]:
    """Return the parts of a range that no transfer covers."""
    parts = [entry]
    for transfer in transfers:
        rest = []
        for part in parts:
            if not part.overlaps(transfer.first, transfer.last):
                rest.append(part)
                continue
            if part.first < transfer.first:
                rest.append(replace(part, last=transfer.first - 1))
            if part.last > transfer.last:
                rest.append(replace(part, first=transfer.last + 1))
        parts = rest
    return parts
