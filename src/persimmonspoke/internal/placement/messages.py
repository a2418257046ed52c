"""Messages by which hosts exchange measured load and planned moves of shards."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, ServiceId, ShardId, TargetId, TeamId
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.placement.loads import LoadReport


@message
@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Report the load that this host counted to the planning host of a service."""

    host: HostId
    team: TeamId
    service: ServiceId
    report: LoadReport


@message
@dataclass(frozen=True, slots=True)
class LoadNoticeReply:
    """Acknowledge that the planning host has recorded the report."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A shard and the target that should own it."""

    shard: ShardId
    target: TargetId


@message
@dataclass(frozen=True, slots=True)
class PlanNotice:
    """Send the planned moves of a service's shards to the keepers of its pages."""

    team: TeamId
    service: ServiceId
    moves: tuple[PlannedMove, ...]


@message
@dataclass(frozen=True, slots=True)
class PlanNoticeReply:
    """Acknowledge that the keeper has replaced its previous plan."""
