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
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.ownership.copies import PageCopies
from persimmonspoke.internal.ownership.kept import ManagedPage
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
    pages : dict of PageKey to ManagedPage
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
        news: News,
        tasks: Tasks,
    ):
        self.member = member
        self.pages: dict[PageKey, ManagedPage] = {}
        self.copies = PageCopies(member.grantor.accepts_from)
        self.change = 0
        self.on_change = lambda managed: None
        self.on_install = lambda managed: None
        self._clock = clock
        self._store = store
        self._link = link
        self._news = news
        self._tasks = tasks
        self._writers = eventlet.semaphore.Semaphore(WRITERS)
        self._generation = 0
        self._given: dict[HostId, int] = {}
        member.holder.replicate_to = self.replicate_all
        member.grantor.has_copies = self.copies.complete
        member.grantor.drop_copies = self.copies.drop

    def start(self) -> None:
        """Begin to take in what others hand over."""
        self._link.serve(HandOver, self.copies.take_in)

    @property
    def host_id(self) -> HostId:
        """The id of this run."""
        return self.member.host_id

    def open_pages(self) -> list[ManagedPage]:
        """Return the pages for which this host may order grants."""
        return [managed for managed in self.pages.values() if not managed.closed]

    # Handing over.

    def replicate_all(self, grantor: PeerAddress) -> bool:
        """Give `grantor` all pages that this host keeps; return whether it took them.

        Every page is in its latest state, also if that has not taken effect.
        """
        self._generation += 1
        generation = self._generation
        self._given[grantor.host_id] = generation
        pages = tuple(managed.latest for managed in self.pages.values())
        return self._call(grantor, HandOver(self.host_id, generation, True, pages))

    def _hand(self, page: Page) -> tuple[PeerAddress, ...]:
        """Give `page` to every possible successor and return these.

        Raises `AuthorityLapsed` if the lease lapses before all have it.
        """
        holder = self.member.holder
        while self.member.holds_lease():
            grantors = holder.replica_hosts()
            if any(
                grantor.host_id in self.member.directory.dead for grantor in grantors
            ):
                # Another successor takes its place soon.
                self._pause()
                continue
            took = self._tasks.gather(lambda to: self._hand_to(to, page), grantors)
            if all(took) and grantors == holder.replica_hosts():
                return grantors
            self._pause()
        raise AuthorityLapsed(f"{page.key.path()} could not be handed over")

    def _hand_to(self, grantor, page):
        generation = self._given.get(grantor.host_id, 0)
        if self._call(grantor, HandOver(self.host_id, generation, False, (page,))):
            return True
        return self.replicate_all(grantor)

    def _call(self, grantor, msg):
        deadline = Instant(self._clock.now() + HAND_S)
        try:
            self._link.call(grantor, msg, deadline)
        except PeerError:
            return False
        return True

    # Changing a page.

    def install(self, managed: ManagedPage) -> None:
        """Begin to keep a page whose state nobody else can change any more.

        The caller sets what an earlier keeper left; raises `AuthorityLapsed`.
        """
        managed.closed = True
        self.pages[managed.page.key] = managed
        try:
            self._hand(managed.latest)
        except AuthorityLapsed:
            self.pages.pop(managed.page.key, None)
            raise
        managed.closed = False
        self._changed(managed)
        self.on_install(managed)
        self._store_soon(managed)

    def commit(self, managed: ManagedPage, page: Page) -> None:
        """Make `page` the state in force; the caller holds the page's lock.

        Raises
        ------
        AuthorityLapsed
            This host may not change the page any more; the change may yet reach the
            store, but this host does not act on it.
        """
        managed.latest = page
        patience = Instant(self._clock.now() + PATIENCE_S)
        while True:
            grantors = self._hand(page)
            self._store_soon(managed)
            while not self._may_take_effect(managed, grantors, patience):
                self._pause()
            if grantors == self.member.holder.replica_hosts():
                break
        managed.page = page
        self._changed(managed)

    def _may_take_effect(self, managed, grantors, patience):
        if managed.closed or not self.member.holds_lease():
            raise AuthorityLapsed(f"{managed.page.key.path()} is no longer kept here")
        if managed.latest_is_stored():
            return True
        return bool(grantors) and self._clock.now() > patience

    def hold(self, managed: ManagedPage, shards) -> None:
        """Let hosts hold new requests for `shards`."""
        managed.held.update(shards)
        self._changed(managed)

    def unhold(self, managed: ManagedPage, shards) -> None:
        """Let hosts send requests for `shards` again."""
        managed.held.difference_update(shards)
        managed.moving.difference_update(shards)
        self._changed(managed)

    def drop(self, managed: ManagedPage) -> None:
        """Stop to keep a page that another host keeps now."""
        managed.closed = True
        if self.pages.get(managed.page.key) is managed:
            del self.pages[managed.page.key]
            _LOG.info("keeper: page lost", extra={"page": managed.page.key.path()})

    def transfer(self, managed: ManagedPage, host_id: HostId) -> bool:
        """Name another keeper; return whether the store has it.

        The page is closed from the first write on until its outcome is known: the
        other host may begin at any moment.  The caller holds the page's lock.
        """
        deadline = Instant(self._clock.now() + STORE_S)
        while not managed.latest_is_stored() and self._clock.now() < deadline:
            self._pause()
        if not self.is_current_in_store(managed, STORE_S):
            return False
        if not managed.latest_in_force():
            return False
        managed.closed = True
        managed.latest = managed.page.with_keeper(host_id)
        try:
            self._hand(managed.latest)
        except AuthorityLapsed:
            # Nothing was sent to the store.  The copies name the other host, so
            # this host goes on with a later state.
            managed.latest = managed.page.with_keeper(self.host_id, epoch_step=2)
            managed.closed = False
            raise
        self._store_soon(managed)
        while (
            self.pages.get(managed.page.key) is managed
            and not managed.latest_is_stored()
        ):
            self._pause()
        self.drop(managed)
        return True

    def is_current_in_store(self, managed: ManagedPage, patience_s: float) -> bool:
        """Return whether the store answers soon, and has the page as it is here."""
        if not managed.latest_is_stored():
            return False
        deadline = Instant(self._clock.now() + patience_s)
        try:
            found = self._store.get(managed.page.key.path(), deadline)
        except StoreError:
            return False
        return found.version == managed.version

    def _changed(self, managed):
        self.change += 1
        managed.change = self.change
        self.on_change(managed)

    # Storing.

    def _store_soon(self, managed):
        if not managed.storing and not managed.latest_is_stored():
            managed.storing = True
            self._tasks.spawn(self._store_until_done, managed)

    def _store_until_done(self, managed):
        try:
            while (
                self.pages.get(managed.page.key) is managed
                and not managed.latest_is_stored()
            ):
                with self._writers:
                    done = self.member.holds_lease() and self._store_once(managed)
                if not done:
                    self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))
        finally:
            managed.storing = False

    def _store_once(self, managed):
        """Write the latest state once; return whether it was written."""
        page = managed.latest
        value = page.to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            stored = write(
                self._store,
                self._clock,
                page.key.path(),
                value,
                managed.version,
                deadline,
            )
        except StoreConflict:
            self._reconcile(managed)
            return False
        except StoreError:
            return False
        managed.version = stored.version
        managed.stored_epoch = max(managed.stored_epoch, page.epoch)
        self._news.observe(stored)
        return True

    def _reconcile(self, managed):
        """Look at the state that another write, perhaps our own, left in the store."""
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            found = self._store.get(managed.page.key.path(), deadline)
        except StoreMissing:
            managed.version = Version(0)
            return
        except StoreError:
            return
        self._news.observe(found)
        page = Page.from_value(found.value)
        if page == managed.latest:
            managed.version = found.version
            managed.stored_epoch = page.epoch
        elif page.epoch >= managed.latest.epoch:
            self.drop(managed)
        elif page.keeper == self.host_id or self._ended(page.keeper):
            managed.version = found.version

    def _ended(self, host_id):
        directory = self.member.directory
        record = directory.get(host_id)
        return host_id in directory.dead or record is None or record.revoked

    def _pause(self):
        self._clock.sleep_until(Instant(self._clock.now() + STEP_S))
