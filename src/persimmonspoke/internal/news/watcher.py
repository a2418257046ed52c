"""The task that reads the store's changes into the news board."""

import logging

from persimmonspoke.errors import StoreCompacted, StoreUnavailable
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.timers import Timers

RETRY_S = 0.2

log = logging.getLogger(__name__)


class StoreWatcher:
    """Lists the store once, then follows its changes by one waiting watch.

    Attributes
    ----------
    confirmed_at : Instant or None
        Latest instant at which the board was certainly up to date with the store:
        taken before the call whose answer showed it.
    """

    def __init__(self, store: Store, board: NewsBoard, clock: Clock, timers: Timers):
        self._store = store
        self._board = board
        self._clock = clock
        self._timers = timers
        self.confirmed_at: Instant | None = None
        self._silent = False

    def run(self, wanted=lambda: True) -> None:
        """Follow the store for as long as the task lives, while `wanted()`."""
        while True:
            if wanted():
                self._follow(wanted)
            self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def read_all(self) -> int:
        """Read every object once; return the revision from which to watch."""
        asked = self._clock.now()
        before = self._board.snapshot()
        deadline = Instant(asked + self._timers.store_call_s)
        listing = self._store.list("", deadline)
        self._board.observe_listing(listing, before)
        self.confirmed_at = asked
        if self._silent:
            log.info("news: the store answers again")
            self._silent = False
        return listing.revision

    def _follow(self, wanted):
        """List and watch until the store fails, drops the revision, or is unwanted."""
        try:
            revision = self.read_all()
            while wanted():
                revision = self._watch(revision)
        except StoreCompacted:
            log.info("news: the store dropped our revision; listing again")
        except StoreUnavailable as exc:
            if not self._silent:
                log.warning("news: the store is silent", extra={"cause": str(exc)})
            self._silent = True

    def _watch(self, revision):
        """Wait for one batch of changes; return the next revision."""
        asked = self._clock.now()
        deadline = Instant(asked + self._timers.watch_s)
        listing = self._store.watch("", revision, deadline)
        for stored in listing.items:
            self._board.observe(stored)
        self.confirmed_at = asked
        return listing.revision
