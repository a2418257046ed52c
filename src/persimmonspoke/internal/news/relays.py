"""Selects the relays: the hosts that watch the store on behalf of the others."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from persimmonspoke.ids import DataCentreId, HostId
from persimmonspoke.internal.peers.api import PeerAddress

RELAYS_PER_DATA_CENTRE = 2


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A live host that may serve as a relay."""

    address: PeerAddress
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class WeightedHost(RelayCandidate):
    """A live host with the processor share that it can use.

    Attributes
    ----------
    cores : float
        Processor time per second, as a number of cores.
    """

    cores: float = 1.0


def choose_relays_of_fleet(
    hosts: Iterable[WeightedHost], min_count: int, hosts_per_relay: int
) -> tuple[WeightedHost, ...]:
    """Return the relays of a whole fleet; every host gets the same result.

    The hosts with the most processor time come first, and among equal ones those with
    the lowest hashes of their ids.  The relays are spread over the data centres.
    """
    by_rank = sorted(hosts, key=lambda host: (-host.cores, _rank(host)))
    count = max(min_count, -(-len(by_rank) // hosts_per_relay))
    chosen: list[WeightedHost] = []
    while len(chosen) < min(count, len(by_rank)):
        used = Counter(host.data_centre for host in chosen)
        others = [host for host in by_rank if host not in chosen]
        fewest = min(used[host.data_centre] for host in others)
        chosen.append(next(h for h in others if used[h.data_centre] == fewest))
    return tuple(chosen)


def choose_relays(candidates: Iterable[RelayCandidate]) -> tuple[RelayCandidate, ...]:
    """Return the relays of all data centres; every host gets the same result.

    The relays of a data centre are its hosts with the lowest hashes of their ids, so
    that a host that joins or leaves changes at most one relay.
    """
    by_data_centre: dict[DataCentreId, list[RelayCandidate]] = {}
    for candidate in candidates:
        by_data_centre.setdefault(candidate.data_centre, []).append(candidate)
    return tuple(
        relay
        for _, hosts in sorted(by_data_centre.items())
        for relay in sorted(hosts, key=_rank)[:RELAYS_PER_DATA_CENTRE]
    )


def relays_to_ask(
    relays: Iterable[RelayCandidate], me: HostId, data_centre: DataCentreId
) -> tuple[PeerAddress, ...]:
    """Return the relays that a host should ask, in order of preference.

    Relays of the host's own data centre come first.  Within a data centre the order
    differs from host to host, which spreads the load.
    """

    def preference(relay):
        distant = relay.data_centre != data_centre
        return distant, xxhash.xxh64_intdigest(relay.address.host_id + me)

    others = [relay for relay in relays if relay.address.host_id != me]
    return tuple(relay.address for relay in sorted(others, key=preference))


def _rank(candidate):
    """Return the hash by which the hosts of a data centre are ordered."""
    return xxhash.xxh64_intdigest(candidate.address.host_id)
