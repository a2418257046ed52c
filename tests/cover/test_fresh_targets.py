"""Tests of when a host sends requests by its present list of targets."""

import unittest

import eventlet

from persimmonspoke.errors import DeadlinePassed, StoreUnavailable
from persimmonspoke.internal.news.updates import MAX_CHECK_S, StorePath
from persimmonspoke.internal.routing.fresh_targets import (
    AWAY_S,
    MAX_TRIES,
    FreshnessLimits,
    FreshTargets,
)
from tests.fakes.caller_parts import HubClock

BOUND_S = 2.0
LIMITS = FreshnessLimits.within(BOUND_S)
LIST_S = 0.05


class ScriptedSource:
    """A store whose listings take `LIST_S`, or fail as the test says."""

    def __init__(self, clock):
        self.clock = clock
        self.proven_at = clock.now()
        self.fails = self.breaks = self.away = False
        self.late_s = 0.0
        self.listed = 0
        self.applied = 0

    def targets_proven_at(self):
        """Return when the list was proven."""
        return self.proven_at

    def apply_targets(self):
        """Count the calls."""
        self.applied += 1

    def list_targets(self, timeout_s):
        """Prove the list, or fail after `timeout_s`."""
        self.listed += 1
        asked_at = self.clock.now()
        if self.breaks:
            raise ValueError("unexpected")
        if self.fails:
            eventlet.sleep(timeout_s)
            raise StoreUnavailable("no answer")
        eventlet.sleep(LIST_S)
        self.proven_at = asked_at

    def store_is_away(self):
        """Return what the test has set."""
        return self.away

    def late_since(self, since):
        """Return what the test has set."""
        return self.late_s


class FreshCase(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()
        self.source = ScriptedSource(self.clock)
        self.fresh = FreshTargets(LIMITS, self.clock, self.source)

    def wait(self, patience_s=1.0):
        """Wait like a request; return the seconds that it took."""
        began_at = self.clock.now()
        self.fresh.wait(began_at + patience_s)
        return self.clock.now() - began_at

    def age(self, age_s):
        self.source.proven_at = self.clock.now() - age_s


class TestNewLists(FreshCase):
    def test_a_request_does_not_wait_and_nothing_is_listed(self):
        self.age(LIMITS.ask_s - 0.01)
        self.assertEqual(self.wait(), 0.0)
        eventlet.sleep(0.1)
        self.assertEqual(self.source.listed, 0)

    def test_entries_that_have_arrived_are_in_force_before_a_send(self):
        self.assertTrue(self.fresh.may_send())
        self.assertEqual(self.source.applied, 1)

    def test_a_request_that_comes_shortly_before_the_limit_has_the_list_renewed(self):
        self.age(LIMITS.ask_s + 0.01)
        self.assertEqual(self.wait(), 0.0)
        eventlet.sleep(LIST_S + 0.01)
        self.assertEqual((self.source.listed, self.fresh.held), (1, 0))


# Guards against DRAIN: a host that was paused sends by the list that it had before.
class TestOldLists(FreshCase):
    def setUp(self):
        super().setUp()
        self.age(LIMITS.send_s + 0.01)

    def test_nothing_is_sent_by_them(self):
        self.assertFalse(self.fresh.may_send())
        self.source.proven_at = None
        self.assertFalse(self.fresh.may_send())

    def test_a_request_waits_for_one_listing(self):
        self.assertAlmostEqual(self.wait(), LIST_S)

    def test_requests_share_a_listing(self):
        tasks = [eventlet.spawn(self.wait) for _ in range(20)]
        self.assertLess(max(task.wait() for task in tasks), LIST_S + 0.01)
        self.assertEqual(self.source.listed, 1)

    def test_what_a_relay_proves_ends_the_wait(self):
        def prove():
            self.source.proven_at = self.clock.now()
            self.fresh.wake()

        eventlet.spawn_after(0.01, prove)
        self.assertAlmostEqual(self.wait(), 0.01)

    def test_a_request_is_refused_as_not_run_at_its_deadline(self):
        with self.assertRaises(DeadlinePassed):
            self.wait(patience_s=LIST_S / 2)


# Guards against requests that are lost while the store is away.
class TestStoreThatIsAway(FreshCase):
    def setUp(self):
        super().setUp()
        self.age(LIMITS.send_s + 0.01)
        self.source.fails = True

    def test_requests_are_sent_by_what_the_host_has(self):
        self.assertAlmostEqual(self.wait(), LIMITS.timeout_s)
        self.assertEqual(self.wait(), 0.0)
        self.source.fails, self.source.away = False, True
        eventlet.sleep(AWAY_S + 0.1)
        self.assertEqual(self.wait(), 0.0)

    def test_a_listing_begun_in_time_ends_before_requests_would_wait(self):
        self.age(LIMITS.ask_s + 0.001)
        until = self.clock.now() + 5.0
        while self.clock.now() < until:
            self.assertEqual(self.wait(), 0.0)
            self.source.away = self.clock.now() > until - 4.0
            eventlet.sleep(0.05)

    # Guards against a host that does nothing but list, and serves nobody.
    def test_a_listing_that_fails_unexpectedly_is_not_begun_again_at_once(self):
        self.source.breaks = True
        with self.assertLogs("persimmonspoke", "ERROR"):
            self.wait()
        self.assertEqual(self.source.listed, 1)

    # Guards against DRAIN: a host takes its own pause for the silence of the store.
    def test_a_host_that_was_late_itself_asks_again(self):
        self.source.late_s = 0.5

        def recover():
            self.source.fails = False

        eventlet.spawn_after(LIMITS.timeout_s - 0.01, recover)
        self.assertAlmostEqual(self.wait(), LIMITS.timeout_s + LIST_S)

    def test_a_host_that_is_always_late_sends_at_last(self):
        self.source.late_s = 0.5
        took_s = self.wait(patience_s=5.0)
        self.assertAlmostEqual(took_s, MAX_TRIES * LIMITS.timeout_s)

    # Guards against DRAIN: what a host knew of the store before a pause.
    def test_that_it_was_away_a_while_ago_shows_nothing(self):
        self.wait()
        eventlet.sleep(AWAY_S + 0.1)
        self.source.fails = False
        self.assertAlmostEqual(self.wait(), LIST_S)


class SilentStore:
    """A store that answers nothing."""

    heard_at = float("-inf")

    def get_stale(self, key, deadline):
        """Give up at the deadline."""
        eventlet.sleep(max(0.0, deadline - HubClock().now()))
        raise StoreUnavailable("no answer")


class TestChecksOfThePath(unittest.TestCase):
    def setUp(self):
        self.late_s = 0.0
        late_since = lambda since: self.late_s  # noqa: E731
        self.path = StorePath(SilentStore(), HubClock(), "k", 0.3, late_since)

    def test_the_store_is_away_for_a_while_after_a_check_without_an_answer(self):
        self.assertFalse(self.path.is_away())
        self.path.check()
        self.assertTrue(self.path.is_away())
        eventlet.sleep(MAX_CHECK_S + 0.7)
        self.assertFalse(self.path.is_away())

    # Guards against DRAIN: a paused host finds that its check was not answered.
    def test_a_check_during_which_the_process_was_late_does_not_show_it(self):
        self.late_s = 0.3
        self.path.check()
        self.assertFalse(self.path.is_away())


class TestLimits(unittest.TestCase):
    def test_a_bound_is_kept_by_its_own_limits_only(self):
        self.assertEqual(LIMITS.unkept(BOUND_S), {})
        self.assertIn("this process was away", LIMITS.unkept(0.9 * BOUND_S))


if __name__ == "__main__":
    unittest.main()
