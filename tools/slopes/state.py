"""Sizes of what is stored, sent and held in memory."""

import gc
import json
import tracemalloc

from persimmonspoke.ids import WriteId
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.news.messages import NewsItem, NewsReply
from persimmonspoke.internal.ownership.messages import RoutePage
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.codec import encode
from persimmonspoke.internal.store.api import Stored
from tools.slopes.rows import SlopeRow
from tools.slopes.samples import SHARDS_PER_PAGE, sample_page, sample_team

PAGE_SIZES = (64, 128, 256, 512)
FLEET_SHARDS = (4096, 8192, 16384)
TARGETS = (10, 100, 1000)


def rows():
    """Yield all slopes of this module."""
    yield _row("state: stored page", "shards", "bytes", PAGE_SIZES, _stored_bytes)
    yield _row("state: page in a message", "shards", "bytes", PAGE_SIZES, _sent_bytes)
    yield _row("state: stored team", "targets", "bytes", TARGETS, _team_bytes)
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


def _held_bytes(shards):
    """Return the memory of the news and of the route table's copy of all pages."""
    texts = [
        json.dumps(sample_page(number).to_value(WriteId("0" * 32)))
        for number in range(shards // SHARDS_PER_PAGE)
    ]
    gc.collect()
    tracemalloc.start()
    board = NewsBoard(SystemClock())
    routes = []
    for number, text in enumerate(texts):
        value = json.loads(text)
        board.observe(Stored(f"pages/team/lookup-desk/{number}", value, 1))
        routes.append(RoutePage(Page.from_value(value), 1, ()))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size
