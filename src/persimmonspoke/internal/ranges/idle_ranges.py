"""Merges idle ranges with their neighbours, many at once.

Hot runs leave many short ranges behind, each of which costs an order at every renewal.
"""

from collections.abc import Iterable

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.load_view import key_share
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    IDLE_RATE,
    MAX_RANGES_PER_TARGET,
    EligibleTarget,
    PlannedMove,
    whole_move,
)
from persimmonspoke.internal.ranges.ranges import RangeMap
from persimmonspoke.internal.ranges.worth import MoveCause, MoveReason, move_cost

MAX_MERGES = 32  # at once; they share a commit
MAX_KEY_SHARE = 0.001  # of a range; merging a longer one costs more than its orders


def plan_merges(
    service: ServiceId,
    ranges: RangeMap,
    eligible: tuple[EligibleTarget, ...],
    loads: Loads,
    transferring: frozenset[TargetId],
    moving: Iterable[tuple[int, int]],
) -> list[PlannedMove]:
    """Return moves of idle ranges to the targets that own both their neighbours.

    Return none while there are few ranges.  The parameters are those of `plan_spread`.
    """
    if len(ranges.ranges) <= MAX_RANGES_PER_TARGET * len(eligible):
        return []
    available = {target.target_id for target in eligible} - transferring
    moving = tuple(moving)
    found = []
    for number, (before, entry, after) in enumerate(
        zip(ranges.ranges, ranges.ranges[1:], ranges.ranges[2:], strict=False)
    ):
        if before.owner != after.owner or not {entry.owner, before.owner} <= available:
            continue
        if any(before.first <= last and first <= after.last for first, last in moving):
            continue
        rate = loads.rate(service, entry)
        if rate <= IDLE_RATE and key_share(entry) <= MAX_KEY_SHARE:
            found.append((rate, number, entry, before.owner))
    plans, taken = [], set()
    for rate, number, entry, owner in sorted(found, key=lambda row: row[:2]):
        # Ranges that are merged at the same time must not be neighbours.
        if taken & {number, number + 1, number + 2}:
            continue
        taken |= {number, number + 1, number + 2}
        cost = move_cost(key_share(entry), rate, 0.0)
        reason = MoveReason(MoveCause.MERGE, 0.0, 0.0, rate, 0.0, cost)
        plans.append(whole_move(entry, owner, reason))
        if len(plans) >= MAX_MERGES:
            break
    return plans
