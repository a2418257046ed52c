"""Tests of what proves that a host has the newest objects."""

import unittest
from unittest import mock

import eventlet

from persimmonspoke.errors import StoreUnavailable
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.knowledge import UNKNOWN_REVISION, Knowledge, Proof
from persimmonspoke.internal.news.messages import NewsItem, NewsReply, NewsRequest
from persimmonspoke.internal.news.relay import UNKNOWN_AGE_S, RelayReader, serve_news
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.internal.timers import Timers
from tests.fakes.caller_parts import HubClock

KIND = "config/"
LARGE = StoredObject("config/main", {"rows": ["row"] * 2000}, 5)
RELAY = PeerAddress(HostId("r"), "127.0.0.1", 1)


class TestKnowledge(unittest.TestCase):
    def setUp(self):
        self.knowledge = Knowledge()

    def record(self, era, revision, at):
        self.knowledge.record(KIND, Proof(era, revision, Instant(at)))
        return self.knowledge.proof(KIND)

    def test_nothing_is_proven_of_kinds_of_which_one_is_unknown(self):
        self.record(0, 5, 1.0)
        self.assertEqual(self.knowledge.proven_at((KIND,)), 1.0)
        self.assertIsNone(self.knowledge.proven_at((KIND, "servers/")))

    def test_proofs_of_one_era_add_up(self):
        self.record(0, 9, 1.0)
        self.assertEqual(self.record(0, 5, 2.0), Proof(0, 9, 2.0))

    # Guards against CONFIG: what a relay knows of the store before it was restored.
    def test_an_earlier_era_proves_nothing_and_a_later_one_replaces_all(self):
        self.record(1, 9, 1.0)
        self.assertEqual(self.record(0, 12, 2.0), Proof(1, 9, 1.0))
        self.assertEqual(self.record(2, 3, 0.5), Proof(2, 3, 0.5))


class _Store:
    """Answers watches as told: changes, None at the end of the wait, or a failure."""

    def __init__(self, clock, *answers):
        self._clock = clock
        self._answers = list(answers)
        self.lists = 0
        self.watches = []
        self.heard_at = self.era = 0

    def list(self, prefix, deadline):
        self.lists += 1
        return Listing((), 7)

    def watch(self, prefix, revision, deadline, answer_deadline):
        now = self._clock.now()
        limits = round(deadline - now, 3), answer_deadline
        self.watches.append((revision, *limits))
        answer = self._answers.pop(0) if self._answers else None
        if answer is not None:
            return answer
        eventlet.sleep(deadline - now)
        return Listing((), revision)


class TestProofsOfWatches(unittest.TestCase):
    path = None

    def watch(self, *answers, known=None, for_s=0.45, margin_s=0.3):
        """Watch with waits of 0.4 s for a while; return the store and the proof."""
        self.clock = HubClock()
        self.knowledge = Knowledge()
        if known is not None:
            self.knowledge.record(KIND, known)
        self.began_at = self.clock.now()
        store = _Store(self.clock, *answers)
        watcher = StoreWatcher(
            store,
            StoreCache(self.clock),
            self.clock,
            Timers(gather_s=0.0),
            KIND,
            self.path,
            self.knowledge,
            watch_s=lambda: 0.4,
            margin_s=margin_s,
        )
        task = eventlet.spawn(watcher.run)
        eventlet.sleep(for_s)
        task.kill()
        return store, self.knowledge.proof(KIND)

    # Guards against CONFIG and DRAIN: a store may end watches while it hides changes.
    def test_a_wait_without_a_change_proves_nothing(self):
        store, proof = self.watch(for_s=1.0)
        self.assertEqual(len(store.watches), 3)
        self.assertEqual(proof, Proof(0, 7, self.began_at))

    def test_neither_does_an_answer_with_changes_which_may_lack_others(self):
        change = Listing((StoredObject("config/main", {"v": 1}, 8),), 8)
        _, proof = self.watch(change, for_s=0.1)
        self.assertEqual(proof, Proof(0, 7, self.began_at))

    # Guards against CONFIG: changes that an answer without changes has skipped.
    def test_after_a_wait_without_a_change_the_next_one_goes_on_from_the_same(self):
        skipped = Listing((), 9)
        store, _ = self.watch(skipped, for_s=0.1)
        self.assertEqual([watch[0] for watch in store.watches], [7, 7])

    def test_listings_prove_it_again_and_again(self):
        clock, knowledge = HubClock(), Knowledge()
        began_at = clock.now()
        watcher = StoreWatcher(
            _Store(clock), StoreCache(clock), clock, Timers(), KIND, None, knowledge
        )
        task = eventlet.spawn(watcher.run_reads, 0.5, 0.4)
        eventlet.sleep(1.7)
        task.kill()
        self.assertEqual(knowledge.proof(KIND), Proof(0, 7, Instant(began_at + 1.5)))

    # Guards against CONFIG: the lost answer of a watch was awaited for seconds.
    def test_an_answer_is_given_up_soon_after_it_was_due(self):
        store, _ = self.watch(for_s=0.1)
        _, waits_s, answer_deadline = store.watches[0]
        given_s = answer_deadline - self.began_at - waits_s
        self.assertAlmostEqual(given_s, 0.3, places=3)

    # Guards against work for a leaving target: after an outage a host awaited a watch
    # that the store had never got, ten seconds long.
    def test_a_host_that_awaits_answers_for_long_lists_again_after_a_failure(self):
        known = Proof(0, 5, Instant(0.0))
        store, _ = self.watch(known=known, margin_s=None, for_s=0.5)
        self.assertEqual((store.lists, store.watches), (1, [(7, 0.4, None)] * 2))

    # Guards against CONFIG: the wait for an answer grew with each slow check.
    def test_a_slow_store_is_given_twice_the_margin_at_most(self):
        for took_s, margin_s in ((0.1, 0.5), (5.0, 0.6)):
            self.path = mock.Mock(took_s=took_s)
            store, _ = self.watch(for_s=0.1)
            _, waits_s, answer_deadline = store.watches[0]
            given_s = answer_deadline - self.began_at - waits_s
            self.assertAlmostEqual(given_s, margin_s, places=3)

    def test_a_host_goes_on_only_from_a_revision_that_it_knows(self):
        for revision, lists, begins in ((5, 0, 5), (UNKNOWN_REVISION, 1, 7)):
            known = Proof(0, revision, Instant(0.0))
            store, _ = self.watch(known=known, for_s=0.1)
            self.assertEqual((store.lists, store.watches[0][0]), (lists, begins))


class _SlowStore(_Store):
    """Takes long to list; remembers how long it was given."""

    LIST_S = 0.2

    def __init__(self, clock, *answers):
        super().__init__(clock, *answers)
        self.given_s = []

    def list(self, prefix, deadline):
        self.given_s.append(round(deadline - self._clock.now(), 3))
        eventlet.sleep(self.LIST_S)
        return super().list(prefix, deadline)


class TestListings(unittest.TestCase):
    def read(self, took_s=0.0):
        """Let a watcher list once; return the store, the proof and when it began."""
        clock, knowledge = HubClock(), Knowledge()
        store, began_at = _SlowStore(clock), clock.now()
        path = mock.Mock(took_s=took_s)
        watcher = StoreWatcher(
            store, StoreCache(clock), clock, Timers(), KIND, path, knowledge
        )
        task = eventlet.spawn(watcher.run_reads, 2.0, 0.4)
        eventlet.sleep(1.0)
        task.kill()
        return store, knowledge.proof(KIND), began_at

    # Guards against CONFIG and DRAIN: changes made while the answer was on its way.
    def test_a_listing_proves_nothing_later_than_its_question(self):
        _, proof, began_at = self.read()
        self.assertEqual(proof.at, began_at)

    def test_a_slow_store_is_given_twice_the_time_at_most(self):
        for took_s, given_s in ((0.0, 0.4), (0.1, 0.6), (5.0, 0.8)):
            store, _, _ = self.read(took_s)
            self.assertEqual(store.given_s, [given_s])

    def test_a_watch_goes_on_from_what_a_later_listing_has_proven(self):
        clock, knowledge = HubClock(), Knowledge()
        store = _Store(clock, Listing((), 7), Listing((), 7))
        watcher = StoreWatcher(
            store, StoreCache(clock), clock, Timers(), KIND, None, knowledge
        )
        watcher.read_all()
        knowledge.record(KIND, Proof(0, 12, clock.now()))
        self.assertEqual(watcher._watch(7), 12)


class _LateStore(_Store):
    """Answers the first watch at once, over a link that takes long."""

    LATE_S = 0.35

    def watch(self, prefix, revision, deadline, answer_deadline):
        if not self.watches:
            self.watches.append((revision, 0.0, answer_deadline))
            eventlet.sleep(self.LATE_S)
            return Listing((StoredObject("config/main", {"v": 1}, 8),), 8)
        return super().watch(prefix, revision, deadline, answer_deadline)


class TestDatesOfChanges(unittest.TestCase):
    # Guards against DRAIN: a change was dated by when its answer came, less the time
    # that other answers took, so an owner that left was used for that much longer.
    def test_a_change_is_dated_by_the_last_proof_and_not_by_its_answer(self):
        clock = HubClock()
        cache = StoreCache(clock)
        began_at = clock.now()
        path = mock.Mock(took_s=0.01)
        watcher = StoreWatcher(
            _LateStore(clock), cache, clock, Timers(gather_s=0.0), KIND, path
        )
        task = eventlet.spawn(watcher.run)
        eventlet.sleep(0.5)
        task.kill()
        self.assertLessEqual(cache.changed_at("config/main"), began_at)


class TestAnswersOfRelays(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()
        self.relay, self.knowledge = StoreCache(self.clock), Knowledge()
        link = mock.Mock()
        source = mock.Mock(confirmed_at=self.clock.now())
        serve_news(link, self.relay, source, self.clock, self.knowledge, (KIND,))
        self.answer = link.serve.call_args.args[1]

    def ask(self, known=()):
        return self.answer(NewsRequest(HostId("me"), 0, 0.0, True, known))

    def test_a_version_that_the_asker_has_is_left_out(self):
        self.relay.observe(LARGE)
        self.assertEqual([row[0] for row in self.ask().packed], [LARGE.key])
        reply = self.ask(((LARGE.key, 0, 5),))
        self.assertEqual((reply.packed, reply.unchanged), ((), (LARGE.key,)))
        self.assertEqual(
            [r[0] for r in self.ask(((LARGE.key, 0, 4),)).packed], [LARGE.key]
        )

    # Guards against CONFIG: a proof of the store before it was restored.
    def test_a_proof_of_an_earlier_era_is_not_passed_on(self):
        self.relay.observe_era(1)
        self.knowledge.record(KIND, Proof(0, 5, self.clock.now()))
        self.assertEqual(self.ask().proofs, ((KIND, UNKNOWN_REVISION, UNKNOWN_AGE_S),))
        self.knowledge.record(KIND, Proof(1, 6, self.clock.now()))
        self.assertEqual(self.ask().proofs, ((KIND, 6, 0.0),))


class TestReadersOfRelays(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()
        self.cache, self.knowledge = StoreCache(self.clock), Knowledge()
        self.replies, self.requests = [], []
        self.reader = RelayReader(
            HostId("me"),
            self,
            self.cache,
            self.clock,
            lambda: (RELAY,),
            lambda: True,
            knowledge=self.knowledge,
            kinds=(KIND,),
        )

    def call(self, peer, message, deadline):
        self.requests.append(message)
        if not self.replies:
            raise StoreUnavailable("the test is over")
        return self.replies.pop(0)

    def apply(self, reply):
        return self.reader._apply(RELAY, reply, self.clock.now())

    def test_what_a_relay_left_out_because_it_is_known_is_not_deleted(self):
        self.cache.observe(LARGE)
        eventlet.sleep(1)
        reply = NewsReply((), 9, 0.0, 0.0, True, 0, ((KIND, 5, 0.0),), (), (LARGE.key,))
        self.assertTrue(self.apply(reply))
        self.assertIsNotNone(self.cache.get(LARGE.key))
        self.assertEqual(self.knowledge.proof(KIND).revision, 5)

    # Guards against DRAIN: a target that had left was in use again, by a relay's copy.
    def test_what_a_newer_proof_excludes_is_not_taken_from_a_relay(self):
        self.knowledge.record(KIND, Proof(1, 9, self.clock.now()))
        left = NewsItem("config/left", {"n": 1}, 9, era=1)
        older = NewsItem("config/older", {"n": 1}, 12, era=0)
        new = NewsItem("config/new", {"n": 1}, 10, era=1)
        later = NewsItem("config/later", {"n": 1}, 3, era=2)
        other = NewsItem("servers/t", {"n": 1}, 5, era=1)
        items = (left, older, new, later, other)
        self.apply(NewsReply(items, 9, 0.0, era=1, proofs=((KIND, 5, 3.0),)))
        taken = {item.key for item in items if self.cache.get(item.key) is not None}
        self.assertEqual(taken, {new.key, later.key, other.key})

    def test_a_complete_answer_that_proves_nothing_is_asked_for_again(self):
        self.cache.observe(LARGE)
        eventlet.sleep(1)
        unproven = ((KIND, UNKNOWN_REVISION, UNKNOWN_AGE_S),)
        self.assertFalse(self.apply(NewsReply((), 9, 0.0, 0.0, True, 0, unproven)))
        self.assertIsNotNone(self.cache.get(LARGE.key))
        self.assertIsNone(self.knowledge.proof(KIND))

    def test_a_late_answer_does_not_let_a_host_ask_for_what_it_has(self):
        for count in (9, 6):
            self.apply(NewsReply((), count, 0.0, proofs=((KIND, 5, 0.0),)))
        self.assertEqual(self.reader._since[RELAY.host_id], 9)

    def test_the_versions_of_large_objects_are_told(self):
        server = mock.Mock()
        cache = StoreCache(self.clock)
        cache.observe(LARGE)
        source = mock.Mock(confirmed_at=self.clock.now())
        serve_news(server, cache, source, self.clock, Knowledge(), ())
        answer = server.serve.call_args.args[1]
        self.replies.append(answer(NewsRequest(HostId("me"), 0, 0.0, True)))
        self.reader._ask(RELAY)
        self.assertEqual(self.cache.get(LARGE.key), LARGE)
        self.assertEqual(self.reader._known_versions(), ((LARGE.key, 0, 5),))


if __name__ == "__main__":
    unittest.main()
