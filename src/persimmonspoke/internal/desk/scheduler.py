"""The scheduler of a host on the users' platform: every slot is lent by a desk."""

import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event

from persimmonspoke.errors import (
    DeadlinePassed,
    NoOwnerYet,
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
from persimmonspoke.internal.peers.api import PeerAddress, PeerLink
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState, target_config
from persimmonspoke.internal.scheduling.api import Slot, SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.groups import GroupId, rank_lenders
from persimmonspoke.internal.scheduling.lenders import Members
from persimmonspoke.internal.scheduling.retry_budget import RetryBudget

log = logging.getLogger(__name__)

TICK_S = 0.05


@dataclass(slots=True, eq=False)
class _Open:
    """A request that waits for a slot or uses one."""

    ticket: Ticket
    ask: Ask
    answered: Event
    desk: HostId | None = None
    target_id: TargetId | None = None
    used_from: Instant | None = None


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
        """The target whose slot this is."""
        return self._open.target_id

    def done(self, outcome: SlotOutcome) -> None:
        """Give the slot back; a second call does nothing."""
        self._scheduler.give_back(self._open, outcome)


class DeskScheduler:
    """Implements `persimmonspoke.internal.scheduling.api.Scheduler`.

    Each service has a desk, the live host that ranks first for it; see `Desk`.
    """

    def __init__(
        self,
        cfg: DeskSettings,
        clock: Clock,
        link: PeerLink,
        members: Members,
        state: RoutingState,
        data_centre: DataCentreId,
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._members = members
        self._state = state
        self._data_centre = data_centre
        self._me = members.me().host_id
        self._serials = itertools.count(1)
        self._open: dict[int, _Open] = {}
        self._desks: dict[ServiceId, Desk] = {}
        self._at: dict[ServiceId, HostId] = {}
        self._synced: dict[ServiceId, Instant] = {}
        self._syncing: set[ServiceId] = set()
        self._avoid: dict[HostId, Instant] = {}
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._ranked: dict[tuple, tuple[HostId, ...]] = {}
        link.serve(Ask, self._on_ask)
        link.serve(Done, self._on_done)
        link.serve(Lent, self._on_lent)
        link.serve(Refused, self._on_refused)
        link.serve(Notes, self._on_notes)

    def run(self) -> None:
        """Keep desks and notes up to date for as long as the task lives."""
        while True:
            self._clock.sleep_until(Instant(self._clock.now() + TICK_S))
            for service, desk in list(self._desks.items()):
                desk.tick()
                if desk.is_idle() and self._desk_of(service).host_id != self._me:
                    del self._desks[service]
            self._compare_notes()

    def configure(self) -> None:
        """Take in the newest targets."""
        for desk in self._desks.values():
            desk.configure(self._targets_of(desk.service))

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`; see `api.Scheduler`."""
        now = self._clock.now()
        if ticket.deadline <= now:
            raise DeadlinePassed("the deadline passed before the request waited")
        if not candidates:
            raise NoOwnerYet(f"service {ticket.service.service} has no target")
        self._budget(ticket.service.service).tried()
        entry = _Open(ticket, self._make_ask(ticket, candidates, now), Event())
        self._open[entry.ask.serial] = entry
        try:
            self._submit(entry)
            return self._wait(entry)
        except BaseException:
            self._withdraw(entry)
            raise

    def owners_changed(
        self, owner_of: Callable[[ServiceId, KeyText], TargetId | None]
    ) -> None:
        """Have requests that wait for a key's former owner look for the new one."""
        for entry in list(self._open.values()):
            ask, ticket = entry.ask, entry.ticket
            if ask.owner is None or entry.target_id or entry.answered.ready():
                continue
            if owner_of(ask.service, ticket.key) != ask.owner:
                entry.answered.send(OwnerChanged("the key has another owner now"))

    def may_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
        return self._budget(ticket.service.service).take()

    def give_back(self, entry: _Open, outcome: SlotOutcome) -> None:
        """Settle one slot; called by the slot itself."""
        if self._open.pop(entry.ask.serial, None) is None:
            return
        self._tell_done(entry, outcome)

    def waiting(self) -> int:
        """Return how many requests of this host wait for a slot."""
        return sum(1 for entry in self._open.values() if entry.target_id is None)

    def in_use(self) -> int:
        """Return how many slots this host uses."""
        return sum(1 for entry in self._open.values() if entry.target_id is not None)

    def _make_ask(self, ticket, candidates, now) -> Ask:
        service = ticket.service
        objective = ticket.deadline if ticket.objective is None else ticket.objective
        avoid = []
        if not service.divided:
            avoid = self._leaving(service.service)
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
        left_s = entry.ticket.deadline - self._clock.now()
        with eventlet.Timeout(max(0.0, left_s), False):
            answer = entry.answered.wait()
            if isinstance(answer, OwnerChanged):
                raise answer
            if isinstance(answer, Refused):
                raise Overloaded(
                    "no slot in time", retry_after_s=round(answer.retry_after_s, 3)
                )
            return DeskSlot(self, entry, answer.usual_s, self._lent_target(entry))
        raise DeadlinePassed("no slot became free in time")

    def _leaving(self, service):
        """Return the targets that leave, as far as this host knows."""
        return [
            record.target_id
            for record in self._state.targets.values()
            if record.service == service and record.state is TargetState.LEAVING
        ]

    def _lent_target(self, entry):
        """Return the target's newest entry; the desk may know it before this host."""
        record = self._state.targets.get(entry.target_id)
        routed = self._state.service_of(entry.ask.service)
        if record is None or routed is None or record.service != routed.service:
            raise NoOwnerYet(f"target {entry.target_id} is not known here")
        if not routed.divided and record.state is TargetState.LEAVING:
            # The desk may be on a host that the news do not reach.
            raise NoOwnerYet(f"target {entry.target_id} is leaving")
        return target_config(record, routed)

    def _submit(self, entry):
        """Send the request to its desk, which may be on this host."""
        desk = self._desk_of(entry.ask.service)
        entry.desk = desk.host_id
        now = self._clock.now()
        ticket = entry.ticket
        objective = ticket.deadline if ticket.objective is None else ticket.objective
        ask = replace(
            entry.ask, objective_left_s=objective - now, left_s=ticket.deadline - now
        )
        if desk.host_id == self._me:
            self._on_ask(ask)
        else:
            self._link.post(desk, ask)

    def _withdraw(self, entry):
        """Take back a request that ended while it waited, or its unused slot."""
        if self._open.pop(entry.ask.serial, None) is not None:
            self._tell_done(entry, SlotOutcome.CANCELLED)

    def _tell_done(self, entry, outcome):
        took_s = 0.0
        if entry.used_from is not None:
            took_s = self._clock.now() - entry.used_from
        done = Done(
            self._me, entry.ask.service, entry.ask.serial, outcome.value, took_s
        )
        if entry.desk == self._me:
            self._on_done(done)
            return
        address = self._address(entry.desk)
        if address is not None:
            self._link.post(address, done)

    def _compare_notes(self):
        """Compare notes with the desks of all services that have open requests."""
        now = self._clock.now()
        services = {entry.ask.service for entry in self._open.values()}
        for service in services:
            desk = self._desk_of(service)
            moved = self._at.get(service) != desk.host_id
            due = now - self._synced.get(service, Instant(0.0)) >= self._cfg.sync_s
            if (moved or due) and service not in self._syncing:
                self._syncing.add(service)
                eventlet.spawn_n(self._compare, service, desk)

    def _compare(self, service, desk: PeerAddress):
        try:
            notes = self._notes(service, desk.host_id)
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
            self._avoid[desk.host_id] = Instant(self._clock.now() + self._cfg.avoid_s)
            return
        finally:
            self._syncing.discard(service)
        self._synced[service] = self._clock.now()
        self._at[service] = desk.host_id
        for serial in seen.unknown:
            entry = self._open.get(serial)
            if entry is not None and entry.target_id is None:
                self._submit(entry)

    def _notes(self, service, desk: HostId) -> Notes:
        mine = [e for e in self._open.values() if e.ask.service == service]
        for entry in mine:
            entry.desk = desk
        return Notes(
            self._me,
            service,
            [
                (e.ask.serial, e.target_id, e.ask.kind)
                for e in mine
                if e.target_id is not None
            ],
            [e.ask.serial for e in mine if e.target_id is None],
        )

    def _on_ask(self, ask: Ask) -> None:
        self._desk(ask.service).ask(ask)

    def _on_done(self, done: Done) -> None:
        self._desk(done.service).done(done)

    def _on_notes(self, notes: Notes) -> NotesSeen:
        return self._desk(notes.service).notes(notes)

    def _on_lent(self, lent: Lent) -> None:
        entry = self._open.get(lent.serial)
        if entry is None or entry.answered.ready():
            # The request has ended or got a slot elsewhere; notes will tell.
            return
        entry.desk = lent.desk
        entry.target_id = lent.target
        entry.used_from = self._clock.now()
        entry.answered.send(lent)

    def _on_refused(self, refused: Refused) -> None:
        entry = self._open.get(refused.serial)
        if entry is not None and not entry.answered.ready():
            del self._open[refused.serial]
            entry.answered.send(refused)

    def _desk(self, service) -> Desk:
        desk = self._desks.get(service)
        if desk is None:
            desk = Desk(service, self._me, self._cfg, self._clock, self._send)
            desk.configure(self._targets_of(service))
            self._desks[service] = desk
            log.info("desk: opened", extra={"service": service})
        return desk

    def _targets_of(self, service):
        routed = self._state.service_of(service)
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

    def _desk_of(self, service) -> PeerAddress:
        live = self._members.live()
        now = self._clock.now()
        ids = tuple(address.host_id for address in live)
        ranked = self._ranked.get((service, ids))
        if ranked is None:
            if len(self._ranked) > 100:
                self._ranked.clear()
            ranked = rank_lenders(GroupId(service), ids)
            self._ranked[service, ids] = ranked
        best = next(
            (host for host in ranked if self._avoid.get(host, now) <= now), self._me
        )
        return next((a for a in live if a.host_id == best), self._members.me())

    def _budget(self, service) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._cfg)
        share = self._cfg.retry_saved / max(1, len(self._members.live()))
        budget.limit(min(self._cfg.retry_burst, share))
        return budget
