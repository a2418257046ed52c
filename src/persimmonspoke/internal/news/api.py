"""The interface to a host's cache of the store's objects.

Watches of the store and answers of relays update the cache.
"""

from typing import Protocol

from persimmonspoke.ids import Instant
from persimmonspoke.internal.store.api import StoredObject


class StoreView(Protocol):
    """The newest known version of each object of the store, by key.

    An object is never replaced by a lower version of it.
    """

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known version of the object under `key`, if it exists."""

    def items(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the newest known objects whose keys start with `prefix`."""

    def observe(self, stored: StoredObject) -> None:
        """Add an object that this host has read or written itself."""

    def changed_at(self, key: str) -> Instant:
        """Return the earliest instant at which the known version may be accepted."""

    def change_count(self) -> int:
        """Return the number of changes so far."""

    def wait(self, count: int, deadline: Instant) -> None:
        """Return once `change_count()` exceeds `count`, or at `deadline`."""
