"""Tests of the store cache, the watcher and the relays."""

import itertools
import unittest

import eventlet

from persimmonspoke.errors import PeerTimeout, StoreCompacted, StoreUnavailable
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.messages import NewsItem, NewsReply
from persimmonspoke.internal.news.relay import RelayReader
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.internal.timers import Timers
from tests.fakes import virtual_hub


class HubClock:
    def now(self):
        return Instant(virtual_hub.now())

    def sleep_until(self, deadline):
        eventlet.sleep(max(0, deadline - self.now()))


class TestNewsBoard(unittest.TestCase):
    def setUp(self):
        self.cache = StoreCache(HubClock())

    def test_a_lower_version_never_replaces_a_higher_one(self):
        self.cache.observe(StoredObject("k", {"n": 2}, 2))
        self.cache.observe(StoredObject("k", {"n": 1}, 1))
        self.assertEqual(self.cache.get("k").value, {"n": 2})

    def test_an_object_missing_from_a_listing_is_deleted(self):
        self.cache.observe(StoredObject("k", {"n": 1}, 1))
        self.cache.observe_listing(Listing((), 5), self.cache.snapshot())
        self.assertIsNone(self.cache.get("k"))

    def test_an_object_added_during_a_listing_is_kept(self):
        before = self.cache.snapshot()
        self.cache.observe(StoredObject("k", {"n": 1}, 1))
        self.cache.observe_listing(Listing((), 5), before)
        self.assertIsNotNone(self.cache.get("k"))

    def test_a_deletion_replaces_the_version_that_it_deleted(self):
        self.cache.observe(StoredObject("k", {}, 1))
        self.cache.observe(StoredObject("k", {"n": 1}, 1))
        self.assertIsNone(self.cache.get("k"))

    def test_a_waiting_task_wakes_at_a_change(self):
        eventlet.spawn_after(1, self.cache.observe, StoredObject("k", {"n": 1}, 1))
        started_at = virtual_hub.now()
        self.cache.wait(0, Instant(started_at + 60))
        self.assertAlmostEqual(virtual_hub.now() - started_at, 1, places=3)

    def test_a_wait_ends_at_its_deadline(self):
        started_at = virtual_hub.now()
        self.cache.wait(0, Instant(started_at + 2))
        self.assertAlmostEqual(virtual_hub.now() - started_at, 2, places=3)


class _CountedStore:
    """Changes an object every 10 ms until `changes` were made; counts the watches."""

    def __init__(self, changes):
        self.started_at = virtual_hub.now()
        self.changes = changes
        self.watches = 0

    def list(self, prefix, deadline):
        return Listing((), 1)

    def watch(self, prefix, revision, deadline, answer_deadline=None):
        self.watches += 1
        while virtual_hub.now() < deadline:
            newest = min(self.changes, int(100 * (virtual_hub.now() - self.started_at)))
            if newest > revision:
                new = range(revision + 1, newest + 1)
                return Listing(
                    tuple(StoredObject(f"k{n}", {"n": n}, n) for n in new), newest
                )
            eventlet.sleep(0.01)
        return Listing((), revision)


class TestStoreWatcher(unittest.TestCase):
    def follow(self, gather_s):
        store = _CountedStore(changes=100)
        cache = StoreCache(HubClock())
        timers = Timers(gather_s=gather_s)
        task = eventlet.spawn(StoreWatcher(store, cache, HubClock(), timers).run)
        eventlet.sleep(2)
        task.kill()
        self.assertIsNotNone(cache.get("k100"))
        return store.watches

    def test_frequent_changes_are_read_in_few_calls(self):
        self.assertGreater(self.follow(gather_s=0.0), 50)
        self.assertLessEqual(self.follow(gather_s=0.15), 9)


class _CompactedStore(_CountedStore):
    """Does not answer for 2 s, then has dropped its history."""

    def __init__(self):
        super().__init__(changes=0)
        self.listed_at = []

    def list(self, prefix, deadline):
        self.listed_at.append(virtual_hub.now() - self.started_at)
        return Listing((), 1)

    def watch(self, prefix, revision, deadline, answer_deadline=None):
        if len(self.listed_at) > 1:
            return super().watch(prefix, revision, deadline)
        if virtual_hub.now() < self.started_at + 2:
            raise StoreUnavailable("no answer")
        self.dropped_at = virtual_hub.now() - self.started_at
        raise StoreCompacted("list again")


class TestDroppedHistory(unittest.TestCase):
    # Guards against CONFIG: a host paused for up to a second before it did what the
    # store had just told it to do.
    def test_all_is_listed_again_at_once(self):
        store = _CompactedStore()
        clock = HubClock()
        watcher = StoreWatcher(store, StoreCache(clock), clock, Timers(), margin_s=0.5)
        task = eventlet.spawn(watcher.run)
        eventlet.sleep(4)
        task.kill()
        first, again = store.listed_at
        self.assertAlmostEqual(again, store.dropped_at, places=3)


class _FailingStore(_CountedStore):
    """Fails the first watches, answers one, and fails again."""

    FAILURES = 4

    def __init__(self):
        super().__init__(changes=0)
        self.watched_at = []

    def watch(self, prefix, revision, deadline, answer_deadline=None):
        self.watched_at.append(virtual_hub.now())
        if len(self.watched_at) != self.FAILURES + 1:
            raise StoreUnavailable("no answer")
        eventlet.sleep(1)
        return Listing((), revision)


class TestPausesAfterFailures(unittest.TestCase):
    # Guards against CONFIG and DRAIN: the pause grew with each failure of the process's
    # life, so a relay missed changes for a second after each later one.
    def test_a_store_that_has_answered_is_asked_again_as_soon_as_at_first(self):
        store, clock = _FailingStore(), HubClock()
        watcher = StoreWatcher(store, StoreCache(clock), clock, Timers(), margin_s=0.5)
        task = eventlet.spawn(watcher.run)
        eventlet.sleep(9)
        task.kill()
        pauses = [b - a for a, b in itertools.pairwise(store.watched_at)]
        answered = store.FAILURES
        # The call after the answer fails at once, and the pause after that is short.
        self.assertGreater(pauses[answered - 1], pauses[0])
        self.assertAlmostEqual(pauses[answered + 1], pauses[0], places=3)


class _Link:
    """Answers for the relay ``r`` after 1 s; the relay ``silent`` never answers."""

    def call(self, peer, message, deadline):
        if peer.host_id == "silent":
            raise PeerTimeout("no answer")
        eventlet.sleep(1)
        return NewsReply((), 7, 3.0)


class TestRelayReader(unittest.TestCase):
    def test_a_silent_relay_is_skipped_and_the_store_age_is_subtracted(self):
        clock = HubClock()
        relays = tuple(
            PeerAddress(HostId(name), "127.0.0.1", 1) for name in ("silent", "r")
        )
        reader = RelayReader(
            HostId("me"),
            _Link(),
            StoreCache(clock),
            clock,
            lambda: relays,
            lambda: True,
        )
        started_at = clock.now()
        task = eventlet.spawn(reader.run)
        eventlet.sleep(1.5)
        task.kill()
        self.assertAlmostEqual(reader.confirmed_at, started_at - 3.0, places=3)


class TestSlowAnswersOfRelays(unittest.TestCase):
    """A host whose link is full gets each answer late, and still uses it."""

    # Guards against CONFIG: answers that held the change came late and were dropped,
    # again and again, while the host's link stayed full.
    def test_an_answer_that_comes_late_is_used(self):
        clock = HubClock()
        cache = StoreCache(clock)
        calls = []

        class Link:
            def call(self, peer, message, deadline):
                calls.append((peer.host_id, clock.now()))
                left_s = deadline - clock.now()
                eventlet.sleep(min(left_s, message.wait_s + 1.2))
                if left_s < message.wait_s + 1.2:
                    raise PeerTimeout(peer.host_id)
                return NewsReply((NewsItem("k", {"n": 1}, 1),), 7, 0.1, message.wait_s)

        relays = tuple(PeerAddress(HostId(name), "127.0.0.1", 1) for name in "ab")
        reader = RelayReader(
            HostId("me"), Link(), cache, clock, lambda: relays, lambda: True, 0.5, 2
        )
        task = eventlet.spawn(reader.run)
        eventlet.sleep(1.8)
        self.assertEqual(cache.get("k").value, {"n": 1})
        eventlet.sleep(3)
        task.kill()
        # Each relay has one question at a time.
        for name in "ab":
            asked_at = [at for host_id, at in calls if host_id == name]
            for before, after in itertools.pairwise(asked_at):
                self.assertGreaterEqual(after - before, 1.2)


class TestFirstAnswerOfARelay(unittest.TestCase):
    """The first answer of a relay holds all objects that exist."""

    def read(self, reply, learn_after_s=0.0):
        """Return the cache of a host that knew ``k`` and then got `reply`."""
        clock = HubClock()
        cache = StoreCache(clock)
        eventlet.spawn_after(
            learn_after_s, cache.observe, StoredObject("k", {"n": 1}, 1)
        )
        eventlet.sleep(0.01)

        class Link:
            def call(self, peer, message, deadline):
                eventlet.sleep(1)
                return reply

        relays = (PeerAddress(HostId("r"), "127.0.0.1", 1),)
        reader = RelayReader(
            HostId("me"), Link(), cache, clock, lambda: relays, lambda: True
        )
        task = eventlet.spawn(reader.run)
        eventlet.sleep(1.1)
        task.kill()
        return cache

    def test_an_object_that_it_lacks_has_been_deleted(self):
        reply = NewsReply((), 7, 0.0, 1.0, True)
        self.assertIsNone(self.read(reply).get("k"))

    def test_an_object_newer_than_the_relays_copy_is_kept(self):
        reply = NewsReply((), 7, 0.9, 1.0, True)
        self.assertIsNotNone(self.read(reply, learn_after_s=0.5).get("k"))

    def test_a_change_is_as_old_as_the_relay_says(self):
        item = NewsItem("x", {"n": 2}, 9, 5.0)
        cache = self.read(NewsReply((item,), 7, 0.0, 1.0, True))
        self.assertLessEqual(cache.changed_at("x"), virtual_hub.now() - 5.0)
