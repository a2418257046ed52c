"""Drawn schedules of trouble: no key has two owners, and all are held at the end."""

import random
import unittest

from persimmonspoke.internal.routing.config import TargetState
from tests.fakes.process import GateKind
from tests.fakes.range_fleet import RangeFleet, record
from tests.fakes.store import WriteFate

SEEDS = range(24)
STEPS = 8
CALM_S = 28.0  # longest wait for a former leader, its grants, and a move


class Schedule:
    """One drawn schedule, played on a fleet."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = RangeFleet(hosts=4, targets=5)
        self.undo = []

    def play(self):
        self.fleet.run_for(3)
        for _ in range(STEPS):
            self.random.choice(
                (
                    self.kill,
                    self.freeze,
                    self.freeze_at_an_order,
                    self.silence,
                    self.be_late,
                    self.leave,
                    self.reborn,
                    self.cut_leader,
                    self.store_silent,
                    self.store_loses_answers,
                )
            )()
            self.fleet.run_for(self.random.uniform(0.1, 3.0))
            if self.undo and self.random.random() < 0.6:
                self.undo.pop(self.random.randrange(len(self.undo)))()
        while self.undo:
            self.undo.pop()()
        self.fleet.run_for(CALM_S)

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

    def freeze(self):
        process = self.host().process
        process.pause()
        self.undo.append(process.resume)

    def freeze_at_an_order(self):
        process = self.host().process
        process.pause_at(GateKind.ORDER)
        self.undo.append(process.resume)

    def silence(self):
        target = self.target()
        target.silent = True
        self.undo.append(lambda: setattr(target, "silent", False))

    def be_late(self):
        target = self.target()
        target.late_s = self.random.uniform(2.0, 12.0)
        self.undo.append(lambda: setattr(target, "late_s", 0.0))

    def leave(self):
        name = self.target().name
        born_ms = self.fleet.records[name].born_ms
        self.fleet.records[name] = record(name, TargetState.LEAVING, born_ms)
        self.undo.append(
            lambda: self.fleet.records.update(
                {name: record(name, born_ms=self.fleet.records[name].born_ms)}
            )
        )

    def reborn(self):
        target = self.target()
        born_ms = self.fleet.records[target.name].born_ms + 1
        target.holds.clear()
        target.fences.clear()
        self.fleet.records[target.name] = record(target.name, born_ms=born_ms)

    def cut_leader(self):
        host = self.host()
        others = {h.process.machine for h in self.fleet.hosts if h is not host}
        self.fleet.network.cut({host.process.machine}, others)
        self.undo.append(self.fleet.network.heal)

    def store_silent(self):
        faults = self.fleet.platform.faults
        faults.silent = True
        self.undo.append(lambda: setattr(faults, "silent", False))

    def store_loses_answers(self):
        fates = self.random.choices(tuple(WriteFate), k=3)
        self.fleet.platform.faults.lost.extend(fates)


class TestDrawnSchedules(unittest.TestCase):
    def test_no_key_has_two_owners_and_all_are_held_once_it_is_calm(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                try:
                    schedule.play()
                    self.assertEqual(schedule.fleet.doubles, [])
                    self.assertEqual(schedule.fleet.low_fences(), [])
                    self.assertEqual(schedule.fleet.unheld(), [])
                    self.assertEqual(schedule.fleet.network.crashes, [])
                finally:
                    schedule.fleet.stop()


if __name__ == "__main__":
    unittest.main()
