"""Which target should own a shard, as long as nothing is known about its load."""

from collections.abc import Iterable
from typing import Protocol

from persimmonspoke.ids import ShardId, TargetId
from persimmonspoke.internal.questionnaire.configuration import TargetConfig


class Placement(Protocol):
    """Chooses owners for shards that need one at once."""

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


class Planner(Protocol):
    """Decides which shards should move although their owners live."""

    def plan(
        self, owners: dict[ShardId, TargetId], targets: tuple[TargetConfig, ...]
    ) -> dict[ShardId, TargetId]:
        """Return new owners for some shards; all keepers must decide alike.

        Parameters
        ----------
        owners : dict of ShardId to TargetId
            The owner of each shard of one service.
        targets : tuple of TargetConfig
            The targets that live and do not leave.
        """


class LeastOwned:
    """Gives each shard to the target with the fewest shards a slot."""

    def choose(
        self,
        shards: Iterable[ShardId],
        targets: tuple[TargetConfig, ...],
        owned: dict[TargetId, int],
    ) -> dict[ShardId, TargetId]:
        """Return an owner out of `targets` for each shard; nothing if there is none."""
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


class EvenSpread:
    """Plans moves until each target has its share, and not before it is far off.

    Attributes
    ----------
    tolerance : float
        Part of its share by which a target may differ before shards move.
    """

    tolerance = 0.3

    def plan(
        self, owners: dict[ShardId, TargetId], targets: tuple[TargetConfig, ...]
    ) -> dict[ShardId, TargetId]:
        """Return new owners for some shards; the same for the same arguments."""
        if len(targets) < 2:
            return {}
        held = {target.target_id: [] for target in targets}
        for shard, owner in sorted(owners.items()):
            if owner in held:
                held[owner].append(shard)
        each = len(owners) / sum(target.slots for target in targets)
        shares = {target.target_id: each * target.slots for target in targets}
        if not self._uneven(held, shares):
            return {}
        moves = {}
        while True:
            over = max(held, key=lambda name: (len(held[name]) - shares[name], name))
            under = min(held, key=lambda name: (len(held[name]) - shares[name], name))
            excess = len(held[over]) - shares[over]
            if excess <= 0 or excess - (len(held[under]) - shares[under]) <= 1:
                return moves
            shard = held[over].pop()
            held[under].append(shard)
            moves[shard] = under

    def _uneven(self, held, shares):
        """Return whether some target differs by more than is tolerated."""
        return any(
            abs(len(held[name]) - share) > max(1.0, self.tolerance * share)
            for name, share in shares.items()
        )
