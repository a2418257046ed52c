"""A second exchange beside the first, over orders of events in virtual time."""

import contextlib
import io
import random
import unittest
from itertools import product
from unittest import mock

import eventlet

from persimmonspoke.errors import (
    AnswerLost,
    CallerGone,
    PathsCut,
    TargetShed,
    TargetUnreachable,
)
from persimmonspoke.internal.targets.second_sends import (
    NotNeeded,
    SecondAnswered,
    SecondSend,
)
from tests.fakes import virtual_hub
from tests.fakes.target_requests import FakeAnswer

SEED = 34
TIMES_S = (0.0, 1.0, 2.0, 3.0)
DEADLINE_S = 4.5
OUTCOMES = ("answer", AnswerLost("lost"), TargetShed("full"), TargetUnreachable("no"))


class Request:
    """One request: its first exchange in the task of `run`, and perhaps a second.

    Attributes
    ----------
    seconds : int
        How often the second exchange was begun.
    second_answered : bool
        Whether it had an answer.
    ended_at : dict of str to float
        When each exchange ended, in seconds of virtual time.
    """

    def __init__(self, first, second):
        self.first, self.second = first, second
        self.answers = {"first": FakeAnswer(), "second": FakeAnswer()}
        self.seconds = 0
        self.second_answered = False
        self.ended_at = {}

    def run(self, start_s):
        """Return which answer, or which error, the request gets."""
        send = SecondSend()
        self.send = send
        send.start_after(start_s, self._send_second)
        try:
            with send.listening():
                self._exchange("first", *self.first)
            return "first"
        except SecondAnswered:
            self.answers["first"].close()
            answer = send.wait(0.0)
        except (AnswerLost, TargetShed, TargetUnreachable) as exc:
            answer = send.wait(DEADLINE_S - virtual_hub.now() + self.began_at)
            if answer is None:
                return send.error or exc
        except CallerGone as exc:
            return exc
        finally:
            send.end()
        return "second" if answer is self.answers["second"] else "none"

    def _send_second(self):
        self.seconds += 1
        self._exchange("second", *self.second)
        self.second_answered = True
        return self.answers["second"]

    def _exchange(self, name, outcome, at_s):
        try:
            eventlet.sleep(at_s)
        except NotNeeded:
            eventlet.sleep(0)
            raise
        finally:
            self.ended_at[name] = virtual_hub.now()
        if outcome != "answer":
            raise outcome

    def play(self, start_s, leave_s=None):
        """Run to the end, and one second longer; return the outcome."""
        self.began_at = virtual_hub.now()
        task = eventlet.spawn(self.run, start_s)
        if leave_s is not None:
            eventlet.spawn_after(leave_s, eventlet.kill, task, CallerGone("left"))
        outcome = task.wait()
        self.over_at = virtual_hub.now()
        eventlet.sleep(1.0)
        return outcome


class TestOrdersOfEvents(unittest.TestCase):
    # Guards against LOST: an answer that has come is not passed on.
    def test_the_first_answer_wins_and_the_other_exchange_is_ended(self):
        for first, second, *times in product(OUTCOMES, OUTCOMES, *[TIMES_S] * 3):
            first_s, second_s, start_s = times
            with self.subTest(first=first, second=second, times=times):
                req = Request((first, first_s), (second, second_s))
                outcome = req.play(start_s)
                began = start_s < first_s
                answers = {}
                if first == "answer":
                    answers["first"] = first_s
                if second == "answer" and began and start_s + second_s <= DEADLINE_S:
                    answers["second"] = start_s + second_s
                at_once = start_s == first_s or len(set(answers.values())) == 1
                if answers and not at_once:
                    self.assertEqual(outcome, min(answers, key=answers.get))
                elif answers:
                    self.assertIn(outcome, ("first", "second"))
                elif not at_once:
                    self.assertIsInstance(outcome, Exception)
                self.assertLessEqual(req.seconds, 1)
                self.assert_released(req, outcome)

    # Guards against GONE: an exchange goes on after its caller has left.
    def test_a_caller_that_leaves_ends_both(self):
        rng = random.Random(SEED)
        for _ in range(300):
            ends = [("answer", rng.choice((1.0, 2.0, 3.0))) for _ in range(2)]
            start_s, leave_s = rng.uniform(0.0, 1.0), rng.uniform(0.0, 3.0)
            req = Request(*ends)
            outcome = req.play(start_s, leave_s)
            self.assert_released(req, outcome)
            if isinstance(outcome, CallerGone):
                self.assertLessEqual(max(req.ended_at.values()), req.over_at + 0.01)

    def assert_released(self, req, outcome):
        """Assert that nothing goes on and that an answer that nobody took is closed."""
        self.assertLessEqual(max(req.ended_at.values()), req.over_at + 0.01)
        if req.second_answered and outcome != "second":
            self.assertTrue(req.answers["second"].closed)


class TestSecondSend(unittest.TestCase):
    def test_is_begun_once_unless_it_reached_nothing(self):
        for error, expected in ((TargetUnreachable("no"), 2), (TargetShed("full"), 1)):
            with self.subTest(error=error):
                send = SecondSend()
                sender = mock.Mock(side_effect=error)
                for _ in range(2):
                    send.start(sender)
                    eventlet.sleep(0.1)
                self.assertEqual(sender.call_count, expected)
                send.end()

    # Guards against a dead connection that is listened to until the deadline, since a
    # path seemed lost for a moment.
    def test_its_time_still_comes_after_one_that_reached_nothing(self):
        send, answer = SecondSend(), FakeAnswer()
        send.start_after(1.0, lambda: answer)
        send.start(mock.Mock(side_effect=PathsCut("no host")))
        eventlet.sleep(0.5)
        self.assertIs(send.wait(1.0), None)
        eventlet.sleep(1.0)
        self.assertIs(send.wait(0.0), answer)
        send.end()

    def test_its_time_is_ignored_while_one_runs(self):
        send, sender = SecondSend(), mock.Mock()
        send.start_after(1.0, sender)
        send.start(lambda: eventlet.sleep(2.0) or FakeAnswer())
        eventlet.sleep(1.5)
        sender.assert_not_called()
        send.end()
        eventlet.sleep(0.1)

    def test_an_answer_that_comes_after_the_end_is_closed(self):
        send, answer = SecondSend(), FakeAnswer()

        def answer_anyway():
            try:
                eventlet.sleep(1.0)
            except NotNeeded:
                return answer

        send.start(answer_anyway)
        eventlet.sleep(0.5)
        send.end()
        eventlet.sleep(0.1)
        self.assertTrue(answer.closed)

    # Guards against an interruption of what follows the exchange, or of another one.
    def test_an_answer_at_the_end_of_the_first_exchange_interrupts_nothing(self):
        for _ in range(50):
            send = SecondSend()
            send.start(FakeAnswer)
            with send.listening():
                eventlet.sleep(0)
            eventlet.sleep(0.1)
            send.end()

    def test_an_answer_that_nobody_took_is_closed(self):
        send, answer = SecondSend(), FakeAnswer()
        send.start(lambda: answer)
        eventlet.sleep(0.1)
        send.end()
        self.assertTrue(answer.closed)

    def test_one_that_has_not_begun_never_begins(self):
        send, sender = SecondSend(), mock.Mock()
        send.start_after(1.0, sender)
        send.end()
        eventlet.sleep(2.0)
        sender.assert_not_called()
        send = SecondSend()
        send.start(sender)
        send.end()
        eventlet.sleep(0.1)
        sender.assert_not_called()

    # Guards against errors of ended tasks that reach the hub, and its log.
    def test_the_end_of_one_that_has_not_begun_or_has_just_ended_is_quiet(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            for sender in (FakeAnswer, mock.Mock(side_effect=TargetShed("full"))):
                for pause_s in (None, 0):
                    for _ in range(20):
                        send = SecondSend()
                        send.start(sender)
                        if pause_s is not None:
                            eventlet.sleep(pause_s)
                        send.end()
                        eventlet.sleep(0.1)
        self.assertEqual(errors.getvalue(), "")

    # Guards against REFUSED: a fault here must not look like "not run".
    def test_a_fault_of_this_host_counts_as_a_lost_answer(self):
        send = SecondSend()
        with self.assertLogs("persimmonspoke.internal.targets.second_sends", "ERROR"):
            send.start(mock.Mock(side_effect=ValueError))
            self.assertIsNone(send.wait(1.0))
        self.assertIsInstance(send.error, AnswerLost)
