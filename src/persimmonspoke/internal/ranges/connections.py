"""The connections over which a host sends orders to targets.

Only a target remembers which fences it has seen.  A leader that has been replaced can
go on under its lease where its connections were open before, since the targets there
know the fences of its successor.  On a new connection it may reach a process that knows
none, so it sends no grant there before it is confirmed as the leader.
"""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from persimmonspoke.errors import OrderConnectionLost
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import (
    OrderConnection,
    RangeOrders,
    RangeRelease,
)
from persimmonspoke.internal.targets.api import TargetAddress

MAX_IDLE_PER_TARGET = 1
MAX_IDLE_S = 30.0  # a target that owns keys gets orders several times a second

log = logging.getLogger(__name__)

CheckLedAt = Callable[[Instant, Instant], None]
"""Checks that no later leader had been elected by a moment; gives up at a deadline."""


@dataclass(slots=True, eq=False)
class _Channel:
    """A connection, and whether it was open while this host is known to have led."""

    conn: OrderConnection
    is_confirmed: bool = False


class TargetConnections:
    """The connections for orders to one target at one address.

    Targets at one address share none: they are different processes.

    Parameters
    ----------
    check_led_at : callable
        Raises `AuthorityLapsed` if this host may have been replaced by then.

    Attributes
    ----------
    used_at : Instant
        When an order was last sent.
    """

    def __init__(
        self,
        orders: RangeOrders,
        address: TargetAddress,
        clock: Clock,
        check_led_at: CheckLedAt,
    ):
        self._orders = orders
        self._address = address
        self._clock = clock
        self._check_led_at = check_led_at
        self._idle: list[_Channel] = []
        self._is_closed = False
        self.used_at = clock.now()

    @contextmanager
    def for_grant(
        self, connect_by: Instant, confirm_by: Instant
    ) -> Iterator[OrderConnection]:
        """Lend a connection that may carry grants.

        Raises
        ------
        TargetUnreachable, TargetRefusedConnection, OrderConnectionLost
            No connection was opened by `connect_by`, or the last one has been closed.
        AuthorityLapsed
            This host was not confirmed as the leader by `confirm_by`.
        """
        channel = self._take(connect_by)
        try:
            if not channel.is_confirmed:
                self._confirm(channel, confirm_by)
            yield channel.conn
        finally:
            self._give_back(channel)

    def release(self, order: RangeRelease, deadline: Instant) -> str | None:
        """Send a release; return the handover, or raise as `OrderConnection` does."""
        channel = self._take(deadline)
        try:
            return channel.conn.release(order, deadline)
        finally:
            self._give_back(channel)

    def close(self) -> None:
        """Close the idle connections, and those in use once their orders have ended."""
        self._is_closed = True
        for channel in self._idle:
            channel.conn.close()
        self._idle = []

    def _take(self, deadline):
        self.used_at = self._clock.now()
        if not self._idle:
            return _Channel(self._orders.connect(self._address, deadline))
        channel = self._idle.pop()
        if not channel.conn.is_open():
            channel.conn.close()
            raise OrderConnectionLost("the target closed the connection unannounced")
        return channel

    def _confirm(self, channel, confirm_by):
        opened_at = channel.conn.opened_at
        self._check_led_at(opened_at, confirm_by)
        channel.is_confirmed = True
        log.info(
            "ranges: connection may carry grants",
            extra={
                "target": self._address.target_id,
                "open_for_s": round(self._clock.now() - opened_at, 3),
            },
        )

    def _give_back(self, channel):
        if self._is_closed or len(self._idle) >= MAX_IDLE_PER_TARGET:
            channel.conn.close()
        elif channel.conn.is_open():
            self._idle.append(channel)


class OrderConnections:
    """The connections for orders of one host to all targets.

    Parameters
    ----------
    check_led_at : callable
        Raises `AuthorityLapsed` if this host may have been replaced by then.
    """

    def __init__(self, orders: RangeOrders, clock: Clock, check_led_at: CheckLedAt):
        self._orders = orders
        self._clock = clock
        self._check_led_at = check_led_at
        self._by_address: dict[TargetAddress, TargetConnections] = {}
        self._next_tidy_at = Instant(clock.now() + MAX_IDLE_S)

    def to(self, address: TargetAddress) -> TargetConnections:
        """Return the connections to a target at an address."""
        self._close_unused()
        found = self._by_address.get(address)
        if found is None:
            found = TargetConnections(
                self._orders, address, self._clock, self._check_led_at
            )
            self._by_address[address] = found
        return found

    def close(self) -> None:
        """Close all connections."""
        for connections in self._by_address.values():
            connections.close()
        self._by_address = {}

    def _close_unused(self):
        """Close the connections to targets that have had no order for `MAX_IDLE_S`."""
        now = self._clock.now()
        if now < self._next_tidy_at:
            return
        self._next_tidy_at = Instant(now + MAX_IDLE_S)
        for address, connections in list(self._by_address.items()):
            if now - connections.used_at > MAX_IDLE_S:
                connections.close()
                del self._by_address[address]
