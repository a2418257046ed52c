"""Load on keys, with hot keys that change, and its placement by the planner.

A service has 20,000 keys, whose load decreases by rank, and 82 hot keys with half of
all requests; every three minutes another 82 keys are hot.  Load also differs between
hot keys: the first has about a tenth of all requests, more than one target's share.
"""

import random
from itertools import accumulate

import xxhash

from persimmonspoke.ids import ShardId, TargetId
from persimmonspoke.internal.ownership.page import NO_TARGET
from persimmonspoke.internal.placement.loads import ShardLoads
from persimmonspoke.internal.placement.planner import plan
from persimmonspoke.internal.placement.view import PlacementView, TargetView

KEYS = 20_000
SHARDS = 1024
HOT_KEYS = 82
HOT_SHARE = 0.5
HOT_PERIOD_S = 180.0
PLAN_INTERVAL_S = 2.0
HALF_LIFE_S = 6.0
REQUESTS_PER_S = 800


def shard_of(key):
    """Return the shard of key number `key`."""
    return xxhash.xxh64_intdigest(str(key)) % SHARDS


SHARD_OF = [shard_of(key) for key in range(KEYS)]


class KeyedLoad:
    """The share of each key in all requests."""

    def __init__(self, seed, hot_keys=HOT_KEYS, hot_share=HOT_SHARE):
        self._rng = random.Random(seed)
        self._hot_keys = hot_keys
        self._hot_share = hot_share
        ranks = list(range(1, KEYS + 1))
        self._rng.shuffle(ranks)
        self._base_weights = [1 / (rank + 50) for rank in ranks]
        self.change_hot_keys()

    def change_hot_keys(self):
        """Replace the hot keys by another random set."""
        scale = (1 - self._hot_share) / sum(self._base_weights)
        self.shares = [share * scale for share in self._base_weights]
        hot = self._rng.sample(range(KEYS), self._hot_keys)
        weights = [1 / rank for rank in range(1, self._hot_keys + 1)]
        for key, weight in zip(hot, weights, strict=True):
            self.shares[key] += self._hot_share * weight / sum(weights)
        self._cumulative_shares = list(accumulate(self.shares))

    def draw(self, count):
        """Return `count` random keys, weighted by their shares."""
        return self._rng.choices(
            range(KEYS), cum_weights=self._cumulative_shares, k=count
        )

    def min_busiest_share(self, targets):
        """Return a lower bound on the share of the busiest of `targets`.

        No placement, by shard or by key, goes below the mean share, the share of the
        hottest key, or the sum of the two smallest of the `targets` + 1 hottest keys.
        """
        hottest = sorted(self.shares, reverse=True)[: targets + 1]
        return max(1 / targets, hottest[0], hottest[-1] + hottest[-2])

    def busiest_share(self, owner_of):
        """Return the share of the busiest owner; `owner_of` maps a key to its owner."""
        owned = {}
        for key, share in enumerate(self.shares):
            owner = owner_of(key)
            owned[owner] = owned.get(owner, 0.0) + share
        return max(owned.values())


class PlannedPlacement:
    """Owners of shards, changed by the planner at regular intervals."""

    def __init__(self, measure, targets, seed):
        self.measure = measure
        self.targets = [TargetView(TargetId(f"t{n}")) for n in range(targets)]
        self.owners = [NO_TARGET] * SHARDS
        self.moved_at = {}
        self.now = 0.0
        self.loads = ShardLoads(SHARDS, HALF_LIFE_S, 0.0)
        self.load = KeyedLoad(seed)
        self.round()

    def round(self):
        """Plan once and apply the moves; return them."""
        view = PlacementView(
            measure=self.measure,
            now=self.now,
            owners=self.owners,
            loads=self.loads.rates(self.now),
            targets=self.targets,
            moved_at=self.moved_at,
        )
        moves = plan(view)
        for move in moves:
            self.owners[move.shard] = move.target
            self.moved_at[ShardId(move.shard)] = self.now
        return moves

    def step(self):
        """Serve requests for one plan interval, then plan; return the moves."""
        for key in self.load.draw(int(REQUESTS_PER_S * PLAN_INTERVAL_S)):
            self.loads.add(SHARD_OF[key], self.now)
        self.now += PLAN_INTERVAL_S
        return self.round()

    def imbalance(self):
        """Return the busiest owner's share divided by its lower bound."""
        busiest = self.load.busiest_share(lambda key: self.owners[SHARD_OF[key]])
        return busiest / self.load.min_busiest_share(len(self.targets))
