"""What the project needs of the platform's object API.

A store keeps JSON objects under keys, each with a version that grows with every
write.  All other modules use this interface; one module speaks the protocol.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from persimmonspoke.ids import Instant, Version

Value = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Stored:
    """One object as the store holds it.

    Attributes
    ----------
    key : str
        Path of the object, parts separated by ``/``.
    value : dict
        JSON object; an empty one if the object was deleted.
    version : Version
        Grows with each write of this object; 0 if the object does not exist.
    """

    key: str
    value: Value
    version: Version


@dataclass(frozen=True, slots=True)
class Listing:
    """The objects under a prefix at one revision of the whole store."""

    items: tuple[Stored, ...]
    revision: int


class Store(Protocol):
    """The object API.  Every call blocks its task and ends by `deadline`.

    Reads raise `StoreUnavailable`.  Writes raise `StoreUnavailable` if they
    certainly did not happen, `StoreOutcomeUnknown` if the answer was lost, and
    `StoreConflict` if the version differs.
    """

    def get(self, key: str, deadline: Instant) -> Stored:
        """Return the object under `key`, or raise `StoreMissing`."""

    def list(self, prefix: str, deadline: Instant) -> Listing:
        """Return all objects whose keys start with `prefix`."""

    def create(self, key: str, value: Value, deadline: Instant) -> Stored:
        """Write a new object, or raise `StoreConflict` if there is one."""

    def update(
        self, key: str, value: Value, version: Version, deadline: Instant
    ) -> Stored:
        """Replace the object if its version is still `version`."""

    def delete(self, key: str, version: Version, deadline: Instant) -> None:
        """Remove the object if its version is still `version`."""

    def watch(self, prefix: str, revision: int, deadline: Instant) -> Listing:
        """Wait for changes after `revision` and return them.

        Returns an empty listing when nothing changed by `deadline`.  A deleted
        object appears with an empty value.  Raises `StoreCompacted` if the store
        no longer knows `revision`; the caller then lists again.
        """
