"""Relieves the owners of hot runs: neighbouring keys that are suddenly hot together.

Few keys carry most of the load of such a run, so moving them costs little.
"""

from dataclasses import replace

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.ranges.load_view import LoadView, key_share
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import KEY_COUNT, PlannedMove, best_run
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.rising_load import expected_growth
from persimmonspoke.internal.ranges.worth import (
    MoveCause,
    MoveReason,
    is_worth,
    move_cost,
)

HOT_DENSITY = 8.0  # requests for each key of a run, over those for each of all keys
MIN_REQUESTS = 5.0  # counted requests below which a run may be chance
MIN_RELIEF = 0.03  # utilisation of the owner
# A spell lasts 3 to 5 s; it is noticed and relieved about a second after its start.
LASTS_S = 2.5
MAX_SHARE = 1.1  # of the excess load; a run with more is cut


def plan_hot_run(
    view: LoadView,
    target_id: TargetId,
    excess_rate: float,
    rooms: dict[TargetId, float],
    longer: Loads | None = None,
) -> PlannedMove | None:
    """Return the move that divides a target's hot run among targets with room, or None.

    Each receiver gets what it has room for at its own speed, so none is overloaded in
    the owner's place.

    Parameters
    ----------
    excess_rate : float
        Requests a second of which the target should be relieved.
    rooms : dict of TargetId to float
        Requests a second that each possible receiver can take.
    longer : Loads or None
        Averages over a longer time, which show how much the load still rises.
    """
    entry, run = _hottest_range(view, target_id)
    if entry is None:
        return None
    whole = replace(entry, first=run[0][0], last=run[-1][0])
    growth = expected_growth(view, whole, longer)
    run = [(key, growth * rate) for key, rate in run]
    run_rate = sum(rate for _, rate in run)
    excess_rate += run_rate * (1 - 1 / growth)
    wanted = min(excess_rate, sum(rooms.values()))
    piece = _part_of_run(entry, run, run_rate, wanted)
    if piece is None:
        return None
    keys = [(key, rate) for key, rate in run if piece.first <= key <= piece.last]
    rate = sum(key_rate for _, key_rate in keys)
    cost = move_cost(key_share(piece), rate, view.total_rate)
    gain = LASTS_S * min(rate, excess_rate)
    if not is_worth(gain, cost):
        return None
    reason = MoveReason(
        MoveCause.HOT_RUN, view.utilisation[target_id], view.mean, rate, gain, cost
    )
    return PlannedMove(piece, split_by_room(piece, keys, rooms), reason)


def _hottest_range(view, target_id):
    """Return the range of a target's hottest run and the run; (None, None) without."""
    best, best_rate = (None, None), MIN_RELIEF / view.cost[target_id]
    price = HOT_DENSITY * view.total_rate / KEY_COUNT
    excluded = view.dominant_keys(target_id)
    for entry in view.owned(target_id):
        if view.is_transferring(entry):
            continue
        keys = view.loads.keys(view.service, entry)
        run = _hottest_run(keys, price, excluded)
        rate = sum(key_rate for _, key_rate in run)
        is_significant = view.loads.requests(rate) >= MIN_REQUESTS
        if is_significant and rate > best_rate:
            best, best_rate = (entry, run), rate
    return best


def _part_of_run(entry, run, run_rate, wanted) -> KeyRange | None:
    """Return the part of a run with about the wanted rate, or None."""
    if wanted <= 0:
        return None
    first, last = run[0][0], run[-1][0]
    if run_rate > MAX_SHARE * wanted:
        found = best_run(run, wanted, 0.0)
        if found is None or found[2] >= wanted:
            return None
        first, last, _ = found
    return replace(entry, first=first, last=last)


def _hottest_run(keys, price, excluded):
    """Return the run of keys with the highest rate after `price` for each key's gap.

    Parameters
    ----------
    excluded : container of int
        Keys that are part of no run.
    """
    best, best_value = (0, 0), 0.0
    start, value, before = 0, 0.0, None
    for number, (key, rate) in enumerate(keys):
        if key in excluded:
            value, before, start = 0.0, None, number + 1
            continue
        value -= price * (key - before) if before is not None else 0.0
        if value <= 0.0:
            start, value = number, 0.0
        value += rate
        before = key
        if value > best_value:
            best, best_value = (start, number + 1), value
    return keys[best[0] : best[1]]


def split_by_room(
    piece: KeyRange, keys: list[tuple[int, float]], rooms: dict[TargetId, float]
) -> tuple[tuple[KeyRange, TargetId], ...]:
    """Cut a piece so that each receiver gets about what it has room for.

    Targets with the most room come first, so that there are few receivers.

    Parameters
    ----------
    keys : list of (int, float)
        The keys of the piece that have load, in order, with their rates.
    """
    # A further receiver is never worth less than one key.
    receivers = sorted(rooms, key=lambda name: (-rooms[name], name))
    shares, first, load, number = [], piece.first, 0.0, 0
    for key, rate in keys:
        room = rooms[receivers[number]]
        if load and load + rate / 2 > room and number + 1 < len(receivers):
            part = replace(piece, first=first, last=key - 1)
            shares.append((part, receivers[number]))
            first, load, number = key, 0.0, number + 1
        load += rate
    shares.append((replace(piece, first=first), receivers[number]))
    return tuple(shares)
