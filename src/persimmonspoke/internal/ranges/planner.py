"""Which keys should move to even out the targets' load; pure functions."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import accumulate

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.ranges import (
    FIRST_KEY,
    LAST_KEY,
    KeyRange,
    RangeMap,
)

LEAST_BUSY = 0.45  # utilisation of the busiest target below which few requests wait
LEAST_GAP = 0.12  # difference of utilisation below which a move gains nothing
RELATIVE_GAP = 0.25  # of the busier target's utilisation
CHANCE = 2.0  # standard deviations of a measured load that mean nothing
SPAN_COST = 4.0  # moving a quarter of all keys weighs as much as moving nothing
MOST_RANGES_PER_TARGET = 12  # orders a target and renewal
IDLE_RATE = 0.3  # requests a second
DOMINANT = 0.5  # of its owner's slots; such a key is no part of a run
LEAST_RELIEF = 0.04  # of a target's slots; less is not worth a move
KEYS = LAST_KEY - FIRST_KEY + 1


@dataclass(frozen=True, slots=True)
class Seat:
    """A target that may own keys."""

    target_id: TargetId
    slots: int


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """One piece of a range, and who should own which part of it.

    Attributes
    ----------
    shares : tuple of (KeyRange, TargetId)
        Together they are the whole piece, in the order of keys.
    """

    piece: KeyRange
    shares: tuple[tuple[KeyRange, TargetId], ...]

    @property
    def takers(self) -> tuple[TargetId, ...]:
        """The targets that get something."""
        return tuple(target_id for _, target_id in self.shares)


def whole_move(piece: KeyRange, to: TargetId) -> PlannedMove:
    """Return the move of a piece to one target."""
    return PlannedMove(piece, ((piece, to),))


def utilisations(
    service: ServiceId, ranges: RangeMap, seats: Iterable[Seat], loads: Loads
) -> dict[TargetId, float]:
    """Return the share of each target's slots that its keys keep busy."""
    found = {}
    for seat in seats:
        rate = sum(loads.rate(service, r) for r in ranges.owned_by(seat.target_id))
        found[seat.target_id] = rate * loads.service_s(seat.target_id) / seat.slots
    return found


def plan_move(
    service: ServiceId,
    ranges: RangeMap,
    seats: tuple[Seat, ...],
    loads: Loads,
    closed: frozenset[TargetId],
    held: Iterable[tuple[int, int]],
) -> PlannedMove | None:
    """Return the move that evens out the load most, or None if none is worth it.

    Parameters
    ----------
    closed : frozenset of TargetId
        Targets that neither give nor take, because a move of theirs is under way.
    held : iterable of (int, int)
        First and last keys that are being moved.
    """
    busy = utilisations(service, ranges, seats, loads)
    open_seats = {s.target_id: s for s in seats if s.target_id not in closed}
    if len(open_seats) < 2:
        return None
    coolest = min(open_seats, key=busy.__getitem__)
    for hottest in sorted(open_seats, key=busy.__getitem__, reverse=True):
        gap = busy[hottest] - busy[coolest]
        # After the move both should be equally busy.
        give = loads.service_s(hottest) / open_seats[hottest].slots
        take = loads.service_s(coolest) / open_seats[coolest].slots
        chance = CHANCE * give * loads.deviation(busy[hottest] / give)
        if busy[hottest] < LEAST_BUSY or gap < max(
            LEAST_GAP, RELATIVE_GAP * busy[hottest], chance
        ):
            return None
        wanted = gap / (give + take)
        owned = ranges.owned_by(hottest)
        piece = best_piece(service, owned, loads, wanted, give, held)
        if piece is not None:
            return whole_move(piece, coolest)
    return None


def dominant_keys(
    service: ServiceId, entries: Iterable[KeyRange], loads: Loads, cost: float
) -> dict[int, float]:
    """Return the keys that alone keep much of a target busy, with their rates.

    Nothing is gained by giving such a key to another target that is no faster.

    Parameters
    ----------
    cost : float
        Utilisation of the owner that one request a second adds.
    """
    return {
        key: rate
        for entry in entries
        for key, rate in loads.keys(service, entry)
        if rate * cost >= DOMINANT
    }


def best_piece(
    service: ServiceId,
    entries: Iterable[KeyRange],
    loads: Loads,
    wanted: float,
    cost: float,
    held: Iterable[tuple[int, int]],
    least: float = LEAST_RELIEF,
    span_cost: float = SPAN_COST,
) -> KeyRange | None:
    """Return the part of one of a target's ranges whose load is next to `wanted`.

    None if all that could be moved is too much, or relieves its owner of less than
    `least` of its slots.
    """
    held = tuple(held)
    fixed = dominant_keys(service, entries, loads, cost)
    best = None
    for entry in entries:
        if any(entry.overlaps(first, last) for first, last in held):
            continue
        for keys in _between(loads.keys(service, entry), fixed):
            run = best_run(keys, wanted, span_cost)
            if run is not None and (best is None or run[2] < best[1][2]):
                best = (entry, run)
    if best is None:
        return None
    entry, (first, last, miss) = best
    piece = replace(entry, first=first, last=last)
    if miss >= wanted or loads.rate(service, piece) * cost < least:
        return None
    return piece


def _between(keys, fixed):
    """Yield the runs of `keys` that are left when those in `fixed` are taken out."""
    run = []
    for key, rate in keys:
        if key in fixed:
            yield run
            run = []
        else:
            run.append((key, rate))
    yield run


def plan_merge(
    service: ServiceId,
    ranges: RangeMap,
    seats: tuple[Seat, ...],
    loads: Loads,
    closed: frozenset[TargetId],
    held: Iterable[tuple[int, int]],
) -> PlannedMove | None:
    """Return the move of an idle piece that lets its neighbours be one grant again.

    Each range of a target is an order at every renewal, so pieces that were split
    off for a load that is over are given back; None while there are few.
    """
    if len(ranges.ranges) <= MOST_RANGES_PER_TARGET * len(seats):
        return None
    open_to = {seat.target_id for seat in seats} - closed
    held = tuple(held)
    best = None
    for before, entry, after in zip(
        ranges.ranges, ranges.ranges[1:], ranges.ranges[2:], strict=False
    ):
        if before.owner != after.owner or not {entry.owner, before.owner} <= open_to:
            continue
        if any(before.first <= last and first <= after.last for first, last in held):
            continue
        rate = loads.rate(service, entry)
        if rate <= IDLE_RATE and (best is None or rate < best[0]):
            best = (rate, whole_move(entry, before.owner))
    return best[1] if best else None


def best_run(
    keys: list[tuple[int, float]], wanted: float, span_cost: float = SPAN_COST
) -> tuple[int, int, float] | None:
    """Return first key, last key and miss of the run whose load is next to `wanted`.

    A short run that misses by a little goes before a long one that fits, since keys
    that change hands cost.
    """
    sums = [0.0, *accumulate(weight for _, weight in keys)]
    best = None
    for start in range(len(keys)):
        # The runs that end just below and just above the load that is wanted.
        end = bisect_left(sums, sums[start] + wanted, lo=start + 1)
        for stop in {max(start + 1, end - 1), min(end, len(keys))}:
            miss = abs(sums[stop] - sums[start] - wanted)
            span = keys[stop - 1][0] - keys[start][0]
            rank = miss / wanted + span_cost * span / KEYS
            if best is None or rank < best[0]:
                best = (rank, (keys[start][0], keys[stop - 1][0], miss))
    return best[1] if best else None


def cut_evenly(entry: KeyRange, keys: list[tuple[int, float]], count: int):
    """Cut a range into at most `count` pieces of about the same load."""
    total = sum(weight for _, weight in keys)
    if count < 2 or total <= 0:
        return (entry,)
    pieces, first, load = [], entry.first, 0.0
    for key, weight in keys:
        load += weight
        if load >= total / count and key < entry.last and len(pieces) < count - 1:
            pieces.append(replace(entry, first=first, last=key))
            first, load = key + 1, 0.0
    pieces.append(replace(entry, first=first))
    return tuple(pieces)
