"""The updates of one host's cache of the store.

A store counts each call of each host.  So only a few hosts, the relays, read it; the
others ask two relays in turn.  Relays watch for changes, and list all objects
regularly, because only that proves that nothing was missed.  A host that no relay has
confirmed for `stale_s` watches the store itself for a while; a host that starts reads
it once.
"""

import logging
from collections.abc import Callable
from enum import Enum

import xxhash
from eventlet.event import Event

from persimmonspoke.errors import StoreMissing, StoreUnavailable
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.knowledge import Knowledge
from persimmonspoke.internal.news.relay import RelayReader, serve_news
from persimmonspoke.internal.news.relays import (
    WeightedHost,
    choose_relays_of_fleet,
    relays_to_ask,
)
from persimmonspoke.internal.news.settings import MAX_JITTER_S, UpdateSettings
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.timers import Timers

MIN_MODE_PERIOD_S = 0.05  # between two decisions on the source of updates
MAX_MODE_PERIOD_S = 0.4
MIN_LATE_S = 0.1  # delays of this process that may have cost an answer
MAX_CHECK_S = 1.0  # between two checks of a store that does not answer
RELAYS_ASKED = 2
RELAY_WATCH = 10  # in `watch_s`; what its watches miss, its listings tell
FALLBACK_WATCH = 2  # the same, of a host that only watches
UNBOUNDED = 4  # how much more seldom hosts' records are read, for which no bound holds
START_PAUSE_S = 0.5  # hosts that start together have registered by then

log = logging.getLogger(__name__)


class Source(Enum):
    """Where a host gets its updates."""

    RELAYS = "relays"
    STORE = "store"
    """The host is a relay."""
    FALLBACK = "fallback"
    """The store, because the relays have fallen silent or are not known yet."""


class StorePath:
    """Checks by cheap reads whether this host reaches the store.

    A check that isn't answered shows nothing while another answer arrives.

    Attributes
    ----------
    confirmed_at : Instant or None
        When the latest check was sent that the store has answered.
    failed : bool
        Whether the latest check got no answer.
    took_s : float
        Duration of the latest check that was answered or waited behind an answer.

    Parameters
    ----------
    late_since : callable
        Returns the longest delay of this process since an instant, in seconds.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        key: str,
        timeout_s: float,
        late_since: Callable[[Instant], float] = lambda since: 0.0,
    ):
        self._store = store
        self._clock = clock
        self._key = key
        self._timeout_s = timeout_s
        self._late_since = late_since
        self._silent_at: Instant | None = None
        self.confirmed_at: Instant | None = None
        self.failed = False
        self.took_s = 0.0

    def check(self) -> bool:
        """Read one object that may be outdated; return whether the store answered."""
        sent_at = self._clock.now()
        try:
            self._store.get_stale(self._key, Instant(sent_at + self._timeout_s))
        except StoreMissing:
            pass  # the store has answered
        except StoreUnavailable as exc:
            if self._store.heard_at > sent_at:
                # The check waits behind a larger answer, so the path is there.
                self.took_s = self._clock.now() - sent_at
                return True
            if not self.failed:
                log.info("news: the store does not answer", extra={"cause": str(exc)})
            self.failed = True
            if self._late_since(sent_at) < MIN_LATE_S:
                self._silent_at = self._clock.now()
            return False
        self.failed = False
        self._silent_at = None
        self.confirmed_at = sent_at
        self.took_s = self._clock.now() - sent_at
        return True

    def is_away(self) -> bool:
        """Return whether the store has just left a check without an answer.

        A check during which this process was late shows nothing, nor does one that is
        long ago, since this process may have been paused.
        """
        if self._silent_at is None:
            return False
        known_s = MAX_CHECK_S + 2 * self._timeout_s
        return self._clock.now() - self._silent_at <= known_s


class StoreUpdates:
    """Keeps the cache of this host up to date.

    Parameters
    ----------
    prefixes : tuple of str
        Prefixes of the objects that hosts need.
    hosts_prefix : str
        The one of them under which the records of the hosts are.
    check_key : str
        Key of a small object, which need not exist, for checks of the store.
    hosts : callable
        Returns all hosts that may serve as relays, this one included; the same tuple
        while nothing has changed.
    rare_prefixes : tuple of str
        Those of `prefixes` whose objects change rarely and have a longer bound.  Relays
        of builds that do not know them prove nothing of them.
    late_since : callable
        Returns the longest delay of this process since an instant, in seconds.

    Attributes
    ----------
    source : Source
        Where this host gets its updates at present.
    knowledge : Knowledge
        What is proven of each kind of objects, by this host's own reads or by relays.
    """

    def __init__(
        self,
        cfg: UpdateSettings,
        timers: Timers,
        clock: Clock,
        store: Store,
        cache: StoreCache,
        link: PeerLink,
        me: WeightedHost,
        prefixes: tuple[str, ...],
        hosts_prefix: str,
        check_key: str,
        hosts: Callable[[], tuple[WeightedHost, ...]],
        rare_prefixes: tuple[str, ...] = (),
        late_since: Callable[[Instant], float] = lambda since: 0.0,
    ):
        self._cfg = cfg
        self._clock = clock
        self._me = me
        self._hosts = hosts
        self._known_hosts: tuple[WeightedHost, ...] | None = None
        self._relays: tuple[WeightedHost, ...] = ()
        self._cache = cache
        self._path = StorePath(store, clock, check_key, cfg.check_s, late_since)
        self.source = Source.RELAYS
        self.knowledge = Knowledge()
        self._rare = rare_prefixes
        self._bounded = tuple(
            p for p in prefixes if p != hosts_prefix and p not in rare_prefixes
        )
        watchers = {
            prefix: StoreWatcher(
                store,
                cache,
                clock,
                timers,
                prefix,
                self._path,
                self.knowledge,
                lambda prefix=prefix: self._watch_s(prefix),
                cfg.watch_margin_s,
            )
            for prefix in prefixes
        }
        self._hosts_watcher = watchers[hosts_prefix]
        self._watchers = watchers
        self.watchers = tuple(watchers.values())
        self.relay_reader = RelayReader(
            me.address.host_id,
            link,
            cache,
            clock,
            self._relays_to_ask,
            self._needs_relays,
            cfg.wait_s,
            RELAYS_ASKED,
            cfg.stale_s,
            self.knowledge,
            prefixes,
            rare_prefixes,
            cfg.gather_s,
            cfg.wait_s,
        )
        serve_news(link, cache, self, clock, self.knowledge, prefixes)
        share = xxhash.xxh32_intdigest(me.address.host_id) / 2**32
        self._jitter_s = MAX_JITTER_S * share
        self._started_at = clock.now()
        self._fallback_until = Instant(float("-inf"))
        self._last_outage_at: Instant | None = None
        self._in_outage = False
        self._caught_up = False
        self._reading = Event()

    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return the tasks that the daemon has to run."""
        watches = [
            lambda watcher=watcher: watcher.run(
                self._reads_store, self._wait_until_reading
            )
            for watcher in self.watchers
        ]
        reads = [
            lambda prefix=prefix, watcher=watcher: watcher.run_reads(
                self._read_s(prefix),
                self._cfg.read_timeout_s,
                self._lists_store,
                self._wait_until_listing,
            )
            for prefix, watcher in self._watchers.items()
        ]
        return (
            self._read_at_start,
            self._run_mode,
            self._run_checks,
            self.relay_reader.run,
            *watches,
            *reads,
            *(
                lambda prefix=prefix: self._read_unproven(prefix)
                for prefix in self._rare
            ),
        )

    @property
    def confirmed_at(self) -> Instant | None:
        """Latest instant at which configuration and targets were proven the newest.

        None if they never were.
        """
        return self.knowledge.proven_at(self._bounded)

    def proven_at(self, kind: str) -> Instant | None:
        """Return when the objects of one kind were last proven to be the newest."""
        return self.knowledge.proven_at((kind,))

    def list_once(self, kind: str, timeout_s: float) -> None:
        """List the objects of one kind in `timeout_s`, or raise `StoreUnavailable`."""
        self._watchers[kind].list_once(timeout_s)

    def store_is_away(self) -> bool:
        """Return whether the store has just left a check of this host unanswered."""
        return self._path.is_away()

    def caught_up(self) -> bool:
        """Return whether the cache can be used since the start of this host.

        It can once it was up to date.  While the store does not answer this host, what
        a relay knows is used instead, however old.
        """
        if not self._caught_up:
            is_known = self.confirmed_at is not None and not self._is_stale()
            is_known = is_known and all(map(self.knowledge.proof, self._rare))
            self._caught_up = self.confirmed_at is not None and (
                is_known or self._path.failed
            )
        return self._caught_up

    def store_answered_at(self) -> Instant | None:
        """Return when the store last answered this host itself, if ever."""
        confirmed = [w.answered_at for w in self.watchers if w.answered_at]
        if self._path.confirmed_at is not None:
            confirmed.append(self._path.confirmed_at)
        return max(confirmed, default=None)

    def last_outage_at(self) -> Instant | None:
        """Return when the store was last unreachable from this host, if ever.

        It counts as unreachable while neither relays nor calls of this host show that
        the cache is up to date, and at the moment at which it was restored.
        """
        stale = self._is_stale()
        if stale and (self._path.failed or self._watch_failed()):
            self._in_outage = True
        elif not stale:
            self._in_outage = False
        if self._in_outage:
            self._last_outage_at = self._clock.now()
        instants = [at for at in (self._last_outage_at, self._cache.restored_at) if at]
        return max(instants, default=None)

    def _read_at_start(self):
        """Read all objects once, so that a starting host waits for no other one.

        The hosts are read once more: when a whole fleet starts, the first records are
        those of processes that have ended.
        """
        while self.confirmed_at is None:
            try:
                for watcher in self.watchers:
                    watcher.read_all()
            except StoreUnavailable as exc:
                log.info("news: store not read yet", extra={"cause": str(exc)})
            self._clock.sleep_until(Instant(self._clock.now() + START_PAUSE_S))
        try:
            self._hosts_watcher.read_all()
        except StoreUnavailable as exc:
            log.info("news: hosts not read again", extra={"cause": str(exc)})

    def _read_unproven(self, prefix):
        """List rarely changed objects whenever no relay proves them in time.

        All relays may be of builds that do not read them.
        """
        watcher = self._watchers[prefix]
        while True:
            proven_at = self.knowledge.proven_at((prefix,)) or self._started_at
            due_at = Instant(proven_at + self._cfg.rare_stale_s + self._jitter_s)
            if self._clock.now() < due_at:
                self._clock.sleep_until(due_at)
                continue
            try:
                watcher.list_once(self._cfg.read_timeout_s)
            except StoreUnavailable as exc:
                log.info(
                    "news: the store did not list",
                    extra={"prefix": prefix, "cause": str(exc)},
                )
                retry_at = Instant(self._clock.now() + MAX_CHECK_S)
                self._clock.sleep_until(retry_at)

    def _run_mode(self):
        while True:
            self._choose_source()
            self.last_outage_at()
            self.caught_up()  # the listing at the start may be the only proof for long
            now = self._clock.now()
            left_s = self._stale_at() - now
            pause_s = min(max(left_s, MIN_MODE_PERIOD_S), MAX_MODE_PERIOD_S)
            self._clock.sleep_until(Instant(now + pause_s))

    def _choose_source(self):
        now = self._clock.now()
        before = self.source
        if self._is_relay(now):
            self.source = Source.STORE
        elif self._is_stale():
            if before is not Source.FALLBACK:
                self._path.failed = False  # what an earlier check showed is outdated
            self.source = Source.FALLBACK
            self._fallback_until = Instant(now + self._cfg.fallback_s)
        elif now >= self._fallback_until or before is Source.STORE:
            self.source = Source.RELAYS
        self._wake_readers()
        if self.source is not before:
            confirmed_at = self.confirmed_at
            log.info(
                "news: source of updates",
                extra={
                    "source": self.source.value,
                    "before": before.value,
                    "age_s": None if confirmed_at is None else now - confirmed_at,
                    "relays": [r.address.host_id for r in self._relays],
                },
            )

    def _is_relay(self, now):
        """Return whether this host is a relay.

        A host that knows no other one is not sure yet for a while after its start.
        """
        relays = self._current_relays()
        alone = len(relays) == 1
        sure = not alone or now - self._started_at > 2 * self._cfg.stale_s
        return sure and self._me in relays

    def _run_checks(self):
        """Check the path to the store while this host reads it."""
        while True:
            pause_s = self._cfg.check_s
            if self.source is not Source.RELAYS:
                answered = self._path.check()
                self._wake_readers()
                for watcher in self.watchers:
                    if answered:
                        watcher.check_era()
                    else:
                        # Its connection may be dead.
                        watcher.interrupt(StoreUnavailable("the path was lost"))
                if not answered and self.source is Source.FALLBACK:
                    pause_s = MAX_CHECK_S
            self._clock.sleep_until(Instant(self._clock.now() + pause_s))

    def _reads_store(self):
        """Return whether this host watches the store.

        While the store does not answer, only the cheap checks go on.
        """
        return self.source is not Source.RELAYS and not self._path.failed

    def _lists_store(self):
        """Return whether this host lists the store's objects for all others."""
        return self.source is Source.STORE and not self._path.failed

    def _wait_until_listing(self):
        """Return once `_lists_store()`."""
        while not self._lists_store():
            self._reading.wait()

    def _wait_until_reading(self):
        """Return once `_reads_store()`."""
        while not self._reads_store():
            self._reading.wait()

    def _wake_readers(self):
        if self._reads_store():
            reading, self._reading = self._reading, Event()
            reading.send()

    def _read_s(self, prefix):
        """Return how often a relay lists the objects of a kind."""
        if prefix in self._rare:
            return self._cfg.rare_read_s
        return self._cfg.read_s * (1 if prefix in self._bounded else UNBOUNDED)

    def _watch_s(self, prefix):
        """Return how long a watch waits, after which a lost answer is noticed."""
        if prefix in self._rare:
            return self._cfg.rare_watch_s
        if self.source is Source.STORE:
            return self._cfg.watch_s * RELAY_WATCH
        is_bounded = prefix in self._bounded
        return self._cfg.watch_s * FALLBACK_WATCH * (1 if is_bounded else UNBOUNDED)

    def _needs_relays(self):
        """Return whether to ask relays: a relay itself does if it is behind."""
        return self.source is not Source.STORE or self._is_stale()

    def _is_stale(self):
        return self._clock.now() > self._stale_at()

    def _stale_at(self):
        """Return when the cache is outdated unless something confirms it."""
        confirmed_at = self.confirmed_at or self._started_at
        return Instant(confirmed_at + self._cfg.stale_s + self._jitter_s)

    def _watch_failed(self):
        return any(watcher.silent_since is not None for watcher in self.watchers)

    def _current_relays(self):
        """Return the relays, chosen again when the hosts have changed."""
        hosts = self._hosts()
        if hosts is not self._known_hosts:
            self._known_hosts = hosts
            self._relays = choose_relays_of_fleet(
                hosts, self._cfg.min_relays, self._cfg.hosts_per_relay
            )
        return self._relays

    def _relays_to_ask(self):
        return relays_to_ask(
            self._current_relays(), self._me.address.host_id, self._me.data_centre
        )
