"""Tests of moves that share a write to the store."""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.errors import AuthorityLapsed, StoreUnavailable
from persimmonspoke.ids import Instant
from persimmonspoke.internal.ranges.commits import SharedCommits
from persimmonspoke.internal.ranges.planner import whole_move
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.range_fleet import SERVICE, RangeFleet

GATHER_S = 0.06


class TestSharedCommits(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(FakeProcess("h0", "10.0.0.0"))
        self.stored = []
        self.error = None
        self.took_s = 0.1
        self.commits = SharedCommits(self.clock, self.write)

    def write(self, change):
        eventlet.sleep(self.took_s)
        if self.error is not None:
            raise self.error
        self.stored.append(change(()))

    def commit(self, name, gather_s=GATHER_S):
        until = Instant(self.clock.now() + gather_s)
        return eventlet.spawn(
            self.commits.commit, lambda before: (*before, name), until
        )

    # Guards against a charged call to the store for each of many moves.
    def test_changes_that_come_together_are_stored_by_one_write(self):
        tasks = [self.commit(name) for name in "abc"]
        for task in tasks:
            task.wait()
        self.assertEqual([sorted(names) for names in self.stored], [["a", "b", "c"]])
        self.assertEqual((self.commits.writes, self.commits.changes), (1, 3))

    # Guards against a grant before the store has its owner.
    def test_no_change_returns_before_it_is_stored(self):
        tasks = [self.commit(name) for name in "ab"]
        eventlet.sleep(GATHER_S + self.took_s / 2)
        self.assertFalse(any(task.dead for task in tasks))

    def test_a_change_during_a_write_goes_into_the_next_one(self):
        first = self.commit("a")
        eventlet.sleep(GATHER_S + self.took_s / 2)
        second = self.commit("b", 0.0)
        first.wait()
        second.wait()
        self.assertEqual(self.stored, [("a",), ("b",)])

    # Guards against owners that are used although their write has failed.
    def test_all_changes_of_a_failed_write_fail(self):
        self.error = StoreUnavailable("down")
        tasks = [self.commit(name) for name in "ab"]
        for task in tasks:
            with self.assertRaises(StoreUnavailable):
                task.wait()
        self.error = None
        self.commit("c").wait()
        self.assertEqual(self.stored, [("c",)])

    # Guards against moves that wait forever after their leader has stopped.
    def test_the_others_fail_if_the_task_that_writes_is_ended(self):
        first = self.commit("a")
        # Of two tasks that are spawned at one moment either may run first, and write.
        eventlet.sleep(GATHER_S / 4)
        second = self.commit("b")
        eventlet.sleep(GATHER_S / 4)
        first.kill()
        with self.assertRaises(AuthorityLapsed):
            second.wait()


class TestMovesOfAFleet(unittest.TestCase):
    """The real leader moves keys of several targets at once."""

    def setUp(self):
        self.fleet = RangeFleet(hosts=3, targets=8)
        self.addCleanup(self.fleet.stop)
        self.fleet.run_for(4)
        self.keeper = self.fleet.leader().keeper

    def move_four(self):
        for number in range(4):
            entry = self.keeper.ledger.map(SERVICE).owned_by(f"t{number}")[0]
            piece = replace(entry, last=entry.first + 99)
            plan = whole_move(piece, f"t{number + 4}")
            self.keeper.start_move(SERVICE, plan, shares_commit=True)

    def test_four_moves_cost_fewer_writes_than_moves(self):
        before = self.keeper.ledger.commits.writes
        self.move_four()
        self.fleet.run_for(2)
        self.assertEqual(self.keeper.moves, 4)
        self.assertLess(self.keeper.ledger.commits.writes - before, 4)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.fleet.double_holds, [])

    # Guards against keys without an owner after a leader is lost between release and
    # write: its successor goes by the object, in which the former owners stand.
    def test_keys_have_one_holder_after_the_leader_is_lost_during_the_write(self):
        self.move_four()
        self.fleet.run_for(0.03)
        lost = self.fleet.leader()
        lost.kill()
        self.fleet.hosts.remove(lost)
        self.fleet.run_for(8)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.fence_violations(), [])

    # Guards against keys that stay closed when the shared write fails.
    def test_keys_stay_with_their_owners_while_the_store_is_silent(self):
        self.fleet.platform.faults.silent = True
        self.move_four()
        self.fleet.run_for(8)
        self.fleet.platform.faults.silent = False
        self.fleet.run_for(5)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.fleet.double_holds, [])
