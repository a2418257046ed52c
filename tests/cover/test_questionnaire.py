"""Questionnaires: validation, generated configurations and their hash, examples."""

import copy
import json
import unittest
from pathlib import Path

from persimmonspoke.errors import (
    ConfigurationEdited,
    InvalidSettings,
    UnsafeChange,
)
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.checked_yaml import load_checked
from persimmonspoke.internal.questionnaire.canonical import (
    config_from_value,
    config_to_value,
    from_text,
    to_text,
)
from persimmonspoke.internal.questionnaire.configuration import Measure, Precedence
from persimmonspoke.internal.questionnaire.generate import (
    generate,
    questionnaire_target_id,
    shard_count_for,
)
from persimmonspoke.internal.questionnaire.questions import (
    Questionnaire,
    read_questionnaire,
)

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
TARGETS = {
    "id_prefix": "t",
    "count": 4,
    "first_ip": "10.0.0.1",
    "first_port": 9000,
    "data_centres": ["east", "west"],
    "slots": 3,
    "connections": 110,
    "checks_fence": True,
}
DESK = {
    "name": "desk",
    "path_prefix": "/desk/",
    "divided_by_key": True,
    "key": {"source": "path", "segment": 0},
    "precedence": "normal",
    "wait_ms": 2000,
    "target_ranges": [TARGETS],
}
LOG = {
    **DESK,
    "name": "log",
    "path_prefix": "/log/",
    "divided_by_key": False,
    "key": None,
    "target_ranges": [{**TARGETS, "id_prefix": "l", "first_port": 9001}],
}
ANSWERS = {"team": "demo", "weighs_most": "churn", "services": [DESK, LOG]}


def answers(**desk):
    """Return a questionnaire; `desk` overrides fields of its first service."""
    raw = copy.deepcopy(ANSWERS)
    raw["services"][0].update(desk)
    return Questionnaire.model_validate(raw)


def desk_of(config):
    """Return the service that is divided by key."""
    return next(entry for entry in config.services if entry.service == "desk")


def faults_of(text, model=Questionnaire):
    """Return the faults of a YAML document by path."""
    try:
        load_checked(model, text, "q.yaml")
    except InvalidSettings as exc:
        for fault in exc.faults:
            assert str(fault) in str(exc)
        return {fault.path: fault for fault in exc.faults}
    return {}


class TestQuestions(unittest.TestCase):
    def test_faults_of_fields_and_between_fields_are_reported_together(self):
        found = faults_of(
            """
            team: demo
            weighs_most: speed
            services:
              - name: desk
                path_prefix: /desk/
                divided_by_key: true
                precedence: top
                wait_ms: true
                colour: red
                targets:
                  - &no {id: t, ip: 10.0.0.300, port: 0, data_centre: e, slots: 1,
                     connections: 1, checks_fence: 1}
              - name: desk
                path_prefix: /desk/../x/
                divided_by_key: false
                key: {source: query, segment: 1}
                precedence: low
                wait_ms: 5
                target_ranges:
                  - {id_prefix: t, count: 9, first_ip: 10.0.0.1, first_port: 65530,
                     numbered_by: port, data_centres: [], slots: 1, connections: 1,
                     checks_fence: false}
            """
        )
        first, second = "services[0]", "services[1]"
        ranged = f"{second}.target_ranges[0]"
        expected = {
            "weighs_most",
            f"{first}.key",
            f"{first}.precedence",
            f"{first}.wait_ms",
            f"{first}.colour",
            f"{first}.targets[0].ip",
            f"{first}.targets[0].port",
            f"{first}.targets[0].checks_fence",
            f"{second}.name",
            f"{second}.path_prefix",
            f"{second}.key",
            f"{second}.key.segment",
            f"{second}.key.name",
            f"{ranged}.first_port",
            f"{ranged}.data_centres",
        }
        self.assertEqual(set(found), expected)
        self.assertEqual(found[f"{first}.precedence"].value, "'top'")
        self.assertEqual(
            found[f"{first}.precedence"].remedy, "write one of high, normal, low"
        )

    def test_prefixes_may_not_overlap(self):
        raw = copy.deepcopy(ANSWERS)
        raw["services"][1]["path_prefix"] = "/desk/log/"
        with self.assertRaises(InvalidSettings) as caught:
            load_checked(Questionnaire, json.dumps(raw), "q")
        paths = [fault.path for fault in caught.exception.faults]
        self.assertEqual(paths, ["services[1].path_prefix"])

    def test_targets_may_share_neither_id_nor_address(self):
        raw = copy.deepcopy(ANSWERS)
        raw["services"][1]["target_ranges"][0].update(id_prefix="t", first_port=9000)
        with self.assertRaises(InvalidSettings) as caught:
            load_checked(Questionnaire, json.dumps(raw), "q")
        remedies = {fault.remedy for fault in caught.exception.faults}
        self.assertEqual(len(caught.exception.faults), 8)
        self.assertEqual(len(remedies), 2)

    def test_text_that_is_not_plain_yaml_is_refused(self):
        texts = (
            "[1",
            "a: &x [1]\nb: *x",
            "team: a\nteam: b",
            "[" * 5000,
            "a: !!bool x",
            "!!python/object:os.system x",
            "a: 2020-99-99",
            "? [1]\n: 2",
            "a: " + "9" * 5000,
            "\x00",
        )
        for text in texts:
            with self.subTest(text[:20]):
                found = faults_of(text)
                self.assertEqual(list(found), ["(whole document)"])
                self.assertIn("YAML", found["(whole document)"].value)

    def test_a_document_that_is_not_a_mapping_is_refused(self):
        for text in ("", "5", "[1]"):
            with self.subTest(text):
                self.assertEqual(list(faults_of(text)), ["(whole document)"])

    def test_secrets_are_not_shown_in_faults(self):
        found = faults_of("ip: 10.0.0.1\noperator_token: short-one", AdminSettings)
        self.assertEqual(list(found), ["operator_token"])
        self.assertNotIn("short-one", str(found["operator_token"]))

    def test_targets_of_a_range_are_assigned_to_data_centres_in_turn(self):
        targets = answers().services[0].all_targets()
        rows = [(t.id, t.ip, t.port, t.data_centre) for t in targets]
        self.assertEqual(rows[0], ("t-01", "10.0.0.1", 9000, "east"))
        self.assertEqual(rows[3], ("t-04", "10.0.0.4", 9000, "west"))

    def test_writing_methods_are_protected_unless_configured_otherwise(self):
        protected = desk_of(generate(answers(), None)).protects
        self.assertEqual(
            [protected(m) for m in ("GET", "HEAD", "POST", "DELETE", "LOCK")],
            [False, False, True, True, True],
        )
        fewer_protected = desk_of(generate(answers(treat_as_idempotent=["PUT"]), None))
        self.assertEqual(fewer_protected.protected_methods, ("DELETE", "PATCH", "POST"))
        listed = desk_of(generate(answers(protected_methods=["GET"]), None))
        self.assertEqual(listed.protected_methods, ("GET",))


class TestGeneration(unittest.TestCase):
    def test_equal_answers_give_equal_text_whatever_their_order(self):
        raw = copy.deepcopy(ANSWERS)
        raw["services"].reverse()
        reversed_answers = Questionnaire.model_validate(raw)
        first, second = generate(answers(), None), generate(reversed_answers, None)
        self.assertEqual(first.services, second.services)
        self.assertEqual(to_text(first), to_text(generate(answers(), None)))

    def test_shards_are_a_power_of_two_within_bounds(self):
        counts = [shard_count_for(n) for n in (1, 16, 17, 1000, 9999)]
        self.assertEqual(counts, [1024, 1024, 2048, 65536, 65536])

    def test_the_shard_count_stays_when_targets_are_added(self):
        first = generate(answers(), None)
        grown = answers(target_ranges=[{**TARGETS, "count": 100}])
        self.assertEqual(desk_of(generate(grown, None)).shard_count, 8192)
        second = generate(grown, first)
        self.assertEqual(second.generation, 2)
        self.assertEqual(desk_of(second).shard_count, desk_of(first).shard_count)
        self.assertEqual(len(desk_of(second).targets), 100)

    def test_a_removed_service_that_returns_keeps_its_shard_count(self):
        first = generate(answers(), None)
        without = Questionnaire.model_validate({**ANSWERS, "services": [LOG]})
        second = generate(without, first)
        third = generate(without, second)
        grown = answers(target_ranges=[{**TARGETS, "count": 100}])
        fourth = generate(grown, third)
        self.assertEqual(desk_of(fourth).shard_count, desk_of(first).shard_count)
        self.assertEqual(fourth.retired, ())

    def test_a_change_of_a_services_key_is_refused(self):
        first = generate(answers(), None)
        without = Questionnaire.model_validate({**ANSWERS, "services": [LOG]})
        second = generate(without, first)
        others = (
            answers(key={"source": "path", "segment": 1}),
            answers(key={"source": "query", "name": "id"}),
            answers(divided_by_key=False, key=None),
        )
        for changed in others:
            for previous in (first, second):
                with self.assertRaises(UnsafeChange) as caught:
                    generate(changed, previous)
                self.assertEqual(caught.exception.faults[0].path, "services.desk.key")

    def test_a_target_id_identifies_one_process_only(self):
        first = desk_of(generate(answers(), None))
        moved = answers(target_ranges=[{**TARGETS, "first_port": 9009}])
        unfenced = answers(target_ranges=[{**TARGETS, "checks_fence": False}])
        slower = answers(target_ranges=[{**TARGETS, "slots": 1}])
        ids = {target.target_id for target in first.targets}
        for other in (moved, unfenced):
            found = desk_of(generate(other, None)).targets
            self.assertTrue(ids.isdisjoint(target.target_id for target in found))
        same = desk_of(generate(slower, None)).targets
        self.assertEqual(ids, {target.target_id for target in same})
        self.assertEqual(questionnaire_target_id(first.targets[0].target_id), "t-01")


class TestContentHash(unittest.TestCase):
    def test_an_edited_configuration_is_refused(self):
        text = to_text(generate(answers(), None))
        self.assertEqual(to_text(from_text(text, "c.yaml")), text)
        edits = (
            ("slots: 3", "slots: 30"),
            ("generation: 1", "generation: 7"),
            ("weight: 1\nservices", "services"),
            ("team: demo", "team: demo\nextra: 1"),
        )
        for old, new in edits:
            with self.subTest(new), self.assertRaises(ConfigurationEdited):
                self.assertIn(old, text)
                from_text(text.replace(old, new), "c.yaml")

    def test_a_value_of_another_form_is_refused(self):
        forged = config_to_value(generate(answers(), None))
        for value in (None, [], {}, {**forged, "content_hash": None}):
            with self.assertRaises(ConfigurationEdited):
                config_from_value(value)


class TestExamples(unittest.TestCase):
    # By service: number of targets, slots of each, whether it is divided by key,
    # precedence, precedence of protected requests.
    SIZES = {
        "laurentide": {
            "lookup-desk": (10, 3, True, Precedence.NORMAL, Precedence.NORMAL),
            "filing-log": (8, 3, False, Precedence.HIGH, Precedence.HIGH),
            "archive-feed": (10, 3, False, Precedence.LOW, Precedence.LOW),
        },
        "qoyan": {
            "inventory": (12, 2, True, Precedence.NORMAL, Precedence.NORMAL),
            "checkout": (6, 2, False, Precedence.HIGH, Precedence.HIGH),
            "ledger": (10, 2, False, Precedence.LOW, Precedence.HIGH),
        },
    }
    MEASURES = {"laurentide": Measure.UNAVAILABLE_TIME, "qoyan": Measure.IMBALANCE}
    DATA_CENTRES = {"laurentide": 4, "qoyan": 3}

    def test_the_committed_configurations_are_what_is_generated(self):
        for team in self.SIZES:
            folder = EXAMPLES / team
            text = (folder / "questionnaire.yaml").read_text()
            config = generate(read_questionnaire(text, team), None)
            committed = (folder / "configuration.yaml").read_text()
            self.assertEqual(to_text(config), committed)

    def test_both_deployments_have_their_sizes_and_precedences(self):
        for team, sizes in self.SIZES.items():
            text = (EXAMPLES / team / "configuration.yaml").read_text()
            config = from_text(text, team)
            found = {
                entry.service: (
                    len(entry.targets),
                    entry.targets[0].slots,
                    entry.divided,
                    entry.precedence_for(False),
                    entry.precedence_for(True),
                )
                for entry in config.services
            }
            self.assertEqual(found, sizes)
            self.assertEqual(config.measure, self.MEASURES[team])
            targets = [t for entry in config.services for t in entry.targets]
            centres = {target.data_centre for target in targets}
            self.assertEqual(len(centres), self.DATA_CENTRES[team])
            self.assertEqual({target.connections for target in targets}, {110})
            self.assertTrue(all(s.protects("POST") for s in config.services))
