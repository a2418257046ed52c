"""Tests of hosts that can't connect to any target, while all else reaches them."""

import unittest
from dataclasses import replace

from persimmonspoke.internal.routing.config import TargetState
from tests.fakes.range_fleet import RangeFleet

# A path that is lost counts as noticed within a second; a lost leader is replaced
# within two (docs/decisions/platform.md).
NOTICED_S = 3.0


class CutPathsCase(unittest.TestCase):
    """Hosts and targets in virtual time, whose keys are all held."""

    def setUp(self):
        self.fleet = RangeFleet(hosts=4, targets=6)
        self.addCleanup(self.end)
        self.fleet.run_for(8)
        self.assertEqual(self.fleet.unheld_keys(), [])

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.fence_violations(), [])
        self.assertEqual(self.fleet.network.crashes, [])

    def owners(self):
        """Return the owner of each range that the leader knows."""
        leader = self.fleet.leader()
        return {
            (entry.first, entry.last): entry.owner
            for entry in leader.keeper.ledger.map("stock").ranges
        }

    def longest_gap_s(self, seconds):
        """Let time pass; return how long any key had no holder at a stretch."""
        longest = gap = 0.0
        for _ in range(round(seconds / 0.1)):
            self.fleet.run_for(0.1)
            gap = gap + 0.1 if self.fleet.unheld_keys() else 0.0
            longest = max(longest, gap)
        return longest


class TestALeaderThatReachesNoTarget(CutPathsCase):
    """Guards against a cut leader that takes the keys of healthy targets back."""

    def test_keeps_no_key_from_its_owner_when_refused(self):
        owners = self.owners()
        self.fleet.cut_from_targets([self.fleet.leader()], refused=True)
        self.assertLess(self.longest_gap_s(12), 0.1)
        self.assertEqual(self.owners(), owners)

    def test_keeps_no_key_from_its_owner_when_orders_hang(self):
        owners = self.owners()
        self.fleet.cut_from_targets([self.fleet.leader()], refused=False)
        self.assertLess(self.longest_gap_s(12), 0.1)
        self.assertEqual(self.owners(), owners)

    def test_hands_over_to_a_host_that_reaches_them(self):
        others = [host for host in self.fleet.hosts if host is not self.fleet.leader()]
        cut = [self.fleet.leader(), *others[:2]]
        self.fleet.cut_from_targets(cut, refused=True)
        self.fleet.run_for(NOTICED_S)
        self.assertNotIn(self.fleet.leader(), [None, *cut])
        self.assertEqual(self.longest_gap_s(6), 0.0)


class TestALeaderThatNobodyCanReplace(CutPathsCase):
    """Guards against verdicts of a cut leader while no host is better placed."""

    def setUp(self):
        super().setUp()
        self.leader = self.fleet.leader()
        self.fleet.cut_from_targets(self.fleet.hosts, refused=True)
        self.fleet.run_for(2)

    def leading(self):
        return next(h for h in self.fleet.hosts if h.leadership.leading)

    def test_takes_no_target_for_silent(self):
        granters = self.leading().keeper.granters
        names = self.fleet.targets
        self.assertFalse(any(granters.is_silent("stock", name) for name in names))

    def test_begins_no_transfer(self):
        leaving = replace(self.fleet.records["t1"], state=TargetState.LEAVING)
        self.fleet.records["t1"] = leaving
        self.fleet.run_for(1)
        self.assertEqual(self.leading().keeper.ledger.transfers_of("stock"), [])


class TestWhatTheFleetKnows(CutPathsCase):
    """Guards against requests that are forwarded to a host that is cut, too."""

    def test_all_hosts_learn_which_hosts_are_cut(self):
        cut = [h for h in self.fleet.hosts if h is not self.fleet.leader()][0]
        self.fleet.cut_from_targets([cut], refused=True)
        self.fleet.run_for(2)
        for host in self.fleet.hosts:
            self.assertEqual(host.hosts.cut_hosts, {cut.process.name})
            known = [e.address.host_id for e in host.hosts.reaching_targets()]
            self.assertNotIn(cut.process.name, known)
            self.assertGreaterEqual(len(known), 2)


class TestTargetsThatAreLostIndeed(CutPathsCase):
    """Guards against a leader that blames its paths for a target that is lost."""

    def test_the_keys_of_a_silent_target_go_to_others(self):
        lost = self.fleet.targets["t2"]
        lost.silent = True
        self.fleet.run_for(7)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertNotIn("t2", self.owners().values())

    def test_the_leader_stays(self):
        leader = self.fleet.leader()
        for name in ("t0", "t1", "t2"):
            self.fleet.targets[name].silent = True
        self.fleet.run_for(7)
        self.assertIs(self.fleet.leader(), leader)


class TestCompanyOfACut(CutPathsCase):
    """Guards against a cut leader that is followed by a host that can't lead either."""

    def test_the_store_is_away(self):
        owners = self.owners()
        leader = self.fleet.leader()
        self.fleet.platform.faults.down = True
        self.fleet.cut_from_targets([leader], refused=True)
        self.fleet.run_for(4)
        self.assertTrue(leader.leadership.leading)
        self.fleet.platform.faults.down = False
        self.fleet.run_for(4)
        self.assertNotIn(self.fleet.leader(), [None, leader])
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.owners(), owners)

    def test_the_leader_is_killed_and_hosts_that_are_cut_remain(self):
        leader = self.fleet.leader()
        others = [host for host in self.fleet.hosts if host is not leader]
        self.fleet.cut_from_targets(others[:2], refused=True)
        self.fleet.run_for(2)
        epoch = leader.leadership.epoch
        leader.kill()
        self.assertLess(self.longest_gap_s(8), 3.0)
        self.assertEqual(others[2].leadership.epoch, epoch + 1)
        self.assertTrue(others[2].leadership.may_order())
        self.assertFalse(others[0].leadership.leading or others[1].leadership.leading)

    def test_paths_that_are_lost_again_and_again_by_different_hosts(self):
        longest = 0.0
        for number in range(12):
            cut = [self.fleet.hosts[(number + n) % 4] for n in range(2)]
            self.fleet.cut_from_targets(cut, refused=number % 2 == 0)
            longest = max(longest, self.longest_gap_s(2.0))
            self.fleet.cut_from_targets([])
            longest = max(longest, self.longest_gap_s(0.5))
        self.assertLess(longest, 0.3)


class TestTheEndOfACut(CutPathsCase):
    """Guards against keys that nobody holds after the paths are back."""

    def test_owners_hold_their_keys_again_after_all_hosts_were_cut(self):
        owners = self.owners()
        self.fleet.cut_from_targets(self.fleet.hosts, refused=True)
        self.fleet.run_for(12)
        self.fleet.cut_from_targets([])
        self.fleet.run_for(NOTICED_S)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.owners(), owners)

    def test_keys_are_held_again_after_all_targets_of_one_service_were_silent(self):
        owners = self.owners()
        self.fleet.other_targets = [f"other-{number}" for number in range(6)]
        for target in self.fleet.targets.values():
            target.silent = True
        self.fleet.run_for(12)
        for target in self.fleet.targets.values():
            target.silent = False
        self.fleet.run_for(NOTICED_S)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.owners(), owners)

    def test_keys_are_held_again_after_all_targets_were_silent(self):
        for target in self.fleet.targets.values():
            target.silent = True
        self.fleet.run_for(12)
        for target in self.fleet.targets.values():
            target.silent = False
        self.fleet.run_for(NOTICED_S)
        self.assertEqual(self.fleet.unheld_keys(), [])


if __name__ == "__main__":
    unittest.main()
