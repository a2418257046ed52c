"""The task that watches the store and applies its changes to the cache."""

import logging

from persimmonspoke.errors import StoreCompacted, StoreUnavailable
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.timers import Timers

RETRY_S = 0.2

log = logging.getLogger(__name__)


class StoreWatcher:
    """Lists the store's objects once, then follows their changes by a watch.

    Parameters
    ----------
    prefix : str
        Prefix of the keys of the objects to read; by default all objects are read.

    Attributes
    ----------
    confirmed_at : Instant or None
        Latest instant at which the cache was known to be up to date with the store:
        the start of the last call that succeeded.
    silent_since : Instant or None
        When the store stopped answering; None while it answers.
    """

    def __init__(
        self,
        store: Store,
        cache: StoreCache,
        clock: Clock,
        timers: Timers,
        prefix: str = "",
    ):
        self._store = store
        self._prefix = prefix
        self._cache = cache
        self._clock = clock
        self._timers = timers
        self.confirmed_at: Instant | None = None
        self.silent_since: Instant | None = None

    def run(self, enabled=lambda: True) -> None:
        """Follow the store while `enabled()`; run as a task of the daemon."""
        while True:
            if enabled():
                self._follow(enabled)
            self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def read_all(self) -> int:
        """List all objects; return the revision from which to watch."""
        asked_at = self._clock.now()
        before = self._cache.snapshot(self._prefix)
        deadline = Instant(asked_at + self._timers.store_call_s)
        listing = self._store.list(self._prefix, deadline)
        self._cache.observe_listing(listing, before)
        self.confirmed_at = asked_at
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

    def _follow(self, enabled):
        """List and watch until the store fails or drops the revision.

        Also return once `enabled()` is false.
        """
        try:
            revision = self.read_all()
            while enabled():
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
        """Wait for one batch of changes; return the revision that follows it."""
        asked_at = self._clock.now()
        deadline = Instant(asked_at + self._timers.watch_s)
        listing = self._store.watch(self._prefix, revision, deadline)
        for stored in listing.items:
            self._cache.observe(stored)
        self.confirmed_at = asked_at
        if listing.items and self._timers.gather_s:
            self._clock.sleep_until(Instant(self._clock.now() + self._timers.gather_s))
        return listing.revision
