"""Two hosts that name each other, one of which is lost."""

import unittest

from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub

AGAIN_WITHIN_S = 2.0


class TestTwoHosts(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(hosts=2, targets=4)
        self.addCleanup(self.fleet.close)
        self.fleet.run(12)
        self.fleet.reset()

    def pair(self):
        """Return the host that keeps more pages, and the other one."""
        hosts = self.fleet.hosts.values()
        return sorted(hosts, key=lambda host: -len(host.node.keeper.open_pages()))

    def test_each_keepers_pages_are_taken_while_the_store_is_down(self):
        self.fleet.store.down = True
        self.fleet.run(1)
        victim, other = self.pair()
        self.assertTrue(victim.node.keeper.open_pages())
        victim.kill()
        self.fleet.run(30)
        kept = {item.page.key.page for item in other.node.keeper.open_pages()}
        self.assertEqual(kept, {0, 1, 2})
        self.assertLessEqual(self.fleet.worst_gap(), AGAIN_WITHIN_S)
        self.assertEqual(self.fleet.two_owners, [])
        self.assertEqual(self.fleet.two_keepers, [])

    def test_a_change_that_no_other_host_knows_waits_for_the_store(self):
        self.fleet.store.down = True
        self.fleet.run(1)
        victim, other = self.pair()
        victim.kill()
        self.fleet.run(3)
        target = next(iter(self.fleet.targets))
        epochs = [item.page.epoch for item in other.node.keeper.open_pages()]
        self.fleet.targets[target].alive = False
        self.fleet.run(10)
        now = [item.page.epoch for item in other.node.keeper.open_pages()]
        self.assertEqual(now, epochs)
        self.fleet.store.down = False
        self.fleet.run(5)
        self.assertEqual(self.fleet.unowned_since, {})

    def test_the_last_host_stops_although_nobody_takes_its_pages(self):
        victim, other = self.pair()
        victim.kill()
        self.fleet.run(5)
        began = virtual_hub.now()
        self.assertFalse(other.node.stop(began + 20))
        self.assertLess(virtual_hub.now(), began + 20)
