"""The stand-in for a target: cancellation, slots and injected faults."""

import json
import unittest

import eventlet
import eventlet.wsgi
import urllib3

from persimmonspoke.standins.target import TargetState, make_target_app

LONG_S = 30


class TestTargetStandin(unittest.TestCase):
    def setUp(self):
        self.state = TargetState("t1", slots=1, checks_fence=False)
        listener = eventlet.listen(("127.0.0.1", 0))
        app = make_target_app(self.state)
        self.server = eventlet.spawn(
            eventlet.wsgi.server, listener, app, log_output=False
        )
        self.addCleanup(self.server.kill)
        self.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        self.http = urllib3.PoolManager(retries=False, timeout=LONG_S, maxsize=4)

    def get(self, path, request_id="r1"):
        headers = {"X-Request-Id": request_id}
        return self.http.request("GET", self.url + path, headers=headers)

    def post(self, path, **body):
        answer = self.http.request("POST", self.url + path, body=json.dumps(body))
        return json.loads(answer.data)

    def begin_slow(self):
        """Start a request that takes `LONG_S` seconds; return its task."""
        self.post("/faults", work_ms=1000 * LONG_S)
        task = eventlet.spawn(self.get, "/work")
        while not self.state.tasks:
            eventlet.sleep(0.001)
        return task

    def test_a_cancelled_request_stops_and_did_not_run(self):
        task = self.begin_slow()
        self.assertEqual(self.post("/cancel/r1"), {"cancelled": True})
        self.assertEqual(task.wait().status, 499)
        self.assertEqual(self.state.runs, {})
        self.assertEqual(self.state.busy, 0)

    def test_a_request_beyond_the_slots_is_shed(self):
        self.begin_slow()
        answer = self.get("/work", "r2")
        self.assertEqual((answer.status, answer.headers["X-Outcome"]), (503, "shed"))
        self.post("/cancel/r1")

    def test_a_cold_target_is_slower_and_a_draining_one_refuses(self):
        self.post("/faults", cold_s=LONG_S, work_ms=1)
        self.assertGreater(self.state.cold_until, self.state.clock())
        self.assertEqual(self.get("/work").status, 200)
        self.post("/faults", draining=True, health="ok")
        answer = self.get("/work", "r2")
        self.assertEqual(answer.headers["X-Outcome"], "draining")
        self.assertEqual(json.loads(self.get("/health").data)["health"], "ok")
