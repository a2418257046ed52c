"""Tests that one odd entry of another writer affects only itself.

More and new examples by hand: set ``PERSIMMONSPOKE_EXAMPLES`` to their number.
"""

import itertools
import json
import math
import os
import random
import unittest
from types import SimpleNamespace

import eventlet
from hypothesis import example, given, settings
from hypothesis import strategies as st

from persimmonspoke.errors import (
    InvalidSettings,
    MalformedDocument,
    OrderOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.callers.attempts import _content_length
from persimmonspoke.internal.membership.http_host_list import HttpHostList
from persimmonspoke.internal.news.messages import NewsItem, NewsReply
from persimmonspoke.internal.peers import codec
from persimmonspoke.internal.store.http_store import _json
from persimmonspoke.internal.targets.http_orders import _parse_reply
from persimmonspoke.platform import documents, headers, pages
from persimmonspoke.platform.objects import ObjectStore, _Answer
from persimmonspoke.platform.settings_file import read_settings
from tests.cover.test_routing import config_value, target_value
from tests.cover.test_unreadable_input import SETTINGS
from tests.fakes.caller_parts import HubClock

COUNT = int(os.environ.get("PERSIMMONSPOKE_EXAMPLES", "0"))
EXAMPLES = settings(
    max_examples=COUNT or 150, derandomize=not COUNT, deadline=None, database=None
)

DEEP = "[" * 100_000 + "]" * 100_000
DEEP_OBJECT = '{"a":' * 50_000 + "1" + "}" * 50_000
LONG_INT = "9" * 5_000
ODD_TEXTS = (
    DEEP,
    DEEP_OBJECT,
    "[" * 500 + "]" * 500,
    LONG_INT,
    f"-{LONG_INT}",
    f"1{'0' * 399}",
    "9223372036854775808",
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    '"\\ud800"',
    '{"\\udfff": 1}',
    '{"a": 1, "a": 2}',
    f'"{"x" * 100_000}"',
    f'{{"{"k" * 100_000}": 1}}',
    "null",
    "[]",
    "{}",
    "true",
    "1.5",
    '"10.0.0.1:70000"',
    f'"10.0.0.1:{LONG_INT}"',
    '"10.0.0.1:-1"',
)
"""JSON texts of values that no field accepts, or that are hard to read."""

odd_values = st.sampled_from(ODD_TEXTS) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
).map(json.dumps)


def entry_text(name, **odd):
    """Return the JSON text of an entry, with some fields given as texts."""
    value = target_value()
    fields = {field: json.dumps(found) for field, found in value.items()}
    fields.update(odd)
    spec = ",".join(f"{json.dumps(field)}:{text}" for field, text in fields.items())
    return item_text(json.dumps(name), "{" + spec + "}")


def item_text(name, spec, revision="7"):
    return f'{{"metadata":{{"name":{name},"revision":{revision}}},"spec":{spec}}}'


class PageCase(unittest.TestCase):
    """A store whose answers a test gives as texts."""

    def setUp(self):
        self.store = ObjectStore("10.0.0.1:1", HubClock())
        self.pages = []
        self.store._request = lambda *args: _Answer(200, self.pages.pop(0), 0)

    def list(self, *pages_of_items):
        """Return the objects of a listing of one or more pages, by name."""
        for number, items in enumerate(pages_of_items, start=1):
            more = "true" if number < len(pages_of_items) else "false"
            page = f'{{"items":[{",".join(items)}],"has_more":{more},"current_rev":9}}'
            self.pages.append(page.encode())
        found = self.store.list("servers/", Instant(1.0))
        return {item.key.removeprefix("servers/"): item.value for item in found.items}

    def watch(self, *objects):
        """Return the changed objects of a watch, by name."""
        events = ",".join(f'{{"object":{o},"deleted":false}}' for o in objects)
        self.pages.append(f'{{"events":[{events}],"current_rev":9}}'.encode())
        found = self.store.watch("servers/", 5, Instant(1.0))
        return {item.key.removeprefix("servers/"): item.value for item in found.items}

    def assert_others_are_used(self, found):
        for name in ("one", "two"):
            self.assertEqual(documents.decode_target(name, found[name]).slots, 2)
        items = tuple(NewsItem(f"servers/{n}", value, 7) for n, value in found.items())
        passed_on = codec.decode(codec.encode(NewsReply(items, 1, 0.0)))
        self.assertEqual(len(passed_on.items), len(items))


FIELDS = ("service", "address", "zone", "slots", "state", "born", "warmup_left_s", "x")


class TestEntriesOfTargets(PageCase):
    """Guards against LOST: one odd entry, and hosts that read the list end or stop."""

    @EXAMPLES
    @given(st.sampled_from(FIELDS), odd_values)
    @example("x", DEEP)
    @example("slots", LONG_INT)
    @example("address", '"10.0.0.1:70000"')
    def test_an_odd_field_affects_only_its_entry(self, field, text):
        odd = entry_text("odd", **{field: text})
        texts = [entry_text("one"), odd, entry_text("two")]
        for found in (self.list(texts), self.watch(*texts)):
            self.assert_others_are_used(found)
            self.assertIn("odd", found)
            try:
                record = documents.decode_target("odd", found["odd"])
            except MalformedDocument as exc:
                self.assertLess(len(str(exc)), 400)
            else:
                self.assertLessEqual(record.slots, documents.MAX_SLOTS)
                self.assertTrue(0 < record.port <= documents.MAX_PORT)

    @EXAMPLES
    @given(odd_values)
    @example(DEEP)
    @example(DEEP_OBJECT)
    @example(LONG_INT)
    def test_an_item_that_is_something_else_affects_only_itself(self, text):
        for odd in (
            text,
            item_text('"odd"', text),
            item_text(text, json.dumps(target_value())),
            item_text('"odd"', json.dumps(target_value()), revision=text),
        ):
            texts = [entry_text("one"), odd, entry_text("two")]
            self.assert_others_are_used(self.list(texts))
            self.assert_others_are_used(self.watch(*texts))

    def test_a_list_whose_last_item_has_no_name_goes_on_after_the_one_before(self):
        found = self.list([entry_text("one"), DEEP], [entry_text("two")])
        self.assert_others_are_used(found)

    def test_a_page_without_any_name_is_no_listing(self):
        with self.assertRaises(StoreUnavailable):
            self.list([DEEP], [entry_text("two")])

    def test_an_odd_item_is_logged_once_and_not_at_each_poll(self):
        texts = [entry_text("one"), DEEP, entry_text("two")]
        with self.assertLogs("persimmonspoke.platform.objects") as logs:
            for _ in range(5):
                self.list(texts)
                self.watch(*texts)
        self.assertEqual(len(logs.records), 1)
        self.assertLessEqual(len(logs.records[0].value), 80)

    def test_a_page_that_ends_within_a_deep_item_is_not_taken_for_whole(self):
        self.pages.append(b'{"items":[' + b"[" * 100_000)
        with self.assertRaises(StoreUnavailable):
            self.store.list("servers/", Instant(1.0))


class TestConfigurations(PageCase):
    """Guards against a cell of one route that makes the configuration unreadable."""

    @EXAMPLES
    @given(st.integers(0, 9), odd_values)
    @example(0, DEEP)
    @example(4, LONG_INT)
    @example(7, DEEP)
    def test_an_odd_cell_affects_only_its_route(self, column, text):
        value = config_value()
        value["routes"]["rows"][0][column] = "ODD CELL"
        spec = json.dumps(value).replace('"ODD CELL"', text)
        (found,) = self.list([item_text('"main"', spec)]).values()
        cfg = documents.decode_config(found)
        (whole,) = [route for route in cfg.routes if route.prefix == "/b/"]
        self.assertEqual([part.weight for part in whole.parts], [90.0, 10.0])
        for route in cfg.routes:
            self.assertLessEqual(route.timeout_s, documents.MAX_NUMBER)
            self.assertLessEqual(route.max_attempts, documents.MAX_COUNT)


class TestNumbersInHeaders(unittest.TestCase):
    """Guards against a number of thousands of digits, which Python does not convert."""

    def test_that_are_too_long_count_as_none(self):
        fields = headers.caller_fields(
            {
                "HTTP_PERSIMMONSPOKE_REQUEST_ID": "r1",
                "HTTP_PERSIMMONSPOKE_DEADLINE_MS": LONG_INT,
                "HTTP_PERSIMMONSPOKE_SHARD_KEY": LONG_INT,
            }
        )
        self.assertEqual((fields.caller_timeout_s, fields.key), (None, None))
        self.assertIsNone(_content_length((("Content-Length", LONG_INT),)))
        self.assertIsNone(headers.rate_limit({headers.RATE_LIMIT: LONG_INT}))

    def test_an_era_that_is_too_long_is_not_believed(self):
        store = ObjectStore("10.0.0.1:1", HubClock())
        self.assertEqual(store._era_of({"Store-Era": LONG_INT}), 0)
        self.assertEqual(store._era_of({"Store-Era": "3"}), 3)


ODD_SETTINGS = (LONG_INT, "70000", "-1", "", "nan", "x", DEEP)


class TestSettings(unittest.TestCase):
    @EXAMPLES
    @given(st.integers(0, 6), st.sampled_from(ODD_SETTINGS))
    def test_an_odd_line_is_named_or_ignored_and_ends_nothing(self, number, text):
        lines = SETTINGS.splitlines()
        name = lines[number].partition("=")[0]
        lines[number] = f"{name}={text}"
        extra = [f"bounds=drain_s={text},grace_s=6", f"limits.memory_mb={text}"]
        try:
            found = read_settings("\n".join(lines + extra))
        except InvalidSettings as exc:
            self.assertLess(len(str(exc)), 200)
        else:
            self.assertEqual(found.bounds.grace_s, 6.0)
            self.assertLessEqual(found.caller_port, 65535)


class TestAnswersToOtherClients(unittest.TestCase):
    """Guards against one answer that ends a task of `persimmonspoked`."""

    def test_an_answer_to_an_order_that_can_not_be_read_leaves_its_outcome_open(self):
        for text in (DEEP[:60_000], '{"clock": 1e300}', '{"clock": NaN}', "[]"):
            with self.subTest(text[:20]), self.assertRaises(OrderOutcomeUnknown):
                _parse_reply(text.encode())
        self.assertEqual(_parse_reply(b'{"clock": 5}').clock, 5.0)

    def test_an_answer_of_the_store_that_is_nested_deeply_is_none(self):
        answer = SimpleNamespace(data=DEEP.encode())
        with self.assertRaises(StoreUnavailable):
            _json(answer, StoreUnavailable)

    def test_a_list_of_hosts_that_can_not_be_read_leaves_the_one_before(self):
        hosts = HttpHostList("http://10.0.0.1:1", HubClock())
        last = '{"live":["b"],"leaving":[]}'
        odd = (DEEP, "[]", '{"live": 5}', LONG_INT)
        texts = itertools.chain(odd, itertools.repeat(last))
        hosts._http = SimpleNamespace(
            request=lambda *args, **fields: SimpleNamespace(
                status=200, data=next(texts).encode()
            )
        )
        task = eventlet.spawn(hosts.run)
        eventlet.sleep(60)
        task.kill()
        self.assertEqual(hosts._live, {"b"})


class TestWhatHostsPassOn(unittest.TestCase):
    def test_the_largest_integer_is_usable_and_the_next_one_is_not(self):
        self.assertEqual(pages.usable(pages.MAX_INT), pages.MAX_INT)
        self.assertTrue(math.isnan(pages.usable(pages.MAX_INT + 1)))

    @EXAMPLES
    @given(odd_values)
    def test_whatever_is_usable_can_be_sent(self, text):
        value = pages.usable(pages.decode_page(b'{"a":' + text.encode() + b"}"))
        codec.msgpack.packb(value)

    @EXAMPLES
    @given(st.binary(max_size=60), st.integers(0, 2**32))
    def test_bytes_of_another_writer_are_malformed_or_read(self, data, seed):
        item = NewsItem("servers/a", {"x": [1, "y"]}, 7)
        whole = codec.encode(NewsReply((item,), 1, 0.0))
        cut = random.Random(seed).randrange(len(whole))
        for sent in (data, whole[:cut], whole[:cut] + data):
            try:
                codec.decode(sent)
            except codec.MalformedMessage:
                continue


if __name__ == "__main__":
    unittest.main()
