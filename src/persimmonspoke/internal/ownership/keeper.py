"""The pages that this host keeps: changing them, storing them, handing them over."""

import logging

import eventlet.semaphore

from persimmonspoke.errors import (
    AuthorityLapsed,
    PeerError,
    StoreConflict,
    StoreError,
    StoreMissing,
)
from persimmonspoke.ids import HostId, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.member import Member
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.ownership.copies import PageCopies
from persimmonspoke.internal.ownership.kept import KeptPage
from persimmonspoke.internal.ownership.messages import HandOver
from persimmonspoke.internal.ownership.page import Page, PageKey
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import new_write_id, write

_LOG = logging.getLogger(__name__)

STEP_S = 0.01
HAND_S = 0.1
RETRY_S = 0.05
PATIENCE_S = 0.15
WRITERS = 16
STORE_S = 1.0


class Keeper:
    """All pages that this host keeps.

    A state of a page takes effect only when every host that may be this one's
    successor has a copy, and when the store has it as well or has been silent for
    `PATIENCE_S`.  Without a successor, the store must have it.

    Attributes
    ----------
    pages : dict of PageKey to KeptPage
        The pages kept.
    copies : PageCopies
        The pages of this host's predecessors.
    change : int
        Grows with every change of any page.
    """

    def __init__(
        self,
        member: Member,
        clock: Clock,
        store: Store,
        link: PeerLink,
        store_view: StoreView,
        tasks: Tasks,
    ):
        self.member = member
        self.pages: dict[PageKey, KeptPage] = {}
        self.copies = PageCopies(member.grantor.accepts_from)
        self.change = 0
        self.on_change = lambda kept: None
        self.on_install = lambda kept: None
        self._clock = clock
        self._store = store
        self._link = link
        self._store_view = store_view
        self._tasks = tasks
        self._writers = eventlet.semaphore.Semaphore(WRITERS)
        self._generation = 0
        self._given: dict[HostId, int] = {}
        member.holder.hand_over = self.hand_over_all
        member.grantor.has_copies = self.copies.complete
        member.grantor.drop_copies = self.copies.drop

    def start(self) -> None:
        """Begin to take in what others hand over."""
        self._link.serve(HandOver, self.copies.take_in)

    @property
    def host_id(self) -> HostId:
        """The id of this run."""
        return self.member.host_id

    def open_pages(self) -> list[KeptPage]:
        """Return the pages for which this host may order grants."""
        return [kept for kept in self.pages.values() if not kept.closed]

    # Handing over.

    def hand_over_all(self, grantor: PeerAddress) -> bool:
        """Give `grantor` all pages that this host keeps; return whether it took them.

        Every page is in its latest state, also if that has not taken effect.
        """
        self._generation += 1
        generation = self._generation
        self._given[grantor.host_id] = generation
        pages = tuple(kept.latest for kept in self.pages.values())
        return self._call(grantor, HandOver(self.host_id, generation, True, pages))

    def _hand(self, page: Page) -> tuple[PeerAddress, ...]:
        """Give `page` to every possible successor and return these.

        Raises `AuthorityLapsed` if the lease lapses before all have it.
        """
        holder = self.member.holder
        while self.member.holds_lease():
            grantors = holder.copyholders()
            if any(
                grantor.host_id in self.member.directory.dead for grantor in grantors
            ):
                # Another successor takes its place soon.
                self._pause()
                continue
            took = self._tasks.gather(lambda to: self._hand_to(to, page), grantors)
            if all(took) and grantors == holder.copyholders():
                return grantors
            self._pause()
        raise AuthorityLapsed(f"{page.key.path()} could not be handed over")

    def _hand_to(self, grantor, page):
        generation = self._given.get(grantor.host_id, 0)
        if self._call(grantor, HandOver(self.host_id, generation, False, (page,))):
            return True
        return self.hand_over_all(grantor)

    def _call(self, grantor, msg):
        deadline = Instant(self._clock.now() + HAND_S)
        try:
            self._link.call(grantor, msg, deadline)
        except PeerError:
            return False
        return True

    # Changing a page.

    def install(self, kept: KeptPage) -> None:
        """Begin to keep a page whose state nobody else can change any more.

        The caller sets what an earlier keeper left; raises `AuthorityLapsed`.
        """
        kept.closed = True
        self.pages[kept.page.key] = kept
        try:
            self._hand(kept.latest)
        except AuthorityLapsed:
            self.pages.pop(kept.page.key, None)
            raise
        kept.closed = False
        self._changed(kept)
        self.on_install(kept)
        self._store_soon(kept)

    def commit(self, kept: KeptPage, page: Page) -> None:
        """Make `page` the state in force; the caller holds the page's lock.

        Raises
        ------
        AuthorityLapsed
            This host may not change the page any more; the change may yet reach the
            store, but this host does not act on it.
        """
        kept.latest = page
        patience = Instant(self._clock.now() + PATIENCE_S)
        while True:
            grantors = self._hand(page)
            self._store_soon(kept)
            while not self._may_take_effect(kept, grantors, patience):
                self._pause()
            if grantors == self.member.holder.copyholders():
                break
        kept.page = page
        self._changed(kept)

    def _may_take_effect(self, kept, grantors, patience):
        if kept.closed or not self.member.holds_lease():
            raise AuthorityLapsed(f"{kept.page.key.path()} is no longer kept here")
        if kept.stored():
            return True
        return bool(grantors) and self._clock.now() > patience

    def hold(self, kept: KeptPage, shards) -> None:
        """Let hosts hold new requests for `shards`."""
        kept.held.update(shards)
        self._changed(kept)

    def unhold(self, kept: KeptPage, shards) -> None:
        """Let hosts send requests for `shards` again."""
        kept.held.difference_update(shards)
        kept.moving.difference_update(shards)
        self._changed(kept)

    def drop(self, kept: KeptPage) -> None:
        """Stop to keep a page that another host keeps now."""
        kept.closed = True
        if self.pages.get(kept.page.key) is kept:
            del self.pages[kept.page.key]
            _LOG.info("keeper: page lost", extra={"page": kept.page.key.path()})

    def give(self, kept: KeptPage, host_id: HostId) -> bool:
        """Name another keeper; return whether the store has it.

        The page is closed from the first write on until its outcome is known: the
        other host may begin at any moment.  The caller holds the page's lock.
        """
        deadline = Instant(self._clock.now() + STORE_S)
        while not kept.stored() and self._clock.now() < deadline:
            self._pause()
        if not self.store_has(kept, STORE_S):
            return False
        if not kept.settled():
            return False
        kept.closed = True
        kept.latest = kept.page.kept_by(host_id)
        try:
            self._hand(kept.latest)
        except AuthorityLapsed:
            # Nothing was sent to the store.  The copies name the other host, so
            # this host goes on with a later state.
            kept.latest = kept.page.kept_by(self.host_id, epoch_step=2)
            kept.closed = False
            raise
        self._store_soon(kept)
        while self.pages.get(kept.page.key) is kept and not kept.stored():
            self._pause()
        self.drop(kept)
        return True

    def store_has(self, kept: KeptPage, patience_s: float) -> bool:
        """Return whether the store answers soon, and has the page as it is here."""
        if not kept.stored():
            return False
        deadline = Instant(self._clock.now() + patience_s)
        try:
            found = self._store.get(kept.page.key.path(), deadline)
        except StoreError:
            return False
        return found.version == kept.version

    def _changed(self, kept):
        self.change += 1
        kept.change = self.change
        self.on_change(kept)

    # Storing.

    def _store_soon(self, kept):
        if not kept.storing and not kept.stored():
            kept.storing = True
            self._tasks.spawn(self._store_until_done, kept)

    def _store_until_done(self, kept):
        try:
            while self.pages.get(kept.page.key) is kept and not kept.stored():
                with self._writers:
                    done = self.member.holds_lease() and self._store_once(kept)
                if not done:
                    self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))
        finally:
            kept.storing = False

    def _store_once(self, kept):
        """Write the latest state once; return whether it was written."""
        page = kept.latest
        value = page.to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            stored = write(
                self._store,
                self._clock,
                page.key.path(),
                value,
                kept.version,
                deadline,
            )
        except StoreConflict:
            self._reconcile(kept)
            return False
        except StoreError:
            return False
        kept.version = stored.version
        kept.stored_epoch = max(kept.stored_epoch, page.epoch)
        self._store_view.observe(stored)
        return True

    def _reconcile(self, kept):
        """Look at the state that another write, perhaps our own, left in the store."""
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            found = self._store.get(kept.page.key.path(), deadline)
        except StoreMissing:
            kept.version = Version(0)
            return
        except StoreError:
            return
        self._store_view.observe(found)
        page = Page.from_value(found.value)
        if page == kept.latest:
            kept.version = found.version
            kept.stored_epoch = page.epoch
        elif page.epoch >= kept.latest.epoch:
            self.drop(kept)
        elif page.keeper == self.host_id or self._ended(page.keeper):
            kept.version = found.version

    def _ended(self, host_id):
        directory = self.member.directory
        record = directory.get(host_id)
        return host_id in directory.dead or record is None or record.revoked

    def _pause(self):
        self._clock.sleep_until(Instant(self._clock.now() + STEP_S))
