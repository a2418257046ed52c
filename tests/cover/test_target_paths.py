"""Tests of how a host finds out whether its paths to the targets are cut."""

import random
import unittest

import eventlet

from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.paths import PathSettings, TargetPaths
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock

SEED = 31
CONNECT_S = 0.005


class Reachable:
    """Targets that accept, refuse or ignore connections.

    Attributes
    ----------
    refusing, silent : set of str
        Targets that refuse connections, and that never answer one.
    tried : list of (float, str)
        Time and target of each connection.
    """

    def __init__(self, count=10):
        self.addresses = [TargetAddress(f"t{n}", "10.1.0.1", n) for n in range(count)]
        self.refusing = set()
        self.silent = set()
        self.tried = []

    def cut(self, how):
        """Make all targets refuse connections, or ignore them."""
        how |= {address.target_id for address in self.addresses}

    def connects(self, target, timeout_s):
        """Return whether a connection is accepted."""
        self.tried.append((virtual_hub.now(), target.target_id))
        if target.target_id in self.silent:
            eventlet.sleep(timeout_s)
            return False
        eventlet.sleep(CONNECT_S)
        return target.target_id not in self.refusing


class PathCase(unittest.TestCase):
    """One host's paths to ten targets, in virtual time."""

    def setUp(self):
        self.net = Reachable()
        self.cfg = PathSettings()
        self.changes = []
        self.paths = TargetPaths(
            self.cfg,
            HubClock(),
            lambda: [self.net.addresses[::2], self.net.addresses[1::2]],
            self.net.connects,
            rng=random.Random(SEED),
        )
        self.paths.on_change.append(lambda: self.changes.append(virtual_hub.now()))
        task = eventlet.spawn(self.paths.run)
        self.addCleanup(task.kill)


class TestACutIsNoticed(PathCase):
    """Guards against a failure of a path that is taken for one of the target."""

    def test_at_once_when_connections_are_refused(self):
        self.net.cut(self.net.refusing)
        self.assertTrue(self.paths.check())
        self.assertLessEqual(len(self.net.tried), 10)

    def test_by_all_that_wait_for_the_same_check(self):
        self.net.cut(self.net.refusing)
        tasks = [eventlet.spawn(self.paths.check) for _ in range(10)]
        self.assertEqual([task.wait() for task in tasks], 10 * [True])

    def test_by_a_check_that_begins_after_the_question(self):
        eventlet.spawn_n(self.paths.check)
        eventlet.sleep(2 * CONNECT_S)
        self.net.cut(self.net.refusing)
        self.assertTrue(self.paths.check())

    def test_within_two_timeouts_when_connections_hang(self):
        self.net.cut(self.net.silent)
        began = virtual_hub.now()
        self.assertTrue(self.paths.check())
        self.assertLessEqual(virtual_hub.now() - began, 2 * self.cfg.connect_s + 0.01)

    def test_within_a_second_while_requests_wait_and_nothing_answers(self):
        with self.paths.in_flight(self.net.addresses[3]):
            self.paths.record_answer("t3")
            self.net.cut(self.net.silent)
            eventlet.sleep(1.0)
        self.assertTrue(self.paths.is_cut)

    def test_without_any_request(self):
        eventlet.sleep(2 * self.cfg.idle_s)
        self.net.cut(self.net.refusing)
        eventlet.sleep(self.cfg.idle_s + 0.2)
        self.assertTrue(self.paths.is_cut)

    def test_its_end_is_noticed_within_half_a_second(self):
        self.net.cut(self.net.silent)
        self.paths.check()
        self.net.silent.clear()
        eventlet.sleep(0.5)
        self.assertFalse(self.paths.is_cut)
        self.assertEqual(len(self.changes), 2)

    def test_beginning_and_end_leave_a_line_each_with_their_evidence(self):
        with self.assertLogs("persimmonspoke.internal.targets.paths") as logs:
            self.net.cut(self.net.refusing)
            self.paths.check()
            eventlet.sleep(2.0)
            self.net.refusing.clear()
            eventlet.sleep(1.0)
        cut, restored = logs.records
        self.assertEqual((cut.lost_count, cut.known_count), (10, 10))
        self.assertGreaterEqual(cut.last_answer_age_s, 0.0)
        self.assertAlmostEqual(restored.cut_s, 2.0, delta=0.5)


class TestSomeTargetsAreNotReached(PathCase):
    """Guards against a cut of some paths, as to one service, taken for all or none."""

    def setUp(self):
        super().setUp()
        self.net.silent |= {f"t{number}" for number in range(0, 10, 2)}
        self.lost = self.net.addresses[4]

    def test_one_is_noticed_within_a_second_while_a_request_waits_for_it(self):
        with self.paths.in_flight(self.lost):
            eventlet.sleep(1.0)
        self.assertFalse(self.paths.reaches("t4"))
        self.assertTrue(self.paths.reaches("t3"))

    def test_a_whole_service_that_is_not_reached_is_no_cut_for_long(self):
        cut_s = 0.0
        for _ in range(500):
            self.paths.check_target(self.lost, refused=False)
            eventlet.sleep(0.02)
            cut_s += 0.02 * self.paths.is_cut
        self.assertLess(cut_s, 0.5)
        self.assertLessEqual({"t4"}, self.paths.lost.keys())
        self.assertLessEqual(self.paths.lost.keys(), self.net.silent)

    def test_the_few_that_are_reached_are_known_within_a_second(self):
        self.net.silent |= {"t1", "t3", "t5", "t7"}
        self.paths.check_target(self.lost, refused=False)
        eventlet.sleep(1.0)
        self.assertTrue(self.paths.is_cut)
        self.assertEqual(self.paths.lost.keys(), self.net.silent)

    def test_one_that_answers_over_a_kept_connection_is_not_checked(self):
        with self.paths.in_flight(self.lost):
            for _ in range(20):
                self.paths.record_answer("t4")
                eventlet.sleep(0.2)
        self.assertNotIn("t4", [name for _, name in self.net.tried])

    def test_one_that_is_slow_is_checked_once_a_second_at_most(self):
        self.net.silent.clear()
        with self.paths.in_flight(self.lost):
            eventlet.sleep(10)
        times = [name for _, name in self.net.tried].count("t4")
        self.assertLessEqual(times, 10 / self.cfg.again_s + 10 / self.cfg.idle_s)
        self.assertTrue(self.paths.reaches("t4"))

    def test_its_return_is_noticed_within_half_a_second(self):
        self.paths.check_target(self.lost, refused=False)
        self.assertFalse(self.paths.reaches("t4"))
        self.net.silent.clear()
        eventlet.sleep(0.5)
        self.assertTrue(self.paths.reaches("t4"))


class TestAFullLink(PathCase):
    """Guards against LOST: answers that come late are taken for a cut."""

    def setUp(self):
        super().setUp()
        self.net.cut(self.net.silent)

    def keep_answering(self, *target_ids):
        def answer():
            while True:
                eventlet.sleep(self.cfg.connect_s / 2)
                for target_id in target_ids:
                    self.paths.record_answer(target_id)

        task = eventlet.spawn(answer)
        self.addCleanup(task.kill)

    def test_is_no_cut_while_targets_answer_over_kept_connections(self):
        self.keep_answering(*(target.target_id for target in self.net.addresses))
        self.assertFalse(self.paths.check())
        self.assertEqual(self.paths.lost, {})

    def test_the_target_that_answers_is_reached(self):
        self.keep_answering("t3")
        self.assertTrue(self.paths.check_target(self.net.addresses[3], refused=False))
        self.assertTrue(self.paths.reaches("t3"))

    def test_those_that_answer_are_not_lost_with_the_others(self):
        self.keep_answering("t3", "t4")
        self.assertTrue(self.paths.check())
        self.assertEqual(len(self.paths.lost), 8)
        self.assertTrue(self.paths.reaches("t3") and self.paths.reaches("t4"))

    def test_one_that_answers_during_the_second_look_is_reached(self):
        delay_s = 1.25 * self.cfg.connect_s
        eventlet.spawn_after(delay_s, self.paths.record_answer, "t3")
        self.assertTrue(self.paths.check_target(self.net.addresses[3], refused=False))
        self.assertTrue(self.paths.reaches("t3"))

    def test_those_that_answer_and_were_not_tried_are_not_lost(self):
        self.net.addresses[:] = Reachable(40).addresses
        self.net.cut(self.net.silent)
        answering = {"t1", "t17", "t33"}
        self.keep_answering(*answering)
        self.assertTrue(self.paths.check())
        self.assertEqual(len(self.paths.lost), 40 - len(answering))

    def test_what_was_answered_before_the_check_is_no_evidence(self):
        for target in self.net.addresses:
            self.paths.record_answer(target.target_id)
        self.assertTrue(self.paths.check())
        self.assertEqual(len(self.paths.lost), 10)


class TestManyTargets(PathCase):
    """Guards against a sample that is taken for more, or for less, than it shows."""

    def setUp(self):
        super().setUp()
        self.net.addresses[:] = Reachable(40).addresses

    def test_all_count_as_lost_at_once_if_none_of_the_sample_is_reached(self):
        self.net.cut(self.net.refusing)
        self.paths.check()
        self.assertEqual(len(self.paths.lost), 40)
        self.assertLess(len(self.net.tried), 40)

    def test_twelve_that_ended_are_never_taken_for_a_cut(self):
        self.net.refusing |= {f"t{number}" for number in range(12)}
        for _ in range(300):
            self.assertFalse(self.paths.check())
            eventlet.sleep(0.1)


class TestTargetsThatEndedAreToldApart(PathCase):
    """Guards against an innocent host that takes ended targets for a cut."""

    def test_a_few_targets_that_ended_are_no_cut(self):
        self.net.refusing |= {"t0", "t1", "t2"}
        for _ in range(20):
            self.assertFalse(self.paths.check())
            eventlet.sleep(0.2)
        self.assertLessEqual(self.paths.lost.keys(), {"t0", "t1", "t2"})

    def test_a_service_without_targets_is_no_cut(self):
        self.net.addresses.clear()
        self.assertFalse(self.paths.check())


class TestTheCostOfChecks(PathCase):
    def test_many_failures_at_a_time_share_one_check(self):
        tasks = [eventlet.spawn(self.paths.check) for _ in range(100)]
        for task in tasks:
            task.wait()
        self.assertEqual(len(self.net.tried), self.cfg.sampled)

    def test_answers_make_checks_needless(self):
        for _ in range(100):
            self.paths.record_answer("t0")
            eventlet.sleep(0.1)
        self.assertEqual(self.net.tried, [])

    def test_a_host_without_requests_connects_once_a_second_at_most(self):
        eventlet.sleep(20)
        self.assertLessEqual(len(self.net.tried), 20)

    def test_a_cut_host_tries_some_targets_four_times_a_second_at_most(self):
        self.net.cut(self.net.refusing)
        eventlet.sleep(20)
        bound = 20 / self.cfg.recheck_s * self.cfg.rechecked + 10
        self.assertLessEqual(len(self.net.tried), bound)
