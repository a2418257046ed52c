"""Host records, the ring, leases, and revocation under faults."""

import unittest

from persimmonspoke.errors import StoreConflict
from persimmonspoke.ids import DataCentreId, HostId, Instant
from persimmonspoke.internal.membership.lease import GrantedLease, HeldLease
from persimmonspoke.internal.membership.messages import LeaseReply, Verdict
from persimmonspoke.internal.membership.record import HostRecord, HostState
from persimmonspoke.internal.membership.ring import ring, successors_of
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.timers import Timers
from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub

TIMERS = Timers()
GRANTOR = PeerAddress(HostId("s.1"), "10.0.0.2", 1)


def record(name, centre):
    cfg = NodeSettings(
        host_id=HostId(name),
        ip="10.0.0.1",
        peer_port=1,
        data_centre=DataCentreId(centre),
    )
    return HostRecord.initial(cfg, HostId(""))


def granted_reply(unrevoked_s):
    return LeaseReply(Verdict.GRANTED, unrevoked_s, ())


class TestRing(unittest.TestCase):
    def test_neighbours_are_in_different_data_centres(self):
        records = [record(f"h{n}.1", f"dc{n % 3}") for n in range(9)]
        order = ring(records)
        pairs = zip(order, order[1:] + order[:1], strict=True)
        self.assertTrue(all(a.data_centre != b.data_centre for a, b in pairs))

    def test_all_hosts_compute_the_same_order(self):
        records = [record(f"h{n}.1", f"dc{n % 3}") for n in range(9)]
        self.assertEqual(ring(records), ring(records[::-1]))

    def test_a_revoked_or_leaving_host_is_no_successor(self):
        inactive = record("h0.1", "dc0").as_revoked(HostId("h1.1"))
        leaving = record("h1.1", "dc0").as_leaving()
        active = record("h2.1", "dc0")
        found = successors_of(HostId("h3.1"), [inactive, leaving, active])
        self.assertEqual(found, (active,))

    def test_a_record_is_unchanged_by_storing_and_reading(self):
        before = record("h0.1", "dc0").as_revoked(HostId("h1.1"))
        self.assertEqual(HostRecord.from_value(before.to_value("w")), before)


class TestLease(unittest.TestCase):
    def lease(self):
        return HeldLease(GRANTOR, TIMERS, Instant(0.0))

    def test_the_holder_counts_its_lease_from_before_its_request(self):
        lease = self.lease()
        lease.record_answer(1, Instant(10.0), Instant(10.5), granted_reply(0.8))
        self.assertAlmostEqual(lease.end, 10.0 + TIMERS.lease_s)

    def test_the_granted_lease_outlasts_the_held_lease_on_the_fastest_clock(self):
        granted_lease = GrantedLease(HostId("k.1"), TIMERS, Instant(0.0))
        granted_lease.record_grant(1, 0, True, Instant(100.0))
        fastest_s = TIMERS.lease_s * (1 + TIMERS.clock_drift)
        self.assertFalse(granted_lease.lapsed(Instant(100.0 + fastest_s)))
        self.assertTrue(granted_lease.lapsed(Instant(100.0 + fastest_s + 0.001)))

    def test_a_grantor_whose_guarantee_has_expired_grants_a_lapsed_lease(self):
        lease = self.lease()
        lease.record_answer(1, Instant(10.0), Instant(10.0), granted_reply(-5.0))
        self.assertLess(lease.end, 10.0)

    def test_a_ring_of_lapsed_leases_gains_one_lease_duration_per_round(self):
        guarantee_s = -5.0
        rounds = 0
        while guarantee_s <= 0:
            lease = self.lease()
            lease.record_answer(
                1, Instant(0.0), Instant(0.0), granted_reply(guarantee_s)
            )
            self.assertGreater(lease.end, guarantee_s + TIMERS.lease_s / 2)
            guarantee_s = lease.end
            rounds += 1
        self.assertLessEqual(rounds, 8)

    def test_a_refusal_renews_nothing(self):
        lease = self.lease()
        reply = LeaseReply(Verdict.REFUSED, 0.8, ())
        lease.record_answer(1, Instant(10.0), Instant(10.0), reply)
        self.assertLess(lease.end, 0.0)
        self.assertEqual(lease.answered_at, 0.0)

    def test_the_right_to_act_ends_before_the_holder_may_name_another_successor(self):
        granted_lease = GrantedLease(HostId("k.1"), TIMERS, Instant(0.0))
        granted_lease.record_grant(1, 0, True, Instant(10.0))
        granted_lease.record_grant(2, 1, True, Instant(10.1))
        lease = self.lease()
        lease.record_answer(1, Instant(9.9), Instant(10.0), granted_reply(0.8))
        last = Instant(10.0 + TIMERS.act_s)
        self.assertTrue(granted_lease.may_act(last))
        self.assertFalse(granted_lease.may_act(Instant(last + 0.001)))
        self.assertFalse(lease.excluded(last))
        self.assertTrue(
            lease.excluded(Instant(10.0 + TIMERS.max_duration_s(0.6) + 0.001))
        )

    def test_a_grant_that_was_not_confirmed_gives_no_right_to_act(self):
        granted_lease = GrantedLease(HostId("k.1"), TIMERS, Instant(0.0))
        granted_lease.record_grant(1, 0, True, Instant(10.0))
        self.assertFalse(granted_lease.may_act(Instant(10.1)))

    def test_a_reordered_request_does_not_restore_the_right_to_act(self):
        granted_lease = GrantedLease(HostId("k.1"), TIMERS, Instant(0.0))
        granted_lease.record_grant(1, 0, True, Instant(10.0))
        granted_lease.record_grant(3, 1, False, Instant(10.1))
        granted_lease.record_grant(2, 1, True, Instant(10.2))
        self.assertFalse(granted_lease.may_act(Instant(10.2)))


class FleetCase(unittest.TestCase):
    hosts = 4

    def setUp(self):
        self.fleet = Fleet(hosts=self.hosts)
        self.addCleanup(self.fleet.close)
        self.fleet.run(5)

    def host(self, name="h0"):
        return self.fleet.hosts[name]

    def record(self, host):
        return HostRecord.from_value(
            self.fleet.store.objects["hosts/" + host.host_id].value
        )

    def seconds_until(self, condition, limit_s=10.0):
        began = virtual_hub.now()
        while not condition():
            self.fleet.run(0.005)
            if virtual_hub.now() > began + limit_s:
                self.fail(f"not within {limit_s} s")
        return virtual_hub.now() - began

    def time_without_lease(self, host, seconds):
        """Run for `seconds`; return for how long `host` held no lease."""
        lapsed_s = 0.0
        for _ in range(int(seconds / 0.005)):
            self.fleet.run(0.005)
            lapsed_s += 0 if host.node.holds_lease() else 0.005
        return lapsed_s


class TestFleet(FleetCase):
    def test_every_host_holds_a_lease_in_steady_state_and_writes_nothing(self):
        writes = self.fleet.store.writes
        for host in self.fleet.hosts.values():
            self.assertEqual(self.time_without_lease(host, 2), 0.0)
        self.assertEqual(self.fleet.store.writes, writes)

    def test_a_killed_host_is_revoked_by_its_successor(self):
        victim = self.host()
        successor = self.fleet.successor(victim)
        victim.kill()
        took_s = self.seconds_until(lambda: self.record(victim).revoked)
        self.assertEqual(self.record(victim).revoked_by, successor.host_id)
        self.assertLess(took_s, 0.5)

    def test_a_frozen_host_is_revoked_after_its_lease_and_stays_revoked(self):
        victim = self.host()
        victim.gate.paused = True
        lease_end = victim.node.member.holder.lease_end()
        self.seconds_until(lambda: self.record(victim).revoked)
        self.assertGreater(virtual_hub.now(), lease_end)
        victim.gate.paused = False
        self.fleet.run(3)
        self.assertFalse(victim.node.holds_lease())
        self.assertTrue(victim.node.revoked())

    def test_a_host_that_loses_its_successor_keeps_its_lease(self):
        host = self.host()
        before = self.fleet.successor(host)
        self.fleet.network.separate(host.host_id, before.host_id)
        self.assertEqual(self.time_without_lease(host, 3), 0.0)
        self.assertIsNot(self.fleet.successor(host), before)
        self.assertFalse(self.record(host).revoked)

    def test_a_host_cut_off_from_all_peers_is_revoked(self):
        host = self.host()
        for other in self.fleet.hosts.values():
            if other is not host:
                self.fleet.network.separate(host.host_id, other.host_id)
        took_s = self.seconds_until(lambda: self.record(host).revoked)
        self.assertLess(took_s, 1.5)
        self.assertFalse(host.node.holds_lease())

    def test_a_host_cut_off_from_the_store_only_keeps_its_lease(self):
        host = self.host()
        host.store.cut = True
        self.assertEqual(self.time_without_lease(host, 60), 0.0)

    def test_during_a_store_outage_an_heir_replaces_a_killed_successor(self):
        host = self.host()
        successor = self.fleet.successor(host)
        self.fleet.store.down = True
        self.fleet.run(5)
        successor.kill()
        self.assertEqual(self.time_without_lease(host, 60), 0.0)
        self.fleet.store.down = False
        self.fleet.run(5)
        self.assertTrue(self.record(successor).revoked)
        self.assertTrue(host.node.holds_lease())

    def test_during_a_store_outage_all_hosts_frozen_at_once_regain_leases(self):
        self.fleet.store.down = True
        for host in self.fleet.hosts.values():
            host.gate.paused = True
        self.fleet.run(10)
        for host in self.fleet.hosts.values():
            host.gate.paused = False
        hosts = self.fleet.hosts.values()
        took_s = self.seconds_until(
            lambda: all(host.node.holds_lease() for host in hosts)
        )
        self.assertLess(took_s, 5.0)

    def test_a_late_revocation_fails_after_a_change_of_successor(self):
        host = self.host()
        stale = self.fleet.store.objects["hosts/" + host.host_id]
        before = self.fleet.successor(host)
        self.fleet.network.separate(host.host_id, before.host_id)
        self.fleet.run(3)
        revoked = self.record(host).as_revoked(before.host_id).to_value("late")
        with self.assertRaises(StoreConflict):
            self.fleet.store.apply(stale.key, revoked, stale.version)

    def test_a_fleet_replaced_at_once_revokes_all_previous_hosts(self):
        old = list(self.fleet.hosts.values())
        for host in old:
            host.kill()
        for number in range(4):
            self.fleet.add(f"n{number}", f"dc{number % 2}")
        took_s = self.seconds_until(
            lambda: all(self.record(host).revoked for host in old)
        )
        self.assertLess(took_s, 5.0)

    def test_the_record_of_a_killed_host_is_deleted_after_a_while(self):
        victim = self.host()
        victim.kill()
        self.fleet.run(80)
        self.assertNotIn("hosts/" + victim.host_id, self.fleet.store.objects)
        self.assertTrue(all(h.node.holds_lease() for h in self.living_hosts()))

    def living_hosts(self):
        return [host for host in self.fleet.hosts.values() if host.link.alive]

    def test_a_leaving_host_revokes_itself_and_is_replaced_as_successor(self):
        host = self.fleet.successor(self.host())
        done = host.node.stop(virtual_hub.now() + 10)
        host.link.alive = False
        self.assertTrue(done)
        self.assertIs(self.record(host).state, HostState.REVOKED)
        self.assertEqual(self.record(host).revoked_by, host.host_id)
        self.assertIsNot(self.fleet.successor(self.host()), host)


class TestPartition(FleetCase):
    hosts = 6

    def test_both_halves_of_a_partition_work_while_the_store_answers(self):
        hosts = list(self.fleet.hosts.values())
        for one in hosts[::2]:
            for other in hosts[1::2]:
                self.fleet.network.separate(one.host_id, other.host_id)
        lapsed_s = 0.0
        for _ in range(800):
            self.fleet.run(0.005)
            holding = all(host.node.holds_lease() for host in hosts)
            lapsed_s += 0 if holding else 0.005
        self.assertLess(lapsed_s, 0.3)
        self.fleet.network.cut.clear()
        self.fleet.run(5)
        self.assertTrue(all(host.node.holds_lease() for host in hosts))
        self.assertEqual(self.fleet.two_keepers, [])


class TestTwoHosts(FleetCase):
    hosts = 2

    def test_one_of_two_separated_hosts_keeps_a_lease(self):
        one, other = self.fleet.hosts.values()
        self.fleet.network.separate(one.host_id, other.host_id)
        self.fleet.run(8)
        holding = [host.node.holds_lease() for host in (one, other)]
        self.assertEqual(sorted(holding), [False, True])

    def test_during_a_store_outage_the_last_host_keeps_its_lease(self):
        one, other = self.fleet.hosts.values()
        self.fleet.store.down = True
        self.fleet.run(2)
        other.kill()
        self.assertEqual(self.time_without_lease(one, 30), 0.0)
