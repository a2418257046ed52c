"""Choice of owners for shards whose load is not known."""

from collections.abc import Iterable
from typing import Protocol

from persimmonspoke.ids import ShardId, TargetId
from persimmonspoke.internal.questionnaire.configuration import TargetConfig


class Placement(Protocol):
    """Chooses owners for shards that must move now."""

    def choose(
        self,
        shards: Iterable[ShardId],
        targets: tuple[TargetConfig, ...],
        owned: dict[TargetId, int],
    ) -> dict[ShardId, TargetId]:
        """Return an owner out of `targets` for each shard.

        Parameters
        ----------
        owned : dict of TargetId to int
            Number of shards that each target owns already.
        """


class LeastOwned:
    """Assigns each shard to the target with the fewest shards per slot."""

    def choose(
        self,
        shards: Iterable[ShardId],
        targets: tuple[TargetConfig, ...],
        owned: dict[TargetId, int],
    ) -> dict[ShardId, TargetId]:
        """Return an owner out of `targets` for each shard, or none without targets."""
        if not targets:
            return {}
        counts = {
            target.target_id: owned.get(target.target_id, 0) for target in targets
        }
        chosen = {}
        for shard in shards:
            best = min(
                targets,
                key=lambda target: (
                    counts[target.target_id] / target.slots,
                    target.target_id,
                ),
            )
            chosen[shard] = best.target_id
            counts[best.target_id] += 1
        return chosen
