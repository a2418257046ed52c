"""Load at one owner: more requests for its keys than its slots answer at once.

Requests arrive at random at a target with two slots, 0.6 to 1.5 times as many as it
can answer, and come back once after a refusal.  The real desk decides who waits.
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
SERVICE_S = 0.09  # of a usual target
SPREAD = 0.5  # of the logarithm of the service time
OBJECTIVE_S = 0.3
DEADLINE_S = 0.8
LATE_WORTH = 0.5
PLAYED_S = 60.0
TICK_S = 0.05


class OwnerQueue:
    """Plays requests at one owner; the desk's clock goes from event to event.

    Attributes
    ----------
    offered, worth : float
        Requests, and what their answers were worth: 1 in time, less if late.
    """

    def __init__(self, cfg, load, speed, seed):
        self.random = random.Random(seed)
        self.time = 0.0
        self.offered = 0
        self.worth = 0.0
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
        """Return the time of the present event."""
        return Instant(self.time)

    def play(self):
        """Play all events; return the worth of a request."""
        self._later(0.0, self._arrive)
        self._later(0.0, self._tick)
        while self.time < PLAYED_S:
            self.time, _, step, args = heapq.heappop(self._events)
            step(*args)
            while self._sent:
                self._take(self._sent.pop(0))
        return self.worth / self.offered

    def _later(self, delay_s, step, *args):
        event = (self.time + delay_s, next(self._numbers), step, args)
        heapq.heappush(self._events, event)

    def _arrive(self):
        self._later(self.random.expovariate(self._rate), self._arrive)
        self.offered += 1
        self._ask(self.time, True)

    def _tick(self):
        self._later(TICK_S, self._tick)
        self._desk.tick()

    def _ask(self, began, may_return):
        serial = next(self._numbers)
        self._open[serial] = (began, may_return, None)
        objective_left_s = began + OBJECTIVE_S - self.time
        left_s = began + DEADLINE_S - self.time
        ask = Ask("h", "z", "stock", serial, 1, "k", objective_left_s, left_s, "a", [])
        self._later(left_s, self._give_up, serial)
        self._desk.ask(ask)

    def _take(self, msg):
        if msg.serial not in self._open:
            return
        began, may_return, _ = self._open[msg.serial]
        if isinstance(msg, Lent):
            self._open[msg.serial] = (began, may_return, self.time)
            mean = math.log(self._service_s) - SPREAD**2 / 2
            took_s = self.random.lognormvariate(mean, SPREAD)
            self._later(took_s, self._end, msg.serial)
            return
        del self._open[msg.serial]
        if may_return and self.time + msg.retry_after_s < began + DEADLINE_S:
            self._later(msg.retry_after_s, self._ask, began, False)

    def _end(self, serial):
        if serial not in self._open:
            return
        began, _, lent_at = self._open.pop(serial)
        self.worth += 1.0 if self.time - began <= OBJECTIVE_S else LATE_WORTH
        took_s = self.time - lent_at
        self._desk.done(Done("h", "stock", serial, "answered", took_s))

    def _give_up(self, serial):
        if serial in self._open:
            lent_at = self._open.pop(serial)[2]
            took_s = 0.0 if lent_at is None else self.time - lent_at
            self._desk.done(Done("h", "stock", serial, "cancelled", took_s))


def worth_of(load, speed, cfg=None):
    """Return the worth of a request, as the mean of three plays."""
    cfg = cfg or DeskSettings()
    return sum(OwnerQueue(cfg, load, speed, seed).play() for seed in (1, 2, 3)) / 3


class TestWhoWaits(unittest.TestCase):
    """A short queue keeps slots busy; a long one makes everybody late."""

    def test_a_short_queue_beats_none_at_a_slow_target(self):
        strict = DeskSettings(short_queue=0.0)
        for load in (0.6, 0.8, 1.0, 1.5):
            with self.subTest(load=load):
                self.assertGreater(worth_of(load, 0.7), worth_of(load, 0.7, strict))

    def test_refusing_at_once_beats_queueing_for_all_under_overload(self):
        for speed in (0.7, 1.0, 1.6):
            with self.subTest(speed=speed):
                ours = worth_of(1.5, speed)
                with mock.patch.object(desk_module, "may_wait", return_value=True):
                    self.assertGreater(ours, worth_of(1.5, speed))

    def test_nearly_all_are_served_while_slots_suffice(self):
        self.assertGreater(worth_of(0.6, 1.6), 0.95)
