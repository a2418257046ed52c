"""Tests of requests that end the targets which run them, over a fleet of hosts.

The platform allows such a request three retries that reach targets, sent by hosts that
have run and been connected for `SETTLE_S`, later than that after the third crash.
"""

import random
import unittest
from types import SimpleNamespace

import eventlet

from persimmonspoke.errors import OutcomeUnknown, Quarantined
from persimmonspoke.internal.quarantine.keeping import (
    QUARANTINE_KEY,
    QuarantineKeeper,
)
from persimmonspoke.internal.quarantine.settings import QuarantineSettings
from persimmonspoke.internal.quarantine.suspects import MAX_CRASHES_KEPT, Suspects
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock
from tests.fakes.crashing_pool import CrashingPool, PoolCaller, streamed
from tests.fakes.process import FakeProcess
from tests.fakes.range_fleet import RangeFleet
from tests.fakes.store import FakePlatformStore, FakeStore

SEED = 27
SETTLE_S = 3.0  # the platform's `stable_window_s`
ALLOWED_RETRIES = 3
BAD = "/crashes"
SENDS_PER_S = 6.0
CFG = QuarantineSettings()


class CrashCase(unittest.TestCase):
    """Sends requests to a pool through a fleet of hosts, in virtual time."""

    hosts = 4
    targets = 10

    def setUp(self):
        self.random = random.Random(SEED)
        self.fleet = RangeFleet(hosts=self.hosts, targets=1)
        self.addCleanup(self.fleet.stop)
        self.pool = CrashingPool(self.targets)
        self.pool.crashing.add(BAD)
        self.callers = {}
        self.fleet.run_for(3)

    def caller(self, host):
        """Return the sender of a host's requests."""
        if host not in self.callers:
            self.callers[host] = PoolCaller(
                self.pool,
                host,
                self.random.random(),
                suspects=host.suspects,
                incarnation_of=self.pool.incarnation_of,
                paths=host.paths,
            )
        return self.callers[host]

    def living(self):
        return [host for host in self.fleet.hosts if host.alive()]

    def play(self, seconds, path=BAD, hosts=None, make_body=bytes, **fields):
        """Send equal requests at random moments through random hosts."""
        end = virtual_hub.now() + seconds
        while virtual_hub.now() < end:
            self.fleet.run_for(self.random.expovariate(SENDS_PER_S))
            host = self.random.choice(hosts or self.living())
            eventlet.spawn_n(self.caller(host).send, path, body=make_body(), **fields)

    def restart_all(self):
        """Kill all hosts at once, and return those that start in their place."""
        for host in self.living():
            host.kill()
        return [self.fleet.restart(host) for host in list(self.fleet.hosts)]

    def crash_three(self):
        """Send the crashing request until it is refused."""
        while len(self.pool.crashes(BAD)) < CFG.max_crashes:
            self.play(0.2)
        self.fleet.run_for(0.1)

    def assert_within_the_limit(self):
        """Check the platform's rule."""
        late = self.pool.late_retries(BAD, SETTLE_S)
        self.assertLessEqual(len(late), ALLOWED_RETRIES)
        self.assertGreaterEqual(len(self.pool.crashes(BAD)), CFG.max_crashes)

    def assert_none_is_sent_by(self, hosts):
        """Check that hosts refuse the crashing request once they are connected."""
        self.fleet.run_for(SETTLE_S)
        reached = len(self.pool.arrivals)
        self.play(10.0, hosts=hosts)
        self.assertEqual(len(self.pool.arrivals), reached)


class TestRequestsOnLostPaths(CrashCase):
    # Guards against RECOVER: a host that loses its paths reports innocent requests.
    def test_they_count_as_crashes_of_no_target(self):
        self.fleet.other_targets = [f"other-{number}" for number in range(6)]
        host = self.fleet.hosts[0]
        caller = self.caller(host)
        for _ in range(CFG.max_crashes + 1):
            tasks = [eventlet.spawn(caller.send, "/innocent") for _ in range(10)]
            self.fleet.run_for(0.02)
            host.cut_how = "refused"
            caller.requests.cut_paths()
            for task in tasks:
                task.wait()
            host.cut_how, caller.requests.cut = None, False
            self.fleet.run_for(0.5)
        self.assertEqual(host.suspects.counts(), (0, 0))
        self.assertEqual(caller.send("/innocent"), 200)


class TestRequestsThatEndTargets(CrashCase):
    # Guards against BUDGET: one request ends target after target, through all hosts.
    def test_they_reach_few_more_targets_once_three_have_ended(self):
        self.play(30.0)
        self.assert_within_the_limit()

    # Guards against BUDGET where the request may run once only, with a long body.
    def test_they_do_so_whatever_their_method_and_body(self):
        self.play(
            20.0,
            method="POST",
            protected=True,
            make_body=lambda: streamed(b"first", b"second"),
        )
        self.assert_within_the_limit()

    # Guards against BUDGET after the host that joined what all know has been lost.
    def test_they_do_so_while_the_leader_is_lost(self):
        for _ in range(2):
            self.play(0.3)
            leader = self.fleet.leader()
            leader.kill()
            self.fleet.restart(leader)
        self.play(20.0)
        self.assert_within_the_limit()

    # Guards against BUDGET at hosts that were cut off meanwhile.
    def test_they_do_so_at_a_host_that_was_cut_off(self):
        cut = next(h for h in self.living() if h is not self.fleet.leader())
        others = [h for h in self.living() if h is not cut]
        machines = {h.process.machine for h in others}
        self.fleet.network.cut({cut.process.machine}, machines)
        self.play(6.0, hosts=others)
        self.assertGreaterEqual(len(self.pool.crashes(BAD)), CFG.max_crashes)
        self.fleet.network.heal()
        self.assert_none_is_sent_by([cut])

    # Guards against BUDGET at hosts that start after the others have learned of it.
    def test_they_do_so_at_a_host_that_was_restarted(self):
        self.crash_three()
        old = next(h for h in self.living() if h is not self.fleet.leader())
        old.kill()
        new = self.fleet.restart(old)
        self.assert_none_is_sent_by([new])

    # Guards against BUDGET after the loss of all hosts, whose memory is gone.
    def test_they_do_so_after_all_hosts_were_lost(self):
        self.crash_three()
        self.fleet.run_for(1.0)
        self.assert_none_is_sent_by(self.restart_all())

    # Guards against BUDGET when the store forgets its copy and all hosts are lost.
    def test_they_do_so_after_the_store_was_restored_and_all_hosts_were_lost(self):
        self.crash_three()
        self.fleet.run_for(1.0)
        self.fleet.platform.restore(9.0)
        for host in self.fleet.hosts:
            host.store.era = self.fleet.platform.era
        self.fleet.run_for(3.0)
        self.assert_none_is_sent_by(self.restart_all())

    # Guards against BUDGET where targets end while a long answer is passed on.
    def test_they_do_so_when_the_answer_has_begun(self):
        self.pool.crashing.clear()
        self.pool.breaking.add(BAD)
        self.play(20.0)
        self.assert_within_the_limit()

    def test_they_do_so_while_the_store_is_away(self):
        self.fleet.platform.faults.down = True
        self.play(8.0)
        self.fleet.platform.faults.down = False
        self.play(10.0)
        self.assert_within_the_limit()


class TestWhatHostsTellEachOther(CrashCase):
    def crash(self, host, number):
        """Let a host see that a target ended under the request."""
        host.suspects.record_crash("bad", f"t{number}/1", "r")

    def refusing(self):
        return [host for host in self.living() if not host.suspects.allows("bad")]

    def replace_leader(self):
        former = self.fleet.leader()
        former.kill()
        self.fleet.restart(former)
        while self.fleet.leader() in (None, former):
            self.fleet.run_for(0.1)

    def test_crashes_that_three_hosts_have_seen_are_counted_together(self):
        for number, host in enumerate(self.living()[:3]):
            self.crash(host, number)
        self.fleet.run_for(1.0)
        self.assertEqual(self.refusing(), self.living())

    # Guards against BUDGET: the count begins anew with each leader.
    def test_a_new_leader_learns_what_was_told_to_the_one_before(self):
        # The first of them is the next leader.
        third, second, first = [
            host for host in self.living() if host is not self.fleet.leader()
        ]
        self.crash(first, 0)
        self.fleet.run_for(1.0)
        self.replace_leader()
        self.crash(second, 1)
        self.crash(third, 2)
        self.fleet.run_for(1.0)
        self.assertEqual(self.refusing(), self.living())

    # In a large fleet a host reports only about once a second.
    def test_all_hosts_know_as_soon_as_the_leader_does(self):
        leader = self.fleet.leader()
        host = next(h for h in self.living() if h is not leader)
        for number in range(CFG.max_crashes):
            self.crash(host, number)
        while leader.suspects.allows("bad"):
            self.fleet.run_for(0.001)
        self.fleet.run_for(0.005)
        self.assertEqual(self.refusing(), self.living())


class TestServicesOfOneTarget(CrashCase):
    targets = 1

    # Guards against BUDGET where each key has one owner: one target ends often.
    def test_each_start_of_a_target_counts(self):
        self.play(30.0)
        self.assert_within_the_limit()


class TestOtherRequests(CrashCase):
    def test_one_whose_connections_end_while_its_targets_live_is_sent_on(self):
        self.pool.losing.add("/good")
        for host in self.living() * CFG.max_crashes:
            self.assertIsInstance(self.caller(host).send("/good"), OutcomeUnknown)

    def test_those_of_the_same_path_or_caller_are_served(self):
        mine, other = (("Cookie", "id=1"),), (("Cookie", "id=2"),)
        bad = {"method": "POST", "body": b"bad", "headers": mine}
        self.play(6.0, method="POST", headers=mine, make_body=lambda: b"bad")
        good = [
            {"method": "POST", "body": b"good", "headers": mine},
            {"method": "POST", "body": b"bad", "headers": other},
            {"method": "PUT", "body": b"bad", "headers": mine},
        ]
        self.pool.crashing.clear()
        self.fleet.run_for(3.0)
        for host in self.living():
            self.assertIsInstance(self.caller(host).send(BAD, **bad), Quarantined)
            for fields in good:
                self.assertEqual(self.caller(host).send(BAD, **fields), 200)
            self.assertEqual(self.caller(host).send("/other", headers=mine), 200)

    def test_one_that_runs_beside_crashing_ones_is_served(self):
        eventlet.spawn_n(self.play, 20.0)
        self.play(30.0, "/good")
        refused = [
            outcome
            for caller in self.callers.values()
            for path, outcome in caller.outcomes
            if path == "/good" and isinstance(outcome, Quarantined)
        ]
        self.assertEqual(refused, [])

    def test_one_that_is_repeated_while_targets_end_by_themselves_is_served(self):
        for _ in range(20):
            for name in self.random.sample(sorted(self.pool.starts), 4):
                eventlet.spawn_after(self.random.random(), self.pool.end, name)
            self.play(2.0, "/good")
        self.fleet.run_for(3.0)
        for host in self.living():
            self.assertEqual(self.caller(host).send("/good"), 200)


class TestWaitingRequests(CrashCase):
    # Guards against BUDGET: many of them wait when the third target ends.
    def test_they_are_refused_and_not_sent(self):
        host = self.living()[1]
        caller = self.caller(host)
        caller.scheduler.wait_s = 1.0
        waiting = [eventlet.spawn(caller.send, BAD) for _ in range(20)]
        self.fleet.run_for(0.5)
        self.crash_three_at_others(host)
        reached = [a for a in self.pool.arrivals if a.host is host]
        for task in waiting:
            self.assertIsInstance(task.wait(), Quarantined)
        self.assertEqual([a for a in self.pool.arrivals if a.host is host], reached)

    def crash_three_at_others(self, host):
        others = [other for other in self.living() if other is not host]
        while host.suspects.allows(self.fingerprint()):
            self.play(0.02, hosts=others)

    def fingerprint(self):
        """Return the fingerprint of the crashing request, once a host knows it."""
        rows = [row for h in self.living() for row in h.suspects.shared_rows()]
        return rows[0][0] if rows else None


class TestRefusals(CrashCase):
    def setUp(self):
        super().setUp()
        self.crash_three()
        self.fleet.run_for(1.0)
        self.host = self.living()[1]

    def send(self):
        return self.caller(self.host).send(BAD)

    def test_they_say_that_the_request_did_not_run_and_when_to_come_back(self):
        reached = len(self.pool.arrivals)
        exc = self.send()
        self.assertIsInstance(exc, Quarantined)
        self.assertEqual(len(self.pool.arrivals), reached)
        self.assertGreater(exc.retry_after_s, 0.5 * CFG.trial_s)
        self.assertLessEqual(exc.retry_after_s, CFG.trial_s)

    def test_the_request_whose_target_was_the_last_is_not_said_to_have_not_run(self):
        failures = [o for c in self.callers.values() for _, o in c.outcomes]
        unknown = [exc for exc in failures if isinstance(exc, OutcomeUnknown)]
        self.assertGreaterEqual(len(unknown), CFG.max_crashes)

    def test_one_trial_in_the_whole_fleet_shows_that_it_is_served_again(self):
        self.pool.crashing.clear()
        self.fleet.run_for(self.send().retry_after_s)
        reached = len(self.pool.arrivals)
        for host in self.living():
            eventlet.spawn_n(self.caller(host).send, BAD)
        self.fleet.run_for(0.04)
        self.assertEqual(len(self.pool.arrivals), reached + 1)
        self.fleet.run_for(1.0)
        for host in self.living():
            self.assertEqual(self.caller(host).send(BAD), 200)

    def test_trials_become_rare_and_end(self):
        reached = len(self.pool.arrivals)
        self.fleet.stop()
        for trial in range(CFG.max_trials + 2):
            self.host.suspects.claim_trial = self.host.suspects.start_trial
            exc = self.send()
            self.assertIsInstance(exc, Quarantined)
            if trial < CFG.max_trials:
                expected_s = CFG.trial_s * CFG.trial_factor**trial
                self.assertLessEqual(exc.retry_after_s, expected_s)
                eventlet.sleep(exc.retry_after_s)
                self.assertIsInstance(self.send(), OutcomeUnknown)
        eventlet.sleep(0.5 * CFG.forget_s)
        self.assertIsInstance(self.send(), Quarantined)
        self.assertEqual(len(self.pool.arrivals), reached + CFG.max_trials)

    # Guards against an answer of a target that fails: it does not end the refusals.
    def test_a_trial_that_the_target_answers_by_a_fault_changes_nothing(self):
        self.pool.crashing.clear()
        self.pool.statuses[BAD] = 500
        self.fleet.run_for(self.send().retry_after_s)
        self.assertEqual(self.send(), 500)
        self.assertIsInstance(self.send(), Quarantined)


class TestStoredCopies(unittest.TestCase):
    """The copy of one leader, whose epoch stays the same."""

    def setUp(self):
        self.platform = FakePlatformStore()
        process = FakeProcess("h0.1", "10.0.0.0")
        self.store = FakeStore(self.platform, process)
        self.suspects = Suspects(CFG, HubClock())

    def lead(self):
        """Start the leader's task, and let it do its first work."""
        keeper = QuarantineKeeper(
            CFG,
            HubClock(),
            SimpleNamespace(serve=lambda kind, handler: None),
            self.store,
            SimpleNamespace(leading=True, epoch=1, leader=None),
            self.suspects,
            lambda fingerprints: None,
        )
        task = eventlet.spawn(keeper.run)
        self.addCleanup(task.kill)
        eventlet.sleep(1.0)

    def refuse(self):
        """Let the leader know of a refused request."""
        for number in range(CFG.max_crashes):
            self.suspects.record_crash("bad", f"t{number}/1", "r")
        self.lead()

    def stored(self):
        """Return the fingerprints in the copy."""
        return [row[0] for row in self.platform.get(QUARANTINE_KEY).value["rows"]]

    def test_they_are_written_once_for_each_change(self):
        self.refuse()
        eventlet.sleep(10.0)
        self.assertEqual(self.stored(), ["bad"])
        self.assertEqual(len(self.platform.writes()), 1)
        self.suspects.record_answer("bad", "r")
        eventlet.sleep(10.0)
        self.assertEqual(self.stored(), [])
        self.assertEqual(len(self.platform.writes()), 2)

    def test_they_are_written_again_after_the_store_was_restored(self):
        self.refuse()
        self.platform.restore(9.0)
        self.store.era = self.platform.era
        eventlet.sleep(3.0)
        self.assertEqual(self.stored(), ["bad"])

    def test_what_cannot_be_read_of_them_is_left_out(self):
        readable = ["bad", 0, ["a", "b", "c"], 0, True, 1.0]
        rows = [["f2"], None, readable, 7]
        self.platform.put(QUARANTINE_KEY, {"rows": rows}, 0)
        self.lead()
        self.assertFalse(self.suspects.allows("bad"))
        self.assertEqual(self.suspects.counts(), (1, 1))

    def test_one_that_cannot_be_read_at_all_is_replaced(self):
        self.platform.put(QUARANTINE_KEY, {"rows": "none"}, 0)
        self.refuse()
        self.assertEqual(self.stored(), ["bad"])


class TestMemory(unittest.TestCase):
    def setUp(self):
        self.suspects = Suspects(CFG, HubClock())

    def crash(self, fingerprint, times=CFG.max_crashes):
        for number in range(times):
            self.suspects.record_crash(fingerprint, f"t{number}/1", "r")

    def test_it_is_bounded_and_keeps_what_is_refused(self):
        self.crash("bad")
        for number in range(3 * CFG.max_requests):
            self.crash(f"f{number}", 1)
        self.assertEqual(self.suspects.counts(), (CFG.max_requests, 1))
        self.crash("bad", 10 * MAX_CRASHES_KEPT)
        self.assertEqual(len(self.suspects.refused_rows()[0][2]), MAX_CRASHES_KEPT)

    def test_it_ends_when_nothing_more_is_heard(self):
        self.crash("bad")
        self.assertFalse(self.suspects.allows("bad"))
        eventlet.sleep(CFG.forget_s + 1)
        self.suspects.forget_old()
        self.assertTrue(self.suspects.allows("bad"))
        self.assertEqual(self.suspects.counts(), (0, 0))

    def test_one_target_counts_once_for_each_of_its_starts(self):
        for _ in range(5):
            self.suspects.record_crash("bad", "t0/1", "r")
        self.assertTrue(self.suspects.allows("bad"))
        self.suspects.record_crash("bad", "t0/2", "r")
        self.suspects.record_crash("bad", "t0/3", "r")
        self.assertFalse(self.suspects.allows("bad"))

    def test_a_trial_is_due_after_the_newest_crash_that_is_known(self):
        other = Suspects(CFG, HubClock())
        other.record_crash("bad", "t0/1", "s")
        eventlet.sleep(0.8 * CFG.trial_s)
        for number in (1, 2):
            self.suspects.record_crash("bad", f"t{number}/1", "r")
        self.suspects.merge(other.untold("leader"), "other")
        eventlet.sleep(0.8 * CFG.trial_s)
        with self.assertRaises(Quarantined):
            self.suspects.check("bad", "r")
        eventlet.sleep(0.3 * CFG.trial_s)
        self.assertTrue(self.suspects.check("bad", "r"))

    def test_what_two_hosts_know_joins_in_any_order(self):
        other = Suspects(CFG, HubClock())
        self.suspects.record_crash("bad", "t0/1", "r")
        self.suspects.record_crash("bad", "t1/1", "r")
        other.record_crash("bad", "t1/1", "s")
        other.record_crash("bad", "t2/1", "s")
        rows = other.untold("leader")
        for _ in range(2):
            self.suspects.merge(rows, "other")
        self.assertFalse(self.suspects.allows("bad"))
        other.merge(self.suspects.shared_rows(), "one")
        self.assertEqual(other.digest(), self.suspects.digest())
        other.record_answer("bad", "s")
        self.suspects.merge(other.shared_rows(), "other")
        self.suspects.merge(rows, "late")
        self.assertTrue(self.suspects.allows("bad"))


if __name__ == "__main__":
    unittest.main()
