"""Tests of what a process tells of its own delays."""

import unittest

import eventlet
from eventlet import patcher

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.observe import lateness as module
from persimmonspoke.internal.observe.lateness import Lateness, TaskTimes

STALL_S = 0.4

stall = patcher.original("time").sleep  # eventlet's sleep would let others run


def busy_task():
    stall(STALL_S)
    eventlet.sleep(0)


class TestLateness(unittest.TestCase):
    def setUp(self):
        self.times = TaskTimes()
        self.times.install()
        self.clock = SystemClock()
        self.lateness = Lateness(self.clock, self.times)
        task = eventlet.spawn(self.lateness.run)
        self.addCleanup(task.kill)
        eventlet.sleep(0)

    def test_a_task_that_holds_up_the_others_is_logged_with_its_time(self):
        with self.assertLogs(module.log, "INFO") as caught:
            eventlet.spawn(busy_task)
            eventlet.sleep(STALL_S + 0.1)
        (record,) = caught.records
        self.assertGreater(record.late_s, STALL_S - module.BEAT_S - 0.01)
        (name,) = [n for n in record.long_turns_s if n.endswith("busy_task")]
        self.assertGreaterEqual(record.long_turns_s[name], STALL_S - 0.01)

    def test_a_delay_counts_before_its_end_and_for_those_who_began_earlier(self):
        began_at = self.clock.now()
        stall(STALL_S)
        self.assertGreater(self.lateness.longest_since(began_at), STALL_S - 0.2)
        eventlet.sleep(0.05)
        self.assertGreater(self.lateness.longest_since(began_at), STALL_S - 0.2)
        later = Instant(self.clock.now() + 0.01)
        self.assertLess(self.lateness.longest_since(later), 0.1)

    def test_no_line_is_written_while_nothing_is_late(self):
        with self.assertNoLogs(module.log, "INFO"):
            eventlet.sleep(0.5)


if __name__ == "__main__":
    unittest.main()
