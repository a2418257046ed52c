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

    Parameters
    ----------
    prefix : str
        Only objects whose keys start with it are read; all by default.

    Attributes
    ----------
    confirmed_at : Instant or None
        Latest instant at which the board was certainly up to date with the store:
        taken before the call whose answer showed it.
    silent_since : Instant or None
        When the store stopped answering; None while it answers.
    """

    def __init__(
        self,
        store: Store,
        board: NewsBoard,
        clock: Clock,
        timers: Timers,
        prefix: str = "",
    ):
        self._store = store
        self._prefix = prefix
        self._board = board
        self._clock = clock
        self._timers = timers
        self.confirmed_at: Instant | None = None
        self.silent_since: Instant | None = None

    def run(self, wanted=lambda: True) -> None:
        """Follow the store for as long as the task lives, while `wanted()`."""
        while True:
            if wanted():
                self._follow(wanted)
            self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def read_all(self) -> int:
        """Read every object once; return the revision from which to watch."""
        asked = self._clock.now()
        before = self._board.snapshot(self._prefix)
        deadline = Instant(asked + self._timers.store_call_s)
        listing = self._store.list(self._prefix, deadline)
        self._board.observe_listing(listing, before)
        self.confirmed_at = asked
        if self.silent_since is not None:
            log.info(
                "news: the store answers again",
                extra={
                    "prefix": self._prefix,
                    "silent_s": round(self._clock.now() - self.silent_since, 3),
                },
            )
            self.silent_since = None
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
            if self.silent_since is None:
                self.silent_since = self._clock.now()
                log.warning(
                    "news: the store is silent",
                    extra={"prefix": self._prefix, "cause": str(exc)},
                )

    def _watch(self, revision):
        """Wait for one batch of changes; return the next revision."""
        asked = self._clock.now()
        deadline = Instant(asked + self._timers.watch_s)
        listing = self._store.watch(self._prefix, revision, deadline)
        for stored in listing.items:
            self._board.observe(stored)
        self.confirmed_at = asked
        if listing.items and self._timers.gather_s:
            self._clock.sleep_until(Instant(self._clock.now() + self._timers.gather_s))
        return listing.revision
