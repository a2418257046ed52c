"""Tests of routes, splits, configurations and targets on one host."""

import copy
import unittest
from unittest import mock

from persimmonspoke.errors import MalformedDocument, UnknownPath
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.routing.config import (
    RouteConfig,
    RouteKind,
    RoutingConfig,
    SplitPart,
    TargetState,
)
from persimmonspoke.internal.routing.splits import WeightedRoundRobin
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.routing.table import RouteTable
from persimmonspoke.internal.store.api import Listing, StoredObject
from persimmonspoke.platform import documents
from tests.fakes.caller_parts import HubClock


def route(name="r", host="shop.example", prefix="/a/", parts=(("stock", 1.0),)):
    return RouteConfig(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        objective_s=0.3,
        rank=1,
        max_attempts=2,
        parts=tuple(SplitPart(*part) for part in parts),
    )


class TestRouteTable(unittest.TestCase):
    def setUp(self):
        routes = (route("short", prefix="/a/"), route("long", prefix="/a/b/"))
        self.table = RouteTable(RoutingConfig(1, routes, {}))

    def find(self, path, host="shop.example"):
        return self.table.find(host, path).name

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.find("/a/b/c"), "long")
        self.assertEqual(self.find("/a/bc"), "short")

    def test_the_prefix_itself_belongs_to_the_route(self):
        self.assertEqual(self.find("/a/b/"), "long")
        self.assertEqual(self.find("/a/b"), "short")

    def test_case_and_port_of_the_host_do_not_matter(self):
        self.assertEqual(self.find("/a/x", "SHOP.example:8080"), "short")

    def test_other_hosts_and_paths_have_no_route(self):
        for host, path in (("other.example", "/a/b/"), ("shop.example", "/b/")):
            with self.assertRaises(UnknownPath):
                self.find(path, host)


class TestSplits(unittest.TestCase):
    def test_every_short_sequence_keeps_close_to_the_weights(self):
        round_robin = WeightedRoundRobin()
        split = route(parts=(("one", 90.0), ("two", 10.0)))
        picks = [round_robin.choose(split) for _ in range(200)]
        for start in range(0, 180, 20):
            self.assertEqual(picks[start : start + 20].count("two"), 2)

    def test_a_part_without_weight_gets_no_requests(self):
        round_robin = WeightedRoundRobin()
        split = route(parts=(("one", 1.0), ("two", 0.0)))
        self.assertEqual({round_robin.choose(split) for _ in range(50)}, {"one"})


def config_value(version=1, service="stock", **fields):
    """Return a configuration as the platform stores it."""
    value = {
        "version": version,
        "routes": {
            "columns": [
                "name",
                "host",
                "path_prefix",
                "route_kind",
                "timeout_s",
                "target_latency_s",
                "priority",
                "traffic_split",
                "max_attempts",
                "service",
            ],
            "rows": [
                ["r", "h", "/a/", "unsafe", 1, 0.4, 1, None, 2, service],
                [
                    "s",
                    "h",
                    "/b/",
                    "safe",
                    2,
                    None,
                    None,
                    [
                        {"service": service, "weight": 90},
                        {"service": "x", "weight": 10},
                    ],
                    None,
                    None,
                ],
            ],
        },
        "services": {
            "columns": ["name", "max_connections", "sharded"],
            "rows": [[service, 110, True], ["x", 50, None]],
        },
        "limits": {"idle_timeout_s": 12},
    }
    return {**value, **fields}


def target_value(**fields):
    """Return a target's entry as the platform stores it."""
    value = {
        "service": "stock",
        "address": "10.0.0.1:8080",
        "zone": "a",
        "slots": 2,
        "state": "ready",
        "warmup_left_s": 0,
        "sequence": 4,
        "born": 1700000000000,
    }
    return {**value, **fields}


class TestConfigDecoder(unittest.TestCase):
    """Guards against DRAIN: decoding tables leaves no time for news of targets."""

    def setUp(self):
        self.decoder = documents.ConfigDecoder()
        self.value = config_value()

    def changed(self, column, cell, row=0):
        """Return the configuration with another cell of a route."""
        value = copy.deepcopy(self.value)
        at = value["routes"]["columns"].index(column)
        value["routes"]["rows"][row][at] = cell
        return value

    def test_only_routes_that_have_changed_are_decoded_again(self):
        self.decoder.decode(self.value)
        with mock.patch.object(
            documents, "_route", wraps=documents._route
        ) as decode_route:
            found = self.decoder.decode(self.changed("timeout_s", 7))
        self.assertEqual(decode_route.call_count, 1)
        self.assertEqual(found.routes[0].timeout_s, 7)

    # Operators' tools may write columns that are not read, and leave them out again.
    def test_a_column_that_is_not_read_makes_no_route_another_one(self):
        self.decoder.decode(self.value)
        value = copy.deepcopy(self.value)
        value["routes"]["columns"].append("remark")
        for number, row in enumerate(value["routes"]["rows"]):
            row.append(number or None)
        with mock.patch.object(documents, "_route") as decode_route:
            found = self.decoder.decode(value)
        decode_route.assert_not_called()
        self.assertEqual(found, documents.decode_config(value))

    def test_of_a_column_that_comes_twice_the_last_cell_counts(self):
        value = copy.deepcopy(self.value)
        value["routes"]["columns"].append("timeout_s")
        for row in value["routes"]["rows"]:
            row.append(9)
        for _ in range(2):
            self.assertEqual(self.decoder.decode(value).routes[0].timeout_s, 9)

    def test_finds_the_same_as_a_decoder_that_knows_no_other_version(self):
        cells = (7, 7.0, True, "7", None, [], 10**30, "\ud800", [[[]]] * 3)
        columns = self.value["routes"]["columns"]
        for column in columns:
            for cell in cells:
                for value in (self.changed(column, cell), self.value):
                    self.decoder.decode(self.value)
                    with self.subTest(column=column, cell=cell):
                        found = self.decoder.decode(value)
                        expected = documents.decode_config(value)
                        self.assertEqual(repr(found), repr(expected))

    def test_a_cell_of_another_type_is_another_cell(self):
        self.decoder.decode(self.changed("priority", 1))
        found = self.decoder.decode(self.changed("priority", True))
        self.assertEqual(found.unreadable[0].name, "priority")

    def test_a_fault_is_reported_in_each_version(self):
        for _ in range(3):
            found = self.decoder.decode(self.changed("timeout_s", "soon"))
            self.assertEqual([f.name for f in found.unreadable], ["timeout_s"])

    def test_cells_under_other_columns_are_other_cells(self):
        self.decoder.decode(self.value)
        value = copy.deepcopy(self.value)
        columns = value["routes"]["columns"]
        a, b = columns.index("timeout_s"), columns.index("max_attempts")
        columns[a], columns[b] = columns[b], columns[a]
        self.assertEqual(self.decoder.decode(value).routes[0].timeout_s, 2)


class TestDocuments(unittest.TestCase):
    """The adapter decodes the platform's documents into the project's types."""

    def test_rows_become_routes_and_services(self):
        cfg = documents.decode_config(config_value())
        first, second = cfg.routes
        self.assertEqual((first.kind, first.objective_s), (RouteKind.PROTECTED, 0.4))
        self.assertEqual(first.parts, (SplitPart("stock", 1.0),))
        self.assertEqual([part.weight for part in second.parts], [90.0, 10.0])
        self.assertEqual((second.objective_s, second.max_attempts), (2.0, 1))
        self.assertTrue(cfg.services["stock"].divided)
        self.assertFalse(cfg.services["x"].divided)
        self.assertEqual(cfg.limits.idle_timeout_s, 12.0)

    def test_a_configuration_without_a_version_or_a_table_is_malformed(self):
        for fields in (
            {"version": None},
            {"version": "7"},
            {"routes": []},
            {"services": {"columns": ["name"]}},
        ):
            with self.subTest(fields), self.assertRaises(MalformedDocument):
                documents.decode_config(config_value(**fields))

    def test_a_service_without_a_connection_limit_is_reported_and_gets_the_default(
        self,
    ):
        services = {"columns": ["name"], "rows": [["a"]]}
        cfg = documents.decode_config(config_value(services=services))
        self.assertEqual(
            cfg.services["a"].max_connections, documents.DEFAULT_MAX_CONNECTIONS
        )
        self.assertEqual(
            [(f.entry, f.name) for f in cfg.unreadable], [("a", "max_connections")]
        )

    def test_a_target_has_its_address_state_and_start_time(self):
        found = documents.decode_target("i-1", target_value(state="draining"))
        self.assertEqual((found.ip, found.port), ("10.0.0.1", 8080))
        self.assertIs(found.state, TargetState.LEAVING)
        self.assertEqual(found.born_ms, 1700000000000)

    def test_entries_with_invalid_fields_are_malformed(self):
        for fields in (
            {"state": "lost"},
            {"address": "10.0.0.1"},
            {"address": 5},
            {"slots": "2"},
            {"slots": True},
            {"service": ""},
            {"born": 1.5},
        ):
            with self.subTest(fields), self.assertRaises(MalformedDocument):
                documents.decode_target("i-1", target_value(**fields))


class TestRoutingState(unittest.TestCase):
    def setUp(self):
        self.clock = HubClock()
        self.cache = StoreCache(self.clock)
        self.outage = None
        self.state = RoutingState(
            self.cache,
            self.clock,
            documents.CONFIG_KEY,
            documents.TARGETS_PREFIX,
            documents.decode_config,
            documents.decode_target,
            lambda: self.outage,
        )
        self.version = 0

    def put(self, key, value):
        self.version += 1
        self.cache.observe(StoredObject(key, value, self.version))
        self.state.refresh()

    def put_target(self, name, **fields):
        self.put(f"servers/{name}", target_value(**fields))

    def apply_listing(self, *names):
        """Apply a listing of the store that contains only the targets `names`."""
        prefix = documents.TARGETS_PREFIX
        before = self.cache.snapshot(prefix)
        items = tuple(before[prefix + name] for name in names)
        self.cache.observe_listing(Listing(items, self.version), before)
        self.state.refresh()

    def test_an_older_configuration_never_replaces_a_newer_one(self):
        self.put("config/main", config_value(version=7))
        self.put("config/main", config_value(version=5))
        self.assertEqual(self.state.generation(), 7)

    def test_an_unreadable_configuration_leaves_the_previous_one_in_force(self):
        self.put("config/main", config_value(version=7))
        self.put("config/main", {"unreadable": "x"})
        self.assertEqual(self.state.generation(), 7)
        self.put("config/main", config_value(version=8))
        self.assertEqual(self.state.generation(), 8)

    def test_an_unreadable_target_entry_is_ignored_and_the_others_are_used(self):
        self.put_target("good")
        self.put_target("bad", state="lost")
        self.assertEqual(set(self.state.targets), {"good"})

    def test_a_target_whose_entry_is_removed_is_dropped_at_once(self):
        self.put_target("one")
        self.put_target("two")
        self.apply_listing("two")
        self.assertEqual(set(self.state.targets), {"two"})

    def test_an_entry_that_expired_in_an_outage_is_kept_for_the_reregistration_time(
        self,
    ):
        self.put_target("one")
        self.outage = self.clock.now()
        self.apply_listing()
        self.assertEqual(set(self.state.targets), {"one"})
        self.clock.sleep_until(self.clock.now() + 2.3)
        self.state.refresh()
        self.assertEqual(set(self.state.targets), set())

    def test_a_leaving_target_of_a_service_not_divided_by_key_is_no_candidate(self):
        self.put("config/main", config_value())
        self.put_target("one", service="x")
        self.put_target("two", service="x", state="draining")
        entry = self.state._entries["x"]
        self.assertEqual(entry.target_ids, ("one",))
        self.assertIsNotNone(self.state.leaving_since("two"))


if __name__ == "__main__":
    unittest.main()
