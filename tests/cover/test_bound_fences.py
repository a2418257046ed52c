"""A fence goes to one process: that at the other end of its first connection."""

import unittest
from dataclasses import replace

import eventlet

from persimmonspoke.errors import (
    AuthorityLapsed,
    OrderConnectionLost,
    OrderOutcomeUnknown,
    TargetRefusedConnection,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.ranges.connections import (
    MAX_GRANT_CONNECTIONS,
    OrderConnections,
)
from persimmonspoke.internal.ranges.fences import FenceSet
from persimmonspoke.internal.ranges.planner import PlannedMove, whole_move
from persimmonspoke.internal.targets.api import TargetAddress
from tests.fakes import virtual_hub
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.range_fleet import SERVICE, RangeFleet
from tests.fakes.range_targets import (
    SAMPLED_KEYS,
    FakeRangeOrders,
    FakeRangeTarget,
)

SETTLE_S = 3.0
ADDRESS = TargetAddress("t0", "10.1.0.1", 1)


class ReplacedProcessCase(unittest.TestCase):
    """Another process, under a new id, starts where a target has been."""

    def setUp(self):
        self.fleet = RangeFleet(hosts=3)
        self.addCleanup(self.end)
        self.fleet.run_for(SETTLE_S)
        self.leader = self.fleet.leader()

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.fleet.fence_violations()[:3], [])

    def piece_of(self, target_id, count=900):
        """Return the first keys of a target's first range."""
        entry = self.leader.keeper.ledger.map(SERVICE).owned_by(target_id)[0]
        return replace(entry, last=entry.first + count)

    def replace_process(self, target_id):
        """End a target; another one listens at its address at once."""
        self.fleet.targets[target_id].crash()
        self.fleet.start_at_address_of(target_id, f"{target_id}.next")
        return self.fleet.targets[f"{target_id}.next"]


class TestKeysOfProcessesThatAreReplaced(ReplacedProcessCase):
    # Guards against OWNER: a release had used and lost the only connection, so a new
    # one was opened without a failure, and carried the fences of the others.
    def test_have_new_fences_after_a_release_has_lost_the_connection(self):
        target = self.fleet.targets["t0"]
        target.work_s = 0.5
        self.leader.keeper.start_move(SERVICE, whole_move(self.piece_of("t0"), "t1"))
        self.fleet.run_for(0.1)
        found = self.replace_process("t0")
        self.fleet.run_for(1.5)
        self.assertTrue(found.held())

    # Guards against OWNER: a fence that was first sent in a transfer was forgotten
    # while the transfer lasted, and then taken for one of the present process.
    def test_have_new_fences_after_a_transfer_that_lasts(self):
        self.fleet.targets["t2"].silent = True
        piece = self.piece_of("t0")
        middle = piece.first + 400
        shares = (
            (replace(piece, last=middle), "t1"),
            (replace(piece, first=middle + 1), "t2"),
        )
        self.leader.keeper.start_move(SERVICE, PlannedMove(piece, shares))
        self.fleet.run_for(0.15)
        granted = {fence for *_, fence, _ in self.fleet.targets["t1"].acquisitions}
        found = self.replace_process("t1")
        self.fleet.run_for(3)
        self.assertTrue(found.held())
        self.assertFalse(granted & {fence for *_, fence, _ in found.acquisitions})

    # Guards against OWNER: the process changes between two renewals, and its connection
    # is closed in silence.
    def test_have_new_fences_after_a_connection_that_was_closed(self):
        for number in range(4):
            found = self.replace_process(f"t{number}")
            self.fleet.run_for(0.7)
            self.assertTrue(found.held())
        self.assertEqual(self.fleet.unheld_keys(), [])

    def test_a_closed_connection_is_no_failed_order(self):
        fences = self.leader.keeper.ledger.map(SERVICE).owned_by("t0")
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(0.65)
        granter = self.leader.keeper.granters.find(SERVICE, "t0")
        self.assertEqual(granter._failures, 0)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertNotEqual(
            self.leader.keeper.ledger.map(SERVICE).owned_by("t0"), fences
        )


class TestTransfers(ReplacedProcessCase):
    # Guards against OWNER: a grant went on after its transfer had ended, because that
    # to another receiver had been given up.
    def test_end_when_the_grants_to_all_receivers_have(self):
        granters = self.leader.keeper.granters
        piece = self.piece_of("t0")
        middle = piece.first + 400
        shares = (
            (replace(piece, last=middle), "t1"),
            (replace(piece, first=middle + 1), "t2"),
        )
        ended = []

        def lapse(entries):
            raise AuthorityLapsed("not confirmed")

        def take_long(entries):
            eventlet.sleep(0.3)
            ended.append(self.leader.keeper.ledger.transfers_of(SERVICE))

        granters.find(SERVICE, "t1").grant_in_transfer = lapse
        granters.find(SERVICE, "t2").grant_in_transfer = take_long
        self.leader.keeper.start_move(SERVICE, PlannedMove(piece, shares))
        self.fleet.run_for(1)
        self.assertEqual([len(transfers) for transfers in ended], [1])
        self.assertEqual(self.leader.keeper.ledger.transfers_of(SERVICE), [])


class TestFencesOfCalmTargets(ReplacedProcessCase):
    # Guards against renewals that cost a message to all hosts each.
    def test_stay_while_keys_move_and_grants_are_renewed(self):
        for number in range(8):
            self.leader.keeper.start_move(
                SERVICE, whole_move(self.piece_of("t0", 200), f"t{1 + number % 3}")
            )
            self.fleet.run_for(0.2)
        self.fleet.run_for(2)
        ranges = self.leader.keeper.ledger.map(SERVICE).ranges
        opened = self.leader.orders.opened
        self.fleet.run_for(10)
        self.assertEqual(self.leader.keeper.ledger.map(SERVICE).ranges, ranges)
        self.assertEqual(self.leader.orders.opened, opened)

    def test_stay_after_four_grants_in_parallel(self):
        for _ in range(6):
            self.leader.keeper.start_move(
                SERVICE, whole_move(self.piece_of("t1", 200), "t0")
            )
            self.fleet.run_for(0.3)
        # An order without an answer has the others granted in parallel.
        target = self.fleet.targets["t0"]
        target.silent = True
        self.fleet.run_for(0.8)
        target.silent = False
        self.fleet.run_for(2)
        ranges = self.leader.keeper.ledger.map(SERVICE).ranges
        self.fleet.run_for(5)
        self.assertEqual(self.leader.keeper.ledger.map(SERVICE).ranges, ranges)
        self.assertEqual(self.fleet.unheld_keys(), [])


class ConnectionsCase(unittest.TestCase):
    """The connections of one host to one target."""

    def setUp(self):
        self.target = FakeRangeTarget("t0")
        process = FakeProcess("h", "10.0.0.1")
        self.clock = FakeClock(process)
        self.orders = FakeRangeOrders(process, {"t0": self.target})
        self.confirmed = True
        self.unsent = FenceSet(100)
        for fence in range(1, 50):
            self.unsent.add(fence)
        self.all = OrderConnections(
            self.orders, self.clock, self.check_led_at, self.unsent
        )
        self.connections = self.all.to(ADDRESS)

    def check_led_at(self, moment, deadline):
        if not self.confirmed:
            raise AuthorityLapsed("not confirmed")

    def deadline(self, wait_s=1.0):
        return Instant(self.clock.now() + wait_s)

    def grant(self, fence, hold_s=0.0):
        """Grant under a fence if that is allowed; return the connection or None."""
        with self.connections.for_grant(fence, 0.3, self.deadline()) as channel:
            if not channel.may_carry(fence):
                return None
            key = fence * SAMPLED_KEYS.step
            channel.grant(RangeGrant(key, key, fence, 2.5), self.deadline())
            eventlet.sleep(hold_s)
            return channel.conn


class TestOneConnectionForEachFence(ConnectionsCase):
    def test_a_fence_goes_over_one_connection_only(self):
        conn = self.grant(1)
        self.assertIs(self.grant(1), conn)
        conn.close()
        self.assertIsNone(self.grant(1))
        self.assertIsNotNone(self.grant(2))

    def test_a_fence_of_which_nothing_is_known_goes_nowhere(self):
        self.assertIsNone(self.grant(77))

    def test_a_fence_that_is_still_bound_waits_for_its_connection(self):
        first = self.grant(1)
        slow = eventlet.spawn(self.grant, 1, 0.2)
        eventlet.sleep(0.05)
        second = self.grant(2)
        self.assertIsNot(second, first)
        began_at = virtual_hub.now()
        self.assertIs(self.grant(1), first)
        self.assertGreater(virtual_hub.now() - began_at, 0.1)
        slow.wait()

    def test_fences_go_over_few_connections(self):
        tasks = [eventlet.spawn(self.grant, fence, 0.05) for fence in range(1, 20)]
        opened = {id(task.wait()) for task in tasks}
        self.assertEqual(len(opened), MAX_GRANT_CONNECTIONS)
        self.assertEqual(self.orders.opened, MAX_GRANT_CONNECTIONS)

    def test_a_bound_fence_that_is_forgotten_is_not_sent_again(self):
        small = FenceSet(2)
        for fence in (1, 2, 3):
            small.add(fence)
        self.assertEqual([fence in small for fence in (1, 2, 3)], [False, True, True])
        small.add(2)
        small.add(4)
        self.assertEqual([fence in small for fence in (2, 3, 4)], [True, False, True])

    def test_a_failed_order_ends_its_connection_alone(self):
        other = eventlet.spawn(self.grant, 1, 0.1)
        eventlet.sleep(0.02)
        self.grant(2)
        kept = other.wait()
        self.target.silent = True
        with self.assertRaises(OrderOutcomeUnknown):
            self.grant(2)
        self.target.silent = False
        self.assertIsNone(self.grant(2))
        self.assertIs(self.grant(1), kept)

    def test_a_target_that_is_gone_ends_the_attempt(self):
        self.grant(1)
        self.target.crash()
        with self.assertRaises(TargetRefusedConnection):
            self.grant(1)

    def test_a_connection_that_ends_while_it_waits_is_replaced(self):
        slow = eventlet.spawn(self.grant, 1, 0.2)
        eventlet.sleep(0.05)
        waiting = eventlet.spawn(self.grant, 1)
        eventlet.sleep(0.05)
        self.target.restart()
        slow.wait()
        self.assertIsNone(waiting.wait())

    # Guards against a host that stands still: one that waited for a closed connection
    # took it again and again, because another one waited as well.
    def test_several_that_wait_for_a_connection_that_ends_get_others(self):
        slow = eventlet.spawn(self.grant, 1, 0.2)
        eventlet.sleep(0.05)
        waiting = [eventlet.spawn(self.grant, 1) for _ in range(6)]
        eventlet.sleep(0.05)
        self.target.restart()
        slow.wait()
        self.assertEqual([task.wait() for task in waiting], 6 * [None])
        self.assertIsNotNone(self.grant(2))


class TestNewConnections(ConnectionsCase):
    def test_carry_no_grant_before_this_host_is_confirmed(self):
        self.confirmed = False
        with self.assertRaises(AuthorityLapsed):
            self.grant(1)
        self.assertEqual(self.target.holds, {})
        self.confirmed = True
        self.assertIsNotNone(self.grant(1))
        self.assertEqual(self.orders.opened, 1)

    def test_are_confirmed_once(self):
        self.grant(1)
        self.confirmed = False
        self.assertIsNotNone(self.grant(2))


class TestReleases(ConnectionsCase):
    def release(self, fence=40):
        order = RangeRelease(1, 900, fence)
        return self.connections.release(order, self.deadline(2.0))

    def test_hold_up_no_grant(self):
        self.grant(1)
        self.target.work_s = 1.0
        waiting = eventlet.spawn(self.release)
        eventlet.sleep(0.05)
        began_at = virtual_hub.now()
        with self.connections.for_grant(1, 0.3, self.deadline()):
            self.assertLess(virtual_hub.now() - began_at, 0.01)
        waiting.wait()

    def test_need_no_confirmation(self):
        self.confirmed = False
        self.assertIsNotNone(self.release())

    def test_use_one_connection_in_turn_and_open_another_if_it_was_closed(self):
        self.release(40)
        self.release(41)
        self.assertEqual(self.orders.opened, 1)
        self.target.restart()
        self.release(42)
        self.assertEqual(self.orders.opened, 2)

    def test_that_lose_their_connection_say_so(self):
        self.target.work_s = 0.5
        waiting = eventlet.spawn(self.release)
        eventlet.sleep(0.1)
        self.target.restart()
        with self.assertRaises(OrderConnectionLost):
            waiting.wait()


class TestClosing(ConnectionsCase):
    def test_closes_idle_connections_at_once_and_others_after_their_order(self):
        idle = self.grant(1)
        busy = eventlet.spawn(self.grant, 1, 0.2)
        eventlet.sleep(0.05)
        self.all.close()
        self.assertTrue(idle.is_open())
        busy.wait()
        self.assertFalse(idle.is_open())

    def test_closes_the_connections_of_targets_without_orders(self):
        conn = self.grant(1)
        eventlet.sleep(61)
        self.all.to(replace(ADDRESS, target_id="t1"))
        self.assertFalse(conn.is_open())


if __name__ == "__main__":
    unittest.main()
