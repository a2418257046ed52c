"""Which hosts watch the store for the others."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from persimmonspoke.ids import DataCentreId, HostId
from persimmonspoke.internal.peers.api import PeerAddress

RELAYS_PER_DATA_CENTRE = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live host that may serve as a relay."""

    address: PeerAddress
    data_centre: DataCentreId


def choose_relays(candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Return the relays of all data centres, the same on every host.

    Each data centre's relays are those of its hosts whose ids hash lowest, so that
    a host that comes or goes changes one relay at most.
    """
    by_data_centre: dict[DataCentreId, list[Candidate]] = {}
    for candidate in candidates:
        by_data_centre.setdefault(candidate.data_centre, []).append(candidate)
    return tuple(
        relay
        for _, hosts in sorted(by_data_centre.items())
        for relay in sorted(hosts, key=_rank)[:RELAYS_PER_DATA_CENTRE]
    )


def relays_to_ask(
    relays: Iterable[Candidate], me: HostId, data_centre: DataCentreId
) -> tuple[PeerAddress, ...]:
    """Return the relays that a host asks, in its order of preference.

    Those of its own data centre go first.  Within a data centre the order differs
    from host to host, which spreads the load.
    """

    def preference(relay):
        distant = relay.data_centre != data_centre
        return distant, xxhash.xxh64_intdigest(relay.address.host_id + me)

    others = [relay for relay in relays if relay.address.host_id != me]
    return tuple(relay.address for relay in sorted(others, key=preference))


def _rank(candidate):
    """Return the hash by which a data centre's hosts are ordered."""
    return xxhash.xxh64_intdigest(candidate.address.host_id)
