"""Passing on the store's news between hosts.

Only a few hosts of each data centre watch the store, because every waiting watch
counts against its rate.  The others ask one of those, the relays, by a waiting
call of the same shape.  A relay whose store is silent asks the other relays.
"""

import logging
from collections.abc import Callable

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.news.messages import NewsItem, NewsReply, NewsRequest
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.store.api import Stored

RELAY_WAIT_S = 2.0
ANSWER_MARGIN_S = 0.5
RETRY_S = 0.2
NEVER_S = -1.0

log = logging.getLogger(__name__)


def serve_news(
    link: PeerLink, board: NewsBoard, watcher: StoreWatcher, clock: Clock
) -> None:
    """Answer the news requests of other hosts from `board`."""

    def answer(req: NewsRequest) -> NewsReply:
        board.wait(req.since, Instant(clock.now() + min(req.wait_s, RELAY_WAIT_S)))
        items = tuple(
            NewsItem(stored.key, stored.value, stored.version)
            for stored in board.since(req.since)
        )
        confirmed = watcher.confirmed_at
        age = NEVER_S if confirmed is None else clock.now() - confirmed
        return NewsReply(items, board.count(), age)

    link.serve(NewsRequest, answer)


class RelayReader:
    """The task that asks relays for news while this host does not watch itself.

    Parameters
    ----------
    relays : callable
        Returns the addresses of the relays to ask, the preferred one first.
    wanted : callable
        Returns whether this host has to learn from relays at present.

    Attributes
    ----------
    confirmed_at : Instant or None
        Latest instant at which a relay was up to date with the store and this
        host with the relay.
    """

    def __init__(
        self,
        me: HostId,
        link: PeerLink,
        board: NewsBoard,
        clock: Clock,
        relays: Callable[[], tuple[PeerAddress, ...]],
        wanted: Callable[[], bool],
    ):
        self._me = me
        self._link = link
        self._board = board
        self._clock = clock
        self._relays = relays
        self._wanted = wanted
        self._since: dict[HostId, int] = {}
        self.confirmed_at: Instant | None = None

    def run(self) -> None:
        """Ask relays for as long as the task lives."""
        while True:
            if not (self._wanted() and self._ask_any()):
                self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def _ask_any(self):
        """Ask the first relay that answers; return whether one did."""
        return any(self._ask(relay) for relay in self._relays())

    def _ask(self, relay):
        """Ask one relay; return whether it answered."""
        asked = self._clock.now()
        since = self._since.get(relay.host_id, 0)
        req = NewsRequest(self._me, since, RELAY_WAIT_S)
        deadline = Instant(asked + RELAY_WAIT_S + ANSWER_MARGIN_S)
        try:
            reply = self._link.call(relay, req, deadline)
        except PeerError as exc:
            log.info("news: a relay is silent", extra={"cause": str(exc)})
            return False
        self._take_in(relay, reply, asked)
        return True

    def _take_in(self, relay, reply, asked):
        """Read a relay's answer into the board."""
        for item in reply.items:
            self._board.observe(Stored(item.key, item.value, item.version))
        self._since[relay.host_id] = reply.count
        if reply.store_age_s >= 0:
            confirmed = Instant(asked - reply.store_age_s)
            self.confirmed_at = max(confirmed, self.confirmed_at or confirmed)
