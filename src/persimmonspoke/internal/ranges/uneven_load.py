"""Evens out lasting differences in utilisation, several moves in one round.

Differences that last are those of averages over ten seconds.  A hot spell is over
before such an average follows it, and what it leaves in the average is left out.
"""

from collections.abc import Iterable

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.hot_runs import split_by_room
from persimmonspoke.internal.ranges.load_view import LoadView, key_share
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    MIN_UTILISATION,
    EligibleTarget,
    PlannedMove,
    best_piece,
)
from persimmonspoke.internal.ranges.ranges import RangeMap
from persimmonspoke.internal.ranges.worth import (
    MoveCause,
    MoveReason,
    is_worth,
    move_cost,
)

GAP = 0.15  # utilisation over the mean, as a share of it, below which nothing moves
NOISE_DEVIATIONS = 2.0
LEVEL_OVER_MEAN = 1.03  # relative utilisation that owners and receivers should have
MIN_ROOM = 0.05
SPAN_COST = 4.0  # a move of a quarter of all keys ranks no better than no move
MAX_RECEIVERS = 3
MAX_MOVES = 64  # in one round
LASTS_S = 20.0  # for which a difference is expected to last
# Share of that time in which the target is overloaded, as at the peak of an
# oscillation; the rest of the time a move relieves nobody.
OVERLOADED_SHARE = 0.25


def plan_uneven_load(
    service: ServiceId,
    ranges: RangeMap,
    eligible: tuple[EligibleTarget, ...],
    loads: Loads,
    transferring: frozenset[TargetId],
    moving: Iterable[tuple[int, int]],
    recent: Loads,
) -> list[PlannedMove]:
    """Return moves that give all targets about the same utilisation.

    Parameters
    ----------
    loads : Loads
        Averages over about ten seconds.
    recent : Loads
        Averages over less time.  An owner of hot keys, which `loads` leave out, has no
        room for other keys.
    """
    view = LoadView(service, ranges, eligible, loads, transferring, moving)
    if len(view.available) < 2:
        return []
    level = LEVEL_OVER_MEAN * view.mean
    rooms = view.rooms_by_both(recent, level, MIN_ROOM)
    plans = []
    for target_id in sorted(
        view.available, key=lambda name: (-view.utilisation[name], name)
    ):
        if not rooms or len(plans) >= MAX_MOVES:
            break
        if not _is_uneven(view, target_id):
            continue
        excess = (view.utilisation[target_id] - level) / view.cost[target_id]
        plan = _move(view, target_id, excess, rooms)
        if plan is None:
            continue
        plans.append(plan)
        for piece, name in plan.shares:
            rooms[name] -= loads.rate(service, piece)
        rooms = {
            name: room for name, room in rooms.items() if room * view.cost[name] >= 0.02
        }
    return plans


def _is_uneven(view, target_id):
    utilisation = view.utilisation[target_id]
    noise = view.noise(target_id, NOISE_DEVIATIONS)
    threshold = max(MIN_UTILISATION, (1 + GAP) * view.mean)
    return utilisation - noise >= threshold


def _move(view, target_id, excess, rooms) -> PlannedMove | None:
    """Return the move of a target's excess load to the targets with the most room."""
    names = sorted(rooms, key=lambda name: (-rooms[name], name))[:MAX_RECEIVERS]
    rooms = {name: rooms[name] for name in names}
    wanted = min(excess, sum(rooms.values()))
    cost = view.cost[target_id]
    piece = best_piece(
        view.service,
        view.owned(target_id),
        view.loads,
        wanted,
        cost,
        view.moving,
        span_cost=SPAN_COST,
    )
    if piece is None:
        return None
    keys = view.loads.keys(view.service, piece)
    rate = sum(key_rate for _, key_rate in keys)
    gain = LASTS_S * OVERLOADED_SHARE * min(rate, excess)
    price = move_cost(key_share(piece), rate, view.total_rate)
    if not is_worth(gain, price):
        return None
    reason = MoveReason(
        MoveCause.UNEVEN, view.utilisation[target_id], view.mean, rate, gain, price
    )
    return PlannedMove(piece, split_by_room(piece, keys, rooms), reason)
