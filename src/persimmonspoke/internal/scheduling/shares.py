"""Division of slots among those who want them."""

from collections.abc import Hashable, Mapping, Sequence


def divide(
    total: int, wants: Mapping[Hashable, int], weights: Mapping[Hashable, float]
) -> dict[Hashable, int]:
    """Divide `total` units fairly by weight; nobody gets more than it wants.

    Units go one by one to whoever has the least for its weight; the order of
    `wants` settles ties.
    """
    given = dict.fromkeys(wants, 0)
    open_to = [name for name, want in wants.items() if want > 0]
    for _ in range(min(total, sum(wants.values()))):
        name = min(open_to, key=lambda entry: (given[entry] + 1) / weights[entry])
        given[name] += 1
        if given[name] == wants[name]:
            open_to.remove(name)
    return given


def divide_evenly(
    total: int, wants: Mapping[Hashable, int], order: Sequence[Hashable]
) -> dict[Hashable, int]:
    """Divide `total` units evenly; what does not divide goes by `order`."""
    given = dict.fromkeys(wants, 0)
    left = total
    open_to = [name for name in order if wants.get(name, 0) > 0]
    while left >= len(open_to) > 0:
        step = min(left // len(open_to), *(wants[n] - given[n] for n in open_to), left)
        for name in open_to:
            given[name] += step
        left -= step * len(open_to)
        open_to = [name for name in open_to if given[name] < wants[name]]
    for name in open_to[:left]:
        given[name] += 1
    return given
