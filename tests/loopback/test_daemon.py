"""The daemon over real sockets, with stand-ins for the platform and the targets."""

import json
import unittest

import eventlet
import eventlet.wsgi
import urllib3

from persimmonspoke.daemon.daemon import Daemon, ExitStatus
from persimmonspoke.daemon.figures import PeriodicMetrics
from persimmonspoke.daemon.settings import Settings
from persimmonspoke.ids import Instant
from persimmonspoke.internal.questionnaire.questions import Questionnaire
from persimmonspoke.internal.questionnaire.teams import Teams
from persimmonspoke.standins.platform import PlatformState, make_platform_app
from persimmonspoke.standins.target import TargetState, make_target_app

LONG_S = 30
IP = "127.0.0.1"


def serve(app):
    """Serve `app` on a port chosen by the kernel; return the port."""
    listener = eventlet.listen((IP, 0))
    eventlet.spawn(eventlet.wsgi.server, listener, app, log_output=False)
    return listener.getsockname()[1]


def wait_until(condition):
    """Wait until `condition()` holds; raise after `LONG_S`."""
    with eventlet.Timeout(LONG_S):
        while not condition():
            eventlet.sleep(0.02)


class TestDaemon(unittest.TestCase):
    def setUp(self):
        self.platform = PlatformState()
        self.url = f"http://{IP}:{serve(make_platform_app(self.platform))}"
        self.targets = [TargetState(f"t{number}", slots=2) for number in range(3)]
        ports = [serve(make_target_app(state)) for state in self.targets]
        self.answers = Questionnaire.model_validate(
            {
                "team": "desk",
                "weighs_most": "imbalance",
                "services": [
                    self.service("keyed", True, ports[:2]),
                    self.service("plain", False, ports[2:]),
                ],
            }
        )
        self.daemons = [self.daemon(name) for name in ("h1", "h2")]
        self.http = urllib3.PoolManager(retries=False)
        self.apply()
        wait_until(lambda: all(self.get(daemon)[0] == 200 for daemon in self.daemons))

    def tearDown(self):
        for daemon in self.daemons:
            daemon.control.node.kill()

    def service(self, name, divided, ports):
        targets = [
            {
                "id": f"{name}-{number}",
                "ip": IP,
                "port": port,
                "data_centre": "dc1",
                "slots": 2,
                "connections": 20,
                "checks_fence": divided,
            }
            for number, port in enumerate(ports)
        ]
        service = {
            "name": name,
            "path_prefix": f"/{name}/",
            "divided_by_key": divided,
            "precedence": "normal",
            "wait_ms": 8000,
            "max_body_bytes": 1000,
            "targets": targets,
            "protected_methods": ["POST"],
        }
        if divided:
            service["key"] = {"source": "path", "segment": 0}
        return service

    def daemon(self, name, caller_port=0):
        settings = Settings.model_validate(
            {
                "host": name,
                "data_centre": "dc1",
                "ip": IP,
                "caller_port": caller_port,
                "peer_port": 0,
                "platform_url": self.url,
                "stop_s": LONG_S,
            }
        )
        daemon = Daemon(settings)
        daemon.task = eventlet.spawn(daemon.run)
        return daemon

    def apply(self):
        control = self.daemons[0].control
        clock = self.daemons[0].clock
        deadline = Instant(clock.now() + LONG_S)
        Teams(control.store, clock).apply("desk", self.answers, 0, deadline)

    def get(self, daemon, path="/desk/keyed/k1", method="GET", **kwargs):
        url = f"http://{IP}:{daemon.caller_port}{path}"
        answer = self.http.request(method, url, **kwargs)
        return answer.status, json.loads(answer.data)

    def test_both_hosts_send_a_key_to_its_one_owner(self):
        for number in range(20):
            found = {
                self.get(daemon, f"/desk/keyed/k{number}")[1]["target"]
                for daemon in self.daemons
            }
            self.assertEqual(len(found), 1)

    def test_daemons_of_one_host_share_the_callers_port(self):
        shared = self.daemons[0].caller_port
        self.daemons.append(self.daemon("h3", shared))
        wait_until(self.daemons[2].gate.open)
        self.assertEqual(self.daemons[2].caller_port, shared)
        for number in range(20):
            path = f"/desk/keyed/k{number}"
            fields = {"Connection": "close"}
            status, body = self.get(self.daemons[2], path, headers=fields)
            self.assertEqual(status, 200, body)

    def test_a_service_that_is_not_divided_by_key_is_answered(self):
        status, body = self.get(self.daemons[1], "/desk/plain/x", "POST", body=b"abc")
        self.assertEqual((status, body["bytes"]), (200, 3))

    def test_a_stopped_host_transfers_its_pages_to_the_other(self):
        self.daemons[0].stop()
        self.assertEqual(self.daemons[0].task.wait(), ExitStatus.STOPPED)
        kept_pages = self.daemons[1].dump()["node"]["pages"]
        listed = self.daemons[1].control.store.list(
            "pages/", Instant(self.daemons[1].clock.now() + LONG_S)
        )
        self.assertEqual(sorted(kept_pages), [item.key for item in listed.items])
        self.assertEqual(self.get(self.daemons[1])[0], 200)

    def test_a_stopping_host_refuses_requests_as_not_run(self):
        self.daemons[0].gate.stopping = True
        status, body = self.get(self.daemons[0])
        self.assertEqual((status, body["error"]["run"]), (503, "not_run"))

    def test_the_control_planes_metrics_are_reported(self):
        seen = {}
        daemon = self.daemons[0]
        daemon.metrics.incr = lambda name, count=1: seen.update({name: count})
        daemon.metrics.gauge = lambda name, value: seen.update({name: value})
        PeriodicMetrics(daemon.control, daemon.metrics, daemon.clock).report()
        self.assertGreater(seen["store.calls"], 0)
        self.assertGreater(seen["peers.bytes_sent"], 0)
        self.assertEqual(seen["keeper.moves"], 0)
        self.assertIn("keeper.pages", seen)

    def test_the_state_dump_is_json(self):
        dump = self.daemons[0].dump()
        self.assertEqual(dump["generations"], {"desk": 1})
        self.assertTrue(dump["open"])
