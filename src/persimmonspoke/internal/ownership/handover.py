"""Giving pages to the hosts that should keep them: after a join, before a stop."""

import logging

from persimmonspoke.errors import PeerError, PersimmonspokeError
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.ring import rendezvous_host
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.messages import KeeperNotice
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.api import Liveness, PeerLink

_LOG = logging.getLogger(__name__)

PERIOD_S = 0.2
SETTLED_S = 1.0
NOTICE_S = 0.2
AT_ONCE = 16


class Handover:
    """Moves the keeping of pages to where rendezvous hashing puts them."""

    def __init__(
        self, keeper: Keeper, clock: Clock, link: PeerLink, news: News, tasks: Tasks
    ):
        self._keeper = keeper
        self._clock = clock
        self._link = link
        self._news = news
        self._tasks = tasks
        self._hosts: tuple = ()
        self._since = clock.now()

    def start(self) -> None:
        """Begin to give away pages that other hosts should keep."""
        self._tasks.every(PERIOD_S, self._give_one)

    def transfer_all(self, deadline: Instant) -> bool:
        """Give all pages away; return whether none is left."""
        while self._keeper.pages and self._clock.now() < deadline:
            if not self._keeper.member.directory.candidates():
                _LOG.info("keeper: nobody is left to take the pages")
                return False
            pages = list(self._keeper.open_pages())[:AT_ONCE]
            self._tasks.gather(self._try_to_give, pages)
            self._clock.sleep_until(Instant(self._clock.now() + 0.02))
        return not self._keeper.pages

    def _give_one(self):
        """Give away at most one page, once the set of hosts has settled."""
        hosts = tuple(sorted(self._active()))
        now = self._clock.now()
        if hosts != self._hosts:
            self._hosts, self._since = hosts, now
        if now < self._since + SETTLED_S or not self._keeper.member.holds_lease():
            return
        for managed in self._keeper.open_pages():
            if not managed.busy and self._best(managed) != self._keeper.host_id:
                self._try_to_give(managed)
                return

    def _active(self):
        directory = self._keeper.member.directory
        return [record.host_id for record in directory.active()]

    def _best(self, managed):
        return rendezvous_host(managed.page.key.path(), self._active())

    def _try_to_give(self, managed):
        host_id = self._best(managed)
        if host_id is None or host_id == self._keeper.host_id:
            return
        if not self._answers(host_id):
            return
        try:
            with managed.lock:
                given = not managed.closed and self._keeper.transfer(managed, host_id)
        except PersimmonspokeError as exc:
            _LOG.info("keeper: page not given away", extra={"cause": repr(exc)})
            return
        if given:
            self._notify(managed, host_id)

    def _answers(self, host_id):
        """Return whether a host can be reached; else it could lend no routes."""
        record = self._keeper.member.directory.get(host_id)
        if record is None:
            return False
        deadline = Instant(self._clock.now() + NOTICE_S)
        return self._link.probe(record.address, deadline) is Liveness.ANSWERS

    def _notify(self, managed, host_id):
        """Tell the new keeper at once; the news would reach it later."""
        stored = self._news.get(managed.page.key.path())
        record = self._keeper.member.directory.get(host_id)
        if stored is None or record is None:
            return
        notice = KeeperNotice(
            Page.from_value(stored.value), stored.version, stored.value["write_id"]
        )
        deadline = Instant(self._clock.now() + NOTICE_S)
        try:
            self._link.call(record.address, notice, deadline)
        except PeerError:
            return
