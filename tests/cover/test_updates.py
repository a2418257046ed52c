"""Tests of the updates of a fleet's caches, and of the store calls that they take."""

import unittest
import zlib

import eventlet

from persimmonspoke.internal.news.knowledge import Proof
from persimmonspoke.internal.news.settings import UpdateSettings
from persimmonspoke.internal.news.updates import RELAY_WATCH
from persimmonspoke.internal.peers.revisions import Revision
from tests.fakes import virtual_hub
from tests.fakes.store import LATENCY_S, WatchGap
from tests.fakes.update_fleet import DRAIN_S, PREFIXES, UpdateFleet, UpdateHost

NARROW_LINK = 5e6 / 8  # bytes a second of the narrowest link of a fleet

START_S = 6.0
PLAYS = 3
PLAY_SHIFT_S = 0.37  # no multiple of any period
STORE = "10.9.9.9"


class FleetCase(unittest.TestCase):
    def start(self, hosts):
        fleet = UpdateFleet(hosts)
        self.addCleanup(fleet.stop)
        eventlet.sleep(START_S)
        return fleet

    def assert_all_hear_of(self, fleet, hosts, change, seen, within_s=DRAIN_S):
        """Assert that `seen(host)` holds for all hosts within the bound."""
        change()
        eventlet.sleep(within_s)
        self.assertEqual([h.process.name for h in hosts if not seen(h)], [])

    def assert_leaving_is_heard(self, fleet, hosts):
        self.assert_all_hear_of(
            fleet,
            hosts,
            lambda: fleet.put("servers/t3", None),
            lambda host: not host.knows("servers/t3"),
        )


class TestStoreCalls(FleetCase):
    """Few hosts read the store, however many there are."""

    def mean_calls(self, hosts):
        """Return the mean of plays that begin at different times.

        By the time of a change, one batch more or fewer is read: two calls.
        """
        total = 0.0
        for _ in range(PLAYS):
            eventlet.sleep(PLAY_SHIFT_S)
            total += self.calls(hosts)
        return total / PLAYS

    def calls(self, hosts):
        fleet = self.start(hosts)
        since = len(fleet.platform.calls)
        for number in range(10):
            fleet.put("servers/t1", {"state": "ready", "n": number})
            eventlet.sleep(1)
        for host in fleet.hosts:
            self.assertEqual(host.cache.get("servers/t1").value["n"], 9)
        kinds = [kind for _, kind in fleet.platform.calls[since:]]
        return sum(0.1 if kind == "stale" else 1 for kind in kinds)

    def test_the_calls_of_the_fleet_do_not_grow_with_its_hosts(self):
        few, more, many = (self.mean_calls(hosts) for hosts in (10, 30, 90))
        self.assertLessEqual(more, 1.1 * few)
        self.assertLessEqual(many, 1.1 * few)

    def test_a_starting_host_reads_each_kind_once_and_the_hosts_twice(self):
        fleet = self.start(60)
        kinds = [kind for at, kind in fleet.platform.calls]
        relays = len(fleet.relays())
        most = len(PREFIXES) + 1
        for host in fleet.others():
            self.assertLessEqual(host.store.lists, most)
        # Relays list configuration and targets all the time, hosts a quarter as often.
        cfg = UpdateSettings().within(DRAIN_S)
        listings = 2.25 * (START_S / cfg.read_s + 1) + len(PREFIXES)
        self.assertLessEqual(kinds.count("read"), 60 * most + relays * listings)
        # Their watches end seldom, and no other host watches.
        watches = len(PREFIXES) * (START_S / (RELAY_WATCH * cfg.watch_s) + 2)
        self.assertLessEqual(kinds.count("watch"), watches * relays)

    def test_a_host_that_no_other_one_asks_lists_nothing_regularly(self):
        fleet = self.start(30)
        before = {host.process.name: host.store.lists for host in fleet.hosts}
        eventlet.sleep(5)
        listed = [h for h in fleet.hosts if h.store.lists > before[h.process.name]]
        self.assertCountEqual(listed, fleet.relays())

    def test_an_outage_costs_each_host_one_cheap_call_a_second_at_most(self):
        fleet = self.start(30)
        fleet.platform.faults.down = True
        attempts = []
        for host in fleet.hosts:
            check = host.store._raise_if_down
            host.store._raise_if_down = lambda f=check: (attempts.append(1), f())
        fleet.platform.wake()
        eventlet.sleep(20)
        self.assertLessEqual(len(attempts), 1.2 * 20 * 30 + 2 * 20 * 5)


class TestReadsOfManyHosts(FleetCase):
    """Hosts that lose their relays together read only what has changed since."""

    def lists(self, hosts):
        """Return how often hosts have listed a kind of objects so far."""
        return sum(host.store.lists for host in hosts)

    # Guards against CONFIG: all hosts listed everything at once, over their own links.
    def test_no_host_lists_all_objects_when_relays_are_lost(self):
        fleet = self.start(30)
        others = fleet.others()
        before = self.lists(others)
        for relay in fleet.relays():
            relay.kill()
        self.assert_leaving_is_heard(fleet, others)
        self.assertEqual(self.lists(others), before)

    def test_no_host_lists_all_objects_after_the_store_was_silent(self):
        fleet = self.start(30)
        others, relays = fleet.others(), fleet.relays()
        before, by_relays = self.lists(others), self.lists(relays)
        fleet.platform.faults.silent = True
        eventlet.sleep(3)
        fleet.platform.faults.silent = False
        fleet.put("servers/t3", None)
        eventlet.sleep(DRAIN_S)
        known_by = [h.process.name for h in fleet.hosts if h.knows("servers/t3")]
        self.assertEqual((known_by, self.lists(others)), ([], before))
        # Relays list two kinds all the time, and the hosts a quarter as often.
        read_s = UpdateSettings().within(DRAIN_S).read_s
        most = len(relays) * 2.25 * ((3 + DRAIN_S) / read_s + 1)
        self.assertLessEqual(self.lists(relays) - by_relays, most)

    def test_all_is_listed_again_once_the_history_is_dropped(self):
        fleet = self.start(10)
        others = fleet.others()
        before = self.lists(others)
        for relay in fleet.relays():
            relay.kill()
        fleet.put("servers/t3", None)
        fleet.platform.compact()
        eventlet.sleep(DRAIN_S)
        known_by = [h.process.name for h in others if h.knows("servers/t3")]
        self.assertEqual(known_by, [])
        self.assertGreater(self.lists(others), before)


class TestBytesOfAChange(FleetCase):
    """A change costs each host little of its link, however large the table is."""

    def route(self, number):
        name = f"r-{zlib.crc32(str(number).encode()):x}"
        path = f"/xapu{number}/ny{number % 89}/"
        return [name, f"hulo{number % 40}.example", path, "unsafe", 1.2, 0.4, 1, None]

    def put(self, fleet, routes):
        version = fleet.platform.revision
        rows = [self.route(number) for number in range(routes)]
        fleet.put("config/main", {"version": version, "routes": {"rows": rows}})
        return version

    # Guards against CONFIG: each host got the whole table twice, uncompressed.
    def test_one_more_route_takes_a_tenth_of_a_second_of_a_narrow_link(self):
        fleet = self.start(30)
        self.put(fleet, 1400)
        eventlet.sleep(DRAIN_S)
        sent = [host.link.bytes_sent for host in fleet.relays()]
        version = self.put(fleet, 1401)
        eventlet.sleep(DRAIN_S)
        self.assertEqual({host.version() for host in fleet.hosts}, {version})
        grown = sum(host.link.bytes_sent for host in fleet.relays()) - sum(sent)
        self.assertLessEqual(grown / len(fleet.others()), 0.1 * NARROW_LINK)

    def test_a_host_of_an_earlier_build_gets_the_table_as_it_reads_it(self):
        fleet = self.start(10)
        host = fleet.others()[0]
        host.link.revision = Revision.TOLERANT
        version = self.put(fleet, 1400)
        eventlet.sleep(DRAIN_S)
        self.assertEqual(host.version(), version)

    def test_hosts_read_the_table_of_a_relay_of_an_earlier_build(self):
        fleet = self.start(10)
        for relay in fleet.relays():
            relay.link.revision = Revision.TOLERANT
        version = self.put(fleet, 1400)
        eventlet.sleep(DRAIN_S)
        self.assertEqual({host.version() for host in fleet.hosts}, {version})


class TestUpdatesInTime(FleetCase):
    """A leaving target is known to every host in touch within the drain bound."""

    def test_all_hosts_hear_of_it_within_half_the_bound_when_nothing_fails(self):
        fleet = self.start(30)
        self.assert_all_hear_of(
            fleet,
            fleet.hosts,
            lambda: fleet.put("servers/t3", None),
            lambda host: not host.knows("servers/t3"),
            DRAIN_S / 2,
        )

    def test_one_relay_is_killed(self):
        for index in (0, 1):
            fleet = self.start(30)
            fleet.relays()[index].kill()
            self.assert_leaving_is_heard(fleet, fleet.others())

    def test_both_relays_are_killed_at_once(self):
        fleet = self.start(30)
        for relay in fleet.relays():
            relay.kill()
        self.assert_leaving_is_heard(fleet, fleet.others())

    def test_both_relays_are_cut_from_the_store(self):
        for fault in ("down", "silent"):
            with self.subTest(fault):
                fleet = self.start(30)
                for relay in fleet.relays():
                    setattr(relay.store.faults, fault, True)
                fleet.platform.wake()
                self.assert_leaving_is_heard(fleet, fleet.others())

    def test_both_relays_freeze(self):
        fleet = self.start(30)
        for relay in fleet.relays():
            relay.process.pause()
        self.assert_leaving_is_heard(fleet, fleet.others())

    def test_a_host_is_cut_from_all_relays(self):
        fleet = self.start(30)
        host = fleet.others()[0]
        machines = [h.process.machine for h in fleet.hosts if h is not host]
        fleet.network.cut([host.process.machine], machines)
        self.assert_leaving_is_heard(fleet, [host])

    def test_a_host_is_cut_from_the_store(self):
        fleet = self.start(30)
        host = fleet.others()[0]
        host.store.faults.silent = True
        self.assert_leaving_is_heard(fleet, [host])

    # Guards against CONFIG: silence of a watch was taken for "nothing new".
    def test_the_answers_that_tell_relays_of_a_change_are_lost(self):
        fleet = self.start(30)
        for shift_s in (0.0, 0.13, 0.29):
            eventlet.sleep(shift_s)
            for relay in fleet.relays():
                relay.store.faults.lose_changes = True
            eventlet.spawn_after(0.2, self.end_losses, fleet)
            version = fleet.platform.revision
            self.assert_all_hear_of(
                fleet,
                fleet.hosts,
                lambda v=version: fleet.put("config/main", {"version": v}),
                lambda host, v=version: host.version() == v,
            )

    def end_losses(self, fleet):
        for relay in fleet.relays():
            relay.store.faults.lose_changes = False

    # Guards against CONFIG: a host paused for a second before it listed again what the
    # store had told it to list.
    def test_the_history_is_dropped_after_the_watches_had_failed(self):
        fleet = self.start(30)
        fleet.platform.faults.silent = True
        eventlet.sleep(4)
        fleet.put("config/main", {"version": 7})
        fleet.platform.compact()
        fleet.platform.faults.silent = False
        eventlet.sleep(DRAIN_S)
        late = [h.process.name for h in fleet.hosts if h.version() != 7]
        self.assertEqual(late, [])

    # Guards against CONFIG: checks succeed while watches hear nothing of changes.
    def test_watches_hear_nothing_until_the_history_is_dropped(self):
        fleet = self.start(30)
        fleet.platform.begin_gap(WatchGap.ENDS)
        fleet.put("config/main", {"version": 7})
        eventlet.sleep(1.0)
        fleet.platform.end_gap()
        eventlet.sleep(DRAIN_S - 1.0)
        late = [h.process.name for h in fleet.hosts if h.version() != 7]
        self.assertEqual(late, [])

    # Guards against CONFIG and DRAIN: a change that the watches did not tell of was
    # known only once the relays were told to list again, 1.3 to 1.9 s later.
    def test_what_the_watches_miss_is_listed_within_the_budget(self):
        cfg = UpdateSettings().within(DRAIN_S)
        within_s = cfg.arrival_times()["a relay's watch is silent"]
        for gap in WatchGap:
            for shift_s in (0.0, 0.21, 0.43):
                with self.subTest(gap, shift_s=shift_s):
                    fleet = self.start(30)
                    eventlet.sleep(shift_s)
                    fleet.platform.begin_gap(gap)
                    fleet.put("config/main", {"version": 7})
                    eventlet.sleep(within_s + LATENCY_S)
                    late = [h.process.name for h in fleet.hosts if h.version() != 7]
                    self.assertEqual(late, [])

    def test_the_instant_of_a_change_is_never_later_than_the_change(self):
        fleet = self.start(10)
        for relay in fleet.relays():
            relay.store.faults.silent = True
        eventlet.sleep(0.2)
        changed_at = virtual_hub.now()
        fleet.put("servers/t3", {"state": "draining"})
        eventlet.sleep(DRAIN_S)
        for host in fleet.others():
            at = host.process.virtual(host.cache.changed_at("servers/t3"))
            self.assertLessEqual(at, changed_at + 0.01)

    def assert_not_dated_late(self, fleet, hosts, key, changed_at):
        """Assert that no host believes a change to be newer than it is."""
        dated = {
            host.process.name: host.process.virtual(host.cache.changed_at(key))
            for host in hosts
        }
        late = {name: at for name, at in dated.items() if at > changed_at + 0.01}
        self.assertEqual(late, {})

    # Guards against DRAIN: a relay that had just started dated what it found by its own
    # start, and told all hosts so, which kept sending to a target that had left before.
    def test_a_host_that_starts_does_not_date_what_it_finds_by_its_start(self):
        fleet = self.start(10)
        relays = fleet.relays()
        for relay in relays:
            relay.kill()
        changed_at = virtual_hub.now()
        fleet.put("servers/t3", {"state": "draining"})
        eventlet.sleep(0.3)
        new = [UpdateHost(fleet, number, run=2) for number in (0, 1)]
        small = [host for host in fleet.hosts if host.me.cores < new[0].me.cores]
        fleet.hosts = hosts = [*small, *new]
        fleet.known = tuple(host.me for host in hosts)
        eventlet.sleep(DRAIN_S)
        self.assertEqual(fleet.relays(), new)
        self.assert_not_dated_late(fleet, hosts, "servers/t3", changed_at)


class TestStart(FleetCase):
    def test_no_host_waits_for_another_one_when_all_start_at_once(self):
        fleet = self.start(30)
        old = [host.me for host in fleet.hosts]
        for host in fleet.hosts:
            host.kill()
        # The records in the store are those of the processes that have ended.
        fleet.known = tuple(old)
        fleet.hosts = [UpdateHost(fleet, n, run=2) for n in range(30)]
        eventlet.sleep(0.2)
        late = [h for h in fleet.hosts if not h.updates.caught_up()]
        self.assertEqual(late, [])


class TestAgeByKind(unittest.TestCase):
    # Guards against decisions by the age of objects that they don't depend on.
    def test_what_is_proven_of_one_kind_says_nothing_of_another(self):
        fleet = UpdateFleet(1)
        self.addCleanup(fleet.stop)
        updates = fleet.hosts[0].updates
        updates.knowledge.record("config/", Proof(0, 5, 1.5))
        self.assertEqual(updates.proven_at("config/"), 1.5)
        self.assertIsNone(updates.proven_at("servers/"))
        self.assertIsNone(updates.confirmed_at)


class TestNothingReturns(FleetCase):
    """What has left the store is not in use again after a restart."""

    def test_a_deletion_that_no_relay_has_seen_reaches_all_hosts(self):
        fleet = self.start(30)
        for relay in fleet.relays():
            relay.kill()
        fleet.put("servers/t3", None)
        # New relays read the store for the first time, after the deletion.
        fleet.known = tuple(h.me for h in fleet.hosts if not h.process.killed)
        eventlet.sleep(DRAIN_S)
        known_by = [h.process.name for h in fleet.others() if h.knows("servers/t3")]
        self.assertEqual(known_by, [])

    def test_a_restarted_host_is_not_ready_on_the_old_copy_of_an_isolated_relay(self):
        fleet = self.start(30)
        for relay in fleet.relays():
            relay.store.faults.silent = True
        eventlet.sleep(5)
        fleet.put("servers/t3", None)
        fleet.put("config/main", {"version": 2})
        eventlet.sleep(5)
        old = fleet.others()[0]
        old.kill()
        new = UpdateHost(fleet, fleet.hosts.index(old), run=2)
        fleet.hosts.append(new)
        for _ in range(100):
            eventlet.sleep(0.05)
            if new.updates.caught_up():
                break
        self.assertTrue(new.updates.caught_up())
        self.assertFalse(new.knows("servers/t3"))
        self.assertEqual(new.cache.get("config/main").value, {"version": 2})

    # Guards against DRAIN: a host that had just listed all targets took one that it
    # lacked from a relay that the store did not reach, and used it again.
    def test_a_restarted_host_takes_nothing_back_from_the_old_copy_of_a_relay(self):
        fleet = self.start(30)
        relays = fleet.relays()
        for relay in relays:
            relay.store.faults.silent = True
        eventlet.sleep(5)
        fleet.put("servers/t3", None)
        fleet.put("servers/t4", {"state": "draining"})
        old = fleet.others()[0]
        old.kill()
        # It reads the store before a relay has answered it.
        machines = [relay.process.machine for relay in relays]
        fleet.network.cut([old.process.machine], machines)
        new = UpdateHost(fleet, fleet.hosts.index(old), run=2)
        fleet.hosts.append(new)
        eventlet.sleep(0.5)
        fleet.network.heal()
        for _ in range(100):
            eventlet.sleep(0.05)
            self.assertFalse(new.knows("servers/t3"))
        state = new.cache.get("servers/t4").value["state"]
        self.assertEqual((new.updates.caught_up(), state), (True, "draining"))

    def test_a_host_that_starts_during_an_outage_uses_what_relays_know(self):
        fleet = self.start(10)
        fleet.platform.faults.down = True
        fleet.platform.wake()
        eventlet.sleep(5)
        old = fleet.others()[0]
        old.kill()
        new = UpdateHost(fleet, fleet.hosts.index(old), run=2)
        fleet.hosts.append(new)
        eventlet.sleep(4)
        self.assertTrue(new.updates.caught_up())
        self.assertTrue(new.knows("servers/t3"))


class TestOutages(FleetCase):
    """Entries that expire in an outage are told apart from targets that left."""

    def test_a_lost_relay_is_no_outage_of_the_store(self):
        fleet = self.start(30)
        for relay in fleet.relays():
            relay.kill()
        eventlet.sleep(5)
        for host in fleet.others():
            self.assertIsNone(host.updates.last_outage_at())

    def test_an_outage_lasts_until_the_store_confirms_the_cache_again(self):
        fleet = self.start(10)
        fleet.platform.faults.down = True
        fleet.platform.wake()
        eventlet.sleep(6)
        fleet.platform.faults.down = False
        ended_at = virtual_hub.now()
        eventlet.sleep(4)
        for host in fleet.hosts:
            last_at = host.process.virtual(host.updates.last_outage_at())
            self.assertGreaterEqual(last_at, ended_at - 0.25)
            self.assertLessEqual(last_at, ended_at + DRAIN_S)


if __name__ == "__main__":
    unittest.main()
