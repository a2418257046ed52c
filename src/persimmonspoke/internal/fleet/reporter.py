"""A host's reports to the leader, and the leader's answers."""

import logging
from collections import Counter
from collections.abc import Callable

import eventlet

from persimmonspoke.errors import PeerError, PeerRefused
from persimmonspoke.ids import HostId, Instant, KeyText, ServiceId, TargetId
from persimmonspoke.internal.callers.attempts import WorkObserver
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import (
    HostReport,
    KeyLoad,
    LeaderReply,
    RangeTable,
    TableSeen,
    TargetWork,
)
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.ranges.keeper import Keeper
from persimmonspoke.internal.ranges.routes import RangeRoutes

log = logging.getLogger(__name__)


class Measured(WorkObserver):
    """What this host has measured since its last report."""

    def __init__(self):
        self._keys: Counter[tuple[ServiceId, int]] = Counter()
        self._answered: Counter[TargetId] = Counter()
        self._busy_s: Counter[TargetId] = Counter()
        self._failed: Counter[TargetId] = Counter()

    def asked(self, service: ServiceId, key: KeyText) -> None:
        """Count a request for a key."""
        self._keys[service, int(key)] += 1

    def answered(self, target_id: TargetId, took_s: float) -> None:
        """Count an answer."""
        self._answered[target_id] += 1
        self._busy_s[target_id] += took_s

    def failed(self, target_id: TargetId) -> None:
        """Count an attempt without an answer."""
        self._failed[target_id] += 1

    def take(self) -> tuple[tuple[KeyLoad, ...], tuple[TargetWork, ...]]:
        """Return what was measured, and start anew."""
        loads = tuple(
            KeyLoad(service, key, count) for (service, key), count in self._keys.items()
        )
        work = tuple(
            TargetWork(
                target_id,
                self._answered[target_id],
                self._busy_s[target_id],
                self._failed[target_id],
            )
            for target_id in {*self._answered, *self._failed}
        )
        for counter in (self._keys, self._answered, self._busy_s, self._failed):
            counter.clear()
        return loads, work


class Reporter:
    """Reports to the leader; answers reports, if this host is the leader.

    Parameters
    ----------
    store_age_s : callable
        Returns the time since this host was certainly up to date with the store.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        clock: Clock,
        link: PeerLink,
        hosts: Hosts,
        leadership: Leadership,
        routes: RangeRoutes,
        store_age_s: Callable[[], float],
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._hosts = hosts
        self._leadership = leadership
        self._routes = routes
        self._store_age_s = store_age_s
        self._seen: dict[HostId, tuple[Instant, HostReport]] = {}
        self._sending: set[HostId] = set()
        self._newest: RangeTable | None = None
        self.keeper: Keeper | None = None
        self.measured = Measured()
        link.serve(HostReport, self._on_report)
        link.serve(RangeTable, self._on_table)

    def run(self) -> None:
        """Report for as long as the task lives."""
        while True:
            report_at = Instant(self._clock.now() + self._cfg.report_s)
            if self._leadership.leading:
                self._take_in(self._on_report(self._report()))
                self._yield_lead()
            elif self._leadership.leader is not None:
                self._call(self._leadership.leader)
            self._clock.sleep_until(report_at)

    def publish(self, table: RangeTable) -> None:
        """Send a table to all live hosts, this one included."""
        self._routes.take(table)
        self._newest = table
        known = {report.sender.address for _, report in self._seen.values()}
        for address in known.union(e.address for e in self._hosts.recorded()):
            if address != self._hosts.me() and address.host_id not in self._sending:
                self._sending.add(address.host_id)
                eventlet.spawn_n(self._send, address)

    def _send(self, address):
        """Send tables until the host has the newest; a lost one comes by report."""
        sent = None
        try:
            while self._newest is not sent and self._leadership.leading:
                sent = self._newest
                deadline = Instant(self._clock.now() + self._cfg.call_s)
                self._link.call(address, sent, deadline)
        except PeerError as exc:
            log.debug(
                "fleet: table not seen",
                extra={"host": address.host_id, "reason": str(exc)},
            )
        finally:
            self._sending.discard(address.host_id)

    def _report(self):
        loads, work = self.measured.take()
        epoch, serial = self._routes.known()
        return HostReport(
            sender=self._hosts.my_entry,
            epoch=epoch,
            serial=serial,
            loads=loads,
            work=work,
            refused=self._routes.refusals(),
            store_age_s=self._store_age_s(),
            leaving=self._hosts.leaving,
        )

    def _call(self, leader):
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        try:
            reply = self._link.call(leader, self._report(), deadline)
        except PeerRefused as exc:
            log.info("fleet: report refused", extra={"reason": str(exc)})
            self._leadership.lost(leader)
        except PeerError as exc:
            log.info(
                "fleet: leader did not answer",
                extra={"leader": leader.host_id, "reason": str(exc)},
            )
        else:
            self._leadership.heard(reply.epoch)
            self._take_in(reply)
            if reply.store_age_s > self._cfg.yield_s:
                # The leader must learn whether it alone lacks the store.
                self._leadership.ask_store()

    def _take_in(self, reply):
        if reply.table is not None:
            self._routes.take(reply.table)
        until = Instant(self._clock.now() + self._cfg.present_s)
        self._hosts.set_live(reply.hosts, until)

    def _on_report(self, report: HostReport) -> LeaderReply:
        if not self._leadership.leading:
            raise PeerRefused("this host does not lead")
        now = self._clock.now()
        self._seen[report.sender.address.host_id] = (now, report)
        self._hosts.heard(report.sender.address.host_id)
        self.keeper.on_report(report)
        table = None
        if self._newest is not None and self._newest.age_key() > (
            report.epoch,
            report.serial,
        ):
            table = self._newest
        return LeaderReply(
            self._leadership.epoch, self._present(now), table, self._store_age_s()
        )

    def _present(self, now):
        self._seen = {
            host_id: (at, report)
            for host_id, (at, report) in self._seen.items()
            if now - at <= self._cfg.present_s
        }
        return tuple(
            report.sender for _, report in self._seen.values() if not report.leaving
        )

    def _yield_lead(self):
        """Step aside if other hosts reach the store and this one does not."""
        if self._store_age_s() < self._cfg.yield_s:
            return
        me = self._hosts.me()
        for _, report in self._seen.values():
            if report.sender.address != me and report.store_age_s < self._cfg.fresh_s:
                self._leadership.step_aside("the store answers others, not this host")
                return

    def _on_table(self, table: RangeTable) -> TableSeen:
        self._leadership.follow(table.leader, table.epoch)
        self._leadership.heard(table.epoch)
        self._routes.take(table)
        return TableSeen(*self._routes.known())
