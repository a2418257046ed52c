"""Tests of the client for orders to targets over real sockets."""

import json
import unittest

import eventlet

from persimmonspoke.errors import (
    OrderOutcomeUnknown,
    TargetFenced,
    TargetRefusedConnection,
)
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.targets.api import (
    GrantedShard,
    GrantOrder,
    ReleaseOrder,
    TargetAddress,
)
from persimmonspoke.internal.targets.http_orders import HttpTargetOrders
from persimmonspoke.internal.targets.settings import TargetSettings
from tests.fakes.raw_target import RawTarget, answer_with, in_sequence, never_answer

GRANT = GrantOrder("t", "s", 2, 9, (GrantedShard(5, 8),), 12.5)
RELEASE = ReleaseOrder("t", "s", 2, 9, (5,))
CLOCK_ANSWER = answer_with(body=b'{"clock": 12.25}')


class TestHttpOrders(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        self.orders = HttpTargetOrders(TargetSettings(), self.clock)

    def target(self, *scripts):
        target = RawTarget(*scripts)
        self.addCleanup(target.stop)
        return target

    def grant(self, target, wait_s=20.0):
        address = TargetAddress("x", *target.address)
        return self.orders.grant(address, GRANT, self.clock.now() + wait_s)

    def test_a_grant_sends_all_fields_and_returns_the_clock(self):
        target = self.target(in_sequence(CLOCK_ANSWER))
        self.assertEqual(self.grant(target).clock, 12.25)
        received = target.received[0]
        self.assertEqual(received.line, "POST /orders/grant HTTP/1.1")
        expected = {
            "team": "t",
            "service": "s",
            "page": 2,
            "fence": 9,
            "shards": [{"shard": 5, "epoch": 8}],
            "not_after": 12.5,
        }
        self.assertEqual(json.loads(received.body), expected)

    def test_a_release_goes_to_its_own_path_on_the_same_connection(self):
        target = self.target(in_sequence(CLOCK_ANSWER))
        self.grant(target)
        address = TargetAddress("x", *target.address)
        self.orders.release(address, RELEASE, self.clock.now() + 20.0)
        self.assertEqual(target.received[1].line, "POST /orders/release HTTP/1.1")
        self.assertEqual(target.connections, 1)

    def test_a_409_raises_fenced(self):
        target = self.target(
            in_sequence(answer_with(status="409 Conflict", body=b"{}"))
        )
        with self.assertRaises(TargetFenced):
            self.grant(target)

    def test_malformed_answers_leave_the_outcome_unknown(self):
        for fields in (
            {"body": b"{}"},
            {"body": b"[]"},
            {"body": b"not json"},
            {"body": b'{"clock": true}'},
            {"status": "500 Internal Server Error"},
            {"body": b'{"clock": 1', "length": 20},
        ):

            def script(conn, fields=fields):
                conn.answer(conn.receive(), **fields)
                conn.sock.shutdown(2)

            with self.subTest(fields), self.assertRaises(OrderOutcomeUnknown):
                self.grant(self.target(script))

    def test_a_missing_answer_leaves_the_outcome_unknown_and_closes_the_connection(
        self,
    ):
        target = self.target(never_answer, in_sequence(CLOCK_ANSWER))
        with self.assertRaises(OrderOutcomeUnknown):
            self.grant(target, wait_s=0.1)
        self.assertEqual(self.grant(target).clock, 12.25)
        self.assertEqual(target.connections, 2)

    def test_a_stopped_target_refuses_the_connection(self):
        target = self.target(in_sequence(CLOCK_ANSWER))
        self.grant(target)
        target.stop()
        eventlet.sleep(0.01)
        with self.assertRaises(TargetRefusedConnection):
            self.grant(target)
