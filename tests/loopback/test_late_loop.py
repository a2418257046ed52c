"""Tests of what a host takes for evidence when its own event loop is late."""

import socket
import time
import unittest

import eventlet
from eventlet import hubs, patcher
from eventlet.greenthread import GreenThread

from persimmonspoke.errors import TargetRefusedConnection
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import can_connect, connect
from tests.fakes.raw_target import RawTarget, never_answer

CONNECT_S = 0.05
LATE_S = 0.15

stall = patcher.original("time").sleep  # eventlet's sleep would let others run


class TestConnectionsOfALateLoop(unittest.TestCase):
    """Guards against LOST: a busy host takes its targets for lost."""

    def setUp(self):
        self.target = RawTarget(never_answer)
        self.addCleanup(self.target.stop)

    def call_late(self, function, *args):
        """Call a function whose first wait ends later than its timeout.

        The hub looks at sockets and at timers in turn.  The function starts, and the
        loop is held up, while it looks at the sockets, so that the timers come next.
        """
        hub = hubs.get_hub()
        task = GreenThread(hub.greenlet)
        reader, writer = socket.socketpair()

        def start(fileno):
            hub.remove(listener)
            task.switch(function, args, {})
            stall(LATE_S)

        listener = hub.add(hub.READ, reader.fileno(), start, self.fail, lambda: None)
        writer.send(b"x")
        with reader, writer:
            return task.wait()

    def test_one_that_was_accepted_meanwhile_is_open(self):
        address = TargetAddress("t", *self.target.address)
        self.assertTrue(self.call_late(can_connect, address, CONNECT_S))

    def test_one_that_was_accepted_meanwhile_carries_a_request(self):
        conn = self.call_late(connect, *self.target.address, CONNECT_S)
        self.addCleanup(conn.drop)
        conn.request("GET", "/", preload_content=False)
        while not self.target.received:
            eventlet.sleep(0.005)

    def test_one_that_was_refused_meanwhile_is_refused(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = closed.getsockname()
        with self.assertRaises(TargetRefusedConnection):
            self.call_late(connect, *address, CONNECT_S)

    def test_one_that_was_not_accepted_is_not(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            address = full.getsockname()
            waiting = [socket.socket() for _ in range(4)]
            for sock in waiting:
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.connect_ex(address)
            began = time.monotonic()
            target = TargetAddress("t", *address)
            self.assertFalse(self.call_late(can_connect, target, CONNECT_S))
            self.assertLess(time.monotonic() - began, 2.0)


if __name__ == "__main__":
    unittest.main()
