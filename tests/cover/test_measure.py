"""The measuring tools: format of their rows, determinism and bounds."""

import importlib
import json
import unittest

from tools.measure import __main__ as measure
from tools.measure import churn
from tools.measure.keyed_load import KeyedLoad
from tools.measure.queue_model import (
    FirstComeRandom,
    LentPermits,
    Stream,
    Targets,
    simulate,
)
from tools.measure.rows import MeasureRow
from tools.measure.sites import QOYAN

from tests.fakes.scheduling_fleet import make_service, make_team


def served(strategy, rate, seconds=1.0):
    """Return the tally and the targets after `seconds` of requests."""
    service = make_service(targets=2, slots=2)
    targets = Targets(service)
    model = strategy(3, [make_team(service)], targets, 1)
    stream = Stream("laurentide", service, rate)
    return simulate(model, 3, [stream], seconds, 1)[0], targets


class TestRows(unittest.TestCase):
    def test_a_row_is_one_line_of_json_with_the_agreed_fields(self):
        row = json.loads(MeasureRow("s", "m", 1.5, "ms").line())
        fields = "scenario measure value unit target baseline baseline_value"
        self.assertEqual(list(row), fields.split())

    def test_every_listed_module_offers_rows(self):
        for path in measure.MODULES:
            self.assertTrue(callable(importlib.import_module(path).rows))

    def test_rows_are_the_same_on_every_run(self):
        loads = churn._uneven_loads()
        first = [row.line() for row in churn._join_rows(QOYAN, loads, "uneven")]
        again = [row.line() for row in churn._join_rows(QOYAN, loads, "uneven")]
        self.assertEqual(first, again)


class TestQueueModel(unittest.TestCase):
    def test_the_same_seed_gives_the_same_waits(self):
        first, again = (served(LentPermits, 180)[0].waits for _ in range(2))
        self.assertTrue(first)
        for one, other in zip(first, again, strict=True):
            self.assertAlmostEqual(one, other, places=6)

    def test_lent_slots_are_never_exceeded_and_random_choice_is_shed(self):
        self.assertEqual(served(LentPermits, 180)[1].sheds, 0)
        self.assertGreater(served(FirstComeRandom, 180)[1].sheds, 0)

    def test_overload_is_seen_as_requests_not_served(self):
        tally, _ = served(LentPermits, 800)
        self.assertLess(tally.share_in_time(), 0.6)


class TestKeyedLoad(unittest.TestCase):
    def test_no_placement_is_better_than_the_bound(self):
        load = KeyedLoad(3)
        self.assertGreaterEqual(
            load.busiest_share(lambda key: key % 10), load.min_busiest_share(10)
        )
        self.assertAlmostEqual(sum(load.shares), 1.0)
