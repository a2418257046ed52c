"""Messages between entry hosts about pages and routes."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, ShardId, Version, WriteId
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.codec import message


@message
@dataclass(frozen=True, slots=True)
class HandOver:
    """Pages that the holder's successor has to know before they take effect.

    Attributes
    ----------
    generation : int
        Number of the complete hand-over on which this one builds.
    complete : bool
        Whether `pages` are all that the holder keeps.
    """

    holder: HostId
    generation: int
    complete: bool
    pages: tuple[Page, ...]


@message
@dataclass(frozen=True, slots=True)
class HandOverReply:
    """The successor has taken the pages in."""


@message
@dataclass(frozen=True, slots=True)
class KeeperNotice:
    """Tell a host that the store now names it as keeper of a page."""

    page: Page
    version: Version
    write_id: WriteId


@dataclass(frozen=True, slots=True)
class RoutePage:
    """A page as its keeper sees it now.

    Attributes
    ----------
    change : int
        Grows with each change at this keeper.
    held : tuple of ShardId
        Shards that are being moved; new requests for them wait.
    """

    page: Page
    change: int
    held: tuple[ShardId, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Ask a keeper for its pages that changed after its change `since`."""

    asker: HostId
    since: int


@message
@dataclass(frozen=True, slots=True)
class RouteReply:
    """The changed pages, and a lease for all routes of this keeper."""

    change: int
    pages: tuple[RoutePage, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteNotice:
    """Tell a host about changed pages at once; it renews no lease."""

    keeper: HostId
    pages: tuple[RoutePage, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteNoticeReply:
    """The pages were taken in."""


@message
@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Ask a host to stop sending requests on some shards, and to let them end.

    Attributes
    ----------
    wait_s : float
        How long the host may wait for its requests in hand.
    """

    keeper: HostId
    page: RoutePage
    shards: tuple[ShardId, ...]
    wait_s: float


@message
@dataclass(frozen=True, slots=True)
class HoldReply:
    """The host has stopped; `drained` if nothing of it is in hand any more."""

    drained: bool
