"""The interface for sending orders about key ownership to targets.

A grant ends at an instant on the target's own clock, which the target reported in
an earlier answer.  An order that arrives after that instant therefore has no effect,
however long it was delayed.
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
    """One shard and the epoch in which its current owner received it."""

    shard: ShardId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """An order to own shards until `not_after`; renews shards already owned.

    Attributes
    ----------
    fence : Epoch
        Epoch of the page.  A target that checks fences refuses every order for the
        page with a lower fence than the highest it has seen.
    shards : tuple of GrantedShard
        Empty for an order that only raises the fence and reads the target's clock.
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
    """An order to accept no new requests for shards.

    The target answers once the requests for them that are in flight have ended.
    """

    team: TeamId
    service: ServiceId
    page: PageId
    fence: Epoch
    shards: tuple[ShardId, ...]


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The target's answer to an order that it has carried out.

    Attributes
    ----------
    clock : TargetInstant
        The target's clock when it answered.
    """

    clock: TargetInstant


class TargetOrders(Protocol):
    """Sends orders to targets.

    The methods raise `TargetRefusedConnection` (the target's process is dead),
    `TargetUnreachable` (nothing was sent), `OrderOutcomeUnknown` (sent, but the
    answer was lost) or `TargetFenced`.
    """

    def grant(
        self, target: TargetAddress, order: GrantOrder, deadline: Instant
    ) -> OrderReply:
        """Grant or renew ownership of shards."""

    def release(
        self, target: TargetAddress, order: ReleaseOrder, deadline: Instant
    ) -> OrderReply:
        """Revoke shards; once answered, no request for them is running."""
