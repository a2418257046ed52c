"""The planner of shard owners, hot keys, and the loads of shards."""

import random
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from persimmonspoke.internal.ownership.page import NO_TARGET
from persimmonspoke.internal.placement.hot_keys import HotKeys
from persimmonspoke.internal.placement.loads import ShardLoads, merge
from persimmonspoke.internal.placement.planner import (
    POLICIES,
    initial_owners,
    peak_load_lower_bound,
    plan,
)
from persimmonspoke.internal.placement.view import (
    PlacementView,
    TargetState,
    TargetView,
)
from persimmonspoke.internal.questionnaire.configuration import Measure
from tests.fakes.scheduling_fleet import make_service


def targets_of(count, **states):
    """Return targets named t0, t1, and so on; live except where `states` says."""
    return [
        TargetView(f"t{n}", state=states.get(f"t{n}", TargetState.LIVE))
        for n in range(count)
    ]


def settle(measure, owners, loads, targets):
    """Plan in rounds until nothing moves; return the owners and all moves."""
    owners, all_moves = list(owners), []
    for number in range(100):
        view = PlacementView(measure, 1000.0 * number, owners, loads, targets)
        moves = plan(view)
        if not moves:
            return owners, all_moves
        all_moves += moves
        for move in moves:
            owners[move.shard] = move.target
    raise AssertionError("the planner does not converge")


def imbalance(owners, loads, targets):
    """Return the busiest target's load relative to its lower bound."""
    owned = {}
    for owner, load in zip(owners, loads, strict=True):
        owned[owner] = owned.get(owner, 0) + load
    return max(owned.values()) / peak_load_lower_bound(loads, targets)


class TestPlan(unittest.TestCase):
    def setUp(self):
        self.targets = targets_of(10)
        service = make_service(targets=10, shard_count=1000)
        names = [f"t{n}" for n in range(10)]
        owned = initial_owners(service, service.targets)
        self.owners = [names[int(owner.rpartition("-")[2])] for owner in owned]

    def plan(self, measure=Measure.IMBALANCE, loads=None, **changes):
        values = dict(
            measure=measure,
            now=0.0,
            owners=self.owners,
            loads=loads or [1.0] * 1000,
            targets=self.targets,
        )
        return plan(PlacementView(**(values | changes)))

    def test_the_first_assignment_is_even(self):
        counts = [self.owners.count(f"t{n}") for n in range(10)]
        self.assertEqual(counts, [100] * 10)

    def test_nothing_moves_while_the_load_is_even(self):
        for measure in Measure:
            self.assertEqual(self.plan(measure), ())

    def test_small_differences_move_nothing(self):
        rng = random.Random(3)
        loads = [rng.uniform(0.8, 1.2) for _ in range(1000)]
        for measure in Measure:
            self.assertEqual(self.plan(measure, loads), ())

    def test_shards_of_a_lost_target_go_to_all_others_and_no_other_moves(self):
        for measure in Measure:
            moves = self.plan(measure, targets=self.targets[1:])
            self.assertEqual(len(moves), 100)
            self.assertTrue(all(move.forced for move in moves))
            self.assertEqual(len({move.target for move in moves}), 9)

    def test_a_leaving_target_loses_all_shards_and_receives_none(self):
        targets = targets_of(10, t3=TargetState.LEAVING)
        owners, moves = settle(Measure.CHURN, self.owners, [1.0] * 1000, targets)
        self.assertNotIn("t3", owners)
        self.assertEqual(len(moves), 100)

    def test_a_target_that_joins_gets_at_most_its_share(self):
        for measure in Measure:
            targets = targets_of(11)
            owners, moves = settle(measure, self.owners, [1.0] * 1000, targets)
            self.assertLessEqual(len(moves), 1000 // 11 + 1)
            self.assertGreaterEqual(owners.count("t10"), 45)

    def test_a_cold_target_gets_less(self):
        targets = [*self.targets, TargetView("cold", capacity=0.25)]
        owners, _ = settle(Measure.IMBALANCE, self.owners, [1.0] * 1000, targets)
        self.assertIn(owners.count("cold"), range(15, 30))

    def test_a_hot_shard_ends_up_nearly_alone_when_imbalance_weighs_most(self):
        loads = [1.0] * 1000
        loads[7] = 400.0
        owners, _ = settle(Measure.IMBALANCE, self.owners, loads, self.targets)
        self.assertLess(imbalance(owners, loads, self.targets), 1.1)
        self.assertLess(owners.count(owners[7]), 30)

    def test_a_hot_shard_itself_stays_when_unavailable_time_weighs_most(self):
        loads = [1.0] * 1000
        loads[7] = 90.0
        moves = self.plan(Measure.UNAVAILABLE_TIME, loads)
        self.assertTrue(moves)
        self.assertNotIn(7, [move.shard for move in moves])

    def test_a_shard_that_has_just_moved_stays(self):
        loads = [1.0] * 1000
        loads[7], loads[17] = 60.0, 60.0
        loads[27] = 60.0
        moved_at = {shard: -1.0 for shard in range(1000)}
        self.assertEqual(self.plan(loads=loads, moved_at=moved_at), ())
        self.assertTrue(self.plan(loads=loads))

    def test_the_moves_of_a_round_are_limited_except_forced_ones(self):
        loads = [50.0 if n % 10 == 0 else 1.0 for n in range(1000)]
        for measure in Measure:
            moves = self.plan(measure, loads)
            self.assertLessEqual(len(moves), POLICIES[measure].max_moves)

    @seed(20)
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(
        st.sampled_from(Measure),
        st.lists(st.floats(0, 1000), min_size=1, max_size=120),
        st.integers(1, 12),
        st.sets(st.integers(0, 11)),
        st.randoms(use_true_random=False),
    )
    def test_any_plan_converges_with_each_shard_on_a_live_target(
        self, measure, loads, count, leaving, rng
    ):
        states = {f"t{n}": TargetState.LEAVING for n in leaving if n < count}
        targets = targets_of(count, **states)
        names = [entry.target_id for entry in targets]
        owners = [rng.choice([*names, NO_TARGET, "gone"]) for _ in loads]
        first = plan(PlacementView(measure, 0.0, owners, loads, targets))
        shards = [move.shard for move in first]
        self.assertEqual(len(shards), len(set(shards)))
        self.assertTrue(all(owners[move.shard] == move.source for move in first))
        live = {name for name in names if name not in states}
        if live:
            after, _ = settle(measure, owners, loads, targets)
            self.assertLessEqual(set(after), live)


class TestHotKeys(unittest.TestCase):
    def stream(self, rng, hot, seconds, start):
        """Yield keys and times: half of 500 requests a second for `hot` keys."""
        for number in range(int(500 * seconds)):
            key = rng.choice(hot) if rng.random() < 0.5 else f"k{rng.random()}"
            yield key, start + number / 500

    def test_a_new_set_of_82_hot_keys_is_found_within_half_a_minute(self):
        rng = random.Random(5)
        counter = HotKeys(512, 6.0, 0.0)
        for period in range(3):
            hot = [f"hot-{period}-{n}" for n in range(82)]
            for key, now in self.stream(rng, hot, 30, 30.0 * period):
                counter.add(key, now)
            top = {entry.key for entry in counter.top(82, 30.0 * (period + 1))}
            self.assertGreaterEqual(len(top & set(hot)), 78)
        self.assertEqual(len(counter), 512)

    def test_the_rates_are_upper_and_lower_bounds(self):
        rng = random.Random(6)
        counter = HotKeys(64, 10.0, 0.0)
        for key, now in self.stream(rng, ["hot"], 200, 0.0):
            counter.add(key, now)
        entry = counter.top(1, 200.0)[0]
        self.assertEqual(entry.key, "hot")
        self.assertLess(entry.min_rate, 300)
        self.assertGreater(entry.rate, 200)
        self.assertLess(entry.rate, 300)


class TestShardLoads(unittest.TestCase):
    def test_rates_follow_the_requests_and_decay(self):
        loads = ShardLoads(4, 10.0, 0.0)
        for number in range(20_000):
            loads.add(number % 2, number / 100)
        self.assertAlmostEqual(loads.rates(200.0)[0], 50, delta=3)
        self.assertAlmostEqual(loads.rates(210.0)[1], 25, delta=2)

    def test_reports_of_hosts_add_up(self):
        rng = random.Random(7)
        hosts = [ShardLoads(64, 10.0, 0.0) for _ in range(3)]
        for number in range(9000):
            shard = 5 if rng.random() < 0.5 else rng.randrange(64)
            hosts[number % 3].add(shard, number / 100)
        rates = [host.rates(90.0) for host in hosts]
        exact = [sum(parts) for parts in zip(*rates, strict=True)]
        merged = merge([host.report(8, 90.0) for host in hosts], 64)
        self.assertAlmostEqual(sum(merged), sum(exact), delta=0.01)
        self.assertAlmostEqual(merged[5], exact[5], delta=0.01)
