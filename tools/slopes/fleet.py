"""Messages, bytes and store calls of idle fleets, in virtual time."""

import time

import eventlet
from tests.fakes import virtual_hub
from tests.fakes.cluster import FakeCluster

from tools.slopes.rows import SlopeRow

HOSTS = (4, 8, 16)
SHARDS = (64, 256, 1024)
SHARDS_PER_PAGE = 16
SETTLE_S = 8.0
MEASURE_S = 10.0
HOSTS_OF_SHARD_SLOPES = 4


def rows():
    """Yield the slopes over hosts, then over shards, for both kinds of targets."""
    virtual_hub.install()
    for checks in (True, False):
        kind = "that check the fence" if checks else "that do not check the fence"
        measured = [_measure(count, 64, checks) for count in HOSTS]
        yield from _rows(f"targets {kind}", "hosts", HOSTS, measured)
        measured = [_measure(HOSTS_OF_SHARD_SLOPES, count, checks) for count in SHARDS]
        yield from _rows(f"targets {kind}, 4 hosts", "shards", SHARDS, measured)


def _rows(subject, size, sizes, measured):
    units = ("bytes/s", "orders/s", "calls/s", "ms/s")
    names = (
        "bytes sent by a host",
        "grant orders of the fleet",
        "store calls of the fleet",
        "processor time of a host and its share of the fakes",
    )
    for column, (name, unit) in enumerate(zip(names, units, strict=True)):
        values = tuple(row[column] for row in measured)
        yield SlopeRow(f"fleet: {name}, {subject}", size, unit, sizes, values)


def _measure(hosts, shards, checks):
    """Return bytes, orders, store calls and processor time per second while idle."""
    cluster = FakeCluster(
        hosts=hosts, targets=4, checks=checks, shards=shards, page=SHARDS_PER_PAGE
    )
    orders = []
    _count_orders(cluster, orders)
    eventlet.sleep(SETTLE_S)
    sent_before = sum(host.link.bytes_sent for host in cluster.hosts.values())
    calls, before = len(cluster.platform.calls), len(orders)
    started = time.process_time()
    eventlet.sleep(MEASURE_S)
    took_s = time.process_time() - started
    now = sum(host.link.bytes_sent for host in cluster.hosts.values())
    result = (
        (now - sent_before) / MEASURE_S / hosts,
        (len(orders) - before) / MEASURE_S,
        (len(cluster.platform.calls) - calls) / MEASURE_S,
        1000 * took_s / MEASURE_S / hosts,
    )
    cluster.close()
    return result


def _count_orders(cluster, orders):
    """Append the page of each grant order that reaches a target to `orders`."""
    for target in cluster.targets.values():
        original = target.grant

        def recording(order, original=original):
            orders.append(order.page)
            return original(order)

        target.grant = recording
