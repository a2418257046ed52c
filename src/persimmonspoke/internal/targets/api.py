"""What the project needs of a target: orders about keys, and requests.

A grant ends at an instant on the target's own clock, which the target reported
in an earlier answer.  An order that is delayed on its way is therefore worthless
when it arrives late, however long the delay.
"""

from dataclasses import dataclass
from typing import Protocol

from persimmonspoke.ids import (
    Epoch,
    Instant,
    PageId,
    ServiceId,
    ShardId,
    TargetId,
    TargetInstant,
    TeamId,
)


@dataclass(frozen=True, slots=True)
class TargetAddress:
    """Where one target listens for requests and orders."""

    target_id: TargetId
    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class GrantedShard:
    """One shard and the epoch in which its present owner got it."""

    shard: ShardId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """Own these shards until `not_after`; renews what is owned already.

    Attributes
    ----------
    fence : Epoch
        Epoch of the page.  A target that checks refuses every order for the page
        with a lower fence than the highest it has seen.
    shards : tuple of GrantedShard
        Empty for an order that only raises the fence and reads the clock.
    not_after : TargetInstant
        End of the grant on the target's own clock.
    """

    team: TeamId
    service: ServiceId
    page: PageId
    fence: Epoch
    shards: tuple[GrantedShard, ...]
    not_after: TargetInstant


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Take no new work for these shards; answer once their work in hand is done."""

    team: TeamId
    service: ServiceId
    page: PageId
    fence: Epoch
    shards: tuple[ShardId, ...]


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The target's answer to an order that it carried out."""

    clock: TargetInstant


class TargetOrders(Protocol):
    """Orders to targets.

    Raise `TargetRefusedConnection` (that process is dead), `TargetUnreachable`
    (nothing was sent), `OrderOutcomeUnknown` (sent, answer lost) or
    `TargetFenced`.
    """

    def grant(
        self, target: TargetAddress, order: GrantOrder, deadline: Instant
    ) -> OrderReply:
        """Grant or renew ownership of shards."""

    def release(
        self, target: TargetAddress, order: ReleaseOrder, deadline: Instant
    ) -> OrderReply:
        """Take shards back; the answer says that no work on them goes on."""
