"""Tests of what a host takes for evidence when its own event loop is late."""

import socket
import time
import unittest
from contextlib import suppress
from functools import partial

import eventlet
import zmq
from eventlet import hubs, patcher
from eventlet.greenthread import GreenThread

from persimmonspoke.errors import TargetRefusedConnection
from persimmonspoke.ids import HostId
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.peers.zmq_link import _Connection, _Kind
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import can_connect, connect
from tests.fakes.raw_target import RawTarget, never_answer

CONNECT_S = 0.05
LATE_S = 0.15
PATIENCE_MS = 2000

stall = patcher.original("time").sleep  # eventlet's sleep would let others run
threading = patcher.original("threading")


def call_late(function, *args):
    """Call a function whose first wait ends later than its timeout.

    The hub looks at sockets and at timers in turn.  The function starts, and the loop
    is held up, while it looks at the sockets, so that the timers come next.
    """
    hub = hubs.get_hub()
    task = GreenThread(hub.greenlet)
    reader, writer = socket.socketpair()

    def start(fileno):
        hub.remove(listener)
        task.switch(function, args, {})
        stall(LATE_S)

    listener = hub.add(hub.READ, reader.fileno(), start, task.throw, lambda: None)
    writer.send(b"x")
    with reader, writer:
        return task.wait()


class TestConnectionsOfALateLoop(unittest.TestCase):
    """Guards against LOST: a busy host takes its targets for lost."""

    def setUp(self):
        self.target = RawTarget(never_answer)
        self.addCleanup(self.target.stop)

    def test_one_that_was_accepted_meanwhile_is_open(self):
        address = TargetAddress("t", *self.target.address)
        self.assertTrue(call_late(can_connect, address, CONNECT_S))

    def test_one_that_was_accepted_meanwhile_carries_a_request(self):
        conn = call_late(connect, *self.target.address, CONNECT_S)
        self.addCleanup(conn.drop)
        conn.request("GET", "/", preload_content=False)
        while not self.target.received:
            eventlet.sleep(0.005)

    def test_one_that_was_refused_meanwhile_is_refused(self):
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = closed.getsockname()
        with self.assertRaises(TargetRefusedConnection):
            call_late(connect, *address, CONNECT_S)

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
            self.assertFalse(call_late(can_connect, target, CONNECT_S))
            self.assertLess(time.monotonic() - began, 2.0)


class TestAnswersToALateLoop(unittest.TestCase):
    """Guards against a peer that counts as silent because this host was busy."""

    def test_one_that_has_arrived_from_a_peer_is_no_timeout(self):
        context = zmq.Context()
        self.addCleanup(context.term)
        peer = context.socket(zmq.ROUTER)
        port = peer.bind_to_random_port("tcp://127.0.0.1")
        sock = context.socket(zmq.DEALER)
        sock.connect(f"tcp://127.0.0.1:{port}")
        conn = _Connection(sock, SystemClock())
        self.addCleanup(conn.message_socket.close)
        peer.rcvtimeo = PATIENCE_MS
        answers = threading.Thread(target=answer_calls, args=(peer, 2))
        answers.start()
        self.addCleanup(answers.join)
        call = partial(conn.exchange, HostId("b"), _Kind.CALL, b"")
        self.assertEqual(call(PATIENCE_MS / 1000)[1], b"ok")
        self.assertEqual(call_late(call, CONNECT_S)[1], b"ok")


def answer_calls(peer, count):
    """Answer some calls in a thread of the system, and close the socket."""
    with suppress(zmq.Again), peer:
        for _ in range(count):
            sender, number, host_id, _, _ = peer.recv_multipart()
            kind = _Kind.ANSWER.value
            peer.send_multipart([sender, number, host_id, kind, b"ok"])


if __name__ == "__main__":
    unittest.main()
