"""Tests that bytes without end cost bounded time and memory, and the truth is told."""

import resource
import unittest

import eventlet

from persimmonspoke.errors import AnswerLost, OrderConnectionLost, OrderOutcomeUnknown
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import TargetPools
from persimmonspoke.internal.targets.http_requests import HttpTargetRequests
from persimmonspoke.internal.targets.rate_limits import UNLIMITED
from persimmonspoke.internal.targets.request_api import TargetRequest
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.platform import headers
from persimmonspoke.platform.orders import HttpRangeOrders
from tests.fakes.endless_target import KINDS, EndlessTarget
from tests.fakes.raw_target import RawTarget, answer_all

LEFT_S = 1.0
MARGIN_S = 1.0
MAX_GROWTH_MB = 100  # half of the memory of the smallest hosts
BODIES = (
    "chunked_body",
    "chunks_beside_a_length",
    "framed_body",
    "huge_chunk",
    "unframed_body",
)
LOST = sorted(set(KINDS) - {*BODIES, "past_the_length"})


class PlatformLikeProtocol:
    """The protocol of the platform, with the header fields of the fake targets."""

    CANCEL_PATH = None
    rate_limit = staticmethod(lambda fields: UNLIMITED)
    read_notices = staticmethod(headers.read_notices)
    CLOSE_DELIMITED_ANSWERS = True
    request_headers = staticmethod(
        lambda req, attempt, now: {"X-Request-Id": req.request_id}
    )
    request_id_of = staticmethod(lambda fields: fields.get("X-Request-Id"))
    refusal = staticmethod(lambda status, fields: None)
    answer_headers = staticmethod(headers.answer_headers)

    @staticmethod
    def check_answer(request_id, attempt, status, fields):
        """Check the status as the platform's protocol does."""
        signed = {
            headers.REQUEST_ID: request_id,
            headers.SIGNATURE: "",
            **dict(fields.items()),
        }
        headers.check_answer(request_id, attempt, status, signed)


class EndlessCase(unittest.TestCase):
    def setUp(self):
        self.clock = SystemClock()
        pools = TargetPools(TargetSettings(), self.clock, lambda cfg: cfg.connections)
        self.client = HttpTargetRequests(pools, self.clock, PlatformLikeProtocol)

    def endless(self, kind):
        target = EndlessTarget(kind)
        self.addCleanup(target.stop)
        return TargetConfig(
            target_id=f"target-{target.port}",
            ip="127.0.0.1",
            port=target.port,
            data_centre="a",
            slots=200,
            connections=200,
        )

    def ask(self, target, request_id="r1", left_s=LEFT_S):
        """Send a request; return the number of bytes of the answer's body."""
        req = TargetRequest(
            deadline=self.clock.now() + left_s,
            request_id=request_id,
            method="GET",
            path="/",
            headers=(),
            body=b"",
            protected=True,
        )
        answer = self.client.send(target, req)
        try:
            return sum(len(chunk) for chunk in answer.chunks())
        finally:
            answer.close()


class TestEndlessAnswers(EndlessCase):
    def test_bytes_that_are_no_answer_are_a_lost_answer_by_the_deadline(self):
        for kind in LOST:
            with self.subTest(kind):
                target = self.endless(kind)
                started_at = self.clock.now()
                with self.assertRaises(AnswerLost):
                    self.ask(target)
                took_s = self.clock.now() - started_at
                self.assertLessEqual(took_s, LEFT_S + MARGIN_S)

    def test_a_body_without_end_stops_at_the_deadline(self):
        for kind in BODIES:
            with self.subTest(kind):
                started_at = self.clock.now()
                with self.assertRaises(AnswerLost):
                    self.ask(self.endless(kind))
                took_s = self.clock.now() - started_at
                self.assertLessEqual(took_s, LEFT_S + MARGIN_S)

    def test_bytes_past_the_length_belong_to_no_answer(self):
        target = self.endless("past_the_length")
        for _ in range(3):
            self.assertEqual(self.ask(target), 2)
            eventlet.sleep(0.05)


class TestEndlessAnswersToOrders(EndlessCase):
    # Guards against a leader whose tasks end, and keys that nobody is granted: a length
    # of a terabyte was allocated before the first byte was read.
    def test_they_are_failed_orders_by_the_deadline(self):
        for kind in sorted(set(KINDS) - {"past_the_length"}):
            with self.subTest(kind):
                found = self.endless(kind)
                to = TargetAddress(found.target_id, found.ip, found.port)
                orders = HttpRangeOrders(self.clock)
                started_at = self.clock.now()
                deadline = Instant(started_at + LEFT_S)
                with self.assertRaises((OrderConnectionLost, OrderOutcomeUnknown)):
                    orders.connect(to, deadline).grant(
                        RangeGrant(0, 9, 1, 1.0), deadline
                    )
                with self.assertRaises((OrderConnectionLost, OrderOutcomeUnknown)):
                    orders.connect(to, deadline).release(
                        RangeRelease(0, 9, 2), deadline
                    )
                took_s = self.clock.now() - started_at
                self.assertLessEqual(took_s, LEFT_S + MARGIN_S)


class TestManyEndlessTargets(EndlessCase):
    def test_a_hundred_endless_answers_leave_memory_and_time_for_the_others(self):
        sound = RawTarget(answer_all)
        self.addCleanup(sound.stop)
        targets = [self.endless(kind) for kind in (*LOST, *BODIES)]
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        tasks = [
            eventlet.spawn(self._ask_and_forget, targets[n % len(targets)], 3.0)
            for n in range(100)
        ]
        eventlet.sleep(0.1)
        slowest_s = 0.0
        for number in range(20):
            started_at = self.clock.now()
            self.ask(sound.config(connections=5), f"s{number}", LEFT_S)
            slowest_s = max(slowest_s, self.clock.now() - started_at)
        for task in tasks:
            task.wait()
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        self.assertLessEqual(grown_kb / 1024, MAX_GROWTH_MB)
        self.assertLess(slowest_s, LEFT_S)

    def _ask_and_forget(self, target, left_s):
        with self.assertRaises(AnswerLost):
            self.ask(target, left_s=left_s)


if __name__ == "__main__":
    unittest.main()
