"""Which keys an overloaded target should give away at once; pure functions."""

from collections.abc import Iterable
from dataclasses import replace

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    PlannedMove,
    Seat,
    best_piece,
    dominant_keys,
    utilisations,
    whole_move,
)
from persimmonspoke.internal.ranges.ranges import KeyRange, RangeMap

CHANCE = 1.5  # standard deviations of a measured load that mean nothing
OVERLOADED = 0.8  # utilisation from which a target's queue outlasts an objective
TAKER_RELIEF = 0.08  # of utilisation, by which one more taker must help
LEAST_RELIEF = 0.015  # of an overloaded target's slots; less is not worth a move
SPAN_COST = 0.5  # as in the planner; under overload even most keys may move
MOST_TAKERS = 6  # a hot class's share is within six targets' slots
FASTER = 0.8  # of the time that a dominant key takes now, at most, to be worth a move


def plan_spread(
    service: ServiceId,
    ranges: RangeMap,
    seats: tuple[Seat, ...],
    loads: Loads,
    closed: frozenset[TargetId],
    held: Iterable[tuple[int, int]],
) -> PlannedMove | None:
    """Return the move that relieves an overloaded target most.

    A key that alone is too much goes to the fastest target; of all others, the
    excess is divided among several targets.  Parameters are those of `plan_move`.
    """
    view = _View(service, ranges, seats, loads, closed, tuple(held))
    if len(view.cost) < 2:
        return None
    for target_id in sorted(view.cost, key=view.busy.__getitem__, reverse=True):
        if not view.is_overloaded(target_id):
            continue
        plan = _move_dominant(view, target_id) or _divide(view, target_id)
        if plan is not None:
            return plan
    return None


class _View:
    """The load of a service's targets at one moment.

    Attributes
    ----------
    busy, rates, cost : dict of TargetId to float
        Utilisation, requests a second, and utilisation that one request a second
        adds; of targets that neither give nor take already.
    """

    def __init__(self, service, ranges, seats, loads, closed, held):
        self.service = service
        self.ranges = ranges
        self.loads = loads
        self.held = held
        self.cost = {
            seat.target_id: loads.service_s(seat.target_id) / seat.slots
            for seat in seats
            if seat.target_id not in closed
        }
        self.busy = utilisations(service, ranges, seats, loads)
        self.rates = {name: self.busy[name] / cost for name, cost in self.cost.items()}

    def is_overloaded(self, target_id):
        """Return whether a target's load is too much, and hardly so by chance."""
        if self.dominant_keys(target_id):
            # So many requests for one key do not come by chance.
            return self.busy[target_id] >= OVERLOADED
        cost, rate = self.cost[target_id], self.rates[target_id]
        chance = CHANCE * cost * self.loads.deviation(rate)
        return self.busy[target_id] - chance >= OVERLOADED

    def dominant_keys(self, target_id):
        """Return a target's dominant keys, with their rates."""
        owned = self.ranges.owned_by(target_id)
        return dominant_keys(self.service, owned, self.loads, self.cost[target_id])

    def range_of(self, key) -> KeyRange | None:
        """Return a key as a range of its own; None if it is being moved."""
        piece = replace(self.ranges.of(key), first=key, last=key)
        return None if self.is_held(piece) else piece

    def is_held(self, piece):
        """Return whether any key of a piece is being moved."""
        return any(piece.overlaps(first, last) for first, last in self.held)


def _move_dominant(view, target_id) -> PlannedMove | None:
    """Return the move of a target's heaviest dominant key to a faster one, if any."""
    found = view.dominant_keys(target_id)
    if not found:
        return None
    key = max(found, key=found.__getitem__)
    piece = view.range_of(key)
    if piece is None:
        return None

    def after(name):
        """Return how busy a target would be by its dominant keys alone."""
        rates = [r for k, r in view.dominant_keys(name).items() if k != key]
        return view.cost[name] * (sum(rates) + found[key])

    best = min(view.cost, key=lambda name: (after(name), name))
    if after(best) > FASTER * after(target_id):
        return None
    return whole_move(piece, best)


def _divide(view, target_id) -> PlannedMove | None:
    """Return the move that divides a target's excess among less busy ones."""
    cost = view.cost[target_id]
    fixed = sum(view.dominant_keys(target_id).values())
    movable = view.rates[target_id] - fixed
    others = sorted(view.cost.keys() - {target_id}, key=view.busy.__getitem__)
    takers, level = _takers(view, others, movable, fixed * cost, cost)
    if fixed and level <= fixed * cost:
        piece = _busiest_rest(view, target_id)
    else:
        excess = movable - max(0.0, level - fixed * cost) / cost
        owned = view.ranges.owned_by(target_id)
        given = (view.service, owned, view.loads, excess, cost, view.held)
        piece = best_piece(*given, LEAST_RELIEF, SPAN_COST) if excess > 0 else None
    if piece is None:
        return None
    room = [(name, level / view.cost[name] - view.rates[name]) for name in takers]
    return PlannedMove(piece, _cut(piece, view.loads.keys(view.service, piece), room))


def _busiest_rest(view, target_id) -> KeyRange | None:
    """Return the busiest run of a target's keys without a dominant one, if any.

    Such a target should give away even keys that were not asked for of late.
    """
    fixed = view.dominant_keys(target_id)
    best, most = None, LEAST_RELIEF / view.cost[target_id]
    for entry in view.ranges.owned_by(target_id):
        inside = sorted(key for key in fixed if entry.first <= key <= entry.last)
        firsts = [entry.first, *(key + 1 for key in inside)]
        lasts = [*(key - 1 for key in inside), entry.last]
        for first, last in zip(firsts, lasts, strict=True):
            piece = replace(entry, first=first, last=last)
            if first > last or view.is_held(piece):
                continue
            rate = view.loads.rate(view.service, piece)
            if rate >= most:
                best, most = piece, rate
    return best


def _takers(view, others, movable, fixed_busy, cost):
    """Return who should share a target's movable load, and how busy all then are.

    Another taker is worth its grant only if it makes all others clearly less busy.
    """

    def level(count):
        total = movable + sum(view.rates[name] for name in others[:count])
        speed = sum(1 / view.cost[name] for name in others[:count])
        if fixed_busy >= total / speed:
            return total / speed
        return (total + fixed_busy / cost) / (speed + 1 / cost)

    count = 1
    most = min(len(others), MOST_TAKERS)
    while count < most and level(count) - level(count + 1) >= TAKER_RELIEF:
        count += 1
    return others[:count], level(count)


def _cut(piece, keys, room):
    """Cut a piece so that each taker gets about the requests that it has room for.

    Parameters
    ----------
    room : list of (TargetId, float)
        Takers, with requests a second.
    """
    shares, first, load = [], piece.first, 0.0
    room = list(room)
    for key, weight in keys:
        target_id, most = room[0]
        if load and load + weight / 2 > most and len(room) > 1:
            shares.append((replace(piece, first=first, last=key - 1), target_id))
            first, load = key, 0.0
            room.pop(0)
        load += weight
    shares.append((replace(piece, first=first), room[0][0]))
    return tuple(shares)
