"""Tests of targets that say in their answers that they are leaving."""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.errors import NoOwnerYet
from persimmonspoke.ids import Instant
from persimmonspoke.internal.fleet.messages import RangeTable, RouteRow
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.ranges.routes import RangeRoutes
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.platform import documents, headers
from tests.cover.test_routing import config_value, target_value
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock, service
from tests.fakes.range_fleet import SERVICE, RangeFleet

DRAIN_S = 2.0  # the platform's `drain_s`
GRACE_S = 0.7 * DRAIN_S
BORN_MS = 1700000000000


class TestTheNotice(unittest.TestCase):
    def setUp(self):
        self.leaving = []
        self.notices = TargetNotices(lambda target_id: Incarnation(target_id, BORN_MS))
        self.notices.on_leaving = self.leaving.append
        self.incarnation = Incarnation("one", BORN_MS)

    def read(self, *values):
        """Read an answer with some values of the field; return whether it leaves."""
        self.leaving.clear()
        fields = {headers.LEAVING: ", ".join(values)} if values else {}
        headers.read_notices(200, fields, self.incarnation, self.notices)
        return bool(self.leaving)

    def test_is_read_whether_it_is_sent_once_or_twice(self):
        self.assertTrue(self.read("1"))
        self.assertTrue(self.read("1", "1"))
        self.assertTrue(self.read("x", "1"))

    def test_that_is_missing_or_zero_says_nothing(self):
        for values in ((), ("0",), ("0", "0")):
            with self.subTest(values), self.assertNoLogs():
                self.assertFalse(self.read(*values))

    def test_that_can_not_be_read_is_logged_once_and_ignored(self):
        for text in ("", "yes", "-1", "1.0", "9" * 5000, "Sat, 05 Dec 2026 10:00 GMT"):
            self.notices = TargetNotices(self.notices.incarnation_of)
            with self.subTest(text[:9]), self.assertLogs() as logs:
                for _ in range(5):
                    self.assertFalse(self.read(text))
                self.assertEqual(len(logs.records), 1)
                self.assertLessEqual(len(logs.records[0].value), 80)


class StateCase(unittest.TestCase):
    """One host's state of the targets, of a service divided by key."""

    def setUp(self):
        self.clock = HubClock()
        self.cache = StoreCache(self.clock)
        self.state = RoutingState(
            self.cache,
            self.clock,
            documents.CONFIG_KEY,
            documents.TARGETS_PREFIX,
            documents.decode_config,
            documents.decode_target,
            lambda: None,
        )
        self.version = 0
        self.put("config/main", config_value())
        self.put_target("one")
        self.put_target("two")

    def put(self, key, value):
        self.version += 1
        self.cache.observe(StoredObject(key, value, self.version))
        self.state.refresh()

    def put_target(self, name, **fields):
        self.put(f"servers/{name}", target_value(**fields))

    def says(self, name, born_ms=BORN_MS, age_s=0.0):
        """Let a target say that it is leaving; return whether that was news."""
        news = self.state.report_leaving(name, born_ms, "answer", age_s)
        self.state.refresh()
        return news


class TestWhatAHostBelieves(StateCase):
    """Guards against DRAIN: requests for a target that has said that it leaves."""

    def test_it_leaves_from_the_moment_at_which_it_said_so(self):
        self.assertTrue(self.says("one", age_s=0.5))
        self.assertIs(self.state.targets["one"].state, TargetState.LEAVING)
        since = self.state.leaving_since("one")
        self.assertAlmostEqual(self.clock.now() - since, 0.5)
        self.assertIs(self.state.targets["two"].state, TargetState.READY)

    def test_it_stays_so_whatever_the_store_says_of_the_same_start(self):
        self.says("one")
        self.put_target("one", sequence=7)
        self.assertIs(self.state.targets["one"].state, TargetState.LEAVING)
        self.assertFalse(self.says("one"))

    # Guards against DRAIN that can't be traced: when the host learned of it, and when
    # the store may have had it.
    def test_a_changed_entry_is_logged_with_its_age(self):
        changed_at = Instant(self.clock.now() - 0.75)
        value = target_value(state="draining")
        self.cache.observe(StoredObject("servers/one", value, 99), changed_at)
        eventlet.sleep(0.125)
        with self.assertLogs("persimmonspoke", "INFO") as logs:
            self.state.refresh()
        line = logs.records[0]
        self.assertEqual((line.changed_s, line.learned_s), (0.875, 0.125))

    # Guards against DRAIN: an entry that came back after an outage, or from an older
    # copy of the store, began the grace of its target anew.
    def test_an_entry_that_comes_back_does_not_begin_the_grace_anew(self):
        left_at = Instant(self.clock.now() - 1.0)
        value = target_value(state="draining")
        self.cache.observe(StoredObject("servers/one", value, 90), left_at)
        self.state.refresh()
        eventlet.sleep(0.5)
        before = self.cache.snapshot(documents.TARGETS_PREFIX)
        gone = Listing((before["servers/two"],), 91)
        self.cache.observe_listing(gone, before, self.clock.now())
        self.state.refresh()
        self.assertIsNone(self.state.leaving_since("one"))
        again = StoredObject("servers/one", value, 92)
        self.cache.observe(again, self.clock.now())
        self.state.refresh()
        self.assertEqual(self.state.leaving_since("one"), left_at)

    def test_a_later_start_that_leaves_does_so_from_its_own_instant(self):
        self.says("one", age_s=1.0)
        left_at = self.clock.now()
        value = target_value(state="draining", born=BORN_MS + 5000)
        self.cache.observe(StoredObject("servers/one", value, 90), left_at)
        self.state.refresh()
        self.assertEqual(self.state.leaving_since("one"), left_at)

    def test_a_later_start_is_free_of_it(self):
        self.says("one")
        self.put_target("one", born=BORN_MS + 5000)
        self.assertIs(self.state.targets["one"].state, TargetState.READY)
        self.assertEqual(self.state.announced_leaving(), [])

    def test_an_answer_of_an_earlier_start_says_nothing(self):
        self.put_target("one", born=BORN_MS + 5000)
        self.assertFalse(self.says("one"))
        self.assertIs(self.state.targets["one"].state, TargetState.READY)

    def test_it_is_passed_on_with_its_age_until_the_target_is_gone(self):
        self.says("one")
        eventlet.sleep(0.3)
        self.assertEqual(self.state.announced_leaving(), [("one", BORN_MS, 0.3)])
        before = self.cache.snapshot(documents.TARGETS_PREFIX)
        left = Listing((before["servers/two"],), self.version)
        self.cache.observe_listing(left, before)
        self.state.refresh()
        self.assertEqual(self.state.announced_leaving(), [])


class TestRequestsForItsKeys(StateCase):
    """Guards against DRAIN where no other target can get the keys in time."""

    def setUp(self):
        super().setUp()
        self.routes = RangeRoutes(self.state, self.clock, GRACE_S)
        rows = {"stock": (RouteRow(0, 65535, "one", 5, 0.0),)}
        self.routes.apply_table(RangeTable(None, 1, 1, rows))
        self.service = service("stock")
        self.says("one")

    def find(self):
        return self.routes.wait("platform", self.service, "7", self.clock.now() + 5.0)

    def test_are_sent_for_as_long_as_the_platform_allows(self):
        eventlet.sleep(GRACE_S - 0.1)
        self.assertTrue(self.routes.may_send(self.find()))

    def test_are_refused_at_once_from_then_on(self):
        route = self.find()
        eventlet.sleep(GRACE_S)
        began = virtual_hub.now()
        with self.assertRaises(NoOwnerYet):
            self.find()
        self.assertEqual(virtual_hub.now(), began)
        self.assertFalse(self.routes.may_send(route))


class TestTheFleet(unittest.TestCase):
    """Guards against a notice that only the host knows which got the answer."""

    def setUp(self):
        self.fleet = RangeFleet(hosts=4, targets=4)
        self.addCleanup(self.end)
        self.fleet.run_for(6)
        for host in self.fleet.hosts:
            host.state.targets = dict(self.fleet.records)
            host.reporter.on_target_leaving = lambda host=host: self.apply(host)

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.network.crashes, [])

    def apply(self, host):
        """Apply what a host has learned, as `RoutingState.refresh` does."""
        for target_id, _, _ in host.state.announced_leaving():
            found = host.state.targets[target_id]
            leaving = replace(found, state=TargetState.LEAVING)
            host.state.targets[target_id] = leaving

    def owners(self):
        ranges = self.fleet.leader().keeper.ledger.map(SERVICE).ranges
        return {entry.owner for entry in ranges}

    def test_all_hosts_know_within_half_a_second_and_the_keys_move_warm(self):
        leader = self.fleet.leader()
        host = next(h for h in self.fleet.hosts if h is not leader)
        host.state.report_leaving("t1", 1, "answer")
        self.apply(host)
        self.fleet.run_for(0.5)
        for other in self.fleet.hosts:
            self.assertIs(other.state.targets["t1"].state, TargetState.LEAVING)
        self.fleet.run_for(GRACE_S - 0.5)
        self.assertNotIn("t1", self.owners())
        self.assertEqual(self.fleet.unheld_keys(), [])
        moved = [
            entry
            for entry in leader.keeper.ledger.map(SERVICE).ranges
            if entry.handover is not None
        ]
        self.assertTrue(moved)


if __name__ == "__main__":
    unittest.main()
