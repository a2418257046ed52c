"""Finding pages to keep: new ones, ones named for us, and those of ended hosts."""

import logging

from persimmonspoke.errors import StoreConflict, StoreError
from persimmonspoke.ids import Epoch, HostId, Instant, PageId, ShardId, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.ring import highest
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.ownership.configs import Configs
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import KeptPage
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

STEP_S = 0.02
AGAIN_S = 0.5
STORE_S = 1.0
BLIND_EPOCH_STEP = 1000
PAGES = "pages/"


class Takeover:
    """Begins to keep pages, and lets go of those that others have taken."""

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
        self._count = -1
        self._stored: dict[PageKey, tuple[Page, StoredObject]] = {}
        self._under_way: set[PageKey] = set()
        self._looked_at: tuple[int, int] = (-1, -1)
        self._look_again_at = Instant(0.0)

    def start(self) -> None:
        """Begin to look for pages."""
        self._member.grantor.keeps_pages = self._keeps_pages
        self._link.serve(KeeperNotice, self._noticed)
        self._tasks.every(STEP_S, self._look)

    def _noticed(self, notice: KeeperNotice) -> KeeperNotice:
        page = notice.page
        value = page.to_value(notice.write_id)
        self._store_view.observe(StoredObject(page.key.path(), value, notice.version))
        return notice

    def stored_pages(self) -> dict[PageKey, tuple[Page, StoredObject]]:
        """Return the newest known stored state of each page."""
        count = self._store_view.change_count()
        if count != self._count:
            self._count = count
            pages = {}
            for item in self._store_view.items(PAGES):
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

    def _look(self):
        stored = self.stored_pages()
        if self._member.revoked:
            for kept in list(self._keeper.pages.values()):
                self._keeper.drop(kept)
            return
        self._let_go(stored)
        if not self._member.holds_lease():
            return
        self._take_handed()
        # All pages are gone through only when something has changed, and now and
        # then in case a step failed.
        known_at = self._directory.version()
        now = self._clock.now()
        if known_at == self._looked_at and now < self._look_again_at:
            return
        self._looked_at = known_at
        self._look_again_at = Instant(now + AGAIN_S)
        for key, (page, item) in stored.items():
            if key not in self._keeper.pages and key not in self._under_way:
                self._consider(page, item)
        if not self._member.leaving:
            self._create_missing(stored)

    def _let_go(self, stored):
        """Drop pages that the store gives to somebody else."""
        for key, kept in list(self._keeper.pages.items()):
            page, item = stored.get(key, (kept.page, None))
            if item is None or item.version <= kept.version:
                continue
            if page.epoch >= kept.latest.epoch and page.keeper != self._member.host_id:
                self._keeper.drop(kept)

    # Pages of ended hosts, whose last state was handed over.

    def _take_handed(self):
        for host_id in self._succeeded():
            for copy in self._keeper.copies.pages(host_id):
                if not self._superseded(copy):
                    self._begin(copy.key, self._take_copy, copy)

    def _superseded(self, copy):
        """Return whether the page is kept already, here or by somebody else."""
        if copy.key in self._keeper.pages or copy.key in self._under_way:
            return True
        stored = self._stored.get(copy.key)
        return stored is not None and stored[0].epoch > copy.epoch

    def _succeeded(self):
        """Return hosts whose pages this one takes over, knowing all their changes."""
        return [
            host_id
            for host_id in self._keeper.copies.holders()
            if host_id in self._member.grantor.acting or self._revoked_here(host_id)
        ]

    def _revoked_here(self, host_id):
        """Return whether this host, as the named successor, has revoked another."""
        record = self._directory.get(host_id)
        if record is None or not record.revoked:
            return False
        return record.successor == record.revoked_by == self._member.host_id

    def _take_copy(self, copy):
        """Keep a page in the state that its last keeper handed over."""
        _, item = self._stored.get(copy.key, (copy, None))
        version = item.version if item else Version(0)
        taken = copy.kept_by(self._member.host_id)
        kept = KeptPage(taken, version, Epoch(0))
        self._inherit(kept)
        self._install(kept, "with its last state")

    # Pages that the store names.

    def _consider(self, page, item):
        if page.keeper == self._member.host_id:
            self._begin(page.key, self._take_named, page, item)
        elif self._may_take(page.keeper):
            self._begin(page.key, self._take_blind, page.key)

    def _may_take(self, keeper):
        record = self._directory.get(keeper)
        if record is not None and not record.revoked:
            return False
        if not self._directory.heir_is_me(keeper):
            return False
        # A dead successor's late write may have revoked a host that lives on with
        # a lease of this one.
        return not self._member.grantor.promised(keeper)

    def _take_named(self, page, item):
        """Keep a page that names this host; its last keeper had stopped before."""
        kept = KeptPage(page, item.version, page.epoch)
        self._inherit(kept)
        self._install(kept, "as the store names us")

    def _take_blind(self, key):
        """Keep a page whose last changes may be lost; begin after they have lapsed."""
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            found = self._store.get(key.path(), deadline)
            self._store_view.observe(found)
            page = Page.from_value(found.value)
            if not self._may_take(page.keeper):
                return
            taken = page.kept_by(self._member.host_id, BLIND_EPOCH_STEP)
            value = taken.to_value(new_write_id())
            stored = write(
                self._store, self._clock, key.path(), value, found.version, deadline
            )
        except StoreError:
            return
        self._store_view.observe(stored)
        kept = KeptPage(taken, stored.version, taken.epoch)
        self._inherit(kept)
        kept.quiet_until = kept.inherited_until
        self._install(kept, "without its last state")

    def _inherit(self, kept):
        """Note until when orders and routes of the last keeper may hold."""
        now = self._clock.now()
        timers = self._timers
        kept.inherited_until = Instant(now + timers.longest(timers.grant_s))
        kept.routes_until = Instant(now + timers.longest(timers.route_lease_s))

    def _install(self, kept, how):
        self._keeper.install(kept)
        _LOG.info("keeper: page taken %s", how, extra={"page": kept.page.key.path()})

    def _begin(self, key, func, *args):
        self._under_way.add(key)
        self._tasks.spawn(self._finish, key, func, args)

    def _finish(self, key, func, args):
        try:
            func(*args)
        finally:
            self._under_way.discard(key)

    # Pages that do not exist yet.

    def _create_missing(self, stored):
        hosts = [record.host_id for record in self._directory.active()]
        for (team, service), cfg in self._configs.divided().items():
            for number in range(-(-cfg.shard_count // cfg.shards_per_page)):
                key = PageKey(team, service, PageId(number))
                if key in stored or key in self._under_way or key in self._keeper.pages:
                    continue
                if highest(key.path(), hosts) == self._member.host_id:
                    self._begin(key, self._create, key, cfg)

    def _create(self, key, cfg):
        """Write a new page that names this host; the news then has it."""
        page = first_page(key, cfg, self._member.host_id)
        value = page.to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_S)
        try:
            stored = write(self._store, self._clock, key.path(), value, 0, deadline)
        except StoreConflict:
            stored = self._store.get(key.path(), deadline)
        self._store_view.observe(stored)


def first_page(key: PageKey, cfg: ServiceConfig, keeper: HostId) -> Page:
    """Return the first state of a page: its shards dealt to the targets in turn."""
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
