"""Tests of the link between daemons over real sockets."""

import unittest
from dataclasses import dataclass

import eventlet

from persimmonspoke.errors import OutcomeUnknown, PeerRefused, PeerTimeout
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.peers.api import Liveness, PeerAddress
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.peers.zmq_link import ZmqLink

LONG_TIMEOUT_S = 30


@message
@dataclass(frozen=True, slots=True)
class Echo:
    text: str


class TestZmqLink(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        self.a = ZmqLink(PeerAddress(HostId("a"), "127.0.0.1", 0), self.clock)
        self.b = ZmqLink(PeerAddress(HostId("b"), "127.0.0.1", 0), self.clock)
        self.open = [self.a, self.b]

    def tearDown(self):
        for link in self.open:
            link.close()

    def deadline(self, left_s=LONG_TIMEOUT_S):
        return Instant(self.clock.now() + left_s)

    def test_a_call_returns_the_handlers_answer(self):
        self.b.serve(Echo, lambda msg: Echo(msg.text.upper()))
        answer = self.a.call(self.b.address, Echo("x"), self.deadline())
        self.assertEqual(answer, Echo("X"))

    def test_crossed_answers_reach_their_own_calls(self):
        def answer(msg):
            eventlet.sleep(0.02 if msg.text == "slow" else 0)
            return msg

        self.b.serve(Echo, answer)
        calls = [
            eventlet.spawn(self.a.call, self.b.address, Echo(text), self.deadline())
            for text in ("slow", "fast")
        ]
        self.assertEqual([c.wait().text for c in calls], ["slow", "fast"])

    def test_a_failure_of_the_handler_is_a_refusal(self):
        def fail(msg):
            raise OutcomeUnknown("why")

        self.b.serve(Echo, fail)
        with self.assertRaisesRegex(PeerRefused, "OutcomeUnknown: why"):
            self.a.call(self.b.address, Echo("x"), self.deadline())

    def test_a_port_in_use_is_an_operating_system_error(self):
        taken = PeerAddress(HostId("c"), "127.0.0.1", self.b.address.port)
        with self.assertRaises(OSError):
            ZmqLink(taken, self.clock)

    def test_an_answer_of_an_unknown_kind_leaves_the_connection_usable(self):
        self.b.serve(Echo, lambda msg: msg)
        me = self.b.address.host_id.encode()

        def answer_twice(sender, number, receiver, kind, body):
            self.b._message_socket.send([sender, number, me, b"?", b""])
            answer(sender, number, receiver, kind, body)

        answer, self.b._answer = self.b._answer, answer_twice
        for text in ("x", "y"):
            found = self.a.call(self.b.address, Echo(text), self.deadline(2))
            self.assertEqual(found, Echo(text))

    def test_a_message_for_an_earlier_run_is_not_answered(self):
        self.b.serve(Echo, lambda msg: msg)
        earlier = PeerAddress(HostId("b-earlier"), "127.0.0.1", self.b.address.port)
        with self.assertRaises(PeerTimeout):
            self.a.call(earlier, Echo("x"), self.deadline(0.05))

    def test_a_probe_tells_answering_dead_and_replaced_runs_apart(self):
        address = self.b.address
        earlier = PeerAddress(HostId("b-earlier"), "127.0.0.1", address.port)
        self.assertIs(self.a.probe(address, self.deadline()), Liveness.ANSWERS)
        self.assertIs(self.a.probe(earlier, self.deadline()), Liveness.DEAD)
        self.b.close()
        self.open.remove(self.b)
        self.assertIs(self.a.probe(address, self.deadline()), Liveness.DEAD)
