"""Tests of a store that comes back from an older copy, without its newest writes."""

import random
import unittest
from dataclasses import replace
from unittest import mock

import eventlet

from persimmonspoke.errors import StoreCompacted
from persimmonspoke.internal.fleet.hosts import HOSTS_PREFIX
from persimmonspoke.internal.fleet.messages import TableChange
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.messages import NewsRequest
from persimmonspoke.internal.news.relay import RelayReader, serve_news
from persimmonspoke.internal.news.watcher import StoreWatcher
from persimmonspoke.internal.ranges.planner import whole_move
from persimmonspoke.internal.ranges.record import (
    OWNERSHIP_KEY,
    Ownership,
    decode,
    encode,
)
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.internal.timers import Timers
from persimmonspoke.platform import documents
from tests.fakes import virtual_hub
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.range_fleet import SERVICE, RangeFleet
from tests.fakes.range_targets import FakeRangeTarget
from tests.fakes.store import FakePlatformStore, FakeStore

LOST_S = 9.0  # how much the copy is older
AWAY_S = 2.0
SEED = 24


class RestoredCase(unittest.TestCase):
    """Hosts and targets in virtual time; no key may have two holders at any time."""

    def setUp(self):
        self.random = random.Random(SEED)
        self.started_at = virtual_hub.now()
        self.fleet = RangeFleet(hosts=3)
        self.addCleanup(self.end)
        self.fleet.run_for(8)

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.fence_violations(), [])
        self.assertEqual(self.fleet.network.crashes, [])

    def move_keys(self, seconds):
        """Move random runs of keys to random targets."""
        for _ in range(round(seconds / 0.5)):
            keeper = self.fleet.leader().keeper
            first = self.random.randrange(60000)
            entry = keeper.ledger.map(SERVICE).find(first)
            last = min(entry.last, first + 3000)
            to = self.random.choice(sorted(self.fleet.targets))
            if not keeper.ledger.in_transfer(SERVICE, entry):
                piece = replace(entry, first=first, last=last)
                keeper.start_move(SERVICE, whole_move(piece, to))
            self.fleet.run_for(0.5)

    def restore(self, age_s=LOST_S, away_s=AWAY_S):
        """Take the store away for a while; it comes back as it was `age_s` before."""
        self.fleet.platform.faults.down = True
        self.fleet.run_for(away_s)
        self.fleet.platform.faults.down = False
        self.fleet.platform.restore(age_s)

    def wait_until_confirmed(self):
        """Wait until a leader may give orders, at most for one periodic write."""
        confirm_s = self.fleet.cfg.confirm_s
        deadline = virtual_hub.now() + confirm_s + 0.1
        while self.fleet.leader() is None:
            self.assertLess(virtual_hub.now(), deadline)
            self.fleet.run_for(0.01)

    def replace_leader(self):
        """Kill the leader and wait for the next one."""
        killed = self.fleet.leader()
        killed.kill()
        self.fleet.restart(killed)
        while self.fleet.leader() in (None, killed):
            self.fleet.run_for(0.1)
        self.fleet.run_for(1)


class TestKeysThatMovedBefore(RestoredCase):
    # Guards against OWNER: keys given to the holder that an older copy names.
    def test_they_have_one_holder_and_stay_where_they_are(self):
        self.move_keys(8)
        before = self.owners()
        self.restore()
        self.wait_until_confirmed()
        self.assertEqual(self.owners(), before)
        self.fleet.run_for(5)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against OWNER with the only host gone that knows the last moves.
    def test_they_have_one_holder_when_the_leader_is_lost_too(self):
        self.move_keys(8)
        self.restore(away_s=2.5)
        killed = self.fleet.leader()
        killed.kill()
        self.fleet.restart(killed)
        self.fleet.run_for(12)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against OWNER: a target that joined since is unknown to the new leader.
    def test_they_have_one_holder_when_the_copy_lacks_their_target(self):
        self.fleet.run_for(2)
        self.fleet.targets["t9"] = FakeRangeTarget("t9")
        self.fleet.register("t9")
        self.fleet.run_for(0.5)
        keeper = self.fleet.leader().keeper
        entry = keeper.ledger.map(SERVICE).find(30000)
        keeper.start_move(SERVICE, whole_move(entry, "t9"))
        self.fleet.run_for(1)
        self.restore(away_s=2.5)
        lost = self.fleet.records.pop("t9")
        killed = self.fleet.leader()
        killed.kill()
        self.fleet.restart(killed)
        self.fleet.run_for(2.0)
        self.fleet.records["t9"] = lost
        self.fleet.run_for(20)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against keys without an owner: the copy is older than the first owners.
    def test_they_are_held_again_when_the_copy_names_no_owner_at_all(self):
        since_start_s = virtual_hub.now() - self.started_at
        self.restore(age_s=since_start_s + 2.0, away_s=2.5)
        killed = self.fleet.leader()
        killed.kill()
        self.fleet.restart(killed)
        self.fleet.run_for(28)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against OWNER: a starting host takes a lost object for a first start.
    def test_they_have_one_holder_when_a_new_host_finds_no_object(self):
        self.move_keys(4)
        leader = self.fleet.leader()
        since_start_s = virtual_hub.now() - self.started_at
        old = next(host for host in self.fleet.hosts if host is not leader)
        old.kill()
        for host in self.fleet.hosts:
            host.store.faults.silent = True
        self.fleet.platform.restore(since_start_s + 2.0)
        self.fleet.restart(old)
        new = next(h for h in self.fleet.hosts if h.leadership.epoch == 0)
        others = {h.process.machine for h in self.fleet.hosts if h is not new}
        self.fleet.network.cut({new.process.machine}, others)
        self.fleet.run_for(5)
        self.assertTrue(new.leadership.leading)
        for host in self.fleet.hosts:
            host.store.faults.silent = False
        self.fleet.network.heal()
        self.fleet.run_for(28)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against OWNER after two losses, the second with the moves of the first.
    def test_they_have_one_holder_after_two_restorations(self):
        for _ in range(2):
            self.move_keys(6)
            self.restore()
            self.fleet.run_for(2)
        self.fleet.run_for(5)
        self.assertEqual(self.fleet.unheld_keys(), [])

    def owners(self):
        ranges = self.fleet.leader().keeper.ledger.map(SERVICE).ranges
        return [(entry.first, entry.owner) for entry in ranges]


class TestLeadersThatTheCopyLacks(RestoredCase):
    # Guards against OWNER: fencing tokens that were given out before the loss.
    def test_later_fences_are_above_those_of_leaders_that_are_forgotten(self):
        self.replace_leader()
        self.move_keys(2)
        self.replace_leader()
        self.move_keys(2)
        self.restore(age_s=12.0, away_s=0.5)
        self.fleet.run_for(1)
        self.replace_leader()
        self.move_keys(2)
        self.fleet.run_for(12)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against two leaders: a record of an earlier run proves nothing.
    def test_a_restored_record_of_an_earlier_run_does_not_end_a_leaders_orders(self):
        self.replace_leader()
        leader = self.fleet.leader()
        self.move_keys(2)
        others = [h.process.machine for h in self.fleet.hosts if h is not leader]
        self.restore(age_s=8.0, away_s=0.5)
        self.fleet.network.cut({leader.process.machine}, others)
        self.fleet.run_for(20)
        self.fleet.network.heal()
        self.fleet.run_for(5)
        self.assertEqual(self.fleet.unheld_keys(), [])


class TestLeadersInDoubt(RestoredCase):
    # Guards against two leaders: one that was frozen may have been replaced since.
    def test_a_leader_that_wakes_after_a_restoration_asks_for_later_ones(self):
        leader = self.fleet.leader()
        others = {h.process.machine for h in self.fleet.hosts if h is not leader}
        self.fleet.network.cut({leader.process.machine}, others)
        old, new = self.freeze_leader_and_restore()
        self.fleet.network.heal()
        self.fleet.network.cut({new.process.machine}, {old.process.machine})
        old.process.resume()
        self.fleet.run_for(1)
        self.assertFalse(old.leadership.leading)
        self.recover(new)

    # Guards against OWNER: a frozen leader that can ask nobody what has changed.
    def test_a_leader_that_wakes_alone_takes_all_keys_back_first(self):
        leader = self.fleet.leader()
        others = {h.process.machine for h in self.fleet.hosts if h is not leader}
        self.fleet.network.cut({leader.process.machine}, others)
        old, new = self.freeze_leader_and_restore()
        old.process.resume()
        self.fleet.run_for(0.8)
        self.assertTrue(old.leadership.leading)
        self.recover(new)

    def freeze_leader_and_restore(self):
        """Freeze the leader, let the next one move keys, and restore the store.

        Return both.  The next leader does not reach the store any more.
        """
        old = self.fleet.leader()
        old.process.pause()
        self.fleet.run_for(4)
        new = next(h for h in self.fleet.hosts if h.leadership.leading and h is not old)
        for first in range(0, 60000, 6000):
            entry = new.keeper.ledger.map(SERVICE).find(first)
            to = self.random.choice(sorted(set(self.fleet.targets) - {entry.owner}))
            piece = replace(entry, first=first, last=min(entry.last, first + 3000))
            new.keeper.start_move(SERVICE, whole_move(piece, to))
            self.fleet.run_for(0.2)
        new.store.faults.silent = True
        self.fleet.platform.restore(8.0)
        return old, new

    def recover(self, new):
        new.store.faults.silent = False
        self.fleet.network.heal()
        self.fleet.run_for(28)
        self.assertEqual(self.fleet.unheld_keys(), [])

    def test_it_gives_no_order_before_it_has_stored_its_ownership_again(self):
        leader = self.fleet.leader()
        leader.store.era = self.fleet.platform.era + 1
        self.assertFalse(leader.leadership.may_order())

    def test_a_target_that_answers_nothing_keeps_its_keys_until_its_grants_lapse(self):
        leader = self.fleet.leader()
        self.fleet.platform.faults.down = True
        self.fleet.run_for(3)
        self.fleet.targets["t0"].silent = True
        self.fleet.platform.faults.down = False
        self.fleet.platform.restore(LOST_S)
        self.fleet.run_for(12)
        self.fleet.targets["t0"].silent = False
        self.fleet.run_for(3)
        self.assertIs(self.fleet.leader(), leader)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against a change of the leader because the store answered others first.
    def test_the_leader_stays_when_the_store_answers_the_others_a_little_earlier(self):
        leader = self.fleet.leader()
        self.fleet.platform.faults.down = True
        self.fleet.run_for(3)
        self.fleet.platform.faults.down = False
        leader.store.faults.down = True
        for host in self.fleet.hosts:
            eventlet.spawn(host.leadership._check_store)
        self.fleet.run_for(0.5)
        leader.store.faults.down = False
        self.fleet.run_for(2)
        self.assertIs(self.fleet.leader(), leader)

    def test_hosts_that_miss_the_announcement_follow_the_new_epoch(self):
        leader = self.fleet.leader()
        followers = [host for host in self.fleet.hosts if host is not leader]
        for host in followers:
            host.link._handlers[TableChange] = lambda msg: None
        with mock.patch.object(type(leader.leadership), "_announce"):
            self.restore(away_s=0.5)
            self.fleet.run_for(2)
        self.assertIs(self.fleet.leader(), leader)
        self.assertGreater(leader.leadership.epoch, 1)
        for host in followers:
            self.assertEqual(host.leadership.epoch, leader.leadership.epoch)


class TestSuccessorsOfLeadersInDoubt(RestoredCase):
    """A leader that took over from an older copy ends before it has resolved it."""

    # Guards against OWNER: the doubt about the owners ended with its leader.
    def test_they_take_all_keys_back_first_as_well(self):
        for how in ("is killed", "resigns", "steps aside"):
            with self.subTest(leader=how):
                self.fleet.stop()
                self.fleet = RangeFleet(hosts=4)
                self.fleet.run_for(8)
                self.move_keys(8)
                first = self.lose_leader_and_restore()
                second = self.wait_for_leader(first)
                self.assertTrue(second.leadership.owners_uncertain)
                self.end_leadership(second, how)
                third = self.wait_for_leader(first, second)
                self.assertTrue(third.leadership.owners_uncertain)
                self.fleet.run_for(20)
                self.assertEqual(self.fleet.double_holds[:3], [])
                self.assertEqual(self.fleet.unheld_keys(), [])
                self.assertFalse(third.leadership.owners_uncertain)
                self.assertIsNone(self.stored().resolved)

    # Guards against OWNER: a build that does not store its doubt led in between.
    def test_owners_that_an_older_build_took_from_a_copy_are_in_doubt(self):
        self.move_keys(8)
        first = self.lose_leader_and_restore()
        second = self.wait_for_leader(first)
        second.kill()
        stored = self.fleet.platform.get(OWNERSHIP_KEY)
        value = {name: v for name, v in stored.value.items() if name != "resolved"}
        value["services"] = self.copied_services
        self.fleet.platform.put(OWNERSHIP_KEY, value, stored.version)
        self.assertEqual(self.stored().resolved, frozenset())
        self.wait_for_leader(first, second)
        self.fleet.run_for(20)
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against OWNER: a leader that leads on in doubt is replaced.
    def test_the_doubt_of_a_leader_that_led_on_alone_is_stored(self):
        leader = self.fleet.leader()
        others = {h.process.machine for h in self.fleet.hosts if h is not leader}
        self.fleet.network.cut({leader.process.machine}, others)
        self.fleet.platform.restore(1.0)
        for _ in range(20):
            self.fleet.run_for(0.05)
            if self.stored().era == 1:
                break
        self.assertEqual(self.stored().resolved, frozenset())
        self.fleet.network.heal()
        self.fleet.run_for(12)

    def lose_leader_and_restore(self):
        """Kill the leader while the store is away; the copy lacks the last moves."""
        first = self.fleet.leader()
        self.fleet.platform.faults.down = True
        self.fleet.run_for(1.0)
        first.kill()
        self.fleet.run_for(1.0)
        self.fleet.platform.faults.down = False
        self.fleet.platform.restore(LOST_S)
        copy = self.fleet.platform.get(OWNERSHIP_KEY)
        self.copied_services = copy.value["services"]
        return first

    def wait_for_leader(self, *former):
        """Wait for a leader that is none of `former`, and return it."""
        for _ in range(400):
            self.fleet.run_for(0.02)
            for host in self.fleet.hosts:
                if host not in former and host.leadership.may_order():
                    return host
        return self.fail("no other host leads")

    def end_leadership(self, host, how):
        """End the leadership of a host in one of several ways."""
        if how == "resigns":
            host.hosts.leaving = True
            eventlet.spawn(host.leadership.resign)
        elif how == "steps aside":
            host.leadership.step_aside("test")
            host.leadership.may_lead = lambda: False
        else:
            host.kill()

    def stored(self):
        return decode(self.fleet.platform.get(OWNERSHIP_KEY).value)


class TestEpochs(unittest.TestCase):
    def test_they_leave_room_for_the_leaders_that_an_older_copy_lacks(self):
        copy = Ownership(None, 3, era=1)
        self.assertEqual(copy.epoch_in(1), 3)
        self.assertGreater(copy.epoch_in(2), 1000)
        self.assertGreater(copy.epoch_in(3), copy.epoch_in(2) + 1000)

    def test_the_era_is_stored_and_an_object_without_one_is_of_the_first(self):
        value = encode(Ownership(None, 3, era=2))
        self.assertEqual(decode(value).era, 2)
        del value["era"]
        self.assertEqual(decode(value).era, 0)


class TestRecordsOfHosts(RestoredCase):
    # Guards against hosts that nobody asks, since the store forgot their records.
    def test_hosts_that_the_copy_lacks_register_again(self):
        new = self.fleet.restart(self.kill_follower())
        self.fleet.run_for(1)
        self.restore(age_s=3.0, away_s=0.5)
        self.fleet.run_for(2)
        names = {
            stored.value["host_id"]
            for stored in self.fleet.platform.list(HOSTS_PREFIX).items
        }
        self.assertIn(new.hosts.me().host_id, names)

    # Guards against two leaders: the end of one taken as proven by an older record.
    def test_the_record_of_an_earlier_run_in_an_older_copy_proves_nothing(self):
        new = self.fleet.restart(self.kill_follower())
        self.fleet.run_for(1)
        watcher = next(h for h in self.fleet.hosts if h is not new)
        self.fleet.platform.restore(3.0)
        self.assertFalse(watcher.hosts.was_restarted(new.hosts.me().host_id))

    def kill_follower(self):
        leader = self.fleet.leader()
        host = next(h for h in self.fleet.hosts if h is not leader)
        host.kill()
        return host


class TestCopies(unittest.TestCase):
    """The copy that a host keeps of the store, while its versions go back."""

    def setUp(self):
        self.platform = FakePlatformStore()
        process = FakeProcess("h0.1", "10.0.0.0")
        self.store = FakeStore(self.platform, process)
        self.clock = FakeClock(process)
        self.cache = StoreCache(self.clock)
        self.watcher = StoreWatcher(
            self.store, self.cache, self.clock, Timers(), "config/"
        )
        self.task = eventlet.spawn(self.watcher.run)
        self.addCleanup(self.task.kill)

    def write(self, name, value, version=0):
        return self.platform.put(f"config/{name}", {"v": value}, version).version

    def known(self, name="main"):
        found = self.cache.get(f"config/{name}")
        return None if found is None else found.value["v"]

    # Guards against CONFIG: a change under a revision that was given out before.
    def test_a_change_after_two_restorations_is_known_at_once(self):
        version = self.write("main", 1)
        for era in (1, 2):
            eventlet.sleep(2)
            for _ in range(20):
                self.write(f"other-{era}-{self.platform.revision}", 0)
            self.write("main", f"lost {era}", version)
            eventlet.sleep(1)
            self.assertEqual(self.known(), f"lost {era}")
            self.platform.restore(2.5)
            eventlet.sleep(1)
            version = self.write("main", f"new {era}", version)
            eventlet.sleep(1)
            self.assertEqual(self.known(), f"new {era}")

    # Guards against CONFIG: the revisions have passed the one that a host has seen.
    def test_a_host_that_was_cut_off_misses_no_change(self):
        self.write("main", 1)
        eventlet.sleep(2)
        self.write("other", 0)
        eventlet.sleep(1)
        self.store.faults.silent = True
        eventlet.sleep(0.1)
        self.platform.restore(2.0)
        for number in range(5):
            self.write(f"new-{number}", number)
        self.store.faults.silent = False
        eventlet.sleep(6)
        self.assertEqual([self.known(f"new-{n}") for n in range(5)], [0, 1, 2, 3, 4])
        self.assertIsNone(self.known("other"))

    # Guards against CONFIG: a watch waits for the next change after that revision.
    def test_a_watch_of_an_earlier_era_ends_when_any_call_shows_the_new_one(self):
        self.write("main", 1)
        eventlet.sleep(2)
        self.write("old", 0)
        revision = self.watcher.read_all()
        self.task.kill()
        self.platform.restore(1.0)
        self.write("new", 1)
        self.assertEqual(self.platform.revision, revision)
        watch = eventlet.spawn(self.watcher._watch, revision)
        eventlet.sleep(1)
        self.assertFalse(watch.dead)
        self.store.get("config/main", self.clock.now() + 1)
        self.watcher.check_era()
        with self.assertRaises(StoreCompacted), eventlet.Timeout(1):
            watch.wait()

    # Guards against CONFIG on hosts that learn of changes from relays.
    def test_a_relay_passes_on_the_era_with_its_objects(self):
        relay, reader = StoreCache(self.clock), StoreCache(self.clock)
        link = mock.Mock()
        serve_news(link, relay, mock.Mock(confirmed_at=0.0), self.clock)
        answer = link.serve.call_args.args[1]
        relay_reader = RelayReader(
            "h0.1", link, reader, self.clock, tuple, lambda: True
        )
        for era, version in ((1, 9), (2, 5)):
            stored = StoredObject("config/main", {"v": era}, version, era)
            relay.observe_listing(Listing((stored,), version, era), {})
            reply = answer(NewsRequest("h0.1", 0, 0.0))
            relay_reader._apply(mock.Mock(host_id="h1.1"), reply, self.clock.now())
            self.assertEqual(reader.get("config/main"), stored)
        self.assertIsNotNone(reader.restored_at)


class TestTargetsInAnOlderCopy(unittest.TestCase):
    """What an older copy says of targets that have left or joined since."""

    def setUp(self):
        process = FakeProcess("h0.1", "10.0.0.0")
        self.cache = StoreCache(FakeClock(process))
        self.state = RoutingState(
            self.cache,
            FakeClock(process),
            documents.CONFIG_KEY,
            documents.TARGETS_PREFIX,
            documents.decode_config,
            documents.decode_target,
            lambda: self.cache.restored_at,
        )

    def list_targets(self, era, *entries):
        """Let the host list the store: each entry is a name, a version and fields."""
        items = []
        for name, version, fields in entries:
            value = {
                "service": "stock",
                "address": "10.1.0.1:80",
                "zone": "a",
                "slots": 2,
                "state": "ready",
                "born": 1,
                **fields,
            }
            items.append(StoredObject(f"servers/{name}", value, version, era))
        before = self.cache.snapshot("servers/")
        self.cache.observe_listing(Listing(tuple(items), 1, era), before)
        self.state.refresh()

    def states(self):
        return {name: record.state for name, record in self.state.targets.items()}

    # Guards against DRAIN: a target that has left gets requests again.
    def test_a_target_that_was_leaving_stays_so(self):
        self.list_targets(1, ("a", 5, {"state": "draining"}))
        self.list_targets(2, ("a", 3, {}))
        self.assertEqual(self.states(), {"a": TargetState.LEAVING})

    def test_a_target_that_has_left_is_not_used_when_it_comes_back(self):
        self.list_targets(1, ("a", 5, {"state": "draining"}))
        eventlet.sleep(3)
        self.list_targets(1)
        self.list_targets(2, ("a", 3, {}))
        self.assertEqual(self.states(), {"a": TargetState.LEAVING})

    def test_its_next_incarnation_is_used(self):
        self.list_targets(1, ("a", 5, {"state": "draining"}))
        self.list_targets(2, ("a", 3, {"born": 2}))
        self.assertEqual(self.states(), {"a": TargetState.READY})

    def test_a_target_that_the_copy_lacks_is_kept_until_it_has_registered_again(self):
        self.list_targets(1, ("a", 5, {}))
        self.list_targets(2)
        self.assertEqual(self.states(), {"a": TargetState.READY})
        eventlet.sleep(2.5)
        self.state.refresh()
        self.assertEqual(self.states(), {})

    def test_a_configuration_under_a_version_given_out_twice_is_read(self):
        for era, generation in ((1, 7), (2, 8)):
            value = {
                "version": generation,
                "routes": {"columns": [], "rows": []},
                "services": {"columns": [], "rows": []},
            }
            stored = StoredObject(documents.CONFIG_KEY, value, 40, era)
            self.cache.observe(stored)
            self.state.refresh()
            self.assertEqual(self.state.generation(), generation)


if __name__ == "__main__":
    unittest.main()
