"""What this host has ordered a target to do, and with what outcome, for its logs.

Renewals are far too many for a log line each.  So equal ones are counted in memory, and
written out when an order has a surprising outcome or the keys get another owner.
"""

import logging
from dataclasses import dataclass
from enum import Enum

from persimmonspoke.errors import (
    OrderConnectionLost,
    OrderOutcomeUnknown,
    TargetError,
    TargetFenced,
    TargetMismatch,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.confirmations import Confirmation
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.targets.api import TargetAddress

MAX_RUNS = 64  # of one target; a target owns a few ranges
MAX_ROWS = 16  # in one log line, about 3 KB
WRITE_SPACING_S = 5.0  # a target that is silent fails several orders a second

log = logging.getLogger(__name__)


class Outcome(Enum):
    """What became of an order, as far as this host knows."""

    NOT_SENT = "not sent"
    INTERRUPTED = "interrupted"
    """The task that waited for the answer was ended."""
    TAKEN = "taken"
    REFUSED = "refused"
    MISMATCHED = "mismatched"
    """Another target listens at the address."""

    UNANSWERED = "unanswered"
    RESET = "reset"


def outcome_of(exc: TargetError) -> Outcome:
    """Return the outcome of an order that was sent and raised `exc`."""
    if isinstance(exc, TargetFenced):
        return Outcome.REFUSED
    if isinstance(exc, TargetMismatch):
        return Outcome.MISMATCHED
    if isinstance(exc, OrderConnectionLost):
        return Outcome.RESET
    if isinstance(exc, OrderOutcomeUnknown):
        return Outcome.UNANSWERED
    return Outcome.NOT_SENT


@dataclass(slots=True)
class SentOrder:
    """One order over one connection.

    Attributes
    ----------
    conn : int
        Number of the connection; a higher one was opened later.
    born_ms : int or None
        Start time in the entry of the process that is believed to be there.
    is_renewal : bool
        Whether this connection has carried the order's fence before.
    lease_until : Instant or None
        End of this host's lease when a grant was sent.
    ended_at : Instant or None
        When the outcome was known.
    may_hold_until : Instant or None
        Believed end of the holds by this order, on the slowest clock of a target.
    """

    order: RangeGrant | RangeRelease
    conn: int
    opened_at: Instant
    local_port: int | None
    sent_at: Instant
    deadline: Instant
    born_ms: int | None
    is_renewal: bool = False
    confirmation: Confirmation | None = None
    lease_until: Instant | None = None
    outcome: Outcome = Outcome.NOT_SENT
    ended_at: Instant | None = None
    may_hold_until: Instant | None = None

    def log_fields(self, address: TargetAddress) -> dict:
        """Return the fields of a log line about this order, at the end of it."""
        order, ended_at = self.order, self.ended_at
        fields = {
            **address_fields(address),
            "born_ms": self.born_ms,
            "first": order.first,
            "last": order.last,
            "fence": order.fence,
            "outcome": self.outcome.value,
            "conn": self.conn,
            "local_port": self.local_port,
            "opened_before_s": round(self.sent_at - self.opened_at, 3),
            "took_s": round(ended_at - self.sent_at, 3),
            # How late this process was to notice that the time had passed.
            "late_s": round(max(0.0, ended_at - self.deadline), 3),
        }
        if isinstance(order, RangeGrant):
            fields["renewal"] = self.is_renewal
            fields["hold_s"] = order.hold_s
            fields["may_hold_for_s"] = round(self.may_hold_until - ended_at, 3)
            fields["lease_left_s"] = round(self.lease_until - self.sent_at, 3)
            if self.confirmation is not None:
                fields |= self.confirmation.log_fields(self.sent_at)
        return fields


@dataclass(slots=True)
class _Run:
    """Equal orders with equal outcomes, one after the other."""

    began_at: Instant
    latest: SentOrder
    count: int = 0
    is_written: bool = False

    def row(self, now: Instant) -> dict:
        """Return what a log line says of these orders."""
        latest, order = self.latest, self.latest.order
        row = {
            "order": "grant" if isinstance(order, RangeGrant) else "release",
            "conn": latest.conn,
            "born_ms": latest.born_ms,
            "first": order.first,
            "last": order.last,
            "fence": order.fence,
            "outcome": latest.outcome.value,
            "count": self.count,
            "began_ago_s": round(now - self.began_at, 3),
            "sent_ago_s": round(now - latest.sent_at, 3),
        }
        if latest.may_hold_until is not None:
            row["may_hold_for_s"] = round(latest.may_hold_until - now, 3)
        return row


class OrderHistory:
    """The latest orders to one target at one address."""

    def __init__(self, address: TargetAddress, clock: Clock):
        self._address = address
        self._clock = clock
        self._runs: dict[tuple, _Run] = {}  # the one with the latest order is last
        self._next_write_at = Instant(float("-inf"))

    def record(self, sent: SentOrder) -> None:
        """Record an order whose outcome is known."""
        order = sent.order
        key = (type(order), sent.conn, order.first, order.last, order.fence)
        key += (sent.outcome,)
        run = self._runs.pop(key, None)
        if run is None:
            run = _Run(sent.sent_at, sent)
            if len(self._runs) >= MAX_RUNS:
                del self._runs[next(iter(self._runs))]
        run.latest = sent
        run.count += 1
        run.is_written = False
        self._runs[key] = run

    def rows(self, first: int, last: int, count: int = MAX_ROWS) -> list[dict]:
        """Return `count` latest orders about keys from `first` to `last`, newest first.

        Equal ones count as one.
        """
        now, rows = self._clock.now(), []
        for run in reversed(self._runs.values()):
            order = run.latest.order
            if order.first <= last and first <= order.last:
                rows.append(run.row(now))
                if len(rows) == count:
                    break
        return rows

    def has_grants_over(self, conn: int) -> bool:
        """Return whether one of the latest grants went over a connection."""
        return any(
            run.latest.conn == conn and isinstance(run.latest.order, RangeGrant)
            for run in self._runs.values()
        )

    def newest_grant(self) -> dict | None:
        """Return the newest grant, or None if none was sent lately."""
        for run in reversed(self._runs.values()):
            if isinstance(run.latest.order, RangeGrant):
                return run.row(self._clock.now())
        return None

    def write(self, reason: str) -> None:
        """Log the orders that have not been logged here, unless it did so just now."""
        now = self._clock.now()
        if now < self._next_write_at:
            return
        runs = [run for run in reversed(self._runs.values()) if not run.is_written]
        if not runs:
            return
        self._next_write_at = Instant(now + WRITE_SPACING_S)
        for run in runs[:MAX_ROWS]:
            run.is_written = True
        log.info(
            "ranges: latest orders",
            extra={
                **address_fields(self._address),
                "reason": reason,
                "orders": [run.row(now) for run in runs[:MAX_ROWS]],
                "left_out": max(0, len(runs) - MAX_ROWS),
            },
        )


def address_fields(address: TargetAddress) -> dict:
    """Return the log fields of a target's address."""
    return {"target": address.target_id, "ip": address.ip, "port": address.port}
