"""Which keys a target that has restarted keeps while it is cold."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from persimmonspoke.internal.ranges.ranges import KeyRange


def split_by_limit(
    entries: Iterable[KeyRange],
    keys_of: Callable[[KeyRange], list[tuple[int, float]]],
    limit_per_s: float,
) -> tuple[list[KeyRange], list[KeyRange]]:
    """Split ranges into those whose requests a target may get, and the others.

    The first ranges are kept, up to the key with which the limit would be exceeded.

    Parameters
    ----------
    keys_of : callable
        Returns the keys of a range that have load, in order, with their rates in
        requests a second.
    """
    kept, surplus, rate = [], [], 0.0
    for entry in entries:
        if surplus:
            surplus.append(entry)
            continue
        for key, key_rate in keys_of(entry):
            rate += key_rate
            if rate > limit_per_s:
                if key > entry.first:
                    kept.append(replace(entry, last=key - 1))
                surplus.append(replace(entry, first=key))
                break
        else:
            kept.append(entry)
    return kept, surplus
