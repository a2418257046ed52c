"""Tests of the requests that come while a host is stopped as planned."""

import unittest

import eventlet

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.daemon.planned_stop import PlannedStop, StopDeadlines
from persimmonspoke.internal.callers.app import make_caller_app
from persimmonspoke.internal.callers.settings import CallerSettings
from tests.fakes.caller_parts import (
    FirstCandidateScheduler,
    FixedConfigurations,
    HubClock,
    OneOwnerRoutes,
    service,
    target,
)
from tests.fakes.target_requests import FakeTargetRequests, Step
from tests.fakes.wsgi_caller import call

A = target("a")
UNREADY_S = 2.6
GRACE_S = 6.0
LONG_MS = 2000


class TestLateRequests(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()
        self.gate = HostGate(lambda: True, self.clock)
        self.targets = FakeTargetRequests()
        self.app = make_caller_app(
            CallerSettings(),
            FixedConfigurations(service(targets=(A,), wait_ms=LONG_MS)),
            OneOwnerRoutes(A),
            FirstCandidateScheduler(),
            self.targets,
            self.clock,
            self.gate,
        )
        deadlines = StopDeadlines.after(self.clock.now(), UNREADY_S, GRACE_S)
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
        self.assertAlmostEqual(line.target_had_ms, 4000, delta=100)
        self.assertEqual(self.app.log_cut_requests("this process ended"), 0)


if __name__ == "__main__":
    unittest.main()
