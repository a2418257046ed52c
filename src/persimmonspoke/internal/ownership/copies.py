"""Copies of the pages of predecessors, stored before their changes take effect."""

from dataclasses import dataclass, field

from persimmonspoke.errors import PeerRefused
from persimmonspoke.ids import HostId
from persimmonspoke.internal.ownership.messages import HandOver, HandOverReply
from persimmonspoke.internal.ownership.page import Page, PageKey


@dataclass(slots=True)
class _HolderCopies:
    """Copies of one holder's pages; `generation` numbers their last complete set."""

    generation: int
    pages: dict[PageKey, Page] = field(default_factory=dict)


class PageCopies:
    """The pages that each holder has sent, since its last complete set of copies.

    Parameters
    ----------
    accepts : callable
        Returns whether a holder may still send its changes to this host.
    """

    def __init__(self, accepts):
        self._accepts = accepts
        self._by_holder: dict[HostId, _HolderCopies] = {}
        self._dropped_generations: dict[HostId, int] = {}

    def receive(self, req: HandOver) -> HandOverReply:
        """Store the pages of `req`, or raise `PeerRefused`."""
        if not self._accepts(req.holder):
            raise PeerRefused("the holder is being revoked")
        if req.generation <= self._dropped_generations.get(req.holder, 0):
            raise PeerRefused("the holder has released this host as its successor")
        copies = self._by_holder.get(req.holder)
        if req.complete and (copies is None or copies.generation < req.generation):
            copies = self._by_holder[req.holder] = _HolderCopies(req.generation)
        if copies is None or copies.generation != req.generation:
            raise PeerRefused("all pages of the holder must be sent first")
        for page in req.pages:
            known = copies.pages.get(page.key)
            if known is None or known.epoch < page.epoch:
                copies.pages[page.key] = page
        return HandOverReply()

    def drop(self, holder: HostId) -> None:
        """Discard the pages of `holder`, until it sends all of them again."""
        copies = self._by_holder.pop(holder, None)
        if copies is not None:
            self._dropped_generations[holder] = copies.generation

    def holders(self) -> tuple[HostId, ...]:
        """Return the ids of the hosts whose pages are copied here."""
        return tuple(sorted(self._by_holder))

    def complete(self, holder: HostId) -> bool:
        """Return whether this host has copies of all pages that `holder` keeps."""
        return holder in self._by_holder

    def pages(self, holder: HostId) -> tuple[Page, ...]:
        """Return the pages that `holder` keeps, as it last sent them."""
        copies = self._by_holder.get(holder)
        if copies is None:
            return ()
        return tuple(page for page in copies.pages.values() if page.keeper == holder)
