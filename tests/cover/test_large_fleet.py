"""Tests of what control costs in a large fleet, and of what it still has to do in time.

A low limit of reports gives a few hosts the reporting period of a large fleet.
"""

import unittest
from unittest import mock

import eventlet

from persimmonspoke.ids import HostId
from persimmonspoke.internal.fleet.messages import HostReport
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.scheduling.api import SlotOutcome
from tests.cover.test_desk_scheduler import SchedulerCase
from tests.fakes import virtual_hub
from tests.fakes.range_fleet import RangeFleet

HOSTS = 20
SLOW = FleetSettings(reports_per_s=10.0, candidates=4)
FAST_S, SLOW_S = SLOW.report_s, HOSTS / SLOW.reports_per_s
REPLACED_S = 2.0  # the users' bound for a key that lost its owner or its leader


def live_leader(fleet):
    """Return the live host that may give orders, or None."""
    leading = [h for h in fleet.hosts if h.alive() and h.leadership.may_order()]
    return leading[0] if leading else None


class LargeFleetCase(unittest.TestCase):
    def setUp(self):
        self.fleet = RangeFleet(hosts=HOSTS, cfg=SLOW)
        self.addCleanup(self.end)
        self.fleet.run_for(8)

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.network.crashes, [])

    def live_names(self, host):
        return {entry.name for entry in host.hosts.entries()}


class TestReports(LargeFleetCase):
    """Only the first candidates report often."""

    def test_the_leader_gets_few_reports_and_knows_all_hosts_all_the_time(self):
        leader = self.fleet.leader()
        reports = []
        answer = leader.link._handlers[HostReport]
        leader.link._handlers[HostReport] = lambda m: (reports.append(m), answer(m))[1]
        for _ in range(50):
            self.fleet.run_for(0.2)
            self.assertEqual(len(self.live_names(leader)), HOSTS)
        often = SLOW.candidates / FAST_S
        self.assertLessEqual(len(reports), 1.1 * 10 * (often + SLOW.reports_per_s))

    def test_all_hosts_keep_the_list_between_their_reports(self):
        for _ in range(30):
            self.fleet.run_for(0.2)
            for host in self.fleet.hosts:
                self.assertEqual(len(self.live_names(host)), HOSTS)

    def test_a_dead_host_leaves_the_list(self):
        leader = self.fleet.leader()
        dead = next(h for h in reversed(self.fleet.hosts) if h is not leader)
        dead.kill()
        self.fleet.run_for(SLOW.present_s + 2 * SLOW_S + 0.5)
        self.assertNotIn(dead.hosts.my_entry.name, self.live_names(leader))

    # Guards against a leader that goes by its own list of hosts late.
    def test_a_leader_that_is_no_candidate_updates_its_own_list_often(self):
        leader = self.fleet.leader()
        with mock.patch.object(leader.hosts, "rank_among", return_value=HOSTS):
            self.fleet.run_for(SLOW_S)
            self.assertEqual(leader.leadership.report_s, FAST_S)

    def test_a_killed_leader_is_replaced_as_soon_as_in_a_small_fleet(self):
        self.fleet.leader().kill()
        killed_at = virtual_hub.now()
        while live_leader(self.fleet) is None:
            self.fleet.run_for(0.05)
        self.assertLessEqual(virtual_hub.now() - killed_at, REPLACED_S)

    def test_a_silent_leader_is_replaced_and_all_hosts_follow_the_new_one(self):
        old = self.fleet.leader()
        old.process.pause()
        self.fleet.run_for(4)
        leaders = {h.leadership.leader for h in self.fleet.hosts if h is not old}
        self.assertEqual(len(leaders), 1)
        self.assertNotIn(old.hosts.me(), leaders)


class TestPlacement(unittest.TestCase):
    """Work for all hosts lies on those with the most processor time."""

    def test_the_host_with_the_most_processor_time_takes_over(self):
        fleet = RangeFleet(hosts=6, cores={3: 2.0, 5: 4.0})
        self.addCleanup(fleet.stop)
        fleet.run_for(4)
        # At the first start, any host may be the first to find no leader.
        biggest_first = [fleet.hosts[5], fleet.hosts[3]]
        live_leader(fleet).kill()
        for _ in range(2):
            fleet.run_for(4)
            expected = next(host for host in biggest_first if host.alive())
            self.assertIs(live_leader(fleet), expected)
            expected.kill()
            if not any(host.alive() for host in biggest_first):
                break


class TestProofOfARestart(unittest.TestCase):
    """Only the store proves that a former leader's process has ended.

    A wrong proof would let two leaders give orders at once.
    """

    def setUp(self):
        self.fleet = RangeFleet(hosts=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.run_for(4)

    def test_the_record_of_an_earlier_run_in_an_old_copy_is_no_proof(self):
        watcher, restarted = self.fleet.hosts[0], self.fleet.hosts[1]
        old_record = watcher.cache.get("persimmonspoke-hosts/h1")
        new = self.fleet.restart(restarted)
        self.fleet.run_for(2)
        copy = StoreCache(watcher.clock)
        copy.observe(old_record)
        watcher.hosts._cache = copy
        new_id = new.hosts.me().host_id
        self.assertFalse(watcher.hosts.was_restarted(new_id))
        self.assertTrue(watcher.hosts.was_restarted(old_record.value["host_id"]))

    def test_a_host_that_could_not_register_does_not_lead(self):
        for host in self.fleet.hosts:
            host.kill()
        new = self.fleet.restart(self.fleet.hosts[0])
        new.hosts.registered = False
        for task in new.tasks[:1]:
            task.kill()
        self.fleet.run_for(5)
        self.assertFalse(new.leadership.leading)
        new.hosts.registered = True
        self.fleet.run_for(5)
        self.assertTrue(new.leadership.leading)


class TestDesksOfALargeFleet(SchedulerCase):
    hosts = 10

    def grow(self, hosts):
        """Let the real hosts see a fleet of `hosts`."""
        real = self.fleet[0].live()
        more = tuple(
            PeerAddress(HostId(f"x{n}.1"), f"10.1.0.{n}", 7000)
            for n in range(hosts - len(real))
        )
        for host in self.fleet:
            host.live = lambda: (*real, *more)
            host.cores = {address.host_id: 2.0 for address in real}

    def test_the_desk_is_on_a_host_with_the_most_processor_time(self):
        big = self.fleet[7].me().host_id
        for host in self.fleet:
            host.cores = {big: 2.0}
        self.assertEqual(
            {h.scheduler._desk_host("s").host_id for h in self.fleet}, {big}
        )

    def test_a_host_whose_requests_have_slots_sends_few_notes(self):
        self.grow(180)
        desk = self.desk_host()
        other = next(h for h in self.fleet if h is not desk)
        notes = []
        link = desk.scheduler._link
        for kind, handler in list(link._handlers.items()):
            if kind.__name__ == "Notes":
                link.serve(kind, lambda m, h=handler: (notes.append(m), h(m))[1])
        slot = other.acquire()
        eventlet.sleep(9)
        # Three times as many hosts as send notes at the full rate.
        self.assertLessEqual(len(notes), 1.2 * 9 / (3 * 0.3))
        self.assertEqual(other.scheduler.in_use(), 1)
        slot.done(SlotOutcome.ANSWERED)


if __name__ == "__main__":
    unittest.main()
