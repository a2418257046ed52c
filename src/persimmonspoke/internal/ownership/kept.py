"""One page as its keeper holds it."""

from collections.abc import Container

import eventlet.semaphore

from persimmonspoke.ids import Instant, ShardId, TargetId, Version
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.targets.api import GrantedShard

LONG_AGO = Instant(float("-inf"))


class ManagedPage:
    """A page that this host keeps, and what it has ordered for it.

    Attributes
    ----------
    page : Page
        The state in force; its owners may be granted their shards.
    latest : Page
        The state that is on its way to the store; `page` or its next state.
    version : Version
        Version of the object that the next write replaces.
    stored_epoch : int
        Epoch of the newest state that is known to be in the store.
    no_grants_before : Instant
        No grant before it; the last keeper's grants may run, to unknown owners.
    inherited_grants_until : Instant
        End of the last grant that an earlier keeper may have ordered.
    inherited_routes_until : Instant
        End of the last route that an earlier keeper may have lent.
    moving : set of ShardId
        Shards whose grants are not renewed because they are being moved.
    held : set of ShardId
        Shards for which hosts hold new requests.
    busy : bool
        A task is at work on the page.
    failures : int
        Planned moves off a leaving target that have failed in a row.
    closed : bool
        This host has stopped to keep the page.
    change : int
        The keeper's change counter when the page last changed.
    """

    def __init__(self, page: Page, version: Version, stored_epoch: int):
        self.page = page
        self.latest = page
        self._index_of: tuple[Page | None, Page | None] = (None, None)
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
        self.failures = 0
        self._orders = 0
        self._lapse: dict[TargetId, Instant] = {}
        self._open: dict[TargetId, dict[int, Instant]] = {}

    def record_order(self, target: TargetId, lapse: Instant) -> int:
        """Note, before it is sent, a grant that surely has lapsed at `lapse`.

        Returns the number under which the order is open until it is `record_answer`.
        """
        self._lapse[target] = max(lapse, self._lapse.get(target, LONG_AGO))
        self._orders += 1
        self._open.setdefault(target, {})[self._orders] = lapse
        return self._orders

    def record_answer(self, target: TargetId, order: int) -> None:
        """Note that an order has arrived, so that it cannot arrive later."""
        self._open[target].pop(order, None)

    def open_orders(self, target: TargetId) -> dict[int, Instant]:
        """Return the orders that may still arrive, with the ends of their grants."""
        return dict(self._open.get(target, {}))

    def may_arrive(self, target: TargetId, orders: dict[int, Instant], now: Instant):
        """Return whether one of `orders` may still arrive and be of effect."""
        unanswered = self._open.get(target, {})
        return any(
            order in unanswered and now <= lapse for order, lapse in orders.items()
        )

    def lapsed(self, target: TargetId, now: Instant) -> bool:
        """Return whether no grant of this page can still run at `target`."""
        return now > max(self.inherited_grants_until, self._lapse.get(target, LONG_AGO))

    def grantable(self, target: TargetId) -> tuple[GrantedShard, ...]:
        """Return the shards that may be granted to `target` now.

        A shard whose next owner is already decided belongs to nobody until that
        state is in force: the successor may act on it at any moment.
        """
        return tuple(
            entry
            for entry in self._by_owner().get(target, ())
            if entry.shard not in self.moving
        )

    def _by_owner(self) -> dict[TargetId, tuple[GrantedShard, ...]]:
        """Return each owner's shards, without those whose owner is to change.

        Every renewal asks, and the answer only changes with the page.
        """
        indexed_page, indexed_latest = self._index_of
        if indexed_page is not self.page or indexed_latest is not self.latest:
            self._index_of = (self.page, self.latest)
            self._index = _shards_by_owner(self.page, self.latest)
        return self._index

    def latest_in_force(self) -> bool:
        """Return whether the latest state is in force."""
        return self.latest is self.page

    def owners(self) -> frozenset[TargetId]:
        """Return all targets that own shards of the page."""
        return frozenset(entry.owner for entry in self.page.assignments)

    def owned_by(self, targets: Container[TargetId]) -> tuple[ShardId, ...]:
        """Return the shards that the state in force gives to one of `targets`."""
        rows = zip(self.page.shards(), self.page.assignments, strict=True)
        return tuple(ShardId(shard) for shard, now in rows if now.owner in targets)

    def latest_is_stored(self) -> bool:
        """Return whether the store has the latest state."""
        return self.stored_epoch >= self.latest.epoch

    def page_is_stored(self) -> bool:
        """Return whether the state in force survives any single loss."""
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
