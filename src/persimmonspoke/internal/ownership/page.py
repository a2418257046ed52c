"""Pages: the owners of shards, as stored in the store.

A page is the unit of agreement.  It changes only by a conditional update, and each
change raises its epoch.  The epoch fences orders and requests that hosts with an older
state of the page may still send.
"""

from dataclasses import dataclass, replace

from persimmonspoke.ids import (
    Epoch,
    HostId,
    PageId,
    ServiceId,
    ShardId,
    TargetId,
    TeamId,
    WriteId,
)
from persimmonspoke.internal.store.api import Value

NO_HOST = HostId("")
NO_TARGET = TargetId("")


@dataclass(frozen=True, slots=True)
class PageKey:
    """Identifies one page."""

    team: TeamId
    service: ServiceId
    page: PageId

    def path(self) -> str:
        """Return the key of the page's object in the store."""
        return f"pages/{self.team}/{self.service}/{self.page}"


@dataclass(frozen=True, slots=True)
class Assignment:
    """The owner of one shard and the epoch in which it became owner."""

    owner: TargetId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Page:
    """The owners of consecutive shards, and the host that may order grants for them.

    Attributes
    ----------
    keeper : HostId
        The one entry host that may change the page and order grants.
    epoch : Epoch
        Increased by every change of the page.
    first_shard : ShardId
        The shard of ``assignments[0]``; the others follow in ascending order.
    """

    key: PageKey
    keeper: HostId
    epoch: Epoch
    first_shard: ShardId
    assignments: tuple[Assignment, ...]

    def shards(self) -> range:
        """Return the numbers of the shards on this page."""
        return range(self.first_shard, self.first_shard + len(self.assignments))

    def assignment(self, shard: ShardId) -> Assignment:
        """Return the assignment of `shard`, which must be on this page."""
        return self.assignments[shard - self.first_shard]

    def with_owners(self, moves: dict[ShardId, TargetId]) -> "Page":
        """Return the page with new owners for some shards, in the next epoch."""
        epoch = Epoch(self.epoch + 1)
        assignments = tuple(
            Assignment(moves[shard], epoch) if shard in moves else assignment
            for shard, assignment in zip(self.shards(), self.assignments, strict=True)
        )
        return replace(self, epoch=epoch, assignments=assignments)

    def with_keeper(self, keeper: HostId, epoch_step: int = 1) -> "Page":
        """Return the page with another keeper, and its epoch raised by `epoch_step`."""
        return replace(self, keeper=keeper, epoch=Epoch(self.epoch + epoch_step))

    def to_value(self, write_id: WriteId) -> Value:
        """Return the page as the JSON object that is stored."""
        return {
            "team": self.key.team,
            "service": self.key.service,
            "page": self.key.page,
            "keeper": self.keeper,
            "epoch": self.epoch,
            "first_shard": self.first_shard,
            "owners": [entry.owner for entry in self.assignments],
            "epochs": [entry.epoch for entry in self.assignments],
            "write_id": write_id,
        }

    @classmethod
    def from_value(cls, value: Value) -> "Page":
        """Return the page that a stored JSON object describes."""
        pairs = zip(value["owners"], value["epochs"], strict=True)
        return cls(
            key=PageKey(value["team"], value["service"], value["page"]),
            keeper=value["keeper"],
            epoch=value["epoch"],
            first_shard=value["first_shard"],
            assignments=tuple(Assignment(owner, epoch) for owner, epoch in pairs),
        )
