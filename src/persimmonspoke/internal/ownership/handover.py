"""Transfer of pages to their preferred keepers: after a join, or before a stop."""

import logging

from persimmonspoke.errors import PeerError, PersimmonspokeError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.ring import rendezvous_host
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.messages import KeeperNotice
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.api import Liveness, PeerLink

_LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.2
STABLE_HOSTS_S = 1.0
NOTICE_TIMEOUT_S = 0.2
MAX_CONCURRENT_TRANSFERS = 16


class Handover:
    """Transfers pages to the keepers that rendezvous hashing prefers."""

    def __init__(
        self,
        keeper: Keeper,
        clock: Clock,
        link: PeerLink,
        store_view: StoreView,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._clock = clock
        self._link = link
        self._store_view = store_view
        self._tasks = tasks
        self._hosts: tuple = ()
        self._hosts_since = clock.now()

    def start(self) -> None:
        """Start to transfer pages whose preferred keeper is another host."""
        self._tasks.every(CHECK_PERIOD_S, self._transfer_one)

    def transfer_all(self, deadline: Instant) -> bool:
        """Transfer all pages to other hosts; return whether none is left."""
        while self._keeper.pages and self._clock.now() < deadline:
            if not self._keeper.member.directory.candidates():
                _LOG.info("keeper: no other host can take the pages")
                return False
            pages = list(self._keeper.open_pages())[:MAX_CONCURRENT_TRANSFERS]
            self._tasks.gather(self._try_transfer, pages)
            self._clock.sleep_until(Instant(self._clock.now() + 0.02))
        return not self._keeper.pages

    def _transfer_one(self):
        """Transfer at most one page, if no host came or left for `STABLE_HOSTS_S`."""
        hosts = tuple(sorted(self._active_hosts()))
        now = self._clock.now()
        if hosts != self._hosts:
            self._hosts, self._hosts_since = hosts, now
        if (
            now < self._hosts_since + STABLE_HOSTS_S
            or not self._keeper.member.holds_lease()
        ):
            return
        for managed in self._keeper.open_pages():
            if (
                not managed.busy
                and self._preferred_keeper(managed) != self._keeper.host_id
            ):
                self._try_transfer(managed)
                return

    def _active_hosts(self):
        directory = self._keeper.member.directory
        return [record.host_id for record in directory.active()]

    def _preferred_keeper(self, managed):
        return rendezvous_host(managed.page.key.path(), self._active_hosts())

    def _try_transfer(self, managed):
        host_id = self._preferred_keeper(managed)
        if host_id is None or host_id == self._keeper.host_id:
            return
        if not self._is_reachable(host_id):
            return
        try:
            with managed.lock:
                transferred = not managed.closed and self._keeper.transfer(
                    managed, host_id
                )
        except PersimmonspokeError as exc:
            _LOG.info("keeper: page not given away", extra={"cause": repr(exc)})
            return
        if transferred:
            self._notify(managed, host_id)

    def _is_reachable(self, host_id):
        """Return whether a host answers; one that does not could not serve routes."""
        record = self._keeper.member.directory.get(host_id)
        if record is None:
            return False
        deadline = Instant(self._clock.now() + NOTICE_TIMEOUT_S)
        return self._link.probe(record.address, deadline) is Liveness.ANSWERS

    def _notify(self, managed, host_id):
        """Notify the new keeper at once; its copy of the store is updated later."""
        stored = self._store_view.get(managed.page.key.path())
        record = self._keeper.member.directory.get(host_id)
        if stored is None or record is None:
            return
        notice = KeeperNotice(
            Page.from_value(stored.value), stored.version, stored.value["write_id"]
        )
        deadline = Instant(self._clock.now() + NOTICE_TIMEOUT_S)
        try:
            self._link.call(record.address, notice, deadline)
        except PeerError:
            return
