"""Places a dominant key: a single key that is too much for its owner.

A key has one owner, so it can only move to a faster one.
"""

from dataclasses import replace

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.ranges.hot_runs import split_by_room
from persimmonspoke.internal.ranges.load_view import LoadView, key_share
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import PlannedMove, best_run, whole_move
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.rising_load import expected_growth, is_falling
from persimmonspoke.internal.ranges.worth import (
    PAUSE_S,
    MoveCause,
    MoveReason,
    is_worth,
    move_cost,
)

LASTS_S = 6.0  # moving a single key costs little
# Longer than a spell: with 2.5 s a hot key of a fleet of ten targets was relieved too
# late (0.970 of the requests in time, 0.980 with single moves).
NEIGHBOURS_LAST_S = 8.0
MAX_COST_RATIO = 0.8  # new to old owner; a smaller difference in speed may be noise
# Measured rates are noisy, and a key a little above its owner's capacity is
# still served almost whole.
MAX_SERVABLE = 1.4
NOISE_DEVIATIONS = 1.0  # by which a rate must be above that
MAX_GROWTH = 1.6  # a rate that still rises more says little about its final value
MIN_RELIEF = 0.04  # utilisation of the owner
MAX_SHARE = 1.4  # of the excess load; with less, all neighbours move at once


def plan_dominant_key(view: LoadView, target_id: TargetId) -> PlannedMove | None:
    """Return the move of a target's busiest dominant key to a faster target, or None.

    The requests for the receiver's other keys compete with those for the key, so both
    targets are weighed together.
    """
    found = view.dominant_keys(target_id)
    if not found:
        return None
    key = max(found, key=found.__getitem__)
    piece = view.single_key_range(key)
    if piece is None:
        return None
    rate = found[key]
    best, best_gain = None, 0.0
    for name in sorted(view.available):
        if view.cost[name] > MAX_COST_RATIO * view.cost[target_id]:
            continue
        gain = _served_more(view, target_id, name, rate)
        if gain > best_gain:
            best, best_gain = name, gain
    if best is None:
        return None
    served = min(rate, 1 / view.cost[target_id])
    cost = move_cost(key_share(piece), 0.0, view.total_rate) + PAUSE_S * served
    gain = LASTS_S * best_gain
    if not is_worth(gain, cost):
        return None
    reason = MoveReason(
        MoveCause.DOMINANT_KEY, view.utilisation[target_id], view.mean, rate, gain, cost
    )
    return whole_move(piece, best, reason)


def _served_more(view, source, receiver, rate):
    """Return the requests a second that are served in addition after the move."""
    at_source, at_receiver = view.rates[source], view.rates[receiver]
    source_capacity, receiver_capacity = 1 / view.cost[source], 1 / view.cost[receiver]
    before = min(at_source, source_capacity) + min(at_receiver, receiver_capacity)
    after = min(at_source - rate, source_capacity)
    after += min(at_receiver + rate, receiver_capacity)
    return after - before


def plan_neighbours(
    view: LoadView,
    target_id: TargetId,
    excess_rate: float,
    rooms: dict[TargetId, float],
    longer: Loads,
) -> PlannedMove | None:
    """Return the move of other keys away from the owner of dominant keys, or None.

    If the owner could not serve its dominant keys even without others, moving these
    would be a wide move that relieves nobody.

    Parameters
    ----------
    excess_rate : float
        Requests a second of which the target should be relieved.
    rooms : dict of TargetId to float
        Requests a second that each possible receiver can take.
    longer : Loads
        As for `expected_growth`.
    """
    surely = 0.0
    for key, rate in view.dominant_keys(target_id).items():
        whole = replace(view.ranges.find(key), first=key, last=key)
        growth = expected_growth(view, whole, longer)
        if growth > MAX_GROWTH or is_falling(view, whole, longer):
            return None
        excess_rate += rate * (growth - 1)
        surely += growth * (rate - NOISE_DEVIATIONS * view.loads.deviation(rate))
    if surely * view.cost[target_id] > MAX_SERVABLE:
        return None
    piece = _busiest_neighbours(view, target_id)
    if piece is None:
        return None
    keys = view.loads.keys(view.service, piece)
    rate = sum(key_rate for _, key_rate in keys)
    if rate > MAX_SHARE * excess_rate:
        found = best_run(keys, excess_rate) if excess_rate > 0 else None
        if found is None:
            return None
        piece = replace(piece, first=found[0], last=found[1])
        keys = [(key, r) for key, r in keys if found[0] <= key <= found[1]]
        rate = sum(key_rate for _, key_rate in keys)
    cost = move_cost(key_share(piece), rate, view.total_rate)
    gain = NEIGHBOURS_LAST_S * min(rate, excess_rate)
    if not keys or not is_worth(gain, cost):
        return None
    reason = MoveReason(
        MoveCause.NEIGHBOURS, view.utilisation[target_id], view.mean, rate, gain, cost
    )
    return PlannedMove(piece, split_by_room(piece, keys, rooms), reason)


def _busiest_neighbours(view, target_id) -> KeyRange | None:
    """Return the busiest run of a target's keys that has no dominant key, or None.

    It includes the keys without recent requests up to the next dominant key or the end
    of the range, since other requests will be for these.
    """
    dominant = view.dominant_keys(target_id)
    best, max_rate = None, MIN_RELIEF / view.cost[target_id]
    for entry in view.owned(target_id):
        inside = sorted(key for key in dominant if entry.first <= key <= entry.last)
        firsts = [entry.first, *(key + 1 for key in inside)]
        lasts = [*(key - 1 for key in inside), entry.last]
        for first, last in zip(firsts, lasts, strict=True):
            if first > last:
                continue
            piece = replace(entry, first=first, last=last)
            rate = view.loads.rate(view.service, piece)
            if rate >= max_rate and not view.is_transferring(piece):
                best, max_rate = piece, rate
    return best
