"""Tests of targets that turn requests away and ask a host for a rest."""

import random
import unittest
from types import SimpleNamespace

import eventlet

from persimmonspoke.errors import NoOwnerYet, Overloaded, TargetShed
from persimmonspoke.internal.scheduling.api import SlotOutcome
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.internal.targets.rests import MAX_REST_S, TargetRests
from persimmonspoke.platform import headers
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock
from tests.fakes.crashing_pool import CrashingPool, PoolCaller
from tests.fakes.desk_fleet import FIRST_START, SchedulerHost
from tests.fakes.network import FakeNetwork
from tests.fakes.range_fleet import SERVICE, record

SEED = 31
ALLOWED_S = 0.5  # the platform allows requests that arrive so soon after the refusal


class RestCase(unittest.TestCase):
    """The rests of one host."""

    def setUp(self):
        self.born_ms = 1
        self.clock = HubClock()
        self.rests = TargetRests(self.clock, self.incarnation, random.Random(SEED))
        self.notices = TargetNotices(self.incarnation)
        self.notices.on_rest = self.rests.record

    def incarnation(self, target_id):
        return Incarnation(target_id, self.born_ms)

    def refuse(self, *values, target_id="one", status=503, not_run=True):
        """Let a target answer with some values of the field."""
        fields = {headers.RETRY_AFTER: ", ".join(values)} if values else {}
        if not_run:
            fields[headers.NOT_RUN] = "full"
        incarnation = self.incarnation(target_id)
        headers.read_notices(status, fields, incarnation, self.notices)


class TestTheNotice(RestCase):
    def test_is_in_seconds_with_fractions(self):
        for text, seconds in (("2", 2.0), ("0.75", 0.75), ("3.", 3.0), ("007", 7.0)):
            self.born_ms += 1
            self.refuse(text)
            self.assertAlmostEqual(self.rests.left_s("one"), seconds)

    def test_counts_on_a_refusal_that_does_not_say_whether_it_ran(self):
        self.refuse("2", not_run=False)
        self.assertEqual(self.rests.left_s("one"), 2.0)

    def test_counts_on_no_other_status(self):
        for status in (200, 429, 500, 504):
            self.refuse("2", status=status)
            self.assertTrue(self.rests.may_send("one"))

    def test_that_is_missing_or_zero_asks_for_nothing(self):
        with self.assertNoLogs():
            self.refuse()
            self.refuse("0")
        self.assertTrue(self.rests.may_send("one"))

    def test_that_can_not_be_read_is_logged_once_and_ignored(self):
        for text in (
            "",
            "soon",
            "-1",
            "1e9",
            "nan",
            "inf",
            "٣",
            "9" * 5000,
            "Sat, 05 Dec 2026 10:00:00 GMT",
        ):
            self.born_ms += 1
            with self.subTest(text[:9]), self.assertLogs() as logs:
                for _ in range(5):
                    self.refuse(text)
                self.assertEqual(len(logs.records), 1)
                self.assertTrue(self.rests.may_send("one"))

    def test_the_longest_of_several_values_counts(self):
        self.refuse("1", "3", "x")
        self.assertAlmostEqual(self.rests.left_s("one"), 3.0)

    def test_a_huge_rest_is_believed_for_some_minutes(self):
        self.refuse("9" * 20)
        self.assertEqual(self.rests.left_s("one"), MAX_REST_S)

    def test_a_shorter_one_does_not_end_a_longer_one(self):
        self.refuse("3")
        self.refuse("1")
        self.assertAlmostEqual(self.rests.left_s("one"), 3.0)

    def test_a_target_that_starts_again_does_not_rest(self):
        self.refuse("3")
        self.born_ms = 2
        self.assertTrue(self.rests.may_send("one"))
        self.assertEqual(self.rests.resting(), [])

    def test_the_beginning_of_a_rest_is_logged(self):
        with self.assertLogs("persimmonspoke.internal.targets.rests") as logs:
            self.refuse("3")
            self.refuse("1")
        self.assertEqual([r.believed_s for r in logs.records], [3.0])


class TestCallersOfTargetsThatAllRest(RestCase):
    """Guards against callers that wait, or that come back in one wave."""

    def test_are_told_the_end_of_the_first_rest_and_spread_behind_it(self):
        self.refuse("1.5", target_id="one")
        self.refuse("2", target_id="two")
        times = [self.rests.retry_after_s(["one", "two"]) for _ in range(500)]
        self.assertGreaterEqual(min(times), 1.5)
        self.assertGreater(max(times) - min(times), 0.8)
        tenths = {int(10 * time) for time in times}
        self.assertGreaterEqual(len(tenths), 9)

    def test_are_told_nothing_while_one_does_not_rest(self):
        self.refuse("1", target_id="one")
        self.assertIsNone(self.rests.retry_after_s(["one", "two"]))


class RestingPool(CrashingPool):
    """Targets, some of which turn every request away and ask for a rest.

    Attributes
    ----------
    resting : dict of str to float
        The targets that do so, and the rest that they ask for.
    """

    def __init__(self, count):
        super().__init__(count)
        self.resting = {}


class TestRequestsForRestingTargets(RestCase):
    """Guards against BUDGET: requests to a target that wants nothing from the host."""

    def setUp(self):
        super().setUp()
        self.pool = RestingPool(4)
        host = SimpleNamespace(
            process=SimpleNamespace(name="h0"), clock=self.clock, alive=True
        )
        self.caller = PoolCaller(self.pool, host, SEED, rests=self.rests)
        self.real_send = self.caller.requests.send
        self.caller.requests.send = self.send
        self.reached = []
        self.refused_at = {}

    def send(self, to, req):
        """Send a request; a resting target turns it away and asks for a rest."""
        if not req.may_send():
            return self.real_send(to, req)
        self.reached.append((virtual_hub.now(), to.target_id))
        rest_s = self.pool.resting.get(to.target_id)
        if rest_s is None:
            return self.real_send(to, req)
        self.refused_at.setdefault(to.target_id, virtual_hub.now())
        self.refuse(str(rest_s), target_id=to.target_id)
        raise TargetShed("full")

    def play(self, seconds, per_s=100):
        rng = random.Random(SEED)
        end = virtual_hub.now() + seconds
        while virtual_hub.now() < end:
            eventlet.sleep(rng.expovariate(per_s))
            eventlet.spawn_n(self.caller.send, "/a")

    def late_arrivals(self, target_id, rest_s):
        """Return the requests that reached a target while it rested, too late."""
        since = self.refused_at[target_id]
        return [
            at
            for at, name in self.reached
            if name == target_id and since + ALLOWED_S < at < since + rest_s
        ]

    def test_reach_none_while_it_rests_and_others_instead(self):
        self.pool.resting = {"t1": 3.0}
        self.play(2.8)
        self.assertEqual(self.late_arrivals("t1", 3.0), [])
        outcomes = [outcome for _, outcome in self.caller.outcomes]
        self.assertGreater(outcomes.count(200) / len(outcomes), 0.98)

    def test_reach_none_while_all_rest(self):
        self.pool.resting = dict.fromkeys(("t0", "t1", "t2", "t3"), 3.0)
        self.play(2.8)
        for target_id in self.pool.resting:
            self.assertEqual(self.late_arrivals(target_id, 3.0), [])


class TestSlotsOfRestingTargets(unittest.TestCase):
    """Guards against a slot of a resting target, whatever its desk knows."""

    def hosts(self, divided=False):
        """Return two hosts; the second one is not the desk."""
        network, peers = FakeNetwork(), []
        records = {name: record(name) for name in ("t0", "t1")}
        found = [
            SchedulerHost(number, network, peers, records, divided)
            for number in range(2)
        ]
        for host in found:
            host.address_of = {a.host_id: a for a in peers}.get
            self.addCleanup(host.task.kill)
        desk_id = found[0].scheduler._desk_host(SERVICE).host_id
        return sorted(found, key=lambda host: host.me().host_id != desk_id)

    def rest(self, host, name, rest_s=2.0):
        host.rests.record(FIRST_START(name), rest_s)

    def assert_refused_at_once(self, host, rest_s=2.0, **fields):
        began = virtual_hub.now()
        with self.assertRaises(Overloaded) as caught:
            host.acquire(3.0, **fields)
        self.assertLess(virtual_hub.now() - began, 0.01)
        self.assertGreaterEqual(caught.exception.retry_after_s, rest_s - 0.01)

    def test_go_to_no_host_that_it_wants_nothing_from(self):
        _, host = self.hosts()
        self.rest(host, "t0")
        self.assertEqual({host.acquire().target_id for _ in range(2)}, {"t1"})

    def test_may_go_to_other_hosts(self):
        desk, host = self.hosts()
        self.rest(host, "t0")
        used = sorted(desk.acquire().target_id for _ in range(4))
        self.assertEqual(used, ["t0", "t0", "t1", "t1"])

    def test_are_refused_at_once_if_all_rest(self):
        _, host = self.hosts()
        self.rest(host, "t0")
        self.rest(host, "t1")
        self.assert_refused_at_once(host)

    def test_are_refused_at_once_if_the_owner_of_the_key_rests(self):
        _, host = self.hosts(divided=True)
        self.rest(host, "t0")
        self.assert_refused_at_once(host, candidates=("t0",))
        self.assertEqual(host.acquire(candidates=("t1",)).target_id, "t1")

    def test_are_given_back_if_the_owner_of_the_key_began_to_rest(self):
        desk, host = self.hosts(divided=True)
        slots = [desk.acquire(candidates=("t0",)) for _ in range(2)]
        waiting = eventlet.spawn(host.acquire, 3.0, ("t0",))
        eventlet.sleep(0.05)
        self.rest(host, "t0")
        slots[0].done(SlotOutcome.ANSWERED)
        with self.assertRaises(Overloaded):
            waiting.wait()
        eventlet.sleep(0.1)
        self.assertEqual(desk.acquire(candidates=("t0",)).target_id, "t0")

    def test_are_given_back_by_a_request_that_waited_when_the_rest_began(self):
        desk, host = self.hosts()
        slots = [desk.acquire() for _ in range(4)]
        waiting = eventlet.spawn(host.acquire, 3.0)
        eventlet.sleep(0.05)
        resting = slots[0].target_id
        self.rest(host, resting)
        slots[0].done(SlotOutcome.ANSWERED)
        with self.assertRaises(NoOwnerYet):
            waiting.wait()
        eventlet.sleep(0.1)
        self.assertEqual(desk.acquire().target_id, resting)


if __name__ == "__main__":
    unittest.main()
