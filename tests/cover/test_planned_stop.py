"""Tests of the requests that come while a host is stopped as planned."""

import unittest
from types import SimpleNamespace

import eventlet
from eventlet.event import Event

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.daemon.planned_stop import PlannedStop, StopDeadlines
from persimmonspoke.errors import AnswerLost, Overloaded, TargetShed
from persimmonspoke.internal.callers.app import CallerApp, make_caller_app
from persimmonspoke.internal.callers.attempts import RequestRunner
from persimmonspoke.internal.callers.gone import CallerWatch
from persimmonspoke.internal.callers.request import RequestReader
from persimmonspoke.internal.callers.services import ServiceTable
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.observe.api import NoMetrics
from tests.fakes.caller_parts import (
    FirstCandidateScheduler,
    FixedConfigurations,
    HubClock,
    OneOwnerRoutes,
    service,
    target,
)
from tests.fakes.target_requests import FakeAnswer, FakeTargetRequests, Step
from tests.fakes.wsgi_caller import LateBody, call, environ_of

A = target("a")
UNREADY_S = 2.6
GRACE_S = 6.0
LONG_MS = 2000


class SlowScheduler(FirstCandidateScheduler):
    """A scheduler whose slots are free when the test says so."""

    waits_for = None

    def acquire(self, ticket, candidates):
        """Return a slot once there is one."""
        if self.waits_for is not None:
            self.waits_for.wait()
        return super().acquire(ticket, candidates)


class SlowForwarder:
    """Another host, which answers late.

    Attributes
    ----------
    before_write_s : float
        How long a request waits for a connection to it.
    """

    def __init__(self, before_write_s=0.0):
        self.before_write_s = before_write_s

    def is_possible(self, target_id):
        """Return True: it may be asked."""
        return True

    def send(
        self, req, body, target_id, attempts, may_have_run, may_repeat, before_write
    ):
        """Return the answer of the other host."""
        eventlet.sleep(self.before_write_s)
        before_write()
        eventlet.sleep(0.5)
        return "h2", FakeAnswer()


def call_without_reading(app):
    """Send a request to `app`; return the answer, which the caller has not read."""
    return app(environ_of(), lambda status, fields: None)


class StopCase(unittest.TestCase):
    wait_ms = LONG_MS

    def setUp(self):
        self.clock = HubClock()
        self.gate = HostGate(lambda: True, self.clock)
        self.targets = FakeTargetRequests()
        self.routes = OneOwnerRoutes(A)
        self.configs = FixedConfigurations(service(targets=(A,), wait_ms=self.wait_ms))
        self.scheduler = SlowScheduler()
        self.app = make_caller_app(
            CallerSettings(),
            self.configs,
            self.routes,
            self.scheduler,
            self.targets,
            self.clock,
            self.gate,
        )
        deadlines = StopDeadlines.after(self.clock.now(), UNREADY_S, GRACE_S)
        self.grace_ends_at = self.clock.now() + GRACE_S
        stop = PlannedStop(
            self.gate, self.clock, [self.app], [], finish=lambda deadline: None
        )
        self.stopped = eventlet.spawn(self.run_stop, stop, deadlines)

    def run_stop(self, stop, deadlines):
        """Go through the stop; return whether all requests have been answered."""
        stop.run(deadlines)
        return stop.cut_count == 0

    def send_at(self, at_s, took_s, **fields):
        """Send a request that takes a time at its target; return the reply."""
        return self.send_later(at_s, took_s, **fields).wait()

    def send_later(self, at_s, took_s, **fields):
        self.targets.steps.append(Step(after_write_s=took_s))
        return eventlet.spawn_after(at_s, call, self.app, method="POST", **fields)


class TestLateRequests(StopCase):
    # Guards against LOST: a request that came late in the grace is cut at its end.
    def test_one_that_may_outlast_the_grace_is_refused_before_it_is_sent(self):
        self.send_later(2.5, took_s=1.9)
        reply = self.send_at(4.0, took_s=1.5)
        self.assertEqual(reply.error(), (503, "host_closed", "not_run"))
        self.assertEqual(len(self.targets.written), 1)
        self.assertTrue(self.stopped.wait())

    def test_one_that_ends_in_time_at_the_latest_is_served(self):
        self.send_later(2.5, took_s=1.9)
        self.assertEqual(self.send_at(4.0, 0.5, x_deadline_ms="900").status, 200)
        self.assertTrue(self.stopped.wait())

    def test_one_that_comes_before_the_balancer_has_noticed_is_served(self):
        self.assertEqual(self.send_at(2.5, took_s=1.5).status, 200)
        self.assertTrue(self.stopped.wait())

    def test_the_stop_waits_for_the_answers_of_what_was_admitted(self):
        began = self.clock.now()
        self.send_later(2.5, took_s=1.9)
        self.assertTrue(self.stopped.wait())
        self.assertAlmostEqual(self.clock.now() - began, 4.4, delta=0.1)

    # Guards against LOST between the last answer and the end of the process.
    def test_one_that_comes_after_the_last_answer_is_refused(self):
        self.assertTrue(self.stopped.wait())
        reply = self.send_at(0.0, took_s=0.1)
        self.assertEqual(reply.error(), (503, "host_closed", "not_run"))
        self.assertEqual(self.targets.written, [])


class TestRequestsThatOutlastTheGrace(StopCase):
    wait_ms = 20_000

    # Guards against LOST: a request that still waits for an owner or a slot is cut.
    def test_one_that_waits_at_the_end_is_refused_in_time(self):
        self.routes.owner = None
        reply = self.send_at(1.0, took_s=0.1, x_deadline_ms="19000")
        self.assertEqual(reply.error(), (503, "host_closed", "not_run"))
        self.assertLess(self.clock.now(), self.grace_ends_at)
        self.assertTrue(self.stopped.wait())
        self.assertEqual(self.targets.written, [])

    # Guards against LOST: a request of which no byte was written is cut.
    def test_one_that_waits_for_a_connection_at_the_end_is_refused_in_time(self):
        self.targets.steps.append(Step(before_write_s=9.0))
        sent = eventlet.spawn_after(1.0, call, self.app, x_deadline_ms="19000")
        self.assertTrue(self.stopped.wait())
        self.assertEqual(sent.wait().error(), (503, "host_closed", "not_run"))
        self.assertEqual(self.targets.written, [])

    # Guards against REFUSED: a request that may have run is said not to have run.
    def test_one_that_waits_after_an_attempt_that_may_have_run_is_not_said_not_to(self):
        self.targets.steps.append(Step(AnswerLost("gone"), after_write_s=0.1))
        sent = eventlet.spawn_after(1.0, call, self.app, x_deadline_ms="19000")
        eventlet.sleep(1.05)
        self.routes.owner = None
        self.assertEqual(sent.wait().error(), (502, "outcome_unknown", "unknown"))
        self.assertLess(self.clock.now(), self.grace_ends_at)
        self.assertTrue(self.stopped.wait())

    def test_one_whose_body_does_not_arrive_is_refused_in_time(self):
        reply = self.send_at(1.0, 0.1, x_deadline_ms="19000", source=LateBody())
        self.assertEqual(reply.error(), (503, "host_closed", "not_run"))
        self.assertTrue(self.stopped.wait())

    # Guards against LOST: an answer of our own in place of a target that is at work.
    def test_one_that_is_at_its_target_is_not_refused_at_the_end(self):
        sent = self.send_later(1.0, took_s=9.0, x_deadline_ms="19000")
        self.assertFalse(self.stopped.wait())
        eventlet.sleep(0.1)
        self.assertFalse(sent.dead)

    # Guards against LOST: a request that ends within the grace is cut before its end.
    def test_one_that_its_target_answers_late_in_the_grace_is_served(self):
        sent = self.send_later(1.0, took_s=4.4, x_deadline_ms="19000")
        self.assertTrue(self.stopped.wait())
        self.assertEqual(sent.wait().status, 200)
        self.assertLess(self.clock.now(), self.grace_ends_at)

    # Guards against requests that a stop cuts without a line that names them.
    def test_each_request_that_the_end_cuts_is_logged_with_its_target(self):
        self.send_later(1.0, took_s=9.0, X_Request_Id="r1", x_deadline_ms="9000")
        with self.assertLogs("persimmonspoke", "INFO") as logs:
            self.assertFalse(self.stopped.wait())
            eventlet.sleep(9.0)
        (line,) = [
            record
            for record in logs.records
            if record.getMessage() == "callers: request ended"
        ]
        self.assertEqual((line.request_id, line.target), ("r1", "a"))
        self.assertEqual((line.outcome, line.stage), ("cut", "at_target"))
        self.assertAlmostEqual(line.target_had_ms, 4600, delta=100)
        self.assertEqual(self.app.log_cut_requests("this process ended"), 0)

    def test_one_whose_answer_is_being_read_is_logged_as_answering(self):
        answer = call_without_reading(self.app)
        with self.assertLogs("persimmonspoke", "INFO") as logs:
            self.assertEqual(self.app.log_cut_requests("this process ended"), 1)
        self.assertEqual(logs.records[0].stage, "answering")
        self.assertEqual((logs.records[0].target, logs.records[0].status), ("a", 200))
        answer.close()


class TestRequestsThatNoLongerWait(StopCase):
    """What ends the wait of a request beside its refusal by the stop."""

    def test_one_that_has_just_got_a_slot_is_served(self):
        got_slot = self.scheduler.waits_for = Event()
        sent = self.send_later(0.1, took_s=0.3)
        eventlet.sleep(0.2)
        got_slot.send(None)
        eventlet.hubs.get_hub().virtual_now += 0.001
        self.app.refuse_waiting()
        self.assertEqual(sent.wait().status, 200)

    def test_an_answer_or_a_refusal_that_is_being_read_is_not_interrupted(self):
        for self.scheduler.error in (None, Overloaded("no slot in time")):
            answer = call_without_reading(self.app)
            self.app.refuse_waiting()
            eventlet.sleep(0.1)
            self.assertTrue(b"".join(answer))
            answer.close()

    # Guards against LOST: a request that another host has sent to a target.
    def test_one_that_another_host_has_is_not_refused(self):
        self.forward_to(SlowForwarder())
        sent = self.send_later(0.1, took_s=0.0)
        eventlet.sleep(0.2)
        self.app.refuse_waiting()
        self.assertEqual(sent.wait().status, 200)

    # Guards against LOST: a request of which no byte went to the other host is cut.
    def test_one_that_waits_for_a_connection_to_another_host_is_refused(self):
        self.forward_to(SlowForwarder(before_write_s=9.0))
        sent = self.send_later(0.1, took_s=0.0)
        eventlet.sleep(0.2)
        self.app.refuse_waiting()
        self.assertEqual(sent.wait().error(), (503, "host_closed", "not_run"))

    # Guards against LOST: a request whose attempt has failed still counts as sent.
    def test_one_that_pauses_after_a_refused_connection_is_refused(self):
        self.targets.steps.append(Step(TargetShed("full"), after_write_s=0.1))
        sent = self.send_later(0.1, took_s=0.0, x_deadline_ms="1900")
        eventlet.sleep(0.15)
        self.scheduler.waits_for = Event()
        eventlet.sleep(0.1)
        self.app.refuse_waiting()
        self.assertEqual(sent.wait().error(), (503, "host_closed", "not_run"))

    def forward_to(self, forwarder):
        """Let this host reach no target, and forward its requests."""
        self.app = CallerApp(
            RequestReader(ServiceTable(self.configs), self.clock),
            RequestRunner(
                CallerSettings(),
                self.routes,
                self.scheduler,
                self.targets,
                self.clock,
                NoMetrics(),
                paths=SimpleNamespace(is_cut=True, reaches=lambda target_id: False),
                forwarder=forwarder,
            ),
            CallerWatch(CallerSettings(), self.clock),
            CallerSettings(),
            self.clock,
            self.gate,
            NoMetrics(),
        )


if __name__ == "__main__":
    unittest.main()
