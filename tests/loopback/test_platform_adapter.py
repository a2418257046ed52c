"""Tests of the platform's adapter against a small stand-in over real sockets."""

import json
import unittest
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

from persimmonspoke.errors import (
    InvalidSettings,
    OrderConnectionLost,
    OrderOutcomeUnknown,
    StoreCompacted,
    StoreConflict,
    StoreMissing,
    StoreUnavailable,
    TargetFenced,
    TargetMismatch,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.platform.objects import ObjectStore
from persimmonspoke.platform.orders import HttpRangeOrders
from persimmonspoke.platform.settings_file import read_settings

LONG_TIMEOUT_S = 30

SETTINGS = """\
node_name=front-1
ip=10.1.0.18
zone=a
listen.front=10.1.0.18:8381
listen.ready=10.1.0.18:8388
internal_ports=7200,7215
something.new=1
bounds=drain_s=2,grace_s=6,retry_budget_ratio=0.2,retry_budget_min=56,closed=true
platform.address=10.200.1.7:8384
"""


class ObjectsApp:
    """The part of the platform's object store that the adapter uses.

    Attributes
    ----------
    page_size : int
        Number of objects on one page of a listing.
    refuse_status : int or None
        Status with which all calls are rejected; None to process them.
    oldest_revision : int
        Oldest revision from which a watch is still possible.
    """

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.page_size = 2
        self.refuse_status = None
        self.era = None
        self.oldest_revision = 0

    def __call__(self, environ, start_response):
        status, body = self.answer(environ)
        data = json.dumps(body).encode()
        fields = [("Content-Type", "application/json"), ("Content-Length", len(data))]
        if self.era is not None:
            fields.append(("Store-Era", self.era))
        start_response(f"{status} x", [(n, str(v)) for n, v in fields])
        return [data]

    def answer(self, environ):
        if self.refuse_status:
            return self.refuse_status, {}
        _, _, kind, *rest = environ["PATH_INFO"].split("/")
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            return self.read(kind, rest, query)
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(size)) if size else {}
        return self.write(method, kind, rest, query, body)

    def read(self, kind, rest, query):
        if rest:
            found = self.objects.get((kind, rest[0]))
            return (200, found) if found else (404, {})
        if "watch" in query:
            since = int(query["watch"])
            if since < self.oldest_revision:
                return 410, {}
            events = [e for r, k, e in self.events if r > since and k == kind]
            return 200, {"events": events, "current_rev": self.revision}
        names = sorted(n for k, n in self.objects if k == kind)
        names = [n for n in names if n > query.get("after", "")]
        items = [self.objects[kind, n] for n in names[: self.page_size]]
        more = len(names) > self.page_size
        return 200, {"items": items, "has_more": more, "current_rev": self.revision}

    def write(self, method, kind, rest, query, body):
        meta = body.get("metadata", {})
        name = rest[0] if rest else meta["name"]
        existing = self.objects.get((kind, name))
        requested_revision = meta.get("revision", query.get("revision"))
        if method == "POST" and existing:
            return 409, existing
        if method != "POST" and (
            existing is None
            or int(requested_revision) != existing["metadata"]["revision"]
        ):
            return (409, existing) if existing else (404, {})
        self.revision += 1
        if method == "DELETE":
            deleted_object = self.objects.pop((kind, name))
            self.events.append(
                (self.revision, kind, {"object": deleted_object, "deleted": True})
            )
            return 200, {}
        found = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": body["spec"],
            "status": None,
        }
        self.objects[kind, name] = found
        self.events.append((self.revision, kind, {"object": found, "deleted": False}))
        return 200, found


class ServerCase(unittest.TestCase):
    """Serves one WSGI application on a port chosen by the kernel."""

    def serve(self, app):
        listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(
            eventlet.wsgi.server, listener, app, log_output=False, debug=False
        )
        self.addCleanup(task.kill)
        return listener.getsockname()

    def deadline(self, left_s=LONG_TIMEOUT_S):
        return Instant(self.clock.now() + left_s)

    def setUp(self):
        self.clock = SystemClock()


class TestObjectStore(ServerCase):
    def setUp(self):
        super().setUp()
        self.app = ObjectsApp()
        ip, port = self.serve(self.app)
        self.store = ObjectStore(f"{ip}:{port}", self.clock)

    def create(self, name, value):
        return self.store.create(f"kind/{name}", value, self.deadline())

    def test_an_object_is_created_read_replaced_and_deleted(self):
        created = self.create("a", {"x": 1})
        self.assertEqual(self.store.get("kind/a", self.deadline()), created)
        new = self.store.update("kind/a", {"x": 2}, created.version, self.deadline())
        self.assertGreater(new.version, created.version)
        self.store.delete("kind/a", new.version, self.deadline())
        with self.assertRaises(StoreMissing):
            self.store.get("kind/a", self.deadline())

    def test_another_version_is_a_conflict(self):
        created = self.create("a", {"x": 1})
        with self.assertRaises(StoreConflict):
            self.create("a", {"x": 2})
        with self.assertRaises(StoreConflict):
            self.store.update("kind/a", {"x": 2}, created.version - 1, self.deadline())

    def test_a_listing_reads_all_pages(self):
        for name in "abcde":
            self.create(name, {"x": name})
        self.app.objects["other", "z"] = {"metadata": {"name": "z", "revision": 1}}
        listing = self.store.list("kind/", self.deadline())
        self.assertEqual([i.key for i in listing.items], [f"kind/{n}" for n in "abcde"])
        self.assertEqual(listing.revision, self.app.revision)

    def test_a_watch_returns_changes_and_deletions(self):
        created = self.create("a", {"x": 1})
        since = self.app.revision
        self.store.delete("kind/a", created.version, self.deadline())
        listing = self.store.watch("kind/", since, self.deadline(0.1))
        self.assertEqual([(i.key, i.value) for i in listing.items], [("kind/a", {})])

    def test_a_watch_from_a_dropped_revision_raises_compacted(self):
        self.app.oldest_revision = 1000
        with self.assertRaises(StoreCompacted):
            self.store.watch("kind/", 5, self.deadline(0.1))

    def test_a_rejected_write_did_not_happen(self):
        for status in (429, 503):
            self.app.refuse_status = status
            with self.assertRaises(StoreUnavailable):
                self.create("a", {"x": 1})

    def test_a_spec_of_another_type_is_kept_as_unreadable(self):
        self.app.objects["kind", "a"] = {
            "metadata": {"name": "a", "revision": 3},
            "spec": "bytes",
        }
        self.assertIn("unreadable", self.store.get("kind/a", self.deadline()).value)

    def test_an_item_that_cannot_be_read_is_left_out_of_listings_and_watches(self):
        self.create("a", {"x": 1})
        since = self.app.revision
        self.create("c", {"x": 3})
        for bad in (None, 5, {}, {"metadata": {"name": 1, "revision": "x"}}):
            self.app.events.append((since + 1, "kind", {"object": bad}))
        watched = self.store.watch("kind/", since, self.deadline(0.1))
        self.assertEqual([item.key for item in watched.items], ["kind/c"])
        self.app.objects["kind", "b"] = {"metadata": {"name": "b"}}
        listing = self.store.list("kind/", self.deadline())
        self.assertEqual([item.key for item in listing.items], ["kind/a", "kind/c"])

    def test_an_answer_without_end_is_given_up(self):
        def app(environ, start_response):
            start_response("200 OK", [])
            while True:
                yield b" " * 65536

        ip, port = self.serve(app)
        store = ObjectStore(f"{ip}:{port}", self.clock)
        with self.assertRaises(StoreUnavailable):
            store.list("kind/", self.deadline())

    def test_an_answer_that_is_no_object_counts_as_no_answer(self):
        for answer in ([], 5, {"items": 5, "current_rev": 1}, {"items": []}):
            self.app.read = lambda *args, answer=answer: (200, answer)
            with self.subTest(answer=answer), self.assertRaises(StoreUnavailable):
                self.store.list("kind/", self.deadline())

    def test_all_answers_bear_the_era_that_the_store_names(self):
        self.app.era = 3
        stored = self.store.create("kind/a", {"x": 1}, self.deadline())
        self.assertEqual((stored.era, self.store.era), (3, 3))
        self.app.era = 4
        with self.assertLogs("persimmonspoke.platform.objects") as logs:
            self.assertEqual(self.store.get("kind/a", self.deadline()).era, 4)
            self.assertEqual(self.store.list("kind/", self.deadline()).era, 4)
        self.assertEqual([(r.before, r.era) for r in logs.records], [(3, 4)])
        revision = self.store.list("kind/", self.deadline()).revision
        self.assertEqual(self.store.watch("kind/", revision, self.deadline(0)).era, 4)

    def test_an_era_that_is_missing_or_unreadable_changes_nothing(self):
        self.app.era = 3
        self.store.create("kind/a", {"x": 1}, self.deadline())
        for era in (None, "soon", "-1", "1.5"):
            self.app.era = era
            self.assertEqual(self.store.get("kind/a", self.deadline()).era, 3)
        self.assertEqual(self.store.era, 3)


class TestArrivingAnswers(ServerCase):
    """A host can tell that an answer arrives before it is whole."""

    def store_of(self, status):
        page = json.dumps({"items": [], "current_rev": 7, "x": "x" * 80_000}).encode()

        def app(environ, start_response):
            start_response(status, [("Content-Length", str(len(page)))])
            yield page[:40_000]
            eventlet.sleep(0.5)
            yield page[40_000:]

        ip, port = self.serve(app)
        return ObjectStore(f"{ip}:{port}", self.clock)

    # Guards against CONFIG: a link that is full of an answer was taken for a lost path.
    def test_parts_of_a_large_answer_are_heard_as_they_arrive(self):
        store = self.store_of("200 OK")
        listing = eventlet.spawn(store.list, "kind/", self.deadline())
        eventlet.sleep(0.25)
        first_at = store.heard_at
        self.assertGreater(first_at, 0)
        self.assertEqual(listing.wait().revision, 7)
        self.assertGreater(store.heard_at, first_at)

    def test_a_refusal_is_no_answer_that_arrives(self):
        store = self.store_of("503 Service Unavailable")
        with self.assertRaises(StoreUnavailable):
            store.list("kind/", self.deadline())
        self.assertEqual(store.heard_at, float("-inf"))


class TestRangeOrders(ServerCase):
    def setUp(self):
        super().setUp()
        self.received = []
        self.status = "200 OK"
        self.pause_s = 0.0
        ip, port = self.serve(self.app)
        self.target = TargetAddress("t", ip, port)
        self.orders = HttpRangeOrders(self.clock)

    def app(self, environ, start_response):
        body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        self.received.append((environ["PATH_INFO"], json.loads(body)))
        self.named = environ.get("HTTP_PERSIMMONSPOKE_TARGET_INSTANCE")
        eventlet.sleep(self.pause_s)
        fields = [("Content-Length", "0"), ("Persimmonspoke-Handover", "h-1")]
        start_response(self.status, fields)
        return [b""]

    def connect(self, target=None):
        """Return a new connection to a target."""
        return self.orders.connect(target or self.target, self.deadline())

    def test_a_connection_carries_any_number_of_orders(self):
        conn = self.connect()
        for fence in range(1500):
            conn.grant(RangeGrant(1, 5, fence, 2.5, None), self.deadline())
        self.assertEqual(len(self.received), 1500)

    def test_grants_and_releases_have_the_documented_form(self):
        conn = self.connect()
        conn.grant(RangeGrant(1, 5, 7, 2.5, "h-0"), self.deadline())
        handover = conn.release(RangeRelease(2, 3, 8), self.deadline())
        self.assertEqual(handover, "h-1")
        self.assertEqual(
            self.received,
            [
                (
                    "/grant",
                    {"from": 1, "to": 5, "fence": 7, "hold_s": 2.5, "handover": "h-0"},
                ),
                ("/release", {"from": 2, "to": 3, "fence": 8}),
            ],
        )

    def test_a_conflict_answer_raises_fenced(self):
        self.status = "409 Conflict"
        conn = self.connect()
        with self.assertRaises(TargetFenced):
            conn.grant(RangeGrant(1, 5, 7, 2.5), self.deadline())
        self.assertTrue(conn.is_open())

    # Guards against OWNER: an address goes to other targets, which must not take orders
    # that are meant for the one before.
    def test_orders_name_their_target_and_another_one_there_is_a_mismatch(self):
        orders = (
            ("grant", RangeGrant(1, 5, 7, 2.5)),
            ("release", RangeRelease(1, 5, 8)),
        )
        for name, order in orders:
            with self.subTest(name):
                conn = self.connect()
                self.status = "200 OK"
                getattr(conn, name)(order, self.deadline())
                self.assertEqual(self.named, self.target.target_id)
                self.status = "421 Misdirected Request"
                with self.assertRaises(TargetMismatch):
                    getattr(conn, name)(order, self.deadline())
                self.assertFalse(conn.is_open())

    def test_no_answer_in_time_is_an_unknown_outcome_and_closes_the_connection(self):
        self.pause_s = 0.5
        conn = self.connect()
        with self.assertRaises(OrderOutcomeUnknown):
            conn.grant(RangeGrant(1, 5, 7, 2.5), self.deadline(0.1))
        self.assertFalse(conn.is_open())

    def test_a_closed_connection_is_reported_before_the_next_order_is_sent(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        ip, port = listener.getsockname()

        def once():
            sock, _ = listener.accept()
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            sock.close()

        eventlet.spawn(once)
        conn = self.connect(TargetAddress("t", ip, port))
        conn.grant(RangeGrant(1, 5, 7, 2.5), self.deadline())
        eventlet.sleep(0.05)
        self.assertFalse(conn.is_open())
        with self.assertRaises(OrderConnectionLost):
            conn.grant(RangeGrant(1, 5, 7, 2.5), self.deadline())


class TestSettingsFile(unittest.TestCase):
    def test_known_settings_are_read_and_unknown_ones_ignored(self):
        self.assertFalse(read_settings(SETTINGS).first_start)
        self.assertTrue(read_settings(SETTINGS + "\nbootstrap=true\n").first_start)
        cfg = read_settings(SETTINGS)
        self.assertEqual((cfg.host, cfg.caller_port), ("front-1", 8381))
        self.assertEqual((cfg.peer_port, cfg.ready_port), (7200, 8388))
        self.assertEqual((cfg.bounds.drain_s, cfg.bounds.retry_floor), (2.0, 56))
        self.assertEqual(cfg.bounds.hold_max_s, 10.0)

    def test_a_missing_or_malformed_field_is_named(self):
        with self.assertRaisesRegex(InvalidSettings, "zone is missing"):
            read_settings(SETTINGS.replace("zone=a\n", ""))
        with self.assertRaisesRegex(InvalidSettings, "can't be read"):
            read_settings(SETTINGS.replace(":8381", ":x"))


if __name__ == "__main__":
    unittest.main()
