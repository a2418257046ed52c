"""Acceptance of questionnaires with concurrent operators and lost responses."""

import unittest

import eventlet

from persimmonspoke.errors import (
    ApplyConflict,
    ConfigurationEdited,
    InvalidSettings,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    UnknownTeam,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.questionnaire.drains import Drains, all_targets
from persimmonspoke.internal.questionnaire.generate import generate
from persimmonspoke.internal.questionnaire.team_record import TeamRecord, read_config
from persimmonspoke.internal.questionnaire.teams import Teams
from tests.cover.test_questionnaire import TARGETS, answers
from tests.fakes.admin_api import StoreProcess
from tests.fakes.process import GateKind
from tests.fakes.store import LATENCY_S, WriteFate

CALL_S = 5


class TestApply(unittest.TestCase):
    def setUp(self):
        self.store_process = StoreProcess()
        self.teams = Teams(self.store_process.store, self.store_process.clock)
        self.lost = self.store_process.store.faults.lost
        self.other_process = self.store_process.with_same_store("b")
        self.other_operator = Teams(self.other_process.store, self.other_process.clock)

    def apply(self, expected, write_id=None, teams=None, **desk):
        """Apply a questionnaire, by `self.teams` unless `teams` is given."""
        deadline = Instant(self.store_process.clock.now() + CALL_S)
        teams = teams or self.teams
        return teams.apply("demo", answers(**desk), expected, deadline, write_id)

    def read(self):
        """Return the accepted record."""
        return self.teams.read("demo", Instant(self.store_process.clock.now() + CALL_S))

    def deadline(self, left_s=CALL_S):
        return Instant(self.store_process.clock.now() + left_s)

    def test_generations_follow_each_other(self):
        self.assertEqual(self.apply(0).generation, 1)
        self.assertEqual(self.apply(1, wait_ms=9).generation, 2)
        record = self.read()
        self.assertEqual(record.config.generation, 2)
        self.assertEqual(record.questionnaire, answers(wait_ms=9))
        self.assertEqual(len(record.recent_write_ids), 2)
        stored = self.store_process.platform.get("teams/demo")
        self.assertEqual(read_config(stored), record.config)

    def test_of_two_racing_operators_one_wins_and_one_sees_the_changes(self):
        self.apply(0)
        outcomes = []

        def operator(teams, wait_ms):
            try:
                outcomes.append(self.apply(1, teams=teams, wait_ms=wait_ms))
            except ApplyConflict as exc:
                outcomes.append(exc)

        pairs = ((self.teams, 7), (self.other_operator, 8))
        tasks = [eventlet.spawn(operator, *pair) for pair in pairs]
        for task in tasks:
            task.wait()
        accepted, conflict = sorted(
            outcomes, key=lambda row: isinstance(row, Exception)
        )
        self.assertEqual(accepted.generation, 2)
        self.assertEqual(conflict.generation, 2)
        change = conflict.changes[0]
        self.assertEqual(change.path, "services[desk].wait_ms")
        self.assertEqual({change.before, change.after}, {7, 8})
        self.assertEqual(self.read().config.services[0].wait_ms, change.before)

    def test_a_revision_of_another_generation_is_refused(self):
        self.apply(0)
        self.apply(1, wait_ms=9)
        for expected in (0, 1, 3):
            with self.assertRaises(ApplyConflict):
                self.apply(expected, wait_ms=10)
        self.assertEqual(self.read().config.generation, 2)

    def test_a_lost_answer_is_resolved_by_reading_the_object(self):
        self.lost.append(WriteFate.AFTER_EFFECT)
        self.assertEqual(self.apply(0).generation, 1)
        self.assertEqual(self.store_process.platform.revision, 1)

    def test_a_dropped_write_is_repeated(self):
        self.lost.extend([WriteFate.BEFORE_EFFECT] * 3)
        self.assertEqual(self.apply(0).generation, 1)

    def test_a_write_that_was_replaced_before_it_was_read_back_is_recognised(self):
        self.lost.append(WriteFate.AFTER_EFFECT)
        other_operator = eventlet.spawn_after(
            0.01, self.apply, 1, teams=self.other_operator, wait_ms=9
        )
        done = self.apply(0)
        self.assertEqual((done.generation, done.replaced), (1, True))
        self.assertEqual(other_operator.wait().generation, 2)

    def test_a_lost_write_that_never_happened_is_a_conflict_if_another_wins(self):
        self.lost.append(WriteFate.BEFORE_EFFECT)
        other_operator = eventlet.spawn_after(
            0.01, self.apply, 0, teams=self.other_operator, wait_ms=9
        )
        with self.assertRaises(ApplyConflict):
            self.apply(0)
        self.assertEqual(other_operator.wait().generation, 1)
        self.assertEqual(self.read().questionnaire, answers(wait_ms=9))

    def test_a_host_that_freezes_before_its_write_changes_nothing_later(self):
        self.apply(0)
        outcomes = []

        def operator():
            try:
                outcomes.append(self.apply(1, wait_ms=7))
            except StoreError as exc:
                outcomes.append(exc)

        frozen = eventlet.spawn(operator)
        eventlet.sleep(LATENCY_S / 2)
        # The read has been sent, so the process pauses just before it sends the write.
        self.store_process.process.pause_at(GateKind.STORE)
        eventlet.sleep(1)
        self.assertTrue(self.store_process.process.paused)
        self.apply(1, teams=self.other_operator, wait_ms=8)
        self.apply(2, teams=self.other_operator, wait_ms=9)
        eventlet.sleep(3600)
        self.store_process.process.resume()
        frozen.wait()
        self.assertIsInstance(outcomes[0], StoreOutcomeUnknown)
        self.assertEqual(self.read().config.generation, 3)

    def test_a_write_that_takes_effect_late_reverts_nothing(self):
        self.apply(0)
        self.lost.extend([WriteFate.LATE_EFFECT] * 1000)
        with self.assertRaises(StoreOutcomeUnknown):
            self.apply(1, wait_ms=7)
        self.lost.clear()
        self.apply(1, teams=self.other_operator, wait_ms=8)
        eventlet.sleep(3600)
        self.assertEqual(self.read().config.generation, 2)
        self.assertEqual(self.read().questionnaire, answers(wait_ms=8))

    def test_an_outcome_that_cannot_be_read_is_reported_as_unknown(self):
        self.lost.extend([WriteFate.BEFORE_EFFECT] * 1000)
        with self.assertRaises(StoreOutcomeUnknown):
            self.apply(0)

    def test_nothing_is_changed_while_the_store_is_down(self):
        self.store_process.platform.faults.down = True
        with self.assertRaises(StoreUnavailable):
            self.apply(0)

    def test_an_attempt_is_recognised_after_later_generations(self):
        self.apply(0, write_id="first")
        for generation in range(1, 6):
            self.apply(generation, wait_ms=generation)
        done = self.apply(0, write_id="first")
        self.assertEqual((done.generation, done.replaced), (1, True))
        self.assertEqual(self.read().config.generation, 6)

    def test_only_the_last_writes_are_remembered(self):
        for generation in range(20):
            self.apply(generation, write_id=str(generation), wait_ms=generation + 1)
        expected = tuple(str(number) for number in range(4, 20))
        self.assertEqual(self.read().recent_write_ids, expected)

    def test_the_same_answers_make_no_new_generation(self):
        self.apply(0)
        self.assertEqual(self.apply(1).generation, 1)
        self.assertEqual(self.apply(0).generation, 1)
        with self.assertRaises(ApplyConflict):
            self.apply(5)
        self.assertEqual(self.store_process.platform.revision, 1)

    def test_answers_of_another_team_are_refused(self):
        with self.assertRaises(InvalidSettings):
            self.teams.apply("other", answers(), 0, self.deadline())
        with self.assertRaises(InvalidSettings):
            self.teams.diff("other", answers(), self.deadline())
        self.assertEqual(self.store_process.objects(), {})

    def test_answers_beyond_what_the_store_holds_are_refused(self):
        many = [
            {
                "id_prefix": f"r{number}",
                "count": 2000,
                "first_ip": f"10.{number}.0.1",
                "first_port": 9000,
                "data_centres": ["east"],
                "slots": 1,
                "connections": 1,
                "checks_fence": True,
            }
            for number in range(4)
        ]
        with self.assertRaisesRegex(InvalidSettings, "1000000 for each team"):
            self.apply(0, target_ranges=many)

    def test_reading_an_unknown_team_raises(self):
        with self.assertRaises(UnknownTeam):
            self.read()

    def test_the_diff_of_a_new_team_names_every_answer(self):
        generation, changes = self.teams.diff("demo", answers(), self.deadline())
        self.assertEqual(generation, 0)
        self.assertTrue(all(change.before is None for change in changes))
        self.assertIn("team", {change.path for change in changes})


class TestStoredTeam(unittest.TestCase):
    def test_an_object_changed_by_other_means_is_refused(self):
        store_process = StoreProcess()
        teams = Teams(store_process.store, store_process.clock)
        deadline = Instant(store_process.clock.now() + CALL_S)
        teams.apply("demo", answers(), 0, deadline)
        good = store_process.platform.get("teams/demo")
        other = answers(wait_ms=9).model_dump(mode="json")
        edits = (
            {"generation": 8},
            {"team": "other"},
            {"questionnaire": other},
            {"questionnaire": None},
            {"config": {**good.value["config"], "generation": 8}},
            {"config": None},
            {"config": {**good.value["config"], "content_hash": "0"}},
            {"recent_write_ids": None},
        )
        for edit in edits:
            with self.subTest(list(edit)):
                version = store_process.platform.get("teams/demo").version
                bad = store_process.platform.put(
                    "teams/demo", {**good.value, **edit}, version
                )
                with self.assertRaises(ConfigurationEdited):
                    TeamRecord.from_stored(bad)
                with self.assertRaises(ConfigurationEdited):
                    teams.apply("demo", answers(wait_ms=5), 1, deadline)
                self.assertEqual(store_process.platform.get("teams/demo"), bad)


class TestDrains(unittest.TestCase):
    def setUp(self):
        self.store_process = StoreProcess()
        self.drains = Drains(self.store_process.store, self.store_process.clock)
        self.config = generate(answers(), None)
        # In sorted order the last ones belong to the service that is changed below.
        *_, self.b, self.a = sorted(all_targets(self.config))

    def deadline(self, left_s=CALL_S):
        return Instant(self.store_process.clock.now() + left_s)

    def test_racing_operators_drain_both_targets(self):
        tasks = [
            eventlet.spawn(self.drains.drain, self.config, target, self.deadline())
            for target in (self.a, self.b)
        ]
        for task in tasks:
            task.wait()
        drained = self.drains.read("demo", self.deadline())
        self.assertEqual(drained, frozenset((self.a, self.b)))

    def test_a_lost_answer_changes_nothing_about_the_outcome(self):
        self.store_process.store.faults.lost.append(WriteFate.AFTER_EFFECT)
        self.drains.drain(self.config, self.a, self.deadline())
        self.store_process.store.faults.lost.append(WriteFate.AFTER_EFFECT)
        left = self.drains.undrain(self.config, self.a, self.deadline())
        self.assertEqual(left, frozenset())
        self.assertEqual(self.drains.read("demo", self.deadline()), left)

    def test_targets_that_no_longer_exist_are_removed(self):
        self.drains.drain(self.config, self.a, self.deadline())
        changed = generate(answers(target_ranges=[{**TARGETS, "first_port": 1}]), None)
        other = max(all_targets(changed))
        left = self.drains.drain(changed, other, self.deadline())
        self.assertEqual(left, frozenset((other,)))

    def test_draining_twice_writes_once(self):
        for _ in range(2):
            self.drains.drain(self.config, self.a, self.deadline())
        self.assertEqual(self.store_process.platform.revision, 1)

    def test_an_expired_deadline_changes_nothing(self):
        with self.assertRaises(StoreUnavailable):
            self.drains.drain(self.config, self.a, self.deadline(0))
        self.assertEqual(self.store_process.objects(), {})
