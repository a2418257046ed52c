"""Plans moves of keys that balance the load of the targets; pure functions."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import accumulate

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.ranges import (
    MAX_KEY,
    MIN_KEY,
    KeyRange,
    RangeMap,
)
from persimmonspoke.internal.ranges.worth import MoveReason

MIN_UTILISATION = 0.45  # while all targets are below it, few requests wait
MIN_GAP = 0.12  # difference in utilisation below which a move gains nothing
RELATIVE_GAP = 0.25  # minimum gap as a share of the busier target's utilisation
NOISE_DEVIATIONS = 2.0  # standard deviations within which a measured gap is noise
SPAN_COST = 4.0  # a move of a quarter of all keys ranks no better than no move
MAX_RANGES_PER_TARGET = 12  # on average; each range costs one order at each renewal
IDLE_RATE = 0.3  # requests a second up to which a range counts as idle
DOMINANT_SHARE = 0.5  # share of its owner's slots from which a key is not part of a run
MIN_RELIEF = 0.04  # share of a target's slots; relieving less is not worth a move
KEY_COUNT = MAX_KEY - MIN_KEY + 1


@dataclass(frozen=True, slots=True)
class EligibleTarget:
    """A target that may own keys."""

    target_id: TargetId
    slots: int


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """One piece of a range, and the targets that should own its parts.

    Attributes
    ----------
    shares : tuple of (KeyRange, TargetId)
        Each part with its new owner; the parts cover the piece, in the order of keys.
    reason : MoveReason or None
        What decided the move.
    """

    piece: KeyRange
    shares: tuple[tuple[KeyRange, TargetId], ...]
    reason: MoveReason | None = None

    @property
    def receivers(self) -> tuple[TargetId, ...]:
        """The targets that receive a part."""
        return tuple(target_id for _, target_id in self.shares)


def whole_move(
    piece: KeyRange, to: TargetId, reason: MoveReason | None = None
) -> PlannedMove:
    """Return the move of a piece to one target."""
    return PlannedMove(piece, ((piece, to),), reason)


def utilisation_by_target(
    service: ServiceId,
    ranges: RangeMap,
    eligible: Iterable[EligibleTarget],
    loads: Loads,
) -> dict[TargetId, float]:
    """Return the share of each target's capacity that requests for its keys occupy.

    The capacity is that of its slots, or its rate limit if that allows less.
    """
    found = {}
    for target in eligible:
        rate = sum(loads.rate(service, r) for r in ranges.owned_by(target.target_id))
        found[target.target_id] = rate * loads.request_cost(
            target.target_id, target.slots
        )
    return found


def plan_move(
    service: ServiceId,
    ranges: RangeMap,
    eligible: tuple[EligibleTarget, ...],
    loads: Loads,
    transferring: frozenset[TargetId],
    moving: Iterable[tuple[int, int]],
) -> PlannedMove | None:
    """Return a move from the busiest to the least busy target, or None.

    If the busiest target has no suitable piece, the next busiest ones are tried.

    Parameters
    ----------
    transferring : frozenset of TargetId
        Targets that can't take part, because they are in a transfer already.
    moving : iterable of (int, int)
        First and last keys of the transfers in progress.
    """
    utilisation = utilisation_by_target(service, ranges, eligible, loads)
    available = {
        target.target_id: target
        for target in eligible
        if target.target_id not in transferring
    }
    if len(available) < 2:
        return None
    least_busy = min(available, key=utilisation.__getitem__)
    for busiest in sorted(available, key=utilisation.__getitem__, reverse=True):
        gap = utilisation[busiest] - utilisation[least_busy]
        # The move should leave both targets equally busy.
        source_cost = loads.request_cost(busiest, available[busiest].slots)
        receiver_cost = loads.request_cost(least_busy, available[least_busy].slots)
        noise = (
            NOISE_DEVIATIONS
            * source_cost
            * loads.deviation(utilisation[busiest] / source_cost)
        )
        if utilisation[busiest] < MIN_UTILISATION or gap < max(
            MIN_GAP, RELATIVE_GAP * utilisation[busiest], noise
        ):
            return None
        wanted_rate = gap / (source_cost + receiver_cost)
        owned = ranges.owned_by(busiest)
        piece = best_piece(service, owned, loads, wanted_rate, source_cost, moving)
        if piece is not None:
            return whole_move(piece, least_busy)
    return None


def dominant_keys(
    service: ServiceId, entries: Iterable[KeyRange], loads: Loads, cost: float
) -> dict[int, float]:
    """Return the keys that each occupy much of their target's slots, with their rates.

    Moving such a key gains nothing unless the other target is faster.

    Parameters
    ----------
    cost : float
        Utilisation of the owner that one request a second adds.
    """
    return {
        key: rate
        for entry in entries
        for key, rate in loads.keys(service, entry)
        if rate * cost >= DOMINANT_SHARE
    }


def best_piece(
    service: ServiceId,
    entries: Iterable[KeyRange],
    loads: Loads,
    wanted_rate: float,
    cost: float,
    moving: Iterable[tuple[int, int]],
    min_relief: float = MIN_RELIEF,
    span_cost: float = SPAN_COST,
) -> KeyRange | None:
    """Return the piece of a target's ranges whose load is closest to `wanted_rate`.

    Return None if moving it would be worse than moving nothing, or would relieve its
    owner of less than `min_relief` of its slots.

    Parameters
    ----------
    cost : float
        Utilisation of the owner that one request a second adds.
    """
    moving = tuple(moving)
    excluded = dominant_keys(service, entries, loads, cost)
    best = None
    for entry in entries:
        if any(entry.overlaps(first, last) for first, last in moving):
            continue
        for keys in _runs_without(loads.keys(service, entry), excluded):
            run = best_run(keys, wanted_rate, span_cost)
            if run is not None and (best is None or run[2] < best[1][2]):
                best = (entry, run)
    if best is None:
        return None
    entry, (first, last, error) = best
    piece = replace(entry, first=first, last=last)
    if error >= wanted_rate or loads.rate(service, piece) * cost < min_relief:
        return None
    return piece


def _runs_without(keys, excluded):
    """Yield the runs of `keys` between those in `excluded`."""
    run = []
    for key, rate in keys:
        if key in excluded:
            yield run
            run = []
        else:
            run.append((key, rate))
    yield run


def plan_merge(
    service: ServiceId,
    ranges: RangeMap,
    eligible: tuple[EligibleTarget, ...],
    loads: Loads,
    transferring: frozenset[TargetId],
    moving: Iterable[tuple[int, int]],
) -> PlannedMove | None:
    """Return the move of an idle range to the target that owns both its neighbours.

    The three then become one grant.  Each range costs one order at every renewal, so
    pieces that were split off under an earlier load are moved back.  Return None
    while there are few ranges.
    """
    if len(ranges.ranges) <= MAX_RANGES_PER_TARGET * len(eligible):
        return None
    available = {target.target_id for target in eligible} - transferring
    moving = tuple(moving)
    best = None
    for before, entry, after in zip(
        ranges.ranges, ranges.ranges[1:], ranges.ranges[2:], strict=False
    ):
        if before.owner != after.owner or not {entry.owner, before.owner} <= available:
            continue
        if any(before.first <= last and first <= after.last for first, last in moving):
            continue
        rate = loads.rate(service, entry)
        if rate <= IDLE_RATE and (best is None or rate < best[0]):
            best = (rate, whole_move(entry, before.owner))
    return best[1] if best else None


def best_run(
    keys: list[tuple[int, float]], wanted_rate: float, span_cost: float = SPAN_COST
) -> tuple[int, int, float] | None:
    """Return first key, last key and error of the run of keys closest to `wanted_rate`.

    The error is the difference between the run's load and `wanted_rate`.
    A short run with a small error ranks before a long one that fits better, because
    transferring keys has a cost.
    """
    sums = [0.0, *accumulate(rate for _, rate in keys)]
    best = None
    for start in range(len(keys)):
        # The runs whose load is just below and just above the wanted rate.
        end = bisect_left(sums, sums[start] + wanted_rate, lo=start + 1)
        for stop in {max(start + 1, end - 1), min(end, len(keys))}:
            error = abs(sums[stop] - sums[start] - wanted_rate)
            span = keys[stop - 1][0] - keys[start][0]
            rank = error / wanted_rate + span_cost * span / KEY_COUNT
            if best is None or rank < best[0]:
                best = (rank, (keys[start][0], keys[stop - 1][0], error))
    return best[1] if best else None


def cut_evenly(entry: KeyRange, keys: list[tuple[int, float]], count: int):
    """Cut a range into at most `count` pieces of about the same load."""
    total = sum(rate for _, rate in keys)
    if count < 2 or total <= 0:
        return (entry,)
    pieces, first, load = [], entry.first, 0.0
    for key, rate in keys:
        load += rate
        if load >= total / count and key < entry.last and len(pieces) < count - 1:
            pieces.append(replace(entry, first=first, last=key))
            first, load = key + 1, 0.0
    pieces.append(replace(entry, first=first))
    return tuple(pieces)
