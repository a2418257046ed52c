"""Random schedules of faults: no key has two holders, and all are held at the end."""

import random
import unittest
from dataclasses import replace

from persimmonspoke.internal.ranges.planner import whole_move
from persimmonspoke.internal.routing.config import TargetState
from tests.fakes.process import GateKind
from tests.fakes.range_fleet import SERVICE, RangeFleet, record
from tests.fakes.store import WriteFate

SEEDS = range(24)
STEPS = 8
RECOVERY_S = 28.0  # the longest wait for a former leader, its grants, and a move


class Schedule:
    """A random sequence of faults, applied to a fleet."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = RangeFleet(hosts=4, targets=5)
        self.undo = []

    def faults(self):
        """Return the kinds of faults, as methods that cause one."""
        return (
            self.kill,
            self.pause,
            self.pause_at_an_order,
            self.silence_target,
            self.delay_orders,
            self.let_target_leave,
            self.restart_target,
            self.isolate_host,
            self.silence_store,
            self.lose_store_answers,
        )

    def play(self):
        self.fleet.run_for(3)
        for _ in range(STEPS):
            self.random.choice(self.faults())()
            self.fleet.run_for(self.random.uniform(0.1, 3.0))
            if self.undo and self.random.random() < 0.6:
                self.undo.pop(self.random.randrange(len(self.undo)))()
        while self.undo:
            self.undo.pop()()
        self.fleet.run_for(RECOVERY_S)

    def host(self):
        leader = self.fleet.leader()
        if leader is not None and self.random.random() < 0.7:
            return leader
        return self.random.choice([h for h in self.fleet.hosts if h.alive()])

    def target(self):
        return self.fleet.targets[self.random.choice(sorted(self.fleet.targets))]

    def kill(self):
        host = self.host()
        if len([h for h in self.fleet.hosts if h.alive()]) > 1:
            host.kill()
            self.undo.append(lambda: self.fleet.restart(host))

    def pause(self):
        process = self.host().process
        process.pause()
        self.undo.append(process.resume)

    def pause_at_an_order(self):
        process = self.host().process
        process.pause_at(GateKind.ORDER)
        self.undo.append(process.resume)

    def silence_target(self):
        target = self.target()
        target.silent = True
        self.undo.append(lambda: setattr(target, "silent", False))

    def delay_orders(self):
        target = self.target()
        target.late_s = self.random.uniform(2.0, 12.0)
        self.undo.append(lambda: setattr(target, "late_s", 0.0))

    def let_target_leave(self):
        name = self.target().name
        born_ms = self.fleet.records[name].born_ms
        self.fleet.records[name] = record(name, TargetState.LEAVING, born_ms)
        self.undo.append(
            lambda: self.fleet.records.update(
                {name: record(name, born_ms=self.fleet.records[name].born_ms)}
            )
        )

    def restart_target(self):
        target = self.target()
        born_ms = self.fleet.records[target.name].born_ms + 1
        target.restart()
        self.fleet.records[target.name] = record(target.name, born_ms=born_ms)

    def isolate_host(self):
        host = self.host()
        others = {h.process.machine for h in self.fleet.hosts if h is not host}
        self.fleet.network.cut({host.process.machine}, others)
        self.undo.append(self.fleet.network.heal)

    def silence_store(self):
        faults = self.fleet.platform.faults
        faults.silent = True
        self.undo.append(lambda: setattr(faults, "silent", False))

    def lose_store_answers(self):
        fates = self.random.choices(tuple(WriteFate), k=3)
        self.fleet.platform.faults.lost.extend(fates)


class RestoringSchedule(Schedule):
    """Also restores the store from older copies, and moves keys before."""

    def faults(self):
        return (*super().faults(), *3 * (self.restore_store,), *3 * (self.move_keys,))

    def host(self):
        # A killed host may still count as the leader until its lease ends.
        living = [host for host in self.fleet.hosts if host.alive()]
        found = super().host()
        return found if found in living else self.random.choice(living)

    def move_keys(self):
        leader = self.fleet.leader()
        ranges = leader and leader.keeper.ledger.map(SERVICE)
        for _ in range(4 if ranges else 0):
            entry = ranges.find(self.random.randrange(65536))
            to = self.random.choice(sorted(self.fleet.targets))
            if not leader.keeper.ledger.in_transfer(SERVICE, entry):
                piece = replace(entry, last=(entry.first + entry.last) // 2)
                leader.keeper.start_move(SERVICE, whole_move(piece, to))

    def restore_store(self):
        self.fleet.platform.faults.down = True
        self.fleet.run_for(self.random.uniform(0.0, 2.5))
        self.fleet.platform.faults.down = False
        self.fleet.platform.restore(self.random.uniform(1.0, 12.0))


class TestRandomSchedules(unittest.TestCase):
    def test_no_key_has_two_holders_and_all_are_held_after_the_faults(self):
        self.play(Schedule, SEEDS)

    # Guards against OWNER: owners, fences and leaders that an older copy brings back.
    def test_the_same_holds_while_the_store_is_restored_from_older_copies(self):
        self.play(RestoringSchedule, SEEDS)

    def play(self, kind, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                schedule = kind(seed)
                try:
                    schedule.play()
                    self.assertEqual(schedule.fleet.double_holds, [])
                    self.assertEqual(schedule.fleet.fence_violations(), [])
                    self.assertEqual(schedule.fleet.unheld_keys(), [])
                    self.assertEqual(schedule.fleet.network.crashes, [])
                finally:
                    schedule.fleet.stop()


if __name__ == "__main__":
    unittest.main()
