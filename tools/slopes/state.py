"""Sizes of stored objects, messages and state in memory."""

import gc
import json
import tracemalloc

from persimmonspoke.ids import WriteId
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.messages import NewsItem, NewsReply
from persimmonspoke.internal.ownership.messages import RoutePage
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.codec import encode
from persimmonspoke.internal.placement.loads import ShardLoads
from persimmonspoke.internal.placement.messages import LoadNotice
from persimmonspoke.internal.store.api import StoredObject
from persimmonspoke.internal.targets.api import GrantedShard, GrantOrder
from persimmonspoke.internal.targets.http_orders import order_value
from tools.slopes.rows import SlopeRow
from tools.slopes.samples import SHARDS_PER_PAGE, sample_page, sample_team

PAGE_SIZES = (64, 128, 256, 512)
FLEET_SHARDS = (4096, 8192, 16384)
TARGETS = (10, 100, 1000)
ORDERS = (16, 64, 256)
BUSY = (16, 48, 96)


def rows():
    """Yield all slopes of this module."""
    yield _row("state: stored page", "shards", "bytes", PAGE_SIZES, _stored_bytes)
    yield _row("state: page in a message", "shards", "bytes", PAGE_SIZES, _sent_bytes)
    yield _row("state: stored team", "targets", "bytes", TARGETS, _team_bytes)
    yield _row("state: body of a grant order", "shards", "bytes", ORDERS, _order_bytes)
    yield _row("state: load report", "busy shards", "bytes", BUSY, _report_bytes)
    yield _row("state: pages on a host", "shards", "bytes", FLEET_SHARDS, _held_bytes)


def _row(name, size, unit, sizes, measure):
    return SlopeRow(name, size, unit, sizes, tuple(measure(size) for size in sizes))


def _stored_bytes(shards):
    return len(json.dumps(sample_page(1, shards).to_value(WriteId("0" * 32))))


def _sent_bytes(shards):
    value = sample_page(1, shards).to_value(WriteId("0" * 32))
    return len(encode(NewsReply((NewsItem("k", value, 1),), 1, 0.0)))


def _team_bytes(targets):
    return len(json.dumps(sample_team(targets).value))


def _order_bytes(shards):
    granted = tuple(GrantedShard(40_000 + shard, 1200) for shard in range(shards))
    order = GrantOrder("team", "lookup-desk", 100, 1200, granted, 123456.789)
    return len(json.dumps(order_value(order)))


def _report_bytes(busy):
    loads = ShardLoads(FLEET_SHARDS[-1], 6.0, 0.0)
    for shard in range(busy):
        loads.add(shard * 100, 1.0, 1.0 + shard)
    report = loads.report(busy, 2.0)
    host = "host-0001.0123456789ab"
    return len(encode(LoadNotice(host, "team", "lookup-desk", report)))


def _held_bytes(shards):
    """Return the memory of the cached store objects and of the route table's pages."""
    texts = [
        json.dumps(sample_page(number).to_value(WriteId("0" * 32)))
        for number in range(shards // SHARDS_PER_PAGE)
    ]
    gc.collect()
    tracemalloc.start()
    cache = StoreCache(SystemClock())
    routes = []
    for number, text in enumerate(texts):
        value = json.loads(text)
        cache.observe(StoredObject(f"pages/team/lookup-desk/{number}", value, 1))
        routes.append(RoutePage(Page.from_value(value), 1, ()))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size
