"""The reports of hosts to the leader, and the leader's replies."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import eventlet
import xxhash

from persimmonspoke.errors import PeerError, PeerRefused
from persimmonspoke.ids import (
    Fingerprint,
    HostId,
    Instant,
    KeyText,
    ServiceId,
    TargetId,
)
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
from persimmonspoke.internal.quarantine.messages import SuspectsChanged
from persimmonspoke.internal.quarantine.suspects import Suspects
from persimmonspoke.internal.ranges.keeper import Keeper
from persimmonspoke.internal.ranges.routes import RangeRoutes
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.paths import TargetPaths
from persimmonspoke.internal.targets.rate_limits import RateLimits
from persimmonspoke.internal.targets.warmups import Warmups, no_warmups

LIST_PERIOD_S = 0.1  # between two checks of which hosts have fallen silent
STRONGER_FACTOR = 2.0  # a change of the leader renews all grants

log = logging.getLogger(__name__)


class LoadRecorder(WorkObserver):
    """Records the load that this host measures between two reports.

    Parameters
    ----------
    limits : RateLimits
        The rate limits that answers to this host named.
    warmups : Warmups
        The cold targets, whose limits count like rate limits.
    """

    def __init__(self, limits: RateLimits, warmups: Warmups):
        self._limits = limits
        self._warmups = warmups
        self._keys: Counter[tuple[ServiceId, int]] = Counter()
        self._answered: Counter[TargetId] = Counter()
        self._busy_s: Counter[TargetId] = Counter()
        self._kinds: dict[tuple[ServiceId, str, TargetId], tuple[int, float]] = {}

    def record_request(self, service: ServiceId, key: KeyText) -> None:
        """Count a request for a key."""
        self._keys[service, int(key)] += 1

    def record_answer(
        self,
        target_id: TargetId,
        took_s: float,
        service: ServiceId | None = None,
        kind: str = "",
    ) -> None:
        """Count an answer; with `service`, also by kind of request."""
        self._answered[target_id] += 1
        self._busy_s[target_id] += took_s
        if service is not None:
            row = service, kind, target_id
            count, busy_s = self._kinds.get(row, (0, 0.0))
            self._kinds[row] = count + 1, busy_s + took_s

    def drain_kinds(self) -> list:
        """Return and clear the work by kind of request, in the form of `HostReport`."""
        rows = [
            (*row, count, round(busy_s, 4))
            for row, (count, busy_s) in self._kinds.items()
        ]
        self._kinds = {}
        return rows

    def drain(self) -> tuple[list, list]:
        """Return and clear the recorded loads and work, in the form of `HostReport`."""
        loads = [(service, key, n) for (service, key), n in self._keys.items()]
        work = [
            (
                target_id,
                n,
                round(self._busy_s[target_id], 4),
                min(self._limits.of(target_id), self._warmups.limit_per_s(target_id)),
            )
            for target_id, n in self._answered.items()
        ]
        for counter in (self._keys, self._answered, self._busy_s):
            counter.clear()
        return loads, work


@dataclass(frozen=True, slots=True)
class _HostState:
    """The leader's record of one host's last report.

    Attributes
    ----------
    present_until : Instant
        Until then the host counts as alive without another report.
    """

    entry: HostEntry
    present_until: Instant
    store_age_s: float
    leaving: bool
    paths_cut: bool


class Reporter:
    """Sends reports to the leader; replies to reports if this host is the leader.

    Parameters
    ----------
    store_age_s : callable
        Returns the time since the store last answered this host.
    suspects : Suspects
        Requests under which targets end; the leader joins what all hosts know.
    paths : TargetPaths
        This host's paths to the targets; a leader whose paths are cut hands over.
    state : RoutingState
        Learns from other hosts which targets are leaving.
    warmups : Warmups
        The cold targets that this host knows of.

    Attributes
    ----------
    on_target_leaving : callable
        Called when another host has told of a leaving target.
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
        limits: RateLimits,
        suspects: Suspects,
        paths: TargetPaths,
        state: RoutingState,
        warmups: Warmups | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._hosts = hosts
        self._suspects = suspects
        self._paths = paths
        self._state = state
        self.on_target_leaving: Callable[[], None] = lambda: None
        self._leadership = leadership
        self._routes = routes
        self._store_age_s = store_age_s
        self._host_states: dict[HostId, _HostState] = {}
        self._host_list_number = 0
        self._list_due_at = Instant(float("-inf"))
        self._present_list: tuple[int, list] = (0, [])
        self._listed: tuple[HostEntry, ...] = ()
        self._isolated_since: Instant | None = None
        self._is_handing_over = False
        self._weak_since: Instant | None = None
        self.keeper: Keeper | None = None
        warmups = no_warmups(clock) if warmups is None else warmups
        self.load_recorder = LoadRecorder(limits, warmups)
        link.serve(HostReport, self._on_report)
        link.serve(TableChange, self._on_change)
        link.serve(SuspectsChanged, self._on_suspects_changed)

    def run(self) -> None:
        """Send reports periodically until the task is killed."""
        while True:
            self._leadership.report_s = self._period_s()
            report_at = Instant(self._clock.now() + self._leadership.report_s)
            if self._leadership.leading:
                self._apply_reply(self._on_report(self._report(self._hosts.me())))
                self._step_aside_if_isolated()
                self._hand_over_if_cut()
                self._hand_over_if_weak()
            elif self._leadership.leader is not None:
                self._report_to(self._leadership.leader)
            self._clock.sleep_until(report_at)

    def publish(self, change: TableChange) -> None:
        """Apply a change of the leader's table here, and send it to all other hosts."""
        if not self._routes.apply_change(change):
            self._routes.apply_table(self.keeper.table())
        self._post_to_others(change)

    def publish_suspects(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Tell all other hosts what this host, the leader, knows of some requests."""
        rows = self._suspects.rows_of(fingerprints)
        if rows:
            self._post_to_others(SuspectsChanged(rows))

    def _post_to_others(self, msg):
        for state in self._host_states.values():
            if state.entry.address != self._hosts.me():
                self._link.post(state.entry.address, msg)

    def _period_s(self):
        """Return how often to report; less often in a large fleet.

        The first candidates for the leadership report as often as in a small one, and
        so does the leader, whose reports to itself are no messages.
        """
        if self._leadership.leading:
            return self._cfg.report_s
        hosts = self._hosts.candidates()
        period_s = max(self._cfg.report_s, len(hosts) / self._cfg.reports_per_s)
        if (
            period_s > self._cfg.report_s
            and self._hosts.rank_among(hosts, None) < self._cfg.candidates
        ):
            return self._cfg.report_s
        return period_s

    def _report(self, leader: PeerAddress):
        loads, work = self.load_recorder.drain()
        suspects = []
        if leader != self._hosts.me():
            suspects = self._suspects.untold(leader.host_id)
        epoch, serial = self._routes.version()
        return HostReport(
            sender=entry_fields(self._hosts.my_entry),
            fleet=self._host_list_number,
            epoch=epoch,
            serial=serial,
            loads=loads,
            work=work,
            refused=self._routes.drain_refusals(),
            store_age_s=round(self._store_age_s(), 3),
            leaving=self._hosts.leaving,
            next_s=self._leadership.report_s,
            suspects=suspects,
            suspects_digest=self._suspects.digest(),
            paths_cut=self._paths.is_cut,
            leaving_targets=self._state.announced_leaving(),
            work_by_kind=self.load_recorder.drain_kinds(),
        )

    def _report_to(self, leader):
        """Send a report to the leader, and apply its reply."""
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        report = self._report(leader)
        try:
            reply = self._link.call(leader, report, deadline)
        except PeerRefused as exc:
            log.info("fleet: report refused", extra={"reason": str(exc)})
            self._leadership.on_not_leading(leader)
        except PeerError as exc:
            log.info(
                "fleet: leader did not answer",
                extra={"leader": leader.host_id, "reason": str(exc)},
            )
        else:
            self._leadership.on_leader_contact(reply.epoch)
            self._suspects.mark_told(report.suspects, leader.host_id)
            self._apply_reply(reply)
            if reply.store_age_s > self._cfg.yield_s or self._hosts.is_stronger_than(
                leader.host_id, STRONGER_FACTOR
            ):
                # The next report then shows the leader whether others reach the store.
                self._leadership.check_store()

    def _extra_period_s(self):
        return self._leadership.report_s - self._cfg.report_s

    def _apply_reply(self, reply):
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
        until = Instant(
            self._clock.now() + self._cfg.present_s + self._extra_period_s()
        )
        if reply.hosts is not None:
            self._host_list_number = reply.fleet
            self._listed = tuple(entry_from(fields) for fields in reply.hosts)
        self._hosts.update_live(self._listed, until)
        self._hosts.cut_hosts = frozenset(reply.cut_hosts)
        self._learn_leaving(reply.leaving_targets, reply.leader[0])
        if reply.suspects is not None:
            self._suspects.merge(reply.suspects, reply.leader[0])

    def _on_suspects_changed(self, changed: SuspectsChanged) -> None:
        self._suspects.merge(changed.rows, "leader")

    def _on_report(self, report: HostReport) -> LeaderReply:
        if not self._leadership.leading:
            raise PeerRefused("this host does not lead")
        now = self._clock.now()
        entry = entry_from(report.sender)
        host_id = entry.address.host_id
        extra_s = max(0.0, report.next_s - self._cfg.report_s)
        present_until = Instant(now + self._cfg.present_s + 2 * extra_s)
        before = self._host_states.get(host_id)
        self._host_states[host_id] = _HostState(
            entry,
            present_until,
            report.store_age_s,
            report.leaving,
            report.paths_cut,
        )
        if before is None or before.leaving != report.leaving:
            self._list_due_at = now
        self._hosts.mark_alive(host_id)
        self._learn_leaving(report.leaving_targets, host_id)
        self.keeper.on_report(report)
        self.publish_suspects(self._suspects.merge(report.suspects, host_id))
        number, hosts = self._present_hosts(now)
        newest = self.keeper.table()
        outdated = newest.version() > (report.epoch, report.serial)
        return LeaderReply(
            leader=address_fields(self._hosts.me()),
            epoch=self._leadership.epoch,
            serial=newest.serial,
            fleet=number,
            hosts=None if report.fleet == number else hosts,
            table=_encode_rows(newest) if outdated else None,
            store_age_s=round(self._store_age_s(), 3),
            suspects=self._suspects_unlike(report.suspects_digest),
            cut_hosts=[h for h, state in self._host_states.items() if state.paths_cut],
            leaving_targets=self._state.announced_leaving(),
        )

    def _learn_leaving(self, rows, source):
        """Learn from another host which targets have said that they are leaving."""
        news = [
            self._state.report_leaving(target_id, born_ms, source, age_s)
            for target_id, born_ms, age_s in rows
        ]
        if any(news):
            self.on_target_leaving()

    def _suspects_unlike(self, digest) -> list | None:
        """Return the shared suspects, None if the other host knows the same ones."""
        if digest == self._suspects.digest():
            return None
        return self._suspects.shared_rows()

    def _present_hosts(self, now):
        """Return the number and the entries of the list of live hosts.

        The number is a hash of the list: lists of two leaders must not share one.
        """
        if now >= self._list_due_at:
            self._list_due_at = Instant(now + LIST_PERIOD_S)
            self._host_states = {
                host_id: state
                for host_id, state in self._host_states.items()
                if now <= state.present_until
            }
            hosts = [
                entry_fields(state.entry)
                for _, state in sorted(self._host_states.items())
                if not state.leaving
            ]
            names = "".join(fields[0] for fields in hosts)
            self._present_list = xxhash.xxh32_intdigest(names), hosts
        return self._present_list

    def _step_aside_if_isolated(self):
        """Stop leading if another host reaches the store and this one does not."""
        now = self._clock.now()
        if not self._is_isolated():
            self._isolated_since = None
        elif self._isolated_since is None:
            # After an outage the store may answer other hosts a little earlier.
            self._isolated_since = now
        elif now - self._isolated_since >= self._cfg.isolated_s:
            self._leadership.step_aside("the store answers others, not this host")

    def _is_isolated(self):
        """Return whether the store answers another host and has left this one alone."""
        if self._store_age_s() < self._cfg.yield_s:
            return False
        me = self._hosts.me()
        return any(
            state.entry.address != me and state.store_age_s < self._cfg.fresh_s
            for state in self._host_states.values()
        )

    def _hand_over_if_cut(self):
        """Let another host lead if this one's paths are cut and the other's are not."""
        cut_since = self._paths.cut_since
        is_due = cut_since is not None and (
            self._clock.now() - cut_since >= self._cfg.cut_s
        )
        if self._is_handing_over or not is_due:
            return
        me = self._hosts.me()
        if any(
            state.entry.address != me and not (state.paths_cut or state.leaving)
            for state in self._host_states.values()
        ):
            self._start_hand_over("this host reaches few targets, others more")

    def _hand_over_if_weak(self):
        """Let a host lead that has much more processor time than this one.

        A weak host leads after the loss of the others; it renews grants and answers
        reports too late in a fleet under load.
        """
        stronger = {
            entry.address.host_id
            for entry in self._hosts.stronger_hosts(STRONGER_FACTOR)
        }
        is_due = any(
            host_id in stronger
            and not (state.paths_cut or state.leaving)
            and state.store_age_s < self._cfg.fresh_s
            for host_id, state in self._host_states.items()
        )
        now = self._clock.now()
        if not is_due:
            self._weak_since = None
        elif self._weak_since is None:
            self._weak_since = now
        elif now - self._weak_since >= self._cfg.weak_s and not self._is_handing_over:
            self._weak_since = None
            self._start_hand_over("another host has more processor time")

    def _start_hand_over(self, reason):
        # The store may be slow, and reports must not wait for it.
        self._is_handing_over = True
        eventlet.spawn_n(self._hand_over, reason)

    def _hand_over(self, reason):
        try:
            self._leadership.hand_over(reason)
        finally:
            self._is_handing_over = False

    def _on_change(self, change: TableChange) -> None:
        """Apply a change; if one before it is missing, the next reply has the table."""
        self._leadership.follow(PeerAddress(*change.leader), change.epoch)
        self._leadership.on_leader_contact(change.epoch)
        if not self._routes.apply_change(change):
            log.debug(
                "fleet: an earlier table change is missing",
                extra={"serial": change.serial},
            )


def _encode_rows(table):
    """Return the rows of each service as plain values."""
    return {
        service: [row_fields(row) for row in rows]
        for service, rows in table.services.items()
    }
