"""Key ranges: runs of keys with their owner and fencing token."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, replace

from persimmonspoke.ids import TargetId

MIN_KEY = 0
MAX_KEY = 65535


@dataclass(frozen=True, slots=True)
class KeyRange:
    """A run of keys with one owner.

    Attributes
    ----------
    first, last : int
        First and last key, both inclusive.
    owner : TargetId or None
        The target that may hold the keys; None if no target may.
    born_ms : int
        Start time of the owner's incarnation that the grant is for.
    fence : int
        Fencing token of the owner's grant.
    handover : str or None
        What the previous owner returned for the next one, which then starts warm.
    """

    first: int
    last: int
    owner: TargetId | None
    born_ms: int
    fence: int
    handover: str | None = None

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether any key from `first` to `last` is in the range."""
        return self.first <= last and first <= self.last

    def same_grant(self, other: "KeyRange") -> bool:
        """Return whether both ranges are parts of one grant."""
        return (self.owner, self.born_ms, self.fence, self.handover) == (
            other.owner,
            other.born_ms,
            other.fence,
            other.handover,
        )


class RangeMap:
    """All keys of one service, divided into ranges without gaps."""

    def __init__(self, ranges: Iterable[KeyRange]):
        self.ranges: tuple[KeyRange, ...] = tuple(ranges)
        self._firsts = [entry.first for entry in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range that contains `key`."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

    def owned_by(self, target_id: TargetId) -> tuple[KeyRange, ...]:
        """Return the ranges that one target owns."""
        return tuple(entry for entry in self.ranges if entry.owner == target_id)

    def owners(self) -> frozenset[TargetId]:
        """Return all targets that own a range."""
        return frozenset(r.owner for r in self.ranges if r.owner is not None)

    def between(self, first: int, last: int) -> tuple[KeyRange, ...]:
        """Return the ranges of the keys from `first` to `last`, cut at both ends."""
        start = max(0, bisect_right(self._firsts, first) - 1)
        stop = bisect_right(self._firsts, last)
        return tuple(
            replace(entry, first=max(entry.first, first), last=min(entry.last, last))
            for entry in self.ranges[start:stop]
            if entry.overlaps(first, last)
        )

    def with_range(self, new: KeyRange) -> "RangeMap":
        """Return a map in which `new` replaces the ranges of its keys."""
        remaining = []
        for entry in self.ranges:
            if not entry.overlaps(new.first, new.last):
                remaining.append(entry)
                continue
            if entry.first < new.first:
                remaining.append(replace(entry, last=new.first - 1))
            if entry.last > new.last:
                remaining.append(replace(entry, first=new.last + 1))
        remaining.append(new)
        return RangeMap(
            _join_neighbours(sorted(remaining, key=lambda entry: entry.first))
        )


def divide_evenly(
    owners: Iterable[tuple[TargetId, int]], first_fence: int
) -> tuple[KeyRange, ...]:
    """Divide all keys evenly among `owners`, given as pairs of id and `born_ms`."""
    owners = tuple(owners)
    total = MAX_KEY - MIN_KEY + 1
    ranges = []
    for number, (target_id, born_ms) in enumerate(owners):
        first = total * number // len(owners)
        last = total * (number + 1) // len(owners) - 1
        ranges.append(KeyRange(first, last, target_id, born_ms, first_fence + number))
    return tuple(ranges)


def _join_neighbours(ranges):
    """Return `ranges` with neighbours that are parts of one grant joined."""
    joined: list[KeyRange] = []
    for entry in ranges:
        if joined and joined[-1].same_grant(entry):
            joined[-1] = replace(joined[-1], last=entry.last)
        else:
            joined.append(entry)
    return joined
