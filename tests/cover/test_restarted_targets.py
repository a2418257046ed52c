"""A target that starts again takes orders before its new entry is known.

Until a process has answered a release, or its time has passed, it may hold what any
order has reached its address with; see docs/decisions/successors.md.
"""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.internal.routing.config import RoutedService, TargetState
from persimmonspoke.internal.targets.notices import Incarnation
from tests.fakes.range_fleet import SERVICE, RangeFleet
from tests.fakes.range_targets import FakeRangeTarget

SETTLE_S = 3.0
ENTRY_LATE_S = 0.8  # enough for a round of renewals
COLD_S = 30.0


class RestartCase(unittest.TestCase):
    """One target starts again; no key may have two holders at any time."""

    data_centres = ("a",)

    def setUp(self):
        self.fleet = RangeFleet(hosts=3, targets=4, data_centres=self.data_centres)
        self.addCleanup(self.end)
        self.fleet.run_for(SETTLE_S)
        self.target = self.fleet.targets["t0"]

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.fleet.fence_violations()[:3], [])

    def restart_before_its_entry(self):
        """Restart the target, and let it take orders before its entry is known."""
        self.target.restart()
        self.fleet.run_for(ENTRY_LATE_S)
        self.assertTrue(self.target.held())

    def publish_entry(self, **changes):
        """Let all hosts learn of the target's new start."""
        changes = {"born_ms": 2, **changes}
        self.fleet.records["t0"] = replace(self.fleet.records["t0"], **changes)

    def owners(self):
        leader = self.fleet.leader()
        return leader.keeper.ledger.map(SERVICE).owners()

    def assert_all_held(self):
        self.assertEqual(self.fleet.unheld_keys()[:3], [])


class TestColdTargets(RestartCase):
    """Others get the keys whose requests a cold target may not get."""

    key_count = 30
    per_key_s = 0.5
    limit_per_s = 5.0

    def setUp(self):
        super().setUp()
        first = self.fleet.leader().keeper.ledger.map(SERVICE).owned_by("t0")[0].first
        self.keys = range(first, first + 500 * self.key_count, 500)
        loading = eventlet.spawn(self.load)
        self.addCleanup(loading.kill)
        self.fleet.run_for(6)

    def load(self):
        while True:
            for key in self.keys:
                recorder = self.fleet.leader().reporter.load_recorder
                recorder.record_request(SERVICE, str(key))
                eventlet.sleep(1 / self.per_key_s / self.key_count)

    def turn_cold(self):
        service = RoutedService(SERVICE, 100, True, COLD_S, self.limit_per_s)
        for host in self.fleet.hosts:
            host.warmups.update(
                self.fleet.records, {SERVICE: service}, lambda target_id: None
            )
            born_ms = self.fleet.records["t0"].born_ms
            host.warmups.record(Incarnation("t0", born_ms), COLD_S)

    # Guards against OWNER: keys that a cold target had been granted, before its new
    # entry was known, went to others without a release.
    def test_release_the_keys_that_others_get(self):
        self.assert_others_get_some()

    def test_do_so_when_their_work_has_ended(self):
        self.assert_others_get_some(work_s=0.4)

    def assert_others_get_some(self, work_s=0.0):
        before = len(self.target.held())
        self.restart_before_its_entry()
        self.target.work_s = work_s
        self.publish_entry()
        self.turn_cold()
        self.fleet.run_for(2)
        self.assertGreater(len(self.target.held()), 0)
        self.assertLess(len(self.target.held()), before)
        self.fleet.run_for(4)
        self.assert_all_held()


class TestLostTargets(RestartCase):
    """The keys go to others once the process that holds them can't any more."""

    # Guards against OWNER: what a process had been granted before its entry was known
    # was forgotten when the entry came.
    def test_keys_of_a_target_that_is_cut_off_after_its_restart_wait(self):
        self.restart_before_its_entry()
        leader = self.fleet.leader()
        leader.lost_targets.add("t0")
        leader.resets_lost = True
        self.publish_entry()
        self.fleet.run_for(8)
        self.assertNotIn("t0", self.owners())
        self.assert_all_held()

    # Guards against OWNER: another process at the old address holds the keys.
    def test_keys_wait_for_what_listens_at_the_address_before(self):
        for is_silent in (False, True):
            with self.subTest(is_silent=is_silent):
                name = f"u{is_silent:d}"
                ip = self.fleet.records["t0"].ip
                self.target.crash()
                other = self.fleet.targets[name] = FakeRangeTarget(name)
                self.fleet.listening["t0", ip] = name
                self.fleet.run_for(ENTRY_LATE_S)
                self.assertTrue(other.held())
                other.silent = is_silent
                self.target.start()
                self.publish_entry(
                    ip=f"10.1.0.{8 + is_silent:d}", born_ms=2 + self.target.life
                )
                self.fleet.run_for(6)
                self.assertEqual(self.fleet.double_holds[:3], [])
                self.assert_all_held()

    def test_so_they_do_while_the_store_is_silent(self):
        self.target.crash()
        self.fleet.targets["u"] = FakeRangeTarget("u")
        self.fleet.listening["t0", self.fleet.records["t0"].ip] = "u"
        self.fleet.run_for(ENTRY_LATE_S)
        self.fleet.platform.faults.silent = True
        self.fleet.run_for(2)
        self.target.start()
        self.publish_entry(ip="10.1.0.9")
        self.fleet.run_for(10)
        self.assertTrue(self.target.held())
        self.assert_all_held()

    # Guards against OWNER: the keys of a target that changes its service.
    def test_keys_of_a_target_that_returns_in_another_service_are_released(self):
        self.restart_before_its_entry()
        self.publish_entry(service="other")
        self.fleet.run_for(3)
        self.assertNotIn("t0", self.owners())
        self.assert_all_held()

    def test_an_entry_that_lapses_and_returns_is_that_of_a_new_process(self):
        found = self.fleet.records.pop("t0")
        self.target.restart()
        self.fleet.run_for(0.05)
        self.fleet.records["t0"] = replace(found, born_ms=2)
        self.fleet.run_for(3)
        self.assert_all_held()

    # Guards against a transfer that fails: the entry of a target that was to keep its
    # keys had lapsed by the time that the target had released them.
    def test_keys_of_a_target_whose_entry_lapses_during_its_release_go_to_others(self):
        self.restart_before_its_entry()
        self.target.work_s = 0.5
        self.publish_entry(ip="10.1.0.9")
        self.fleet.run_for(0.3)
        with self.assertNoLogs("persimmonspoke", "ERROR"):
            del self.fleet.records["t0"]
            self.fleet.run_for(3)
        self.assertNotIn("t0", self.owners())
        self.assert_all_held()


class TestEvacuatedTargets(RestartCase):
    """A target in an evacuated data centre loses its keys when it starts again."""

    data_centres = ("a", "b")

    # Guards against OWNER: all its keys went to others without a release.
    def test_release_their_keys(self):
        self.restart_before_its_entry()
        self.publish_entry()
        self.fleet.evacuate("a")
        self.fleet.run_for(6)
        self.assertNotIn("t0", self.owners())
        self.assert_all_held()


class TestTimeWithoutAnOwner(RestartCase):
    """Nothing of this is bought by waiting where nobody else gets the keys."""

    def setUp(self):
        super().setUp()
        self.gap_s = self.longest_gap_s = 0.0
        watch = eventlet.spawn(self.watch)
        self.addCleanup(watch.kill)

    def watch(self):
        while True:
            self.gap_s = self.gap_s + 0.005 if self.fleet.unheld_keys() else 0.0
            self.longest_gap_s = max(self.longest_gap_s, self.gap_s)
            eventlet.sleep(0.005)

    def test_a_new_entry_leaves_a_target_that_keeps_its_keys_alone(self):
        self.restart_before_its_entry()
        self.target.work_s = 1.0  # a release would wait for it
        self.longest_gap_s = 0.0
        self.publish_entry()
        self.fleet.run_for(2)
        self.assertLessEqual(self.longest_gap_s, 0.01)
        self.assertIn("t0", self.owners())

    def test_so_it_does_while_the_store_is_silent(self):
        self.restart_before_its_entry()
        self.fleet.platform.faults.silent = True
        self.fleet.run_for(2.5)
        self.longest_gap_s = 0.0
        self.publish_entry()
        for _ in range(40):
            self.fleet.run_for(0.1)
            ledger = self.fleet.leader().keeper.ledger
            self.assertEqual(ledger.transfers_of(SERVICE), [])
        self.assertLessEqual(self.longest_gap_s, 0.01)


class TestUnservedTargets(RestartCase):
    def test_a_target_that_is_leaving_when_it_returns_keeps_nothing(self):
        self.restart_before_its_entry()
        self.publish_entry(state=TargetState.LEAVING)
        self.fleet.run_for(3)
        self.assertEqual(self.target.held(), set())
        self.assert_all_held()


if __name__ == "__main__":
    unittest.main()
