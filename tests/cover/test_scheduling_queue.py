"""Whose turn is next, and who is shed."""

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


class _Line:
    """A queue whose entries are named, to see in which order they leave."""

    def __init__(self, max_waiting=100):
        self.queue = WaitingQueue(max_waiting)
        self.names = {}

    def push(self, name, service, key=None, team="laurentide", start_by=10.0):
        entry = Entry(make_ticket(service, key, team=team), HERE, start_by)
        self.names[entry] = name
        self.queue.push(entry)
        return entry

    def pop_all(self, now=0.0):
        out = []
        while (entry := self.queue.pop({"t:1"}, now)) is not None:
            self.queue.started(self.queue.usage_of(entry.ticket))
            out.append(self.names[entry])
        return out


class TestOrder(unittest.TestCase):
    def test_higher_precedence_goes_first(self):
        line = _Line()
        for name, service in (("a", ARCHIVE), ("l", LOOKUP), ("f", FILING)):
            line.push(name, service)
        self.assertEqual(line.pop_all(), ["f", "l", "a"])

    def test_a_hot_key_waits_behind_itself(self):
        line = _Line()
        for number in range(3):
            line.push(f"hot{number}", LOOKUP, key="hot")
        line.push("cool", LOOKUP, key="cool")
        self.assertEqual(line.pop_all(), ["hot0", "cool", "hot1", "hot2"])

    def test_one_teams_urgent_storm_leaves_another_team_its_share(self):
        line = _Line()
        for _ in range(4):
            line.push("storm", FILING)
        for _ in range(2):
            line.push("other", LOOKUP, team="qoyan")
        out = line.pop_all()
        self.assertEqual(out[:4].count("other"), 2)

    def test_teams_share_by_weight(self):
        line = _Line()
        line.queue.team_weights = {"laurentide": 3, "qoyan": 1}
        for _ in range(8):
            line.push("l", LOOKUP)
            line.push("q", LOOKUP, team="qoyan")
        self.assertEqual(line.pop_all()[:8].count("l"), 6)

    def test_services_of_one_precedence_share_by_weight(self):
        line = _Line()
        heavy = make_service("heavy", weight=2)
        for _ in range(6):
            line.push("heavy", heavy)
            line.push("light", LOOKUP)
        self.assertEqual(line.pop_all()[:6].count("heavy"), 4)

    def test_a_request_that_is_too_late_is_passed_over(self):
        line = _Line()
        line.push("late", FILING, start_by=1.0)
        line.push("in time", FILING)
        self.assertEqual(line.pop_all(now=2.0), ["in time"])


class TestShedding(unittest.TestCase):
    def test_the_lowest_precedence_is_shed_first(self):
        line = _Line(max_waiting=2)
        archive = line.push("a", ARCHIVE)
        filing = line.push("f1", FILING)
        line.push("f2", FILING)
        self.assertIs(archive.state, EntryState.SHED)
        self.assertIs(filing.state, EntryState.WAITING)

    def test_a_newcomer_of_the_lowest_precedence_is_shed_itself(self):
        line = _Line(max_waiting=1)
        line.push("f", FILING)
        self.assertIs(line.push("a", ARCHIVE).state, EntryState.SHED)

    def test_the_crowding_team_is_shed_even_if_its_requests_are_urgent(self):
        line = _Line(max_waiting=4)
        storm = [line.push("storm", FILING) for _ in range(4)]
        other = line.push("other", ARCHIVE, team="qoyan")
        self.assertIs(other.state, EntryState.WAITING)
        self.assertIs(storm[-1].state, EntryState.SHED)
        self.assertEqual(len(line.queue), 4)


class TestRetryBudget(unittest.TestCase):
    def test_retries_stay_at_their_share_of_first_tries(self):
        budget = RetryBudget(SchedulingSettings(retry_share=0.1))
        retries = 0
        for _ in range(1000):
            budget.count_attempt()
            while budget.try_take():
                retries += 1
                budget.count_attempt()
        self.assertLessEqual(retries, 100)
        self.assertGreaterEqual(retries, 95)

    def test_saved_up_retries_are_bounded(self):
        budget = RetryBudget(SchedulingSettings(retry_share=0.1, retry_burst=5))
        for _ in range(10_000):
            budget.count_attempt()
        self.assertEqual(sum(budget.try_take() for _ in range(100)), 4)


class TestDivision(unittest.TestCase):
    def test_nobody_gets_more_than_it_wants_and_nothing_is_wasted(self):
        shares = divide(10, {"a": 2, "b": 20, "c": 20}, {"a": 1, "b": 3, "c": 1})
        self.assertEqual(shares, {"a": 2, "b": 6, "c": 2})

    def test_the_remainder_goes_by_order(self):
        shares = divide_evenly(5, {"a": 9, "b": 1, "c": 9}, ("c", "b", "a"))
        self.assertEqual(shares, {"a": 2, "b": 1, "c": 2})
        shares = divide_evenly(2, {"a": 9, "b": 9, "c": 9}, ("c", "b", "a"))
        self.assertEqual(shares, {"a": 0, "b": 1, "c": 1})


class TestGroups(unittest.TestCase):
    def test_owners_of_keys_stand_alone_and_replicas_are_pooled(self):
        desk = make_service("desk", targets=2, shard_count=64)
        groups = make_groups([make_team(desk, make_service("filing", targets=3))])
        self.assertEqual(sorted(len(group.slots) for group in groups), [1, 1, 3])

    def test_an_endpoint_of_two_teams_has_one_set_of_slots(self):
        one = make_team(make_service("filing", targets=2))
        two = make_team(make_service("filing", targets=3, slots=2), team="qoyan")
        groups = make_groups([two, one])
        self.assertEqual(groups, make_groups([one, two]))
        self.assertEqual(sorted(groups[0].slots.values()), [2, 2, 2])
