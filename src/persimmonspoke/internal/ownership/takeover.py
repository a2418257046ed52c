"""Takeover of pages: new pages, transferred pages, and pages of ended hosts."""

import logging

from persimmonspoke.errors import StoreConflict, StoreError
from persimmonspoke.ids import Epoch, HostId, Instant, PageId, ShardId, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.ring import rendezvous_host
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.ownership.configs import Configs
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.ownership.messages import KeeperNotice
from persimmonspoke.internal.ownership.page import (
    Assignment,
    Page,
    PageKey,
)
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.questionnaire.configuration import ServiceConfig
from persimmonspoke.internal.store.api import Store, StoredObject
from persimmonspoke.internal.store.writes import new_write_id, write

_LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.02
RESCAN_PERIOD_S = 0.5
STORE_TIMEOUT_S = 1.0
LOST_STATE_EPOCH_STEP = 1000
PAGES_PREFIX = "pages/"


class Takeover:
    """Starts to keep pages, and drops those that other hosts have taken over."""

    def __init__(
        self,
        keeper: Keeper,
        configs: Configs,
        clock: Clock,
        store: Store,
        link: PeerLink,
        store_view: StoreView,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._member = keeper.member
        self._directory = keeper.member.directory
        self._timers = keeper.member.cfg.timers
        self._configs = configs
        self._clock = clock
        self._store = store
        self._link = link
        self._store_view = store_view
        self._tasks = tasks
        self._read_at_count = -1
        self._stored: dict[PageKey, tuple[Page, StoredObject]] = {}
        self._in_progress: set[PageKey] = set()
        self._scanned_version: tuple[int, int] = (-1, -1)
        self._rescan_at = Instant(0.0)

    def start(self) -> None:
        """Start to look for pages to keep."""
        self._member.grantor.keeps_pages = self._keeps_pages
        self._link.serve(KeeperNotice, self._on_keeper_notice)
        self._tasks.every(CHECK_PERIOD_S, self._check_pages)

    def _on_keeper_notice(self, notice: KeeperNotice) -> KeeperNotice:
        page = notice.page
        value = page.to_value(notice.write_id)
        self._store_view.observe(StoredObject(page.key.path(), value, notice.version))
        return notice

    def stored_pages(self) -> dict[PageKey, tuple[Page, StoredObject]]:
        """Return the latest known stored state of each page."""
        count = self._store_view.change_count()
        if count != self._read_at_count:
            self._read_at_count = count
            pages = {}
            for item in self._store_view.items(PAGES_PREFIX):
                page = Page.from_value(item.value)
                known = self._stored.get(page.key)
                if known is not None and known[1] is item:
                    page = known[0]
                pages[page.key] = (page, item)
            self._stored = pages
        return self._stored

    def _keeps_pages(self, host_id):
        pages = self.stored_pages().values()
        return any(page.keeper == host_id for page, _ in pages)

    def _check_pages(self):
        stored = self.stored_pages()
        if self._member.revoked:
            for managed in list(self._keeper.pages.values()):
                self._keeper.drop(managed)
            return
        self._drop_superseded(stored)
        if not self._member.holds_lease():
            return
        self._take_copied_pages()
        # The scan of all pages runs only after a change, and every RESCAN_PERIOD_S
        # to repeat steps that failed.
        known_version = self._directory.version()
        now = self._clock.now()
        if known_version == self._scanned_version and now < self._rescan_at:
            return
        self._scanned_version = known_version
        self._rescan_at = Instant(now + RESCAN_PERIOD_S)
        for key, (page, item) in stored.items():
            if key not in self._keeper.pages and key not in self._in_progress:
                self._take_if_allowed(page, item)
        if not self._member.leaving:
            self._create_missing(stored)

    def _drop_superseded(self, stored):
        """Drop pages for which the store names another keeper in a later state."""
        for key, managed in list(self._keeper.pages.items()):
            page, item = stored.get(key, (managed.page, None))
            if item is None or item.version <= managed.version:
                continue
            if (
                page.epoch >= managed.latest.epoch
                and page.keeper != self._member.host_id
            ):
                self._keeper.drop(managed)

    # Pages of ended hosts, with copies of their last state.

    def _take_copied_pages(self):
        for host_id in self._taken_over_hosts():
            for copy in self._keeper.copies.pages(host_id):
                if not self._is_superseded(copy):
                    self._start_step(copy.key, self._take_copy, copy)

    def _is_superseded(self, copy):
        """Return whether a copied page needs no takeover.

        It is kept or being taken over here already, or the store has a later state.
        """
        if copy.key in self._keeper.pages or copy.key in self._in_progress:
            return True
        stored = self._stored.get(copy.key)
        return stored is not None and stored[0].epoch > copy.epoch

    def _taken_over_hosts(self):
        """Return the hosts whose pages this host takes over from complete copies."""
        return [
            host_id
            for host_id in self._keeper.copies.holders()
            if host_id in self._member.grantor.acting
            or self._revoked_as_successor(host_id)
        ]

    def _revoked_as_successor(self, host_id):
        """Return whether this host has revoked another as its named successor."""
        record = self._directory.get(host_id)
        if record is None or not record.revoked:
            return False
        return record.successor == record.revoked_by == self._member.host_id

    def _take_copy(self, copy):
        """Start to keep a page in the last state that its keeper replicated here."""
        _, item = self._stored.get(copy.key, (copy, None))
        version = item.version if item else Version(0)
        taken = copy.with_keeper(self._member.host_id)
        managed = ManagedPage(taken, version, Epoch(0))
        self._set_inherited_deadlines(managed)
        self._install(managed, "with its last state")

    # Pages in the store that name this host, or a keeper that has ended.

    def _take_if_allowed(self, page, item):
        if page.keeper == self._member.host_id:
            self._start_step(page.key, self._take_named, page, item)
        elif self._may_take(page.keeper):
            self._start_step(page.key, self._take_without_copy, page.key)

    def _may_take(self, keeper):
        record = self._directory.get(keeper)
        if record is not None and not record.revoked:
            return False
        if not self._directory.inherits_pages_of(keeper):
            return False
        # A late write of a dead successor may have revoked a host that still holds a
        # lease of this host.
        return not self._member.grantor.may_hold_lease(keeper)

    def _take_named(self, page, item):
        """Start to keep a page that names this host; its last keeper had closed it."""
        managed = ManagedPage(page, item.version, page.epoch)
        self._set_inherited_deadlines(managed)
        self._install(managed, "as the store names us")

    def _take_without_copy(self, key):
        """Start to keep a page whose last changes may be lost.

        No grant is ordered before all grants of the lost states have lapsed.
        """
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        try:
            found = self._store.get(key.path(), deadline)
            self._store_view.observe(found)
            page = Page.from_value(found.value)
            if not self._may_take(page.keeper):
                return
            taken = page.with_keeper(self._member.host_id, LOST_STATE_EPOCH_STEP)
            value = taken.to_value(new_write_id())
            stored = write(
                self._store, self._clock, key.path(), value, found.version, deadline
            )
        except StoreError:
            return
        self._store_view.observe(stored)
        managed = ManagedPage(taken, stored.version, taken.epoch)
        self._set_inherited_deadlines(managed)
        managed.no_grants_before = managed.inherited_grants_until
        self._install(managed, "without its last state")

    def _set_inherited_deadlines(self, managed):
        """Set until when grants and route leases of the last keeper may be valid."""
        now = self._clock.now()
        timers = self._timers
        managed.inherited_grants_until = Instant(
            now + timers.max_duration_s(timers.grant_s)
        )
        managed.inherited_routes_until = Instant(
            now + timers.max_duration_s(timers.route_lease_s)
        )

    def _install(self, managed, how):
        self._keeper.install(managed)
        _LOG.info("keeper: page taken %s", how, extra={"page": managed.page.key.path()})

    def _start_step(self, key, func, *args):
        """Run `func` in a task, and mark the page as in progress until it ends."""
        self._in_progress.add(key)
        self._tasks.spawn(self._run_step, key, func, args)

    def _run_step(self, key, func, args):
        try:
            func(*args)
        finally:
            self._in_progress.discard(key)

    # Pages of configured services that do not exist yet.

    def _create_missing(self, stored):
        hosts = [record.host_id for record in self._directory.active()]
        for (team, service), cfg in self._configs.divided().items():
            for number in range(-(-cfg.shard_count // cfg.shards_per_page)):
                key = PageKey(team, service, PageId(number))
                if (
                    key in stored
                    or key in self._in_progress
                    or key in self._keeper.pages
                ):
                    continue
                if rendezvous_host(key.path(), hosts) == self._member.host_id:
                    self._start_step(key, self._create, key, cfg)

    def _create(self, key, cfg):
        """Write a new page that names this host, which then finds it in the store."""
        page = first_page(key, cfg, self._member.host_id)
        value = page.to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        try:
            stored = write(self._store, self._clock, key.path(), value, 0, deadline)
        except StoreConflict:
            stored = self._store.get(key.path(), deadline)
        self._store_view.observe(stored)


def first_page(key: PageKey, cfg: ServiceConfig, keeper: HostId) -> Page:
    """Return the first state of a page, its shards assigned to the targets in turn."""
    first = key.page * cfg.shards_per_page
    last = min(first + cfg.shards_per_page, cfg.shard_count)
    targets = cfg.targets
    epoch = Epoch(1)
    return Page(
        key=key,
        keeper=keeper,
        epoch=epoch,
        first_shard=ShardId(first),
        assignments=tuple(
            Assignment(targets[shard % len(targets)].target_id, epoch)
            for shard in range(first, last)
        ),
    )
