"""What a leader has begun ends with its epoch, also if it leads in the next one."""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.internal.ranges.planner import PlannedMove, whole_move
from tests.fakes.range_fleet import SERVICE, RangeFleet

SETTLE_S = 3.0
PIECES = 5
KEYS = 1000  # of each piece
SLOW_S = 0.3  # a grant is given up after 0.35 s


class TestGrantsOfAnEndedEpoch(unittest.TestCase):
    def setUp(self):
        self.fleet = RangeFleet(hosts=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.run_for(SETTLE_S)
        self.leader = self.fleet.leader()

    def slow_down(self, target_id):
        """Delay each grant to a target."""
        send = self.leader.orders.grant

        def grant(conn, order, deadline):
            if conn.address.target_id == target_id:
                eventlet.sleep(SLOW_S)
            send(conn, order, deadline)

        self.leader.orders.grant = grant

    def start_move_in_pieces(self, to):
        """Start to move keys in several pieces to one target; return the pieces."""
        ledger = self.leader.keeper.ledger
        source = ledger.map(SERVICE).owned_by("t0")[0]
        firsts = [source.first + KEYS * number for number in range(PIECES)]
        pieces = [replace(source, first=f, last=f + KEYS - 1) for f in firsts]
        whole = replace(source, last=pieces[-1].last)
        plan = PlannedMove(whole, tuple((piece, to) for piece in pieces))
        self.leader.keeper.start_move(SERVICE, plan)
        return pieces

    # Guards against OWNER: the grants of a move went on after the store was restored,
    # and took keys back that had gone to another target in the new epoch.
    def test_do_not_go_on_in_the_next_one(self):
        self.slow_down("t1")
        last = self.start_move_in_pieces("t1")[-1]
        self.fleet.run_for(0.1)
        epoch = self.leader.leadership.epoch
        self.fleet.platform.restore(0.05)
        while self.leader.leadership.epoch == epoch:
            self.fleet.run_for(0.01)
        ranges = self.leader.keeper.ledger.map(SERVICE)
        moved = whole_move(ranges.find(last.first), "t2")
        self.leader.keeper.start_move(SERVICE, moved)
        self.fleet.run_for(4)
        self.assertIs(self.fleet.leader(), self.leader)
        self.assertEqual(self.fleet.double_holds[:3], [])
        owner = self.leader.keeper.ledger.map(SERVICE).find(last.first).owner
        self.assertEqual(owner, "t2")


if __name__ == "__main__":
    unittest.main()
