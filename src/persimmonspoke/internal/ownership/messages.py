"""Messages between entry hosts about pages and routes."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, ShardId, Version, WriteId
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.codec import message


@message
@dataclass(frozen=True, slots=True)
class HandOver:
    """Send pages to a successor of `holder` before their changes take effect.

    Attributes
    ----------
    generation : int
        Number of the complete set of copies that this message starts or updates.
    complete : bool
        Whether `pages` are all pages that the holder keeps.
    """

    holder: HostId
    generation: int
    complete: bool
    pages: tuple[Page, ...]


@message
@dataclass(frozen=True, slots=True)
class HandOverReply:
    """Confirm that the successor has stored the pages."""


@message
@dataclass(frozen=True, slots=True)
class KeeperNotice:
    """Notify a host that the store now names it as the keeper of a page."""

    page: Page
    version: Version
    write_id: WriteId


@dataclass(frozen=True, slots=True)
class RoutePage:
    """The state of a page that its keeper has in force.

    Attributes
    ----------
    change : int
        Change number of the page, which increases with each change at this keeper.
    held : tuple of ShardId
        Shards that are being moved, for which new requests wait.
    """

    page: Page
    change: int
    held: tuple[ShardId, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Ask a keeper for its pages with a change number above `since`."""

    asker: HostId
    since: int


@message
@dataclass(frozen=True, slots=True)
class RouteReply:
    """Return the changed pages, and renew the lease for all routes of the keeper."""

    change: int
    pages: tuple[RoutePage, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteNotice:
    """Notify a host of changed pages at once; this renews no lease."""

    keeper: HostId
    pages: tuple[RoutePage, ...]


@message
@dataclass(frozen=True, slots=True)
class RouteNoticeReply:
    """Confirm that the pages have been received."""


@message
@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Ask a host to stop sending requests for some shards, and to let those end.

    Attributes
    ----------
    wait_s : float
        How long the host may wait for its requests in flight.
    """

    keeper: HostId
    page: RoutePage
    shards: tuple[ShardId, ...]
    wait_s: float


@message
@dataclass(frozen=True, slots=True)
class HoldReply:
    """Confirm that the host has stopped sending.

    Attributes
    ----------
    drained : bool
        Whether the host has no requests for the shards in flight any more.
    """

    drained: bool
