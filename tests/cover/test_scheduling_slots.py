"""Tests of slots that several entry hosts share."""

import random
import unittest
from unittest import mock

import eventlet
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from persimmonspoke.errors import DeadlinePassed, NoOwnerYet, Overloaded
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.api import SlotOutcome
from persimmonspoke.internal.scheduling.health import SlotLimit
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shared import LocalScheduler
from tests.fakes import virtual_hub
from tests.fakes.scheduling_fleet import (
    Fleet,
    HubClock,
    candidates_of,
    make_service,
    make_team,
    make_ticket,
)

CFG = SchedulingSettings()


class _FleetCase(unittest.TestCase):
    def fleet(self, hosts=4, targets=2, slots=3, **changes):
        self.service = make_service(targets=targets, slots=slots, **changes)
        self.all_targets = candidates_of(self.service)
        fleet = Fleet(hosts, make_team(self.service))
        self.addCleanup(fleet.stop)
        return fleet

    def spawn(self, fleet, host, count=1, key=None, wait_s=10.0, **changes):
        return [
            fleet.spawn(
                host,
                make_ticket(self.service, key, wait_s),
                changes.pop("candidates", self.all_targets),
                **changes,
            )
            for _ in range(count)
        ]

    def lender_index(self, fleet):
        """Return the index of the host that lends the slots."""
        for number, host in enumerate(fleet.hosts):
            if any(state.lent for state in host.state()):
                return number
        raise AssertionError("no host lends")

    def results(self, tasks):
        return [task.wait() for task in tasks]


class TestSharing(_FleetCase):
    def test_slots_are_never_lent_twice_and_all_are_used(self):
        fleet = self.fleet()
        tasks = [task for host in range(4) for task in self.spawn(fleet, host, 50)]
        self.assertEqual(set(self.results(tasks)), {None})
        self.assertEqual(fleet.max_running, {"filing-0": 3, "filing-1": 3})

    def test_work_of_many_hosts_takes_little_more_than_its_share_of_time(self):
        fleet = self.fleet()
        started = virtual_hub.now()
        tasks = [task for host in range(4) for task in self.spawn(fleet, host, 60)]
        self.results(tasks)
        ideal_s = 240 * 0.02 / 6
        self.assertLess(virtual_hub.now() - started, 1.2 * ideal_s)

    def test_hosts_that_compete_get_even_shares(self):
        fleet = self.fleet(slots=1)
        for host in range(4):
            self.spawn(fleet, host, 100, key=host)
        eventlet.sleep(1.0)
        served = [
            sum(t.key == host for t in fleet.started_tickets) for host in range(4)
        ]
        self.assertGreater(min(served), 0.6 * max(served))

    def test_high_precedence_on_one_host_goes_before_low_on_another(self):
        reads = make_service("reads", targets=2, precedence=Precedence.LOW)
        filing = make_service("filing", precedence=Precedence.HIGH).model_copy(
            update={"targets": reads.targets}
        )
        fleet = Fleet(3, make_team(filing, reads))
        for _ in range(60):
            fleet.spawn(0, make_ticket(reads), candidates_of(reads))
        eventlet.sleep(0.05)
        started = virtual_hub.now()
        task = fleet.spawn(1, make_ticket(filing), candidates_of(filing))
        self.assertIsNone(task.wait())
        self.assertLess(virtual_hub.now() - started, 0.06)

    def test_an_idle_fleet_sends_no_messages_and_holds_no_permits(self):
        fleet = self.fleet()
        self.results(self.spawn(fleet, 0) + self.spawn(fleet, 1))
        eventlet.sleep(2.0)
        before = fleet.messages
        eventlet.sleep(60.0)
        self.assertEqual(fleet.messages, before)
        held = [sum(s.permits.values()) for h in fleet.hosts for s in h.state()]
        self.assertEqual(sum(held), 0)


class TestDetectionOfOverLending(_FleetCase):
    def test_a_lender_that_lends_too_many_slots_is_detected(self):
        def one_too_many(limit):
            return limit.slots + 1

        with mock.patch.object(SlotLimit, "now", one_too_many):
            fleet = self.fleet()
            tasks = [task for host in range(4) for task in self.spawn(fleet, host, 20)]
            self.results(tasks)
        self.assertEqual(max(fleet.max_running.values()), 4)


class TestAnyTraffic(_FleetCase):
    request = st.tuples(
        st.integers(0, 3),
        st.floats(0, 0.2),
        st.floats(0.001, 0.1),
        st.sampled_from(SlotOutcome),
        st.sampled_from((0.02, 0.2, 10.0)),
    )

    @seed(21)
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(request, min_size=1, max_size=60),
        st.integers(1, 3),
        st.integers(1, 3),
        st.integers(0, 2**32),
    )
    def test_no_slot_is_lent_twice_and_every_request_ends(
        self, requests, targets, slots, delays
    ):
        fleet = self.fleet(hosts=4, targets=targets, slots=slots)
        fleet.jitter = random.Random(delays)
        tasks = []
        for host, gap_s, work_s, outcome, wait_s in requests:
            eventlet.sleep(gap_s / 10)
            tasks += self.spawn(
                fleet, host, wait_s=wait_s, work_s=work_s, outcome=outcome
            )
        failures = {type(failure) for failure in self.results(tasks)}
        self.assertLessEqual(failures, {type(None), DeadlinePassed})
        self.assertLessEqual(max(fleet.max_running.values(), default=0), slots)
        eventlet.sleep(5.0)
        held = [sum(s.permits.values()) for h in fleet.hosts for s in h.state()]
        self.assertEqual(sum(held), 0)
        fleet.stop()


class TestUnreachableHosts(_FleetCase):
    def test_permits_of_an_unreachable_holder_are_lent_again(self):
        fleet = self.fleet(hosts=3, targets=1)
        self.spawn(fleet, 0)
        eventlet.sleep(0.01)
        holder = (self.lender_index(fleet) + 1) % 3
        self.spawn(fleet, holder, 3, work_s=1000)
        eventlet.sleep(0.1)
        fleet.cut.add(fleet.peers[holder].host_id)
        task = self.spawn(fleet, self.lender_index(fleet))[0]
        started = virtual_hub.now()
        self.assertIsNone(task.wait())
        self.assertLess(virtual_hub.now() - started, CFG.permit_s + 2 * CFG.renew_s)

    def test_requests_are_served_when_the_lender_is_unreachable(self):
        fleet = self.fleet(hosts=3)
        self.spawn(fleet, 0)
        eventlet.sleep(0.01)
        unreachable = self.lender_index(fleet)
        others = [host for host in range(3) if host != unreachable]
        busy = [t for host in others for t in self.spawn(fleet, host, 40)]
        eventlet.sleep(0.05)
        fleet.cut.add(fleet.peers[unreachable].host_id)
        eventlet.sleep(0.5)
        fleet.dead.add(fleet.peers[unreachable].host_id)
        self.assertEqual(set(self.results(busy)), {None})
        late = [t for host in others for t in self.spawn(fleet, host, 40)]
        self.assertEqual(set(self.results(late)), {None})
        # The unreachable host may use the permits that it lent to itself until they
        # expire.  Each of them is one slot that is lent twice.
        self.assertLessEqual(max(fleet.max_running.values()), 6)

    def test_a_new_lender_lends_half_at_once_and_the_rest_after_a_lease(self):
        fleet = self.fleet(hosts=3, targets=1, slots=4)
        self.spawn(fleet, 0)
        eventlet.sleep(1.5)
        unreachable = self.lender_index(fleet)
        holder, other = (host for host in range(3) if host != unreachable)
        self.spawn(fleet, holder, 1, work_s=1.2)
        eventlet.sleep(0.01)
        fleet.dead.add(fleet.peers[unreachable].host_id)
        fleet.cut.add(fleet.peers[unreachable].host_id)
        fleet.max_running.clear()
        self.spawn(fleet, other, 40, work_s=0.1)
        eventlet.sleep(0.9)
        self.assertIn(fleet.max_running["filing-0"], (2, 3))
        eventlet.sleep(2.0)
        self.assertEqual(fleet.max_running["filing-0"], 4)

    def test_a_target_that_sheds_gets_fewer_requests_at_a_time(self):
        fleet = self.fleet(hosts=2, targets=2, slots=8)
        for _ in range(20):
            for host in range(2):
                self.spawn(
                    fleet,
                    host,
                    8,
                    candidates=("filing-0",),
                    outcome=SlotOutcome.SHED,
                )
            eventlet.sleep(0.05)
        self.assertLessEqual(fleet.running["filing-0"], 2)


class TestLeaving(_FleetCase):
    def leave(self, fleet, *targets):
        for host in fleet.hosts:
            host.set_leaving("laurentide", frozenset(targets))

    def test_a_leaving_target_of_a_pool_gets_no_new_requests(self):
        fleet = self.fleet(hosts=2)
        for host in range(2):
            self.spawn(fleet, host, 10, work_s=0.5)
        eventlet.sleep(0.1)
        self.leave(fleet, "filing-0")
        fleet.max_running.clear()
        self.results([t for host in range(2) for t in self.spawn(fleet, host, 10)])
        self.assertNotIn("filing-0", fleet.max_running)

    def test_a_leaving_owner_gets_new_work_only_for_a_short_time(self):
        fleet = self.fleet(hosts=2, shard_count=64)
        owner = ("filing-0",)
        self.leave(fleet, *owner)
        self.assertIsNone(self.spawn(fleet, 0, candidates=owner)[0].wait())
        eventlet.sleep(3.0)
        failure = self.spawn(fleet, 0, candidates=owner)[0].wait()
        self.assertIsInstance(failure, NoOwnerYet)

    def test_waiting_requests_move_to_the_new_group(self):
        fleet = self.fleet(hosts=1, targets=1)
        tasks = self.spawn(fleet, 0, 6, work_s=0.1)
        eventlet.sleep(0.05)
        divided = self.service.model_copy(update={"shard_count": 64})
        fleet.hosts[0].configure(make_team(divided, generation=2))
        self.assertEqual(set(self.results(tasks)), {None})


class TestWaiting(_FleetCase):
    def test_a_request_whose_deadline_passes_is_never_started(self):
        fleet = self.fleet(hosts=2, targets=1, slots=1)
        self.spawn(fleet, 0, work_s=1.0)
        eventlet.sleep(0.01)
        failures = self.results(self.spawn(fleet, 1, 3, wait_s=0.5))
        self.assertEqual({type(failure) for failure in failures}, {DeadlinePassed})
        eventlet.sleep(2.0)
        self.assertEqual(len(fleet.started_tickets), 1)

    def test_requests_beyond_the_queues_length_are_shed(self):
        fleet = self.fleet(hosts=1, targets=1, slots=1)
        tasks = self.spawn(fleet, 0, CFG.max_waiting + 10, wait_s=1.0)
        eventlet.sleep(0)
        failures = [type(failure) for failure in self.results(tasks)]
        self.assertGreaterEqual(failures.count(Overloaded), 9)

    def test_a_task_killed_while_it_waits_leaves_nothing_behind(self):
        fleet = self.fleet(hosts=1, targets=1, slots=1)
        self.spawn(fleet, 0, work_s=1.0)
        eventlet.sleep(0.01)
        killed = self.spawn(fleet, 0)[0]
        eventlet.sleep(0.01)
        killed.kill()
        after = self.spawn(fleet, 0)[0]
        self.assertIsNone(after.wait())
        self.assertEqual(fleet.max_running["filing-0"], 1)

    def test_one_host_alone_needs_no_peers(self):
        service = make_service(targets=1, slots=1)
        scheduler = LocalScheduler(CFG, HubClock(), PeerAddress("h.r", "10.1.0.1", 1))
        scheduler.configure(make_team(service))
        for _ in range(3):
            slot = scheduler.acquire(make_ticket(service), candidates_of(service))
            self.assertEqual(slot.target_id, "filing-0")
            slot.done(SlotOutcome.ANSWERED)
            slot.done(SlotOutcome.ANSWERED)
        with self.assertRaises(NoOwnerYet):
            scheduler.acquire(make_ticket(service), ("unknown",))
