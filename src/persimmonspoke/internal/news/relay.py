"""Distribution of store updates between hosts.

Only a few hosts of each data centre, the relays, watch the store, because every
waiting watch counts against the store's rate limit.  The other hosts request updates
from a relay by a long poll of the same form as a watch.  A relay that gets no answer
from the store requests updates from the other relays.
"""

import logging
from collections.abc import Callable

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.messages import NewsItem, NewsReply, NewsRequest
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.store.api import StoredObject

RELAY_WAIT_S = 2.0
ANSWER_MARGIN_S = 0.5
RETRY_S = 0.2
UNKNOWN_AGE_S = -1.0

log = logging.getLogger(__name__)


def serve_news(
    link: PeerLink, cache: StoreCache, watcher: StoreWatcher, clock: Clock
) -> None:
    """Answer other hosts' requests for store updates from `cache`."""

    def answer(req: NewsRequest) -> NewsReply:
        cache.wait(req.since, Instant(clock.now() + min(req.wait_s, RELAY_WAIT_S)))
        items = tuple(
            NewsItem(stored.key, stored.value, stored.version)
            for stored in cache.changed_since(req.since)
        )
        confirmed = watcher.confirmed_at
        age = UNKNOWN_AGE_S if confirmed is None else clock.now() - confirmed
        return NewsReply(items, cache.change_count(), age)

    link.serve(NewsRequest, answer)


class RelayReader:
    """A task that requests store updates from relays.

    It is for hosts that do not watch the store themselves or get no answer from it.

    Parameters
    ----------
    relays : callable
        Returns the addresses of the relays in order of preference.
    enabled : callable
        Returns whether this host currently needs updates from relays.

    Attributes
    ----------
    confirmed_at : Instant or None
        Latest instant at which a relay was known to be up to date with the store,
        and this host with the relay.
    """

    def __init__(
        self,
        me: HostId,
        link: PeerLink,
        cache: StoreCache,
        clock: Clock,
        relays: Callable[[], tuple[PeerAddress, ...]],
        enabled: Callable[[], bool],
    ):
        self._me = me
        self._link = link
        self._cache = cache
        self._clock = clock
        self._relays = relays
        self._enabled = enabled
        self._since: dict[HostId, int] = {}
        self.confirmed_at: Instant | None = None

    def run(self) -> None:
        """Request updates whenever `enabled()`; run as a task of the daemon."""
        while True:
            if not (self._enabled() and self._ask_any()):
                self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def _ask_any(self):
        """Ask the relays in turn until one answers; return whether one did."""
        return any(self._ask(relay) for relay in self._relays())

    def _ask(self, relay):
        """Ask one relay; return whether it answered."""
        asked_at = self._clock.now()
        since = self._since.get(relay.host_id, 0)
        req = NewsRequest(self._me, since, RELAY_WAIT_S)
        deadline = Instant(asked_at + RELAY_WAIT_S + ANSWER_MARGIN_S)
        try:
            reply = self._link.call(relay, req, deadline)
        except PeerError as exc:
            log.info("news: a relay is silent", extra={"cause": str(exc)})
            return False
        self._apply(relay, reply, asked_at)
        return True

    def _apply(self, relay, reply, asked_at):
        """Apply a relay's answer to the cache."""
        for item in reply.items:
            self._cache.observe(StoredObject(item.key, item.value, item.version))
        self._since[relay.host_id] = reply.count
        if reply.store_age_s >= 0:
            confirmed = Instant(asked_at - reply.store_age_s)
            self.confirmed_at = max(confirmed, self.confirmed_at or confirmed)
