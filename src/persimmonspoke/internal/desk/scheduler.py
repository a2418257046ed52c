"""The scheduler of a host on the users' platform; desks assign all its slots."""

import itertools
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import (
    DeadlinePassed,
    NoOwnerYet,
    NotRun,
    Overloaded,
    OwnerChanged,
    PeerError,
    PeerRefused,
)
from persimmonspoke.ids import (
    DataCentreId,
    HostId,
    Instant,
    KeyText,
    ServiceId,
    TargetId,
)
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.desk.desk import Desk, TargetSlots
from persimmonspoke.internal.desk.messages import (
    Ask,
    Done,
    Lent,
    Notes,
    NotesSeen,
    Refused,
)
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.desk.warmup_shares import warmup_share
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState, target_config
from persimmonspoke.internal.scheduling.api import Slot, SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.groups import GroupId, rank_hosts
from persimmonspoke.internal.scheduling.lenders import Members
from persimmonspoke.internal.scheduling.retry_budget import RetryBudget
from persimmonspoke.internal.scheduling.wait_end import wait_end
from persimmonspoke.internal.targets.load_figures import TargetLoads
from persimmonspoke.internal.targets.rate_limits import RateLimits
from persimmonspoke.internal.targets.rests import TargetRests, no_rests
from persimmonspoke.internal.targets.warmups import Warmups, no_warmups

log = logging.getLogger(__name__)

LOG_S = 5.0  # period of the log lines on refusals
TICK_S = 0.05  # period of `DeskScheduler.run` while requests wait at a desk here
IDLE_TICK_S = 0.1
EVACUATED_RETRY_S = 1.0  # an evacuation lasts long; its callers may end their wait
FROZEN_S = 0.5  # time without a tick after which this process may have been frozen
UNANSWERED_S = 0.3  # age of an ask without an answer at which its desk is checked


@dataclass(slots=True, eq=False)
class _OpenRequest:
    """A request of this host that waits for a slot or uses one.

    Attributes
    ----------
    reply : Event
        Receives the `Lent` or `Refused` of the desk, or the exception that ends the
        wait.
    desk : HostId or None
        Host of the desk that has to learn when the request ends.
    asked_at : Instant or None
        When the desk was last asked.
    """

    ticket: Ticket
    ask: Ask
    reply: Event
    opened_at: Instant
    desk: HostId | None = None
    target_id: TargetId | None = None
    started_at: Instant | None = None
    asked_at: Instant | None = None


class DeskSlot:
    """One slot in use; see `scheduling.api.Slot`."""

    __slots__ = ("_scheduler", "_open", "usual_s", "target")

    def __init__(self, scheduler, entry, usual_s, target):
        self._scheduler = scheduler
        self._open = entry
        self.usual_s = usual_s
        self.target = target

    @property
    def target_id(self) -> TargetId:
        """The target that the slot belongs to."""
        return self._open.target_id

    def done(self, outcome: SlotOutcome) -> None:
        """Release the slot; a second call does nothing."""
        self._scheduler.release(self._open, outcome)


class DeskScheduler:
    """Implements `persimmonspoke.internal.scheduling.api.Scheduler`.

    Each service has a desk on one host: the first live host in the service's ranking,
    other than hosts that recently failed to answer; see `Desk`.

    Parameters
    ----------
    cores_of : callable
        Returns the processor share of a host, as a number of cores.
    limits : RateLimits
        The rate limits that this host learns from answers and, as a desk, from others.
    lost_targets : callable
        Returns the targets that this host does not reach, which desks should avoid.
    rests : TargetRests
        The targets that want nothing from this host.
    warmups : Warmups
        The cold targets that this host knows of and, as a desk, learns from others.
    loads : TargetLoads or None
        The load figures in the answers to this host.
    known_hosts : callable
        Returns how many hosts there are by their records, this one included.

    Attributes
    ----------
    is_closed : callable
        Returns whether an owner of keys may get no more requests.
    """

    def __init__(
        self,
        cfg: DeskSettings,
        clock: Clock,
        link: PeerLink,
        members: Members,
        state: RoutingState,
        data_centre: DataCentreId,
        cores_of: Callable[[HostId], float] = lambda host_id: 1.0,
        limits: RateLimits | None = None,
        lost_targets: Callable[[], Iterable[TargetId]] = tuple,
        rests: TargetRests | None = None,
        warmups: Warmups | None = None,
        loads: TargetLoads | None = None,
        known_hosts: Callable[[], int] = lambda: 1,
    ):
        self._warmups = no_warmups(clock) if warmups is None else warmups
        self._loads = loads
        self._known_hosts = known_hosts
        self._ticked_at = clock.now()
        self._woke_at = Instant(float("-inf"))
        self._shares_for: tuple[PeerAddress, ...] | None = None
        self._rests = no_rests(clock) if rests is None else rests
        self._lost_targets = lost_targets
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._members = members
        self._state = state
        self._data_centre = data_centre
        self._me = members.me().host_id
        self._serials = itertools.count(1)
        self._open: dict[int, _OpenRequest] = {}
        self._desks: dict[ServiceId, Desk] = {}
        self._reconciled_with: dict[ServiceId, HostId] = {}
        self._reconciled_at: dict[ServiceId, Instant] = {}
        self._reconciling: set[ServiceId] = set()
        self._avoid_until: dict[HostId, Instant] = {}
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._cores_of = cores_of
        self._limits = RateLimits(clock) if limits is None else limits
        self._logged_at = clock.now()
        self._ranking_cache: dict[ServiceId, tuple] = {}
        self.is_closed: Callable[[TargetId], bool] = lambda target_id: False
        link.serve(Ask, self._on_ask)
        link.serve(Done, self._on_done)
        link.serve(Lent, self._on_lent)
        link.serve(Refused, self._on_refused)
        link.serve(Notes, self._on_notes)

    def run(self) -> None:
        """Run the periodic work of desks and send `Notes`, until the task is killed."""
        while True:
            busy = any(desk.waiting() for desk in self._desks.values())
            tick_s = TICK_S if busy else IDLE_TICK_S
            self._clock.sleep_until(Instant(self._clock.now() + tick_s))
            self._end_waits_for_closed()
            self._note_freeze()
            self._ticked_at = self._clock.now()
            self._update_warmup_shares()
            for service, desk in list(self._desks.items()):
                desk.tick(self._long_sync_s())
                if desk.is_idle() and self._desk_host(service).host_id != self._me:
                    del self._desks[service]
            self._reconcile_all()
            self._log_refusals()

    def _log_refusals(self):
        """Log how many requests the desks here refused, by rank and reason."""
        now = self._clock.now()
        if now - self._logged_at < LOG_S:
            return
        self._logged_at = now
        for service, desk in self._desks.items():
            counts = desk.refusals.take()
            if counts:
                log.info(
                    "desk: requests refused",
                    extra={
                        "service": service,
                        "refused": counts,
                        "waiting": desk.waiting(),
                        "waiting_behind": desk.waiting_behind(),
                    },
                )

    def _note_freeze(self):
        """Note that this process goes on after it was frozen, if that is so."""
        now = self._clock.now()
        if now - self._ticked_at > FROZEN_S:
            self._woke_at = self._ticked_at = now

    def configure(self) -> None:
        """Pass the current targets to the desks on this host."""
        self._limits.retain(self._state.targets)
        self._end_waits_for_evacuated()
        for desk in self._desks.values():
            desk.configure(self._targets_of(desk.service))

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`; see `api.Scheduler`."""
        now = self._clock.now()
        if ticket.deadline <= now:
            raise DeadlinePassed("the deadline passed before the request waited")
        if not ticket.service.divided:
            self._refuse_if_evacuated(ticket.service.service)
        if not candidates:
            raise NoOwnerYet(f"service {ticket.service.service} has no target")
        self._refuse_if_resting(candidates)
        self._budget(ticket.service.service).count_attempt()
        ask = self._make_ask(ticket, candidates, now)
        entry = _OpenRequest(ticket, ask, Event(), now)
        self._open[entry.ask.serial] = entry
        try:
            self._send_ask(entry)
            return self._wait(entry)
        except BaseException:
            self._cancel(entry)
            raise

    def _refuse_if_resting(self, target_ids):
        """Raise `Overloaded` if all of some targets rest."""
        retry_s = self._rests.retry_after_s(target_ids)
        if retry_s is not None:
            raise Overloaded("the target rests", retry_after_s=round(retry_s, 3))

    def _refuse_if_evacuated(self, service):
        """Raise `Overloaded` if evacuations leave a service no target."""
        if self._state.is_evacuated(service):
            raise _evacuated(service)

    def _end_waits_for_evacuated(self):
        """Refuse requests that wait for a service without keys that has no target."""
        for entry in self._waiting_entries():
            service = entry.ask.service
            if entry.ask.owner is None and self._state.is_evacuated(service):
                entry.reply.send(_evacuated(service))

    def _end_waits_for_closed(self):
        """End the wait for owners that may get no more requests.

        The next attempt waits for the new owner, or is refused.
        """
        for entry in self._waiting_entries():
            if entry.ask.owner is not None and self.is_closed(entry.ask.owner):
                entry.reply.send(OwnerChanged("the owner may not be used any more"))

    def _waiting_entries(self):
        """Return the requests that wait for a slot, without an answer so far."""
        return [
            entry
            for entry in self._open.values()
            if entry.target_id is None and not entry.reply.ready()
        ]

    def on_owners_changed(
        self, owner_of: Callable[[ServiceId, KeyText], TargetId | None]
    ) -> None:
        """End the wait of requests whose key has another owner, with `OwnerChanged`."""
        for entry in self._waiting_entries():
            ask, ticket = entry.ask, entry.ticket
            if ask.owner is None:
                continue
            if owner_of(ask.service, ticket.key) != ask.owner:
                entry.reply.send(OwnerChanged("the key has another owner now"))

    def take_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether one was left."""
        return self._budget(ticket.service.service).try_take()

    def release(self, entry: _OpenRequest, outcome: SlotOutcome) -> None:
        """Release one slot; called by the slot itself."""
        if self._open.pop(entry.ask.serial, None) is None:
            return
        self._send_done(entry, outcome)

    def waiting(self) -> int:
        """Return how many requests of this host wait for a slot."""
        return sum(1 for entry in self._open.values() if entry.target_id is None)

    def in_use(self) -> int:
        """Return how many slots this host uses."""
        return sum(1 for entry in self._open.values() if entry.target_id is not None)

    def waiting_behind(self) -> int:
        """Return how many requests wait at desks here behind those in time."""
        return sum(desk.waiting_behind() for desk in self._desks.values())

    def refused(self) -> int:
        """Return how many requests the present desks of this host have refused."""
        return sum(desk.refusals.total for desk in self._desks.values())

    def refused_again(self) -> int:
        """Return how many of those had come back after a refusal."""
        return sum(desk.refusals.returned for desk in self._desks.values())

    def _make_ask(self, ticket, candidates, now) -> Ask:
        service = ticket.service
        objective = ticket.deadline if ticket.objective is None else ticket.objective
        avoid = []
        if not service.divided:
            avoid = self._unready_targets(service.service)
            avoid += [*self._lost_targets(), *self._rests.resting()]
            avoid += [
                target.target_id
                for target in service.targets
                if target.target_id not in candidates
            ]
        return Ask(
            host=self._me,
            data_centre=self._data_centre,
            service=service.service,
            serial=next(self._serials),
            rank=ticket.precedence.value,
            kind=ticket.kind,
            objective_left_s=objective - now,
            left_s=ticket.deadline - now,
            owner=candidates[0] if service.divided else None,
            avoid=avoid,
        )

    def _wait(self, entry) -> DeskSlot:
        now = self._clock.now()
        left_s = wait_end(entry.ticket.deadline, now) - now
        with eventlet.Timeout(max(0.0, left_s), False):
            answer = entry.reply.wait()
            if isinstance(answer, NotRun):
                raise answer
            if isinstance(answer, Refused):
                raise Overloaded(
                    "no slot in time", retry_after_s=round(answer.retry_after_s, 3)
                )
            return DeskSlot(self, entry, answer.usual_s, self._assigned_target(entry))
        raise DeadlinePassed("no slot became free in time")

    def _unready_targets(self, service):
        """Return the targets of a service that this host knows not to be ready."""
        return [
            record.target_id
            for record in self._state.targets.values()
            if record.service == service and record.state is not TargetState.READY
        ]

    def _assigned_target(self, entry):
        """Return the configuration of the target whose slot was assigned.

        Raises
        ------
        NoOwnerYet
            The target is unknown here, because the desk got its record first, or it
            is leaving or evacuated and the desk does not know that.
        """
        record = self._state.targets.get(entry.target_id)
        routed = self._state.service_config(entry.ask.service)
        if record is None or routed is None or record.service != routed.service:
            raise NoOwnerYet(f"target {entry.target_id} is not known here")
        if entry.ask.owner is not None:
            self._refuse_if_resting([entry.target_id])
        elif not self._rests.may_send(entry.target_id):
            raise NoOwnerYet(f"target {entry.target_id} rests")
        if not routed.divided and record.state is not TargetState.READY:
            # The desk may be on a host that store updates do not reach.
            raise NoOwnerYet(f"target {entry.target_id} is {record.state.value}")
        return target_config(record, routed)

    def _send_ask(self, entry):
        """Send the request to the desk of its service, which may be on this host."""
        desk = self._desk_host(entry.ask.service)
        entry.desk = desk.host_id
        now = entry.asked_at = self._clock.now()
        ticket = entry.ticket
        objective = ticket.deadline if ticket.objective is None else ticket.objective
        ask = replace(
            entry.ask, objective_left_s=objective - now, left_s=ticket.deadline - now
        )
        if desk.host_id == self._me:
            self._on_ask(ask)
        else:
            self._link.post(desk, ask)

    def _cancel(self, entry):
        """Cancel a request that ended while it waited, and release its unused slot."""
        if self._open.pop(entry.ask.serial, None) is not None:
            self._send_done(entry, SlotOutcome.CANCELLED)

    def _send_done(self, entry, outcome):
        took_s = 0.0
        if outcome is SlotOutcome.NO_PATH:
            outcome = SlotOutcome.CANCELLED
        elif entry.started_at is not None:
            took_s = self._clock.now() - entry.started_at
        done = Done(
            self._me,
            entry.ask.service,
            entry.ask.serial,
            outcome.value,
            took_s,
            self._rate_limit_after(entry, outcome),
            self._load_of(entry.target_id),
            self._warmup_of(entry.target_id),
        )
        if entry.desk == self._me:
            self._on_done(done)
            return
        address = self._address(entry.desk)
        if address is not None:
            self._link.post(address, done)

    def _rate_limit_after(self, entry, outcome):
        """Return the rate limit of a request's target, if it may be new to the desk.

        A target that resets the connection has shed the request without an answer, and
        what it said before may be outdated.
        """
        answered = outcome in (SlotOutcome.ANSWERED, SlotOutcome.SHED)
        if not answered or entry.started_at is None:
            return None
        if self._limits.has_named(entry.target_id, entry.started_at):
            return self._limits.of(entry.target_id)
        return None

    def _load_of(self, target_id):
        """Return a target's newest load figures in the form of `Done`."""
        if self._loads is None or target_id is None:
            return None
        found = self._loads.with_age_s(target_id)
        if found is None:
            return None
        figures, age_s = found
        return [
            figures.running,
            figures.waiting,
            figures.slots,
            figures.slowness,
            round(age_s, 4),
        ]

    def _warmup_of(self, target_id):
        """Return until when a target may be cold, in the form of `Done`."""
        for _, born_ms, cold_s in self._warmups.statements([target_id]):
            return [born_ms, cold_s]
        return None

    def _reconcile_all(self):
        """Send `Notes` for all services with open requests, where they are due.

        They are due less often in a large fleet, except while a request waits: the
        desk may then be lost.
        """
        now = self._clock.now()
        long_s = self._long_sync_s()
        sync_s: dict[ServiceId, float] = {}
        for entry in self._open.values():
            service = entry.ask.service
            waits = entry.target_id is None and now - entry.opened_at >= UNANSWERED_S
            if waits or service not in sync_s:
                sync_s[service] = self._cfg.sync_s if waits else long_s
        for service, period_s in sync_s.items():
            desk = self._desk_host(service)
            moved = self._reconciled_with.get(service) != desk.host_id
            due = now - self._reconciled_at.get(service, Instant(0.0)) >= period_s
            if (moved or due) and service not in self._reconciling:
                self._reconciling.add(service)
                eventlet.spawn_n(self._reconcile, service, desk)

    def _long_sync_s(self):
        """Return how often a host sends notes while none of its requests waits."""
        hosts = len(self._members.live())
        return self._cfg.sync_s * max(1.0, hosts / self._cfg.hosts_per_sync)

    def _reconcile(self, service, desk: PeerAddress):
        try:
            is_told = self._reconciled_with.get(service) == desk.host_id
            notes = self._make_notes(service, desk.host_id, is_told)
            if desk.host_id == self._me:
                seen = self._on_notes(notes)
            else:
                deadline = Instant(self._clock.now() + self._cfg.call_s)
                seen = self._link.call(desk, notes, deadline)
        except PeerRefused as exc:
            log.info("desk: notes refused", extra={"reason": str(exc)})
            return
        except PeerError as exc:
            log.warning(
                "desk: lost",
                extra={
                    "service": service,
                    "desk": desk.host_id,
                    "reason": str(exc),
                },
            )
            self._avoid_until[desk.host_id] = Instant(
                self._clock.now() + self._cfg.avoid_s
            )
            return
        finally:
            self._reconciling.discard(service)
        self._reconciled_at[service] = self._clock.now()
        self._reconciled_with[service] = desk.host_id
        for serial in seen.unknown:
            entry = self._open.get(serial)
            if entry is not None and entry.target_id is None:
                self._send_ask(entry)

    def _make_notes(self, service, desk: HostId, is_told: bool) -> Notes:
        """Return the notes for a desk, with the rate limits unless `is_told`."""
        own = [e for e in self._open.values() if e.ask.service == service]
        for entry in own:
            entry.desk = desk
        return Notes(
            self._me,
            service,
            [
                (e.ask.serial, e.target_id, e.ask.kind)
                for e in own
                if e.target_id is not None
            ],
            [e.ask.serial for e in own if e.target_id is None],
            [] if is_told else self._rate_limits_of(service),
            [] if is_told else self._warmups.statements(self._target_ids(service)),
        )

    def _rate_limits_of(self, service):
        """Return the rate limits of a service's targets, in the form of `Notes`."""
        return self._limits.statements(self._target_ids(service))

    def _target_ids(self, service):
        return [
            target_id
            for target_id, record in self._state.targets.items()
            if record.service == service
        ]

    def _on_ask(self, ask: Ask) -> None:
        self._local_desk(ask.service).ask(ask)

    def _on_done(self, done: Done) -> None:
        self._local_desk(done.service).done(done)

    def _on_notes(self, notes: Notes) -> NotesSeen:
        return self._local_desk(notes.service).reconcile(notes)

    def _on_lent(self, lent: Lent) -> None:
        entry = self._open.get(lent.serial)
        if entry is None or entry.reply.ready():
            # The request has ended or has another slot; `Notes` tell the desk so.
            return
        entry.desk = lent.desk
        if self._may_be_overdue(entry, lent):
            self._ask_again(entry, lent)
            return
        entry.target_id = lent.target
        entry.started_at = self._clock.now()
        entry.reply.send(lent)

    def _may_be_overdue(self, entry, lent):
        """Return whether a slot of a cold target may have been assigned long ago.

        A host that was frozen finds all that was assigned to it meanwhile at once, and
        the desk has counted it for earlier seconds.
        """
        if not self._warmups.is_limited(lent.target):
            return False
        self._note_freeze()
        return entry.asked_at is not None and entry.asked_at < self._woke_at

    def _ask_again(self, entry, lent):
        log.info(
            "desk: slot of a cold target given back",
            extra={"service": entry.ask.service, "target": lent.target},
        )
        self._send_done(entry, SlotOutcome.CANCELLED)
        self._send_ask(entry)

    def _on_refused(self, refused: Refused) -> None:
        entry = self._open.get(refused.serial)
        if entry is not None and not entry.reply.ready():
            del self._open[refused.serial]
            entry.reply.send(refused)

    def _local_desk(self, service) -> Desk:
        desk = self._desks.get(service)
        if desk is None:
            desk = Desk(
                service,
                self._me,
                self._cfg,
                self._clock,
                self._send,
                self._limits,
                self._warmups,
            )
            desk.configure(self._targets_of(service))
            self._desks[service] = desk
            self._shares_for = None
            log.info("desk: opened", extra={"service": service})
        # Hosts that can't reach the first one use this desk besides it.
        desk.is_first = self._ranked_hosts(service)[0].host_id == self._me
        if self._members.live() is not self._shares_for:
            self._update_warmup_shares()
        return desk

    def _update_warmup_shares(self):
        """Set the shares of the desks on this host in the limits of cold targets."""
        self._shares_for = self._members.live()
        known = self._known_hosts()
        for service, desk in self._desks.items():
            ids = [address.host_id for address in self._ranked_hosts(service)]
            rank = ids.index(self._me) if self._me in ids else len(ids)
            desk.warmup_share = warmup_share(rank, len(ids), max(known, len(ids)))

    def _targets_of(self, service):
        routed = self._state.service_config(service)
        divided = routed is not None and routed.divided
        return [
            TargetSlots(record.target_id, max(1, record.slots), record.data_centre)
            for record in self._state.targets.values()
            if record.service == service
            and (divided or record.state is TargetState.READY)
        ]

    def _send(self, host, msg):
        if host == self._me:
            if isinstance(msg, Lent):
                self._on_lent(msg)
            else:
                self._on_refused(msg)
            return
        address = self._address(host)
        if address is not None:
            self._link.post(address, msg)

    def _address(self, host_id) -> PeerAddress | None:
        return self._members.address_of(host_id)

    def _desk_host(self, service) -> PeerAddress:
        now = self._clock.now()
        for address in self._ranked_hosts(service):
            if self._avoid_until.get(address.host_id, now) <= now:
                return address
        return self._members.me()

    def _ranked_hosts(self, service) -> tuple[PeerAddress, ...]:
        """Return the live hosts in the order in which they may be the desk.

        The hosts with the most processor time come first, since a desk has work for
        each request of its service.
        """
        live = self._members.live()
        cached = self._ranking_cache.get(service)
        if cached is not None and cached[0] is live:
            return cached[1]
        by_id = {address.host_id: address for address in live}
        ids = rank_hosts(GroupId(service), by_id)
        ids = sorted(ids, key=self._cores_of, reverse=True)
        ranked = tuple(by_id[host_id] for host_id in ids)
        self._ranking_cache[service] = (live, ranked)
        return ranked

    def _budget(self, service) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._cfg)
        share = self._cfg.retry_saved / max(1, len(self._members.live()))
        budget.set_burst(min(self._cfg.retry_burst, share))
        return budget


def _evacuated(service) -> Overloaded:
    return Overloaded(
        f"all targets of service {service} are evacuated",
        retry_after_s=EVACUATED_RETRY_S,
    )
