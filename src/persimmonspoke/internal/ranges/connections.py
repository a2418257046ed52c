"""The connections over which a host sends orders to targets.

An order goes to an address, but only the process that has executed it remembers its
fence.  One connection reaches one process, so two rules hold here for all grants:

- A fence is sent over one connection only.  Whatever carries the next grant of the same
  range, and for whatever reason, may reach another process; it gets a higher fence.
- A new connection carries grants only once this host has been confirmed as the leader
  since it was opened.  A leader that has been replaced can go on under its lease where
  its connections were open before, because the targets there know the fences of its
  successor.  A process that has just started knows none.

Releases need neither: a process that has answered one holds the keys no longer.
"""

import itertools
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eventlet.semaphore import Semaphore

from persimmonspoke.errors import (
    OrderConnectionLost,
    OrderOutcomeUnknown,
    TargetError,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.confirmations import Confirmation
from persimmonspoke.internal.ranges.api import (
    OrderConnection,
    RangeGrant,
    RangeOrders,
    RangeRelease,
)
from persimmonspoke.internal.ranges.fences import FenceSet
from persimmonspoke.internal.ranges.order_history import (
    OrderHistory,
    Outcome,
    SentOrder,
    address_fields,
    outcome_of,
)
from persimmonspoke.internal.targets.api import TargetAddress

MAX_GRANT_CONNECTIONS = 4  # to one target, for grants in parallel
MAX_IDLE_FOR_RELEASES = 1
MAX_IDLE_S = 30.0  # a target that owns keys gets orders several times a second
MAX_FENCES = 1024  # of one connection; more than the ranges that a target owns
TARGETS_PER_LINE = 50  # in the log; about 12 KB
ROWS_FOR_RELEASE = 4  # in the log; a move of hot keys can come every 0.1 s

log = logging.getLogger(__name__)

_numbers = itertools.count(1)

CheckLedAt = Callable[[Instant, Instant], Confirmation | None]
"""Checks that no later leader had been elected by a moment; gives up at a deadline.

Returns the evidence, for logs."""


class GrantChannel:
    """A place for one connection, and the fences that this connection has carried.

    Parameters
    ----------
    unsent : FenceSet
        Fences that no connection has carried.
    history : OrderHistory
        The latest orders to its target.

    Attributes
    ----------
    conn : OrderConnection or None
        None until it has been opened.
    number : int or None
        Number of the connection in this process, in the order of their opening.
    confirmation : Confirmation or None
        Why `is_confirmed` is set.
    is_confirmed : bool
        Whether this host has been confirmed as the leader since it was opened.
    has_failed : bool
        Whether an order on the connection had no answer.
    has_ended : bool
        Whether the connection was found to be closed.
    lock : Semaphore
        Held for each order.
    users : int
        Tasks that hold the lock or wait for it.
    """

    def __init__(self, unsent: FenceSet, history: OrderHistory):
        self._unsent = unsent
        self._fences = FenceSet(MAX_FENCES)
        self.history = history
        self.conn: OrderConnection | None = None
        self.number: int | None = None
        self.confirmation: Confirmation | None = None
        self.is_confirmed = False
        self.has_failed = False
        self.has_ended = False
        self.lock = Semaphore(1)
        self.users = 0

    def has_carried(self, fence: int) -> bool:
        """Return whether its connection has carried a fence, as far as it remembers."""
        return fence in self._fences

    def may_carry(self, fence: int) -> bool:
        """Return whether no other connection can have carried a fence."""
        return fence in self._fences or fence in self._unsent

    def grant(self, order: RangeGrant, deadline: Instant) -> None:
        """Send a grant whose fence it may carry; raise as `OrderConnection` does."""
        self._unsent.discard(order.fence)
        self._fences.add(order.fence)
        try:
            self.conn.grant(order, deadline)
        except (OrderConnectionLost, OrderOutcomeUnknown):
            self.has_failed = True
            raise

    def close(self) -> None:
        """Close its connection."""
        if self.conn is not None:
            self.conn.close()


class TargetConnections:
    """The connections for orders to one target at one address.

    Targets at one address share none: they are different processes.

    Parameters
    ----------
    check_led_at : callable
        Raises `AuthorityLapsed` if this host may have been replaced by then.
    unsent : FenceSet
        Fences that no connection has carried.

    Attributes
    ----------
    used_at : Instant
        When an order was last sent.
    history : OrderHistory
        The latest orders over these connections.
    """

    def __init__(
        self,
        orders: RangeOrders,
        address: TargetAddress,
        clock: Clock,
        check_led_at: CheckLedAt,
        unsent: FenceSet,
    ):
        self._orders = orders
        self._address = address
        self._clock = clock
        self._check_led_at = check_led_at
        self._unsent = unsent
        self._channels: list[GrantChannel] = []
        self._idle_for_releases: list[tuple[int, OrderConnection]] = []
        self._is_closed = False
        self.history = OrderHistory(address, clock)
        self.used_at = clock.now()

    @contextmanager
    def for_grant(
        self, fence: int, connect_s: float, confirm_by: Instant
    ) -> Iterator[GrantChannel]:
        """Lend a channel for one grant, the one that has carried `fence` if possible.

        A connection that was closed meanwhile is no failure; another one is opened.

        Raises
        ------
        TargetUnreachable, TargetRefusedConnection
            No connection was opened within `connect_s`.
        AuthorityLapsed
            This host was not confirmed as the leader by `confirm_by`.
        """
        self.used_at = self._clock.now()
        while True:
            channel = self._choose(fence)
            channel.users += 1
            try:
                with channel.lock:
                    if channel.conn is None:
                        deadline = Instant(self._clock.now() + connect_s)
                        channel.conn = self._orders.connect(self._address, deadline)
                        channel.number = next(_numbers)
                    elif channel.has_ended or not channel.conn.is_open():
                        # Others may wait for it as well, and choose again.
                        if not (channel.has_ended or channel.has_failed):
                            self._log_ended("grants", channel.number, channel.conn)
                        self._drop(channel)
                        continue
                    if not channel.is_confirmed:
                        self._confirm(channel, confirm_by)
                    yield channel
                    return
            finally:
                channel.users -= 1
                if not channel.users and (channel.conn is None or self._is_closed):
                    self._drop(channel)

    def release(
        self,
        order: RangeRelease,
        deadline: Instant,
        born_ms: int | None = None,
        log_level: int = logging.INFO,
    ) -> str | None:
        """Send a release; return the handover, or raise as `OrderConnection` does.

        A release waits for the target's work, so no grant waits for its connection.

        Parameters
        ----------
        born_ms : int or None
            Start time of the process that is believed to be there, for the log.
        log_level : int
            Level at which the release is logged.
        """
        self.used_at = self._clock.now()
        number, conn = self._take_for_release(deadline)
        sent = SentOrder(
            order,
            number,
            conn.opened_at,
            conn.local_port,
            sent_at=self._clock.now(),
            deadline=deadline,
            born_ms=born_ms,
            outcome=Outcome.INTERRUPTED,
        )
        try:
            handover = conn.release(order, deadline)
            sent.outcome = Outcome.TAKEN
            return handover
        except TargetError as exc:
            sent.outcome = outcome_of(exc)
            raise
        finally:
            sent.ended_at = self._clock.now()
            self._log_release(sent, log_level)
            self.history.record(sent)
            if self._is_closed or len(self._idle_for_releases) >= MAX_IDLE_FOR_RELEASES:
                conn.close()
            else:
                self._idle_for_releases.append((number, conn))

    def close(self) -> None:
        """Close the idle connections, and those in use once their orders have ended."""
        self._is_closed = True
        for channel in [c for c in self._channels if not c.users]:
            self._drop(channel)
        for _, conn in self._idle_for_releases:
            conn.close()
        self._idle_for_releases = []

    def _choose(self, fence):
        """Return the channel that has carried `fence`, else the one with fewest users.

        A new one is returned if all are in use, unless there are too many.
        """
        least_used = None
        for channel in self._channels:
            if channel.has_carried(fence):
                return channel
            if least_used is None or channel.users < least_used.users:
                least_used = channel
        all_in_use = least_used is None or least_used.users > 0
        if all_in_use and len(self._channels) < MAX_GRANT_CONNECTIONS:
            least_used = GrantChannel(self._unsent, self.history)
            self._channels.append(least_used)
        return least_used

    def _drop(self, channel):
        channel.has_ended = True
        channel.close()
        if channel in self._channels:
            self._channels.remove(channel)

    def _take_for_release(self, deadline):
        while self._idle_for_releases:
            number, conn = self._idle_for_releases.pop()
            if conn.is_open():
                return number, conn
            self._log_ended("releases", number, conn)
            conn.close()
        conn = self._orders.connect(self._address, deadline)
        return next(_numbers), conn

    def _confirm(self, channel, confirm_by):
        opened_at = channel.conn.opened_at
        confirmation = self._check_led_at(opened_at, confirm_by)
        channel.is_confirmed = True
        channel.confirmation = confirmation
        now = self._clock.now()
        log.info(
            "ranges: connection may carry grants",
            extra={
                **address_fields(self._address),
                "conn": channel.number,
                "local_port": channel.conn.local_port,
                "open_for_s": round(now - opened_at, 3),
                **({} if confirmation is None else confirmation.log_fields(now)),
            },
        )

    def _log_ended(self, use, number, conn):
        """Log that a connection was found to be closed before it was used again."""
        log.info(
            "ranges: connection has ended",
            extra={
                **address_fields(self._address),
                "used_for": use,
                "conn": number,
                "open_for_s": round(self._clock.now() - conn.opened_at, 3),
            },
        )

    def _log_release(self, sent, level):
        """Log a release, with the grants and the connections that it may not match.

        A connection that has carried grants and is still open may reach another process
        than the one that has answered the release.
        """
        if log.isEnabledFor(level):
            order = sent.order
            log.log(
                level,
                "ranges: release ended",
                extra={
                    **sent.log_fields(self._address),
                    "conn_has_carried_grants": self.history.has_grants_over(sent.conn),
                    "conns_for_grants": [
                        [channel.number, _state(channel)]
                        for channel in self._channels
                        if channel.conn is not None
                    ],
                    "orders": self.history.rows(
                        order.first, order.last, ROWS_FOR_RELEASE
                    ),
                },
            )


class OrderConnections:
    """The connections for orders of one host to all targets.

    Parameters
    ----------
    check_led_at : callable
        Raises `AuthorityLapsed` if this host may have been replaced by then.
    unsent : FenceSet
        Fences that no connection has carried.
    """

    def __init__(
        self,
        orders: RangeOrders,
        clock: Clock,
        check_led_at: CheckLedAt,
        unsent: FenceSet,
    ):
        self._orders = orders
        self._clock = clock
        self._check_led_at = check_led_at
        self._unsent = unsent
        self._by_address: dict[TargetAddress, TargetConnections] = {}
        self._next_tidy_at = Instant(clock.now() + MAX_IDLE_S)

    def to(self, address: TargetAddress) -> TargetConnections:
        """Return the connections to a target at an address."""
        self._close_unused()
        found = self._by_address.get(address)
        if found is None:
            found = TargetConnections(
                self._orders,
                address,
                self._clock,
                self._check_led_at,
                self._unsent,
            )
            self._by_address[address] = found
        return found

    def find(self, address: TargetAddress) -> TargetConnections | None:
        """Return the connections to a target at an address, if it has had any."""
        return self._by_address.get(address)

    def close(self) -> None:
        """Close all connections."""
        self._log_newest_grants()
        for connections in self._by_address.values():
            connections.close()
        self._by_address = {}

    def _log_newest_grants(self):
        """Log the newest grant of each target: others may give orders from now on."""
        rows = [
            {**address_fields(address), **newest}
            for address, connections in self._by_address.items()
            if (newest := connections.history.newest_grant()) is not None
        ]
        for start in range(0, len(rows), TARGETS_PER_LINE):
            chunk = rows[start : start + TARGETS_PER_LINE]
            log.info("ranges: orders have ended", extra={"newest_grants": chunk})

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


def _state(channel):
    """Return whether a channel's connection is open, as far as is known."""
    if channel.users:
        return "in use"
    return "open" if channel.conn.is_open() else "ended"
