"""A cache of the store's objects that records the order of their changes."""

from collections import OrderedDict
from dataclasses import replace

import eventlet.event

from persimmonspoke.ids import Era, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.store.api import Listing, StoredObject

LONGEST_AGE_S = 3600.0  # stands for an unknown age, which may exceed any bound


class StoreCache:
    """Implements `persimmonspoke.internal.news.api.StoreView`.

    Parameters
    ----------
    clock : Clock
        The clock for the deadlines of `wait`.

    Attributes
    ----------
    era : Era or None
        Newest era of the store that the cache has seen; None before the first.
    restored_at : Instant or None
        When the cache last saw a new era after another one.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._objects: dict[str, StoredObject] = {}
        self._kinds: dict[str, dict[str, StoredObject]] = {}
        self._kind_counts: dict[str, int] = {}
        # In the order of the latest changes, which `changed_since` relies on.
        self._change_numbers: OrderedDict[str, int] = OrderedDict()
        self._changed_at: dict[str, Instant] = {}
        self._learned_at: dict[str, Instant] = {}
        self._count = 0
        self.era: Era | None = None
        self.restored_at: Instant | None = None
        self._changed = eventlet.event.Event()

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known version of the object under `key`, if it exists."""
        found = self._objects.get(key)
        return found if found is not None and found.value else None

    def has_known(self, key: str) -> bool:
        """Return whether any version of the object was ever known, or its deletion."""
        return key in self._objects

    def has(self, key: str, order: tuple[Era, Version]) -> bool:
        """Return whether that version of an object is known, or a newer one."""
        found = self._objects.get(key)
        return found is not None and found.order >= order

    def items(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the newest known objects whose keys start with `prefix`."""
        objects = self._kinds.get(prefix, self._objects)
        return tuple(
            found
            for key, found in sorted(objects.items())
            if key.startswith(prefix) and found.value
        )

    def kind_change_count(self, prefix: str) -> int:
        """Return the number of the latest change of an object of the kind `prefix`.

        `prefix` is the first part of the objects' keys, with its slash.
        """
        return self._kind_counts.get(prefix, 0)

    def observe_era(self, era: Era) -> None:
        """Record an era of the store, unless a newer one is known."""
        if self.era is not None and era > self.era:
            self.restored_at = self._clock.now()
        if self.era is None or era > self.era:
            self.era = era

    def observe(self, stored: StoredObject, changed_at: Instant | None = None) -> None:
        """Add an object unless the same or a newer version of it is known.

        Parameters
        ----------
        changed_at : Instant or None
            Earliest instant at which the store may have accepted the version; None if
            it did so just now.
        """
        known = self._objects.get(stored.key)
        if known is None or _newer(stored, known):
            self._record(stored, changed_at)

    def observe_listing(
        self,
        listing: Listing,
        before: dict[str, StoredObject],
        changed_at: Instant | None = None,
    ) -> None:
        """Add all objects of a listing, and record deletions of missing ones.

        Parameters
        ----------
        before : dict of str to StoredObject
            The `snapshot` taken before the listing was requested.  An object that
            has changed since then may be newer than the listing and is kept.
        changed_at : Instant or None
            Earliest instant at which the store may have accepted the changes.
        """
        self.observe_era(listing.era)
        for stored in listing.items:
            self.observe(stored, changed_at)
        listed = {stored.key for stored in listing.items}
        for key, known in before.items():
            if key not in listed and self._objects.get(key) is known:
                self._record_deletion(known, changed_at)

    def delete_missing(
        self,
        listed: set[str],
        as_of: Instant,
        changed_at: Instant | None,
        kind: str = "",
    ) -> bool:
        """Record the deletion of objects that were missing from the store at `as_of`.

        Only those whose keys start with `kind` are meant.  Return whether every object
        was known by then; the others may be newer than the list and are kept.
        """
        all_known = True
        for key, known in list(self._objects.items()):
            if key in listed or not known.value or not key.startswith(kind):
                continue
            if self._learned_at[key] <= as_of:
                self._record_deletion(known, changed_at)
            else:
                all_known = False
        return all_known

    def snapshot(self, prefix: str = "") -> dict[str, StoredObject]:
        """Return the known objects under `prefix` by key, including deleted ones."""
        return {k: v for k, v in self._objects.items() if k.startswith(prefix)}

    def change_count(self) -> int:
        """Return the number of changes so far."""
        return self._count

    def changed_since(self, count: int) -> tuple[StoredObject, ...]:
        """Return the objects changed after the `count`-th change, with deletions."""
        found = []
        for key in reversed(self._change_numbers):
            if self._change_numbers[key] <= count:
                break
            found.append(self._objects[key])
        return tuple(reversed(found))

    def existing(self) -> tuple[StoredObject, ...]:
        """Return all objects that exist."""
        return tuple(found for found in self._objects.values() if found.value)

    def changed_at(self, key: str) -> Instant:
        """Return the earliest instant at which the known version may be accepted."""
        return self._changed_at[key]

    def learned_at(self, key: str) -> Instant:
        """Return when this host learned of the known version of an object."""
        return self._learned_at[key]

    def wait(self, count: int, deadline: Instant) -> None:
        """Return once `change_count()` exceeds `count`, or at `deadline`."""
        while self._count <= count:
            left_s = deadline - self._clock.now()
            if left_s <= 0:
                return
            with eventlet.Timeout(left_s, False):
                self._changed.wait()

    def _record_deletion(self, known, changed_at=None):
        """Record that an object no longer exists."""
        if known.value:
            self._record(replace(known, value={}), changed_at)

    def _record(self, stored, changed_at):
        now = self._clock.now()
        kind = stored.key[: stored.key.find("/") + 1]
        self._objects[stored.key] = stored
        self._kinds.setdefault(kind, {})[stored.key] = stored
        self._learned_at[stored.key] = now
        self._changed_at[stored.key] = now if changed_at is None else changed_at
        self._count += 1
        self._kind_counts[kind] = self._count
        self._change_numbers[stored.key] = self._count
        self._change_numbers.move_to_end(stored.key)
        self._wake()

    def _wake(self):
        """Wake all waiting tasks, and replace the event, which fires only once."""
        fired, self._changed = self._changed, eventlet.event.Event()
        fired.send()


def _newer(stored, known):
    """Return whether `stored` replaces `known`.

    Versions are given out again in a new era of the store.  A deletion carries the
    version of the object that it deleted, so of two equal versions the deletion is the
    newer one.
    """
    if stored.order != known.order:
        return stored.order > known.order
    return bool(known.value) and not stored.value
