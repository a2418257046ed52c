"""Deals the keys of a target that is lost or leaving to others, by their capacity."""

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.ranges.hot_runs import split_by_room
from persimmonspoke.internal.ranges.load_view import MIN_LEVEL, LoadView
from persimmonspoke.internal.ranges.ranges import KeyRange

MAX_RECEIVERS = (
    6  # of all ranges of one target, if it has fewer ranges; each has a grant
)
MIN_ROOM = 0.02  # utilisation that any target can take of keys that have no owner
# Share of a usual key's load that a key without measured load counts for, so that idle
# ranges don't all go to one target.
IDLE_KEY_LOAD = 0.25


def room_for_lost_keys(
    view: LoadView, names: tuple[TargetId, ...]
) -> dict[TargetId, float]:
    """Return the requests a second that each target can take, all of them positive.

    Without room anywhere, keys have to go somewhere: to where they crowd least.
    """
    level = max(MIN_LEVEL, view.mean + MIN_ROOM)
    return {
        name: max(MIN_ROOM, level - view.utilisation[name]) / view.cost[name]
        for name in names
    }


def deal_lost_keys(
    entries: list[KeyRange],
    loads_by_entry: list[list[tuple[int, float]]],
    rooms: dict[TargetId, float],
    usual_key_rate: float,
) -> list[tuple[KeyRange, TargetId]]:
    """Return pieces of ranges, each with its new owner.

    The targets with the most room get pieces as large as their room, at their own
    speed.  If there is too little room for all, they are overloaded in proportion.

    Parameters
    ----------
    entries : list of KeyRange
        The ranges, in the order of keys.
    loads_by_entry : list of list of (int, float)
        For each range, its keys with load in order, with their rates.
    rooms : dict of TargetId to float
        Requests a second that each target can take, positive; not empty.
    usual_key_rate : float
        Requests a second for a usual key of the service.
    """
    idle_rate = IDLE_KEY_LOAD * usual_key_rate
    rates = [
        sum(rate for _, rate in keys) + idle_rate * (entry.last - entry.first + 1)
        for entry, keys in zip(entries, loads_by_entry, strict=True)
    ]
    names = sorted(rooms, key=lambda name: (-rooms[name], name))[:MAX_RECEIVERS]
    scale = max(1.0, sum(rates) / sum(rooms[name] for name in names))
    left = {name: scale * rooms[name] for name in names}
    dealt = []
    # The busiest ranges are cut first, while there is most choice.
    for number in sorted(range(len(entries)), key=lambda n: (-rates[n], n)):
        entry = entries[number]
        keys = _with_idle_keys(entry, loads_by_entry[number], idle_rate)
        best = max(left, key=lambda name: (left[name], name))
        if rates[number] <= left[best] or len(entries) >= len(names):
            shares = ((entry, best),)
        else:
            # A target without room left would get one key.
            open_ = {name: room for name, room in left.items() if room > 0}
            shares = split_by_room(entry, keys, open_ or {best: 0.0})
        for piece, name in shares:
            rate = sum(r for key, r in keys if piece.first <= key <= piece.last)
            left[name] -= rate
            dealt.append((piece, name))
    return sorted(dealt, key=lambda row: row[0].first)


def _with_idle_keys(entry, keys, idle_rate):
    """Return the loads of a range with an idle load at points across it."""
    count = entry.last - entry.first + 1
    step = max(1, count // 64)
    rates = dict(keys)
    for first in range(entry.first, entry.last + 1, step):
        part = min(step, entry.last + 1 - first)
        rates[first] = rates.get(first, 0.0) + idle_rate * part
    return sorted(rates.items())
