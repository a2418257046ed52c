"""An orderly stop of one of two hosts."""

import unittest

import eventlet

from persimmonspoke.ids import Instant
from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub

STOP_S = 20.0


class TestStopOfOneOfTwo(unittest.TestCase):
    def test_the_last_but_one_host_is_let_go_by_the_host_that_stays(self):
        fleet = Fleet(hosts=2)
        eventlet.sleep(3)
        handed = fleet.hosts["h0"].node.stop(Instant(virtual_hub.now() + STOP_S))
        self.assertTrue(handed)
        self.assertTrue(fleet.hosts["h1"].node.holds_lease())
        fleet.hosts["h1"].kill()
        fleet.watching.kill()
