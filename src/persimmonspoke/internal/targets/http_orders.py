"""Sends orders to targets over HTTP."""

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
from persimmonspoke.internal.targets.http_requests import CONNECTION_ERRORS
from persimmonspoke.internal.targets.settings import TargetSettings

MAX_REPLY_BYTES = 65536
MAX_CLOCK_S = 1e15


@singledispatch
def order_path(order) -> str:
    """Return the path to which an order is posted."""
    raise TypeError(f"no path for orders of type {type(order).__name__}")


@order_path.register
def _(order: GrantOrder) -> str:
    return protocol.GRANT_PATH


@order_path.register
def _(order: ReleaseOrder) -> str:
    return protocol.RELEASE_PATH


@singledispatch
def order_value(order) -> dict[str, Any]:
    """Return the JSON object of an order.

    It is built by hand because orders are sent many times a second, and a generic
    conversion would cost too much.
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
    """Implements `TargetOrders` over HTTP/1.1.

    The process must be monkey-patched by eventlet.  One idle connection per target is
    kept between orders.  An order is never written twice: if the idle connection
    turns out to be closed, the order fails with `OrderOutcomeUnknown`, and the next
    one gets a new connection.
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
        """Revoke shards; once answered, no request for them is running."""
        return self._post(target, order, deadline)

    def _post(self, target, order, deadline):
        body = json.dumps(order_value(order)).encode()
        conn = self._connection(target, deadline)
        timer = eventlet.Timeout(max(0.0, deadline - self._clock.now()))
        reusable = False
        try:
            reply = self._exchange(conn, order_path(order), body)
            reusable = True
            return reply
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise _lost_answer_error(conn, "no answer before the deadline") from exc
        except CONNECTION_ERRORS as exc:
            raise _lost_answer_error(conn, str(exc)) from exc
        except TargetFenced:
            reusable = True
            raise
        finally:
            timer.cancel()
            self._put_back(target, conn, reusable)

    def _exchange(self, conn, path, body):
        conn.wrote = False
        headers = {"Content-Type": "application/json"}
        conn.request("POST", path, body=body, headers=headers, preload_content=False)
        resp = conn.getresponse()
        text = resp.read(MAX_REPLY_BYTES)
        resp.close()
        if resp.status == HTTPStatus.CONFLICT:
            raise TargetFenced("the target refused an order out of date")
        if resp.status != HTTPStatus.OK:
            raise OrderOutcomeUnknown(f"the target answered {resp.status}")
        return _parse_reply(text)

    def _connection(self, target, deadline):
        now = self._clock.now()
        conn = self._idle.pop((target.ip, target.port), None)
        if conn is not None:
            if conn.answered_at >= now - self._cfg.idle_s and conn.is_reusable():
                return conn
            conn.close()
        return connect(target.ip, target.port, min(self._cfg.connect_s, deadline - now))

    def _put_back(self, target, conn, reusable):
        address = (target.ip, target.port)
        if not reusable or conn.sock is None or address in self._idle:
            conn.close()
            return
        conn.answered_at = self._clock.now()
        self._idle[address] = conn


def _parse_reply(text: bytes) -> OrderReply:
    """Return the answer to an order, which contains the time on the target's clock."""
    try:
        value = json.loads(text)
    except RecursionError as exc:
        raise OrderOutcomeUnknown("the answer to an order is nested deeply") from exc
    clock = value.get("clock") if isinstance(value, dict) else None
    if isinstance(clock, bool) or not isinstance(clock, int | float):
        raise OrderOutcomeUnknown("the answer to an order names no clock")
    if not abs(clock) <= MAX_CLOCK_S:
        raise OrderOutcomeUnknown("the answer to an order names an impossible clock")
    return OrderReply(TargetInstant(float(clock)))


def _lost_answer_error(conn, reason) -> Exception:
    """Return the error for a lost answer; it depends on whether bytes were written."""
    if conn.wrote:
        return OrderOutcomeUnknown(reason)
    return TargetUnreachable(reason)
