"""Groups of targets whose slots one host lends.

The targets of a service that is not divided by key are interchangeable, so one
lender manages them as one pool.  A target that owns keys is a group by itself.  An
endpoint that several services or teams use has one set of slots, even if they give
it different names.
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
"""IP address and port of one target; two targets never share one."""

GroupId = NewType("GroupId", str)

_MAX_POOL_ENDPOINTS = 32  # a larger pool is split among several lenders


@dataclass(frozen=True, slots=True)
class Group:
    """Endpoints whose slots one host lends.

    Attributes
    ----------
    slots : dict of Endpoint to int
        Number of requests that each endpoint handles at a time.
    pooled : bool
        Whether the endpoints are interchangeable.
    """

    group_id: GroupId
    slots: dict[Endpoint, int]
    pooled: bool


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """Identifies one service of one team."""

    team: TeamId
    service: ServiceId


def endpoint_of(target: TargetConfig) -> Endpoint:
    """Return the endpoint of `target`."""
    return Endpoint(f"{target.ip}:{target.port}")


def make_groups(configs: Iterable[TeamConfig]) -> tuple[Group, ...]:
    """Divide all endpoints of all teams into groups, the same on every host."""
    slots: dict[Endpoint, int] = {}
    owner_endpoints: set[Endpoint] = set()
    pools: list[tuple[str, set[Endpoint]]] = []
    for cfg in sorted(configs, key=lambda entry: entry.team):
        for service in sorted(cfg.services, key=lambda entry: entry.service):
            endpoints = {endpoint_of(target) for target in service.targets}
            for target in service.targets:
                endpoint = endpoint_of(target)
                slots[endpoint] = min(slots.get(endpoint, target.slots), target.slots)
            if service.divided:
                owner_endpoints |= endpoints
            else:
                pools.append((f"{cfg.team}/{service.service}", endpoints))
    groups = [Group(GroupId(e), {e: slots[e]}, False) for e in sorted(owner_endpoints)]
    for name, endpoints in _merge_overlapping(pools):
        groups += _split_pool(name, sorted(endpoints - owner_endpoints), slots)
    return tuple(groups)


def _merge_overlapping(pools):
    """Merge pools that share an endpoint, under the alphabetically first name."""
    merged: list[tuple[str, set[Endpoint]]] = []
    for name, endpoints in pools:
        disjoint = []
        members = set(endpoints)
        for other_name, other_endpoints in merged:
            if members & other_endpoints:
                members |= other_endpoints
                name = min(name, other_name)
            else:
                disjoint.append((other_name, other_endpoints))
        merged = [*disjoint, (name, members)]
    return merged


def _split_pool(name, endpoints, slots):
    """Return the groups of a pool; split it by endpoint hash if it is too large."""
    count = -(-len(endpoints) // _MAX_POOL_ENDPOINTS)
    chunks: list[dict[Endpoint, int]] = [{} for _ in range(count)]
    for endpoint in endpoints:
        chunks[xxhash.xxh64_intdigest(endpoint) % count][endpoint] = slots[endpoint]
    return [
        Group(GroupId(f"{name}/{number}"), chunk, True)
        for number, chunk in enumerate(chunks)
        if chunk
    ]


def rank_hosts(group: GroupId, hosts: Iterable[HostId]) -> tuple[HostId, ...]:
    """Return `hosts` by rendezvous hashing; the first live one is the lender."""

    def weight(host):
        return xxhash.xxh64_intdigest(f"{group}|{host}")

    return tuple(sorted(hosts, key=weight, reverse=True))


@dataclass(frozen=True, slots=True)
class Choice:
    """One candidate target of a service: its endpoint, and its name in the team."""

    endpoint: Endpoint
    target_id: TargetId
