"""The task that watches the store and applies its changes to the cache.

It lists all objects only if it does not know from which revision to go on, or if the
store has dropped that part of its history: a listing takes as much of a link as all
changes of a long time.
"""

import logging
from collections.abc import Callable
from typing import Protocol

import eventlet

from persimmonspoke.errors import StoreCompacted, StoreError, StoreUnavailable
from persimmonspoke.ids import Era, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import LONGEST_AGE_S, StoreCache
from persimmonspoke.internal.news.knowledge import UNKNOWN_REVISION, Knowledge, Proof
from persimmonspoke.internal.news.settings import WATCH_RETRY_S
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.timers import Timers

RETRY_S = WATCH_RETRY_S / 2  # doubled at each failure
MAX_RETRY_S = 1.0  # the store counts rejected calls, too
MIN_TRANSIT_S = 0.03
MIN_READ_PAUSE_S = 0.05
RESTORED = "the store was restored from an older copy"

log = logging.getLogger(__name__)


class Path(Protocol):
    """What other calls of this host show about the path to the store.

    Attributes
    ----------
    took_s : float
        Duration of the latest one that was answered.
    """

    took_s: float


class StoreWatcher:
    """Lists the store's objects if need be, then follows their changes by a watch.

    A watch tells of changes soon.  Whether there are others, only a listing proves: a
    watch that hears nothing, or ends without a change, proves nothing.

    Parameters
    ----------
    prefix : str
        Prefix of the keys of the objects to read; by default all objects are read.
    path : Path or None
        What other calls show about the path to the store; None if there are none.
    knowledge : Knowledge
        Where to record what is proven of the objects under `prefix`.
    watch_s : callable
        Returns how long a watch call may wait; by default as the timers say.
    margin_s : float or None
        How long after that the answer may still come; None for the store's own margin.

    With a margin, a watcher goes on from the revision that it knows.

    Attributes
    ----------
    silent_since : Instant or None
        When the store stopped answering; None while it answers.
    answered_at : Instant or None
        Latest instant at which the store is known to have answered a call, if ever.
    """

    def __init__(
        self,
        store: Store,
        cache: StoreCache,
        clock: Clock,
        timers: Timers,
        prefix: str = "",
        path: Path | None = None,
        knowledge: Knowledge | None = None,
        watch_s: Callable[[], float] | None = None,
        margin_s: float | None = None,
    ):
        self._store = store
        self._prefix = prefix
        self._cache = cache
        self._clock = clock
        self._timers = timers
        self._path = path
        self._knowledge = Knowledge() if knowledge is None else knowledge
        self._watch_s = (lambda: timers.watch_s) if watch_s is None else watch_s
        self._margin_s = margin_s
        self._must_list = False
        self._waiting_task = None
        self._era: Era | None = None
        self.silent_since: Instant | None = None
        self.answered_at: Instant | None = None

    @property
    def confirmed_at(self) -> Instant | None:
        """Latest instant at which the cache was known to be up to date, or None."""
        return self._knowledge.proven_at((self._prefix,))

    def run(
        self,
        enabled: Callable[[], bool] = lambda: True,
        wait_enabled: Callable[[], None] = lambda: None,
    ) -> None:
        """Follow the store while `enabled()`; run as a task of the daemon.

        Parameters
        ----------
        wait_enabled : callable
            Returns once `enabled()`.
        """
        retry_s = RETRY_S
        while True:
            wait_enabled()
            if enabled():
                answered_at = self.answered_at
                if self._follow(enabled):
                    # Without a pause, but once: its history may go all the time.
                    self._follow(enabled)
                if self.answered_at != answered_at:
                    retry_s = RETRY_S
                failed = self.silent_since is not None
                retry_s = min(2 * retry_s, MAX_RETRY_S) if failed else RETRY_S
            self._clock.sleep_until(Instant(self._clock.now() + retry_s))

    def run_reads(
        self,
        period_s: float,
        timeout_s: float,
        enabled: Callable[[], bool] = lambda: True,
        wait_enabled: Callable[[], None] = lambda: None,
    ) -> None:
        """List all objects regularly while `enabled()`; run as a task of the daemon.

        Parameters
        ----------
        period_s : float
            Time from the start of one listing to that of the next.
        timeout_s : float
            How long to wait for a listing; a store that is slow to answer other calls
            is given longer, twice at most.
        wait_enabled : callable
            Returns once `enabled()`.
        """
        while True:
            wait_enabled()
            began_at = self._clock.now()
            if enabled():
                try:
                    self.list_once(timeout_s)
                except StoreUnavailable as exc:
                    log.info(
                        "news: the store did not list",
                        extra={
                            "prefix": self._prefix,
                            "cause": str(exc),
                            "proven_s": self._proven_s(),
                        },
                    )
            pause_until = max(began_at + period_s, self._clock.now() + MIN_READ_PAUSE_S)
            self._clock.sleep_until(Instant(pause_until))

    def list_once(self, timeout_s: float) -> None:
        """List all objects, or raise `StoreUnavailable`.

        Parameters
        ----------
        timeout_s : float
            How long to wait; a store that is slow to answer other calls is given
            longer, twice at most.
        """
        now = self._clock.now()
        self._list(Instant(now + timeout_s + self._extra_s(timeout_s)))

    def interrupt(self, reason: StoreError) -> None:
        """End a waiting watch with `reason`; a new one follows."""
        if self._waiting_task is not None:
            eventlet.kill(self._waiting_task, reason)

    def check_era(self) -> None:
        """End a watch of an earlier era, which may wait for a revision given out twice.

        Other calls of this host have shown that the store has been restored.
        """
        if self._era is not None and self._store.era > self._era:
            self.interrupt(StoreCompacted(RESTORED))

    def read_all(self) -> int:
        """List all objects; return the revision from which to watch."""
        listing = self._list(Instant(self._clock.now() + self._timers.store_call_s))
        self._era = listing.era
        self._must_list = False
        return listing.revision

    def _list(self, deadline):
        """List all objects, which proves that they are the newest."""
        asked_at = self._clock.now()
        before = self._cache.snapshot(self._prefix)
        listing = self._store.list(self._prefix, deadline)
        self._cache.observe_listing(listing, before, self._earliest_change())
        proof = Proof(listing.era, listing.revision, asked_at)
        self._knowledge.record(self._prefix, proof)
        self._on_answer(asked_at)
        return listing

    def _follow(self, enabled):
        """List if need be, and watch until the store fails or drops the revision.

        Also return once `enabled()` is false.  Return whether the store has answered
        that everything must be listed.
        """
        try:
            revision = self._known_revision()
            if revision is None:
                revision = self.read_all()
            while enabled():
                revision = self._watch(revision)
        except StoreCompacted as exc:
            self._must_list = True
            log.info(
                "news: the store dropped our revision; listing again",
                extra={
                    "prefix": self._prefix,
                    "cause": str(exc),
                    "era": self._era,
                    "proven_s": self._proven_s(),
                },
            )
            return True
        except StoreUnavailable as exc:
            if self.silent_since is None:
                self.silent_since = self._clock.now()
                log.warning(
                    "news: the store is silent",
                    extra={
                        "prefix": self._prefix,
                        "cause": str(exc),
                        "proven_s": self._proven_s(),
                    },
                )
        return False

    def _known_revision(self):
        """Return the revision up to which the cache is complete; None if unknown.

        A listing shows soon whether the store answers; a watch does so only if its
        answer is given up soon after it was due.
        """
        if self._margin_s is None:
            return None
        proof = self._knowledge.proof(self._prefix)
        if proof is None or proof.revision == UNKNOWN_REVISION or self._must_list:
            return None
        self._era = proof.era
        return proof.revision

    def _watch(self, revision):
        """Wait for one batch of changes; return the revision that follows it."""
        asked_at = self._clock.now()
        deadline = Instant(asked_at + self._watch_s())
        self._waiting_task = eventlet.getcurrent()
        try:
            listing = self._store.watch(
                self._prefix, revision, deadline, self._answer_deadline(deadline)
            )
        finally:
            self._waiting_task = None
        if listing.era != self._era:
            raise StoreCompacted(RESTORED)
        self._on_answer(self._sent_at(asked_at, deadline, listing.items))
        if not listing.items:
            return self._later_revision(revision)
        changed_at = self._earliest_change()
        for stored in listing.items:
            self._cache.observe(stored, changed_at)
        self._log_changes(revision, listing, asked_at)
        if self._timers.gather_s:
            self._clock.sleep_until(Instant(self._clock.now() + self._timers.gather_s))
        return self._later_revision(listing.revision)

    def _later_revision(self, revision):
        """Return the revision from which to watch on.

        An answer without changes may name a revision before which it has missed some.
        """
        proof = self._knowledge.proof(self._prefix)
        if proof is None or proof.era != self._era:
            return revision
        return max(revision, proof.revision)

    def _log_changes(self, since, listing, asked_at):
        """Log the changes that a watch has told of, and how old the proof was."""
        log.info(
            "news: changes",
            extra={
                "prefix": self._prefix,
                "since": since,
                "revision": listing.revision,
                "count": len(listing.items),
                "asked_s": round(self._clock.now() - asked_at, 3),
                "proven_s": self._proven_s(),
            },
        )

    def _earliest_change(self) -> Instant:
        """Return since when a change that is still unknown here may have been made.

        That is the latest instant up to which all changes are proven to be known.
        """
        proven_at = self.confirmed_at
        if proven_at is None:
            return Instant(self._clock.now() - LONGEST_AGE_S)
        return proven_at

    def _proven_s(self):
        """Return the age of the proof that the objects are the newest, for logs."""
        proven_at = self.confirmed_at
        return None if proven_at is None else round(self._clock.now() - proven_at, 3)

    def _answer_deadline(self, deadline):
        """Return when to give up the answer of a watch; None for the store's margin.

        A store that is slow to answer other calls is given longer, twice at most.
        """
        if self._margin_s is None:
            return None
        return Instant(deadline + self._margin_s + self._extra_s(self._margin_s))

    def _extra_s(self, most_s):
        """Return how much longer to wait for a store that is slow to answer."""
        took_s = 0.0 if self._path is None else self._path.took_s
        return min(2 * took_s, most_s)

    def _on_answer(self, sent_at):
        """Record that the store has sent an answer, at `sent_at` at the earliest."""
        self.answered_at = max(sent_at, self.answered_at or sent_at)
        if self.silent_since is not None:
            log.info(
                "news: the store answers again",
                extra={
                    "prefix": self._prefix,
                    "silent_s": round(self._clock.now() - self.silent_since, 3),
                },
            )
            self.silent_since = None

    def _sent_at(self, asked_at, deadline, changes):
        """Return when the answer of a watch was sent, at the earliest.

        The store sends an answer without changes only when the wait is over.
        """
        ended_at = Instant(deadline - MIN_TRANSIT_S)
        waited = not changes and self._clock.now() >= ended_at
        return max(asked_at, ended_at) if waited else asked_at
