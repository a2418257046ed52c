"""The stages of a planned stop, for every order of what may happen meanwhile."""

import itertools
import random
import unittest
from collections import Counter
from types import SimpleNamespace

import eventlet

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.daemon.planned_stop import (
    PlannedStop,
    StopDeadlines,
    StopStage,
)
from persimmonspoke.errors import AnswerLost, NoOwnerYet
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
from tests.fakes.target_requests import FakeAnswer
from tests.fakes.wsgi_caller import LateBody, call

A = target("a")
LINGER_S = 2.6
GRACE_S = 6.0
SIXTH_S = GRACE_S / 6
PROMPT_S = 0.1
STALL_S = 2.7
RANDOM_ORDERS = 300
MIN_SEEN = 10
CUT = "cut"
NOBODYS = "nobodys"
TOO_LATE = (
    "body_too_slow",
    "deadline_passed",
    "host_closed",
    "no_owner_yet",
    "outcome_unknown",
)


class TimedTargets:
    """Targets that take a time for each request, and are given up at its deadline."""

    def __init__(self, clock):
        self.clock = clock
        self.took_s = {}

    def send(self, target, req):
        """Return an answer after the time that the test has set."""
        req.before_write()
        ready_at = self.clock.now() + self.took_s[req.request_id]
        self.clock.sleep_until(min(ready_at, req.deadline))
        if ready_at > req.deadline:
            raise AnswerLost("no whole answer before the deadline")
        return FakeAnswer()


class SomeOwnerlessRoutes(OneOwnerRoutes):
    """Routes every key to one owner but `NOBODYS`, which gets none."""

    def find(self, team, service, key):
        """Return the route, or raise `NoOwnerYet`."""
        if key == NOBODYS:
            raise NoOwnerYet("nobody owns it")
        return super().find(team, service, key)

    def wait(self, team, service, key, deadline):
        """Wait until the deadline in vain."""
        HubClock().sleep_until(deadline)
        return self.find(team, service, key)


class FakeConnections:
    """The connections of callers, which are closed when the test says so."""

    def __init__(self):
        self.open = 0
        self.is_listening = True
        self.closes_unused = 0

    def open_connections(self):
        """Return the number of connections."""
        return self.open

    def close_listener(self):
        """Accept no more connections."""
        self.is_listening = False

    def close_unused(self):
        """Close the unused connections; each call takes one away."""
        self.closes_unused += 1
        self.open = max(0, self.open - 1)


class Sent:
    """One request of a caller, and what became of it."""

    def __init__(self, request_id, clock, patience_s):
        self.request_id = request_id
        self.sent_at = clock.now()
        self.patience_s = patience_s
        self.read_at = None
        self.deadline = None
        self.reply = None
        self.answered_at = None
        self.connection = SimpleNamespace(close_connection=False)


class StoppingHost:
    """A host with callers; each public method without parameters is an event."""

    def __init__(self):
        self.clock = HubClock()
        self.gate = HostGate(lambda: True, self.clock)
        self.targets = TimedTargets(self.clock)
        self.configs = FixedConfigurations(self.lookup())
        self.routes = SomeOwnerlessRoutes(A)
        self.app = make_caller_app(
            CallerSettings(),
            self.configs,
            self.routes,
            FirstCandidateScheduler(),
            self.targets,
            self.clock,
            self.gate,
        )
        self.connections = FakeConnections()
        self.stop = PlannedStop(
            self.gate, self.clock, [self.app], [self.connections], self.finish
        )
        self.grace_s = GRACE_S
        self.store_is_lost = False
        self.signal_at = None
        self.ended_at = None
        self.stalled_s = 0.0
        self.finished = 0
        self.requests = []
        self.tasks = []
        self.bodies = []
        self.ready_checks = []

    @staticmethod
    def lookup(wait_ms=20_000):
        return service(targets=(A,), wait_ms=wait_ms)

    def finish(self, deadline):
        """Take leave of the other hosts, with the store's help."""
        self.finished += 1
        if self.store_is_lost:
            self.clock.sleep_until(deadline)

    def send(self, patience_s, took_s, source=None, key="k"):
        """Let a caller send a request that takes a time at its target."""
        sent = Sent(f"r{len(self.requests)}", self.clock, patience_s)
        self.requests.append(sent)
        self.tasks.append(eventlet.spawn(self._send, sent, took_s, source, key))

    def _send(self, sent, took_s, source, key):
        sent.read_at = self.clock.now()
        sent.deadline = sent.read_at + sent.patience_s
        self.targets.took_s[sent.request_id] = took_s
        sent.reply = call(
            self.app,
            path=f"/desk/lookup/{key}",
            method="POST",
            source=source,
            connection=sent.connection,
            x_request_id=sent.request_id,
            x_deadline_ms=str(round(1000 * sent.patience_s)),
        )
        sent.answered_at = self.clock.now()

    def sigterm(self):
        self.signal_at = self.clock.now()
        deadlines = StopDeadlines.after(self.signal_at, LINGER_S, self.grace_s)
        self.stop_task = eventlet.spawn(self._stop, deadlines)
        while self.stop.stage is StopStage.SERVING:
            eventlet.sleep(0)

    def _stop(self, deadlines):
        self.stop.run(deadlines)
        self.ended_at = self.clock.now()

    def second_sigterm(self):
        if self.signal_at is None:
            return
        deadlines = StopDeadlines.after(self.clock.now(), LINGER_S, self.grace_s)
        eventlet.spawn(self.stop.run, deadlines)

    def readiness_check(self):
        self.ready_checks.append((self.signal_at, not self.gate.leaving))

    second_readiness_check = readiness_check

    def accept(self):
        self.connections.open += self.connections.is_listening
        self.send(patience_s=0.8, took_s=0.1)

    def head(self):
        self.send(patience_s=3.0, took_s=1.0)

    def head_of_a_slow_request(self):
        self.send(patience_s=15.0, took_s=12.0)

    def head_of_one_that_waits_for_an_owner(self):
        self.send(patience_s=15.0, took_s=0.1, key=NOBODYS)

    def head_without_its_body(self):
        self.bodies.append(LateBody())
        self.send(patience_s=2.0, took_s=0.3, source=self.bodies[-1])

    def body(self):
        for late_body in self.bodies:
            if not late_body.arrived.ready():
                late_body.arrived.send(None)

    def sighup(self):
        self.grace_s = 8.0

    def configuration(self):
        self.configs.services = (self.lookup(wait_ms=15_000),)
        self.configs.changes += 1

    def lost_store(self):
        self.store_is_lost = True

    def stall(self):
        self.stalled_s += STALL_S
        eventlet.hubs.get_hub().virtual_now += STALL_S

    def end(self):
        """Wait until the process has ended, which ends its tasks."""
        if self.signal_at is None:
            self.sigterm()
        self.stop_task.wait()
        for task in self.tasks:
            task.kill()


EVENTS = (
    "sigterm",
    "second_sigterm",
    "readiness_check",
    "second_readiness_check",
    "accept",
    "head",
    "head_of_a_slow_request",
    "head_of_one_that_waits_for_an_owner",
    "head_without_its_body",
    "body",
    "sighup",
    "configuration",
    "lost_store",
    "stall",
)
CORE_EVENTS = ("sigterm", "accept", "head", "head_of_a_slow_request", "stall")


class StageCase(unittest.TestCase):
    def play(self, events):
        """Play events, each with the pause before it; return the host and its lines."""
        host = StoppingHost()
        with self.assertLogs("persimmonspoke", "INFO") as logs:
            for pause_s, event in events:
                eventlet.sleep(pause_s)
                if host.ended_at is None:
                    getattr(host, event)()
            host.end()
        return host, logs.records

    def check(self, host, lines):
        """Check all that must hold, whatever the order was."""
        deadlines = host.stop.deadlines
        self.check_stages(host, lines)
        cut = [r for r in lines if getattr(r, "outcome", None) == CUT]
        read = [sent for sent in host.requests if sent.read_at is not None]
        unanswered = [sent for sent in read if sent.reply is None]
        self.assertEqual(len(cut), len(unanswered))
        self.assertLessEqual({line.stage for line in cut}, {"at_target"})
        self.assertEqual(host.stop.cut_count, len(cut))
        for sent in unanswered:
            # All else had to end in time, or be refused.
            self.assertGreaterEqual(host.ended_at, host.signal_at + GRACE_S - SIXTH_S)
            self.assertLess(sent.read_at, deadlines.closing_at)
            self.assertGreater(sent.deadline, deadlines.finishing_at)
        for sent in host.requests:
            if sent.reply is not None:
                self.check_reply(host, sent)
        for signal_at, ready in host.ready_checks:
            self.assertEqual(ready, signal_at is None)

    def check_stages(self, host, lines):
        stages = [r.stage for r in lines if r.getMessage().startswith("daemon: stop")]
        self.assertEqual(stages, ["unready", "closing", "finishing", "ended"])
        self.assertEqual(host.finished, 1)
        self.assertFalse(host.connections.is_listening)
        late_s = host.ended_at - host.stop.deadlines.ended_at
        self.assertLessEqual(late_s, PROMPT_S + host.stalled_s)

    def check_reply(self, host, sent):
        reply = sent.reply
        if host.signal_at is not None and sent.sent_at >= host.signal_at:
            self.assertTrue(sent.connection.close_connection)
        if reply.status == 200:
            self.assertEqual(reply.body, b"ok")
            return
        _, kind, run = reply.error()
        if sent.answered_at >= sent.deadline:
            # The caller, the target or a stall of this host was slow.
            self.assertIn(kind, TOO_LATE)
            return
        self.assertEqual((reply.status, kind, run), (503, "host_closed", "not_run"))
        self.assertTrue(sent.connection.close_connection)
        is_refused_as_waiting = (
            host.signal_at is not None
            and sent.read_at < host.stop.deadlines.closing_at
            and sent.deadline > host.stop.deadlines.finishing_at
        )
        began = sent.sent_at
        if is_refused_as_waiting:
            began = max(began, host.stop.deadlines.finishing_at)
        self.assertLessEqual(sent.answered_at - began, PROMPT_S + host.stalled_s)


class TestOrders(StageCase):
    def setUp(self):
        self.seen = Counter()

    def check(self, host, lines):
        super().check(host, lines)
        self.seen[CUT] += host.stop.cut_count
        for sent in host.requests:
            if sent.reply is not None and sent.reply.status == 200:
                self.seen["answered"] += 1
            elif sent.reply is not None:
                self.seen[sent.reply.error()[1]] += 1

    def check_that_all_was_seen(self):
        for outcome in ("answered", "host_closed", CUT):
            self.assertGreater(self.seen[outcome], MIN_SEEN, self.seen)

    # Guards against LOST: one order of events in which a stop loses a request.
    def test_every_order_of_the_core_events(self):
        for order in itertools.permutations(CORE_EVENTS):
            for pause_s in (0.3, 1.1, 1.9):
                with self.subTest(order=order, pause_s=pause_s):
                    self.check(*self.play((pause_s, event) for event in order))
        self.check_that_all_was_seen()

    def test_random_orders_of_all_events(self):
        for seed in range(RANDOM_ORDERS):
            rng = random.Random(seed)
            order = rng.sample(EVENTS, len(EVENTS))
            events = [(rng.choice((0.0, 0.01, 0.3, 0.9)), event) for event in order]
            with self.subTest(seed=seed, events=events):
                self.check(*self.play(events))
        self.check_that_all_was_seen()


class TestStages(StageCase):
    def setUp(self):
        self.host = StoppingHost()
        self.host.sigterm()
        eventlet.sleep(0)

    def sleep_until(self, s):
        self.host.clock.sleep_until(self.host.signal_at + s)

    def test_an_idle_host_ends_when_the_balancer_has_noticed(self):
        self.host.stop_task.wait()
        self.assertAlmostEqual(
            self.host.ended_at - self.host.signal_at, LINGER_S, delta=PROMPT_S
        )

    def test_the_listener_is_open_until_the_last_answer(self):
        self.sleep_until(2.0)
        self.host.send(patience_s=2.9, took_s=2.0)
        self.sleep_until(3.9)
        self.assertIs(self.host.stop.stage, StopStage.CLOSING)
        self.assertTrue(self.host.connections.is_listening)
        self.sleep_until(4.1)
        self.assertFalse(self.host.connections.is_listening)

    # Guards against LOST between the last answer and the end of the process.
    def test_the_process_ends_after_its_connections(self):
        self.host.connections.open = 10
        self.sleep_until(LINGER_S + 0.1)
        self.assertIs(self.host.stop.stage, StopStage.FINISHING)
        self.host.stop_task.wait()
        self.assertEqual(self.host.connections.open, 0)

    def test_the_process_ends_after_it_has_taken_leave(self):
        self.host.lost_store()
        self.host.stop_task.wait()
        ended_at = self.host.stop.deadlines.ended_at
        self.assertAlmostEqual(self.host.ended_at, ended_at, delta=PROMPT_S)

    def test_a_short_grace_leaves_time_to_finish(self):
        deadlines = StopDeadlines.after(100.0, LINGER_S, 2.0)
        self.assertLessEqual(deadlines.closing_at, deadlines.finishing_at)
        self.assertLessEqual(deadlines.finishing_at, deadlines.ended_at)
        self.assertLess(deadlines.ended_at, 102.0)

    # Guards against LOST: a host that was stalled admits what it can't end in time.
    def test_a_request_read_before_the_late_stop_itself_runs_is_admitted_by_the_clock(
        self,
    ):
        self.sleep_until(1.0)
        for stall_s, patience_s in ((2.0, 5.0), (3.0, 0.1)):
            eventlet.hubs.get_hub().virtual_now += stall_s
            reply = call(
                self.host.app, method="POST", x_deadline_ms=f"{1000 * patience_s:.0f}"
            )
            self.assertEqual(reply.error(), (503, "host_closed", "not_run"))
        self.assertIs(self.host.stop.stage, StopStage.UNREADY)

    # Guards against LOST: a stalled process ends before it has refused what arrived.
    def test_a_stall_past_the_end_skips_no_stage(self):
        self.sleep_until(1.0)
        eventlet.hubs.get_hub().virtual_now += 2 * GRACE_S
        eventlet.sleep(0)
        eventlet.sleep(0)
        self.assertIs(self.host.stop.stage, StopStage.CLOSING)
        self.host.stop_task.wait()
        self.assertEqual(self.host.finished, 1)


if __name__ == "__main__":
    unittest.main()
