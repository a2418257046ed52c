"""A write of the ownership lasts while the leader or its copy of the ranges changes.

The store may be slow, silent for some machines, or lose answers; a call then lasts as
long as its timeout, which is longer than a change of the leader takes.
"""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.internal.ranges.planner import whole_move
from persimmonspoke.internal.ranges.record import OWNERSHIP_KEY, decode
from tests.cover.test_succession import SuccessionCase
from tests.fakes.range_fleet import SERVICE

JUST_WRITTEN_S = 0.02
LED_AGAIN_S = (
    0.6  # from then until the write below; the first leader is back soon after
)
OVER_S = 3.0  # until the write has ended, and two rounds of renewals


class TestWritesOfAnEarlierEpoch(SuccessionCase):
    """A host leads again while it still waits for a write of its earlier epoch."""

    def setUp(self):
        super().setUp()
        self.first = self.fleet.leader()
        self.second = next(h for h in self.fleet.hosts if h is not self.first)
        confirmations = self.first.leadership._confirmations
        while self.first.clock.now() - confirmations.written_at > JUST_WRITTEN_S:
            self.fleet.run_for(0.01)

    def lead_in_between(self):
        """Let another host lead, move keys of t0 to t1, and stop by plan."""
        self.take_over(self.second)
        self.fleet.run_for(0.1)
        keeper = self.second.keeper
        owned = keeper.ledger.map(SERVICE).owned_by("t0")[0]
        piece = replace(owned, last=owned.first + 900)
        keeper.start_move(SERVICE, whole_move(piece, "t1"))
        self.fleet.run_for(0.1)
        self.assertEqual(keeper.ledger.map(SERVICE).find(piece.first).owner, "t1")
        for host in self.fleet.hosts:
            if host is not self.first:
                host.leadership.may_lead = lambda: False
        self.end_leadership(self.second, "resigns")

    def take_over(self, host):
        stored = self.fleet.platform.get(OWNERSHIP_KEY)
        host.leadership._take_over(decode(stored.value), stored.version)

    def assert_owners_stay(self):
        self.assertIs(self.successor_of(self.second), self.first)
        epoch = self.first.leadership.epoch
        self.fleet.run_for(OVER_S)
        stored = decode(self.fleet.platform.get(OWNERSHIP_KEY).value)
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(stored.services[SERVICE].find(0).owner, "t1")
        self.assertEqual((stored.epoch, self.first.leadership.epoch), (epoch, epoch))
        self.assertTrue(self.first.leadership.may_order())

    # Guards against OWNER: a write without an answer was repeated in the next epoch of
    # its host, and put back the owners of the earlier one.
    def test_are_not_repeated_in_the_later_one(self):
        self.fleet.run_for(LED_AGAIN_S)
        self.first.store.faults.silent = True
        eventlet.spawn(self.first.leadership._confirm)
        self.fleet.run_for(0.05)
        self.first.store.faults.silent = False
        self.lead_in_between()
        self.assert_owners_stay()

    # Guards against a leader that stops for over a second: the late answer to a write
    # put back its content and version, so the next write found another writer.
    def test_change_nothing_if_their_answers_come_in_the_later_one(self):
        self.fleet.run_for(LED_AGAIN_S - 0.5)
        self.first.store.faults.extra_s = 0.98
        eventlet.spawn(self.first.leadership._confirm)
        self.fleet.run_for(0.51)  # the store has executed it by then
        self.first.store.faults.extra_s = 0.0
        self.lead_in_between()
        self.assert_owners_stay()


class TestGrantsOfAnEarlierEpoch(SuccessionCase):
    """A host leads again while a grant of its earlier epoch waits for an answer."""

    # Guards against OWNER: the second attempt of a move's grant went on in the next
    # epoch of its host, under a new fence and past the owner that the key had by then.
    def test_are_not_repeated_in_the_later_one(self):
        first = self.fleet.leader()
        second = next(h for h in self.fleet.hosts if h is not first)
        owned = first.keeper.ledger.map(SERVICE).owned_by("t0")[0]
        piece = replace(owned, last=owned.first + 900)
        target = self.fleet.targets["t1"]
        target.late_s = 2.0
        self.start_move(first, piece, "t1")
        self.fleet.run_for(0.03)
        self.assertEqual(self.owner_of(first, piece), "t1")
        target.late_s = 0.0
        self.take_over(second)
        self.fleet.run_for(0.06)
        self.start_move(second, piece, "t2")
        self.fleet.run_for(0.06)
        self.assertEqual(self.owner_of(second, piece), "t2")
        second.leadership.step_aside("test")
        self.take_over(first)
        self.fleet.run_for(3)
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.owner_of(first, piece), "t2")

    def take_over(self, host):
        stored = self.fleet.platform.get(OWNERSHIP_KEY)
        host.leadership._take_over(decode(stored.value), stored.version)

    def start_move(self, host, piece, target_id):
        found = host.keeper.ledger.map(SERVICE).find(piece.first)
        moved = replace(piece, owner=found.owner, fence=found.fence)
        host.keeper.start_move(SERVICE, whole_move(moved, target_id))

    def owner_of(self, host, piece):
        return host.keeper.ledger.map(SERVICE).find(piece.first).owner


class TestLocalChanges(SuccessionCase):
    """Fences and combined ranges change in the leader's copy, between its writes."""

    # Guards against OWNER: the end of a write undid the combination of two ranges. The
    # one beside the transfer was no longer protected by it, and went to another target
    # while the first one was granted both again.
    def test_stay_when_a_write_ends_that_began_before_them(self):
        leader = self.fleet.leader()
        ranges = leader.keeper.ledger.map(SERVICE)
        before, beside = (ranges.owned_by(name)[0] for name in ("t0", "t1"))
        self.assertEqual(before.last + 1, beside.first)
        piece = replace(before, first=before.last - 900)
        leader.store.faults.extra_s = 0.004
        self.lose_first_grant_of(leader, piece.first, beside.last)
        leader.keeper.start_move(SERVICE, whole_move(piece, "t1"))
        self.fleet.run_for(0.007)
        # This write waits for that of the move, and begins as soon as it has ended.
        eventlet.spawn(leader.leadership._confirm)
        self.fleet.run_for(3)
        self.assertEqual(self.lost, 1)
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.fleet.unheld_keys(), [])

    def lose_first_grant_of(self, leader, first, last):
        """Lose the answer to one grant; let the target's entry lapse and return."""
        self.lost = 0
        target, grant = self.fleet.targets["t1"], leader.orders.grant

        def lose_and_grant(conn, order, deadline):
            if (order.first, order.last) == (first, last) and not self.lost:
                self.lost += 1
                target.late_s = 2.0
                eventlet.spawn_after(0.01, setattr, target, "late_s", 0.0)
                eventlet.spawn_after(0.05, self.lapse, "t1")
            grant(conn, order, deadline)

        leader.orders.grant = lose_and_grant

    def lapse(self, target_id):
        found = self.fleet.records.pop(target_id)
        self.fleet.run_for(0.2)
        self.fleet.records[target_id] = found


if __name__ == "__main__":
    unittest.main()
