"""An orderly stop of one of two hosts, each the successor of the other."""

import unittest

import eventlet

from persimmonspoke.ids import Instant
from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub

STOP_S = 20.0


class TestStopOfOneOfTwo(unittest.TestCase):
    def test_the_remaining_host_releases_the_one_that_stops(self):
        fleet = Fleet(hosts=2)
        eventlet.sleep(3)
        completed = fleet.hosts["h0"].node.stop(Instant(virtual_hub.now() + STOP_S))
        self.assertTrue(completed)
        self.assertTrue(fleet.hosts["h1"].node.holds_lease())
        fleet.hosts["h1"].kill()
        fleet.watching.kill()
