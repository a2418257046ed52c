"""Tests of the rate limits that targets name in their answers."""

import unittest

from persimmonspoke.internal.targets.rate_limits import (
    MIN_LIMIT_PER_S,
    UNLIMITED,
    RateLimits,
)
from persimmonspoke.platform import headers
from tests.fakes.caller_parts import HubClock


class TestTheNewestStatement(unittest.TestCase):
    def setUp(self):
        self.limits = RateLimits(HubClock())

    def test_a_target_that_has_named_no_limit_is_unlimited(self):
        self.limits.record("a", UNLIMITED, "answer")
        self.assertEqual(self.limits.of("a"), UNLIMITED)
        self.assertFalse(self.limits.has_named("a"))

    def test_a_limit_holds_until_an_answer_names_none(self):
        self.limits.record("a", 6.3, "answer")
        self.assertEqual(self.limits.of("a"), 6.3)
        self.limits.record("a", UNLIMITED, "answer")
        self.assertEqual(self.limits.of("a"), UNLIMITED)

    def test_an_older_statement_does_not_replace_a_newer_one(self):
        self.limits.record("a", 6.3, "answer")
        self.limits.record("a", 12.0, "h2", age_s=2.0)
        self.assertEqual(self.limits.of("a"), 6.3)

    def test_a_limit_of_zero_lets_enough_through_to_notice_its_end(self):
        self.limits.record("a", 0.0, "answer")
        self.assertEqual(self.limits.of("a"), MIN_LIMIT_PER_S)

    def test_targets_that_left_are_forgotten(self):
        self.limits.record("a", 6.3, "answer")
        self.limits.record("b", 6.3, "answer")
        self.limits.retain(["b"])
        self.assertEqual(self.limits.of("a"), UNLIMITED)
        self.assertEqual(self.limits.limited_count(), 1)

    def test_each_change_is_logged_once_with_its_source_and_age(self):
        with self.assertLogs("persimmonspoke.internal.targets.rate_limits") as logs:
            self.limits.record("a", 6.3, "answer")
            self.limits.record("a", 6.3, "h2", age_s=0.0)
            self.limits.record("a", UNLIMITED, "h2")
        changes = [(r.source, r.before_per_s, r.limit_per_s) for r in logs.records]
        self.assertEqual(changes, [("answer", None, 6.3), ("h2", 6.3, None)])


class TestTheHeaderField(unittest.TestCase):
    def test_a_decimal_number_is_the_limit(self):
        self.assertEqual(headers.rate_limit({"Server-Limit": "6.25"}), 6.25)

    def test_no_field_means_no_limit(self):
        self.assertEqual(headers.rate_limit({}), UNLIMITED)

    def test_what_is_no_count_of_requests_is_reported_and_changes_nothing(self):
        for text in ("", "many", "-1", "nan", "inf", "1e999", "6.3, 6.3"):
            with self.subTest(text=text), self.assertLogs(headers.__name__):
                self.assertIsNone(headers.rate_limit({"Server-Limit": text}))


if __name__ == "__main__":
    unittest.main()
