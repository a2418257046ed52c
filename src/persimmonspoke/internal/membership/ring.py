"""The order in which hosts choose a successor."""

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from persimmonspoke.ids import HostId
from persimmonspoke.internal.membership.record import HostRecord, HostState


def ring(records: Iterable[HostRecord]) -> tuple[HostRecord, ...]:
    """Return the active hosts in an order that alternates data centres.

    Every host computes the same order from the same records.  Neighbours are in
    different data centres as far as the sizes of the data centres allow, so that the
    loss of one data centre rarely includes a host and its successor.
    """
    centres = defaultdict(list)
    for record in records:
        if record.state is HostState.ACTIVE:
            centres[record.data_centre].append(record)
    positions = []
    for centre, members in centres.items():
        members.sort(key=lambda record: _hash(record.host_id))
        for index, record in enumerate(members):
            position = (index + 0.5) / len(members)
            positions.append((position, _hash(centre), record.host_id, record))
    return tuple(
        position[-1]
        for position in sorted(positions, key=lambda position: position[:3])
    )


def successors_of(
    host_id: HostId, records: Iterable[HostRecord]
) -> tuple[HostRecord, ...]:
    """Return the other active hosts, the best successor of `host_id` first."""
    order = ring(records)
    ids = [record.host_id for record in order]
    if host_id not in ids:
        # A joining host has no position yet; its hash spreads joining hosts evenly.
        start = _hash(host_id) % max(1, len(order))
        return order[start:] + order[:start]
    start = ids.index(host_id)
    return order[start + 1 :] + order[:start]


def rendezvous_host(name: str, hosts: Iterable[HostId]) -> HostId | None:
    """Return the host that rendezvous hashing picks for `name`, or None."""
    return max(hosts, key=lambda host: _hash(f"{name}|{host}"), default=None)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text)
