"""Renews one target's grants, and tracks until when the target may hold keys."""

import logging
from contextlib import contextmanager
from enum import Enum

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import (
    AuthorityLapsed,
    OrderOutcomeUnknown,
    TargetError,
    TargetFenced,
)
from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import RangeGrant, RangeRelease
from persimmonspoke.internal.ranges.connections import MAX_GRANT_CONNECTIONS
from persimmonspoke.internal.ranges.order_history import (
    Outcome,
    SentOrder,
    address_fields,
    outcome_of,
)
from persimmonspoke.internal.ranges.ranges import MIN_KEY, KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetRecord
from persimmonspoke.internal.targets.api import TargetAddress

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 2  # a second attempt distinguishes a lost answer from a lost target
LONG_AGO = Instant(float("-inf"))


class Responsiveness(Enum):
    """Whether a target answers its orders."""

    ANSWERS = "answers"
    SILENT = "silent"
    """The target has not answered for too long; its keys are reassigned."""


class Granter:
    """Grants one target its ranges, and renews the grants periodically.

    Parameters
    ----------
    granters : Granters
        Checks that this host may give orders, and holds the ledger of the ranges.

    Attributes
    ----------
    running : bool
        Whether the task that renews the grants is running.
    is_replaced : bool
        Whether another granter sends the target's grants now; this one sends no more.
    granted : set of (int, int, int)
        First key, last key and fence of every grant that the target has confirmed.
    """

    def __init__(
        self,
        granters,
        record: TargetRecord,
        address: TargetAddress,
        cfg: RangeSettings,
        clock: Clock,
    ):
        self._granters = granters
        self._ledger = granters.ledger
        self._cfg = cfg
        self._clock = clock
        self._wake = Event()
        self._failures = 0
        self._confirmed_fences: set[int] = set()
        self.service = record.service
        self.born_ms = record.born_ms
        self.address = address
        self.responsiveness = Responsiveness.ANSWERS
        self.running = False
        self.is_replaced = False
        self._granted_until = LONG_AGO
        self._confirm_by = LONG_AGO
        self._in_flight: dict[object, Instant] = {}
        self._earlier_holds: dict[TargetAddress, Instant] = {}
        self._last_answer_at = clock.now()
        self.next_probe_at = LONG_AGO
        self.granted: set[tuple[int, int, int]] = set()

    @property
    def target_id(self) -> TargetId:
        """Id of the target."""
        return self.address.target_id

    @property
    def may_hold_until(self) -> Instant:
        """Latest time until which the target may hold keys by orders of this host.

        This includes what listens at its earlier addresses.
        """
        return max(
            self._granted_until,
            *self._in_flight.values(),
            *self._earlier_holds.values(),
            LONG_AGO,
        )

    def include_holds_of(self, replaced: "Granter") -> None:
        """Include the holds by orders of the granter that this one replaces.

        Orders go to an address, and a new start of the target does not end what another
        process there holds, nor what it has itself been granted since.
        """
        self._earlier_holds = dict(replaced._earlier_holds)
        until = max(replaced._granted_until, *replaced._in_flight.values(), LONG_AGO)
        if replaced.address == self.address:
            self._granted_until = until
        else:
            self._earlier_holds[replaced.address] = until

    def earlier_addresses(self) -> tuple[TargetAddress, ...]:
        """Return the earlier addresses where keys may still be held."""
        now = self._clock.now()
        self._earlier_holds = {a: t for a, t in self._earlier_holds.items() if t > now}
        return tuple(self._earlier_holds)

    def run(self) -> None:
        """Renew the grants periodically until the target is silent."""
        try:
            self._renew()
        finally:
            self.running = False

    def _renew(self):
        while self._is_active():
            now = self._clock.now()
            renew_at = now + self._cfg.renew_s
            # All grants of one round together wait no longer.
            self._confirm_by = Instant(now + self._cfg.confirm_s)
            self._wake = Event()
            entries = self._ledger.grantable(self.service, self.target_id)
            if self.earlier_addresses():
                # Until then the mover takes the keys back from there.
                entries = ()
            fences = {entry.fence for entry in entries}
            self._confirmed_fences &= fences
            self._grant_all(entries)
            pause_s = renew_at - self._clock.now()
            if pause_s > 0:
                with eventlet.Timeout(pause_s, False):
                    self._wake.wait()

    def _is_active(self):
        return self.responsiveness is Responsiveness.ANSWERS and not self.is_replaced

    def _grant_all(self, entries):
        """Grant ranges one at a time; after an unanswered order, several in parallel.

        The connection is gone then, so its ranges get new fences and can use several.
        """
        failures = self._failures
        pool = eventlet.GreenPool(MAX_GRANT_CONNECTIONS)
        for entry in entries:
            if self._failures == failures:
                self.grant(entry)
            else:
                pool.spawn_n(self.grant, entry)
        pool.waitall()

    def wake(self) -> None:
        """Renew the grants now instead of at the end of the period."""
        if not self._wake.ready():
            self._wake.send(None)

    def probe(self, fence: int) -> None:
        """Probe a silent target that owns nothing, with an order without effect."""
        order = RangeRelease(MIN_KEY, MIN_KEY, fence)
        try:
            self._granters.check_lease()
            deadline = Instant(self._clock.now() + self._cfg.order_s)
            self._granters.connections(self.address).release(
                order, deadline, self.born_ms, log_level=logging.DEBUG
            )
        except (TargetError, AuthorityLapsed) as exc:
            log.debug("ranges: target still silent", extra={"reason": str(exc)})
            return
        self.record_answer()
        self._granters.reconcile_soon()

    def record_answer(self) -> None:
        """Record that the target has just answered an order."""
        self._last_answer_at = self._clock.now()
        if self.responsiveness is Responsiveness.SILENT:
            log.info("ranges: target answers again", extra={"target": self.target_id})
            self.responsiveness = Responsiveness.ANSWERS

    def grant(self, entry: KeyRange) -> bool:
        """Grant one range; return whether the target has confirmed the grant."""
        if not self._is_active():
            return False
        try:
            return self._grant_with_retry(entry)
        except AuthorityLapsed as exc:
            log.warning(
                "ranges: grant not sent, this host may not give orders",
                extra={**address_fields(self.address), "reason": str(exc)},
            )
        return False

    def grant_in_transfer(self, entries: list[KeyRange]) -> None:
        """Grant ranges to this target, their new owner, before their transfer ends."""
        for entry in entries:
            if self._is_active():
                self._grant_with_retry(entry, transferring=True)

    def _grant_with_retry(self, entry, transferring=False):
        """Send a grant, and repeat it once if it fails; return whether it succeeded.

        An order without an answer closes its connection, so the next attempt has a
        higher fence.  That order, executed late, then ends no newer grant.
        """
        refused = sent = False
        for _ in range(MAX_ATTEMPTS):
            order = None
            try:
                with self._channel(entry.fence, transferring) as channel:
                    entry = self._sendable(channel, entry, refused, transferring)
                    if entry is None:
                        return False
                    order = self._new_order(channel, entry, self._hold_s())
                    self._send(channel, order)
            except TargetFenced:
                self._log_failure("ranges: grant refused", entry, order)
                self._last_answer_at = self._clock.now()
                refused = True
            except TargetError as exc:
                refused = False
                sent = isinstance(exc, OrderOutcomeUnknown)
                self._failures += 1
                self._log_failure("ranges: grant unanswered", entry, order, str(exc))
            else:
                self._on_granted(entry, order)
                return True
        if not refused:
            self._handle_no_answer(sent)
        return False

    @contextmanager
    def _channel(self, fence, transferring):
        """Lend a channel for one grant, as `TargetConnections.for_grant` does."""
        confirm_by = self._confirm_by
        if transferring:
            confirm_by = Instant(self._clock.now() + self._cfg.confirm_s)
        connections = self._granters.connections(self.address)
        with (
            self._granters.paths.in_flight(self.address),
            connections.for_grant(fence, self._cfg.order_s, confirm_by) as channel,
        ):
            yield channel

    def _sendable(self, channel, entry, refused, transferring):
        """Return a range under a fence that can be sent; None if it is outdated.

        No other task may run between this and the sending of the order.
        """
        if self.is_replaced:
            return None
        if refused or not channel.may_carry(entry.fence):
            # An owner that never confirmed the range still needs the handover.
            handover = None if entry.fence in self._confirmed_fences else entry.handover
            log.info(
                "ranges: range gets a higher fence",
                extra={
                    **self._log_fields(entry),
                    "conn": channel.number,
                    "refused": refused,
                },
            )
            entry = self._ledger.renew_fence(
                self.service, entry, handover, transferring=transferring
            )
        if entry is None or not (
            transferring or self._ledger.is_current(self.service, entry)
        ):
            return None
        return entry

    def _hold_s(self):
        """Return the length of the next grant.

        It is short if the target has not answered for `doubt_s`.
        """
        if self._clock.now() - self._last_answer_at > self._cfg.doubt_s:
            return self._cfg.probe_hold_s
        return self._granters.hold_s()

    def _handle_no_answer(self, sent):
        """Mark the target silent, unless its answers or this host's paths may be lost.

        While the paths are cut, the failure says nothing about the target.  A target
        that an order was sent to may hold keys until that grant lapses.
        They can't be given to another target before, so there is time to retry.

        Parameters
        ----------
        sent : bool
            Whether the last order was sent, so that the target may have executed it.
        """
        silent_s = self._clock.now() - self._last_answer_at
        if (not sent or silent_s >= self._cfg.silent_s) and not (
            self._granters.paths.check()
        ):
            self._mark_silent()

    def _log_fields(self, entry):
        """Return the log fields of a grant."""
        return {
            "target": self.target_id,
            "first": entry.first,
            "last": entry.last,
            "fence": entry.fence,
        }

    def _log_failure(self, message, entry, order, reason=None):
        """Log a grant that was not taken, and the orders before it.

        `order` is None if it was not sent, as when no connection was opened.
        """
        fields = {**address_fields(self.address), "born_ms": self.born_ms}
        fields |= self._log_fields(entry) | {"reason": reason}
        if order is not None:
            fields |= order.log_fields(self.address)
        log.info(message, extra=fields)
        self._granters.log_latest_orders(self.address, message)

    def _new_order(self, channel, entry, hold_s):
        now = self._clock.now()
        return SentOrder(
            RangeGrant(entry.first, entry.last, entry.fence, hold_s, entry.handover),
            channel.number,
            channel.conn.opened_at,
            channel.conn.local_port,
            sent_at=now,
            deadline=Instant(now + self._cfg.order_s),
            born_ms=self.born_ms,
            is_renewal=channel.has_carried(entry.fence),
            confirmation=channel.confirmation,
            lease_until=self._granters.lease_until,
        )

    def _send(self, channel, sent):
        max_hold_s = self._cfg.max_duration_s(sent.order.hold_s)
        # Until it is answered, the order may take effect as late as its deadline;
        # also if this task is killed while it waits for the answer.
        order_id = object()
        self._in_flight[order_id] = Instant(sent.deadline + max_hold_s)
        try:
            # No other task runs between this check and the sending of the order.
            self._granters.check_lease()
            sent.outcome = Outcome.INTERRUPTED
            channel.grant(sent.order, sent.deadline)
            sent.outcome = Outcome.TAKEN
        except TargetError as exc:
            sent.outcome = outcome_of(exc)
            raise
        finally:
            del self._in_flight[order_id]
            sent.ended_at = self._clock.now()
            sent.may_hold_until = Instant(sent.ended_at + max_hold_s)
            self._granted_until = max(self._granted_until, sent.may_hold_until)
            channel.history.record(sent)

    def _on_granted(self, entry, sent):
        self.record_answer()
        self._granters.paths.record_answer(self.target_id)
        self._confirmed_fences.add(entry.fence)
        key = (entry.first, entry.last, entry.fence)
        if key not in self.granted:
            self.granted.add(key)
            self._granters.on_first_grant(
                self.service, entry, sent.log_fields(self.address)
            )

    def _mark_silent(self):
        if self.responsiveness is Responsiveness.SILENT:
            return
        self.responsiveness = Responsiveness.SILENT
        log.warning(
            "ranges: target is silent, its keys are taken back",
            extra={
                **address_fields(self.address),
                "born_ms": self.born_ms,
                "service": self.service,
                "may_hold_for_s": round(self.may_hold_until - self._clock.now(), 2),
                "unanswered_for_s": round(self._clock.now() - self._last_answer_at, 2),
            },
        )
        self._granters.reconcile_soon()
