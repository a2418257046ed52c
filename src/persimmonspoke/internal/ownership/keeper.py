"""The pages that this host keeps: changes, replication, storage and transfer."""

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
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.ownership.messages import HandOver
from persimmonspoke.internal.ownership.page import Page, PageKey
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import new_write_id, write

_LOG = logging.getLogger(__name__)

POLL_S = 0.01
REPLICATION_TIMEOUT_S = 0.1
STORE_RETRY_S = 0.05
MAX_STORE_WAIT_S = 0.15
MAX_CONCURRENT_WRITES = 16
STORE_TIMEOUT_S = 1.0


class Keeper:
    """Changes, replicates and stores all pages that this host keeps.

    A new state of a page takes effect only when every possible successor of this host
    has a copy of it, and the store has it too or has not answered for
    `MAX_STORE_WAIT_S`.  Without a successor, the store must have it.

    Attributes
    ----------
    pages : dict of PageKey to ManagedPage
        The pages that this host keeps.
    copies : PageCopies
        Copies of the pages of the hosts whose successor this host is.
    change : int
        Incremented by every change of any page.
    on_change : callable
        Called with each page whose state or held shards have changed.
    on_install : callable
        Called with each page that this host has begun to keep.
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
        self.pages: dict[PageKey, ManagedPage] = {}
        self.copies = PageCopies(member.grantor.accepts_copies_from)
        self.change = 0
        self.on_change = lambda managed: None
        self.on_install = lambda managed: None
        self._clock = clock
        self._store = store
        self._link = link
        self._store_view = store_view
        self._tasks = tasks
        self._write_slots = eventlet.semaphore.Semaphore(MAX_CONCURRENT_WRITES)
        self._last_generation = 0
        self._generations: dict[HostId, int] = {}
        member.holder.replicate_to = self.replicate_all
        member.grantor.has_copies = self.copies.complete
        member.grantor.drop_copies = self.copies.drop

    def start(self) -> None:
        """Start to accept copies of pages from other hosts."""
        self._link.serve(HandOver, self.copies.receive)

    @property
    def host_id(self) -> HostId:
        """The id of this run."""
        return self.member.host_id

    def open_pages(self) -> list[ManagedPage]:
        """Return the pages for which this host may order grants."""
        return [managed for managed in self.pages.values() if not managed.closed]

    # Replication to successors.

    def replicate_all(self, grantor: PeerAddress) -> bool:
        """Send all pages that this host keeps to `grantor`; return whether it accepted.

        Every page is sent in its latest state, which may not be in force yet.
        """
        self._last_generation += 1
        generation = self._last_generation
        self._generations[grantor.host_id] = generation
        pages = tuple(managed.latest for managed in self.pages.values())
        return self._call(grantor, HandOver(self.host_id, generation, True, pages))

    def _replicate(self, page: Page) -> tuple[PeerAddress, ...]:
        """Send `page` to every possible successor, and return their addresses.

        Raises
        ------
        AuthorityLapsed
            The lease lapsed before all successors had the page.
        """
        holder = self.member.holder
        while self.member.holds_lease():
            grantors = holder.replica_hosts()
            if any(
                grantor.host_id in self.member.directory.dead for grantor in grantors
            ):
                # The holder replaces a dead grantor soon.
                self._pause()
                continue
            accepted = self._tasks.gather(
                lambda to: self._replicate_to(to, page), grantors
            )
            if all(accepted) and grantors == holder.replica_hosts():
                return grantors
            self._pause()
        raise AuthorityLapsed(
            f"{page.key.path()} could not be replicated to all successors"
        )

    def _replicate_to(self, grantor, page):
        """Send `page`, or all pages if needed; return whether `grantor` has it."""
        generation = self._generations.get(grantor.host_id, 0)
        if self._call(grantor, HandOver(self.host_id, generation, False, (page,))):
            return True
        return self.replicate_all(grantor)

    def _call(self, grantor, msg):
        deadline = Instant(self._clock.now() + REPLICATION_TIMEOUT_S)
        try:
            self._link.call(grantor, msg, deadline)
        except PeerError:
            return False
        return True

    # Changes of a page, each replicated before it takes effect.

    def install(self, managed: ManagedPage) -> None:
        """Start to keep a page that no other host can change any more.

        The caller must have set the deadlines inherited from an earlier keeper.

        Raises
        ------
        AuthorityLapsed
            The lease lapsed before all successors had the page.
        """
        managed.closed = True
        self.pages[managed.page.key] = managed
        try:
            self._replicate(managed.latest)
        except AuthorityLapsed:
            self.pages.pop(managed.page.key, None)
            raise
        managed.closed = False
        self._changed(managed)
        self.on_install(managed)
        self._start_storing(managed)

    def commit(self, managed: ManagedPage, page: Page) -> None:
        """Make `page` the state in force; the caller must hold the page's lock.

        Raises
        ------
        AuthorityLapsed
            This host may not change the page any more.  The change may still reach the
            store, but this host does not act on it.
        """
        managed.latest = page
        store_wait_ends = Instant(self._clock.now() + MAX_STORE_WAIT_S)
        while True:
            grantors = self._replicate(page)
            self._start_storing(managed)
            while not self._may_take_effect(managed, grantors, store_wait_ends):
                self._pause()
            if grantors == self.member.holder.replica_hosts():
                break
        managed.page = page
        self._changed(managed)

    def _may_take_effect(self, managed, grantors, store_wait_ends):
        """Return whether the latest state, which `grantors` have, may take effect."""
        if managed.closed or not self.member.holds_lease():
            raise AuthorityLapsed(f"{managed.page.key.path()} is no longer kept here")
        if managed.latest_is_stored():
            return True
        return bool(grantors) and self._clock.now() > store_wait_ends

    def hold(self, managed: ManagedPage, shards) -> None:
        """Mark `shards` as held, so that hosts hold back new requests for them."""
        managed.held.update(shards)
        self._changed(managed)

    def unhold(self, managed: ManagedPage, shards) -> None:
        """Unmark `shards` as held and as moving, so that hosts send requests again."""
        managed.held.difference_update(shards)
        managed.moving.difference_update(shards)
        self._changed(managed)

    def drop(self, managed: ManagedPage) -> None:
        """Stop keeping a page that another host keeps now."""
        managed.closed = True
        if self.pages.get(managed.page.key) is managed:
            del self.pages[managed.page.key]
            _LOG.info("keeper: page lost", extra={"page": managed.page.key.path()})

    def transfer(self, managed: ManagedPage, host_id: HostId) -> bool:
        """Transfer a page to the keeper `host_id`; return whether it is no longer kept.

        The page is closed from before the write until its outcome is known, because the
        other host may start to keep it at any moment.  The caller must hold the page's
        lock.
        """
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        while not managed.latest_is_stored() and self._clock.now() < deadline:
            self._pause()
        if not self.is_current_in_store(managed, STORE_TIMEOUT_S):
            return False
        if not managed.latest_in_force():
            return False
        managed.closed = True
        managed.latest = managed.page.with_keeper(host_id)
        try:
            self._replicate(managed.latest)
        except AuthorityLapsed:
            # Nothing was sent to the store, but copies may name the other host as
            # keeper.  This host therefore continues with a later epoch.
            managed.latest = managed.page.with_keeper(self.host_id, epoch_step=2)
            managed.closed = False
            raise
        self._start_storing(managed)
        while (
            self.pages.get(managed.page.key) is managed
            and not managed.latest_is_stored()
        ):
            self._pause()
        self.drop(managed)
        return True

    def is_current_in_store(self, managed: ManagedPage, timeout_s: float) -> bool:
        """Return whether the store answers in time with the latest state of a page."""
        if not managed.latest_is_stored():
            return False
        deadline = Instant(self._clock.now() + timeout_s)
        try:
            found = self._store.get(managed.page.key.path(), deadline)
        except StoreError:
            return False
        return found.version == managed.version

    def _changed(self, managed):
        self.change += 1
        managed.change = self.change
        self.on_change(managed)

    # Writes to the store, retried until the latest state is stored.

    def _start_storing(self, managed):
        if not managed.storing and not managed.latest_is_stored():
            managed.storing = True
            self._tasks.spawn(self._store_until_done, managed)

    def _store_until_done(self, managed):
        try:
            while (
                self.pages.get(managed.page.key) is managed
                and not managed.latest_is_stored()
            ):
                with self._write_slots:
                    done = self.member.holds_lease() and self._store_once(managed)
                if not done:
                    self._clock.sleep_until(Instant(self._clock.now() + STORE_RETRY_S))
        finally:
            managed.storing = False

    def _store_once(self, managed):
        """Try to write the latest state; return whether it is known to be written."""
        page = managed.latest
        value = page.to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
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
        self._store_view.observe(stored)
        return True

    def _reconcile(self, managed):
        """Update a page after a conflicting write, perhaps one of this host.

        The page is dropped if the store has another state of the same or a later epoch.
        An earlier state, stored by this host or by one that has ended, is replaced by
        the next write.
        """
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        try:
            found = self._store.get(managed.page.key.path(), deadline)
        except StoreMissing:
            managed.version = Version(0)
            return
        except StoreError:
            return
        self._store_view.observe(found)
        page = Page.from_value(found.value)
        if page == managed.latest:
            managed.version = found.version
            managed.stored_epoch = page.epoch
        elif page.epoch >= managed.latest.epoch:
            self.drop(managed)
        elif page.keeper == self.host_id or self._has_ended(page.keeper):
            managed.version = found.version

    def _has_ended(self, host_id):
        directory = self.member.directory
        record = directory.get(host_id)
        return host_id in directory.dead or record is None or record.revoked

    def _pause(self):
        self._clock.sleep_until(Instant(self._clock.now() + POLL_S))
