"""The connections over which a host sends orders to targets."""

from persimmonspoke.errors import OrderConnectionLost
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import (
    OrderConnection,
    RangeGrant,
    RangeOrders,
    RangeRelease,
)
from persimmonspoke.internal.targets.api import TargetAddress

MAX_IDLE_PER_TARGET = 1
MAX_IDLE_S = 30.0  # a target that owns keys gets orders several times a second


class TargetConnections:
    """The connections for orders to one target at one address.

    Targets at one address share none: they are different processes.

    Attributes
    ----------
    used_at : Instant
        When an order was last sent.
    """

    def __init__(self, orders: RangeOrders, address: TargetAddress, clock: Clock):
        self._orders = orders
        self._address = address
        self._clock = clock
        self._idle: list[OrderConnection] = []
        self._is_closed = False
        self.used_at = clock.now()

    def grant(self, order: RangeGrant, deadline: Instant) -> None:
        """Send a grant; raise as `RangeOrders` and `OrderConnection` do."""
        conn = self._take(deadline)
        try:
            conn.grant(order, deadline)
        finally:
            self._give_back(conn)

    def release(self, order: RangeRelease, deadline: Instant) -> str | None:
        """Send a release; return the handover, or raise as `grant` does."""
        conn = self._take(deadline)
        try:
            return conn.release(order, deadline)
        finally:
            self._give_back(conn)

    def close(self) -> None:
        """Close the idle connections, and those in use once their orders have ended."""
        self._is_closed = True
        for conn in self._idle:
            conn.close()
        self._idle = []

    def _take(self, deadline):
        self.used_at = self._clock.now()
        if not self._idle:
            return self._orders.connect(self._address, deadline)
        conn = self._idle.pop()
        if not conn.is_open():
            conn.close()
            raise OrderConnectionLost("the target closed the connection unannounced")
        return conn

    def _give_back(self, conn):
        if self._is_closed or len(self._idle) >= MAX_IDLE_PER_TARGET:
            conn.close()
        elif conn.is_open():
            self._idle.append(conn)


class OrderConnections:
    """The connections for orders of one host to all targets."""

    def __init__(self, orders: RangeOrders, clock: Clock):
        self._orders = orders
        self._clock = clock
        self._by_address: dict[TargetAddress, TargetConnections] = {}
        self._next_tidy_at = Instant(clock.now() + MAX_IDLE_S)

    def to(self, address: TargetAddress) -> TargetConnections:
        """Return the connections to a target at an address."""
        self._close_unused()
        found = self._by_address.get(address)
        if found is None:
            found = TargetConnections(self._orders, address, self._clock)
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
