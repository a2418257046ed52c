"""Tests of answers without a length, duplicate answers and unexpected bytes."""

import contextlib
import socket
import struct
import unittest

import eventlet

from persimmonspoke.errors import AnswerLost, TargetFenced, TargetShed
from persimmonspoke.ids import Instant, RequestId
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.ranges.api import RangeGrant
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import (
    MAX_REMEMBERED_REQUESTS,
    TargetPools,
)
from persimmonspoke.internal.targets.http_requests import HttpTargetRequests
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.internal.targets.rate_limits import UNLIMITED, RateLimits
from persimmonspoke.internal.targets.request_api import TargetRequest
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.platform import headers
from persimmonspoke.platform.orders import HttpRangeOrders
from tests.fakes.raw_target import RawTarget

HEAD = (
    "HTTP/1.1 200 OK\r\n"
    "Persimmonspoke-Request-Id: {id}\r\n"
    "Persimmonspoke-Server-Signature: s\r\n"
)


def reset(sock):
    """Close the connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class AnswerCase(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        pools = TargetPools(TargetSettings(), self.clock, lambda target: 4)
        self.limits = RateLimits(self.clock)
        self.incarnation = Incarnation("a", 1)
        self.notices = TargetNotices(lambda target_id: self.incarnation)
        self.client = HttpTargetRequests(
            pools, self.clock, headers, self.limits, notices=self.notices
        )

    def target(self, *scripts):
        raw = RawTarget(*scripts)
        self.addCleanup(raw.stop)
        return raw.config()

    def send(self, target, request_id="r1", left_s=5.0, repeated=False):
        req = TargetRequest(
            method="GET",
            path="/a/",
            headers=(),
            body=b"",
            deadline=Instant(self.clock.now() + left_s),
            request_id=RequestId(request_id),
            protected=True,
            repeated=repeated,
            target_id=target.target_id,
        )
        return self.client.send(target, req)

    def ask(self, target, *args, **fields):
        """Send a request, and return the body of its answer."""
        return b"".join(self.send(target, *args, **fields).chunks())


class TestAnswersWithoutALength(AnswerCase):
    def answer(self, end):
        def script(conn):
            conn.receive()
            conn.sock.sendall((HEAD.format(id="r1") + "\r\nhello").encode())
            eventlet.sleep(0.05)
            end(conn.sock)

        return self.ask(self.target(script))

    def test_an_answer_that_ends_with_its_connection_is_complete(self):
        def end(sock):
            sock.shutdown(socket.SHUT_WR)

        self.assertEqual(self.answer(end), b"hello")

    def test_an_answer_whose_connection_is_reset_is_lost(self):
        with self.assertRaises(AnswerLost):
            self.answer(reset)


class TestAnswersWithAContradictoryLength(AnswerCase):
    """A target names two ends of its answer, or one that can't be read."""

    def answer(self, fields, body):
        """Return the lengths that are passed on, and the body."""

        def script(conn):
            conn.receive()
            head = HEAD.format(id="r1") + "".join(f"{f}\r\n" for f in fields) + "\r\n"
            conn.sock.sendall(head.encode() + body)
            conn.sock.shutdown(socket.SHUT_WR)

        found = self.send(self.target(script))
        lengths = [v for name, v in found.headers if name.lower() == "content-length"]
        return lengths, b"".join(found.chunks())

    # Guards against MIXED: the rest of a body passes as the caller's next answer.
    def test_a_length_beside_chunks_is_dropped_and_the_chunks_hold(self):
        chunks = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        for length in ("Content-Length: 5", "Content-Length: x"):
            for fields in (
                (length, "Transfer-Encoding: chunked"),
                ("Transfer-Encoding: Chunked", length),
            ):
                with self.subTest(fields):
                    self.assertEqual(self.answer(fields, chunks), ([], b"abcdefg"))

    # Guards against MIXED: a caller that reads the length differently.
    def test_an_answer_whose_length_can_not_be_read_is_lost(self):
        for fields in (
            ("Content-Length: x",),
            ("Content-Length: +5",),
            ("Content-Length: 0_5",),
            ("Content-Length: -5",),
            ("Content-Length:",),
            ("Content-Length: 5, 7",),
            ("Content-Length: 5", "Content-Length: 7"),
            ("Content-Length: 7", "Content-Length: 5"),
            ("Transfer-Encoding: gzip, chunked",),
            ("Transfer-Encoding: xchunked", "Content-Length: 5"),
            ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
        ):
            with self.subTest(fields), self.assertRaises(AnswerLost):
                self.answer(fields, b"hello")

    def test_a_length_that_is_named_twice_alike_is_passed_on_once(self):
        for fields in (("Content-Length: 5, 5",), 2 * ("Content-Length: 5",)):
            with self.subTest(fields):
                self.assertEqual(self.answer(fields, b"hello"), (["5"], b"hello"))


class TestAnswersCutInTheirHead(AnswerCase):
    def answer(self, sent):
        """Return the answer to a request, of which only `sent` arrives."""

        def script(conn):
            conn.receive()
            conn.sock.sendall(sent.encode())
            conn.sock.shutdown(socket.SHUT_WR)

        return self.ask(self.target(script))

    # Guards against MIXED: a head that was cut passes as one with a shorter body.
    def test_an_answer_is_lost_wherever_its_head_ends_early(self):
        whole = HEAD.format(id="r1") + "Content-Length: 123\r\n\r\n"
        for end in range(len(whole)):
            with self.subTest(sent=whole[:end]), self.assertRaises(AnswerLost):
                self.answer(whole[:end])

    # Guards against MIXED: a chunk size that was cut passes as a smaller one.
    def test_an_answer_is_lost_wherever_its_chunks_end_early(self):
        head = HEAD.format(id="r1") + "Transfer-Encoding: chunked\r\n\r\n"
        chunks = "0005\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n"
        for end in range(len(chunks)):
            with self.subTest(sent=chunks[:end]), self.assertRaises(AnswerLost):
                self.answer(head + chunks[:end])
        self.assertEqual(self.answer(head + chunks), b"hello")


class TestUnexpectedBytes(AnswerCase):
    def framed(self, request_id, body):
        head = HEAD.format(id=request_id) + f"Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def test_a_late_second_answer_is_skipped_and_the_right_one_returned(self):
        def script(conn):
            conn.receive()
            conn.sock.sendall(self.framed("r1", b"one"))
            conn.receive()
            conn.sock.sendall(self.framed("r1", b"one") + self.framed("r2", b"two"))
            eventlet.sleep(1)

        target = self.target(script)
        self.assertEqual(self.ask(target, "r1"), b"one")
        self.assertEqual(self.ask(target, "r2"), b"two")

    def test_a_connection_with_bytes_after_its_answer_is_not_reused(self):
        def extra(conn):
            conn.receive()
            conn.sock.sendall(self.framed("r1", b"one") + self.framed("x", b"bad"))
            eventlet.sleep(1)

        def plain(conn):
            conn.receive()
            conn.sock.sendall(self.framed("r2", b"two"))
            eventlet.sleep(1)

        target = self.target(extra, plain)
        self.assertEqual(self.ask(target, "r1"), b"one")
        self.assertEqual(self.ask(target, "r2"), b"two")

    def test_an_answer_without_a_signature_is_lost(self):
        def script(conn):
            conn.receive()
            conn.sock.sendall(
                b"HTTP/1.1 200 OK\r\nPersimmonspoke-Request-Id: r1\r\n"
                b"Content-Length: 2\r\n\r\nok"
            )
            eventlet.sleep(1)

        with self.assertRaises(AnswerLost):
            self.ask(self.target(script))


REFUSED = (
    "HTTP/1.1 503 Full\r\n{id}Persimmonspoke-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n"
)


class TestRefusalsWrittenTwice(AnswerCase):
    def refusal(self, request_id):
        field = f"Persimmonspoke-Request-Id: {request_id}\r\n" if request_id else ""
        return REFUSED.format(id=field).encode()

    def answer(self, request_id):
        head = HEAD.format(id=request_id) + "Content-Length: 3\r\n\r\n"
        return (head + "run").encode()

    def refuse_twice(self, second_id):
        """Refuse r1; then write a refusal with `second_id` before r2's answer."""

        def script(conn):
            conn.receive()
            conn.sock.sendall(self.refusal("r1"))
            conn.receive()
            conn.sock.sendall(self.refusal(second_id) + self.answer("r2"))
            eventlet.sleep(1)

        target = self.target(script)
        with self.assertRaises(TargetShed):
            self.ask(target, "r1")
        return target

    # Guards against REFUSED: a request that runs is reported as not run.
    def test_one_to_an_earlier_request_is_skipped(self):
        self.assertEqual(self.ask(self.refuse_twice("r1"), "r2"), b"run")

    # Guards against REFUSED where the refusal does not say to which request.
    def test_one_without_an_id_is_no_answer_to_a_later_request(self):
        with self.assertRaises(AnswerLost):
            self.ask(self.refuse_twice(None), "r2")

    # Guards against REFUSED and TWICE: the earlier refusal is of the same request.
    def test_one_to_the_same_request_is_not_met_again_after_many_others(self):
        def refuses_again(conn):
            conn.receive()
            conn.sock.sendall(self.refusal("r1"))
            for number in range(3 * MAX_REMEMBERED_REQUESTS):
                conn.receive()
                conn.sock.sendall(self.answer(f"other{number}"))
            conn.receive()
            conn.sock.sendall(self.refusal("r1"))
            eventlet.sleep(1)

        def runs(conn):
            conn.receive()
            conn.sock.sendall(self.answer("r1"))
            eventlet.sleep(1)

        target = self.target(refuses_again, runs)
        with self.assertRaises(TargetShed):
            self.ask(target, "r1")
        for number in range(3 * MAX_REMEMBERED_REQUESTS):
            self.ask(target, f"other{number}")
        self.assertEqual(self.ask(target, "r1", repeated=True), b"run")


class SingleAnswerCase(AnswerCase):
    """Targets that answer one request."""

    def ask_once(self, status, *fields):
        """Send one request; the answer has this status and these further fields."""

        def script(conn):
            conn.receive()
            head = HEAD.format(id="r1").replace("200 OK", status)
            lines = "".join(f"{field}\r\n" for field in fields)
            conn.sock.sendall(f"{head}{lines}Content-Length: 0\r\n\r\n".encode())

        target = self.target(script).model_copy(update={"target_id": "a"})
        return self.ask(target)


class TestNoticesInAnswers(SingleAnswerCase):
    """Guards against DRAIN: an answer that says that its target is leaving."""

    def setUp(self):
        super().setUp()
        self.leaving = []
        self.notices.on_leaving = self.leaving.append

    def test_any_answer_of_the_target_says_that_it_is_leaving(self):
        self.ask_once("200 OK", "Server-Leaving: 1")
        self.ask_once("500 Failed", "Server-Leaving: 1")
        with self.assertRaises(TargetShed):
            self.ask_once(
                "503 Full", "Persimmonspoke-Not-Executed: full", "Server-Leaving: 1"
            )
        self.assertEqual(self.leaving, 3 * [Incarnation("a", 1)])

    def test_a_process_that_may_be_another_target_says_nothing(self):
        not_run = "Persimmonspoke-Not-Executed: not mine"
        with self.assertRaises(TargetFenced):
            self.ask_once("421 Misdirected", not_run, "Server-Leaving: 1")
        self.assertEqual(self.leaving, [])

    def test_so_does_the_answer_to_an_order_but_no_refusal_of_one(self):
        for status, heard in (("200 OK", 1), ("409 Conflict", 0)):

            def script(conn, status=status):
                conn.receive()
                lines = "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                conn.sock.sendall(f"HTTP/1.1 {status}\r\n{lines}".encode())

            self.leaving.clear()
            found = self.target(script)
            address = TargetAddress("a", found.ip, found.port)
            orders = HttpRangeOrders(self.clock, self.notices)
            order = RangeGrant(0, 9, 1, 1.0, None)
            deadline = Instant(self.clock.now() + 2)
            with contextlib.suppress(TargetFenced):
                orders.connect(address, deadline).grant(order, deadline)
            self.assertEqual(len(self.leaving), heard)

    def test_it_speaks_for_the_start_that_the_request_was_sent_to(self):
        def script(conn):
            conn.receive()
            self.incarnation = Incarnation("a", 2)
            lines = "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
            conn.sock.sendall((HEAD.format(id="r1") + lines).encode())

        self.ask(self.target(script).model_copy(update={"target_id": "a"}))
        self.assertEqual(self.leaving, [Incarnation("a", 1)])


class TestRateLimitsInAnswers(SingleAnswerCase):
    """What answers of different kinds show about a target's rate limit."""

    def test_an_answer_names_a_limit_and_the_next_one_ends_it(self):
        self.ask_once("200 OK", "Server-Limit: 6.3")
        self.assertEqual(self.limits.of("a"), 6.3)
        self.ask_once("200 OK")
        self.assertEqual(self.limits.of("a"), UNLIMITED)

    def test_a_refusal_names_a_limit_and_does_not_end_one(self):
        not_run = "Persimmonspoke-Not-Executed: full"
        with self.assertRaises(TargetShed):
            self.ask_once("503 Full", not_run, "Server-Limit: 6.3")
        with self.assertRaises(TargetShed):
            self.ask_once("503 Full", not_run)
        self.assertEqual(self.limits.of("a"), 6.3)

    def test_a_process_that_may_be_another_target_says_nothing(self):
        not_run = "Persimmonspoke-Not-Executed: not mine"
        with self.assertRaises(TargetFenced):
            self.ask_once("421 Misdirected", not_run, "Server-Limit: 6.3")
        self.assertFalse(self.limits.has_named("a"))

    def test_an_unreadable_limit_leaves_the_one_before(self):
        self.ask_once("200 OK", "Server-Limit: 6.3")
        self.ask_once("200 OK", "Server-Limit: soon")
        self.assertEqual(self.limits.of("a"), 6.3)


if __name__ == "__main__":
    unittest.main()
