"""Renews one target's grants, and knows until when the target may hold keys."""

import logging
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
from persimmonspoke.internal.ranges.api import RangeGrant, RangeOrders, RangeRelease
from persimmonspoke.internal.ranges.ranges import FIRST_KEY, KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetRecord
from persimmonspoke.internal.targets.api import TargetAddress

log = logging.getLogger(__name__)

TRIES = 2  # the second one tells a lost answer from a lost target
AT_ONCE = 4  # orders to one target; each costs it a connection
NEVER = Instant(float("-inf"))


class Trust(Enum):
    """Whether a target answers its orders."""

    ANSWERS = "answers"
    SILENT = "silent"
    """It has answered no order for too long; its keys are taken back."""


class Granter:
    """Grants one target its ranges, again and again.

    Parameters
    ----------
    granters : Granters
        Has the right to order, and knows the ranges.

    Attributes
    ----------
    running : bool
        Whether the task that renews is alive.
    """

    def __init__(
        self,
        granters,
        record: TargetRecord,
        address: TargetAddress,
        cfg: RangeSettings,
        clock: Clock,
        orders: RangeOrders,
    ):
        self._granters = granters
        self._ledger = granters.ledger
        self._cfg = cfg
        self._clock = clock
        self._orders = orders
        self._wake = Event()
        self._life = 0
        self._lives: dict[int, int] = {}
        self._confirmed: set[int] = set()
        self.service = record.service
        self.born_ms = record.born_ms
        self.address = address
        self.trust = Trust.ANSWERS
        self.running = False
        self._until = NEVER
        self._unanswered: dict[object, Instant] = {}
        self._answered_at = clock.now()
        self.probe_at = NEVER
        self.granted: set[tuple[int, int, int]] = set()

    @property
    def target_id(self) -> TargetId:
        """The target."""
        return self.address.target_id

    @property
    def until(self) -> Instant:
        """Until then the target may hold keys by orders of this host."""
        return max(self._until, *self._unanswered.values(), NEVER)

    def held_before(self, until: Instant) -> None:
        """Take note of holds by orders to the same target at an earlier address."""
        self._until = max(self._until, until)

    def run(self) -> None:
        """Renew until the target has become silent."""
        try:
            self._renew()
        finally:
            self.running = False

    def _renew(self):
        while self.trust is Trust.ANSWERS:
            renew_at = self._clock.now() + self._cfg.renew_s
            self._wake = Event()
            current = self._ledger.grantable(self.service, self.target_id)
            fences = {entry.fence for entry in current}
            self._lives = {f: n for f, n in self._lives.items() if f in fences}
            self._confirmed &= fences
            self._grant_all(current)
            left_s = renew_at - self._clock.now()
            if left_s > 0:
                with eventlet.Timeout(left_s, False):
                    self._wake.wait()

    def _grant_all(self, entries):
        """Grant ranges one by one; after a lost answer, several at a time.

        They need new fences then, so they may go by connections of their own.
        """
        life = self._life
        pool = eventlet.GreenPool(AT_ONCE)
        for entry in entries:
            if self._life == life:
                self.grant(entry)
            else:
                pool.spawn_n(self.grant, entry)
        pool.waitall()

    def wake(self) -> None:
        """Renew at once, because the ranges have changed."""
        if not self._wake.ready():
            self._wake.send(None)

    def probe(self, fence: int) -> None:
        """Send an order without effect, to a target that owns nothing."""
        order = RangeRelease(FIRST_KEY, FIRST_KEY, fence)
        try:
            self._granters.check_lease()
            deadline = Instant(self._clock.now() + self._cfg.order_s)
            self._orders.release(self.address, order, deadline)
        except (TargetError, AuthorityLapsed) as exc:
            log.debug("ranges: target still silent", extra={"reason": str(exc)})
            return
        log.info("ranges: target answers again", extra={"target": self.target_id})
        self._answered_at = self._clock.now()
        self.trust = Trust.ANSWERS
        self._granters.tend_soon()

    def grant(self, entry: KeyRange) -> bool:
        """Grant one range; return whether the target has it now."""
        if self.trust is Trust.SILENT:
            return False
        try:
            return self._try(entry)
        except AuthorityLapsed as exc:
            log.warning(
                "ranges: grant not sent, this host may not order",
                extra={"target": self.target_id, "reason": str(exc)},
            )
        return False

    def grant_all_held(self, entries: list[KeyRange]) -> None:
        """Grant keys whose holds are not lifted yet, because their owner is new."""
        for entry in entries:
            if self.trust is Trust.ANSWERS:
                self._try(entry, new=True)

    def _try(self, entry, new=False):
        """Send the grant, and once more if the first one did not succeed.

        After any failure the next connection may reach another process at the same
        address, and an order that is carried out late would end newer grants of its
        fence; so each range is then granted under a higher one.
        """
        refused = reached = False
        for _ in range(TRIES):
            if refused or self._lives.get(entry.fence, self._life) != self._life:
                # An owner that never confirmed the range still needs the handover.
                handover = None if entry.fence in self._confirmed else entry.handover
                entry = self._ledger.refence(self.service, entry, handover, held=new)
            if entry is None or not (
                new or self._ledger.is_current(self.service, entry)
            ):
                return False
            self._lives.setdefault(entry.fence, self._life)
            try:
                self._send(entry, self._hold_s())
            except TargetFenced:
                log.info("ranges: grant refused", extra=self._fields(entry))
                self._answered_at = self._clock.now()
                refused = True
            except TargetError as exc:
                refused = False
                reached = isinstance(exc, OrderOutcomeUnknown)
                self._life += 1
                log.info(
                    "ranges: grant unanswered",
                    extra={**self._fields(entry), "reason": str(exc)},
                )
            else:
                self._note_granted(entry)
                return True
        if not refused:
            self._doubt(reached)
        return False

    def _hold_s(self):
        """Return how long the next grant lasts; a target in doubt gets a short one."""
        if self._clock.now() - self._answered_at > self._cfg.doubt_s:
            return self._cfg.probe_hold_s
        return self._granters.hold_s()

    def _doubt(self, reached):
        """Give the target up, unless it may only have lost the answers.

        The keys of a target that got a grant can't go to another one before that
        grant lapses, so there is time to ask again.
        """
        silent_s = self._clock.now() - self._answered_at
        if not reached or silent_s >= self._cfg.silent_s:
            self._become_silent()

    def _fields(self, entry):
        """Return what a log line says about an order."""
        return {
            "target": self.target_id,
            "first": entry.first,
            "last": entry.last,
            "fence": entry.fence,
        }

    def _send(self, entry, hold_s):
        order = RangeGrant(entry.first, entry.last, entry.fence, hold_s, entry.handover)
        longest_s = self._cfg.longest(hold_s)
        deadline = Instant(self._clock.now() + self._cfg.order_s)
        # Should this task be ended while it waits, the order counts at its longest.
        order_id = object()
        self._unanswered[order_id] = Instant(deadline + longest_s)
        try:
            # The lease is checked last; no other task runs before the order is written.
            self._granters.check_lease()
            self._orders.grant(self.address, order, deadline)
        finally:
            del self._unanswered[order_id]
            self._until = max(self._until, Instant(self._clock.now() + longest_s))

    def _note_granted(self, entry):
        self.trust = Trust.ANSWERS
        self._answered_at = self._clock.now()
        self._confirmed.add(entry.fence)
        key = (entry.first, entry.last, entry.fence)
        if key not in self.granted:
            self.granted.add(key)
            self._granters.opened(self.service, entry)

    def _become_silent(self):
        if self.trust is Trust.SILENT:
            return
        self.trust = Trust.SILENT
        log.warning(
            "ranges: target is silent, its keys are taken back",
            extra={
                "target": self.target_id,
                "service": self.service,
                "may_hold_for_s": round(self.until - self._clock.now(), 2),
                "unanswered_for_s": round(self._clock.now() - self._answered_at, 2),
            },
        )
        self._granters.tend_soon()
