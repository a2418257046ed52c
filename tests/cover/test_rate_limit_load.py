"""Tests of the load on targets that name a rate limit, summed over all hosts.

The pattern: callers want about twice what a target takes by its own word, through
several hosts, each of which sees only a part of the requests.
"""

import random
import unittest

import eventlet

from persimmonspoke.errors import RequestFailure
from persimmonspoke.ids import Instant
from persimmonspoke.internal.scheduling.api import SlotOutcome
from persimmonspoke.internal.targets.rate_limits import UNLIMITED
from tests.fakes import virtual_hub
from tests.fakes.desk_fleet import SchedulerHost
from tests.fakes.network import FakeNetwork
from tests.fakes.range_fleet import record

LIMIT_PER_S = 6.0
DEMAND_PER_S = 13.0
SERVICE_S = 0.09
SEED = 24
SETTLE_S = 3.0  # the platform's `stable_window_s`
WINDOW_S = 4.0
MAX_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5  # the platform's rule


def most_in_a_window(arrivals, start_s):
    """Return the largest number of arrivals in any `WINDOW_S` after `start_s`."""
    times = [at for at in arrivals if at >= start_s]
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0
    )


class LimitedTargets(unittest.TestCase):
    """Sends requests through a fleet of hosts to targets that name limits.

    Attributes
    ----------
    limits : dict of str to float
        The limit that each target names in its answers at present.
    arrivals : dict of str to list of float
        When each target got its requests.
    refused_after_s : list of float
        How long each refused request had waited.
    """

    hosts = 4
    divided = True
    demand_per_s = DEMAND_PER_S

    def setUp(self):
        self.random = random.Random(SEED)
        self.network = FakeNetwork()
        self.records = {name: record(name) for name in ("t0", "t1")}
        peers = []
        self.fleet = [
            SchedulerHost(n, self.network, peers, self.records, self.divided)
            for n in range(self.hosts)
        ]
        for host in self.fleet:
            host.address_of = {a.host_id: a for a in peers}.get
        self.peers = peers
        self.limits = {"t0": LIMIT_PER_S, "t1": UNLIMITED}
        self.arrivals = {"t0": [], "t1": []}
        self.refused_after_s = []
        self.addCleanup(lambda: [host.task.kill() for host in self.fleet])

    def send(self, host, candidates):
        """Send one request; it is answered after the usual time."""
        began = virtual_hub.now()
        try:
            slot = host.acquire(0.5, candidates)
        except RequestFailure:
            self.refused_after_s.append(virtual_hub.now() - began)
            return
        name = slot.target_id
        self.arrivals[name].append(virtual_hub.now())
        eventlet.sleep(SERVICE_S)
        host.limits.record(name, self.limits[name], "answer")
        slot.done(SlotOutcome.ANSWERED)

    def play(self, duration_s, candidates=("t0",)):
        """Send requests at random moments through random hosts."""
        end = virtual_hub.now() + duration_s
        while virtual_hub.now() < end:
            eventlet.sleep(self.random.expovariate(self.demand_per_s))
            host = self.random.choice(self.living())
            eventlet.spawn_n(self.send, host, candidates)

    def living(self):
        return [host for host in self.fleet if not host.process.killed]

    def desk_host(self):
        living = self.living()[0].scheduler
        desk = living._desk_host("stock").host_id
        return next(host for host in self.fleet if host.me().host_id == desk)

    def kill(self, host):
        host.process.kill()
        host.task.kill()
        self.peers.remove(host.me())


class TestOwnersWithALimit(LimitedTargets):
    # Guards against LIMIT: a target gets more requests than the rate that it names.
    def test_a_limit_holds_for_the_requests_of_all_hosts_together(self):
        start = virtual_hub.now()
        self.play(20.0)
        most = most_in_a_window(self.arrivals["t0"], start + SETTLE_S)
        self.assertLessEqual(most, MAX_ARRIVALS)

    # Guards against LIMIT after the host that counts the requests has been lost.
    def test_a_limit_holds_while_the_desk_moves_from_host_to_host(self):
        start = virtual_hub.now()
        for _ in range(3):
            self.play(5.0)
            self.kill(self.desk_host())
        self.play(5.0)
        most = most_in_a_window(self.arrivals["t0"], start + SETTLE_S)
        self.assertLessEqual(most, MAX_ARRIVALS)

    def test_nearly_as_many_requests_as_the_limit_allows_are_served(self):
        self.play(2.0)
        before = len(self.arrivals["t0"])
        self.play(20.0)
        served = len(self.arrivals["t0"]) - before
        self.assertGreaterEqual(served, 0.9 * LIMIT_PER_S * 20.0)

    def test_what_the_limit_leaves_no_room_for_is_refused_at_once(self):
        self.play(20.0)
        at_once = sum(wait_s < 0.02 for wait_s in self.refused_after_s)
        self.assertGreater(at_once, 0)
        self.assertGreaterEqual(at_once, 0.9 * len(self.refused_after_s))

    # Guards against LIMIT: what a quiet target did not get is not made up for.
    def test_a_limit_holds_when_many_requests_follow_a_pause(self):
        self.play(3.0)
        eventlet.sleep(20.0)
        start = virtual_hub.now()
        self.demand_per_s = 60.0
        self.play(6.0)
        self.assertLessEqual(most_in_a_window(self.arrivals["t0"], start), MAX_ARRIVALS)

    def test_a_limit_ends_with_the_first_answer_without_one(self):
        self.play(5.0)
        self.limits["t0"] = UNLIMITED
        self.play(2.0)
        before = len(self.arrivals["t0"])
        self.play(5.0)
        served = len(self.arrivals["t0"]) - before
        self.assertGreaterEqual(served, 0.8 * DEMAND_PER_S * 5.0)


class TestTwoDesksAtATime(LimitedTargets):
    hosts = 12
    demand_per_s = 40.0

    # Guards against LIMIT where hosts use two desks, as after lost messages.
    def test_a_limit_holds_while_some_hosts_use_another_desk(self):
        start = virtual_hub.now()
        first = self.desk_host()
        self.play(2.0)
        for _ in range(9):
            others = [host for host in self.living() if host is not first]
            for host in self.random.sample(others, 6):
                until = Instant(host.clock.now() + 1.5)
                host.scheduler._avoid_until[first.me().host_id] = until
            self.play(1.2)
        most = most_in_a_window(self.arrivals["t0"], start + SETTLE_S)
        self.assertLessEqual(most, MAX_ARRIVALS)


class TestPoolsWithALimitedTarget(LimitedTargets):
    divided = False

    def test_the_other_targets_take_what_a_limited_one_does_not(self):
        start = virtual_hub.now()
        self.play(12.0, ("t0", "t1"))
        most = most_in_a_window(self.arrivals["t0"], start + SETTLE_S)
        self.assertLessEqual(most, MAX_ARRIVALS)
        served = len(self.arrivals["t0"]) + len(self.arrivals["t1"])
        self.assertGreaterEqual(served, 0.95 * (served + len(self.refused_after_s)))


class TestWhatADeskKnows(LimitedTargets):
    def test_it_learns_a_limit_from_the_next_answer_to_any_host(self):
        desk = self.desk_host()
        other = next(host for host in self.living() if host is not desk)
        self.send(other, ("t0",))
        eventlet.sleep(0.01)
        self.assertEqual(desk.limits.of("t0"), LIMIT_PER_S)

    # Guards against LIMIT: a new desk sends without limit until the next answer.
    def test_one_that_takes_over_learns_limits_from_the_hosts_that_know_them(self):
        self.play(3.0)
        desk = self.desk_host()
        self.kill(desk)
        new = self.desk_host()
        new.limits.retain(())
        asker = next(host for host in self.living() if host is not new)
        asker.limits.record("t0", LIMIT_PER_S, "answer")
        eventlet.spawn_n(asker.acquire, 0.5, ("t0",))
        eventlet.sleep(0.3)
        self.assertEqual(new.limits.of("t0"), LIMIT_PER_S)


if __name__ == "__main__":
    unittest.main()
