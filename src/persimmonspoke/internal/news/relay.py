"""Distribution of store updates between hosts.

Only a few hosts of each data centre, the relays, watch the store, because every
waiting watch counts against the store's rate limit.  The other hosts request updates
from a relay by a long poll of the same form as a watch.  A relay that gets no answer
from the store requests updates from the other relays.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import Era, HostId, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.knowledge import UNKNOWN_REVISION, Knowledge, Proof
from persimmonspoke.internal.news.messages import NewsItem, NewsReply, NewsRequest
from persimmonspoke.internal.news.packing import PackedValues, unpack
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.store.api import StoredObject

RELAY_WAIT_S = 2.0
ANSWER_MARGIN_S = 0.5  # then another relay is asked as well
LATE_ANSWER_S = 2.0
RETRY_S = 0.2
AVOID_S = 2.0
FETCH_REST = 3.0  # pause after a large object, in multiples of the time to apply it
UNKNOWN_AGE_S = -1.0

log = logging.getLogger(__name__)


class UpdateSource(Protocol):
    """What a relay knows about the age of its cache."""

    @property
    def confirmed_at(self) -> Instant | None:
        """Latest instant at which the cache was known to be up to date, or None."""


def serve_news(
    link: PeerLink,
    cache: StoreCache,
    source: UpdateSource,
    clock: Clock,
    knowledge: Knowledge | None = None,
    kinds: tuple[str, ...] = (),
) -> None:
    """Answer other hosts' requests for store updates from `cache`.

    With `knowledge`, answers name what is proven of each of `kinds`.
    """
    knowledge = Knowledge() if knowledge is None else knowledge
    packed_values = PackedValues()

    def proofs(now):
        rows = []
        for kind in kinds:
            proof = knowledge.proof(kind)
            if proof is None or proof.era != cache.era:
                rows.append((kind, UNKNOWN_REVISION, UNKNOWN_AGE_S))
            else:
                rows.append((kind, proof.revision, round(now - proof.at, 3)))
        return tuple(rows)

    def answer(req: NewsRequest) -> NewsReply:
        asked_at = clock.now()
        complete = not 0 < req.since <= cache.change_count()
        if complete:
            objects = cache.existing()
        else:
            cache.wait(req.since, Instant(asked_at + min(req.wait_s, RELAY_WAIT_S)))
            objects = cache.changed_since(req.since)
            named = {stored.key for stored in objects}
            found = map(cache.get, set(req.fetches) - named)
            objects += tuple(stored for stored in found if stored is not None)
        now = clock.now()
        known = {(key, era, version) for key, era, version in req.known}
        items, packed, unchanged, deferred = [], [], [], []
        for stored in objects:
            if stored.value and (stored.key, *stored.order) in known:
                unchanged.append(stored.key)
                continue
            data = packed_values.get(stored) if req.reads_packed else None
            age_s = round(now - cache.changed_at(stored.key), 3)
            rest = stored.version, age_s, stored.era
            if data is not None and req.defers and stored.key not in req.fetches:
                deferred.append((stored.key, stored.era, stored.version))
            elif data is None:
                items.append(NewsItem(stored.key, stored.value, *rest))
            else:
                packed.append((stored.key, data, *rest))
        confirmed = source.confirmed_at
        age_s = UNKNOWN_AGE_S if confirmed is None else now - confirmed
        return NewsReply(
            tuple(items),
            cache.change_count(),
            age_s,
            round(now - asked_at, 3),
            complete,
            Era(0) if cache.era is None else cache.era,
            proofs(now),
            tuple(packed),
            tuple(unchanged),
            tuple(deferred),
        )

    link.serve(NewsRequest, answer)


@dataclass(frozen=True, slots=True)
class _Deferred:
    """Large objects that a relay has, and this host lacks, by key with their order."""

    relay: PeerAddress
    versions: dict[str, tuple[Era, Version]]


class RelayReader:
    """A task that requests store updates from relays.

    It is for hosts that do not watch the store themselves or get no answer from it.

    Parameters
    ----------
    relays : callable
        Returns the addresses of the relays in order of preference.
    enabled : callable
        Returns whether this host currently needs updates from relays.
    wait_s : float
        How long a relay may wait for a change.
    spread : int
        Number of relays that are asked in turn while all of them answer, so that the
        loss of one is noticed early and the next one knows what this host has.
    max_age_s : float
        A relay that is further behind the store is avoided like a silent one.
    knowledge : Knowledge
        Where to record what relays have proven.
    kinds : tuple of str
        All kinds of objects.
    later_kinds : tuple of str
        Those of `kinds` that builds before `Revision.PROOFS` do not read.
    fetch_pause_s : float
        Shortest pause between two requests for large objects, which come apart so that
        the others do not wait for them; of a storm of changes, few are fetched.
    max_fetch_pause_s : float
        Longest pause, of a host that takes long to apply them.

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
        wait_s: float = RELAY_WAIT_S,
        spread: int = 1,
        max_age_s: float = float("inf"),
        knowledge: Knowledge | None = None,
        kinds: tuple[str, ...] = (),
        later_kinds: tuple[str, ...] = (),
        fetch_pause_s: float = 0.0,
        max_fetch_pause_s: float = 0.0,
    ):
        self._me = me
        self._link = link
        self._cache = cache
        self._clock = clock
        self._relays = relays
        self._enabled = enabled
        self._wait_s = wait_s
        self._spread = spread
        self._max_age_s = max_age_s
        self._knowledge = Knowledge() if knowledge is None else knowledge
        self._kinds = kinds
        self._early_kinds = tuple(kind for kind in kinds if kind not in later_kinds)
        self._turn = 0
        self._large_keys: set[str] = set()
        self._fetch_pause_s = fetch_pause_s
        self._max_fetch_pause_s = max_fetch_pause_s
        self._deferred: dict[HostId, _Deferred] = {}
        self._is_fetching = False
        self._fetched_from: set[HostId] = set()
        self._fetch_at = Instant(float("-inf"))
        self._asked: set[HostId] = set()
        self._hurry = False
        self._since: dict[HostId, int] = {}
        self._avoid_until: dict[HostId, Instant] = {}
        self.confirmed_at: Instant | None = None

    def run(self) -> None:
        """Request updates whenever `enabled()`; run as a task of the daemon."""
        while True:
            if not (self._enabled() and self._ask_any()):
                self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def _ask_any(self):
        """Ask the relays in turn until one has brought this host up to date."""
        return any(self._ask(relay) for relay in self._ordered())

    def _ordered(self):
        """Return the relays in the order in which to ask them now."""
        ordered = self._usable()
        if not ordered:
            # All are avoided, so there is nothing to hurry to.
            self._hurry = False
            ordered = list(self._relays())
        turn = self._turn % max(1, min(self._spread, len(ordered)))
        self._turn += 1
        return [*ordered[turn:], *ordered[:turn]]

    def _usable(self):
        """Return the relays that are not avoided, in order of preference."""
        now = self._clock.now()
        relays = self._relays()
        return [r for r in relays if self._avoid_until.get(r.host_id, now) <= now]

    def _ask(self, relay):
        """Ask one relay; return whether this host is now up to date with it.

        An answer that comes too late for that is used when it comes: on a full link
        all are late.
        """
        if relay.host_id in self._asked:
            return False
        self._asked.add(relay.host_id)
        wait_s = 0.0 if self._hurry else self._wait_s
        ended = Event()
        eventlet.spawn_n(self._exchange, relay, wait_s, ended)
        with eventlet.Timeout(wait_s + ANSWER_MARGIN_S, False):
            return ended.wait()
        log.info("news: a relay is silent", extra={"relay": relay.host_id})
        self._avoid(relay)
        return False

    def _exchange(self, relay, wait_s, ended):
        """Ask one relay; tell `ended` whether this host is now up to date with it."""
        up_to_date = False
        try:
            up_to_date = self._ask_and_apply(relay, wait_s)
        finally:
            self._asked.discard(relay.host_id)
            ended.send(up_to_date)

    def _ask_and_apply(self, relay, wait_s, fetches=()):
        asked_at = self._clock.now()
        req = NewsRequest(
            self._me,
            self._since.get(relay.host_id, 0),
            wait_s,
            True,
            self._known_versions(),
            defers=True,
            fetches=fetches,
        )
        deadline = Instant(asked_at + wait_s + LATE_ANSWER_S)
        try:
            reply = self._link.call(relay, req, deadline)
            large = [
                NewsItem(key, unpack(data), *rest) for key, data, *rest in reply.packed
            ]
        except PeerError as exc:
            log.info(
                "news: no answer of a relay",
                extra={"relay": relay.host_id, "cause": str(exc)},
            )
            self._avoid(relay)
            return False
        took_s = self._clock.now() - asked_at - reply.waited_s
        if took_s > ANSWER_MARGIN_S:
            log.info(
                "news: late answer of a relay",
                extra={"relay": relay.host_id, "took_s": round(took_s, 3)},
            )
        self._large_keys.update(item.key for item in large)
        reply = replace(reply, items=(*reply.items, *large))
        self._hurry = False
        up_to_date = self._apply(relay, reply, asked_at, fetches)
        if reply.store_age_s < 0 or reply.store_age_s > self._max_age_s:
            log.info(
                "news: a relay is behind the store",
                extra={"relay": relay.host_id, "store_age_s": reply.store_age_s},
            )
            self._avoid(relay)
        return up_to_date

    def _note_deferred(self, relay, reply, fetches):
        """Note the large objects that this host lacks of what a relay has."""
        known = self._deferred.get(relay.host_id)
        # Of an answer that leaves out nothing that was left out before, this host has
        # the rest, unless another one has told of later changes meanwhile.
        is_newest = reply.count >= self._since.get(relay.host_id, 0)
        fetched_all = known is None or set(known.versions) <= set(fetches)
        is_whole = known is None or is_newest and (reply.complete or fetched_all)
        versions = {} if is_whole else dict(known.versions)
        versions.update((key, (era, version)) for key, era, version in reply.deferred)
        self._deferred[relay.host_id] = _Deferred(relay, versions)
        self._forget_fetched()
        self._start_fetching()

    def _start_fetching(self):
        if self._deferred and not self._is_fetching:
            self._is_fetching = True
            eventlet.spawn_n(self._fetch_all)

    def _forget_fetched(self):
        """Forget deferred objects of which this host has the version or a newer one."""
        self._deferred = {
            host_id: _Deferred(row.relay, lacking)
            for host_id, row in self._deferred.items()
            if (lacking := self._lacking(row.versions))
        }

    def _lacking(self, versions):
        return {k: v for k, v in versions.items() if not self._cache.has(k, v)}

    def _fetch_all(self):
        """Fetch deferred objects until none is left that a relay would give."""
        try:
            while True:
                self._clock.sleep_until(self._fetch_at)
                self._forget_fetched()
                usable = {r.host_id for r in self._usable() or self._relays()}
                usable -= self._fetched_from
                rows = [row for name, row in self._deferred.items() if name in usable]
                if not rows:
                    return
                # The newest version makes the others needless.
                newest = max(rows, key=lambda row: max(row.versions.values()))
                self._fetch(newest)
        finally:
            self._is_fetching = False

    def _fetch(self, row):
        """Fetch what one relay has deferred; avoid a relay that is slow to answer."""
        ended = Event()
        eventlet.spawn_n(self._run_fetch, row, ended)
        with eventlet.Timeout(ANSWER_MARGIN_S, False):
            return ended.wait()
        log.info("news: a relay is silent", extra={"relay": row.relay.host_id})
        self._avoid(row.relay)

    def _run_fetch(self, row, ended):
        """Fetch objects; set when to fetch again by the time to apply them."""
        self._fetched_from.add(row.relay.host_id)
        self._fetch_at = Instant(self._clock.now() + self._fetch_pause_s)
        try:
            self._ask_and_apply(row.relay, 0.0, tuple(sorted(row.versions)))
            arrived_at = self._clock.now()
            self._clock.sleep_until(arrived_at)  # those that wait for them apply them
            now = self._clock.now()
            pause_s = min(FETCH_REST * (now - arrived_at), self._max_fetch_pause_s)
            self._fetch_at = Instant(now + max(self._fetch_pause_s, pause_s))
        finally:
            self._fetched_from.discard(row.relay.host_id)
            ended.send()
            self._start_fetching()

    def _known_versions(self):
        """Return the versions of the large objects that this host has."""
        found = [self._cache.get(key) for key in sorted(self._large_keys)]
        return tuple((s.key, s.era, s.version) for s in found if s is not None)

    def _avoid(self, relay):
        self._avoid_until[relay.host_id] = Instant(self._clock.now() + AVOID_S)
        self._hurry = True

    def _apply(self, relay, reply, asked_at, fetched=()):
        """Apply a relay's answer; return whether the cache is as new as the relay's.

        Parameters
        ----------
        fetched : tuple of str
            Keys of the deferred objects that were requested.
        """
        sent_at = Instant(asked_at + reply.waited_s)  # at the earliest
        self._cache.observe_era(reply.era)
        for item in reply.items:
            if self._is_deleted(item):
                continue
            self._cache.observe(
                StoredObject(item.key, item.value, item.version, item.era),
                Instant(sent_at - item.age_s),
            )
        self._note_deferred(relay, reply, fetched)
        if reply.store_age_s < 0:
            return False
        proofs = self._proofs(reply, sent_at)
        if reply.complete and not self._delete_missing(reply, proofs):
            # The relay may lack objects that this host knows: ask for all again.
            return False
        self._since[relay.host_id] = max(reply.count, self._since.get(relay.host_id, 0))
        deferred = self._deferred.get(relay.host_id)
        lacking = set() if deferred is None else set(map(_kind_of, deferred.versions))
        for kind, proof in proofs.items():
            if kind not in lacking:
                self._knowledge.record(kind, proof)
        confirmed = Instant(sent_at - reply.store_age_s)
        self.confirmed_at = max(confirmed, self.confirmed_at or confirmed)
        return True

    def _is_deleted(self, item):
        """Return whether an object that this host lacks is proven not to exist.

        The relay may be further behind the store than this host.
        """
        kind = _kind_of(item.key)
        proof = self._knowledge.proof(kind)
        if proof is None or self._cache.has_known(item.key):
            return False
        return (item.era, item.version) <= (proof.era, proof.revision)

    def _proofs(self, reply, sent_at):
        """Return what an answer proves of each kind.

        Builds before `Revision.PROOFS` tell one age for all kinds, which is taken as
        it is.
        """
        rows = reply.proofs or [
            (kind, UNKNOWN_REVISION, reply.store_age_s)
            for kind in self._early_kinds or ("",)
        ]
        return {
            kind: Proof(reply.era, revision, Instant(sent_at - age_s))
            for kind, revision, age_s in rows
            if age_s >= 0
        }

    def _delete_missing(self, reply, proofs):
        """Delete what a complete answer lacks; return whether all of it was known.

        A relay of another build may not read all kinds; it proves nothing of the others
        and tells all that it ever will.
        """
        listed = {item.key for item in reply.items} | set(reply.unchanged)
        listed |= {key for key, _, _ in reply.deferred}
        read = {kind for kind, _, _ in reply.proofs} or set(self._early_kinds)
        all_known = all(kind in proofs for kind in self._kinds if kind in read)
        for kind, proof in proofs.items():
            known_at = self._knowledge.proven_at((kind,))
            if not self._cache.delete_missing(listed, proof.at, known_at, kind):
                all_known = False
        return all_known


def _kind_of(key):
    """Return the prefix of the objects of the same kind."""
    return key[: key.find("/") + 1]
