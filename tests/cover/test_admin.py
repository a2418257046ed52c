"""The administration API: access control, validation and error responses."""

import io
import json
import logging
import unittest
import unittest.mock

from pydantic import ValidationError

from persimmonspoke.errors import PeerTimeout, StoreOutcomeUnknown
from persimmonspoke.internal.admin.api import UnreachableHost
from persimmonspoke.internal.admin.messages import StatusReply, StatusRequest
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.admin.statuses import collect_statuses, serve_status
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import decode, encode
from persimmonspoke.internal.questionnaire.canonical import from_text
from tests.cover.test_questionnaire import ANSWERS, answers
from tests.fakes.admin_api import FakeAdmin, FakeHost, StoreProcess, host_status
from tests.fakes.store import WriteFate

OPERATOR, DEMO, OTHER = "operator-" + "x" * 16, "demo-" + "y" * 16, "other-" + "z" * 16
GUARDED = AdminSettings(
    ip="10.0.0.1",
    operator_token=OPERATOR,
    team_tokens={"demo": DEMO, "other": OTHER},
    max_body_bytes=20_000,
)
BODY = json.dumps(ANSWERS).encode()
ACCEPTED = "/v1/teams/demo/questionnaire"
TARGET = "/v1/teams/demo/services/desk/targets/t-01"


class _AdminCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.store_process = StoreProcess()

    def failure(self, answer):
        """Return the status and the error type of an error response."""
        status, value = answer
        return status, value["error"]["type"]


class TestAdminTokens(_AdminCase):
    def setUp(self):
        super().setUp()
        self.api = FakeAdmin(
            self.store_process.store, self.store_process.clock, GUARDED
        )

    def send(self, token, method, path, body=b"", **headers):
        """Send one request with a token."""
        if token is not None:
            headers["AUTHORIZATION"] = f"Bearer {token}"
        return self.api.request(method, path, body, **headers)

    def test_a_request_without_a_valid_token_reveals_and_changes_nothing(self):
        paths = (("PUT", ACCEPTED), ("POST", "/v1/drain"), ("GET", "/v1/status"))
        for method, path in paths:
            for token in (None, "", "wrong", OPERATOR + "x", "é"):
                with self.subTest(f"{path} {token}"):
                    got = self.send(token, method, path, BODY, IF_MATCH="0")
                    self.assertEqual(self.failure(got), (401, "Unauthenticated"))
        basic = self.api.request("GET", "/v1/dump", AUTHORIZATION=f"Basic {OPERATOR}")
        self.assertEqual(basic[0], 401)
        self.assertEqual(self.store_process.objects(), {})
        self.assertFalse(self.api.host.own_status.draining)

    def test_a_team_token_gives_access_only_to_the_paths_of_its_own_team(self):
        self.assertEqual(self.send(DEMO, "PUT", ACCEPTED, BODY, IF_MATCH="0")[0], 200)
        before = self.store_process.objects()
        requests = (
            (OTHER, "PUT", ACCEPTED, "1"),
            (OTHER, "GET", ACCEPTED, "1"),
            (OTHER, "GET", "/v1/teams/nobody/questionnaire", "1"),
            (OTHER, "GET", "/v1/assignments/demo/desk", "1"),
            (OTHER, "POST", f"{TARGET}/drain", "1"),
            (DEMO, "GET", "/v1/dump", "1"),
            (DEMO, "POST", "/v1/drain", "1"),
        )
        for token, method, path, expected in requests:
            with self.subTest(f"{method} {path}"):
                got = self.send(token, method, path, BODY, IF_MATCH=expected)
                self.assertEqual(self.failure(got), (403, "Forbidden"))
        self.assertEqual(self.store_process.objects(), before)
        self.assertEqual(self.send(OPERATOR, "GET", ACCEPTED)[0], 200)

    def test_a_team_sees_its_own_generations_only(self):
        self.api.host.own_status = host_status("a.1", demo=3, other=5)
        seen = {}
        for token in (OPERATOR, DEMO):
            rows = self.send(token, "GET", "/v1/status")[1]["hosts"]
            seen[token] = rows[0]["in_force"]
        self.assertEqual(seen, {OPERATOR: {"demo": 3, "other": 5}, DEMO: {"demo": 3}})

    def test_health_and_readiness_need_no_token(self):
        self.assertEqual(self.send(None, "GET", "/health"), (200, {"alive": True}))
        self.assertEqual(self.send(None, "GET", "/ready"), (200, {"ready": True}))
        self.send(OPERATOR, "POST", "/v1/drain")
        self.assertEqual(self.send(None, "GET", "/ready"), (503, {"ready": False}))
        self.send(OPERATOR, "POST", "/v1/undrain")
        self.assertEqual(self.send(None, "GET", "/ready")[0], 200)

    def test_a_token_is_optional_on_a_loopback_address_only(self):
        self.assertFalse(AdminSettings(ip="127.0.0.1").token_needed)
        self.assertTrue(AdminSettings(operator_token=OPERATOR).token_needed)
        with self.assertRaises(ValidationError):
            AdminSettings.model_validate({"ip": "10.0.0.1"})
        self.assertNotIn(OPERATOR, repr(GUARDED))


class TestAdminRequests(_AdminCase):
    def setUp(self):
        super().setUp()
        self.api = FakeAdmin(self.store_process.store, self.store_process.clock)

    def put(self, expected, body=BODY, path=ACCEPTED, **headers):
        """Apply a questionnaire."""
        return self.api.request("PUT", path, body, IF_MATCH=expected, **headers)

    def test_an_accepted_questionnaire_is_returned_unchanged(self):
        status, done = self.put("0")
        self.assertEqual(
            (status, done["generation"], done["replaced"]), (200, 1, False)
        )
        _, read = self.api.request("GET", ACCEPTED)
        self.assertEqual(read["questionnaire"], answers().model_dump(mode="json"))
        self.assertEqual(read["questionnaire_hash"], answers().digest())
        _, text = self.api.request("GET", "/v1/teams/demo/configuration")
        self.assertEqual(from_text(text, "c").generation, 1)
        again = self.put('"1"', json.dumps(read["questionnaire"]).encode())
        self.assertEqual(again[1]["generation"], 1)

    def test_a_conflict_shows_what_changed(self):
        self.put("0")
        newer = json.dumps(answers(wait_ms=9).model_dump(mode="json")).encode()
        self.put("1", newer)
        status, value = self.put("1")
        self.assertEqual(status, 412)
        self.assertEqual(value["error"]["type"], "ApplyConflict")
        self.assertEqual(value["error"]["generation"], 2)
        change = {"path": "services[desk].wait_ms", "before": 9, "after": 2000}
        self.assertEqual(value["error"]["changes"], [change])
        _, diff = self.api.request("POST", "/v1/teams/demo/diff", BODY)
        self.assertEqual(diff, {"generation": 2, "changes": [change]})

    def test_malformed_requests_are_refused_and_change_nothing(self):
        self.put("0")
        before = self.store_process.objects()
        large = b"x" * (self.api_limit() + 1)
        cases = (
            (self.api.request("PUT", ACCEPTED, BODY), 428, "GenerationRequired"),
            (self.put("one"), 400, "MalformedAdminRequest"),
            (self.put("-1"), 400, "MalformedAdminRequest"),
            (self.put("1", b""), 400, "MalformedAdminRequest"),
            (self.put("1", b"\xff\xfe"), 400, "MalformedAdminRequest"),
            (self.put("1", CONTENT_LENGTH="-5"), 400, "MalformedAdminRequest"),
            (self.put("1", CONTENT_LENGTH="²"), 400, "MalformedAdminRequest"),
            (self.put("1", IDEMPOTENCY_KEY="a/b"), 400, "MalformedAdminRequest"),
            (self.put("1", large), 413, "AdminBodyTooLarge"),
            (self.put("1", CONTENT_LENGTH="9" * 5000), 413, "AdminBodyTooLarge"),
            (self.put("1", large, CONTENT_LENGTH=""), 413, "AdminBodyTooLarge"),
            (self.put("1", b"[1"), 422, "InvalidSettings"),
            (self.put("1", b"team: demo"), 422, "InvalidSettings"),
            (
                self.put("0", path="/v1/teams/other/questionnaire"),
                422,
                "InvalidSettings",
            ),
            (
                self.put("0", path="/v1/teams/..%2f/questionnaire"),
                400,
                "MalformedAdminRequest",
            ),
            (self.api.request("GET", "/v1"), 404, "UnknownAdminPath"),
            (self.api.request("GET", "/v2/" + "é" * 99), 404, "UnknownAdminPath"),
            (self.api.request("DELETE", ACCEPTED), 405, "MethodNotAllowed"),
            (
                self.api.request("GET", "/v1/teams/none/questionnaire"),
                404,
                "UnknownTeam",
            ),
            (
                self.api.request("GET", "/v1/assignments/demo/none"),
                404,
                "UnknownService",
            ),
            (
                self.api.request("GET", "/v1/assignments/demo/desk?" + "a=1&" * 50),
                400,
                "MalformedAdminRequest",
            ),
            (
                self.api.request("POST", TARGET.replace("01", "99") + "/drain"),
                404,
                "UnknownTarget",
            ),
        )
        for number, (answer, status, name) in enumerate(cases):
            with self.subTest(f"{number}: {name}"):
                self.assertEqual(self.failure(answer), (status, name))
        self.assertEqual(self.store_process.objects(), before)

    def api_limit(self):
        """Return the maximum size of a body."""
        return AdminSettings().max_body_bytes

    def test_every_fault_is_listed_with_its_remedy(self):
        _, value = self.put("0", b"team: demo\nweighs_most: speed")
        paths = [fault["path"] for fault in value["error"]["faults"]]
        self.assertEqual(paths, ["weighs_most", "services"])
        self.assertTrue(all(f["remedy"] for f in value["error"]["faults"]))

    def test_a_truncated_body_or_a_too_large_content_length_is_refused(self):
        class Broken(io.RawIOBase):
            def read(self, size=-1):
                raise OSError("reset")

        environ = {
            "REQUEST_METHOD": "PUT",
            "PATH_INFO": ACCEPTED,
            "HTTP_IF_MATCH": "0",
            "wsgi.input": Broken(),
        }
        for length, status in ((10, "400"), (self.api_limit() + 1, "413")):
            environ["CONTENT_LENGTH"] = str(length)
            start = unittest.mock.Mock()
            self.api.app(environ, start)
            self.assertEqual(start.call_args.args[0][:3], status)

    def test_an_unexpected_exception_is_reported_without_its_details(self):
        self.api.host.dump = lambda: 1 / 0
        status, value = self.api.request("GET", "/v1/dump")
        self.assertEqual(status, 500)
        self.assertNotIn("division", json.dumps(value["error"]["message"]))

    def test_the_idempotency_key_gives_the_outcome_after_a_lost_answer(self):
        key = "attempt-1"
        self.store_process.store.faults.lost.extend([WriteFate.BEFORE_EFFECT] * 1000)
        got = self.put("0", IDEMPOTENCY_KEY=key)
        self.assertEqual(self.failure(got), (504, StoreOutcomeUnknown.__name__))
        self.store_process.store.faults.lost.clear()
        self.put("0", IDEMPOTENCY_KEY=key)
        newer = json.dumps(answers(wait_ms=9).model_dump(mode="json")).encode()
        self.put("1", newer)
        _, done = self.put("0", IDEMPOTENCY_KEY=key)
        self.assertEqual((done["generation"], done["replaced"]), (1, True))
        reused = self.put("0", newer.replace(b"9", b"8"), IDEMPOTENCY_KEY=key)
        self.assertEqual(reused[0], 412)

    def test_targets_are_drained_for_all_hosts(self):
        self.put("0")
        _, drained = self.api.request("POST", f"{TARGET}/drain")
        self.assertEqual(len(drained["drained_targets"]), 1)
        other = self.store_process.with_same_store("b")
        elsewhere = FakeAdmin(other.store, other.clock)
        path = "/v1/teams/demo/drains"
        self.assertEqual(elsewhere.request("GET", path), (200, drained))
        elsewhere.request("POST", f"{TARGET}/undrain")
        self.assertEqual(self.api.request("GET", path)[1], {"drained_targets": []})

    def test_assignments_count_the_shards_of_each_owner(self):
        self.put("0")
        path = "/v1/assignments/demo/desk"
        _, value = self.api.request("GET", path)
        self.assertEqual(value["shards_by_owner"], {"t1": 2, "t2": 1})
        self.assertNotIn("owners", value["pages"][0])
        _, value = self.api.request("GET", f"{path}?shards=1")
        self.assertEqual(value["pages"][0]["owners"], ["t1", "t2", "t1"])


class TestStatuses(unittest.TestCase):
    class Link:
        """A peer link that encodes and decodes each message."""

        def __init__(self, handlers=None):
            self.handlers = {} if handlers is None else handlers

        def serve(self, kind, handler):
            self.handlers[kind] = handler

        def call(self, peer, message, deadline):
            if peer.host_id == "silent.1":
                raise PeerTimeout("no answer")
            request = decode(encode(message))
            return decode(encode(self.handlers[type(request)](request)))

    def test_each_live_host_is_asked(self):
        link, node = self.Link(), FakeHost()
        node.own_status = host_status("a.1", demo=3)
        serve_status(link, node)
        names = ("a.1", "silent.1", "a.2")
        peers = [PeerAddress(name, "10.0.0.1", 7100) for name in names]
        own, silent, replaced = collect_statuses(link, peers, 5.0)
        self.assertEqual(own, node.own_status)
        self.assertEqual(silent, UnreachableHost("silent.1", "PeerTimeout: no answer"))
        self.assertEqual(replaced.host_id, "a.2")

    def test_a_reply_of_another_type_counts_as_no_status(self):
        link = self.Link({StatusRequest: lambda request: request})
        peers = [PeerAddress("a.1", "10.0.0.1", 7100)]
        self.assertIsInstance(collect_statuses(link, peers, 5.0)[0], UnreachableHost)

    def test_a_status_is_unchanged_by_the_codec(self):
        reply = StatusReply(host_status("a.1", demo=3, other=1))
        self.assertEqual(decode(encode(reply)), reply)
