"""Tests of requests that end the targets which run them, over a fleet of hosts.

The platform allows such a request three retries that reach targets, sent by hosts that
have run and been connected for `SETTLE_S`, later than that after the third crash.
"""

import random
import unittest

import eventlet

from tests.fakes import virtual_hub
from tests.fakes.crashing_pool import CrashingPool, PoolCaller, streamed
from tests.fakes.range_fleet import RangeFleet

SEED = 27
SETTLE_S = 3.0  # the platform's `stable_window_s`
ALLOWED_RETRIES = 3
BAD = "/crashes"
SENDS_PER_S = 6.0
MAX_CRASHES = 3


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

    def crash_three(self):
        """Send the crashing request until it is refused."""
        while len(self.pool.crashes(BAD)) < MAX_CRASHES:
            self.play(0.2)
        self.fleet.run_for(0.1)

    def assert_within_the_limit(self, hosts=None):
        """Check the platform's rule for the requests that some hosts have sent."""
        late = self.pool.late_retries(BAD, SETTLE_S)
        late = [a for a in late if hosts is None or a.host in hosts]
        self.assertLessEqual(len(late), ALLOWED_RETRIES)
        self.assertGreaterEqual(len(self.pool.crashes(BAD)), MAX_CRASHES)


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
        self.assertGreaterEqual(len(self.pool.crashes(BAD)), MAX_CRASHES)
        self.fleet.network.heal()
        self.fleet.run_for(SETTLE_S)
        reached = len(self.pool.arrivals)
        self.play(10.0, hosts=[cut])
        self.assertEqual(len(self.pool.arrivals), reached)

    # Guards against BUDGET at hosts that start after the others have learned of it.
    def test_they_do_so_at_a_host_that_was_restarted(self):
        self.crash_three()
        old = next(h for h in self.living() if h is not self.fleet.leader())
        old.kill()
        new = self.fleet.restart(old)
        self.fleet.run_for(SETTLE_S)
        reached = len(self.pool.arrivals)
        self.play(10.0, hosts=[new])
        self.assertEqual(len(self.pool.arrivals), reached)

    def test_they_do_so_while_the_store_is_away(self):
        self.fleet.platform.faults.down = True
        self.play(8.0)
        self.fleet.platform.faults.down = False
        self.play(10.0)
        self.assert_within_the_limit()


if __name__ == "__main__":
    unittest.main()
