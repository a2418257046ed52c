"""Leaders while the store serves some hosts only, and hosts don't all hear each other.

The store may turn some machines away while it serves the others, and single machines
may be cut off; each by itself leaves all hosts with one leader.
"""

import unittest

from persimmonspoke.internal.ranges.planner import whole_move
from tests.cover.test_succession import SuccessionCase
from tests.fakes.range_fleet import SERVICE

REACHED_S = 1.0  # from a takeover until all targets know the fences of the new leader
GRANTED_S = 2.0  # enough for three rounds of renewals


class PartialCutCase(SuccessionCase):
    """A leader without the store that some of the other hosts confirm."""

    def setUp(self):
        super().setUp()
        self.first = self.fleet.leader()
        self.others = [host for host in self.fleet.hosts if host is not self.first]

    def turn_away(self, hosts):
        """Let the store answer none of `hosts`."""
        for host in hosts:
            host.store.faults.silent = True

    def cut(self, hosts, both=True):
        """Cut the paths from `hosts` to all other hosts, and back if `both`."""
        rest = [host for host in self.fleet.hosts if host not in hosts]
        self.fleet.network.cut(
            {host.process.machine for host in hosts},
            {host.process.machine for host in rest},
            both,
        )

    def move_and_restart(self, leader):
        """Let a leader move all keys of t0 to t1, and restart t0."""
        self.fleet.run_for(REACHED_S)
        self.assertTrue(leader.leadership.may_order())
        piece = leader.keeper.ledger.map(SERVICE).owned_by("t0")[0]
        leader.keeper.start_move(SERVICE, whole_move(piece, "t1"))
        self.fleet.run_for(0.3)
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(GRANTED_S)

    def assert_one_holder(self):
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.fleet.fence_violations()[:3], [])


class TestSuccessorsThatNobodyHears(PartialCutCase):
    """One host reaches the store and no other; all others reach only each other."""

    hosts = 5

    # Guards against OWNER: hosts that had not heard of the next leader confirmed the
    # one before, which then granted moved keys to a target without memory.
    def test_the_leader_before_grants_nothing_to_a_target_that_restarts(self):
        last = self.others[-1]
        self.turn_away([host for host in self.fleet.hosts if host is not last])
        self.cut([last])
        self.move_and_restart(self.successor_of(self.first))
        self.assertTrue(self.first.leadership.may_order())
        self.assert_one_holder()


if __name__ == "__main__":
    unittest.main()
