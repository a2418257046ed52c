"""The connections for orders to a target that starts again, over real sockets."""

import contextlib
import json
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket

from persimmonspoke.errors import (
    OrderConnectionLost,
    TargetError,
    TargetRefusedConnection,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.ranges import connections as connections_module
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.ranges.connections import (
    MAX_GRANT_CONNECTIONS,
    OrderConnections,
)
from persimmonspoke.internal.ranges.fences import FenceSet
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.platform.orders import HttpRangeOrders

NOTICED_S = 0.05  # until the kernel has told this end of a closed connection


class RestartingTarget:
    """Processes that listen at one address, one after the other.

    Attributes
    ----------
    seen : list of (int, str, int)
        Number of the process, path and fence of each order that was read.
    accepted : int
        Connections that were accepted.
    """

    def __init__(self):
        self.seen = []
        self.accepted = 0
        self.life = 0
        self.work_s = 0.0
        self.port = 0
        self._listener = None
        self.start()

    def start(self):
        """Start the next process at the same address."""
        self.life += 1
        self._listener = eventlet.listen(("127.0.0.1", self.port), reuse_addr=True)
        self.port = self._listener.getsockname()[1]
        self._socks = []
        self._tasks = [eventlet.spawn(self._accept, self._listener)]

    def stop(self):
        """End the process, and with it its connections."""
        for task in self._tasks:
            task.kill()
        for sock in self._socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self._listener.close()

    def restart(self):
        """End the process and start the next one."""
        self.stop()
        self.start()
        eventlet.sleep(NOTICED_S)

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            self.accepted += 1
            self._socks.append(sock)
            self._tasks.append(eventlet.spawn(self._serve, sock, self.life))

    def _serve(self, sock, life):
        stream = sock.makefile("rb")
        while line := stream.readline():
            path, length = line.split()[1].decode(), 0
            while (field := stream.readline()) not in (b"\r\n", b""):
                name, _, value = field.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            order = json.loads(stream.read(length))
            self.seen.append((life, path, order["fence"]))
            eventlet.sleep(self.work_s)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class TestRestartingTargets(unittest.TestCase):
    """Whatever opens a connection, and why: no fence reaches two processes."""

    def setUp(self):
        self.target = RestartingTarget()
        self.addCleanup(self.target.stop)
        self.clock = SystemClock()
        self.unsent = FenceSet(1000)
        for fence in range(1, 500):
            self.unsent.add(fence)
        self.all = OrderConnections(
            HttpRangeOrders(self.clock),
            self.clock,
            lambda moment, deadline: None,
            self.unsent,
        )
        self.addCleanup(self.all.close)
        self.connections = self.all.to(self.address("t"))

    def tearDown(self):
        lives = {}
        for life, path, fence in self.target.seen:
            if path == "/grant":
                lives.setdefault(fence, set()).add(life)
        self.assertEqual([f for f, found in lives.items() if len(found) > 1], [])

    def address(self, target_id):
        return TargetAddress(target_id, "127.0.0.1", self.target.port)

    def deadline(self, wait_s=2.0):
        return Instant(self.clock.now() + wait_s)

    def grant(self, fence, connections=None):
        """Grant under a fence; return False if another process may have had it."""
        found = connections or self.connections
        with found.for_grant(fence, 0.5, self.deadline()) as channel:
            if not channel.may_carry(fence):
                return False
            channel.grant(RangeGrant(1, 5, fence, 2.5), self.deadline())
        return True

    def test_renewals_use_one_connection(self):
        for _ in range(20):
            self.assertTrue(self.grant(1))
        self.assertEqual(self.target.accepted, 1)

    def test_a_connection_that_is_closed_unannounced_is_replaced(self):
        self.grant(1)
        self.target.restart()
        self.assertFalse(self.grant(1))
        self.assertTrue(self.grant(2))

    def test_grants_in_parallel_keep_their_fences_at_the_next_renewal(self):
        self.target.work_s = 0.02
        for _ in range(3):
            tasks = [eventlet.spawn(self.grant, fence) for fence in range(1, 13)]
            self.assertTrue(all(task.wait() for task in tasks))
        self.assertEqual(self.target.accepted, MAX_GRANT_CONNECTIONS)
        self.target.restart()
        tasks = [eventlet.spawn(self.grant, fence) for fence in range(1, 13)]
        self.assertFalse(any(task.wait() for task in tasks))

    # Guards against OWNER: the next grants used a new connection without a failure.
    def test_a_release_that_loses_its_connection_leaves_no_fence_in_use(self):
        self.grant(1)
        self.target.work_s = 1.0
        release = eventlet.spawn(
            self.connections.release, RangeRelease(1, 5, 9), self.deadline()
        )
        eventlet.sleep(0.1)
        self.target.work_s = 0.0
        self.target.restart()
        with self.assertRaises(OrderConnectionLost):
            release.wait()
        self.assertFalse(self.grant(1))

    def test_so_does_one_that_opens_the_next_connection(self):
        self.grant(1)
        self.target.restart()
        self.connections.release(RangeRelease(1, 5, 9), self.deadline())
        self.assertFalse(self.grant(1))

    def test_a_target_that_is_gone_is_a_failure(self):
        self.grant(1)
        self.target.stop()
        eventlet.sleep(NOTICED_S)
        with self.assertRaises(TargetRefusedConnection):
            self.grant(1)

    # Guards against OWNER: a lost connection that nobody noticed, since a new target at
    # the same address had opened another one.
    def test_targets_at_one_address_do_not_share_connections(self):
        other = self.all.to(self.address("u"))
        self.grant(1)
        self.target.restart()
        self.assertTrue(self.grant(2, other))
        self.assertFalse(self.grant(1))
        eventlet.sleep(NOTICED_S)
        self.assertEqual(self.target.accepted, 3)

    # Guards against open files without end: each start of a target has a new id.
    def test_connections_to_targets_that_get_no_more_orders_are_closed(self):
        with mock.patch.object(connections_module, "MAX_IDLE_S", 0.05):
            self.all = OrderConnections(
                HttpRangeOrders(self.clock), self.clock, lambda *_: None, self.unsent
            )
            self.grant(1, self.all.to(self.address("t")))
            eventlet.sleep(0.1)
            self.grant(2, self.all.to(self.address("u")))
        self.assertEqual(list(self.all._by_address), [self.address("u")])

    # Guards against OWNER: a leader that stood still after it had read its clock sent
    # an order later than its record of when the hold ends allows for.
    def test_an_order_is_not_sent_after_its_deadline(self):
        conn = HttpRangeOrders(self.clock).connect(self.address("t"), self.deadline())
        self.addCleanup(conn.close)
        with self.assertRaises(TargetError):
            conn.grant(RangeGrant(1, 5, 1, 2.5), self.deadline(-0.1))
        eventlet.sleep(NOTICED_S)
        self.assertEqual(self.target.seen, [])

    # Guards against a loop that opens connections without end.
    def test_a_target_that_closes_each_new_connection_ends_the_attempt(self):
        self.target.stop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.target.port))
        listener.listen()
        accepted = []

        def close_all():
            while True:
                sock, _ = listener.accept()
                accepted.append(sock)
                sock.close()

        task = eventlet.spawn(close_all)
        self.addCleanup(listener.close)
        self.addCleanup(task.kill)
        with self.assertRaises(OrderConnectionLost):
            self.grant(1)
        eventlet.sleep(NOTICED_S)
        self.assertEqual(len(accepted), 1)


if __name__ == "__main__":
    unittest.main()
