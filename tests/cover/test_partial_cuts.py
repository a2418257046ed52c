"""Leaders while the store serves some hosts only, and hosts don't all hear each other.

The store may turn some machines away while it serves the others, and single machines
may be cut off; each by itself leaves all hosts with one leader.
"""

import unittest

from persimmonspoke.internal.fleet.hosts import HOSTS_PREFIX
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.ranges.planner import whole_move
from persimmonspoke.internal.ranges.record import OWNERSHIP_KEY, decode
from tests.cover.test_succession import SETTLE_S, SuccessionCase
from tests.fakes.process import GateKind
from tests.fakes.range_fleet import SERVICE, RangeFleet
from tests.fakes.store import WriteFate

REACHED_S = 1.0  # from a takeover until all targets know the fences of the new leader
GRANTED_S = 2.0  # enough for three rounds of renewals
RESTARTED = ("t0", "t2", "t3", "t0", "t2", "t3")


class PartialCutCase(SuccessionCase):
    """A leader without the store that some of the other hosts confirm."""

    def setUp(self):
        super().setUp()
        self.find_leader()

    def find_leader(self):
        self.first = self.fleet.leader()
        self.others = [host for host in self.fleet.hosts if host is not self.first]

    def turn_away(self, hosts):
        """Let the store answer none of `hosts`."""
        for host in hosts:
            host.store.faults.silent = True

    def cut(self, hosts, both=True):
        """Cut the paths from `hosts` to all other hosts, and back if `both`."""
        rest = [host for host in self.fleet.hosts if host not in hosts]
        self.fleet.network.cut(
            {host.process.machine for host in hosts},
            {host.process.machine for host in rest},
            both,
        )

    def wait_for_takeover(self):
        """Wait until the store names another leader, of which no host has heard yet.

        Return that host.
        """
        for _ in range(40000):
            stored = decode(self.fleet.platform.get(OWNERSHIP_KEY).value)
            if stored.leader != self.first.hosts.me():
                break
            self.fleet.run_for(0.0005)
        else:
            self.fail("no other host takes over")
        return next(h for h in self.fleet.hosts if h.hosts.me() == stored.leader)

    def move_and_restart(self, leader):
        """Let a new leader move the keys of targets to t1, and restart the targets.

        This lasts until the lease of the first leader is over.  The new one may wait
        for that.
        """
        self.fleet.run_for(REACHED_S)
        for target_id in RESTARTED:
            self.move(leader, target_id)
            self.fleet.targets[target_id].restart()
            self.fleet.run_for(GRANTED_S)
        self.assertFalse(self.first.leadership.may_order())
        self.assert_one_holder()

    def move(self, leader, target_id):
        """Let a leader move the keys of a target to t1, if it may give orders."""
        owned = leader.keeper.ledger.map(SERVICE).owned_by(target_id)
        if owned and leader.leadership.may_order():
            leader.keeper.start_move(SERVICE, whole_move(owned[0], "t1"))
        self.fleet.run_for(0.3)

    def assert_one_holder(self):
        self.assertEqual(self.fleet.double_holds[:3], [])
        self.assertEqual(self.fleet.fence_violations()[:3], [])


class TestSuccessorsThatNobodyHears(PartialCutCase):
    """One host reaches the store and no other; all others reach only each other."""

    hosts = 5

    # Guards against OWNER: hosts that had not heard of the next leader confirmed the
    # one before, which then granted moved keys to a target without memory.
    def test_the_leader_before_grants_nothing_to_a_target_that_restarts(self):
        last = self.others[-1]
        self.turn_away([host for host in self.fleet.hosts if host is not last])
        self.cut([last])
        self.move_and_restart(self.wait_for_takeover())

    # Guards against OWNER: the same with a host that has started since the store last
    # answered the leader, so that it asks all hosts that it knows, and all confirm it.
    def test_a_host_that_the_leader_does_not_know_waits_for_its_lease(self):
        self.turn_away(self.fleet.hosts)
        self.fleet.run_for(0.5)
        added = self.fleet.add_host(self.cut)
        while self.first.leadership.may_order():
            self.assertFalse(added.leadership.leading)
            self.fleet.run_for(0.1)
        self.assertIs(self.wait_for_takeover(), added)
        self.move_and_restart(added)

    # Guards against OWNER: such a host did not wait where other hosts had told it that
    # they don't hear the leader; they confirmed the leader when they heard it again.
    def test_hosts_that_have_let_an_unknown_host_lead_confirm_nobody(self):
        self.turn_away(self.fleet.hosts)
        self.fleet.run_for(0.5)
        added = self.fleet.add_host(lambda hosts: self.cut([self.first]))
        self.assertIs(self.wait_for_takeover(), added)
        self.fleet.network.heal()
        self.cut([added])
        self.move_and_restart(added)

    # Guards against OWNER: the same with a host whose earlier run is known to be dead.
    def test_the_next_run_of_a_host_that_has_ended_is_not_overlooked(self):
        last = self.others[-1]
        self.turn_away(self.fleet.hosts)
        last.kill()
        self.fleet.targets["t3"].restart()
        self.fleet.run_for(0.7)
        self.cut([last])
        next_run = self.fleet.restart(last)
        self.assertIs(self.wait_for_takeover(), next_run)
        self.move_and_restart(next_run)


class TestHostsInTwoParts(PartialCutCase):
    """The leader and half of the others don't reach the store; the rest do."""

    # Guards against OWNER: as many hosts as the leader needs confirmed it, while the
    # others followed the next one.
    def test_the_half_without_the_store_confirms_nobody(self):
        for hosts in (3, 5, 9):
            with self.subTest(hosts=hosts):
                self.fleet.stop()
                self.fleet = RangeFleet(hosts=hosts)
                self.fleet.run_for(SETTLE_S)
                self.find_leader()
                half = [self.first, *self.others[: hosts // 2]]
                self.turn_away(half)
                self.cut(half)
                self.move_and_restart(self.wait_for_takeover())

    # Guards against OWNER: a leader that asks some hosts of many met none that follow
    # its successor.
    def test_a_sample_of_many_hosts_confirms_nobody(self):
        self.fleet.stop()
        self.fleet = RangeFleet(hosts=9, cfg=FleetSettings(inquiries=3))
        self.fleet.run_for(SETTLE_S)
        self.find_leader()
        asked = self.first.leadership._inquiries._sample(self.first.hosts.known_hosts())
        names = {entry.name for entry in asked}
        half = [h for h in self.others if h.hosts.my_entry.name in names]
        self.turn_away([self.first, *half])
        self.cut([self.first, *half])
        self.move_and_restart(self.wait_for_takeover())

    # Guards against OWNER: hosts that had said that they don't hear the leader, and so
    # let another one lead, confirmed it when they heard it again.
    def test_hosts_that_have_let_another_host_lead_confirm_nobody(self):
        half = self.others[:2]
        self.turn_away([self.first, *half])
        self.cut([self.first])
        second = self.wait_for_takeover()
        self.fleet.network.heal()
        self.cut([self.first, *half])
        self.fleet.run_for(0.1)
        self.assertNotEqual(half[0].leadership.leader, second.hosts.me())
        self.move_and_restart(second)


class TestSuccessorsThatHaveStopped(PartialCutCase):
    """A leader that was cut off hears again a host that has led in between."""

    hosts = 2

    # Guards against OWNER: a host that had led in a later epoch, and led no longer,
    # counted as one that knows of no later leader.
    def test_confirm_no_leader_before_them(self):
        for how in ("resigns", "steps aside"):
            with self.subTest(how=how):
                self.fleet.stop()
                self.fleet = RangeFleet(hosts=self.hosts)
                self.fleet.run_for(SETTLE_S)
                self.find_leader()
                self.turn_away([self.first])
                self.cut([self.first])
                second = self.successor_of(self.first)
                self.fleet.run_for(REACHED_S)
                second.leadership.may_lead = lambda: False
                if how == "resigns":
                    self.end_leadership(second, how)
                else:
                    second.leadership.step_aside("test")
                self.fleet.run_for(0.1)
                self.fleet.network.heal()
                self.fleet.targets["t0"].restart()
                self.fleet.run_for(GRANTED_S)
                self.assert_one_holder()

    # Guards against OWNER: the next run of such a host counted as well, though it has
    # not read who leads.
    def test_the_next_run_on_their_machine_confirms_nobody(self):
        self.turn_away([self.first])
        self.cut([self.first])
        second = self.successor_of(self.first)
        self.fleet.run_for(REACHED_S)
        second.kill()
        next_run = self.fleet.restart(second)
        self.turn_away([next_run])
        for stored in self.fleet.platform.list(HOSTS_PREFIX).items:
            next_run.cache.observe(stored)  # as relays tell it
        self.fleet.network.heal()
        self.fleet.run_for(REACHED_S)
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(GRANTED_S)
        self.assertTrue(self.first.leadership.may_order())
        self.assert_one_holder()


class TestFleetsOfOne(PartialCutCase):
    hosts = 1

    # Guards against OWNER: a host that knows of none but the lost leader needed no
    # answers, and a leader that knows of none confirmed itself.
    def test_a_host_that_joins_waits_for_the_lease_of_the_leader(self):
        self.turn_away(self.fleet.hosts)
        self.fleet.run_for(0.5)
        added = self.fleet.add_host(self.cut)
        while self.first.leadership.may_order():
            self.assertFalse(added.leadership.may_order())
            self.fleet.run_for(0.05)
        self.assertIs(self.successor_of(self.first), added)


class TestHostsWithoutRecords(PartialCutCase):
    hosts = 5

    # Guards against OWNER: a host that had not read the records of others took over
    # early, as if all others had let it lead.
    def test_one_that_joins_waits_for_the_lease_of_the_leader(self):
        self.turn_away(self.fleet.hosts)
        self.fleet.run_for(0.5)

        def prepare(hosts):
            self.cut(hosts)
            hosts[0].cache.observe = lambda stored: None

        added = self.fleet.add_host(prepare)
        while self.first.leadership.may_order():
            self.assertFalse(added.leadership.may_order())
            self.fleet.run_for(0.05)


class TestHostsInTheObject(PartialCutCase):
    """The object names the hosts that its leader asks for a confirmation."""

    # Guards against OWNER: a host that an unanswered write has named takes over early,
    # and the leader has forgotten it when its record is gone.
    def test_the_leader_remembers_hosts_that_an_unanswered_write_names(self):
        self.fleet.platform.faults.silent = True
        added = self.fleet.add_host()
        self.fleet.run_for(3)
        self.assertTrue(self.first.leadership.may_order())
        names = {entry.name for entry in self.first.leadership._named_hosts}
        self.assertIn(added.hosts.my_entry.name, names)


class TestRepeatedWrites(PartialCutCase):
    """The answer to a write is lost, and that to a repetition comes later."""

    hosts = 5
    UNANSWERED_S = 6.0

    # Guards against OWNER: the leader counted its lease from the last repetition, and a
    # host that it does not know from the change of the object, which came first.
    def test_do_not_prolong_the_lease_that_others_wait_for(self):
        faults = self.first.store.faults
        self.turn_away(self.others)
        before = self.version()
        faults.lost.append(WriteFate.AFTER_EFFECT)
        while self.version() == before:
            self.fleet.run_for(0.0005)
        faults.silent = True
        before = self.version()
        self.fleet.run_for(0.5)
        added = self.fleet.add_host(self.cut)
        self.fleet.run_for(self.UNANSWERED_S)
        self.first.cache.observe = lambda stored: None  # its watch is later
        confirmations = self.first.leadership._confirmations
        written_at = confirmations.written_at
        faults.silent = False
        while confirmations.written_at == written_at:
            self.fleet.run_for(0.0005)
        faults.silent = True
        self.assertEqual(self.version(), before)
        while self.first.leadership.may_order():
            self.assertFalse(added.leadership.may_order())
            self.fleet.run_for(0.05)

    def version(self):
        return self.fleet.platform.get(OWNERSHIP_KEY).version


class TestSuccessorsWithoutARecord(PartialCutCase):
    """A host that has led stops by plan, and removes its record from the store."""

    hosts = 3

    # Guards against OWNER: the leader before forgot a host that might have led when its
    # record was gone, and asked only the others.
    def test_it_is_still_missed_by_the_leader_before(self):
        last = self.others[-1]
        self.turn_away([host for host in self.fleet.hosts if host is not last])
        self.cut([last])
        second = self.successor_of(self.first)
        self.fleet.run_for(REACHED_S)
        self.end_leadership(second, "resigns")
        last.hosts.remove(last.hosts.my_entry.name, last.clock.now() + 1.0)
        last.kill()
        cache = self.first.cache
        # Relays pass on that the record is gone.
        cache.observe_listing(
            self.fleet.platform.list(HOSTS_PREFIX), cache.snapshot(HOSTS_PREFIX)
        )
        self.fleet.run_for(1.5)
        known = {entry.name for entry in self.first.hosts.recorded_hosts()}
        self.assertNotIn(last.hosts.my_entry.name, known)
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(GRANTED_S)
        self.assertTrue(self.first.leadership.may_order())
        self.assert_one_holder()


class TestLeadersThatAreFrozen(PartialCutCase):
    """A leader stands still between its confirmation and the order that needs it."""

    # Guards against OWNER: an order that was confirmed before a pause is sent after it.
    def test_send_nothing_that_a_later_process_takes(self):
        for kind in (GateKind.PEER, GateKind.ORDER):
            with self.subTest(kind=kind):
                self.fleet.stop()
                self.fleet = RangeFleet(hosts=4)
                self.fleet.run_for(SETTLE_S)
                self.find_leader()
                self.turn_away([self.first])
                self.fleet.run_for(1.6)
                self.fleet.targets["t0"].restart()
                self.first.process.pause_at(kind)
                second = self.wait_for_takeover()
                self.fleet.run_for(REACHED_S)
                self.cut([self.first])
                self.move(second, "t0")
                self.assertTrue(self.first.process.paused)
                self.first.process.resume()
                self.assertTrue(self.first.leadership.may_order())
                self.fleet.run_for(GRANTED_S)
                self.assert_one_holder()


class TestRestoredStores(PartialCutCase):
    """The store forgets a successor that the leader before can't hear."""

    hosts = 5

    # Guards against OWNER: half of the hosts proved that nobody else had led, so keys
    # that the forgotten leader had moved were granted to their owners before.
    def test_a_leader_that_leads_on_takes_back_what_the_successor_granted(self):
        last = self.others[-1]
        rest = [host for host in self.fleet.hosts if host is not last]
        self.turn_away(rest)
        self.cut([last])
        began = self.first.clock.now()
        second = self.successor_of(self.first)
        self.fleet.run_for(REACHED_S)
        piece = second.keeper.ledger.map(SERVICE).owned_by("t0")[0]
        second.keeper.start_move(SERVICE, whole_move(piece, "t1"))
        self.fleet.run_for(0.3)
        self.turn_away([last])
        self.fleet.platform.restore(self.first.clock.now() - began)
        for host in rest:
            host.store.faults.silent = False
        self.fleet.run_for(4)
        self.assertTrue(self.first.leadership.may_order())
        self.assertTrue(second.leadership.may_order())
        self.assertEqual(self.fleet.double_holds[:3], [])


if __name__ == "__main__":
    unittest.main()
