"""Fair division of slots."""

from collections.abc import Hashable, Mapping, Sequence


def divide(
    total: int, wants: Mapping[Hashable, int], weights: Mapping[Hashable, float]
) -> dict[Hashable, int]:
    """Divide `total` units fairly by weight; no name gets more than it wants.

    Each unit goes to the name with the smallest share relative to its weight; the
    order of `wants` breaks ties.
    """
    shares = dict.fromkeys(wants, 0)
    unsatisfied = [name for name, want in wants.items() if want > 0]
    for _ in range(min(total, sum(wants.values()))):
        name = min(unsatisfied, key=lambda entry: (shares[entry] + 1) / weights[entry])
        shares[name] += 1
        if shares[name] == wants[name]:
            unsatisfied.remove(name)
    return shares


def divide_evenly(
    total: int, wants: Mapping[Hashable, int], order: Sequence[Hashable]
) -> dict[Hashable, int]:
    """Divide `total` units evenly; `order` decides who gets the remainder."""
    shares = dict.fromkeys(wants, 0)
    remaining = total
    unsatisfied = [name for name in order if wants.get(name, 0) > 0]
    while remaining >= len(unsatisfied) > 0:
        step = min(
            remaining // len(unsatisfied),
            *(wants[n] - shares[n] for n in unsatisfied),
            remaining,
        )
        for name in unsatisfied:
            shares[name] += step
        remaining -= step * len(unsatisfied)
        unsatisfied = [name for name in unsatisfied if shares[name] < wants[name]]
    for name in unsatisfied[:remaining]:
        shares[name] += 1
    return shares
