"""Logs that never block the process, and metrics served over HTTP."""

import json
import logging
import os
import time
import unittest

from pythonjsonlogger.json import JsonFormatter

from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.observe.bounded_logs import LINES_PER_S, BoundedHandler
from persimmonspoke.internal.observe.logs import LOG_FORMAT, RENAMED_FIELDS
from persimmonspoke.internal.observe.served_metrics import ServedMetrics

PIPE_BYTES = 1 << 16


class TestBoundedLogs(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.handler = BoundedHandler(self.write_end, SystemClock())
        self.handler.setFormatter(
            JsonFormatter(LOG_FORMAT, rename_fields=RENAMED_FIELDS)
        )
        self.log = logging.getLogger("test.bounded")
        self.log.propagate = False
        self.log.setLevel("INFO")
        self.log.addHandler(self.handler)
        self.addCleanup(self.log.removeHandler, self.handler)

    def lines(self):
        self.handler.flush_without_blocking()
        os.set_blocking(self.read_end, False)
        try:
            return os.read(self.read_end, PIPE_BYTES).decode().splitlines()
        except BlockingIOError:
            return []

    def test_a_record_is_one_json_line_with_its_fields(self):
        self.log.info("callers: request ended", extra={"request_id": "r1"})
        (line,) = self.lines()
        found = json.loads(line)
        self.assertEqual(found["message"], "callers: request ended")
        self.assertEqual(found["request_id"], "r1")

    def test_more_than_the_limit_is_dropped_and_counted(self):
        began = time.monotonic()
        for _ in range(3 * LINES_PER_S):
            self.log.info("x")
        lines = self.lines()
        allowed = LINES_PER_S * (1 + time.monotonic() - began)
        self.assertLessEqual(len(lines), allowed + 1)
        self.assertGreaterEqual(self.handler.dropped, 3 * LINES_PER_S - allowed - 1)
        self.assertTrue(any("lines dropped" in line for line in lines))

    def test_a_warning_is_written_when_other_lines_are_dropped(self):
        for _ in range(3 * LINES_PER_S):
            self.log.info("x")
        self.log.warning("leader: stopped")
        self.assertTrue(any("leader: stopped" in line for line in self.lines()))

    def test_a_full_pipe_does_not_block_the_process(self):
        os.write(self.write_end, b"x" * PIPE_BYTES)
        for _ in range(20):
            self.log.info("y" * 1000)
        self.handler.flush_without_blocking()


class TestServedMetrics(unittest.TestCase):
    def text(self, metrics):
        return b"".join(metrics.app({}, lambda status, fields: None)).decode()

    def test_counters_histograms_and_gauges_are_served(self):
        metrics = ServedMetrics()
        metrics.incr("callers.answered")
        metrics.timing("callers.begun", 120.0)
        metrics.gauge("desk.waiting", lambda: 3)
        text = self.text(metrics)
        self.assertIn("persimmonspoke_callers_answered_total 1.0", text)
        self.assertIn(
            'persimmonspoke_callers_begun_seconds_bucket{le="0.15"} 1.0', text
        )
        self.assertIn("persimmonspoke_desk_waiting 3.0", text)


if __name__ == "__main__":
    unittest.main()
