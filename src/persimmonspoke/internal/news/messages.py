"""Messages by which hosts pass on the store's news."""

from dataclasses import dataclass
from typing import Any

from persimmonspoke.ids import HostId, Version
from persimmonspoke.internal.peers.codec import message


@dataclass(frozen=True, slots=True)
class NewsItem:
    """One object of the store; the value is empty if it was deleted."""

    key: str
    value: dict[str, Any]
    version: Version


@message
@dataclass(frozen=True, slots=True)
class NewsRequest:
    """Ask a relay for what it learned after its `since`-th change.

    Attributes
    ----------
    wait_s : float
        How long the relay may wait for news before it answers with none.
    """

    asker: HostId
    since: int
    wait_s: float


@message
@dataclass(frozen=True, slots=True)
class NewsReply:
    """What the relay learned, and the number of its last change.

    Attributes
    ----------
    store_age_s : float
        Time since the relay was certainly up to date with the store; negative if
        it never was.
    """

    items: tuple[NewsItem, ...]
    count: int
    store_age_s: float
