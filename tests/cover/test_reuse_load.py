"""Load test of connections: many hosts with little load each, and many targets."""

import random
import unittest

import eventlet

from persimmonspoke.internal.desk.desk import Desk, TargetSlots
from persimmonspoke.internal.desk.messages import Ask, Done, Lent
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.scheduling.api import SlotOutcome
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import HubClock

HOSTS, TARGETS, SLOTS = 195, 60, 3
DATA_CENTRES = 6
RATE_PER_S = 420  # 70 % of the slots are in use
SERVICE_S = 0.3
IDLE_S = 6.0
SEED = 20261204


class ReuseLoad:
    """Hosts keep a connection for `IDLE_S` after each answer, as their pools do."""

    def __init__(self, cfg):
        self._random = random.Random(SEED)
        self._idle = {}
        self._asks = {}
        self.opened = self.asked = self.far = 0
        self.uses = dict.fromkeys(range(TARGETS), 0)
        self.desk = Desk("s", "me", cfg, HubClock(), self._receive)
        self.desk.configure(
            TargetSlots(n, SLOTS, n % DATA_CENTRES) for n in range(TARGETS)
        )

    def run(self, seconds):
        """Ask at the rate of the load from hosts drawn at random."""
        end = virtual_hub.now() + seconds
        while virtual_hub.now() < end:
            eventlet.sleep(self._random.expovariate(RATE_PER_S))
            host = self._random.randrange(HOSTS)
            self.asked += 1
            ask = Ask(
                host, host % DATA_CENTRES, "s", self.asked, 1, "k", 0.9, 2.0, None, []
            )
            self._asks[self.asked] = ask
            self.desk.ask(ask)
        eventlet.sleep(2)
        return self

    def _receive(self, host, msg):
        if not isinstance(msg, Lent):
            return
        idle = self._idle.setdefault((host, msg.target), [])
        while idle and idle[0] < virtual_hub.now() - IDLE_S:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            self.opened += 1
        self.uses[msg.target] += 1
        self.far += host % DATA_CENTRES != msg.target % DATA_CENTRES
        took_s = SERVICE_S * self._random.uniform(0.5, 1.5)
        eventlet.spawn_after(took_s, self._answer, host, msg, took_s)

    def _answer(self, host, msg, took_s):
        self._idle[host, msg.target].append(virtual_hub.now())
        self.desk.done(Done(host, "s", msg.serial, SlotOutcome.ANSWERED.value, took_s))


class TestReuseOfConnections(unittest.TestCase):
    """A new connection costs callers time, and targets accept only so many."""

    def test_most_requests_use_a_connection_that_is_open(self):
        load = ReuseLoad(DeskSettings()).run(20)
        self.assertLessEqual(load.opened / load.asked, 0.25)

    def test_the_load_stays_spread_over_targets_and_in_the_data_centre(self):
        load = ReuseLoad(DeskSettings()).run(20)
        mean = load.asked / TARGETS
        self.assertLessEqual(max(load.uses.values()) / mean, 1.5)
        self.assertLessEqual(load.far / load.asked, 0.25)


if __name__ == "__main__":
    unittest.main()
