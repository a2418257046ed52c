"""Tests of the evacuation of data centres, in virtual time.

Rule EVAC: from `evacuate_s` after the store's acknowledgement of an entry, no request
reaches a target of that data centre.
"""

import random
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import eventlet

from persimmonspoke.errors import NoOwnerYet, Overloaded, OwnerChanged
from persimmonspoke.ids import Instant
from persimmonspoke.internal.fleet.messages import RangeTable, RouteRow
from persimmonspoke.internal.news.board import LONGEST_AGE_S, StoreCache
from persimmonspoke.internal.news.knowledge import Proof
from persimmonspoke.internal.news.updates import Source
from persimmonspoke.internal.peers.revisions import Revision
from persimmonspoke.internal.ranges.evacuations import (
    MAX_TRANSFERS,
    MIN_TRANSFERS,
    assign_pieces,
    hottest_first,
    published_together,
    transfer_count,
)
from persimmonspoke.internal.ranges.ledger import Transfer
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import EligibleTarget
from persimmonspoke.internal.ranges.ranges import RangeMap, divide_evenly
from persimmonspoke.internal.ranges.routes import EVACUATED_RETRY_S, RangeRoutes
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.scheduling.api import SlotOutcome
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.internal.targets.connections import TargetPools
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.platform import documents
from persimmonspoke.platform.settings_file import read_settings
from tests.cover.test_desk_scheduler import SchedulerCase
from tests.cover.test_routing import config_value, target_value
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock, service, target
from tests.fakes.desk_fleet import SchedulerHost
from tests.fakes.forwarding import ForwardingFleet
from tests.fakes.network import FakeNetwork
from tests.fakes.range_fleet import SERVICE, RangeFleet, record
from tests.fakes.update_fleet import EVACUATE_S, EVACUATIONS, UpdateFleet, UpdateHost

GRACE_S = RangeSettings().within(2.5, 10.0, EVACUATE_S).evacuation_grace_s
EMPTY_SPEC = {"unreadable": "it is no object but dict"}  # as the adapter reads `{}`
BORN_MS = 1700000000000

BOOT = """node_name=h1
ip=10.0.0.1
zone=a
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
internal_ports=7000,7001
platform.address=10.9.9.9:90
bounds=drain_s=2.5{more}
"""


class TestTheBound(unittest.TestCase):
    # Guards against a deployment without evacuations that pays for their store calls.
    def test_evacuations_are_off_unless_the_settings_name_their_bound(self):
        self.assertIsNone(read_settings(BOOT.format(more="")).bounds.evacuate_s)
        found = read_settings(BOOT.format(more=",evacuate_s=5"))
        self.assertEqual(found.bounds.evacuate_s, 5.0)

    # Guards against a request sent at the bound, which arrives after it.
    def test_owners_get_requests_for_less_than_the_bound(self):
        self.assertEqual(GRACE_S, 0.8 * EVACUATE_S)


class StateCase(unittest.TestCase):
    """One host's state of two targets of a service that is divided by key."""

    prefix = documents.EVACUATIONS_PREFIX

    def setUp(self):
        self.clock = HubClock()
        self.cache = StoreCache(self.clock)
        self.state = RoutingState(
            self.cache,
            self.clock,
            documents.CONFIG_KEY,
            documents.TARGETS_PREFIX,
            documents.decode_config,
            documents.decode_target,
            lambda: None,
            evacuations_prefix=self.prefix,
            decode_evacuation=documents.decode_evacuation,
        )
        self.version = 0
        self.put("config/main", config_value())
        self.put("servers/one", target_value(zone="a"))
        self.put("servers/two", target_value(zone="b"))

    def put(self, key, value, age_s=0.0):
        self.version += 1
        changed_at = Instant(self.clock.now() - age_s)
        self.cache.observe(StoredObject(key, value, self.version), changed_at)
        self.state.refresh()

    def evacuate(self, data_centre, age_s=0.0):
        self.put(f"evacuations/{data_centre}", EMPTY_SPEC, age_s)

    def end_evacuation(self, data_centre):
        before = self.cache.snapshot(documents.EVACUATIONS_PREFIX)
        left = [s for k, s in before.items() if k != f"evacuations/{data_centre}"]
        self.cache.observe_listing(Listing(tuple(left), self.version), before)
        self.state.refresh()

    def states(self):
        return [self.state.targets[name].state for name in ("one", "two")]


class TestTheStateOfTargets(StateCase):
    # Guards against EVAC: an entry with an empty spec that counts as no entry.
    def test_targets_of_the_data_centre_are_evacuated_until_the_entry_ends(self):
        self.evacuate("a")
        self.assertEqual(self.states(), [TargetState.EVACUATED, TargetState.READY])
        self.end_evacuation("a")
        self.assertEqual(self.states(), [TargetState.READY] * 2)
        self.assertIsNone(self.state.evacuated_since("one"))

    # Guards against EVAC: a target that registers during the evacuation is used.
    def test_a_target_that_registers_meanwhile_is_evacuated_from_the_start(self):
        self.evacuate("a", age_s=9.0)
        self.put("servers/one", target_value(zone="a", born=BORN_MS + 1))
        self.assertIs(self.state.targets["one"].state, TargetState.EVACUATED)
        since = self.state.evacuated_since("one")
        self.assertAlmostEqual(self.clock.now() - since, 9.0)

    # Guards against DRAIN: a leaving target that is ready after the evacuation.
    def test_a_leaving_target_stays_so(self):
        self.put("servers/one", target_value(zone="a", state="draining"))
        self.evacuate("a")
        self.assertIs(self.state.targets["one"].state, TargetState.LEAVING)
        self.end_evacuation("a")
        self.assertIs(self.state.targets["one"].state, TargetState.LEAVING)

    # Guards against EVAC: a second write of the entry gives owners a new grace.
    def test_an_entry_that_is_written_again_does_not_begin_anew(self):
        self.evacuate("a", age_s=3.0)
        self.put("evacuations/a", {"reason": "power"})
        since = self.state.evacuated_since("one")
        self.assertAlmostEqual(self.clock.now() - since, 3.0)

    # Guards against EVAC: a request that waited for a connection is sent although its
    # target can be replaced by another.
    def test_it_is_not_ready_from_the_first_instant(self):
        self.assertIsNone(self.state.unready_since("one"))
        self.evacuate("a", age_s=0.25)
        since = self.state.unready_since("one")
        self.assertAlmostEqual(self.clock.now() - since, 0.25)

    # Guards against an evacuation that can't be traced.
    def test_one_line_tells_of_each_beginning_and_end(self):
        with self.assertLogs("persimmonspoke", "WARNING") as logs:
            self.evacuate("a", age_s=0.5)
            self.state.refresh()
            self.end_evacuation("a")
        began, ended = logs.records
        self.assertEqual(began.getMessage(), "routing: evacuation began")
        self.assertEqual((began.data_centre, began.age_s), ("a", 0.5))
        self.assertEqual(ended.getMessage(), "routing: evacuation ended")


class TestWithoutTheBound(StateCase):
    prefix = None

    # Guards against a changed behaviour of deployments that do not name the bound.
    def test_entries_are_ignored(self):
        self.evacuate("a")
        self.assertEqual(self.states(), [TargetState.READY] * 2)


class TestRequestsForKeys(StateCase):
    """Guards against EVAC where keys can't be moved in time."""

    def setUp(self):
        super().setUp()
        self.routes = RangeRoutes(self.state, self.clock, 1.75, GRACE_S)
        rows = {"stock": (RouteRow(0, 65535, "one", 5, 0.0),)}
        self.routes.apply_table(RangeTable(None, 1, 1, rows))
        self.service = service("stock")

    def find(self):
        return self.routes.wait("platform", self.service, "7", self.clock.now() + 9.0)

    def assert_refused_at_once(self):
        began = virtual_hub.now()
        with self.assertRaises(NoOwnerYet) as caught:
            self.find()
        self.assertEqual(virtual_hub.now(), began)
        self.assertEqual(caught.exception.retry_after_s, EVACUATED_RETRY_S)

    def test_they_are_sent_to_the_owner_for_as_long_as_the_grace(self):
        self.evacuate("a")
        eventlet.sleep(GRACE_S - 0.1)
        self.assertTrue(self.routes.may_send(self.find()))

    # Also guards a request that waited for a slot or a connection.
    def test_they_are_refused_at_once_from_then_on(self):
        self.evacuate("a")
        route = self.find()
        eventlet.sleep(GRACE_S)
        self.assert_refused_at_once()
        self.assertFalse(self.routes.may_send(route))

    def test_a_host_that_hears_of_it_late_counts_from_the_earliest_instant(self):
        route = self.find()
        self.evacuate("a", age_s=GRACE_S - 0.5)
        self.assertTrue(self.routes.may_send(route))
        eventlet.sleep(0.5)
        self.assertFalse(self.routes.may_send(route))
        self.assert_refused_at_once()

    def test_a_host_that_knows_nothing_of_its_age_sends_nothing(self):
        self.evacuate("a", age_s=LONGEST_AGE_S)
        self.assert_refused_at_once()

    def test_an_owner_that_begins_to_leave_late_gets_no_longer_grace(self):
        self.evacuate("a")
        eventlet.sleep(GRACE_S - 0.1)
        self.put("servers/one", target_value(zone="a", state="draining"))
        route = self.find()
        self.assertTrue(self.routes.may_send(route))
        eventlet.sleep(0.1)
        self.assertFalse(self.routes.may_send(route))
        self.assert_refused_at_once()

    # Guards against callers that wait although no target can get the keys.
    def test_they_are_refused_at_once_if_no_other_target_is_ready(self):
        self.evacuate("b")
        self.evacuate("a")
        self.assert_refused_at_once()

    def test_keys_left_are_counted(self):
        self.assertEqual(self.routes.evacuated_key_count(), 0)
        self.evacuate("a")
        self.assertEqual(self.routes.evacuated_key_count(), 65536)

    def test_the_owner_is_used_again_once_the_evacuation_ends(self):
        self.evacuate("a", age_s=GRACE_S)
        self.assert_refused_at_once()
        self.end_evacuation("a")
        self.assertEqual(self.find().target.target_id, "one")


class TestRequestsThatWaitForSlots(SchedulerCase):
    """Guards against EVAC by requests that have waited for a slot."""

    def evacuate(self, *names):
        """Let all hosts know that some targets are evacuated."""
        for host in self.fleet:
            host.state.evacuations = {"a": host.clock.now()}
            for name in names:
                evacuated = record(name, TargetState.EVACUATED)
                host.state.targets[name] = evacuated
            host.scheduler.configure()

    def test_they_are_assigned_to_another_target(self):
        slots = [self.fleet[0].acquire(9.0) for _ in range(4)]
        waiting = [eventlet.spawn(self.fleet[1].acquire, 9.0) for _ in range(2)]
        eventlet.sleep(0.05)
        self.evacuate("t0")
        for slot in slots:
            slot.done(SlotOutcome.ANSWERED)
        self.assertEqual([w.wait().target_id for w in waiting], ["t1", "t1"])

    def test_they_are_refused_at_once_if_all_targets_are_evacuated(self):
        for _ in range(4):
            self.fleet[0].acquire(9.0)
        waiting = eventlet.spawn(self.fleet[1].acquire, 9.0)
        eventlet.sleep(0.05)
        began = virtual_hub.now()
        self.evacuate("t0", "t1")
        with self.assertRaises(Overloaded):
            waiting.wait()
        with self.assertRaises(Overloaded):
            self.fleet[1].acquire(9.0)
        self.assertAlmostEqual(virtual_hub.now(), began)

    # Guards against callers that wait until their deadlines: a request whose service
    # had no target left when it arrived.
    def test_a_request_that_knows_no_target_is_refused_at_once(self):
        self.evacuate("t0", "t1")
        began = virtual_hub.now()
        with self.assertRaises(Overloaded):
            self.fleet[0].acquire(9.0, ())
        self.assertEqual(virtual_hub.now(), began)

    # Guards against a desk on a host that has not heard of the evacuation.
    def test_a_slot_of_an_evacuated_target_is_not_used(self):
        other = next(h for h in self.fleet if h is not self.desk_host())
        other.state.evacuations = {"a": other.clock.now()}
        for name in ("t0", "t1"):
            other.state.targets[name] = record(name, TargetState.EVACUATED)
        other.state.targets["t2"] = record("t2")
        with self.assertRaises((NoOwnerYet, Overloaded)):
            other.acquire(0.5)


class TestRequestsThatWaitForOwners(unittest.TestCase):
    def setUp(self):
        network, peers = FakeNetwork(), []
        self.host = SchedulerHost(1, network, peers, {"t0": record("t0")}, divided=True)
        self.addCleanup(self.host.task.kill)

    # Guards against EVAC, and against callers that wait for an owner that may not be
    # used any more.
    def test_their_wait_ends_when_the_owner_is_closed(self):
        for _ in range(2):
            self.host.acquire(9.0, ("t0",))
        waiting = eventlet.spawn(self.host.acquire, 9.0, ("t0",))
        eventlet.sleep(0.3)
        began = virtual_hub.now()
        self.host.scheduler.is_closed = {"t0"}.__contains__
        with self.assertRaises(OwnerChanged):
            waiting.wait()
        self.assertLess(virtual_hub.now() - began, 0.2)


class TestForwardedRequests(unittest.TestCase):
    """Guards against EVAC by a host that serves what another has forwarded."""

    def setUp(self):
        self.fleet = ForwardingFleet(2, 3, random.Random(5))
        self.addCleanup(self.fleet.stop)
        self.cut, self.serving = self.fleet.hosts
        eventlet.sleep(0.5)
        self.cut.cut()

    def test_they_are_not_sent_to_an_evacuated_target(self):
        self.assertEqual(self.cut.caller.send("/things"), 200)
        arrived = len(self.fleet.pool.arrivals)
        runner = self.serving.caller._runner
        since = self.serving.clock.now()
        with mock.patch.object(runner, "_unready_since", lambda target_id: since):
            self.assertNotEqual(self.cut.caller.send("/things"), 200)
        self.assertEqual(len(self.fleet.pool.arrivals), arrived)


class TestKeptConnections(unittest.TestCase):
    class _Connection:
        opened_at = 0.0
        answered_at = None
        dropped = False

        def drop(self):
            self.dropped = True

    def setUp(self):
        self.pools = TargetPools(TargetSettings(), HubClock(), lambda target: 4)
        self.pool = self.pools.of(target("one"))
        self.pool._in_use = 2

    # Guards against EVAC over connections that were open before.
    def test_they_are_closed_and_no_more_are_kept_until_the_target_is_used(self):
        kept, later, again = (self._Connection() for _ in range(3))
        self.pool.release(kept)
        unused = True
        self.pools.is_unused = lambda target: unused
        self.pools.close_unused()
        self.assertTrue(kept.dropped)
        self.pool.release(later)
        self.assertTrue(later.dropped)
        unused = False
        self.pools.close_unused()
        self.pool.release(again)
        self.assertFalse(again.dropped)


class TestThePlan(unittest.TestCase):
    """An evacuation of one of three data centres, of 28 of 84 targets."""

    def setUp(self):
        self.loads = Loads(2.0)
        self.loads.decay(0.0)
        names = [f"t{number:02}" for number in range(84)]
        self.ranges = RangeMap(divide_evenly([(name, 1) for name in names], 1))
        self.sources = set(names[::3])
        self.receivers = tuple(
            EligibleTarget(name, 4) for name in names if name not in self.sources
        )
        self.entries = [e for e in self.ranges.ranges if e.owner in self.sources]

    def load(self, rates, service_s=0.2):
        """Load keys with requests a second, until the measured rates are stable."""
        work = [(r.target_id, 100, 100 * service_s, 1e9) for r in self.receivers]
        for step in range(60):
            rows = [(SERVICE, key, rate * 0.2) for key, rate in rates.items()]
            self.loads.add(rows, work)
            self.loads.decay(0.2 * (step + 1))

    def test_the_hottest_ranges_come_first(self):
        hot = [self.entries[9], self.entries[3]]
        self.load({hot[0].first: 9.0, hot[1].first: 5.0})
        ordered = hottest_first(SERVICE, self.entries, self.loads)
        self.assertEqual(ordered[:2], hot)

    # Guards against an overloaded receiver beside idle ones.
    def test_the_load_is_spread_by_spare_capacity(self):
        hot = self.ranges.owned_by("t01")[0].first
        self.load({key: 0.5 for key in range(0, 65536, 64)} | {hot: 10.0})
        assigned = assign_pieces(
            SERVICE, self.entries, self.receivers, self.ranges, self.loads
        )
        self.assertNotIn("t01", {to for _, to in assigned})
        added = Counter()
        for piece, to in assigned:
            added[to] += self.loads.rate(SERVICE, piece) * 0.2 / 4
        # All had the same before, except for the busy one.
        rest = [added[r.target_id] for r in self.receivers if r.target_id != "t01"]
        self.assertLess(max(rest) - min(rest), 0.12)
        keys = sum(piece.last - piece.first + 1 for piece, _ in assigned)
        self.assertEqual(keys, sum(e.last - e.first + 1 for e in self.entries))

    # Guards against idle keys that all go to one target.
    def test_ranges_without_load_are_spread_as_well(self):
        assigned = assign_pieces(
            SERVICE, self.entries, self.receivers, self.ranges, self.loads
        )
        self.assertEqual(len({to for _, to in assigned}), len(self.entries))

    def test_a_dominant_key_goes_to_the_fastest_target(self):
        self.load({self.entries[0].first: 12.0})
        work = [("t05", 100, 4.0, 1e9)]
        for _ in range(60):
            self.loads.add((), work)
        self.loads.decay(12.0)
        assigned = assign_pieces(
            SERVICE, self.entries[:1], self.receivers, self.ranges, self.loads
        )
        owners = {to for piece, to in assigned if piece.first == self.entries[0].first}
        self.assertEqual(owners, {"t05"})

    # Guards against keys that all wait at once although there is time.
    def test_few_transfers_at_once_suffice_while_there_is_time(self):
        self.assertEqual(transfer_count(5, 0, GRACE_S), 5)
        self.assertEqual(transfer_count(20, 0, GRACE_S), MIN_TRANSFERS)
        self.assertEqual(transfer_count(12, MIN_TRANSFERS, GRACE_S), 0)
        self.assertLess(transfer_count(28, 0, GRACE_S), 28 // 2)

    # Guards against EVAC by a plan that would end after the bound.
    def test_the_later_it_is_the_more_are_in_progress(self):
        counts = [transfer_count(200, 0, left_s) for left_s in (8.0, 6.0, 4.0, 1.0, -9)]
        self.assertEqual(counts, sorted(counts))
        self.assertEqual(counts[-1], MAX_TRANSFERS)

    # Guards against EVAC by targets with full queues, whose releases take long.
    def test_the_longer_transfers_take_the_more_are_in_progress(self):
        counts = [transfer_count(60, 0, GRACE_S, s) for s in (0.1, 1.2, 2.0, 3.0)]
        self.assertEqual(counts, sorted(counts))
        self.assertGreater(counts[1], transfer_count(60, 0, GRACE_S))

    def test_no_more_start_than_wait_or_are_allowed(self):
        self.assertEqual(transfer_count(0, 0, 1.0), 0)
        self.assertEqual(transfer_count(2, 0, 1.0), 2)
        self.assertEqual(transfer_count(200, MAX_TRANSFERS, 1.0), 0)

    # Guards against messages that name all owners, to all hosts, for each change.
    def test_distant_transfers_are_published_separately(self):
        near = [Transfer(SERVICE, e.first, e.last) for e in self.ranges.ranges[:2]]
        far = Transfer(SERVICE, *self.span(80))
        groups = published_together([far, *near], self.ranges)
        self.assertEqual(groups, [near, [far]])

    def span(self, number):
        entry = self.ranges.ranges[number]
        return entry.first, entry.last


class FleetCase(unittest.TestCase):
    """A fleet with targets in three data centres."""

    def setUp(self):
        self.fleet = RangeFleet(
            hosts=4, targets=12, data_centres=("a", "b", "c"), registered=12
        )
        self.addCleanup(self.end)
        self.fleet.run_for(8)

    def end(self):
        self.fleet.stop()
        self.assertEqual(self.fleet.double_holds, [])
        self.assertEqual(self.fleet.fence_violations(), [])
        self.assertEqual(self.fleet.network.crashes, [])

    def owners(self):
        """Return the owners of keys by the newest known ownership."""
        return {entry.owner for entry in self.ranges()}

    def ranges(self):
        """Return the ranges as the leader knows them."""
        leading = [h for h in self.fleet.hosts if h.leadership.may_order()]
        leader = next(host for host in leading if host.alive())
        return leader.leadership.ownership.services[SERVICE].ranges

    def in_data_centre(self, *data_centres):
        """Return the owners of keys that are in some data centres."""
        records = self.fleet.records
        return {n for n in self.owners() if records[n].data_centre in data_centres}

    def usable_owners(self):
        """Return the targets to which some host would send a request now."""
        found = set()
        for host in self.fleet.hosts:
            if not host.alive():
                continue
            for key in range(0, 65536, 500):
                try:
                    route = host.routes.find("platform", service(SERVICE), str(key))
                except NoOwnerYet:
                    continue
                if host.routes.may_send(route):
                    found.add(route.target.target_id)
        return found

    def assert_not_used(self, *data_centres):
        records = self.fleet.records
        used = {records[name].data_centre for name in self.usable_owners()}
        self.assertFalse(used.intersection(data_centres))


class TestTheFleet(FleetCase):
    def test_all_keys_have_moved_warm_before_the_owners_get_no_more_requests(self):
        calls = len(self.fleet.platform.writes())
        self.fleet.evacuate("a")
        self.fleet.run_for(GRACE_S - 0.5)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])
        moved = [entry for entry in self.ranges() if entry.handover is not None]
        self.assertEqual(len(moved), 4)
        writes = [
            stored
            for stored in self.fleet.platform.writes()[calls:]
            if stored.key.startswith("persimmonspoke-ownership/")
        ]
        # One for each second of the leader's lease, and one for all four ranges.
        self.assertLessEqual(len(writes), 6)
        self.assert_not_used("a")

    # Guards against callers that wait: owners are used until their keys move.
    def test_keys_are_without_an_owner_only_briefly(self):
        longest_s = gap_s = 0.0
        self.fleet.evacuate("a")
        for _ in range(200):
            self.fleet.run_for(0.02)
            gap_s = gap_s + 0.02 if self.fleet.unheld_keys() else 0.0
            longest_s = max(longest_s, gap_s)
        self.assertGreater(longest_s, 0.0)
        self.assertLess(longest_s, 0.5)

    def test_two_evacuations_at_once_leave_the_third_data_centre(self):
        self.fleet.evacuate("a")
        self.fleet.run_for(0.15)
        self.fleet.evacuate("b")
        self.fleet.run_for(GRACE_S)
        self.assertEqual(self.in_data_centre("a", "b"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assert_not_used("a", "b")

    # Guards against EVAC by keys that go back to a target before the entry ends, and
    # against owners that move without need afterwards.
    def test_an_evacuation_that_ends_midway_starts_no_more_transfers(self):
        for name in ("t0", "t3", "t6", "t9"):
            self.fleet.targets[name].work_s = 0.4
        self.limit_transfers(1)
        self.fleet.evacuate("a")
        self.fleet.run_for(0.3)
        self.fleet.end_evacuation("a")
        self.fleet.run_for(3)
        self.assertEqual(len(self.in_data_centre("a")), 3)
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertEqual(self.fleet.leader().keeper.ledger.transfers_of(SERVICE), [])

    def limit_transfers(self, count):
        """Let so many transfers be in progress at once."""
        for name in ("MIN_TRANSFERS", "MAX_TRANSFERS"):
            patcher = mock.patch(
                f"persimmonspoke.internal.ranges.evacuations.{name}", count
            )
            patcher.start()
            self.addCleanup(patcher.stop)

    # Guards against EVAC by a leader that is lost midway.
    def test_a_successor_continues(self):
        for name in ("t0", "t3", "t6", "t9"):
            self.fleet.targets[name].work_s = 0.4
        self.limit_transfers(1)
        self.fleet.evacuate("a")
        self.fleet.run_for(1.0)
        moved = 4 - len(self.in_data_centre("a"))
        self.assertIn(moved, (1, 2, 3))
        self.fleet.leader().kill()
        self.fleet.run_for(GRACE_S - 1.0)
        self.assert_not_used("a")
        self.fleet.run_for(2)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against EVAC by a host that leads again, and counts transfers that ended
    # when it stopped to lead as in progress.
    def test_a_host_that_leads_again_continues(self):
        for name in ("t0", "t3", "t6", "t9"):
            self.fleet.targets[name].work_s = 0.4
        self.limit_transfers(1)
        patcher = mock.patch("persimmonspoke.internal.ranges.evacuator.GATHER_S", 0.4)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet.evacuate("a")
        self.fleet.run_for(0.7)
        keeper = self.fleet.leader().keeper
        self.assertTrue(keeper.ledger.transfers_of(SERVICE))
        keeper.stop()
        keeper._on_takeover()
        self.fleet.run_for(GRACE_S + 1.0)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against EVAC while no owner can be stored, and against keys that move back
    # once the store is there again.
    def test_without_the_store_owners_get_nothing_and_keep_their_keys(self):
        self.fleet.platform.faults.down = True
        self.fleet.run_for(2)
        before = self.owners()
        self.fleet.evacuate("a")
        for _ in range(round(GRACE_S / 0.1)):
            # A transfer would only take the keys away.
            self.assertEqual(self.fleet.unheld_keys(), [])
            self.fleet.run_for(0.1)
        self.assertEqual(self.owners(), before)
        self.assert_not_used("a")
        self.assertEqual(len(self.usable_owners()), 8)
        self.fleet.platform.faults.down = False
        self.fleet.run_for(4)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])
        self.assertTrue(self.in_data_centre("b"))

    # Guards against callers that wait for a store that answers too late.
    def test_while_a_commit_takes_long_requests_do_not_wait(self):
        self.fleet.platform.faults.extra_s = 2.5
        self.fleet.evacuate("a")
        self.fleet.run_for(1.0)
        host = self.fleet.hosts[0]
        entry = next(entry for entry in self.ranges() if entry.owner == "t0")
        began = virtual_hub.now()
        with self.assertRaises(NoOwnerYet):
            host.routes.wait(
                "platform",
                service(SERVICE),
                str(entry.first),
                Instant(host.clock.now() + 9.0),
            )
        self.assertLess(virtual_hub.now() - began, 0.1)

    # Guards against EVAC by a host that the leader's messages do not reach.
    def test_a_host_that_is_cut_off_from_the_others_sends_nothing_there(self):
        leader = self.fleet.leader()
        host = next(h for h in self.fleet.hosts if h is not leader)
        for other in self.fleet.hosts:
            if other is not host:
                self.fleet.network.cut(host.process.machine, other.process.machine)
        self.fleet.evacuate("a")
        self.fleet.run_for(GRACE_S)
        self.assert_not_used("a")

    # Guards against EVAC by the new start of a target, which would get its keys again.
    def test_a_target_that_restarts_meanwhile_gets_no_keys(self):
        self.fleet.evacuate("a")
        self.fleet.targets["t0"].crash()
        self.fleet.targets["t0"].down = False
        restarted = replace(self.fleet.records["t0"], born_ms=2)
        self.fleet.records["t0"] = restarted
        restarted_at = virtual_hub.now()
        self.fleet.run_for(GRACE_S)
        acquired = [at for at, *_ in self.fleet.targets["t0"].acquisitions]
        self.assertLess(max(acquired), restarted_at)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])

    # Guards against EVAC by a target that does not answer its release.
    def test_a_target_that_is_silent_loses_its_keys_once_its_holds_are_over(self):
        self.fleet.evacuate("a")
        self.fleet.targets["t3"].silent = True
        self.fleet.run_for(GRACE_S)
        self.assert_not_used("a")
        self.fleet.run_for(2)
        self.assertEqual(self.in_data_centre("a"), set())
        self.assertEqual(self.fleet.unheld_keys(), [])


class TestUnderLoad(unittest.TestCase):
    """An evacuation of 28 of 84 targets, 30 % of whose load is on 60 keys."""

    RATE = 700
    STEP_S = 0.1

    def setUp(self):
        self.random = random.Random(1)
        self.fleet = RangeFleet(hosts=8, targets=84, data_centres=("a", "b", "c"))
        self.addCleanup(self.fleet.stop)
        for target_of_fleet in self.fleet.targets.values():
            target_of_fleet.work_s = 0.6  # a release that waits for a queue
        self.fleet.run_for(8)
        self.play(3.0)

    def play(self, seconds):
        """Generate requests for `seconds`."""
        for _ in range(round(seconds / self.STEP_S)):
            for _ in range(round(self.RATE * self.STEP_S)):
                hot = self.random.random() < 0.3
                first, count = (30000, 60) if hot else (0, 65536)
                key = str(first + self.random.randrange(count))
                host = self.random.choice(self.fleet.hosts)
                host.reporter.load_recorder.record_request(SERVICE, key)
                owner = host.routes.owner(SERVICE, key)
                if owner is not None:
                    host.reporter.load_recorder.record_answer(owner, 0.1)
            self.fleet.run_for(self.STEP_S)

    def evacuated_load(self):
        """Return the requests a second for keys in the evacuated data centre."""
        keeper = self.fleet.leader().keeper
        return sum(
            keeper._loads.rate(SERVICE, entry)
            for entry in keeper.ledger.map(SERVICE).ranges
            if self.fleet.records[entry.owner].data_centre == "a"
        )

    def utilisation(self):
        keeper = self.fleet.leader().keeper
        return keeper.utilisation()[SERVICE].values()

    # Guards against EVAC under load, overloaded receivers, and a write for each range.
    def test_keys_move_in_time_the_hottest_first_in_few_writes(self):
        load = self.evacuated_load()
        with self.assertLogs("persimmonspoke", "INFO") as logs:
            self.fleet.evacuate("a", age_s=1.0)
            self.play(1.5)
            self.assertLess(self.evacuated_load(), 0.5 * load)
            self.play(GRACE_S - 2.5)
        self.assertEqual(self.evacuated_load(), 0.0)
        commits = [
            r for r in logs.records if r.getMessage() == "ranges: keys evacuated"
        ]
        self.assertGreaterEqual(sum(r.ranges for r in commits), 28)
        self.assertLessEqual(len(commits), 20)
        shares = self.utilisation()
        self.assertLess(max(shares), 2.0 * sum(shares) / len(shares))
        self.assertEqual(self.fleet.double_holds, [])


class TestTheOnlyDataCentre(FleetCase):
    """Guards against keys that are taken from owners that nobody can replace."""

    def test_keys_stay_and_requests_are_refused_until_it_returns(self):
        before = self.owners()
        for data_centre in "abc":
            self.fleet.evacuate(data_centre)
        self.assertEqual(self.usable_owners(), set())
        self.fleet.run_for(10)
        self.assertEqual(self.owners(), before)
        self.assertEqual(self.usable_owners(), set())
        self.assertEqual(self.fleet.unheld_keys(), [])
        for data_centre in "abc":
            self.fleet.end_evacuation(data_centre)
        self.assertEqual(self.usable_owners(), before)

    def test_a_target_that_restarts_meanwhile_keeps_its_keys(self):
        before = self.owners()
        for data_centre in "abc":
            self.fleet.evacuate(data_centre)
        self.fleet.run_for(1)
        self.fleet.targets["t0"].crash()
        self.fleet.targets["t0"].down = False
        self.fleet.records["t0"] = replace(self.fleet.records["t0"], born_ms=2)
        self.fleet.run_for(5)
        self.assertEqual(self.owners(), before)
        granted_to = {e.born_ms for e in self.ranges() if e.owner == "t0"}
        self.assertEqual(granted_to, {2})
        self.assertEqual(self.fleet.unheld_keys(), [])


class UpdateCase(unittest.TestCase):
    def start(self, hosts=6, **fields):
        fleet = UpdateFleet(hosts, (EVACUATIONS,), **fields)
        self.addCleanup(fleet.stop)
        eventlet.sleep(6.0)
        return fleet

    def assert_heard_within(self, fleet, seconds, hosts=None):
        """Assert that hosts hear of an entry, with an instant not after its write."""
        written_at = virtual_hub.now()
        fleet.put("evacuations/a", {"reason": "power"})
        eventlet.sleep(seconds)
        for host in fleet.hosts if hosts is None else hosts:
            self.assertTrue(host.knows("evacuations/a"), host.process.name)
            changed_at = host.process.virtual(host.cache.changed_at("evacuations/a"))
            self.assertLessEqual(changed_at, written_at)
            # The rest is left for the transfer of the keys.
            self.assertGreater(changed_at, written_at - 0.5 * EVACUATE_S)


class TestStoreCalls(UpdateCase):
    """Guards against the price of a kind that hardly ever changes."""

    def rate(self, rare_prefixes):
        fleet = UpdateFleet(6, rare_prefixes)
        eventlet.sleep(6.0)
        began = virtual_hub.now()
        eventlet.sleep(60.0)
        rate = fleet.platform.rate(began, virtual_hub.now(), writes=False)
        fleet.stop()
        return rate

    def test_it_costs_less_than_half_of_what_configuration_does(self):
        without = self.rate(())
        added = self.rate((EVACUATIONS,)) - without
        self.assertLess(added, 1.6)
        self.assertGreater(without, 8.0)

    # Guards against hosts that list the kind themselves although relays do.
    def test_only_relays_list_it(self):
        fleet = self.start()
        before = {host: host.store.lists for host in fleet.others()}
        eventlet.sleep(20.0)
        self.assertEqual({h: h.store.lists for h in fleet.others()}, before)
        self.assertEqual({h.updates.source for h in fleet.others()}, {Source.RELAYS})


class TestNewsOfEvacuations(UpdateCase):
    """Guards against EVAC by a host that does not hear of the entry in time."""

    def test_all_hosts_hear_of_it_at_once(self):
        self.assert_heard_within(self.start(), 0.6)

    def test_what_the_watches_miss_is_listed(self):
        fleet = self.start()
        fleet.platform.faults.lose_changes = True
        self.assert_heard_within(fleet, GRACE_S - 1.0)

    def test_all_relays_are_lost(self):
        fleet = self.start()
        for relay in fleet.relays():
            relay.kill()
        self.assert_heard_within(fleet, GRACE_S - 0.5, fleet.others())

    def test_a_host_is_cut_off_from_the_others(self):
        fleet = self.start()
        host = fleet.others()[0]
        for other in fleet.hosts:
            if other is not host:
                fleet.network.cut(host.process.machine, other.process.machine)
        self.assert_heard_within(fleet, GRACE_S - 0.5)

    # Guards against hosts of this build whose relays are of builds before it: these do
    # not read the kind, and prove nothing of it.
    def test_all_relays_are_of_an_earlier_build(self):
        fleet = UpdateFleet(2)
        self.addCleanup(fleet.stop)
        fleet.rare_prefixes = (EVACUATIONS,)
        relays = tuple(fleet.hosts)
        fleet.hosts += [UpdateHost(fleet, number) for number in (4, 5, 6)]
        fleet.known = tuple(host.me for host in fleet.hosts)
        eventlet.sleep(8.0)
        self.assertEqual(set(fleet.relays()), set(relays))
        self.assertEqual({h.updates.source for h in fleet.others()}, {Source.RELAYS})
        self.assert_heard_within(fleet, GRACE_S - 0.5, fleet.others())
        fleet.put("evacuations/a", None)
        eventlet.sleep(GRACE_S)
        for host in fleet.others():
            self.assertFalse(host.knows("evacuations/a"))

    # Guards against an evacuation that a host forgets: relays of builds before
    # `Revision.PROOFS` tell one age for all kinds, even for those that they never read.
    def test_relays_of_a_build_without_proofs_delete_nothing(self):
        fleet = UpdateFleet(2)
        self.addCleanup(fleet.stop)
        for relay in fleet.hosts:
            relay.link.revision = Revision.TOLERANT
        fleet.rare_prefixes = (EVACUATIONS,)
        fleet.hosts += [UpdateHost(fleet, number) for number in (4, 5, 6)]
        fleet.known = tuple(host.me for host in fleet.hosts)
        eventlet.sleep(8.0)
        self.assert_heard_within(fleet, GRACE_S - 0.5, fleet.others())
        for _ in range(200):
            eventlet.sleep(0.1)
            for host in fleet.others():
                self.assertTrue(host.knows("evacuations/a"))

    # Guards against EVAC by a host that has just started, and whose relays are of an
    # earlier build: it knows the targets before it knows that they are evacuated.
    def test_a_host_is_not_used_before_it_knows_of_evacuations(self):
        fleet = self.start()
        host = UpdateHost(fleet, 7)
        self.addCleanup(host.kill)
        proof = Proof(0, 1, host.clock.now())
        for kind in ("config/", "servers/"):
            host.updates.knowledge.record(kind, proof)
        self.assertFalse(host.updates.caught_up())
        host.updates.knowledge.record(EVACUATIONS, proof)
        self.assertTrue(host.updates.caught_up())


if __name__ == "__main__":
    unittest.main()
