"""Keepers, grants, moves of shards and takeover of pages, under faults."""

import unittest
from unittest import mock

from persimmonspoke.errors import StoreConflict
from persimmonspoke.internal.membership.holder import Holder
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.ownership.page import Page
from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub


class FleetCase(unittest.TestCase):
    hosts = 4
    checks_fence = True

    def setUp(self):
        self.fleet = Fleet(hosts=self.hosts, targets=4, checks_fence=self.checks_fence)
        self.addCleanup(self.fleet.close)
        self.fleet.run(12)
        self.fleet.reset()

    def tearDown(self):
        self.assertEqual(self.fleet.two_owners, [])
        self.assertEqual(self.fleet.two_keepers, [])

    def keeper(self):
        """Return the host that keeps the most pages."""
        hosts = self.fleet.hosts.values()
        return max(hosts, key=lambda host: len(host.node.keeper.open_pages()))

    def page(self, number=0):
        return Page.from_value(self.fleet.store.objects[f"pages/a/s/{number}"].value)

    def pages(self):
        return [self.page(number) for number in range(3)]

    def owned(self, target):
        return sum(
            entry.owner == target for page in self.pages() for entry in page.assignments
        )

    def drain(self, *targets):
        known = self.fleet.store.objects.get("drains/a")
        value = {"targets": list(targets)}
        self.fleet.store.apply("drains/a", value, known.version if known else 0)


class TestSteadyState(FleetCase):
    def test_every_shard_has_one_owner_and_nothing_is_written(self):
        writes = self.fleet.store.writes
        self.fleet.run(20)
        self.assertEqual(self.fleet.worst_gap(), 0.0)
        self.assertEqual(self.fleet.store.writes, writes)

    def test_clock_drift_of_targets_does_not_matter(self):
        for number, target in enumerate(self.fleet.targets.values()):
            target.rate = 1 + 0.009 * (number - 1.5) / 1.5
        self.fleet.run(5)
        self.fleet.reset()
        self.fleet.targets["t0"].frozen = True
        self.fleet.run(5)
        self.assertLess(self.fleet.worst_gap(), 2.0)


class TestLostHosts(FleetCase):
    def test_a_killed_keeper_leaves_no_shard_without_owner(self):
        self.keeper().kill()
        self.fleet.run(8)
        self.assertEqual(self.fleet.worst_gap(), 0.0)
        self.assertEqual(sum(self.fleet.keepers().values()), 3)

    def test_a_frozen_keeper_is_replaced_within_two_seconds(self):
        victim = self.keeper()
        victim.gate.paused = True
        self.fleet.run(6)
        self.assertLess(self.fleet.worst_gap(), 2.0)
        victim.gate.paused = False
        self.fleet.run(4)
        self.assertEqual(victim.node.keeper.open_pages(), [])

    def test_an_order_sent_after_a_long_pause_grants_nothing(self):
        victim = self.keeper()
        target = self.fleet.targets["t0"]
        victim.orders.pause_at = "t0"
        while not victim.gate.paused:
            self.fleet.run(0.01)
        for host in self.fleet.hosts.values():
            if host is not victim:
                # No later epoch reaches the target, so only the end of the grant in the
                # delayed order protects it.
                host.orders.cut.add("t0")
        while self.owned("t0"):
            self.fleet.run(0.01)
        orders_before = target.orders
        victim.gate.paused = False
        self.fleet.run(0.1)
        self.assertGreater(target.orders, orders_before)
        self.assertEqual(target.owned(), {})

    def test_a_new_keeper_waits_for_the_last_grants_of_its_predecessor(self):
        victim = self.keeper()
        keys = list(victim.node.keeper.pages)
        victim.kill()
        taken = []
        while len(taken) < len(keys):
            self.fleet.run(0.005)
            taken = [
                host.node.keeper.pages[key]
                for host in self.fleet.hosts.values()
                for key in keys
                if host is not victim and key in host.node.keeper.pages
            ]
        for managed in taken:
            for target in self.fleet.targets.values():
                ends = [
                    target.grants[("s", shard)][1]
                    for shard in managed.page.shards()
                    if ("s", shard) in target.grants
                ]
                left_s = max(ends, default=0.0) - target.clock()
                self.assertGreaterEqual(
                    managed.inherited_grants_until, virtual_hub.now() + left_s
                )

    def test_a_host_killed_while_it_changes_its_successor_has_one_heir(self):
        for pause_s in (0.3, 0.4, 0.5, 0.6, 0.65, 0.7, 0.8):
            victim = self.keeper()
            before = self.fleet.successor(victim)
            self.fleet.network.separate(victim.host_id, before.host_id)
            before.store.cut = True
            self.fleet.run(pause_s)
            victim.kill()
            self.fleet.network.cut.clear()
            self.fleet.run(5)
            before.store.cut = False
            self.fleet.add(f"n{pause_s}")
            self.fleet.run(5)
        self.assertEqual(self.fleet.unowned_since, {})

    def test_an_orderly_stop_leaves_no_shard_without_owner(self):
        host = self.keeper()
        self.assertTrue(host.node.stop(virtual_hub.now() + 10))
        host.link.alive = False
        self.fleet.run(5)
        self.assertEqual(self.fleet.worst_gap(), 0.0)

    def test_a_rolling_replacement_of_the_fleet_leaves_no_shard_without_owner(self):
        for number, host in enumerate(list(self.fleet.hosts.values())):
            self.fleet.add(f"n{number}", f"dc{number % 2}")
            self.fleet.run(3)
            self.assertTrue(host.node.stop(virtual_hub.now() + 10))
            host.link.alive = False
        self.fleet.run(5)
        self.assertEqual(self.fleet.worst_gap(), 0.0)

    def test_a_fleet_lost_at_once_is_replaced_with_higher_epochs(self):
        epochs = [page.epoch for page in self.pages()]
        for host in self.fleet.hosts.values():
            host.kill()
        self.fleet.run(1)
        for number in range(3):
            self.fleet.add(f"n{number}", f"dc{number % 2}")
        self.fleet.run(8)
        self.assertEqual(self.fleet.unowned_since, {})
        for page, epoch in zip(self.pages(), epochs, strict=True):
            self.assertGreaterEqual(page.epoch, epoch + 1000)


class TestLostTargets(FleetCase):
    def test_a_dead_target_is_replaced_within_two_seconds(self):
        self.fleet.targets["t0"].alive = False
        self.fleet.run(4)
        self.assertLess(self.fleet.worst_gap(), 1.0)
        self.assertEqual(self.owned("t0"), 0)

    def test_a_frozen_target_is_replaced_and_owns_nothing_when_it_resumes(self):
        frozen = self.fleet.targets["t0"]
        began = virtual_hub.now()
        frozen.frozen = True
        while self.owned("t0") or self.fleet.unowned_since:
            self.fleet.run(0.01)
        self.assertLess(virtual_hub.now() - began, 2.0)
        frozen.frozen = False
        self.assertEqual(frozen.owned(), {})

    def test_a_target_cut_off_from_all_hosts_loses_its_shards(self):
        for host in self.fleet.hosts.values():
            host.orders.cut.add("t0")
        self.fleet.run(4)
        self.assertEqual(self.owned("t0"), 0)


class TestPlannedMoves(FleetCase):
    def test_a_drained_target_is_empty_within_three_seconds(self):
        self.drain("t0")
        self.fleet.run(3)
        self.assertEqual(self.owned("t0"), 0)
        self.assertLess(self.fleet.worst_gap(), 0.1)

    def test_a_release_waits_until_unanswered_grants_have_lapsed(self):
        keeper = self.keeper()
        managed = keeper.node.keeper.open_pages()[0]
        owner = managed.page.assignments[0].owner
        number = managed.record_order(owner, virtual_hub.now() + 0.5)
        began = virtual_hub.now()
        self.drain(owner)
        while managed.owned_by((owner,)):
            self.fleet.run(0.01)
        self.assertGreater(virtual_hub.now() - began, 0.5)
        managed.record_answer(owner, number)

    def test_a_target_that_restarts_gets_its_share_of_shards_again(self):
        self.fleet.targets["t0"].alive = False
        self.fleet.run(4)
        self.fleet.targets["t0"].alive = True
        self.fleet.reset()
        self.fleet.run(10)
        self.assertEqual(self.owned("t0"), 3)
        self.assertLess(self.fleet.worst_gap(), 0.1)

    def test_shards_with_long_running_requests_leave_a_drained_target(self):
        target = self.fleet.targets["t0"]
        target.release_s = 3.0
        self.drain("t0")
        self.fleet.run(40)
        self.assertEqual(self.owned("t0"), 0)


class TestStoreFaults(FleetCase):
    def test_ten_minutes_without_the_store_leave_no_shard_without_owner(self):
        self.fleet.store.down = True
        self.fleet.run(600)
        self.fleet.store.down = False
        self.fleet.run(10)
        self.assertEqual(self.fleet.worst_gap(), 0.0)

    def test_a_keeper_killed_during_a_store_outage_leaves_no_shard_without_owner(self):
        self.fleet.store.down = True
        self.fleet.run(5)
        victim = self.keeper()
        victim.kill()
        self.fleet.run(60)
        self.assertEqual(self.fleet.worst_gap(), 0.0)
        self.fleet.store.down = False
        self.fleet.run(8)
        keepers = {page.keeper for page in self.pages()}
        self.assertNotIn(victim.host_id, keepers)
        self.assertEqual(self.fleet.worst_gap(), 0.0)

    def test_a_target_and_its_keeper_lost_during_a_store_outage(self):
        self.fleet.store.down = True
        self.fleet.run(5)
        self.fleet.targets["t0"].alive = False
        self.fleet.run(5)
        self.assertEqual(self.fleet.unowned_since, {})
        self.keeper().kill()
        self.fleet.run(5)
        self.assertEqual(self.fleet.unowned_since, {})
        self.assertLess(self.fleet.worst_gap(), 2.0)
        self.fleet.store.down = False
        self.fleet.run(8)
        self.assertEqual(self.owned("t0"), 0)

    def test_a_page_update_whose_answer_is_lost(self):
        self.fleet.store.lose_answers = 2
        self.fleet.targets["t0"].alive = False
        self.fleet.run(4)
        self.assertLess(self.fleet.worst_gap(), 1.0)
        self.assertEqual(self.owned("t0"), 0)

    def test_a_page_update_that_takes_effect_minutes_later_changes_nothing(self):
        self.fleet.store.delay_writes = 3
        self.fleet.targets["t0"].alive = False
        self.fleet.run(120)
        self.assertEqual(len(self.fleet.store.late_writes), 3)
        before = self.pages()
        for write in self.fleet.store.late_writes:
            with self.assertRaises(StoreConflict):
                self.fleet.store.apply(*write)
        self.fleet.run(5)
        self.assertEqual(self.pages(), before)
        self.assertLess(self.fleet.worst_gap(), 2.0)


class TestTargetsThatDoNotCheck(FleetCase):
    checks_fence = False

    def route(self, host):
        service = next(iter(host.node.configs.divided().values()))
        return host.node.routes.find("a", service, "key")

    def test_a_shard_moves_only_after_requests_in_flight_have_ended(self):
        host = next(iter(self.fleet.hosts.values()))
        route = self.route(host)
        with host.node.routes.in_flight(route):
            self.assertTrue(host.node.routes.may_send(route))
            self.drain(route.target.target_id)
            self.fleet.run(5)
            page = self.page(route.page.page)
            self.assertEqual(page.assignment(route.shard).owner, route.target.target_id)
        self.fleet.run(5)
        page = self.page(route.page.page)
        self.assertNotEqual(page.assignment(route.shard).owner, route.target.target_id)
        self.assertFalse(host.node.routes.may_send(route))

    def test_a_host_that_cannot_reach_its_keepers_sends_nothing(self):
        host = min(
            self.fleet.hosts.values(),
            key=lambda item: len(item.node.keeper.open_pages()),
        )
        route = self.route(host)
        for other in self.fleet.hosts.values():
            if other is not host:
                self.fleet.network.separate(host.host_id, other.host_id)
        self.fleet.run(0.75)
        self.assertFalse(host.node.routes.may_send(route))


class TestStepChecks(unittest.TestCase):
    """The checks that run at every step detect rules that are disabled on purpose."""

    def setUp(self):
        self.fleet = Fleet(hosts=4, targets=4)
        self.addCleanup(self.fleet.close)
        self.fleet.run(12)

    def test_moving_shards_before_grants_lapse_is_detected(self):
        with mock.patch.object(ManagedPage, "lapsed", lambda *args: True):
            self.fleet.targets["t0"].frozen = True
            self.fleet.run(3)
        self.assertNotEqual(self.fleet.two_owners, [])

    def test_two_keepers_of_one_page_are_detected(self):
        host = next(
            item for item in self.fleet.hosts.values() if item.node.keeper.open_pages()
        )
        with mock.patch.object(Holder, "valid_at", lambda *args: True):
            host.gate.paused = True
            self.fleet.run(3)
        self.assertNotEqual(self.fleet.two_keepers, [])

    def test_a_shard_without_owner_is_detected(self):
        for target in self.fleet.targets.values():
            target.alive = False
        self.fleet.run(3)
        self.assertGreater(self.fleet.worst_gap(), 2.0)


class TestRoutes(FleetCase):
    def test_a_request_waits_for_the_new_owner(self):
        host = next(iter(self.fleet.hosts.values()))
        service = next(iter(host.node.configs.divided().values()))
        route = host.node.routes.find("a", service, "key")
        self.fleet.targets[route.target.target_id].alive = False
        host.node.routes.report_refusal(route)
        while True:
            found = host.node.routes.wait("a", service, "key", virtual_hub.now() + 3)
            if found.epoch > route.epoch:
                break
            host.node.routes.report_refusal(found)
        self.assertNotEqual(found.target.target_id, route.target.target_id)
