"""Plans urgent moves of keys away from overloaded targets; pure functions."""

from collections.abc import Iterable

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.dominant_key import (
    plan_dominant_key,
    plan_neighbours,
)
from persimmonspoke.internal.ranges.hot_runs import plan_hot_run, split_by_room
from persimmonspoke.internal.ranges.load_view import LoadView, key_share
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
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

NOISE_DEVIATIONS = 1.5  # standard deviations within which an overload is noise
# A move of a hot run costs little, so one that chance has brought about does no harm.
HOT_RUN_DEVIATIONS = 0.5
SURE_DEVIATIONS = 3.0  # the same for wide moves by averages over a short time
OVERLOADED = 0.8  # utilisation from which requests queue for longer than an objective
# Where all targets are as busy, a move relieves nobody.
OVERLOADED_OVER_MEAN = 1.15
MIN_ROOM = 0.08  # utilisation that a receiver must be able to take
MIN_RELIEF = 0.015  # share of a target's slots; relieving less is not worth a move
SPAN_COST = 0.5  # as in the planner, but low: under overload even most keys may move
MAX_RECEIVERS = 32  # of a wide piece of keys; each costs a grant
LASTS_S = 6.0  # for which an overload that is no hot run is expected to last


def plan_spread(
    service: ServiceId,
    ranges: RangeMap,
    eligible: tuple[EligibleTarget, ...],
    loads: Loads,
    transferring: frozenset[TargetId],
    moving: Iterable[tuple[int, int]],
    longer: Loads | None = None,
) -> list[PlannedMove]:
    """Return moves that relieve the overloaded targets, the busiest first.

    A dominant key moves to a faster target.  A hot run is divided among the targets
    that have room.  Wide pieces of keys with little load move only for an overload
    that lasts, and if that relieves their owner.

    Parameters
    ----------
    transferring : frozenset of TargetId
        Targets that can't take part, because they are in a transfer already.
    moving : iterable of (int, int)
        First and last keys of the transfers in progress.
    longer : Loads or None
        Averages over a longer time than `loads`, if these are so short that an
        overload in them may be over soon.
    """
    view = LoadView(service, ranges, eligible, loads, transferring, moving)
    if len(view.available) < 2:
        return []
    level = view.fill_level()
    if longer is None:
        rooms = view.rooms(level, MIN_ROOM)
    else:
        # The targets with the most room by a short average are those with most noise.
        rooms = view.rooms_by_both(longer, level, MIN_ROOM)
    plans = []
    for target_id in sorted(
        view.available, key=lambda name: (-view.utilisation[name], name)
    ):
        if target_id not in view.available or not is_overloaded(
            view, target_id, HOT_RUN_DEVIATIONS
        ):
            continue
        others = {name: room for name, room in rooms.items() if name != target_id}
        plan = _relieve(view, target_id, others, level, longer)
        if plan is None:
            continue
        plans.append(plan)
        rooms.pop(target_id, None)
        for piece, name in plan.shares:
            # A target takes part in one dominant key's move only.
            taken = loads.rate(service, piece)
            rooms[name] = rooms.get(name, 0.0) - taken
            if rooms[name] * view.cost[name] < MIN_ROOM:
                del rooms[name]
        view.available -= {target_id}
        if plan.reason.cause is MoveCause.DOMINANT_KEY:
            view.available -= set(plan.receivers)
    return plans


def is_overloaded(
    view: LoadView, target_id: TargetId, deviations: float = NOISE_DEVIATIONS
) -> bool:
    """Return whether a target is overloaded beyond the noise of measurement."""
    threshold = max(OVERLOADED, OVERLOADED_OVER_MEAN * view.mean)
    if view.dominant_keys(target_id):
        # Noise does not bring so many requests for a single key.
        return view.utilisation[target_id] >= threshold
    noise = view.noise(target_id, deviations)
    return view.utilisation[target_id] - noise >= threshold


def _relieve(view, target_id, rooms, level, longer) -> PlannedMove | None:
    """Return the best move that relieves one overloaded target, or None."""
    surely = is_overloaded(view, target_id)
    plan = plan_dominant_key(view, target_id) if surely else None
    if plan is not None or not rooms:
        return plan
    excess = (view.utilisation[target_id] - level) / view.cost[target_id]
    plan = plan_hot_run(view, target_id, excess, rooms, longer)
    if plan is not None or not surely:
        return plan
    if view.dominant_keys(target_id):
        if longer is None:
            # By an average over so long a spell that has ended seems to go on.
            return None
        return plan_neighbours(view, target_id, excess, rooms, longer)
    if longer is not None and not is_overloaded(view, target_id, SURE_DEVIATIONS):
        return None
    return _move_wide_piece(view, target_id, excess, rooms)


def _move_wide_piece(view, target_id, excess, rooms) -> PlannedMove | None:
    """Return the move of a piece of keys, each with little load, or None."""
    names = sorted(rooms, key=lambda name: (-rooms[name], name))[:MAX_RECEIVERS]
    rooms = {name: rooms[name] for name in names}
    wanted = min(excess, sum(rooms.values()))
    if wanted <= 0:
        return None
    piece = best_piece(
        view.service,
        view.owned(target_id),
        view.loads,
        wanted,
        view.cost[target_id],
        view.moving,
        MIN_RELIEF,
        SPAN_COST,
    )
    if piece is None:
        return None
    keys = view.loads.keys(view.service, piece)
    rate = sum(key_rate for _, key_rate in keys)
    cost = move_cost(key_share(piece), rate, view.total_rate)
    gain = LASTS_S * min(rate, excess)
    if not is_worth(gain, cost):
        return None
    reason = MoveReason(
        MoveCause.OVERLOAD, view.utilisation[target_id], view.mean, rate, gain, cost
    )
    return PlannedMove(piece, split_by_room(piece, keys, rooms), reason)
