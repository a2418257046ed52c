"""Tests of the HTTP client of the object API against a stand-in of the platform."""

import unittest

import eventlet
import eventlet.wsgi

from persimmonspoke.errors import (
    StoreCompacted,
    StoreConflict,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.ids import Instant, Version
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.store.http_store import HttpStore
from persimmonspoke.standins.platform import (
    PlatformState,
    make_platform_app,
)

LONG_TIMEOUT_S = 30


class TestHttpStore(unittest.TestCase):
    def setUp(self):
        self.state = PlatformState()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.server = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            make_platform_app(self.state),
            log_output=False,
        )
        self.clock = SystemClock()
        port = listener.getsockname()[1]
        self.store = HttpStore(f"http://127.0.0.1:{port}", self.clock)

    def tearDown(self):
        self.server.kill()

    def deadline(self, left_s=LONG_TIMEOUT_S):
        return Instant(self.clock.now() + left_s)

    def test_an_object_is_created_read_updated_listed_and_deleted(self):
        created = self.store.create("hosts/a.1", {"n": 1}, self.deadline())
        self.assertEqual(self.store.get("hosts/a.1", self.deadline()), created)
        newer = self.store.update(
            "hosts/a.1", {"n": 2}, created.version, self.deadline()
        )
        self.assertGreater(newer.version, created.version)
        listing = self.store.list("hosts/", self.deadline())
        self.assertEqual(listing.items, (newer,))
        self.store.delete("hosts/a.1", newer.version, self.deadline())
        with self.assertRaises(StoreMissing):
            self.store.get("hosts/a.1", self.deadline())

    def test_a_write_with_another_version_is_a_conflict(self):
        created = self.store.create("k", {"n": 1}, self.deadline())
        with self.assertRaises(StoreConflict):
            self.store.create("k", {"n": 2}, self.deadline())
        with self.assertRaises(StoreConflict):
            self.store.update(
                "k", {"n": 2}, Version(created.version + 1), self.deadline()
            )

    def test_a_watch_returns_changes_made_while_it_waits(self):
        revision = self.store.list("", self.deadline()).revision
        watch = eventlet.spawn(self.store.watch, "", revision, self.deadline())
        eventlet.sleep(0)
        created = self.store.create("k", {"n": 1}, self.deadline())
        self.assertEqual(watch.wait().items, (created,))

    def test_a_watch_from_a_dropped_revision_raises_compacted(self):
        self.store.create("k", {"n": 1}, self.deadline())
        self.state.log.clear()
        self.state.write("k", {"n": 2})
        with self.assertRaises(StoreCompacted):
            self.store.watch("", 0, self.deadline())

    def test_a_lost_answer_of_a_write_is_unknown_and_of_a_read_unavailable(self):
        self.state.delay_s = 0.2
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.create("k", {"n": 1}, self.deadline(0.05))
        with self.assertRaises(StoreUnavailable):
            self.store.get("k", self.deadline(0.05))

    def test_a_write_without_a_connection_did_not_happen(self):
        self.server.kill()
        refused = HttpStore("http://127.0.0.1:1", self.clock)
        with self.assertRaises(StoreUnavailable):
            refused.create("k", {"n": 1}, self.deadline())
