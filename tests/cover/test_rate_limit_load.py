"""Tests of the load on targets that name a rate limit, summed over all hosts.

The pattern: callers want about twice what a target takes by its own word, through
several hosts, each of which sees only a part of the requests.
"""

import random
import unittest

import eventlet

from persimmonspoke.errors import RequestFailure
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
    """

    hosts = 4
    divided = True

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
        self.refused = 0
        self.addCleanup(lambda: [host.task.kill() for host in self.fleet])

    def send(self, host, candidates):
        """Send one request; it is answered after the usual time."""
        try:
            slot = host.acquire(0.5, candidates)
        except RequestFailure:
            self.refused += 1
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
            eventlet.sleep(self.random.expovariate(DEMAND_PER_S))
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


if __name__ == "__main__":
    unittest.main()
