"""Messages by which hosts share what they saw of the load, and what was planned."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, ServiceId, ShardId, TargetId, TeamId
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.placement.loads import LoadReport


@message
@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Tell the planning host of a service what this host saw of its load."""

    host: HostId
    team: TeamId
    service: ServiceId
    report: LoadReport


@message
@dataclass(frozen=True, slots=True)
class LoadNoticeReply:
    """The planning host has taken the report in."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """One shard should get another owner."""

    shard: ShardId
    target: TargetId


@message
@dataclass(frozen=True, slots=True)
class PlanNotice:
    """Tell the keepers of a service's pages which shards should move."""

    team: TeamId
    service: ServiceId
    moves: tuple[PlannedMove, ...]


@message
@dataclass(frozen=True, slots=True)
class PlanNoticeReply:
    """The keeper has put the plan in place of the one before."""
