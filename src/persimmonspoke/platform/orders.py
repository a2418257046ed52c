"""Sends orders about keys to targets in the platform's protocol."""

import json
import socket
import struct
from http.client import HTTPException

import eventlet
from urllib3.exceptions import HTTPError

from persimmonspoke.errors import (
    OrderConnectionLost,
    OrderOutcomeUnknown,
    TargetFenced,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import (
    MAX_HEAD_BYTES,
    TargetConnection,
    connect,
)
from persimmonspoke.internal.targets.notices import TargetNotices, no_notices
from persimmonspoke.platform import headers

HANDOVER = "Persimmonspoke-Handover"
CONNECT_S = 0.5  # connecting within one region takes milliseconds
MAX_IDLE_PER_TARGET = 1
MAX_IDLE_S = 30.0  # a target that owns keys gets orders several times a second
READ_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class HttpRangeOrders:
    """Implements `persimmonspoke.internal.ranges.api.RangeOrders`.

    Parameters
    ----------
    notices : TargetNotices
        Receives what answers say of their targets.
    """

    def __init__(self, clock: Clock, notices: TargetNotices | None = None):
        self._clock = clock
        self._notices = no_notices() if notices is None else notices
        # By target, since one at the address of another is another process.
        self._idle: dict[TargetAddress, list[TargetConnection]] = {}
        self._next_tidy_at = Instant(clock.now() + MAX_IDLE_S)

    def grant(
        self, target: TargetAddress, order: RangeGrant, deadline: Instant
    ) -> None:
        """Grant keys to a target, or renew a grant."""
        body = {
            "from": order.first,
            "to": order.last,
            "fence": order.fence,
            "hold_s": order.hold_s,
        }
        if order.handover is not None:
            body["handover"] = order.handover
        self._call(target, "/grant", body, deadline)

    def release(
        self, target: TargetAddress, order: RangeRelease, deadline: Instant
    ) -> str | None:
        """Revoke keys; return the handover for their next holder, if any."""
        body = {"from": order.first, "to": order.last, "fence": order.fence}
        return self._call(target, "/release", body, deadline)

    def forget(self, target: TargetAddress) -> None:
        """Close the idle connections to a target that will get no more orders."""
        for conn in self._idle.pop(target, ()):
            conn.drop()

    def _call(self, target, path, body, deadline):
        conn = self._connection(target, deadline)
        incarnation = self._notices.incarnation_of(target.target_id)
        timer = eventlet.Timeout(max(0.0, deadline - self._clock.now()))
        conn.allow_bytes(MAX_HEAD_BYTES)
        try:
            conn.request(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                preload_content=False,
            )
            resp = conn.getresponse()
            _read_to_end(resp)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            _reset(conn)
            raise OrderOutcomeUnknown(f"{path}: no answer in time") from exc
        except _CONNECTION_ERRORS as exc:
            _reset(conn)
            raise OrderConnectionLost(f"{path}: the connection broke: {exc}") from exc
        except BaseException:
            _reset(conn)
            raise
        finally:
            timer.cancel()
        self._return_to_pool(target, conn)
        if resp.status == 409:
            raise TargetFenced(f"{path}: the target has seen a higher fence")
        if resp.status != 200:
            raise OrderOutcomeUnknown(f"{path}: the target answered {resp.status}")
        # A refusal may come from another process at the address.
        headers.read_notices(resp.status, resp.headers, incarnation, self._notices)
        return resp.headers.get(HANDOVER)

    def _connection(self, target, deadline):
        idle = self._idle.get(target, [])
        if idle:
            conn = idle.pop()
            if conn.is_reusable():
                return conn
            conn.drop()
            raise OrderConnectionLost("the target closed the connection unannounced")
        left_s = min(CONNECT_S, deadline - self._clock.now())
        return connect(target.ip, target.port, left_s)

    def _return_to_pool(self, target, conn):
        idle = self._idle.setdefault(target, [])
        if conn.sock is None or len(idle) >= MAX_IDLE_PER_TARGET:
            conn.drop()
        else:
            conn.answered_at = self._clock.now()
            idle.append(conn)
        self._drop_unused()

    def _drop_unused(self):
        """Close the connections to targets that have had no order for `MAX_IDLE_S`."""
        now = self._clock.now()
        if now < self._next_tidy_at:
            return
        self._next_tidy_at = Instant(now + MAX_IDLE_S)
        for target, conns in list(self._idle.items()):
            if all(now - conn.answered_at > MAX_IDLE_S for conn in conns):
                self.forget(target)


def _read_to_end(resp):
    """Read the body of an answer, which the connection allows to be short only.

    It is read in pieces: a single read would allocate all bytes that a length or the
    size of a chunk announces.
    """
    while resp.read1(READ_BYTES, decode_content=False):
        pass
    resp.close()


def _reset(conn):
    """Close the connection by a reset.

    Bytes that are unsent or still in transit then never reach the target.
    """
    if conn.sock is not None:
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.drop()
