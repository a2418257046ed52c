"""Corrects the first deal of keys once the speeds of the targets are known.

Keys are first dealt by slots, because nothing is known of the targets' speeds.  A
second later each target has answered a few requests, which tell its speed, but too few
to tell which keys are busy.
"""

from dataclasses import replace

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.ranges.load_view import LoadView, key_share
from persimmonspoke.internal.ranges.planner import KEY_COUNT, PlannedMove
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.speeds import TargetSpeeds
from persimmonspoke.internal.ranges.worth import MoveCause, MoveReason, move_cost

MIN_ANSWERS = 6  # of a target whose speed counts as known
MIN_KNOWN = 0.8  # share of the targets whose speeds must be known
# A target's speed is known to about 12 % after six answers.
MIN_ERROR = 0.15  # keys too many or too few, as a share of a target's fair share


def speeds_are_known(speeds: TargetSpeeds, names: tuple[TargetId, ...]) -> bool:
    """Return whether enough targets have answered to correct the first deal."""
    known = sum(speeds.answers(name) >= MIN_ANSWERS for name in names)
    return bool(names) and known >= MIN_KNOWN * len(names)


def plan_correction(view: LoadView, speeds: TargetSpeeds) -> list[PlannedMove]:
    """Return the moves that give each target keys by its slots and its speed.

    Only the keys that a target has too many of move, most of them in one piece.
    """
    capacity = {name: slots * speeds.speed(name) for name, slots in view.slots.items()}
    total = sum(capacity.values())
    owned = {name: sum(map(key_share, view.owned(name))) for name in capacity}
    fair = {name: amount / total for name, amount in capacity.items()}
    surplus = {
        name: owned[name] - fair[name]
        for name in view.available
        if owned[name] - fair[name] >= MIN_ERROR * fair[name]
    }
    lack = {
        name: fair[name] - owned[name]
        for name in view.available
        if fair[name] - owned[name] >= MIN_ERROR * fair[name]
    }
    plans = []
    for donor in sorted(surplus, key=lambda name: (-surplus[name], name)):
        if not lack:
            break
        piece = _cut(view, donor, surplus[donor])
        if piece is None:
            continue
        shares = _share_out(piece, lack, fair)
        moved = replace(piece, first=shares[0][0].first, last=shares[-1][0].last)
        rate = view.total_rate * key_share(moved)
        reason = MoveReason(
            MoveCause.FIRST_DEAL,
            view.utilisation[donor],
            view.mean,
            rate,
            0.0,
            move_cost(key_share(moved), rate, view.total_rate),
        )
        plans.append(PlannedMove(moved, shares, reason))
    return plans


def _cut(view, target_id, share) -> KeyRange | None:
    """Return the end of a target's longest range, as long as `share` of all keys."""
    entries = [e for e in view.owned(target_id) if not view.is_transferring(e)]
    if not entries:
        return None
    entry = max(entries, key=lambda e: e.last - e.first)
    count = min(round(share * KEY_COUNT), entry.last - entry.first)
    return replace(entry, first=entry.last - count + 1) if count > 0 else None


def _share_out(piece, lack, fair):
    """Give a piece to the targets that lack most; reduces their `lack`.

    What is left of a piece once no target lacks keys stays with its owner.
    """
    shares, first = [], piece.first
    while lack and first <= piece.last:
        name = max(lack, key=lambda n: (lack[n], n))
        count = max(1, round(lack[name] * KEY_COUNT))
        last = min(piece.last, first + count - 1)
        shares.append((replace(piece, first=first, last=last), name))
        lack[name] -= (last - first + 1) / KEY_COUNT
        if lack[name] < MIN_ERROR / 2 * fair[name]:
            del lack[name]
        first = last + 1
    return tuple(shares)
