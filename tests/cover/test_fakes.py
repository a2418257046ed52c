"""The fakes implement their interfaces and fail as configured."""

import unittest
from dataclasses import dataclass

import eventlet

from persimmonspoke.errors import (
    OrderOutcomeUnknown,
    PeerRefused,
    PeerTimeout,
    StoreCompacted,
    StoreConflict,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TargetFenced,
    TargetRefusedConnection,
    TargetUnreachable,
)
from persimmonspoke.internal.peers.api import Liveness, PeerAddress
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.store.writes import new_write_id, write
from persimmonspoke.internal.targets.api import (
    GrantedShard,
    GrantOrder,
    ReleaseOrder,
    TargetAddress,
)
from tests.fakes import virtual_hub
from tests.fakes.history import History
from tests.fakes.network import FakeLink, FakeNetwork
from tests.fakes.process import FakeClock, FakeProcess, GateKind
from tests.fakes.store import FakePlatformStore, FakeStore, WriteFate
from tests.fakes.targets import FakeOrders, FakeTarget


@message
@dataclass(frozen=True, slots=True)
class Hello:
    """A message type for these tests."""

    text: str


def _process(number=1, rate=1.0):
    return FakeProcess(f"host{number}", f"10.0.0.{number}", rate, 1000.0 * number)


class TestVirtualTime(unittest.TestCase):
    def test_a_wait_shorter_than_the_precision_of_the_clock_ends(self):
        eventlet.sleep(1000)
        ends = virtual_hub.now() + 1e-12
        while virtual_hub.now() < ends:
            eventlet.sleep(1e-15)


class TestFakeProcess(unittest.TestCase):
    def test_a_drifting_clock_sleeps_by_its_own_rate(self):
        clock = FakeClock(_process(rate=1.01))
        began, deadline = virtual_hub.now(), clock.now() + 10.1
        clock.sleep_until(deadline)
        self.assertGreaterEqual(clock.now(), deadline)
        self.assertAlmostEqual(virtual_hub.now() - began, 10, places=3)

    def test_a_paused_process_sleeps_until_it_is_resumed(self):
        process = _process()
        process.pause()
        eventlet.spawn_after(7, process.resume)
        began = virtual_hub.now()
        FakeClock(process).sleep_until(FakeClock(process).now() + 1)
        self.assertAlmostEqual(virtual_hub.now() - began, 7, places=3)

    def test_tasks_of_a_killed_process_end(self):
        process, done = _process(), []

        def task():
            FakeClock(process).sleep_until(FakeClock(process).now() + 1)
            done.append(True)

        eventlet.spawn(task)
        eventlet.sleep(0.5)
        process.kill()
        eventlet.sleep(1)
        self.assertEqual(done, [])


class TestFakeStore(unittest.TestCase):
    def setUp(self):
        self.process = _process()
        self.clock = FakeClock(self.process)
        self.platform = FakePlatformStore()
        self.store = FakeStore(self.platform, self.process)

    def soon(self, seconds=3):
        return self.clock.now() + seconds

    def test_a_conditional_write_succeeds_only_at_its_version(self):
        created = self.store.create("a", {"n": 1}, self.soon())
        updated = self.store.update("a", {"n": 2}, created.version, self.soon())
        self.assertEqual(self.store.get("a", self.soon()), updated)
        with self.assertRaises(StoreConflict):
            self.store.update("a", {"n": 3}, created.version, self.soon())
        with self.assertRaises(StoreConflict):
            self.store.create("a", {"n": 3}, self.soon())

    def test_a_deleted_object_is_missing_and_watched_as_empty(self):
        created = self.store.create("a", {"n": 1}, self.soon())
        self.store.delete("a", created.version, self.soon())
        with self.assertRaises(StoreMissing):
            self.store.get("a", self.soon())
        changes = self.store.watch("", created.version, self.soon())
        self.assertEqual([item.value for item in changes.items], [{}])

    def test_a_watch_wakes_for_its_prefix_only(self):
        eventlet.spawn_after(1, self.platform.put, "b", {"n": 1}, 0)
        eventlet.spawn_after(2, self.platform.put, "a/x", {"n": 1}, 0)
        began = virtual_hub.now()
        changes = self.store.watch("a/", 0, self.soon(9))
        self.assertEqual([item.key for item in changes.items], ["a/x"])
        self.assertAlmostEqual(virtual_hub.now() - began, 2, places=1)

    def test_a_watch_without_changes_ends_empty_and_a_compacted_one_fails(self):
        self.assertEqual(self.store.watch("", 0, self.soon()).items, ())
        self.store.create("a", {}, self.soon())
        self.platform.compact()
        with self.assertRaises(StoreCompacted):
            self.store.watch("", 0, self.soon())

    def test_a_store_outage_fails_an_open_watch(self):
        def go_down():
            self.platform.faults.down = True
            self.platform.wake()

        eventlet.spawn_after(1, go_down)
        with self.assertRaises(StoreUnavailable):
            self.store.watch("", 0, self.soon())

    def test_a_write_to_a_silent_store_has_an_unknown_outcome_at_its_deadline(self):
        self.store.faults.silent = True
        began = virtual_hub.now()
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.create("a", {}, self.soon())
        self.assertAlmostEqual(virtual_hub.now() - began, 3, places=2)

    def test_a_slow_write_takes_effect_after_its_deadline(self):
        self.store.faults.extra_s = 4
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.create("a", {}, self.soon(1))
        eventlet.sleep(4)
        self.assertEqual(self.platform.get("a").value, {})

    def test_write_determines_the_outcome_after_each_kind_of_lost_answer(self):
        for fate in WriteFate:
            with self.subTest(fate=fate):
                self.store.faults.lost.append(fate)
                value = {"write_id": new_write_id()}
                key = fate.name
                created = write(self.store, self.clock, key, value, 0, self.soon())
                self.assertEqual(self.platform.get(key), created)
                eventlet.sleep(self.store.faults.late_s + 1)
                self.assertEqual(self.platform.get(key), created)


class TestFakeNetwork(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.one, self.two = _process(1), _process(2)
        self.link = self.make_link(self.one, "host1.a")
        self.peer = self.make_link(self.two, "host2.a")
        self.peer.serve(Hello, lambda msg: Hello(msg.text + "!"))
        self.address = self.peer.address

    def make_link(self, process, run):
        return FakeLink(self.network, process, PeerAddress(run, process.machine, 7000))

    def call(self):
        deadline = FakeClock(self.one).now() + 1
        return self.link.call(self.address, Hello("hi"), deadline)

    def probe(self):
        return self.link.probe(self.address, FakeClock(self.one).now() + 1)

    def test_a_call_is_answered(self):
        self.assertEqual(self.call(), Hello("hi!"))
        self.assertIs(self.probe(), Liveness.ANSWERS)

    def test_a_cut_in_either_direction_makes_the_peer_silent(self):
        for source, sink in (("10.0.0.1", "10.0.0.2"), ("10.0.0.2", "10.0.0.1")):
            self.network.cut([source], [sink], both=False)
            with self.assertRaises(PeerTimeout):
                self.call()
            self.assertIs(self.probe(), Liveness.SILENT)
            self.network.heal()
        self.assertEqual(self.call(), Hello("hi!"))

    def test_a_paused_peer_is_silent_and_a_killed_one_is_dead(self):
        self.two.pause()
        with self.assertRaises(PeerTimeout):
            self.call()
        self.assertIs(self.probe(), Liveness.SILENT)
        self.two.kill()
        self.assertIs(self.probe(), Liveness.DEAD)

    def test_a_vanished_machine_does_not_prove_death(self):
        self.two.kill()
        self.network.vanished.add("10.0.0.2")
        self.assertIs(self.probe(), Liveness.SILENT)

    def test_another_run_at_the_address_proves_death(self):
        self.two.kill()
        self.make_link(_process(2), "host2.b")
        self.assertIs(self.probe(), Liveness.DEAD)
        with self.assertRaises(PeerRefused):
            self.call()


class TestFakeTarget(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.process = _process()
        self.history = History()
        self.address = TargetAddress("t1", "10.1.0.1", 80)
        self.use(checks=True)

    def use(self, checks):
        self.target = FakeTarget(self.address, self.history, checks, rate=0.99)
        targets = {"t1": self.target}
        self.orders = FakeOrders(self.network, self.process, targets)

    def soon(self):
        return FakeClock(self.process).now() + 1

    def grant(self, fence=1, duration_s=0.8, shard=4, epoch=1):
        order = GrantOrder(
            "m",
            "s",
            0,
            fence,
            (GrantedShard(shard, epoch),),
            self.target.clock() + duration_s,
        )
        return self.orders.grant(self.address, order, self.soon())

    def release(self, fence=1):
        order = ReleaseOrder("m", "s", 0, fence, (4,))
        return self.orders.release(self.address, order, self.soon())

    def test_a_grant_lasts_until_its_end_on_the_target_s_clock(self):
        reply = self.grant()
        self.assertTrue(self.target.accepts(("m", "s", 4), 1))
        self.assertFalse(self.target.accepts(("m", "s", 4), 2))
        eventlet.sleep(0.8 / 0.99)
        self.assertFalse(self.target.accepts(("m", "s", 4), 1))
        self.assertAlmostEqual(reply.clock, self.target.clock() - 0.8, places=2)

    def test_an_order_with_an_old_epoch_is_fenced_by_a_target_that_checks(self):
        self.grant(fence=5)
        with self.assertRaises(TargetFenced):
            self.grant(fence=4)
        self.use(checks=False)
        self.grant(fence=5)
        self.grant(fence=4)

    def test_a_grant_delayed_past_its_end_has_no_effect(self):
        self.process.pause_at(GateKind.ORDER)
        eventlet.spawn_after(3, self.process.resume)
        with self.assertRaises(OrderOutcomeUnknown):
            self.grant()
        eventlet.sleep(1)
        self.assertEqual(self.target.held, {})
        self.assertEqual(self.history.holds, [])

    def test_a_release_waits_for_requests_in_flight(self):
        self.grant()
        self.target.work_s = 0.5
        eventlet.spawn(self.target.execute, "r1", True, ("m", "s", 4), 1, 0.0)
        eventlet.sleep(0)
        began = virtual_hub.now()
        self.release()
        self.assertGreater(virtual_hub.now() - began, 0.5)
        self.assertFalse(self.target.accepts(("m", "s", 4), 1))

    def test_each_failure_raises_its_error_type(self):
        self.target.process.pause()
        with self.assertRaises(OrderOutcomeUnknown):
            self.grant()
        self.target.kill()
        with self.assertRaises(TargetRefusedConnection):
            self.grant()
        self.network.cut(["10.0.0.1"], ["10.1.0.1"])
        with self.assertRaises(TargetUnreachable):
            self.grant()

    def test_a_restarted_target_owns_nothing(self):
        self.grant()
        self.target.kill()
        self.target.restart()
        self.assertFalse(self.target.accepts(("m", "s", 4), 1))
        self.assertLessEqual(self.history.holds[0].until, virtual_hub.now())
        self.grant()
        self.assertTrue(self.target.accepts(("m", "s", 4), 1))


if __name__ == "__main__":
    unittest.main()
