"""One task a target: renewing its grants, and judging whether it lives."""

import logging
from enum import Enum

import eventlet
import eventlet.event

from persimmonspoke.errors import (
    AuthorityLapsed,
    TargetError,
    TargetFenced,
    TargetRefusedConnection,
)
from persimmonspoke.ids import Instant, ShardId, TargetInstant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ownership.configs import ServiceKey
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import LONG_AGO, ManagedPage
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.api import (
    GrantOrder,
    ReleaseOrder,
    TargetAddress,
    TargetOrders,
)

_LOG = logging.getLogger(__name__)

ORDER_S = 0.15


class TargetState(Enum):
    """What this host knows about a target."""

    UNKNOWN = "unknown"
    """It has not answered yet."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """It has been silent for too long; its grants are not renewed."""

    DEAD = "dead"
    """Its process is over, and with it all grants that it had."""


class Granter:
    """Orders grants to one target, for all pages that this host keeps.

    Attributes
    ----------
    cfg : TargetConfig
        The target, as last configured.
    state : TargetState
        What is known about it.
    """

    def __init__(
        self,
        service: ServiceKey,
        cfg: TargetConfig,
        keeper: Keeper,
        clock: Clock,
        orders: TargetOrders,
    ):
        self.service = service
        self.cfg = cfg
        self.state = TargetState.UNKNOWN
        self.fenced: set = set()
        self._keeper = keeper
        self._timers = keeper.member.cfg.timers
        self._clock = clock
        self._orders = orders
        self._answered_at = clock.now()
        self._reported = TargetInstant(0.0)
        self._received_at = LONG_AGO
        self._kick = eventlet.event.Event()

    def run(self, wanted) -> None:
        """Renew grants for as long as `wanted()`."""
        while wanted():
            due = Instant(self._clock.now() + self._timers.renew_s)
            self._kick = eventlet.event.Event()
            self._round()
            with eventlet.Timeout(max(0.0, due - self._clock.now()), False):
                self._kick.wait()

    def renew_soon(self) -> None:
        """Send the next orders soon."""
        if not self._kick.ready():
            self._kick.send()

    def grant(self, managed: ManagedPage) -> bool:
        """Grant the target its shards of one page now; return whether it answered."""
        try:
            if self._received_at == LONG_AGO:
                self._order(managed, ())
            self._order(managed, managed.grantable(self.cfg.target_id))
        except TargetError:
            return False
        return True

    def release(
        self, managed: ManagedPage, shards: tuple[ShardId, ...], until: Instant
    ):
        """Take shards back; raises `TargetError`.

        Returns once no work on them goes on, as far as the target says.
        """
        order = ReleaseOrder(
            team=managed.page.key.team,
            service=managed.page.key.service,
            page=managed.page.key.page,
            fence=managed.page.epoch,
            shards=shards,
        )
        self._check_lease()
        self._send(self._orders.release, order, until)

    # Rounds.

    def _round(self):
        """Renew all grants, or find out whether the target answers again."""
        pages = [
            managed
            for managed in self._keeper.open_pages()
            if (managed.page.key.team, managed.page.key.service) == self.service
        ]
        if not pages:
            self._forget()
            return
        try:
            self._renew(pages)
        except AuthorityLapsed:
            self._received_at = LONG_AGO
        except TargetError as exc:
            self._judge(exc)

    def _renew(self, pages):
        if self._received_at == LONG_AGO:
            self._order(pages[0], ())
        asked = False
        for managed in pages:
            shards = managed.grantable(self.cfg.target_id)
            if (
                not shards
                or managed.closed
                or self._clock.now() < managed.no_grants_before
            ):
                continue
            asked = True
            self._renew_page(managed, shards)
        if not asked:
            self._order(pages[0], ())

    def _renew_page(self, managed, shards):
        try:
            self._order(managed, shards)
        except TargetFenced:
            # The target has seen a later state of this page than ours.
            self.fenced.add(managed.page.key)

    def _forget(self):
        """Know nothing; the target was not asked for a while."""
        self.state = TargetState.UNKNOWN
        self._answered_at = self._clock.now()
        self._received_at = LONG_AGO

    def _judge(self, exc):
        now = self._clock.now()
        before = self.state
        if isinstance(exc, TargetRefusedConnection):
            self.state = TargetState.DEAD
            self._received_at = LONG_AGO
        elif now - self._answered_at > self._timers.suspect_s:
            if self.state is not TargetState.DEAD:
                self.state = TargetState.SUSPECT
            self._received_at = LONG_AGO
        if self.state is not before:
            _LOG.warning(
                "grants: target %s",
                self.state.value,
                extra={"target": self.cfg.target_id},
            )

    # Orders.

    def _order(self, managed, shards):
        """Send one order: compute its end, check the lease, then send."""
        now = self._clock.now()
        order = GrantOrder(
            team=managed.page.key.team,
            service=managed.page.key.service,
            page=managed.page.key.page,
            fence=managed.page.epoch,
            shards=shards,
            not_after=self._not_after(now) if shards else TargetInstant(0.0),
        )
        lapse = Instant(now + self._timers.longest(self._timers.grant_s))
        number = managed.record_order(self.cfg.target_id, lapse) if shards else 0
        self._check_lease()
        self._send(self._orders.grant, order, Instant(now + ORDER_S))
        if shards:
            managed.record_answer(self.cfg.target_id, number)

    def _not_after(self, now):
        """Return the end of a grant on the target's clock, if given at `now`.

        The target's clock had reached `_reported` when the answer arrived, and has
        run at the slowest since, so the grant never ends later than it should.
        """
        passed_s = (now - self._received_at) / (1 + self._timers.clock_drift)
        return TargetInstant(self._reported + passed_s + self._timers.grant_s)

    def _check_lease(self):
        if not self._keeper.member.holds_lease():
            raise AuthorityLapsed("no orders without a lease")

    def _send(self, call, order, deadline):
        address = TargetAddress(self.cfg.target_id, self.cfg.ip, self.cfg.port)
        reply = call(address, order, deadline)
        self._answered_at = self._received_at = self._clock.now()
        self._reported = reply.clock
        if self.state is not TargetState.ALIVE:
            self.state = TargetState.ALIVE
            _LOG.info("grants: target answers", extra={"target": self.cfg.target_id})
