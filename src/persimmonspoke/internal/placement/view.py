"""The input and output of the shard planner."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from persimmonspoke.ids import Instant, ShardId, TargetId
from persimmonspoke.internal.questionnaire.configuration import Measure


class TargetState(Enum):
    """Whether a target may receive shards."""

    LIVE = "live"
    LEAVING = "leaving"
    """The target keeps its shards until they have moved, and receives none."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """One target as input of the planner; removed targets are left out.

    Attributes
    ----------
    capacity : float
        Capacity relative to other targets, such as the number of slots; lower while
        the target is cold.
    """

    target_id: TargetId
    capacity: float = 1.0
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, slots=True)
class PlacementView:
    """A snapshot of one service.

    Attributes
    ----------
    owners : sequence of TargetId
        The owner of each shard; `NO_TARGET` or a removed target if it has none.
    loads : sequence of float
        Requests a second to each shard.
    moved_at : mapping of ShardId to Instant
        Time of the last move of each shard that was moved recently.
    """

    measure: Measure
    now: Instant
    owners: Sequence[TargetId]
    loads: Sequence[float]
    targets: Sequence[TargetView]
    moved_at: Mapping[ShardId, Instant] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Move:
    """A change of the owner of one shard.

    Attributes
    ----------
    forced : bool
        Whether the present owner has been removed or is leaving; other moves can wait.
    """

    shard: ShardId
    source: TargetId
    target: TargetId
    forced: bool
