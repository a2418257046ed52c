"""Plans the transfer of keys out of evacuated data centres; pure functions."""

import math
from collections.abc import Iterable

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.ledger import Transfer
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    EligibleTarget,
    cut_evenly,
    utilisation_by_target,
)
from persimmonspoke.internal.ranges.ranges import KeyRange, RangeMap

TRANSFER_S = 0.8  # least time of a release, a commit and a grant that is planned for
TIME_SHARE = 0.7  # of the time left; the rest is for transfers that take longer
MIN_TRANSFERS = 8
MAX_TRANSFERS = 64  # each keeps an order to a target open on the leader

MAX_PIECES = 4  # more ranges would cost more orders at each renewal
MAX_PIECE_LOAD = 0.1  # share of a receiver's slots that one piece should fill
BASE_PIECE_LOAD = 0.01  # without it all idle pieces would go to one target

MAX_ROWS_PER_TRANSFER = 4  # a message of its own costs about as much as four rows


def transfer_count(
    waiting: int, in_progress: int, left_s: float, took_s: float = TRANSFER_S
) -> int:
    """Return how many more transfers to start now.

    As few are in progress at once as suffice, because their keys wait, and the
    receivers get used to the load of the hottest keys first.

    Parameters
    ----------
    waiting : int
        Ranges whose transfer has not started.
    in_progress : int
        Transfers out of evacuated data centres in progress.
    left_s : float
        Time until the owners get no more requests; may be negative.
    took_s : float
        Time that the slowest transfer has taken so far.  A release waits for the
        requests that the owner works on, and for those in its queue.
    """
    took_s = max(took_s, TRANSFER_S)
    usable_s = TIME_SHARE * left_s
    if usable_s <= took_s:
        wanted = MAX_TRANSFERS
    else:
        wanted = math.ceil((waiting + in_progress) * took_s / usable_s)
    wanted = min(max(wanted, MIN_TRANSFERS), MAX_TRANSFERS)
    return min(waiting, max(0, wanted - in_progress))


def hottest_first(
    service: ServiceId, entries: Iterable[KeyRange], loads: Loads
) -> list[KeyRange]:
    """Return ranges in the order of their requests a second, the most first."""
    return sorted(entries, key=lambda entry: (-loads.rate(service, entry), entry.first))


def assign_pieces(
    service: ServiceId,
    entries: Iterable[KeyRange],
    receivers: tuple[EligibleTarget, ...],
    ranges: RangeMap,
    loads: Loads,
) -> list[tuple[KeyRange, TargetId]]:
    """Return pieces of ranges with their receivers, by the capacity that these spare.

    Each piece, the most loaded first, goes to the target whose utilisation is the
    lowest with it, so that a dominant key goes to the fastest one.

    Parameters
    ----------
    receivers : tuple of EligibleTarget
        At least one.
    ranges : RangeMap
        All ranges of the service, with their owners before.
    """
    expected = utilisation_by_target(service, ranges, receivers, loads)
    for target_id in expected:
        expected[target_id] += BASE_PIECE_LOAD * len(ranges.owned_by(target_id))
    costs = {r.target_id: loads.request_cost(r.target_id, r.slots) for r in receivers}
    mean_cost = sum(costs.values()) / len(costs)
    pieces = []
    for entry in entries:
        load = loads.rate(service, entry) * mean_cost
        count = min(MAX_PIECES, len(costs), math.ceil(load / MAX_PIECE_LOAD))
        pieces += cut_evenly(entry, loads.keys(service, entry), count)
    assigned = []
    for piece in hottest_first(service, pieces, loads):
        rate = loads.rate(service, piece)
        added = {name: rate * cost + BASE_PIECE_LOAD for name, cost in costs.items()}
        best = min(costs, key=lambda name: (expected[name] + added[name], name))
        expected[best] += added[best]
        assigned.append((piece, best))
    return assigned


def published_together(
    transfers: Iterable[Transfer], ranges: RangeMap
) -> list[list[Transfer]]:
    """Divide transfers into runs, each to be published to all hosts by one message.

    A message names the owners of all keys from its first to its last transfer, so only
    transfers with few ranges between them share one.
    """
    groups: list[list[Transfer]] = []
    for transfer in sorted(transfers, key=lambda transfer: transfer.first):
        if groups:
            run = [*groups[-1], transfer]
            rows = len(ranges.between(run[0].first, transfer.last))
            if rows <= MAX_ROWS_PER_TRANSFER * len(run):
                groups[-1] = run
                continue
        groups.append([transfer])
    return groups
