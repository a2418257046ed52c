"""Tests of large objects that relays name, and hosts fetch apart from other news."""

import unittest
from collections import Counter

import eventlet

from persimmonspoke.internal.news.messages import NewsRequest
from persimmonspoke.internal.news.packing import MIN_PACKED_BYTES
from persimmonspoke.internal.news.settings import UpdateSettings
from persimmonspoke.internal.peers.revisions import Revision
from tests.fakes import virtual_hub
from tests.fakes.update_fleet import DRAIN_S, UpdateFleet

START_S = 6.0
STORM_S = 4.0
STORM_GAP_S = 0.08
SLOW_S = 1.5
ROUTES = "x" * (2 * MIN_PACKED_BYTES)


class DeferredCase(unittest.TestCase):
    def setUp(self):
        self.fleet = UpdateFleet(12)
        self.addCleanup(self.fleet.stop)
        self.version = 1
        self.change_table()
        eventlet.sleep(START_S)
        self.host = self.fleet.others()[0]
        self.fetches = []
        self.asked = []

    def change_table(self):
        self.version += 1
        value = {"version": self.version, "routes": ROUTES}
        self.fleet.put("config/main", value)

    def on_fetch(self, function):
        """Call a function before each request of the host for a deferred object."""
        call = self.host.link.call

        def counted(peer, message, deadline):
            if isinstance(message, NewsRequest) and not message.fetches:
                self.asked.append(peer.host_id)
            if isinstance(message, NewsRequest) and message.fetches:
                self.fetches.append((virtual_hub.now(), peer.host_id))
                function()
            return call(peer, message, deadline)

        self.host.link.call = counted

    def proof_s(self, kind):
        """Return the age of the host's proof of a kind."""
        return self.host.clock.now() - self.host.updates.proven_at(kind)


class TestOtherNews(DeferredCase):
    # Guards against DRAIN: news of targets waits behind tables.
    def test_does_not_wait_for_a_table(self):
        self.on_fetch(lambda: eventlet.sleep(SLOW_S))
        self.change_table()
        self.fleet.put("servers/t3", None)
        eventlet.sleep(0.2)
        self.assertFalse(self.host.knows("servers/t3"))
        self.assertLess(self.host.version(), self.version)
        eventlet.sleep(SLOW_S - 0.3)
        self.assertLess(self.proof_s("servers/"), DRAIN_S / 2)

    # Guards against CONFIG: an answer that was given before a change, and comes after
    # the news of it, is held for the newest.
    def test_a_late_answer_does_not_stand_for_what_was_named_since(self):
        call, late = self.host.link.call, []

        def deliver_late(peer, message, deadline):
            reply = call(peer, message, deadline)
            if isinstance(message, NewsRequest) and message.fetches:
                late.append(peer.host_id)
                eventlet.sleep(0.4 if len(late) == 1 else SLOW_S)
            return reply

        self.host.link.call = deliver_late
        self.change_table()
        eventlet.sleep(0.1)
        changed_at = self.host.clock.now()
        self.change_table()
        for _ in range(12):
            eventlet.sleep(0.1)
            if self.host.version() < self.version:
                self.assertLess(self.host.updates.proven_at("config/"), changed_at)
        self.assertGreaterEqual(len(late), 2)

    # Guards against CONFIG: what was left out is held for known.
    def test_proves_nothing_of_a_table_that_is_still_to_come(self):
        self.on_fetch(lambda: eventlet.sleep(SLOW_S))
        changed_at = self.host.clock.now()
        self.change_table()
        for _ in range(10):
            eventlet.sleep(0.1)
            self.assertLess(self.host.updates.proven_at("config/"), changed_at)
        eventlet.sleep(SLOW_S)
        self.assertEqual(self.host.version(), self.version)
        self.assertGreater(self.host.updates.proven_at("config/"), changed_at)


class TestStorms(DeferredCase):
    def setUp(self):
        super().setUp()
        self.on_fetch(lambda: None)
        until = virtual_hub.now() + STORM_S
        while virtual_hub.now() < until:
            self.change_table()
            eventlet.sleep(STORM_GAP_S)

    # Guards against DRAIN: a host decodes tables that were overtaken long ago.
    def test_few_of_many_versions_are_fetched(self):
        pause_s = UpdateSettings().within(DRAIN_S).gather_s
        self.assertLessEqual(len(self.fetches), STORM_S / pause_s + 1)
        self.assertGreater(len(self.fetches), 3)

    # Guards against CONFIG: the loss of a relay that is not asked is noticed late.
    def test_both_relays_are_asked_meanwhile(self):
        counts = Counter(self.asked)
        self.assertEqual(len(counts), 2)
        self.assertGreater(min(counts.values()), len(self.asked) / 3)

    def test_the_last_version_arrives(self):
        eventlet.sleep(DRAIN_S / 2)
        self.assertEqual(self.host.version(), self.version)

    # Guards against CONFIG: a host that is behind in a storm goes over to the store.
    def test_what_was_fetched_is_proven_while_they_last(self):
        self.assertLess(
            self.proof_s("config/"), UpdateSettings().within(DRAIN_S).stale_s
        )


class TestRelays(DeferredCase):
    def test_one_that_does_not_answer_is_not_the_only_one_to_have_a_table(self):
        def cut_first():
            if len(self.fetches) == 1:
                first = self.fetches[0][1]
                relays = [r.process for r in self.fleet.relays()]
                machine = next(p.machine for p in relays if p.name == first)
                self.fleet.network.cut([self.host.process.machine], [machine])

        self.on_fetch(cut_first)
        self.change_table()
        eventlet.sleep(DRAIN_S / 2)
        self.assertEqual(self.host.version(), self.version)
        self.assertEqual(len({name for _, name in self.fetches}), 2)

    def test_of_an_earlier_build_send_tables_with_the_other_news(self):
        self.on_fetch(lambda: None)
        for relay in self.fleet.relays():
            relay.link.revision = Revision.HEAVY_LOAD
        self.change_table()
        eventlet.sleep(0.3)
        self.assertEqual((self.host.version(), self.fetches), (self.version, []))

    def test_hosts_of_an_earlier_build_get_tables_with_the_other_news(self):
        self.on_fetch(lambda: None)
        self.host.link.revision = Revision.HEAVY_LOAD
        eventlet.sleep(1.0)
        self.change_table()
        eventlet.sleep(0.3)
        self.assertEqual((self.host.version(), self.fetches), (self.version, []))


if __name__ == "__main__":
    unittest.main()
