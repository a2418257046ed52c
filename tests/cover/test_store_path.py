"""Tests of the checks that show whether a host reaches the store."""

import unittest

import eventlet

from persimmonspoke.errors import StoreMissing, StoreUnavailable
from persimmonspoke.ids import Instant
from persimmonspoke.internal.news.updates import StorePath
from tests.fakes.caller_parts import HubClock

TIMEOUT_S = 0.375


class _Store:
    """Answers no check in time; a larger answer arrives until `busy_until`."""

    def __init__(self, clock, busy_until):
        self._clock = clock
        self._busy_until = busy_until
        self.heard_at = Instant(float("-inf"))

    def get_stale(self, key, deadline):
        eventlet.sleep(deadline - self._clock.now())
        self.heard_at = min(self._clock.now(), self._busy_until)
        raise StoreUnavailable("read timed out")


class TestStorePath(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()

    def check(self, store):
        path = StorePath(store, self.clock, "hosts/none", TIMEOUT_S)
        return path.check(), path

    # Guards against CONFIG: a host's own listing was taken for a lost path, and its
    # watches were ended while they received the change.
    def test_a_check_behind_an_answer_that_arrives_shows_no_lost_path(self):
        store = _Store(self.clock, self.clock.now() + TIMEOUT_S / 2)
        answered, path = self.check(store)
        self.assertTrue(answered)
        self.assertFalse(path.failed)
        self.assertEqual(path.took_s, TIMEOUT_S)

    def test_a_check_while_nothing_arrives_shows_a_lost_path(self):
        answered, path = self.check(_Store(self.clock, self.clock.now() - 1))
        self.assertFalse(answered)
        self.assertTrue(path.failed)

    def test_an_answer_that_says_that_nothing_is_there_is_an_answer(self):
        class Empty(_Store):
            def get_stale(self, key, deadline):
                raise StoreMissing(key)

        answered, path = self.check(Empty(self.clock, 0))
        self.assertTrue(answered)
        self.assertEqual(path.confirmed_at, self.clock.now())


if __name__ == "__main__":
    unittest.main()
