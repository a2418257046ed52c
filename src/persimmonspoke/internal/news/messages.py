"""Messages by which hosts pass store updates to each other."""

from dataclasses import dataclass, field
from typing import Any

from persimmonspoke.ids import Era, HostId, Version
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.peers.revisions import Revision, since


@dataclass(frozen=True, slots=True)
class NewsItem:
    """One object of the store; its value is empty if it was deleted.

    Attributes
    ----------
    age_s : float
        Time since the store may have accepted this version, at most.
    """

    key: str
    value: dict[str, Any]
    version: Version
    age_s: float = 0.0
    era: Era = Era(0)


PackedRow = tuple[str, bytes, Version, float, Era]
"""Key, compressed value, version, age in seconds and era of an object."""


@message
@dataclass(frozen=True, slots=True)
class NewsRequest:
    """Requests the objects that changed after the relay's `since`-th change.

    Attributes
    ----------
    since : int
        0 requests all objects that exist.
    wait_s : float
        How long the relay may wait for a change before it answers without one.
    reads_packed : bool
        Whether the asker reads `NewsReply.packed` and `unchanged`.
    known : tuple of (str, Era, Version)
        Large objects that the asker has, and their versions.
    defers : bool
        Whether large objects may be left out and named in `NewsReply.deferred`.
    fetches : tuple of str
        Keys of deferred objects that are requested as well, and not left out.
    """

    asker: HostId
    since: int
    wait_s: float
    reads_packed: bool = field(default=False, metadata=since(Revision.PROOFS))
    known: tuple[tuple[str, Era, Version], ...] = field(
        default=(), metadata=since(Revision.PROOFS)
    )
    defers: bool = field(default=False, metadata=since(Revision.DEFERRED))
    fetches: tuple[str, ...] = field(default=(), metadata=since(Revision.DEFERRED))


@message
@dataclass(frozen=True, slots=True)
class NewsReply:
    """The objects that changed, and the number of the relay's last change.

    A row of `proofs` holds a kind of objects, the revision of the store up to which
    the relay knows all of them, and the seconds since the latest instant at which
    nothing newer is proven to have existed, negative if there is none.  Builds before
    `Revision.PROOFS` send no rows.

    Attributes
    ----------
    store_age_s : float
        Time since the relay was last known to be up to date with the store; negative
        if it never was.
    waited_s : float
        Time from the arrival of the request to this reply.
    complete : bool
        Whether `items` are all objects that exist, rather than the changed ones.
    era : Era
        Newest era of the store that the relay has seen.
    packed : tuple of PackedRow
        Large objects, which are not among `items`, with their compressed values; see
        `news.packing`.
    unchanged : tuple of str
        Keys of objects that are left out, because the asker has the same version.
    deferred : tuple of (str, Era, Version)
        Large objects that are left out, so that small ones do not wait for them.
    """

    items: tuple[NewsItem, ...]
    count: int
    store_age_s: float
    waited_s: float = 0.0
    complete: bool = False
    era: Era = Era(0)
    proofs: tuple[tuple[str, int, float], ...] = field(
        default=(), metadata=since(Revision.PROOFS)
    )
    packed: tuple[PackedRow, ...] = field(default=(), metadata=since(Revision.PROOFS))
    unchanged: tuple[str, ...] = field(default=(), metadata=since(Revision.PROOFS))
    deferred: tuple[tuple[str, Era, Version], ...] = field(
        default=(), metadata=since(Revision.DEFERRED)
    )
