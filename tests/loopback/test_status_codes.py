"""Tests of answers whose status is not three digits from 100 to 599.

Guard against codes that mean nothing to callers, or something else than to this host:
the library reads ``+200`` and ``2_00`` as 200, and takes 600 and 999 for final answers.
"""

import eventlet

from persimmonspoke.errors import AnswerLost, OrderConnectionLost, OrderOutcomeUnknown
from persimmonspoke.ids import Instant
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.ranges.api import RangeGrant
from persimmonspoke.internal.targets.api import GrantOrder, TargetAddress
from persimmonspoke.internal.targets.connections import TargetPools
from persimmonspoke.internal.targets.http_orders import HttpTargetOrders
from persimmonspoke.internal.targets.http_requests import HttpTargetRequests
from persimmonspoke.internal.targets.request_api import ForwardedFields, TargetRequest
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.platform import forwarded, headers
from persimmonspoke.platform.orders import HttpRangeOrders
from tests.loopback.test_unframed_answers import HEAD, AnswerCase

UNREADABLE = (
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 99 Short",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 0200 Long",
    "HTTP/1.1 +200 Signed",
    "HTTP/1.1 -200 Signed",
    "HTTP/1.1 2_00 Split",
    "HTTP/1.1 2 00 Split",
    "HTTP/1.1 200.0 Fraction",
    "HTTP/1.1 20\N{SUPERSCRIPT TWO} No digit",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/2.0 200 OK",
    "HTTP/1.x 200 OK",
    "HTTP/1 200 OK",
    "200 OK",
)
BODY = b'{"clock": 1}'
READABLE = ("HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Last")


def head(line):
    """Return the head of an answer to request r1 that begins with `line`."""
    fields = HEAD.format(id="r1").partition("\r\n")[2]
    return f"{line}\r\n{fields}Content-Length: {len(BODY)}\r\n\r\n".encode("latin-1")


def answering(line):
    """Return a script that answers all requests with a status line."""

    def script(conn):
        while True:
            conn.receive()
            conn.sock.sendall(head(line) + BODY)

    return script


def silent(conn):
    """Answer the first request, then none; a script."""
    conn.receive()
    conn.sock.sendall(head("HTTP/1.1 200 OK").replace(b"r1", b"r0") + BODY)
    conn.receive()
    eventlet.sleep(60)


class TestStatusCodes(AnswerCase):
    def test_readable_ones_are_passed_on(self):
        for line in READABLE:
            with self.subTest(line):
                self.assertEqual(self.ask(self.target(answering(line))), BODY)

    def test_others_are_lost_answers_on_the_first_send(self):
        for line in UNREADABLE:
            with self.subTest(line), self.assertRaises(AnswerLost):
                self.ask(self.target(answering(line)))

    def test_interim_answers_without_end_are_a_lost_answer(self):
        def script(conn):
            conn.receive()
            while True:
                conn.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 64)

        with self.assertRaises(AnswerLost):
            self.ask(self.target(script))

    def test_an_interim_answer_that_can_not_be_read_is_a_lost_answer(self):
        def script(conn):
            conn.receive()
            interim = b"HTTP/1.1 +100 Continue\r\n\r\n"
            conn.sock.sendall(interim + head("HTTP/1.1 200 OK") + BODY)

        with self.assertRaises(AnswerLost):
            self.ask(self.target(script))


class TestStatusCodesOfSecondSends(AnswerCase):
    def setUp(self):
        super().setUp()
        cfg = TargetSettings(proved_alive_s=0.01, silence_share=0.05)
        pools = TargetPools(cfg, self.clock, lambda target: 4)
        self.client = HttpTargetRequests(pools, self.clock, headers)

    def send_twice(self, line):
        """Return the answer to a request whose first exchange gets none."""
        target = self.target(silent, answering(line))
        self.ask(target, "r0")
        eventlet.sleep(0.02)
        req = TargetRequest(
            method="GET",
            path="/a/",
            headers=(),
            body=b"",
            deadline=Instant(self.clock.now() + 1.0),
            request_id="r1",
            protected=False,
            target_id=target.target_id,
        )
        return b"".join(self.client.send(target, req).chunks())

    def test_others_are_lost_answers_on_the_second_send(self):
        self.assertEqual(self.send_twice("HTTP/1.1 200 OK"), BODY)
        for line in ("HTTP/1.1 600 High", "HTTP/1.1 +200 Signed", "HTTP/1.1 2_00 S"):
            with self.subTest(line), self.assertRaises(AnswerLost):
                self.send_twice(line)


class TestStatusCodesOfForwardedRequests(AnswerCase):
    def forward(self, line):
        pools = TargetPools(TargetSettings(), self.clock, lambda target: 4)
        client = HttpTargetRequests(pools, self.clock, forwarded)
        target: TargetConfig = self.target(answering(line))
        req = TargetRequest(
            method="GET",
            path="/a/",
            headers=(),
            body=b"",
            deadline=Instant(self.clock.now() + 1.0),
            request_id="r1",
            protected=False,
            forwarded=ForwardedFields("host-1"),
        )
        return b"".join(client.send(target, req).chunks())

    def test_others_are_lost_answers_of_the_other_host(self):
        self.assertEqual(self.forward("HTTP/1.1 200 OK"), BODY)
        for line in UNREADABLE:
            with self.subTest(line), self.assertRaises(AnswerLost):
                self.forward(line)


class TestStatusCodesOfOrders(AnswerCase):
    """An unreadable status must not count as the answer that an order was obeyed."""

    def test_others_are_lost_answers_to_orders_about_ranges(self):
        for line in UNREADABLE:
            found = self.target(answering(line))
            address = TargetAddress(found.target_id, found.ip, found.port)
            orders = HttpRangeOrders(self.clock)
            deadline = Instant(self.clock.now() + 1.0)
            with (
                self.subTest(line),
                self.assertRaises((OrderConnectionLost, OrderOutcomeUnknown)),
            ):
                conn = orders.connect(address, deadline)
                conn.grant(RangeGrant(0, 9, 1, 1.0), deadline)

    def test_others_are_lost_answers_to_orders_about_shards(self):
        for line in UNREADABLE:
            found = self.target(answering(line))
            address = TargetAddress(found.target_id, found.ip, found.port)
            orders = HttpTargetOrders(TargetSettings(), self.clock)
            deadline = Instant(self.clock.now() + 1.0)
            order = GrantOrder("t", "s", 0, 1, (), 1.0)
            with self.subTest(line), self.assertRaises(OrderOutcomeUnknown):
                orders.grant(address, order, deadline)
