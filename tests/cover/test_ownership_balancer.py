"""Moves of shards by the load that all hosts report."""

import unittest
from collections import Counter

import eventlet

from persimmonspoke.internal.ownership.balancer import MIN_RATE
from persimmonspoke.internal.questionnaire.configuration import Measure
from tests.fakes.cluster import SERVICE, TEAM, FakeCluster

SPAN_S = 40.0
STEP_S = 0.01
REQUESTS_PER_STEP = 2


class TestBalancer(unittest.TestCase):
    def setUp(self):
        self.cluster = FakeCluster(hosts=3, targets=3, shards=24, page=8)
        self.addCleanup(self.cluster.close)
        eventlet.sleep(6)

    def owners(self):
        host = next(iter(self.cluster.hosts.values()))
        return host.node.routes.owners(TEAM, SERVICE)

    def hottest_share(self, hot):
        """Return the share of the hot shards that one target owns at most."""
        counts = Counter(self.owners()[shard] for shard in hot)
        return max(counts.values()) / len(hot)

    def load(self, shards, span_s):
        """Count requests for `shards` at all hosts in turn."""
        hosts = [host.node for host in self.cluster.hosts.values()]
        services = hosts[0].configs.divided()
        service = services[(TEAM, SERVICE)]
        routes = self.routes(service, shards)
        for step in range(int(span_s / STEP_S)):
            for number in range(REQUESTS_PER_STEP):
                turn = step * REQUESTS_PER_STEP + number
                node = hosts[turn % len(hosts)]
                node.balancer.count(routes[turn % len(routes)])
            eventlet.sleep(STEP_S)

    def routes(self, service, shards):
        """Return one route to each of `shards`."""
        table = next(iter(self.cluster.hosts.values())).node.routes
        found = {}
        number = 0
        while set(shards) - set(found):
            route = table.find(TEAM, service, f"k{number}")
            found.setdefault(route.shard, route)
            number += 1
        return [found[shard] for shard in shards]

    def test_hot_shards_of_one_target_are_spread_over_all(self):
        first = min(self.owners().values())
        hot = [shard for shard, owner in self.owners().items() if owner == first][:6]
        self.assertEqual(self.hottest_share(hot), 1.0)
        self.assertGreater(REQUESTS_PER_STEP / STEP_S, MIN_RATE * 3)
        self.load(hot, SPAN_S)
        self.assertLessEqual(self.hottest_share(hot), 0.5)
        measure = next(iter(self.cluster.hosts.values())).node.configs
        self.assertIs(measure.measure((TEAM, SERVICE)), Measure.UNAVAILABLE_TIME)

    def test_without_load_nothing_moves(self):
        before = self.owners()
        eventlet.sleep(SPAN_S)
        self.assertEqual(self.owners(), before)
