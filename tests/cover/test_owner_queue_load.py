"""Tests of the desk's queue when one owner gets more requests than it has slots.

Requests arrive at random at a target with two slots, at 0.6 to 1.5 times its capacity,
and are retried once after a refusal.  The real desk decides which requests wait.
"""

import heapq
import itertools
import math
import random
import unittest
from unittest import mock

from persimmonspoke.ids import Instant
from persimmonspoke.internal.desk import desk as desk_module
from persimmonspoke.internal.desk.desk import Desk, TargetSlots
from persimmonspoke.internal.desk.messages import Ask, Done, Lent
from persimmonspoke.internal.desk.settings import DeskSettings

SLOTS = 2
SERVICE_S = 0.09  # mean service time of a target with speed 1
LOG_STD = 0.5  # standard deviation of the logarithm of the service time
OBJECTIVE_S = 0.3
DEADLINE_S = 0.8
LATE_VALUE = 0.5
DURATION_S = 60.0
TICK_S = 0.05


class OwnerQueue:
    """Simulates requests at one owner; it is also the clock of the desk.

    Attributes
    ----------
    offered : int
        Number of requests, without retries.
    value : float
        Total value of the answers: 1 for one in time, `LATE_VALUE` for a late one.
    """

    def __init__(self, cfg, load, speed, seed):
        self.random = random.Random(seed)
        self.time = 0.0
        self.offered = 0
        self.value = 0.0
        self._service_s = SERVICE_S / speed
        self._rate = load * SLOTS / self._service_s
        self._events = []
        self._numbers = itertools.count()
        self._open = {}
        self._sent = []
        self._desk = Desk(
            "stock", "me", cfg, self, lambda host, m: self._sent.append(m)
        )
        self._desk.configure(
            [TargetSlots("a", SLOTS, "z"), TargetSlots("b", SLOTS, "z")]
        )

    def now(self):
        """Return the time of the current event."""
        return Instant(self.time)

    def run(self):
        """Run the simulation; return the mean value of a request."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        while self.time < DURATION_S:
            self.time, _, step, args = heapq.heappop(self._events)
            step(*args)
            while self._sent:
                self._handle(self._sent.pop(0))
        return self.value / self.offered

    def _schedule(self, delay_s, step, *args):
        event = (self.time + delay_s, next(self._numbers), step, args)
        heapq.heappush(self._events, event)

    def _arrive(self):
        self._schedule(self.random.expovariate(self._rate), self._arrive)
        self.offered += 1
        self._ask(self.time, True)

    def _tick(self):
        self._schedule(TICK_S, self._tick)
        self._desk.tick()

    def _ask(self, arrived_at, may_retry):
        serial = next(self._numbers)
        self._open[serial] = (arrived_at, may_retry, None)
        objective_left_s = arrived_at + OBJECTIVE_S - self.time
        left_s = arrived_at + DEADLINE_S - self.time
        ask = Ask("h", "z", "stock", serial, 1, "k", objective_left_s, left_s, "a", [])
        self._schedule(left_s, self._time_out, serial)
        self._desk.ask(ask)

    def _handle(self, msg):
        if msg.serial not in self._open:
            return
        arrived_at, may_retry, _ = self._open[msg.serial]
        if isinstance(msg, Lent):
            self._open[msg.serial] = (arrived_at, may_retry, self.time)
            mean = math.log(self._service_s) - LOG_STD**2 / 2
            took_s = self.random.lognormvariate(mean, LOG_STD)
            self._schedule(took_s, self._finish, msg.serial)
            return
        del self._open[msg.serial]
        if may_retry and self.time + msg.retry_after_s < arrived_at + DEADLINE_S:
            self._schedule(msg.retry_after_s, self._ask, arrived_at, False)

    def _finish(self, serial):
        if serial not in self._open:
            return
        arrived_at, _, started_at = self._open.pop(serial)
        self.value += 1.0 if self.time - arrived_at <= OBJECTIVE_S else LATE_VALUE
        took_s = self.time - started_at
        self._desk.done(Done("h", "stock", serial, "answered", took_s))

    def _time_out(self, serial):
        if serial in self._open:
            started_at = self._open.pop(serial)[2]
            took_s = 0.0 if started_at is None else self.time - started_at
            self._desk.done(Done("h", "stock", serial, "cancelled", took_s))


def mean_value(load, speed, cfg=None):
    """Return the mean value of a request in three simulations."""
    cfg = cfg or DeskSettings()
    return sum(OwnerQueue(cfg, load, speed, seed).run() for seed in (1, 2, 3)) / 3


class TestQueueLength(unittest.TestCase):
    """A short queue keeps slots busy; a long queue makes all answers late."""

    def test_a_short_queue_beats_none_at_a_slow_target(self):
        no_queue = DeskSettings(short_queue=0.0)
        for load in (0.6, 0.8, 1.0, 1.5):
            with self.subTest(load=load):
                self.assertGreater(
                    mean_value(load, 0.7), mean_value(load, 0.7, no_queue)
                )

    def test_refusing_at_once_beats_queueing_all_under_overload(self):
        for speed in (0.7, 1.0, 1.6):
            with self.subTest(speed=speed):
                refusing = mean_value(1.5, speed)
                with mock.patch.object(desk_module, "may_wait", return_value=True):
                    self.assertGreater(refusing, mean_value(1.5, speed))

    def test_nearly_all_are_served_when_there_are_enough_slots(self):
        self.assertGreater(mean_value(0.6, 1.6), 0.95)
