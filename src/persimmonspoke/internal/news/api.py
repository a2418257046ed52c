"""A host's copy of the store's objects, kept fresh by watches and by peers."""

from typing import Protocol

from persimmonspoke.ids import Instant
from persimmonspoke.internal.store.api import Stored


class News(Protocol):
    """The newest objects that this host knows of, by key.

    An object is never replaced by one with a lower version.
    """

    def get(self, key: str) -> Stored | None:
        """Return the newest known object under `key`, if any."""

    def items(self, prefix: str) -> tuple[Stored, ...]:
        """Return the newest known objects whose keys start with `prefix`."""

    def observe(self, stored: Stored) -> None:
        """Take in an object that this host read or wrote itself."""

    def count(self) -> int:
        """Return a number that grows with every change."""

    def wait(self, count: int, deadline: Instant) -> None:
        """Return once `count()` exceeds `count`, or at `deadline`."""
