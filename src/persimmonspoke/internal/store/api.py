"""The interface to the platform's object API.

A store keeps JSON objects under keys, each with a version that increases with every
write.  Other modules use only this interface; its implementations speak the
platform's protocols.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from persimmonspoke.ids import Era, Instant, Version

Value = dict[str, Any]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object in the store.

    Attributes
    ----------
    key : str
        Path of the object, with parts separated by ``/``.
    value : dict
        JSON object; empty if the object was deleted.
    version : Version
        Increases with each write of this object; 0 if the object does not exist.
    era : Era
        Era of the store that answered with this version.
    """

    key: str
    value: Value
    version: Version
    era: Era = Era(0)

    @property
    def order(self) -> tuple[Era, Version]:
        """Era and version, by which the versions of one object are ordered."""
        return self.era, self.version


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects under a prefix at one revision of the whole store."""

    items: tuple[StoredObject, ...]
    revision: int
    era: Era = Era(0)


class Store(Protocol):
    """The object API.

    A store may be restored from an older copy.  A new era then begins, what was written
    since the copy is gone, and versions are given out again.

    Every call blocks its task and ends by `deadline`.  Reads that fail raise
    `StoreUnavailable`.  Writes raise `StoreUnavailable` if they certainly did not
    happen, `StoreOutcomeUnknown` if the answer was lost, and `StoreConflict` if the
    version differs.

    Attributes
    ----------
    era : Era
        Highest era that any answer has named.
    heard_at : Instant
        When the latest part of an answer with data arrived, however small.
    """

    era: Era
    heard_at: Instant

    def get(self, key: str, deadline: Instant) -> StoredObject:
        """Return the object under `key`, or raise `StoreMissing`."""

    def get_stale(self, key: str, deadline: Instant) -> StoredObject:
        """Return a version of the object that may be outdated; cheaper than `get`."""

    def list(self, prefix: str, deadline: Instant) -> Listing:
        """Return all objects whose keys start with `prefix`."""

    def create(self, key: str, value: Value, deadline: Instant) -> StoredObject:
        """Create an object, or raise `StoreConflict` if it exists."""

    def update(
        self, key: str, value: Value, version: Version, deadline: Instant
    ) -> StoredObject:
        """Replace the object if its current version is `version`."""

    def delete(self, key: str, version: Version, deadline: Instant) -> None:
        """Delete the object if its current version is `version`."""

    def watch(
        self,
        prefix: str,
        revision: int,
        deadline: Instant,
        answer_deadline: Instant | None = None,
    ) -> Listing:
        """Wait for changes after `revision` and return them.

        The answer may arrive until `answer_deadline`; None for a margin that suits
        the store.  Return an empty listing if nothing changed by `deadline`.  A deleted
        object appears with an empty value.  Raise `StoreCompacted` if the store has
        dropped `revision`; the objects must then be listed again.
        """
