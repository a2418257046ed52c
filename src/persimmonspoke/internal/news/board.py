"""A cache of the store's objects that records the order of their changes."""

import eventlet.event

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.store.api import Listing, StoredObject


class StoreCache:
    """Implements `persimmonspoke.internal.news.api.StoreView`.

    Parameters
    ----------
    clock : Clock
        The clock for the deadlines of `wait`.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._objects: dict[str, StoredObject] = {}
        self._change_numbers: dict[str, int] = {}
        self._count = 0
        self._changed = eventlet.event.Event()

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known version of the object under `key`, if it exists."""
        found = self._objects.get(key)
        return found if found is not None and found.value else None

    def items(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the newest known objects whose keys start with `prefix`."""
        return tuple(
            found
            for key, found in sorted(self._objects.items())
            if key.startswith(prefix) and found.value
        )

    def observe(self, stored: StoredObject) -> None:
        """Add an object unless the same or a newer version of it is known."""
        known = self._objects.get(stored.key)
        if known is not None and not _newer(stored, known):
            return
        self._objects[stored.key] = stored
        self._count += 1
        self._change_numbers[stored.key] = self._count
        self._wake()

    def observe_listing(
        self, listing: Listing, before: dict[str, StoredObject]
    ) -> None:
        """Add all objects of a listing, and record deletions of missing ones.

        Parameters
        ----------
        before : dict of str to StoredObject
            The `snapshot` taken before the listing was requested.  An object that
            has changed since then may be newer than the listing and is kept.
        """
        for stored in listing.items:
            self.observe(stored)
        listed = {stored.key for stored in listing.items}
        for key, known in before.items():
            if key not in listed and self._objects.get(key) is known:
                self._record_deletion(known)

    def snapshot(self, prefix: str = "") -> dict[str, StoredObject]:
        """Return the known objects under `prefix` by key, including deleted ones."""
        return {k: v for k, v in self._objects.items() if k.startswith(prefix)}

    def change_count(self) -> int:
        """Return the number of changes so far."""
        return self._count

    def changed_since(self, count: int) -> tuple[StoredObject, ...]:
        """Return the objects changed after the `count`-th change, with deletions."""
        return tuple(
            self._objects[key]
            for key, change_number in sorted(
                self._change_numbers.items(), key=lambda kv: kv[1]
            )
            if change_number > count
        )

    def wait(self, count: int, deadline: Instant) -> None:
        """Return once `change_count()` exceeds `count`, or at `deadline`."""
        while self._count <= count:
            left_s = deadline - self._clock.now()
            if left_s <= 0:
                return
            with eventlet.Timeout(left_s, False):
                self._changed.wait()

    def _record_deletion(self, known):
        """Record that an object no longer exists."""
        if not known.value:
            return
        self._objects[known.key] = StoredObject(known.key, {}, known.version)
        self._count += 1
        self._change_numbers[known.key] = self._count
        self._wake()

    def _wake(self):
        """Wake all waiting tasks, and replace the event, which fires only once."""
        fired, self._changed = self._changed, eventlet.event.Event()
        fired.send()


def _newer(stored, known):
    """Return whether `stored` replaces `known`.

    A deletion carries the version of the object that it deleted, so of two equal
    versions the deletion is the newer one.
    """
    if stored.version != known.version:
        return stored.version > known.version
    return bool(known.value) and not stored.value
