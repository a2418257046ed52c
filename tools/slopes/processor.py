"""Processor time of single operations; depends on the machine and is noisy."""

import time

import eventlet
import eventlet.wsgi

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.membership.messages import (
    LeaseReply,
    LeaseRequest,
    Verdict,
)
from persimmonspoke.internal.news.messages import NewsItem, NewsReply
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import decode, encode
from persimmonspoke.internal.peers.zmq_link import ZmqLink
from persimmonspoke.internal.questionnaire.team_record import read_config
from persimmonspoke.internal.targets.api import (
    GrantedShard,
    GrantOrder,
    TargetAddress,
)
from persimmonspoke.internal.targets.http_orders import HttpTargetOrders
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.standins.target import TargetState, make_target_app
from tools.slopes.rows import SlopeRow
from tools.slopes.samples import sample_page, sample_team

RUNS = 5
CALLS = 2000
PEERS = (1, 4, 16)
PAGE_SIZES = (64, 256, 1024)
TARGETS = (10, 100, 1000)
ORDER_SHARDS = (16, 64, 256)
CALL_TIMEOUT_S = 60


def rows():
    """Yield all slopes of this module."""
    yield SlopeRow(
        "processor: one call between hosts, both ends",
        "peers called in turn",
        "us",
        PEERS,
        tuple(_call_us(count) for count in PEERS),
    )
    yield SlopeRow(
        "processor: one grant order over HTTP, both ends",
        "shards named",
        "us",
        ORDER_SHARDS,
        tuple(_order_us(count) for count in ORDER_SHARDS),
    )
    for name, measure, size, sizes in (
        ("read one page from a relay's answer", _read_page_us, "shards", PAGE_SIZES),
        ("move one shard of a page", _move_us, "shards", PAGE_SIZES),
        ("check one team's configuration", _config_us, "targets", TARGETS),
    ):
        values = tuple(measure(count) for count in sizes)
        yield SlopeRow(f"processor: {name}", size, "us", sizes, values)


def _call_us(peers):
    """Return the processor time of one lease request and its reply."""
    clock = SystemClock()
    links = [
        ZmqLink(PeerAddress(HostId(f"h{number}.1"), "127.0.0.1", 0), clock)
        for number in range(peers + 1)
    ]
    reply = LeaseReply(verdict=Verdict.GRANTED, unrevoked_s=0.5, heirs=())
    for link in links:
        link.serve(LeaseRequest, lambda msg: reply)
    deadline = Instant(clock.now() + CALL_TIMEOUT_S)

    def run_once(number):
        req = LeaseRequest(
            holder=links[0].address.host_id,
            named=True,
            acting_for=HostId(""),
            sequence=number,
            echoed=number,
        )
        links[0].call(links[1 + number % peers].address, req, deadline)

    for number in range(peers):
        run_once(number)
    best = _best_us(run_once, CALLS)
    for link in links:
        link.close()
    return best


def _order_us(shards):
    """Return the processor time of one grant order and its response."""
    clock = SystemClock()
    listener = eventlet.listen(("127.0.0.1", 0))
    app = make_target_app(TargetState("t"))
    server = eventlet.spawn(eventlet.wsgi.server, listener, app, log_output=False)
    target = TargetAddress("t", "127.0.0.1", listener.getsockname()[1])
    orders = HttpTargetOrders(TargetSettings(), clock)
    granted = tuple(GrantedShard(shard, 1) for shard in range(shards))
    order = GrantOrder("team", "service", 0, 1, granted, clock.now() + CALL_TIMEOUT_S)
    deadline = Instant(clock.now() + CALL_TIMEOUT_S)
    best = _best_us(lambda number: orders.grant(target, order, deadline), CALLS // 10)
    server.kill()
    listener.close()
    return best


def _read_page_us(shards):
    item = NewsItem("k", sample_page(1, shards).to_value("0" * 32), 1)
    data = encode(NewsReply((item,), 1, 0.0))

    def run_once(number):
        Page.from_value(decode(data).items[0].value)

    return _best_us(run_once, CALLS // 20)


def _move_us(shards):
    page = sample_page(0, shards)
    return _best_us(lambda number: page.moved({0: "other"}), CALLS // 20)


def _config_us(targets):
    stored = sample_team(targets)
    return _best_us(lambda number: read_config(stored), CALLS // 100)


def _best_us(step, repeats):
    """Return the lowest processor time of one step over several runs."""
    best = float("inf")
    for _ in range(RUNS):
        started = time.process_time()
        for number in range(repeats):
            step(number)
        best = min(best, time.process_time() - started)
        eventlet.sleep(0)
    return 1e6 * best / repeats
