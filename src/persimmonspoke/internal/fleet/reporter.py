"""A host's reports to the leader, and the leader's answers."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from persimmonspoke.errors import PeerError, PeerRefused
from persimmonspoke.ids import HostId, Instant, KeyText, ServiceId, TargetId
from persimmonspoke.internal.callers.attempts import WorkObserver
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import (
    HostEntry,
    HostReport,
    LeaderReply,
    RangeTable,
    RouteRow,
    TableChange,
    address_fields,
    entry_fields,
    entry_from,
    row_fields,
)
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.ranges.keeper import Keeper
from persimmonspoke.internal.ranges.routes import RangeRoutes

log = logging.getLogger(__name__)


class LoadRecorder(WorkObserver):
    """What this host has measured since its last report."""

    def __init__(self):
        self._keys: Counter[tuple[ServiceId, int]] = Counter()
        self._answered: Counter[TargetId] = Counter()
        self._busy_s: Counter[TargetId] = Counter()

    def asked(self, service: ServiceId, key: KeyText) -> None:
        """Count a request for a key."""
        self._keys[service, int(key)] += 1

    def answered(self, target_id: TargetId, took_s: float) -> None:
        """Count an answer."""
        self._answered[target_id] += 1
        self._busy_s[target_id] += took_s

    def drain(self) -> tuple[list, list]:
        """Return loads and work, as in `HostReport`, and start anew."""
        loads = [(service, key, n) for (service, key), n in self._keys.items()]
        work = [
            (target_id, n, round(self._busy_s[target_id], 4))
            for target_id, n in self._answered.items()
        ]
        for counter in (self._keys, self._answered, self._busy_s):
            counter.clear()
        return loads, work


@dataclass(frozen=True, slots=True)
class _Seen:
    """What the leader knows of one host."""

    entry: HostEntry
    at: Instant
    store_age_s: float
    leaving: bool


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
        self._seen: dict[HostId, _Seen] = {}
        self._fleet = 0
        self._listed: tuple[HostEntry, ...] = ()
        self.keeper: Keeper | None = None
        self.load_recorder = LoadRecorder()
        link.serve(HostReport, self._on_report)
        link.serve(TableChange, self._on_change)

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

    def publish(self, change: TableChange) -> None:
        """Tell all hosts what has changed in the leader's table."""
        if not self._routes.apply_change(change):
            self._routes.apply_table(self.keeper.table())
        for seen in self._seen.values():
            if seen.entry.address != self._hosts.me():
                self._link.post(seen.entry.address, change)

    def _report(self):
        loads, work = self.load_recorder.drain()
        epoch, serial = self._routes.version()
        return HostReport(
            sender=entry_fields(self._hosts.my_entry),
            fleet=self._fleet,
            epoch=epoch,
            serial=serial,
            loads=loads,
            work=work,
            refused=self._routes.drain_refusals(),
            store_age_s=round(self._store_age_s(), 3),
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
            self._routes.apply_table(
                RangeTable(
                    PeerAddress(*reply.leader),
                    reply.epoch,
                    reply.serial,
                    {
                        service: tuple(RouteRow(*row) for row in rows)
                        for service, rows in reply.table.items()
                    },
                )
            )
        until = Instant(self._clock.now() + self._cfg.present_s)
        if reply.hosts is not None:
            self._fleet = reply.fleet
            self._listed = tuple(entry_from(fields) for fields in reply.hosts)
        self._hosts.set_live(self._listed, until)

    def _on_report(self, report: HostReport) -> LeaderReply:
        if not self._leadership.leading:
            raise PeerRefused("this host does not lead")
        now = self._clock.now()
        entry = entry_from(report.sender)
        host_id = entry.address.host_id
        self._seen[host_id] = _Seen(entry, now, report.store_age_s, report.leaving)
        self._hosts.heard(host_id)
        self.keeper.on_report(report)
        number, hosts = self._present(now)
        newest = self.keeper.table()
        behind = newest.version() > (report.epoch, report.serial)
        return LeaderReply(
            leader=address_fields(self._hosts.me()),
            epoch=self._leadership.epoch,
            serial=newest.serial,
            fleet=number,
            hosts=None if report.fleet == number else hosts,
            table=_plain_rows(newest) if behind else None,
            store_age_s=round(self._store_age_s(), 3),
        )

    def _present(self, now):
        """Return the number and the entries of the list of live hosts."""
        self._seen = {
            host_id: seen
            for host_id, seen in self._seen.items()
            if now - seen.at <= self._cfg.present_s
        }
        hosts = [
            entry_fields(seen.entry)
            for _, seen in sorted(self._seen.items())
            if not seen.leaving
        ]
        # Lists of two leaders must not share a number.
        names = "".join(fields[0] for fields in hosts)
        return xxhash.xxh32_intdigest(names), hosts

    def _yield_lead(self):
        """Step aside if other hosts reach the store and this one does not."""
        if self._store_age_s() < self._cfg.yield_s:
            return
        me = self._hosts.me()
        for seen in self._seen.values():
            if seen.entry.address != me and seen.store_age_s < self._cfg.fresh_s:
                self._leadership.step_aside("the store answers others, not this host")
                return

    def _on_change(self, change: TableChange) -> None:
        self._leadership.follow(PeerAddress(*change.leader), change.epoch)
        self._leadership.heard(change.epoch)
        if not self._routes.apply_change(change):
            log.debug("fleet: a change was missed", extra={"serial": change.serial})


def _plain_rows(table):
    return {
        service: [row_fields(row) for row in rows]
        for service, rows in table.services.items()
    }
