"""Copies of the pages of predecessors, handed over before they take effect."""

from dataclasses import dataclass, field

from persimmonspoke.errors import PeerRefused
from persimmonspoke.ids import HostId
from persimmonspoke.internal.ownership.messages import HandOver, HandOverReply
from persimmonspoke.internal.ownership.page import Page, PageKey


@dataclass(slots=True)
class _Holding:
    generation: int
    pages: dict[PageKey, Page] = field(default_factory=dict)


class PageCopies:
    """What each holder has handed over since its last complete hand-over."""

    def __init__(self, accepts):
        self._accepts = accepts
        self._holdings: dict[HostId, _Holding] = {}
        self._dropped: dict[HostId, int] = {}

    def take_in(self, req: HandOver) -> HandOverReply:
        """Keep the pages of `req`, or raise `PeerRefused`."""
        if not self._accepts(req.holder):
            raise PeerRefused("the holder is being revoked")
        if req.generation <= self._dropped.get(req.holder, 0):
            raise PeerRefused("the holder has released this host")
        holding = self._holdings.get(req.holder)
        if req.complete and (holding is None or holding.generation < req.generation):
            holding = self._holdings[req.holder] = _Holding(req.generation)
        if holding is None or holding.generation != req.generation:
            raise PeerRefused("a complete hand-over is needed first")
        for page in req.pages:
            known = holding.pages.get(page.key)
            if known is None or known.epoch < page.epoch:
                holding.pages[page.key] = page
        return HandOverReply()

    def drop(self, holder: HostId) -> None:
        """Forget the pages of `holder`, until it hands over all of them again."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._dropped[holder] = holding.generation

    def holders(self) -> tuple[HostId, ...]:
        """Return the hosts of which copies are here."""
        return tuple(sorted(self._holdings))

    def complete(self, holder: HostId) -> bool:
        """Return whether all that `holder` keeps is here."""
        return holder in self._holdings

    def pages(self, holder: HostId) -> tuple[Page, ...]:
        """Return the pages that `holder` keeps, as it last handed them over."""
        holding = self._holdings.get(holder)
        if holding is None:
            return ()
        return tuple(page for page in holding.pages.values() if page.keeper == holder)
