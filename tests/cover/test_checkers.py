"""Each checker reports the fault that it exists for."""

import unittest
from unittest import mock

import eventlet

from persimmonspoke.errors import TargetShed
from persimmonspoke.internal.questionnaire.in_force import ConfigurationsInForce
from tests.fakes import checkers, virtual_hub
from tests.fakes.cluster import SERVICE, TEAM, FakeCluster
from tests.fakes.history import Execution, History, Hold
from tests.fakes.targets import FakeRequests, FakeTarget

KEYS = tuple(f"k{number}" for number in range(8))
SHARD = (TEAM, SERVICE, 0)


class TestCheckersWithoutFaults(unittest.TestCase):
    """The same run as in the tests below, without a mutation."""

    def test_nothing_is_reported(self):
        for checks in (True, False):
            with self.subTest(checks=checks):
                cluster = _run(self, checks)
                _drain_owner(cluster)
                self.assertEqual(checkers.all_violations(cluster), [])
                self.assertEqual(cluster.faults, [])
                self.assertEqual(cluster.network.crashes, [])


class TestMutants(unittest.TestCase):
    """A cluster in which one rule is broken on purpose."""

    def violated_guarantees(self, cluster):
        return {found.guarantee for found in checkers.all_violations(cluster)}

    def mutate(self, kind, name, mutant):
        patch = mock.patch.object(kind, name, mutant)
        patch.start()
        self.addCleanup(patch.stop)

    def test_a_release_that_is_not_executed(self):
        def release(target, order):
            return mock.Mock(clock=target.clock())

        self.mutate(FakeTarget, "release", release)
        cluster = _run(self)
        _drain_owner(cluster)
        self.assertIn("two_owners", self.violated_guarantees(cluster))

    def test_a_request_that_runs_at_a_target_that_is_not_the_owner(self):
        cluster = _run(self, checks=False)
        other = next(name for name in cluster.targets if name != cluster.owner())
        cluster.targets[other].execute("x", True, SHARD, 0, 0.0)
        self.assertIn("two_owners", self.violated_guarantees(cluster))

    def test_a_protected_request_that_is_sent_twice(self):
        send = FakeRequests.send

        def send_twice(requests, target, req):
            send(requests, target, req)
            return send(requests, target, req)

        self.mutate(FakeRequests, "send", send_twice)
        self.assertIn("protected_run_twice", self.violated_guarantees(_run(self)))

    def test_a_target_that_runs_a_request_which_it_refuses(self):
        execute = FakeTarget.execute

        def shed_late(target, *args):
            execute(target, *args)
            raise TargetShed("shed after it ran")

        self.mutate(FakeTarget, "execute", shed_late)
        self.assertIn("refused_yet_run", self.violated_guarantees(_run(self)))

    def test_an_answer_to_another_request(self):
        execute = FakeTarget.execute

        def answer_wrong_id(target, request, *args):
            execute(target, request, *args)
            return request + "0"

        self.mutate(FakeTarget, "execute", answer_wrong_id)
        self.assertIn("wrong_answer", self.violated_guarantees(_run(self)))

    def test_a_page_written_back_to_an_earlier_epoch(self):
        cluster = _run(self)
        key = f"pages/{TEAM}/{SERVICE}/0"
        stored = cluster.platform.get(key)
        stored.value["epoch"] -= 1
        cluster.platform.put(key, stored.value, stored.version)
        self.assertIn("lost_acknowledged_assignment", self.violated_guarantees(cluster))

    def test_an_assignment_changed_within_its_epoch(self):
        cluster = _run(self)
        key = f"pages/{TEAM}/{SERVICE}/0"
        stored = cluster.platform.get(key)
        stored.value["epoch"] += 1
        stored.value["owners"][0] = "t9"
        cluster.platform.put(key, stored.value, stored.version)
        self.assertIn("lost_acknowledged_assignment", self.violated_guarantees(cluster))

    def test_a_configuration_reverted_to_an_earlier_generation(self):
        cluster = _run(self)
        self.mutate(ConfigurationsInForce, "generations", lambda in_force: {TEAM: 0})
        eventlet.sleep(0.2)
        self.assertIn("reverted_generation", self.violated_guarantees(cluster))

    def test_a_drained_target_that_still_gets_requests(self):
        cluster = _run(self)
        cluster.history.record_drain(cluster.owner())
        eventlet.sleep(checkers.LEAVING_S + 1)
        self.assertIn("leaving_new_work", self.violated_guarantees(cluster))

    def test_keys_without_an_owner_are_counted_as_unavailable(self):
        cluster = _run(self)
        since = virtual_hub.now()
        for target in cluster.targets.values():
            target.sheds = True
        eventlet.sleep(2)
        for target in cluster.targets.values():
            target.sheds = False
        eventlet.sleep(2)
        worst = max(checkers.unavailable_s(cluster.history, since, 0.1).values())
        self.assertGreater(worst, 1.8)


class TestTwoOwners(unittest.TestCase):
    """Constructed histories at the boundaries of the rule."""

    def holds(self, *spans):
        rows = [
            Hold(name, SHARD, 1, since, until, True) for name, since, until in spans
        ]
        return checkers.two_owners(History(holds=rows))

    def runs(self, *spans):
        rows = [
            Execution("r", False, name, SHARD, epoch, began, began, False, ended)
            for name, epoch, began, ended in spans
        ]
        return checkers.two_owners(History(executions=rows))

    def test_adjacent_grants_are_allowed_and_overlapping_ones_are_not(self):
        self.assertEqual(self.holds(("a", 0, 1), ("b", 1, 2)), [])
        self.assertEqual(len(self.holds(("a", 0, 1.01), ("b", 1, 2))), 1)
        self.assertEqual(len(self.holds(("a", 0, 9), ("a", 1, 2), ("b", 5, 6))), 1)

    def test_requests_of_an_earlier_epoch_may_not_follow_those_of_a_later_one(self):
        self.assertEqual(self.runs(("a", 1, 0, 1), ("b", 2, 1, 2)), [])
        self.assertEqual(len(self.runs(("b", 2, 0, 1), ("a", 1, 2, 3))), 1)
        self.assertEqual(len(self.runs(("a", 1, 0, 1.5), ("b", 2, 1, 2))), 1)


def _run(case, checks=True):
    """Start a cluster and callers; return it after one second of requests."""
    cluster = FakeCluster(hosts=3, checks=checks)
    case.addCleanup(cluster.close)
    eventlet.sleep(3)
    cluster.probe(KEYS)
    eventlet.sleep(1)
    return cluster


def _drain_owner(cluster):
    """Drain one owner, and wait until its shards have moved."""
    cluster.drain(cluster.owner())
    eventlet.sleep(5)
