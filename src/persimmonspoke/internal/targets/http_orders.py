"""Orders to targets over HTTP."""

import json
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import eventlet

from persimmonspoke.errors import (
    OrderOutcomeUnknown,
    TargetFenced,
    TargetUnreachable,
)
from persimmonspoke.ids import Instant, TargetInstant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets import protocol
from persimmonspoke.internal.targets.api import (
    GrantOrder,
    OrderReply,
    ReleaseOrder,
    TargetAddress,
)
from persimmonspoke.internal.targets.connections import connect
from persimmonspoke.internal.targets.http_requests import BROKEN
from persimmonspoke.internal.targets.settings import TargetSettings

LONGEST_REPLY_BYTES = 65536


@singledispatch
def order_path(order) -> str:
    """Return the path to which an order is posted."""
    raise TypeError(f"no path for {type(order).__name__}")


@order_path.register
def _(order: GrantOrder) -> str:
    return protocol.GRANT_PATH


@order_path.register
def _(order: ReleaseOrder) -> str:
    return protocol.RELEASE_PATH


@singledispatch
def order_value(order) -> dict[str, Any]:
    """Return the JSON object of an order.

    Orders go out many times a second, so a general conversion would cost too much.
    """
    return {
        "team": order.team,
        "service": order.service,
        "page": order.page,
        "fence": order.fence,
        "shards": order.shards,
    }


@order_value.register
def _(order: GrantOrder) -> dict[str, Any]:
    shards = [{"shard": entry.shard, "epoch": entry.epoch} for entry in order.shards]
    value = order_value.dispatch(object)(order)
    return {**value, "shards": shards, "not_after": order.not_after}


class HttpTargetOrders:
    """`TargetOrders` over HTTP/1.1; the process must be monkey-patched.

    A connection is kept for each target between orders.  An order is written once:
    on a kept connection that turns out to be closed, it fails with
    `OrderOutcomeUnknown`, and the next one gets a new connection.
    """

    def __init__(self, cfg: TargetSettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self._idle = {}

    def grant(
        self, target: TargetAddress, order: GrantOrder, deadline: Instant
    ) -> OrderReply:
        """Grant or renew ownership of shards."""
        return self._post(target, order, deadline)

    def release(
        self, target: TargetAddress, order: ReleaseOrder, deadline: Instant
    ) -> OrderReply:
        """Take shards back; the answer says that no work on them goes on."""
        return self._post(target, order, deadline)

    def _post(self, target, order, deadline):
        body = json.dumps(order_value(order)).encode()
        conn = self._connection(target, deadline)
        timer = eventlet.Timeout(max(0.0, deadline - self._clock.now()))
        kept = False
        try:
            reply = self._exchange(conn, order_path(order), body)
            kept = True
            return reply
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise _lost(conn, "no answer before the deadline") from exc
        except BROKEN as exc:
            raise _lost(conn, str(exc)) from exc
        except TargetFenced:
            kept = True
            raise
        finally:
            timer.cancel()
            self._put_back(target, conn, kept)

    def _exchange(self, conn, path, body):
        conn.wrote = False
        headers = {"Content-Type": "application/json"}
        conn.request("POST", path, body=body, headers=headers, preload_content=False)
        resp = conn.getresponse()
        text = resp.read(LONGEST_REPLY_BYTES)
        resp.close()
        if resp.status == HTTPStatus.CONFLICT:
            raise TargetFenced("the target refused an order out of date")
        if resp.status != HTTPStatus.OK:
            raise OrderOutcomeUnknown(f"the target answered {resp.status}")
        return _reply(text)

    def _connection(self, target, deadline):
        now = self._clock.now()
        conn = self._idle.pop((target.ip, target.port), None)
        if conn is not None:
            if conn.answered_at >= now - self._cfg.idle_s and conn.quiet():
                return conn
            conn.close()
        return connect(target.ip, target.port, min(self._cfg.connect_s, deadline - now))

    def _put_back(self, target, conn, kept):
        address = (target.ip, target.port)
        if not kept or conn.sock is None or address in self._idle:
            conn.close()
            return
        conn.answered_at = self._clock.now()
        self._idle[address] = conn


def _reply(text: bytes) -> OrderReply:
    """Read the target's clock out of its answer."""
    value = json.loads(text)
    clock = value.get("clock") if isinstance(value, dict) else None
    if isinstance(clock, bool) or not isinstance(clock, int | float):
        raise OrderOutcomeUnknown("the answer to an order names no clock")
    return OrderReply(TargetInstant(float(clock)))


def _lost(conn, reason) -> Exception:
    """Return what a lost answer means, by whether anything was sent."""
    if conn.wrote:
        return OrderOutcomeUnknown(reason)
    return TargetUnreachable(reason)
