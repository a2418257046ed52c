"""The scheduler of one entry host, which shares targets' slots with the others."""

import itertools
import logging
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import (
    DeadlinePassed,
    GroupsChanged,
    NoOwnerYet,
    PeerError,
    PeerRefused,
)
from persimmonspoke.ids import HostId, Instant, TargetId, TeamId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.scheduling.api import Slot, Ticket
from persimmonspoke.internal.scheduling.borrower import Borrower
from persimmonspoke.internal.scheduling.directory import Directory
from persimmonspoke.internal.scheduling.groups import (
    Endpoint,
    GroupId,
    ServiceKey,
)
from persimmonspoke.internal.scheduling.lender import Lender
from persimmonspoke.internal.scheduling.lenders import AloneMembers, Lenders, Members
from persimmonspoke.internal.scheduling.messages import (
    GrantSeen,
    SlotGrant,
    SlotReport,
)
from persimmonspoke.internal.scheduling.pushes import GrantPushes
from persimmonspoke.internal.scheduling.retry_budget import RetryBudget
from persimmonspoke.internal.scheduling.settings import SchedulingSettings

_log = logging.getLogger(__name__)

_MOST_CACHED_PLACES = 10_000
_REPEAT_S = 0.02


@dataclass(frozen=True, slots=True)
class GroupState:
    """One group of targets as this host sees it, for the state dump."""

    group: GroupId
    lender: HostId | None
    waiting: int
    permits: dict[Endpoint, int]
    lent: dict[Endpoint, int]


@dataclass(slots=True)
class _Attended:
    """A borrower and the task that reports for it."""

    borrower: Borrower
    wake: Event
    running: bool = False


class _Place:
    """Where requests of one service with the same candidates may wait."""

    __slots__ = ("budget", "_parts")

    def __init__(self, budget, parts):
        self.budget = budget
        self._parts = parts

    def choose(self, ticket):
        """Return a borrower, the least loaded one, and the choices it serves."""
        if len(self._parts) == 1 and not self._parts[0][0].closed:
            return self._parts[0]
        usable = [(b, b.open_choices(choices)) for b, choices in self._parts]
        usable = [part for part in usable if part[1]]
        if not usable:
            raise NoOwnerYet(f"no candidate of {ticket.service.service} takes work")
        return min(usable, key=lambda part: part[0].load())


class SharedScheduler:
    """Queues on this host, in front of slots that all entry hosts share.

    Parameters
    ----------
    link : PeerLink or None
        None if there are no other hosts.
    """

    def __init__(
        self,
        cfg: SchedulingSettings,
        clock: Clock,
        link: PeerLink | None,
        members: Members,
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._members = members
        self._me = members.me().host_id
        self._lenders = Lenders(cfg, clock, members)
        self._directory = Directory()
        self._attended: dict[GroupId, _Attended] = {}
        self._lending: dict[GroupId, Lender] = {}
        self._places: dict[tuple, _Place] = {}
        self._budgets: dict[ServiceKey, RetryBudget] = {}
        self._watcher = None
        self._serials = itertools.count(1)
        self._pushes = GrantPushes(cfg, clock, link, members, self._on_grant)
        if link is not None:
            link.serve(SlotReport, self._on_report)
            link.serve(SlotGrant, self._on_grant)

    def start(self) -> None:
        """Start the task that watches the fleet and lapsed permits."""
        self._watcher = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """End that task; requests that wait go on waiting."""
        if self._watcher is not None:
            self._watcher.kill()

    def configure(self, cfg: TeamConfig) -> None:
        """Take in one team's newest configuration."""
        self._directory.configure(cfg)
        self._regroup()

    def forget(self, team: TeamId) -> None:
        """Drop a team that no longer exists."""
        self._directory.forget(team)
        self._regroup()

    def set_leaving(self, team: TeamId, targets: frozenset[TargetId]) -> None:
        """Take in which targets of `team` are leaving.

        A target that others can replace gets nothing more at once.  The sole owner
        of a key gets new work for a short time, in which its shards move.
        """
        self._directory.set_leaving(team, targets, self._clock.now())
        self._close_leaving()

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`; see `api.Scheduler`."""
        if ticket.deadline <= self._clock.now():
            raise DeadlinePassed("the deadline passed before the request waited")
        self._place(ticket, candidates).budget.tried()
        while True:
            borrower, choices = self._place(ticket, candidates).choose(ticket)
            try:
                return borrower.acquire(ticket, choices)
            except GroupsChanged:
                continue

    def may_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
        return self._budget(ticket).take()

    def state(self) -> tuple[GroupState, ...]:
        """Return the groups that hold permits, lend them, or have requests wait."""
        return tuple(
            self._state_of(group_id, attended.borrower)
            for group_id, attended in self._attended.items()
            if attended.borrower.is_active() or group_id in self._lending
        )

    def _state_of(self, group_id, borrower):
        lender = self._lending.get(group_id)
        return GroupState(
            group=group_id,
            lender=borrower.lender,
            waiting=len(borrower.queue),
            permits=borrower.permits(),
            lent=lender.lent() if lender else {},
        )

    def _budget(self, ticket):
        key = ServiceKey(ticket.team, ticket.service.service)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget(self._cfg)
        return budget

    def _place(self, ticket, candidates):
        key = (ticket.team, ticket.service.service, candidates)
        place = self._places.get(key)
        if place is None:
            choices = self._directory.choices(ticket, candidates)
            parts = [(self._attended[name].borrower, c) for name, c in choices.items()]
            if len(self._places) >= _MOST_CACHED_PLACES:
                self._places.clear()
            place = self._places[key] = _Place(self._budget(ticket), parts)
        return place

    def _regroup(self):
        self._places.clear()
        groups = self._directory.groups
        weights = self._directory.weights()
        for group in groups.values():
            self._configure_group(group, weights)
        for group_id in [name for name in self._attended if name not in groups]:
            self._lending.pop(group_id, None)
            self._attended.pop(group_id).borrower.dissolve()
        self._close_leaving()

    def _configure_group(self, group, weights):
        attended = self._attended.get(group.group_id)
        if attended is None:
            borrower = Borrower(
                group, self._me, self._cfg, self._clock, self._on_change
            )
            attended = _Attended(borrower, Event())
            self._attended[group.group_id] = attended
        attended.borrower.configure(group)
        attended.borrower.queue.team_weights = weights
        lender = self._lending.get(group.group_id)
        if lender is not None:
            lender.configure(group, weights)

    def _close_leaving(self):
        grace_s = self._cfg.leaving_grace_s
        closed = self._directory.closed(self._clock.now(), grace_s)
        for group_id, attended in self._attended.items():
            if closed[group_id] != attended.borrower.closed:
                attended.borrower.close(closed[group_id])
                if group_id in self._lending:
                    self._lending[group_id].close(closed[group_id])

    def _watch(self):
        while True:
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.renew_s))
            self._lenders.refresh()
            self._close_leaving()
            for group_id, lender in list(self._lending.items()):
                lender.lapse()
                elsewhere = self._lenders.of(group_id).host_id != self._me
                if elsewhere and lender.is_idle():
                    # When the group comes back here, another host will have lent.
                    del self._lending[group_id]

    def _on_change(self, borrower):
        """Tell the lender of a change: at once if it is here, else by the task."""
        if self._lenders.of(borrower.group.group_id).host_id == self._me:
            self._report_here(borrower)
        attended = self._attended.get(borrower.group.group_id)
        if attended is None or attended.borrower is not borrower:
            return
        if not attended.running:
            attended.running = True
            eventlet.spawn_n(self._attend, attended)
        elif borrower.lender != self._me and not attended.wake.ready():
            attended.wake.send(None)

    def _attend(self, attended):
        """Report for one borrower as long as it holds permits or has requests."""
        borrower = attended.borrower
        renew_at = self._from_now(self._cfg.renew_s)
        try:
            while self._needs_reports(attended):
                attended.wake = Event()
                if not self._report(borrower):
                    self._clock.sleep_until(self._from_now(_REPEAT_S))
                    continue
                self._clock.sleep_until(self._from_now(self._cfg.report_gap_s))
                attended.wake.wait(timeout=max(0.0, renew_at - self._clock.now()))
                borrower.check_lease(self._clock.now())
                if self._clock.now() >= renew_at:
                    renew_at = self._from_now(self._cfg.renew_s)
                    borrower.return_unused()
            borrower.forget_account()
        finally:
            attended.running = False

    def _needs_reports(self, attended):
        borrower = attended.borrower
        if self._attended.get(borrower.group.group_id) is not attended:
            return False
        return borrower.is_active() or attended.wake.ready()

    def _from_now(self, delay_s):
        return Instant(self._clock.now() + delay_s)

    def _report(self, borrower):
        """Send one report and take in the answer; return whether there was one."""
        lender = self._lenders.of(borrower.group.group_id)
        if lender.host_id == self._me:
            self._report_here(borrower)
            return True
        self._open_account(borrower, lender)
        sent_at = self._clock.now()
        try:
            grant = self._link.call(
                lender, borrower.report(), Instant(sent_at + self._cfg.call_s)
            )
        except PeerRefused as exc:
            _log.debug("scheduling: report refused", extra={"reason": str(exc)})
            return False
        except PeerError as exc:
            _log.info(
                "scheduling: lender lost",
                extra={"lender": lender.host_id, "reason": str(exc)},
            )
            self._lenders.avoid(lender.host_id)
            return False
        borrower.lease_until = Instant(sent_at + self._cfg.permit_s)
        borrower.on_grant(grant)
        return True

    def _report_here(self, borrower):
        self._open_account(borrower, self._members.me())
        lender = self._lender(borrower.group.group_id)
        now = self._clock.now()
        grant = lender.on_report(borrower.report())
        borrower.lease_until = Instant(now + self._cfg.permit_s)
        borrower.on_grant(grant)

    def _open_account(self, borrower, lender: PeerAddress):
        borrower.check_lease(self._clock.now())
        if borrower.lender != lender.host_id:
            borrower.change_lender(lender.host_id)

    def _lender(self, group_id):
        """Return the lender of a group on this host; it starts when first asked."""
        lender = self._lending.get(group_id)
        if lender is not None:
            return lender
        group = self._directory.groups.get(group_id)
        if group is None:
            raise PeerRefused(f"group {group_id} is not configured here yet")
        lender = Lender(
            group,
            self._me,
            self._cfg,
            self._clock,
            self._lenders.lends_from(group_id),
            self._serials,
            self._pushes.push,
        )
        lender.team_weights = self._directory.weights()
        lender.close(self._attended[group_id].borrower.closed)
        self._lending[group_id] = lender
        return lender

    def _on_report(self, report: SlotReport) -> SlotGrant:
        return self._lender(report.group).on_report(report)

    def _on_grant(self, grant: SlotGrant) -> GrantSeen:
        attended = self._attended.get(grant.group)
        if attended is not None:
            attended.borrower.on_grant(grant)
        return GrantSeen(grant.group)


class LocalScheduler(SharedScheduler):
    """The scheduler of a fleet of one host."""

    def __init__(self, cfg: SchedulingSettings, clock: Clock, me: PeerAddress):
        super().__init__(cfg, clock, None, AloneMembers(me))
