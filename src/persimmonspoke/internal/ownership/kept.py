"""The state of one page at its keeper, and the grants ordered for it."""

from collections.abc import Container

import eventlet.semaphore

from persimmonspoke.ids import Instant, ShardId, TargetId, Version
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.targets.api import GrantedShard

LONG_AGO = Instant(float("-inf"))


class ManagedPage:
    """A page that this host keeps, and the grants that it has ordered for it.

    Attributes
    ----------
    page : Page
        The state in force, whose owners may be granted their shards.
    latest : Page
        The state that is being replicated and stored: `page` or its next state.
    version : Version
        Version of the stored object that the next write replaces.
    stored_epoch : int
        Epoch of the latest state that is known to be in the store.
    no_grants_before : Instant
        No grant is ordered before it, because grants of the last keeper to unknown
        owners may still be valid.
    inherited_grants_until : Instant
        Latest end of a grant that an earlier keeper may have ordered.
    inherited_routes_until : Instant
        Latest end of a route lease that an earlier keeper may have given.
    moving : set of ShardId
        Shards whose grants are not renewed because they are being moved.
    held : set of ShardId
        Shards for which hosts hold back new requests.
    busy : bool
        Whether a task of the mover is working on the page.
    failed_moves : int
        Number of consecutive failed moves away from a leaving target.
    closed : bool
        Whether this host must not order grants for the page or change it.
    change : int
        The keeper's change counter when the page last changed.
    """

    def __init__(self, page: Page, version: Version, stored_epoch: int):
        self.page = page
        self.latest = page
        self._indexed_states: tuple[Page | None, Page | None] = (None, None)
        self._index: dict[TargetId, tuple[GrantedShard, ...]] = {}
        self.version = version
        self.stored_epoch = stored_epoch
        self.no_grants_before = LONG_AGO
        self.inherited_grants_until = LONG_AGO
        self.inherited_routes_until = LONG_AGO
        self.moving: set[ShardId] = set()
        self.held: set[ShardId] = set()
        self.closed = False
        self.storing = False
        self.change = 0
        self.lock = eventlet.semaphore.Semaphore()
        self.busy = False
        self.failed_moves = 0
        self._order_count = 0
        self._lapses_at: dict[TargetId, Instant] = {}
        self._unanswered: dict[TargetId, dict[int, Instant]] = {}

    def record_order(self, target: TargetId, lapses_at: Instant) -> int:
        """Record a grant order before it is sent, and return its number.

        The order counts as unanswered until `record_answer` is called.

        Parameters
        ----------
        lapses_at : Instant
            When the grant is guaranteed to have lapsed, should the order be executed.
        """
        self._lapses_at[target] = max(lapses_at, self._lapses_at.get(target, LONG_AGO))
        self._order_count += 1
        self._unanswered.setdefault(target, {})[self._order_count] = lapses_at
        return self._order_count

    def record_answer(self, target: TargetId, order: int) -> None:
        """Record that an order was answered, so that it cannot arrive any more."""
        self._unanswered[target].pop(order, None)

    def open_orders(self, target: TargetId) -> dict[int, Instant]:
        """Return the unanswered orders by number, with the ends of their grants."""
        return dict(self._unanswered.get(target, {}))

    def may_arrive(self, target: TargetId, orders: dict[int, Instant], now: Instant):
        """Return whether one of `orders` may still arrive before its grant lapses."""
        unanswered = self._unanswered.get(target, {})
        return any(
            order in unanswered and now <= lapses_at
            for order, lapses_at in orders.items()
        )

    def lapsed(self, target: TargetId, now: Instant) -> bool:
        """Return whether no grant of this page can still be valid at `target`."""
        return now > max(
            self.inherited_grants_until, self._lapses_at.get(target, LONG_AGO)
        )

    def grantable(self, target: TargetId) -> tuple[GrantedShard, ...]:
        """Return the shards that may be granted to `target` now.

        Left out are shards that are being moved, and shards that have another owner in
        `latest`.  These have no owner until that state is in force, because a successor
        may act on it at any moment.
        """
        return tuple(
            entry
            for entry in self._by_owner().get(target, ())
            if entry.shard not in self.moving
        )

    def _by_owner(self) -> dict[TargetId, tuple[GrantedShard, ...]]:
        """Return each owner's shards, without those whose owner is about to change.

        The result is cached until the page changes, because every renewal needs it.
        """
        indexed_page, indexed_latest = self._indexed_states
        if indexed_page is not self.page or indexed_latest is not self.latest:
            self._indexed_states = (self.page, self.latest)
            self._index = _shards_by_owner(self.page, self.latest)
        return self._index

    def latest_in_force(self) -> bool:
        """Return whether the latest state is in force."""
        return self.latest is self.page

    def owners(self) -> frozenset[TargetId]:
        """Return all targets that own shards of the page."""
        return frozenset(entry.owner for entry in self.page.assignments)

    def owned_by(self, targets: Container[TargetId]) -> tuple[ShardId, ...]:
        """Return the shards whose owner, in the state in force, is one of `targets`."""
        rows = zip(self.page.shards(), self.page.assignments, strict=True)
        return tuple(ShardId(shard) for shard, now in rows if now.owner in targets)

    def latest_is_stored(self) -> bool:
        """Return whether the store has the latest state."""
        return self.stored_epoch >= self.latest.epoch

    def page_is_stored(self) -> bool:
        """Return whether the state in force is stored, and survives any single loss."""
        return self.stored_epoch >= self.page.epoch


def _shards_by_owner(page, latest):
    """Return the shards of each owner whose assignment is the same in both states."""
    found: dict[TargetId, list[GrantedShard]] = {}
    rows = zip(page.shards(), page.assignments, latest.assignments, strict=True)
    for shard, now, after in rows:
        if now == after:
            entry = GrantedShard(ShardId(shard), now.epoch)
            found.setdefault(now.owner, []).append(entry)
    return {owner: tuple(entries) for owner, entries in found.items()}
