"""Load tests of a service most of whose targets are slow, without a network.

The fast targets alone can't serve all requests, and the slow ones answer in time.
"""

import random
import unittest

import eventlet

from persimmonspoke.internal.desk.desk import Desk, TargetSlots
from persimmonspoke.internal.desk.messages import Ask, Done, Lent
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.scheduling.api import SlotOutcome
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock

SLOTS = 3
TYPICAL_S = 0.1
OBJECTIVE_S = 0.8
LEFT_S = 2.0
SEED = 20261204


class SlowTargetsLoad:
    """Requests at a constant mean rate for targets of different speeds.

    Parameters
    ----------
    slowness : list of float
        How many times as long as `TYPICAL_S` each target takes.
    """

    def __init__(self, slowness):
        self._slowness = {f"t{n}": value for n, value in enumerate(slowness)}
        self._random = random.Random(SEED)
        self._asked_at = {}
        self.in_time = 0
        self.desk = Desk("s", "me", DeskSettings(), HubClock(), self._receive)
        self.desk.configure(TargetSlots(name, SLOTS, "z") for name in self._slowness)

    def run(self, per_s, seconds):
        """Return the share of the requests that are answered by their objective."""
        ticking = eventlet.spawn(self._tick)
        end = virtual_hub.now() + seconds
        while virtual_hub.now() < end:
            eventlet.sleep(self._random.expovariate(per_s))
            serial = len(self._asked_at) + 1
            self._asked_at[serial] = virtual_hub.now()
            self.desk.ask(
                Ask("h", "z", "s", serial, 1, "k", OBJECTIVE_S, LEFT_S, None, [])
            )
        eventlet.sleep(LEFT_S)
        ticking.kill()
        return self.in_time / len(self._asked_at)

    def _tick(self):
        while True:
            eventlet.sleep(0.05)
            self.desk.tick()

    def _receive(self, host, msg):
        if isinstance(msg, Lent):
            took_s = TYPICAL_S * self._slowness[msg.target]
            took_s *= self._random.uniform(0.5, 1.5)
            eventlet.spawn_after(took_s, self._answer, msg.serial, took_s)

    def _answer(self, serial, took_s):
        if virtual_hub.now() - self._asked_at[serial] <= OBJECTIVE_S:
            self.in_time += 1
        self.desk.done(Done("h", "s", serial, SlotOutcome.ANSWERED.value, took_s))


class TestSlowTargets(unittest.TestCase):
    """A queue for the fast targets is no reason to leave slow ones idle."""

    def test_requests_that_would_wait_longer_go_to_slow_targets(self):
        share = SlowTargetsLoad([1.0] * 3 + [4.0] * 9).run(per_s=120, seconds=20)
        self.assertGreaterEqual(share, 0.95)

    def test_a_service_with_enough_fast_targets_uses_only_these(self):
        share = SlowTargetsLoad([1.0] * 6 + [12.0] * 6).run(per_s=100, seconds=20)
        self.assertGreaterEqual(share, 0.95)


if __name__ == "__main__":
    unittest.main()
