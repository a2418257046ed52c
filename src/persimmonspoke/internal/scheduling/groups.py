"""Groups of targets whose slots are lent together.

The targets of undivided services stand in for each other, so one lender serves
them as one pool.  A target that owns keys is a group by itself.  An endpoint that
several services or teams name has one set of slots, whatever they call it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

import xxhash

from persimmonspoke.ids import HostId, ServiceId, TargetId, TeamId
from persimmonspoke.internal.questionnaire.configuration import (
    TargetConfig,
    TeamConfig,
)

Endpoint = NewType("Endpoint", str)
"""IP number and port of one target; two targets never share one."""

GroupId = NewType("GroupId", str)

_MOST_ENDPOINTS = 32


@dataclass(frozen=True, slots=True)
class Group:
    """Endpoints whose slots one host lends.

    Attributes
    ----------
    slots : dict of Endpoint to int
        Requests that each endpoint takes at a time.
    pooled : bool
        Whether the endpoints stand in for each other.
    """

    group_id: GroupId
    slots: dict[Endpoint, int]
    pooled: bool


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Names one service of one team."""

    team: TeamId
    service: ServiceId


def endpoint_of(target: TargetConfig) -> Endpoint:
    """Return the endpoint of `target`."""
    return Endpoint(f"{target.ip}:{target.port}")


def make_groups(configs: Iterable[TeamConfig]) -> tuple[Group, ...]:
    """Divide all endpoints of all teams into groups, the same on every host."""
    slots: dict[Endpoint, int] = {}
    owning: set[Endpoint] = set()
    pools: list[tuple[str, set[Endpoint]]] = []
    for cfg in sorted(configs, key=lambda entry: entry.team):
        for service in sorted(cfg.services, key=lambda entry: entry.service):
            endpoints = {endpoint_of(target) for target in service.targets}
            for target in service.targets:
                endpoint = endpoint_of(target)
                slots[endpoint] = min(slots.get(endpoint, target.slots), target.slots)
            if service.divided:
                owning |= endpoints
            else:
                pools.append((f"{cfg.team}/{service.service}", endpoints))
    groups = [Group(GroupId(e), {e: slots[e]}, False) for e in sorted(owning)]
    for name, endpoints in _joined(pools):
        groups += _chunks(name, sorted(endpoints - owning), slots)
    return tuple(groups)


def _joined(pools):
    """Join pools that share an endpoint; the first one's name stays."""
    joined: list[tuple[str, set[Endpoint]]] = []
    for name, endpoints in pools:
        apart = []
        members = set(endpoints)
        for other_name, others in joined:
            if members & others:
                members |= others
                name = min(name, other_name)
            else:
                apart.append((other_name, others))
        joined = [*apart, (name, members)]
    return joined


def _chunks(name, endpoints, slots):
    """Split a pool that is too large for one lender, by hash of the endpoint."""
    count = -(-len(endpoints) // _MOST_ENDPOINTS)
    chunks: list[dict[Endpoint, int]] = [{} for _ in range(count)]
    for endpoint in endpoints:
        chunks[xxhash.xxh64_intdigest(endpoint) % count][endpoint] = slots[endpoint]
    return [
        Group(GroupId(f"{name}/{number}"), chunk, True)
        for number, chunk in enumerate(chunks)
        if chunk
    ]


def rank_lenders(group: GroupId, hosts: Iterable[HostId]) -> tuple[HostId, ...]:
    """Return `hosts` in the order in which they should lend the group's slots."""

    def weight(host):
        return xxhash.xxh64_intdigest(f"{group}|{host}")

    return tuple(sorted(hosts, key=weight, reverse=True))


@dataclass(frozen=True, slots=True)
class Choice:
    """One candidate of a service: its endpoint, and the name the team gave it."""

    endpoint: Endpoint
    target_id: TargetId
