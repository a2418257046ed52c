"""Which process executes an order: target processes on real sockets."""

import pathlib
import tempfile
import unittest

import eventlet

from persimmonspoke.errors import OrderConnectionLost, OrderOutcomeUnknown
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.ranges.api import RangeGrant
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.platform.orders import HttpRangeOrders
from tests.fakes.socket_fleet import SocketFleet, TargetProcess, now

ANSWERED_S = 2.0
UNANSWERED_S = 0.1
EXECUTED_S = 0.3  # after a process was resumed
WAIT_S = 30.0  # the keys go to others after 4 s
SETTLE_S = 1.0


class TestOrdersToPausedProcesses(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.clock = SystemClock()
        self.orders = HttpRangeOrders(self.clock)
        self.target = self.start()
        self.target.pause()

    def start(self, port=0):
        """Start a target process."""
        log_path = self.folder / f"{port}.log"
        process = TargetProcess("t", "stock", port, log_path)
        self.addCleanup(process.kill)
        return process

    def connect(self):
        """Open a connection, which the paused process does not accept."""
        address = TargetAddress("t", "127.0.0.1", self.target.port)
        conn = self.orders.connect(address, self.deadline(ANSWERED_S))
        self.addCleanup(conn.close)
        return conn

    def deadline(self, wait_s):
        return Instant(self.clock.now() + wait_s)

    def send(self, conn, wait_s):
        """Send a grant."""
        conn.grant(RangeGrant(0, 9, 2, 2.5), self.deadline(wait_s))

    # Guards against OWNER: a fence reaches a process that started after the connection
    # was opened, and for which nobody has confirmed the leader.
    def test_a_connection_in_the_backlog_does_not_reach_the_next_process(self):
        conn = self.connect()
        self.target.kill()
        found = self.start(self.target.port)
        with self.assertRaises(OrderConnectionLost):
            self.send(conn, ANSWERED_S)
        self.assertEqual(found.rows("grant"), [])

    # Guards against OWNER: the same for an order whose answer is awaited.
    def test_nor_does_an_order_in_the_backlog(self):
        conn = self.connect()
        sent = eventlet.spawn(self.send, conn, ANSWERED_S)
        eventlet.sleep(UNANSWERED_S)
        self.target.kill()
        found = self.start(self.target.port)
        with self.assertRaises(OrderConnectionLost):
            sent.wait()
        self.assertEqual(found.rows("grant"), [])

    # Guards against the belief that a reset withdraws an order: what the kernel of the
    # target has received is executed once the process runs again.
    def test_an_order_that_was_given_up_may_be_executed_later(self):
        conn = self.connect()
        with self.assertRaises(OrderOutcomeUnknown):
            self.send(conn, UNANSWERED_S)
        self.assertFalse(conn.is_open())
        self.target.resume()
        eventlet.sleep(EXECUTED_S)
        self.assertEqual([row["fence"] for row in self.target.rows("grant")], [2])


class TestKeysOfPausedProcesses(unittest.TestCase):
    # Guards against OWNER: grants that were given up are executed when the target runs
    # again, and the release that was sent after them is not.
    def test_are_released_after_the_pause(self):
        fleet = SocketFleet()
        self.addCleanup(fleet.stop)
        targets = [fleet.start_process(f"t{number}") for number in range(3)]
        for process in targets:
            fleet.publish(process)
        fleet.wait_until_held()
        eventlet.sleep(SETTLE_S)
        targets[0].pause()
        ledger = fleet.leader().keeper.ledger
        self.wait_until(lambda: not ledger.map("stock").owned_by("t0"))
        targets[0].resume()
        self.wait_until(lambda: self.released_last(targets[0]))

    def wait_until(self, is_true):
        """Wait until a condition holds; fail after some time."""
        until = now() + WAIT_S
        while not is_true():
            self.assertLess(now(), until)
            eventlet.sleep(0.05)

    def released_last(self, process):
        """Return whether a release has a higher fence than all grants."""
        rows = process.rows("grant", "release")
        granted = [row["fence"] for row in rows if row["event"] == "grant"]
        # Probes release a single key.
        wide = [r for r in rows if r["event"] == "release" and r["from"] < r["to"]]
        return max((row["fence"] for row in wide), default=0) > max(granted)


if __name__ == "__main__":
    unittest.main()
