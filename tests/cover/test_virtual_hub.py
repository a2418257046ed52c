"""The eventlet hub with virtual time."""

import unittest

import eventlet

from tests.fakes import virtual_hub


class TestVirtualHub(unittest.TestCase):
    def test_an_hour_passes_without_waiting(self):
        before = virtual_hub.now()
        eventlet.sleep(3600)
        self.assertAlmostEqual(virtual_hub.now() - before, 3600, places=3)

    def test_timers_fire_in_order_of_their_deadlines(self):
        fired = []
        eventlet.spawn_after(2, fired.append, "late")
        eventlet.spawn_after(1, fired.append, "early")
        eventlet.sleep(3)
        self.assertEqual(fired, ["early", "late"])
