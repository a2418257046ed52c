"""Tests of what cold targets get, summed over all hosts.

The pattern: a target turns cold in the midst of traffic of several times what it bears
meanwhile, and its answers come so fast that its slots alone would not limit it.
"""

import random
import unittest
from functools import partial
from itertools import chain, repeat
from types import SimpleNamespace
from unittest.mock import Mock

import eventlet

from persimmonspoke.errors import RequestFailure
from persimmonspoke.ids import Instant
from persimmonspoke.internal.callers.attempts import RequestRunner
from persimmonspoke.internal.observe.api import NoMetrics
from persimmonspoke.internal.routing.config import RoutedService
from persimmonspoke.internal.scheduling.api import SlotOutcome
from persimmonspoke.internal.targets.notices import Incarnation
from persimmonspoke.internal.targets.warmups import Warmups
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock
from tests.fakes.desk_fleet import WARMUP_BOUNDS, SchedulerHost
from tests.fakes.network import LATENCY_S, FakeNetwork
from tests.fakes.process import GateKind
from tests.fakes.range_fleet import SERVICE, RangeFleet, record

PER_S = 5.0
MAX_IN_A_SECOND = 1.5 * PER_S + 8  # the platform's rule
COLD_S = 12.0
DEMAND_PER_S = 120.0
SERVICE_S = 0.03
LEFT_S = 0.5
CONNECT_S = 0.001
SLOTS = 4
SEED = 7
# How long hosts take to learn the entry.  Meanwhile the target counts as warm.
MAX_NEWS_S = 0.3


def most_in_a_second(arrivals, start_s, end_s):
    """Return the largest number of arrivals in any second between two moments."""
    times = sorted(at for at in arrivals if start_s <= at < end_s)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdTargets(unittest.TestCase):
    """Sends requests through a fleet of hosts to a target that turns cold.

    Attributes
    ----------
    arrivals : dict of str to list of float
        When each target got its requests.
    """

    hosts = 6
    divided = True
    per_s = PER_S
    demand_per_s = DEMAND_PER_S

    def setUp(self):
        self.random = random.Random(SEED)
        self.network = FakeNetwork()
        names = ("t0", "t1")
        self.records = {name: record(name, slots=SLOTS) for name in names}
        self.peers = []
        self.fleet = [
            SchedulerHost(
                n, self.network, self.peers, self.records, self.divided, self.per_s
            )
            for n in range(self.hosts)
        ]
        for host in self.fleet:
            host.address_of = {a.host_id: a for a in self.peers}.get
            host.recorded = list(self.peers)
        self.arrivals = {name: [] for name in names}
        self.refused = 0
        self.addCleanup(lambda: [host.task.kill() for host in self.fleet])

    def tell(self, host, cold_s=COLD_S):
        host.warmups.record(Incarnation("t0", 1), cold_s)

    def turn_cold(self):
        """Let all hosts learn, one after the other, that a target is cold."""
        self.cold_at = virtual_hub.now()
        for host in self.living():
            eventlet.spawn_after(self.random.uniform(0.0, MAX_NEWS_S), self.tell, host)

    def send(self, host, candidates, left_s=LEFT_S):
        """Send one request; it is answered after the usual time."""
        try:
            slot = host.acquire(left_s, candidates)
        except RequestFailure:
            self.refused += 1
            return
        acquired_at = host.clock.now()
        eventlet.sleep(CONNECT_S)
        host.process.gate(GateKind.REQUEST)
        if not host.warmups.may_send(slot.target_id, acquired_at):
            slot.done(SlotOutcome.CANCELLED)
            return
        self.arrivals[slot.target_id].append(virtual_hub.now())
        eventlet.sleep(SERVICE_S)
        host.process.gate(GateKind.REQUEST)
        slot.done(SlotOutcome.ANSWERED)

    def play(self, duration_s, candidates=("t0",)):
        """Send requests at random moments through random hosts."""
        end = virtual_hub.now() + duration_s
        while virtual_hub.now() < end:
            eventlet.sleep(self.random.expovariate(self.demand_per_s))
            running = [host for host in self.living() if not host.process.paused]
            if running:
                host = self.random.choice(running)
                eventlet.spawn_n(self.send, host, candidates)

    def living(self):
        return [host for host in self.fleet if not host.process.killed]

    def desk_host(self):
        desk = self.living()[0].scheduler._desk_host("stock").host_id
        return next(host for host in self.fleet if host.me().host_id == desk)

    def slots_in_use(self, target_id):
        desk = self.desk_host().scheduler._desks["stock"]
        return len(desk._targets[target_id].in_use)

    def kill(self, host):
        host.process.kill()
        host.task.kill()
        self.peers.remove(host.me())

    def assert_kept(self):
        """Check that no second was above what the platform allows."""
        start = self.cold_at + MAX_NEWS_S
        end = self.cold_at + COLD_S
        most = most_in_a_second(self.arrivals["t0"], start, end)
        self.assertLessEqual(most, MAX_IN_A_SECOND)


class TestColdOwners(ColdTargets):
    # Guards against FAILBACK: a target that turns cold in traffic gets all of it.
    def test_get_no_more_than_the_rule_allows_from_all_hosts_together(self):
        self.play(2.0)
        self.turn_cold()
        self.play(COLD_S)
        self.assert_kept()

    # Guards against a limit that leaves a cold target idle while requests are refused.
    def test_get_nearly_as_many_requests_as_their_service_names(self):
        self.play(1.0)
        self.turn_cold()
        self.play(1.0)
        before = len(self.arrivals["t0"])
        self.play(8.0)
        served = len(self.arrivals["t0"]) - before
        self.assertGreaterEqual(served, 0.9 * PER_S * 8.0)

    # Guards against targets that stay limited once they are warm.
    def test_get_everything_again_when_they_are_warm(self):
        self.turn_cold()
        self.play(COLD_S + MAX_NEWS_S)
        before = len(self.arrivals["t0"])
        self.play(2.0)
        served = len(self.arrivals["t0"]) - before
        self.assertGreaterEqual(served, 0.7 * DEMAND_PER_S * 2.0)

    # Guards against a burst after a pause, such as a load that was elsewhere.
    def test_get_no_burst_after_a_pause(self):
        self.turn_cold()
        eventlet.sleep(5.0)
        self.play(4.0)
        self.assert_kept()

    # Guards against requests that wait at the desk for an owner that can't take them.
    def test_have_no_long_queue(self):
        self.turn_cold()
        self.play(4.0)
        desk = self.desk_host().scheduler
        self.assertLessEqual(desk._desks["stock"].waiting(), PER_S * LEFT_S + 1)


class TestWithoutALimit(ColdTargets):
    per_s = 0.0

    # Guards against a service without `warmup_per_s` that is limited all the same.
    def test_a_cold_target_gets_as_much_as_a_warm_one(self):
        self.play(2.0)
        warm = len(self.arrivals["t0"])
        self.turn_cold()
        self.play(2.0)
        cold = len(self.arrivals["t0"]) - warm
        self.assertGreaterEqual(cold, 0.9 * warm)


class TestDeskChanges(ColdTargets):
    # Guards against FAILBACK: each new desk begins with a burst of its own.
    def test_the_rule_holds_while_the_desk_moves_from_host_to_host(self):
        self.play(1.0)
        self.turn_cold()
        for _ in range(4):
            self.play(1.5)
            self.kill(self.desk_host())
        self.play(2.0)
        self.assert_kept()

    # Guards against a new desk whose copy of the store lacks the entry.
    def test_a_new_desk_learns_cold_targets_from_the_hosts_that_know_them(self):
        self.kill(self.desk_host())
        new = self.desk_host()
        asker = next(host for host in self.living() if host is not new)
        self.tell(asker)
        eventlet.spawn_n(asker.acquire, LEFT_S, ("t0",))
        eventlet.sleep(0.3)
        self.assertTrue(new.warmups.is_cold("t0"))

    # Guards against a cold target that only the host of one request has heard of.
    def test_a_desk_learns_a_cold_target_from_the_next_answer_to_any_host(self):
        desk = self.desk_host()
        other = next(host for host in self.fleet if host is not desk)
        self.tell(other)
        self.send(other, ("t0",))
        eventlet.sleep(0.01)
        self.assertTrue(desk.warmups.is_cold("t0"))


class TestSeveralDesks(ColdTargets):
    hosts = 12

    # Guards against FAILBACK where hosts use two desks, as after lost messages.
    def test_the_rule_holds_while_hosts_use_three_desks(self):
        ranked = self.fleet[0].scheduler._ranked_hosts("stock")
        desks = [address.host_id for address in ranked[:3]]
        others = [host for host in self.fleet if host.me().host_id not in desks]
        self.play(1.0)
        self.turn_cold()
        for _ in range(8):
            for number, host in enumerate(others):
                until = Instant(host.clock.now() + 1.5)
                for desk in desks[: number % 3]:
                    host.scheduler._avoid_until[desk] = until
            self.play(1.2)
        self.assert_kept()

    def divide(self, count):
        """Let the hosts see only those of their own part of the fleet."""
        for part in range(count):
            hosts = self.fleet[part::count]
            addresses = tuple(host.me() for host in hosts)
            for host in hosts:
                host.live = lambda addresses=addresses: addresses
                host.address_of = {a.host_id: a for a in addresses}.get

    # Guards against FAILBACK: each part of a cut fleet has a first desk of its own.
    def test_the_rule_holds_while_the_fleet_is_cut_into_three_or_all_parts(self):
        for count in (3, self.hosts):
            with self.subTest(parts=count):
                self.setUp()
                self.divide(count)
                self.play(1.0)
                self.turn_cold()
                self.play(6.0)
                self.assert_kept()

    # Guards against a cut that takes all requests from a cold target.
    def test_the_part_with_most_hosts_goes_on_as_before(self):
        majority = tuple(host.me() for host in self.fleet[:8])
        for host in self.fleet[:8]:
            host.live = lambda: majority
        for host in self.fleet[8:]:
            host.process.pause()
        self.turn_cold()
        self.play(1.0)
        before = len(self.arrivals["t0"])
        self.play(6.0)
        self.assertGreaterEqual(len(self.arrivals["t0"]) - before, 0.9 * PER_S * 6)


class TestFrozenHosts(ColdTargets):
    hosts = 20

    def freeze_in_turn(self, after_s):
        """Freeze hosts so long after they have asked for slots; let all go on at once.

        Each of them then has slots, and all of them together those of many seconds.
        """
        desk = self.desk_host()
        others = [host for host in self.fleet if host is not desk]
        self.turn_cold()
        eventlet.sleep(1.0)
        for host in others:
            for _ in range(SLOTS):
                eventlet.spawn_n(self.send, host, ("t0",), COLD_S)
            eventlet.sleep(after_s)
            host.process.pause()
            eventlet.sleep(0.45)
        for host in others:
            host.process.resume()
        self.play(1.0)
        self.assertGreater(len(self.arrivals["t0"]), 0)
        self.assert_kept()

    # Guards against FAILBACK: the slots arrive while the hosts are frozen.
    def test_the_rule_holds_when_many_slots_have_waited_for_frozen_hosts(self):
        self.freeze_in_turn(LATENCY_S * 1.5)

    # Guards against FAILBACK: hosts are frozen between the slot and the first byte.
    def test_the_rule_holds_when_hosts_freeze_while_they_connect(self):
        self.freeze_in_turn(LATENCY_S * 2 + CONNECT_S / 2)

    # Guards against FAILBACK: a desk goes on beside the one that has replaced it.
    def test_the_rule_holds_when_a_frozen_desk_goes_on(self):
        desk = self.desk_host()
        self.play(1.0)
        self.turn_cold()
        self.play(1.0)
        address = desk.me()
        desk.process.pause()
        for host in self.fleet:
            if host is not desk:
                host.live = lambda: tuple(a for a in self.peers if a != address)
        self.play(3.0)
        desk.process.resume()
        self.play(3.0)
        self.assert_kept()


class TestPoolsWithAColdTarget(ColdTargets):
    divided = False

    # Guards against requests that wait for a cold target while others are free.
    def test_the_other_targets_take_what_a_cold_one_does_not(self):
        self.turn_cold()
        self.play(6.0, ("t0", "t1"))
        self.assert_kept()
        served = len(self.arrivals["t0"]) + len(self.arrivals["t1"])
        self.assertGreaterEqual(served, 0.95 * (served + self.refused))


class TestOwnersThatRestart(unittest.TestCase):
    """A target that restarts in traffic gets its keys again, but not all at once."""

    per_key_s = 0.25
    key_count = 20
    cold_s = 30.0

    def setUp(self):
        self.fleet = RangeFleet(hosts=3, targets=4)
        self.addCleanup(self.fleet.stop)
        self.fleet.run_for(4)
        self.leader = self.fleet.leader()
        owned = self.owned()
        step = sum(e.last - e.first + 1 for e in owned) // self.key_count
        self.keys = [owned[0].first + n * step for n in range(self.key_count)]
        self.loading = eventlet.spawn(self._load)
        self.addCleanup(self.loading.kill)
        self.fleet.run_for(12)

    def _load(self):
        # Neighbouring keys in turn would be a burst for whoever owns a run of them.
        order = self.keys[::2] + self.keys[1::2]
        while True:
            for key in order[::3] + order[1::3] + order[2::3]:
                self.leader.reporter.load_recorder.record_request(SERVICE, str(key))
                eventlet.sleep(1 / self.per_key_s / self.key_count)

    def owned(self):
        return self.leader.keeper.ledger.map(SERVICE).owned_by("t0")

    def restart(self, per_s):
        services = {SERVICE: RoutedService(SERVICE, 100, True, self.cold_s, per_s)}
        target = self.fleet.targets["t0"]
        target.restart()
        self.fleet.records["t0"] = record("t0", born_ms=2)
        for host in self.fleet.hosts:
            host.warmups.update(self.fleet.records, services, lambda target_id: None)
            host.warmups.record(Incarnation("t0", 2), self.cold_s)
        for _ in range(30):
            self.fleet.run_for(0.05)
            if all(entry.born_ms == 2 for entry in self.owned()):
                return
        self.fail("the target got no keys again")

    def kept(self):
        return [
            k for k in self.keys if any(e.first <= k <= e.last for e in self.owned())
        ]

    # Guards against FAILBACK and refusals: all keys of a restarted target come back to
    # it while it is cold.
    def test_keep_the_keys_whose_requests_they_may_get(self):
        before = len(self.kept())
        self.assertGreater(before, 5)
        self.restart(per_s=4.0)
        self.assertGreater(len(self.kept()), 3)
        self.assertLessEqual(len(self.kept()) * self.per_key_s, 4.0)
        self.assertEqual(self.fleet.double_holds, [])

    # Guards against moves in services that do not limit cold targets.
    def test_keep_all_keys_without_a_limit(self):
        before = self.kept()
        self.restart(per_s=0.0)
        self.assertEqual(self.kept(), before)


class TestSecondSends(unittest.TestCase):
    # Guards against a second send, which has no slot and no desk that counts it.
    def test_a_cold_target_gets_none(self):
        warmups = Warmups(HubClock(), WARMUP_BOUNDS)
        services = {SERVICE: RoutedService(SERVICE, 100, True, 3.0, PER_S)}
        warmups.update({"t0": record("t0")}, services, lambda target_id: None)
        scheduler = SimpleNamespace(take_retry=lambda ticket: True)
        runner = RequestRunner(
            None, None, scheduler, None, HubClock(), NoMetrics(), warmups=warmups
        )
        self.assertTrue(runner._may_repeat(None, "t0"))
        warmups.record(Incarnation("t0", 1), 2.0)
        self.assertFalse(runner._may_repeat(None, "t0"))


if __name__ == "__main__":
    unittest.main()


class TestSlotsReleasedWhileAWarmupEnds(ColdTargets):
    """Guards against slots that stay in use: their release failed in that instant."""

    def test_they_are_free_again(self):
        host = next(h for h in self.fleet if h is not self.desk_host())
        clock = host.clock
        for readings in range(10):
            host.warmups._clock = clock
            slot = host.acquire(LEFT_S, ("t0",))
            eventlet.sleep(SERVICE_S)
            self.tell(host, 0.5)
            # The warm-up is over from the reading of the clock with this number on.
            before, after = clock.now(), Instant(clock.now() + 1.0)
            times = chain(repeat(before, readings), repeat(after))
            host.warmups._clock = Mock(now=partial(next, times))
            with self.subTest(readings=readings):
                slot.done(SlotOutcome.ANSWERED)
                eventlet.sleep(1.0)
                self.assertEqual(self.slots_in_use("t0"), 0)
