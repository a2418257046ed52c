"""Tests of the order of waiting requests, shedding, shares, and target groups."""

import unittest

from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.groups import Choice, make_groups
from persimmonspoke.internal.scheduling.queue import Entry, EntryState, WaitingQueue
from persimmonspoke.internal.scheduling.retry_budget import RetryBudget
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shares import divide, divide_evenly
from tests.fakes.scheduling_fleet import make_service, make_team, make_ticket

HERE = (Choice("t:1", "t"),)
FILING = make_service("filing", precedence=Precedence.HIGH)
LOOKUP = make_service("lookup")
ARCHIVE = make_service("archive", precedence=Precedence.LOW)


class _NamedQueue:
    """A queue with named entries, which shows the order in which they are popped."""

    def __init__(self, max_waiting=100):
        self.queue = WaitingQueue(max_waiting)
        self.names = {}

    def push(self, name, service, key=None, team="laurentide", start_by=10.0):
        entry = Entry(make_ticket(service, key, team=team), HERE, start_by)
        self.names[entry] = name
        self.queue.push(entry)
        return entry

    def pop_all(self, now=0.0):
        popped = []
        while (entry := self.queue.pop({"t:1"}, now)) is not None:
            self.queue.started(self.queue.usage_of(entry.ticket))
            popped.append(self.names[entry])
        return popped


class TestOrder(unittest.TestCase):
    def test_higher_precedence_goes_first(self):
        named = _NamedQueue()
        for name, service in (("a", ARCHIVE), ("l", LOOKUP), ("f", FILING)):
            named.push(name, service)
        self.assertEqual(named.pop_all(), ["f", "l", "a"])

    def test_keys_are_served_round_robin(self):
        named = _NamedQueue()
        for number in range(3):
            named.push(f"hot{number}", LOOKUP, key="hot")
        named.push("cool", LOOKUP, key="cool")
        self.assertEqual(named.pop_all(), ["hot0", "cool", "hot1", "hot2"])

    def test_one_teams_urgent_burst_leaves_another_team_its_share(self):
        named = _NamedQueue()
        for _ in range(4):
            named.push("storm", FILING)
        for _ in range(2):
            named.push("other", LOOKUP, team="qoyan")
        popped = named.pop_all()
        self.assertEqual(popped[:4].count("other"), 2)

    def test_teams_share_by_weight(self):
        named = _NamedQueue()
        named.queue.team_weights = {"laurentide": 3, "qoyan": 1}
        for _ in range(8):
            named.push("l", LOOKUP)
            named.push("q", LOOKUP, team="qoyan")
        self.assertEqual(named.pop_all()[:8].count("l"), 6)

    def test_services_of_one_precedence_share_by_weight(self):
        named = _NamedQueue()
        heavy = make_service("heavy", weight=2)
        for _ in range(6):
            named.push("heavy", heavy)
            named.push("light", LOOKUP)
        self.assertEqual(named.pop_all()[:6].count("heavy"), 4)

    def test_a_request_that_is_too_late_is_passed_over(self):
        named = _NamedQueue()
        named.push("late", FILING, start_by=1.0)
        named.push("in time", FILING)
        self.assertEqual(named.pop_all(now=2.0), ["in time"])


class TestShedding(unittest.TestCase):
    def test_the_lowest_precedence_is_shed_first(self):
        named = _NamedQueue(max_waiting=2)
        archive = named.push("a", ARCHIVE)
        filing = named.push("f1", FILING)
        named.push("f2", FILING)
        self.assertIs(archive.state, EntryState.SHED)
        self.assertIs(filing.state, EntryState.WAITING)

    def test_a_new_request_of_the_lowest_precedence_is_shed_itself(self):
        named = _NamedQueue(max_waiting=1)
        named.push("f", FILING)
        self.assertIs(named.push("a", ARCHIVE).state, EntryState.SHED)

    def test_the_team_with_most_waiting_requests_is_shed_even_if_they_are_urgent(self):
        named = _NamedQueue(max_waiting=4)
        burst = [named.push("storm", FILING) for _ in range(4)]
        other = named.push("other", ARCHIVE, team="qoyan")
        self.assertIs(other.state, EntryState.WAITING)
        self.assertIs(burst[-1].state, EntryState.SHED)
        self.assertEqual(len(named.queue), 4)


class TestRetryBudget(unittest.TestCase):
    def test_retries_stay_at_their_share_of_first_attempts(self):
        budget = RetryBudget(SchedulingSettings(retry_share=0.1))
        retries = 0
        for _ in range(1000):
            budget.count_attempt()
            while budget.try_take():
                retries += 1
                budget.count_attempt()
        self.assertLessEqual(retries, 100)
        self.assertGreaterEqual(retries, 95)

    def test_accumulated_retries_are_bounded(self):
        budget = RetryBudget(SchedulingSettings(retry_share=0.1, retry_burst=5))
        for _ in range(10_000):
            budget.count_attempt()
        self.assertEqual(sum(budget.try_take() for _ in range(100)), 4)


class TestDivision(unittest.TestCase):
    def test_no_share_exceeds_what_is_wanted_and_all_units_are_used(self):
        shares = divide(10, {"a": 2, "b": 20, "c": 20}, {"a": 1, "b": 3, "c": 1})
        self.assertEqual(shares, {"a": 2, "b": 6, "c": 2})

    def test_the_remainder_is_divided_by_order(self):
        shares = divide_evenly(5, {"a": 9, "b": 1, "c": 9}, ("c", "b", "a"))
        self.assertEqual(shares, {"a": 2, "b": 1, "c": 2})
        shares = divide_evenly(2, {"a": 9, "b": 9, "c": 9}, ("c", "b", "a"))
        self.assertEqual(shares, {"a": 0, "b": 1, "c": 1})


class TestGroups(unittest.TestCase):
    def test_owners_of_keys_form_their_own_groups_and_others_are_pooled(self):
        desk = make_service("desk", targets=2, shard_count=64)
        groups = make_groups([make_team(desk, make_service("filing", targets=3))])
        self.assertEqual(sorted(len(group.slots) for group in groups), [1, 1, 3])

    def test_an_endpoint_of_two_teams_has_one_set_of_slots(self):
        one = make_team(make_service("filing", targets=2))
        two = make_team(make_service("filing", targets=3, slots=2), team="qoyan")
        groups = make_groups([two, one])
        self.assertEqual(groups, make_groups([one, two]))
        self.assertEqual(sorted(groups[0].slots.values()), [2, 2, 2])
