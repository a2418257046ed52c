"""Renewal of the grants of one target, and detection of its failure."""

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

ORDER_TIMEOUT_S = 0.15


class TargetState(Enum):
    """What this host knows about a target."""

    UNKNOWN = "unknown"
    """The target has not answered yet."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """The target has not answered for too long; its grants are not renewed."""

    DEAD = "dead"
    """The process of the target has ended, and with it all of its grants."""


class Granter:
    """Sends grant orders to one target, for all pages that this host keeps.

    Attributes
    ----------
    cfg : TargetConfig
        The target, as last configured.
    state : TargetState
        What is known about the target.
    fenced : set of PageKey
        Pages of which the target has seen a later epoch than this host's.
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
        self._reported_clock = TargetInstant(0.0)
        self._clock_received_at = LONG_AGO
        self._renewal_requested = eventlet.event.Event()

    def run(self, wanted) -> None:
        """Renew the grants periodically while `wanted()` returns true."""
        while wanted():
            due = Instant(self._clock.now() + self._timers.renew_s)
            self._renewal_requested = eventlet.event.Event()
            self._renew_or_probe()
            with eventlet.Timeout(max(0.0, due - self._clock.now()), False):
                self._renewal_requested.wait()

    def renew_soon(self) -> None:
        """Send the next orders now instead of at the end of the renewal period."""
        if not self._renewal_requested.ready():
            self._renewal_requested.send()

    def grant(self, managed: ManagedPage) -> bool:
        """Grant the target its shards of one page; return whether it answered."""
        try:
            if self._clock_received_at == LONG_AGO:
                # The answer to an empty order has the target's clock, from which the
                # end of a grant is computed.
                self._order(managed, ())
            self._order(managed, managed.grantable(self.cfg.target_id))
        except TargetError:
            return False
        return True

    def release(
        self, managed: ManagedPage, shards: tuple[ShardId, ...], until: Instant
    ):
        """Release shards from the target, or raise `TargetError`.

        Returns once the target reports that it runs no request on the shards.
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

    # Periodic renewal of all grants.

    def _renew_or_probe(self):
        """Renew all grants; without any, send an empty order to check the target."""
        pages = [
            managed
            for managed in self._keeper.open_pages()
            if (managed.page.key.team, managed.page.key.service) == self.service
        ]
        if not pages:
            self._reset()
            return
        try:
            self._renew(pages)
        except AuthorityLapsed:
            self._clock_received_at = LONG_AGO
        except TargetError as exc:
            self._record_failure(exc)

    def _renew(self, pages):
        if self._clock_received_at == LONG_AGO:
            self._order(pages[0], ())
        any_sent = False
        for managed in pages:
            shards = managed.grantable(self.cfg.target_id)
            if (
                not shards
                or managed.closed
                or self._clock.now() < managed.no_grants_before
            ):
                continue
            any_sent = True
            self._renew_page(managed, shards)
        if not any_sent:
            self._order(pages[0], ())

    def _renew_page(self, managed, shards):
        try:
            self._order(managed, shards)
        except TargetFenced:
            # The target has seen a later epoch of this page.
            self.fenced.add(managed.page.key)

    def _reset(self):
        """Discard all knowledge of the target, because no orders are sent to it."""
        self.state = TargetState.UNKNOWN
        self._answered_at = self._clock.now()
        self._clock_received_at = LONG_AGO

    def _record_failure(self, exc):
        """Update the state of the target after a failed order."""
        now = self._clock.now()
        before = self.state
        if isinstance(exc, TargetRefusedConnection):
            self.state = TargetState.DEAD
            self._clock_received_at = LONG_AGO
        elif now - self._answered_at > self._timers.suspect_s:
            if self.state is not TargetState.DEAD:
                self.state = TargetState.SUSPECT
            self._clock_received_at = LONG_AGO
        if self.state is not before:
            _LOG.warning(
                "grants: target %s",
                self.state.value,
                extra={"target": self.cfg.target_id},
            )

    # Orders to the target, each sent under the lease of this host.

    def _order(self, managed, shards):
        """Send one order for the given shards, which may be none.

        The end of the grant is computed before the lease of this host is checked, and
        the lease is checked before the order is sent.
        """
        now = self._clock.now()
        order = GrantOrder(
            team=managed.page.key.team,
            service=managed.page.key.service,
            page=managed.page.key.page,
            fence=managed.page.epoch,
            shards=shards,
            not_after=self._not_after(now) if shards else TargetInstant(0.0),
        )
        lapses_at = Instant(now + self._timers.max_duration_s(self._timers.grant_s))
        number = managed.record_order(self.cfg.target_id, lapses_at) if shards else 0
        self._check_lease()
        self._send(self._orders.grant, order, Instant(now + ORDER_TIMEOUT_S))
        if shards:
            managed.record_answer(self.cfg.target_id, number)

    def _not_after(self, now):
        """Return the end, on the target's clock, of a grant given at `now`.

        The target's clock showed at least `_reported_clock` when its answer arrived.
        Since then it is assumed to have run at the slowest rate that the clock drift
        allows, so that the grant never ends later than it should.
        """
        elapsed_s = (now - self._clock_received_at) / (1 + self._timers.clock_drift)
        return TargetInstant(self._reported_clock + elapsed_s + self._timers.grant_s)

    def _check_lease(self):
        if not self._keeper.member.holds_lease():
            raise AuthorityLapsed("this host holds no lease and may not send orders")

    def _send(self, call, order, deadline):
        address = TargetAddress(self.cfg.target_id, self.cfg.ip, self.cfg.port)
        reply = call(address, order, deadline)
        self._answered_at = self._clock_received_at = self._clock.now()
        self._reported_clock = reply.clock
        if self.state is not TargetState.ALIVE:
            self.state = TargetState.ALIVE
            _LOG.info("grants: target answers", extra={"target": self.cfg.target_id})
