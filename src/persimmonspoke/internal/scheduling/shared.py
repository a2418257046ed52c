"""The scheduler of one entry host; all entry hosts share the slots of the targets."""

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
from persimmonspoke.internal.scheduling.directory import GroupDirectory
from persimmonspoke.internal.scheduling.groups import (
    Endpoint,
    GroupId,
    ServiceKey,
)
from persimmonspoke.internal.scheduling.lender import Lender
from persimmonspoke.internal.scheduling.lenders import (
    Lenders,
    Members,
    SingleHostMembers,
)
from persimmonspoke.internal.scheduling.messages import (
    GrantSeen,
    SlotGrant,
    SlotReport,
)
from persimmonspoke.internal.scheduling.pushes import GrantPushes
from persimmonspoke.internal.scheduling.retry_budget import RetryBudget
from persimmonspoke.internal.scheduling.settings import SchedulingSettings

_log = logging.getLogger(__name__)

_MAX_CACHED_GROUPS = 10_000
_RETRY_S = 0.02  # pause after a report that got no grant


@dataclass(frozen=True, slots=True)
class GroupState:
    """State of one group of targets on this host, for the state dump."""

    group: GroupId
    lender: HostId | None
    waiting: int
    permits: dict[Endpoint, int]
    lent: dict[Endpoint, int]


@dataclass(slots=True)
class _ManagedBorrower:
    """A borrower, and the state of the task that reports for it.

    Attributes
    ----------
    wake : Event
        Sent to make the task report before the next renewal.
    running : bool
        Whether the task runs.
    """

    borrower: Borrower
    wake: Event
    running: bool = False


class _CandidateGroups:
    """The groups in which requests of one service with the same candidates can wait."""

    __slots__ = ("budget", "_parts")

    def __init__(self, budget, parts):
        self.budget = budget
        self._parts = parts

    def choose(self, ticket):
        """Return the least loaded borrower with open choices, and those choices."""
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
        Connection to the other hosts; None if there are none.
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
        self._directory = GroupDirectory()
        self._managed: dict[GroupId, _ManagedBorrower] = {}
        self._local_lenders: dict[GroupId, Lender] = {}
        self._groups_cache: dict[tuple, _CandidateGroups] = {}
        self._budgets: dict[ServiceKey, RetryBudget] = {}
        self._watcher = None
        self._serials = itertools.count(1)
        self._pushes = GrantPushes(cfg, clock, link, members, self._on_grant)
        if link is not None:
            link.serve(SlotReport, self._on_report)
            link.serve(SlotGrant, self._on_grant)

    def start(self) -> None:
        """Start the task that checks for changes of the fleet and expired permits."""
        self._watcher = eventlet.spawn(self._run_checks)

    def stop(self) -> None:
        """Stop that task; waiting requests are not affected."""
        if self._watcher is not None:
            self._watcher.kill()

    def configure(self, cfg: TeamConfig) -> None:
        """Apply the newest configuration of one team."""
        self._directory.configure(cfg)
        self._regroup()

    def remove_team(self, team: TeamId) -> None:
        """Remove a team that no longer exists."""
        self._directory.remove_team(team)
        self._regroup()

    def set_leaving(self, team: TeamId, targets: frozenset[TargetId]) -> None:
        """Replace the set of leaving targets of `team`.

        A target in a pool gets no new work from now on.  The sole owner of a key gets
        new work for `leaving_grace_s`, during which its shards move.
        """
        self._directory.set_leaving(team, targets, self._clock.now())
        self._close_leaving()

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`; see `api.Scheduler`."""
        if ticket.deadline <= self._clock.now():
            raise DeadlinePassed("the deadline passed before the request waited")
        self._groups_of(ticket, candidates).budget.count_attempt()
        while True:
            borrower, choices = self._groups_of(ticket, candidates).choose(ticket)
            try:
                return borrower.acquire(ticket, choices)
            except GroupsChanged:
                continue

    def take_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether one was left."""
        return self._budget(ticket).try_take()

    def state(self) -> tuple[GroupState, ...]:
        """Return the state of groups with permits, waiting requests or lent permits."""
        return tuple(
            self._state_of(group_id, managed.borrower)
            for group_id, managed in self._managed.items()
            if managed.borrower.is_active() or group_id in self._local_lenders
        )

    def _state_of(self, group_id, borrower):
        lender = self._local_lenders.get(group_id)
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

    def _groups_of(self, ticket, candidates):
        key = (ticket.team, ticket.service.service, candidates)
        groups = self._groups_cache.get(key)
        if groups is None:
            choices = self._directory.choices(ticket, candidates)
            parts = [
                (self._managed[group_id].borrower, c) for group_id, c in choices.items()
            ]
            if len(self._groups_cache) >= _MAX_CACHED_GROUPS:
                self._groups_cache.clear()
            groups = self._groups_cache[key] = _CandidateGroups(
                self._budget(ticket), parts
            )
        return groups

    def _regroup(self):
        self._groups_cache.clear()
        groups = self._directory.groups
        weights = self._directory.weights()
        for group in groups.values():
            self._configure_group(group, weights)
        for group_id in [
            group_id for group_id in self._managed if group_id not in groups
        ]:
            self._local_lenders.pop(group_id, None)
            self._managed.pop(group_id).borrower.move_waiting()
        self._close_leaving()

    def _configure_group(self, group, weights):
        managed = self._managed.get(group.group_id)
        if managed is None:
            borrower = Borrower(
                group, self._me, self._cfg, self._clock, self._on_change
            )
            managed = _ManagedBorrower(borrower, Event())
            self._managed[group.group_id] = managed
        managed.borrower.configure(group)
        managed.borrower.queue.team_weights = weights
        lender = self._local_lenders.get(group.group_id)
        if lender is not None:
            lender.configure(group, weights)

    def _close_leaving(self):
        grace_s = self._cfg.leaving_grace_s
        closed = self._directory.closed(self._clock.now(), grace_s)
        for group_id, managed in self._managed.items():
            if closed[group_id] != managed.borrower.closed:
                managed.borrower.close(closed[group_id])
                if group_id in self._local_lenders:
                    self._local_lenders[group_id].close(closed[group_id])

    def _run_checks(self):
        while True:
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.renew_s))
            self._lenders.refresh()
            self._close_leaving()
            for group_id, lender in list(self._local_lenders.items()):
                lender.expire_accounts()
                elsewhere = self._lenders.lender_of(group_id).host_id != self._me
                if elsewhere and lender.is_idle():
                    # If this host lends the group again later, another host has lent
                    # meanwhile, so it must start with a new lender.
                    del self._local_lenders[group_id]

    def _on_change(self, borrower):
        """Report a change: directly to a lender on this host, else by the task."""
        if self._lenders.lender_of(borrower.group.group_id).host_id == self._me:
            self._report_locally(borrower)
        managed = self._managed.get(borrower.group.group_id)
        if managed is None or managed.borrower is not borrower:
            return
        if not managed.running:
            managed.running = True
            eventlet.spawn_n(self._run_reports, managed)
        elif borrower.lender != self._me and not managed.wake.ready():
            managed.wake.send(None)

    def _run_reports(self, managed):
        """Report for one borrower while it holds permits or has waiting requests."""
        borrower = managed.borrower
        renew_at = self._from_now(self._cfg.renew_s)
        try:
            while self._must_report(managed):
                managed.wake = Event()
                if not self._report(borrower):
                    self._clock.sleep_until(self._from_now(_RETRY_S))
                    continue
                self._clock.sleep_until(self._from_now(self._cfg.report_gap_s))
                managed.wake.wait(timeout=max(0.0, renew_at - self._clock.now()))
                borrower.check_lease(self._clock.now())
                if self._clock.now() >= renew_at:
                    renew_at = self._from_now(self._cfg.renew_s)
                    borrower.return_unused()
            borrower.reset_account()
        finally:
            managed.running = False

    def _must_report(self, managed):
        borrower = managed.borrower
        if self._managed.get(borrower.group.group_id) is not managed:
            return False
        return borrower.is_active() or managed.wake.ready()

    def _from_now(self, delay_s):
        return Instant(self._clock.now() + delay_s)

    def _report(self, borrower):
        """Send one report and apply the grant; return whether there was a grant."""
        lender = self._lenders.lender_of(borrower.group.group_id)
        if lender.host_id == self._me:
            self._report_locally(borrower)
            return True
        self._prepare_account(borrower, lender)
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

    def _report_locally(self, borrower):
        self._prepare_account(borrower, self._members.me())
        lender = self._lender(borrower.group.group_id)
        now = self._clock.now()
        grant = lender.on_report(borrower.report())
        borrower.lease_until = Instant(now + self._cfg.permit_s)
        borrower.on_grant(grant)

    def _prepare_account(self, borrower, lender: PeerAddress):
        borrower.check_lease(self._clock.now())
        if borrower.lender != lender.host_id:
            borrower.change_lender(lender.host_id)

    def _lender(self, group_id):
        """Return the lender of a group on this host, created on first use."""
        lender = self._local_lenders.get(group_id)
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
            self._lenders.full_lending_from(group_id),
            self._serials,
            self._pushes.push,
        )
        lender.team_weights = self._directory.weights()
        lender.close(self._managed[group_id].borrower.closed)
        self._local_lenders[group_id] = lender
        return lender

    def _on_report(self, report: SlotReport) -> SlotGrant:
        return self._lender(report.group).on_report(report)

    def _on_grant(self, grant: SlotGrant) -> GrantSeen:
        managed = self._managed.get(grant.group)
        if managed is not None:
            managed.borrower.on_grant(grant)
        return GrantSeen(grant.group)


class LocalScheduler(SharedScheduler):
    """The scheduler of a fleet of one host."""

    def __init__(self, cfg: SchedulingSettings, clock: Clock, me: PeerAddress):
        super().__init__(cfg, clock, None, SingleHostMembers(me))
