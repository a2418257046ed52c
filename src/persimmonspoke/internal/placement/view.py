"""What the planner looks at, and what it decides."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from persimmonspoke.ids import Instant, ShardId, TargetId
from persimmonspoke.internal.questionnaire.configuration import Measure


class TargetState(Enum):
    """What may be done with a target."""

    LIVE = "live"
    LEAVING = "leaving"
    """It keeps its shards until they have moved, and gets no others."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """One target as the planner sees it; a target that is gone is left out.

    Attributes
    ----------
    capacity : float
        What it can do compared with other targets, such as its slots; less while
        it is cold.
    """

    target_id: TargetId
    capacity: float = 1.0
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, slots=True)
class PlacementView:
    """One service at one moment.

    Attributes
    ----------
    owners : sequence of TargetId
        The owner of each shard; `NO_TARGET`, or one that is gone, if it has none.
    loads : sequence of float
        Requests a second of each shard.
    moved_at : mapping of ShardId to Instant
        When shards were last moved, as far as that is recent.
    """

    measure: Measure
    now: Instant
    owners: Sequence[TargetId]
    loads: Sequence[float]
    targets: Sequence[TargetView]
    moved_at: Mapping[ShardId, Instant] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Move:
    """One shard gets another owner.

    Attributes
    ----------
    forced : bool
        Whether the present owner is gone or leaving; other moves can wait.
    """

    shard: ShardId
    source: TargetId
    target: TargetId
    forced: bool
