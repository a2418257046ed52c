"""Two hosts that are each other's successor, one of which is lost."""

import unittest

from tests.cover.small_fleet import Fleet
from tests.fakes import virtual_hub

MAX_GAP_S = 2.0


class TestTwoHosts(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(hosts=2, targets=4)
        self.addCleanup(self.fleet.close)
        self.fleet.run(12)
        self.fleet.reset()

    def hosts_by_pages(self):
        """Return both hosts, the one that keeps more pages first."""
        hosts = self.fleet.hosts.values()
        return sorted(hosts, key=lambda host: -len(host.node.keeper.open_pages()))

    def test_the_pages_of_a_killed_keeper_are_taken_over_during_a_store_outage(self):
        self.fleet.store.down = True
        self.fleet.run(1)
        victim, other = self.hosts_by_pages()
        self.assertTrue(victim.node.keeper.open_pages())
        victim.kill()
        self.fleet.run(30)
        taken_pages = {item.page.key.page for item in other.node.keeper.open_pages()}
        self.assertEqual(taken_pages, {0, 1, 2})
        self.assertLessEqual(self.fleet.worst_gap(), MAX_GAP_S)
        self.assertEqual(self.fleet.two_owners, [])
        self.assertEqual(self.fleet.two_keepers, [])

    def test_a_change_without_any_copy_waits_for_the_store(self):
        self.fleet.store.down = True
        self.fleet.run(1)
        victim, other = self.hosts_by_pages()
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

    def test_the_last_host_stops_although_no_host_can_take_its_pages(self):
        victim, other = self.hosts_by_pages()
        victim.kill()
        self.fleet.run(5)
        began = virtual_hub.now()
        self.assertFalse(other.node.stop(began + 20))
        self.assertLess(virtual_hub.now(), began + 20)
