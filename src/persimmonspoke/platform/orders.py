"""Sends orders about keys to targets in the platform's protocol.

Each order names its target, because an address is given to other targets, also of other
services, while the entry of the one before is still known.
"""

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
    TargetMismatch,
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
READ_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class HttpOrderConnection:
    """Implements `persimmonspoke.internal.ranges.api.OrderConnection`."""

    def __init__(
        self,
        target: TargetAddress,
        conn: TargetConnection,
        clock: Clock,
        notices: TargetNotices,
    ):
        self._target = target
        self._conn = conn
        self._clock = clock
        self._notices = notices
        self.opened_at = clock.now()
        self.local_port = conn.sock.getsockname()[1]

    def is_open(self) -> bool:
        """Return whether it is open and no bytes are unread."""
        return self._conn.is_reusable()

    def close(self) -> None:
        """Close the connection."""
        self._conn.drop()

    def grant(self, order: RangeGrant, deadline: Instant) -> None:
        """Grant keys to the target, or renew a grant."""
        body = {
            "from": order.first,
            "to": order.last,
            "fence": order.fence,
            "hold_s": order.hold_s,
        }
        if order.handover is not None:
            body["handover"] = order.handover
        self._call("/grant", body, deadline)

    def release(self, order: RangeRelease, deadline: Instant) -> str | None:
        """Revoke keys; return the handover for their next holder, if any."""
        body = {"from": order.first, "to": order.last, "fence": order.fence}
        return self._call("/release", body, deadline)

    def _call(self, path, body, deadline):
        conn = self._conn
        if not conn.is_reusable():
            conn.drop()
            raise OrderConnectionLost("the target closed the connection unannounced")
        incarnation = self._notices.incarnation_of(self._target.target_id)
        left_s = deadline - self._clock.now()
        if left_s <= 0:
            # Its sender counts the target's hold from the deadline at the latest.  It
            # is this host that is late, so this says nothing about the target.
            raise OrderOutcomeUnknown(f"{path}: not sent, its deadline has passed")
        timer = eventlet.Timeout(left_s)
        conn.allow_bytes(MAX_HEAD_BYTES)
        try:
            conn.request(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers={
                    "Content-Type": "application/json",
                    headers.EXPECTED_TARGET: self._target.target_id,
                },
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
        if resp.status == 421:
            conn.drop()
            raise TargetMismatch(f"{path}: another target listens at the address")
        if resp.status == 409:
            raise TargetFenced(f"{path}: the target has seen a higher fence")
        if resp.status != 200:
            raise OrderOutcomeUnknown(f"{path}: the target answered {resp.status}")
        # A refusal may come from another process at the address.
        headers.read_notices(resp.status, resp.headers, incarnation, self._notices)
        return resp.headers.get(HANDOVER)


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

    def connect(self, target: TargetAddress, deadline: Instant) -> HttpOrderConnection:
        """Open a connection to whichever process listens at a target's address."""
        left_s = min(CONNECT_S, deadline - self._clock.now())
        conn = connect(target.ip, target.port, left_s)
        return HttpOrderConnection(target, conn, self._clock, self._notices)


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
