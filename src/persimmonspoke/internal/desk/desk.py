"""A desk: one host that lends the slots of one service to single requests.

The desk sees all requests of its service that wait on any host, so it knows whose
turn is next, which target is best, and who can't be served in time.  Its state is
soft: a desk that takes over learns from hosts' notes what is in use.  A slot lent
twice makes a request wait in the target's own short queue, and breaks no promise.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from persimmonspoke.ids import DataCentreId, HostId, Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.desk.kinds import Arrivals, UsualTimes
from persimmonspoke.internal.desk.messages import (
    Ask,
    Done,
    Lent,
    Notes,
    NotesSeen,
    Refused,
)
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.desk.targets import NEVER, Loan, SlotTarget
from persimmonspoke.internal.desk.waiting import Waiting, may_wait
from persimmonspoke.internal.scheduling.api import SlotOutcome

log = logging.getLogger(__name__)

RESIDUAL = 0.7  # of a usual answer, until the first busy slot comes free
LEAST_SHARE = 0.1  # of all slots that less urgent requests are expected to get
LEAST_RETRY_S = 0.03  # a shorter pause costs a connection and gains nothing
LONGEST_RETRY_S = 1.0
STUCK_RETRY_S = 0.4


@dataclass(frozen=True, slots=True)
class TargetSlots:
    """A target as the registry describes it."""

    target_id: TargetId
    slots: int
    data_centre: DataCentreId


class Desk:
    """Lends the slots of one service.

    Parameters
    ----------
    send : callable
        Sends a message to a host, without an answer.
    """

    def __init__(
        self,
        service: ServiceId,
        me: HostId,
        cfg: DeskSettings,
        clock: Clock,
        send: Callable[[HostId, Any], None],
    ):
        self.service = service
        self._me = me
        self._cfg = cfg
        self._clock = clock
        self._send = send
        self._targets: dict[TargetId, SlotTarget] = {}
        self._queues: dict[TargetId | None, list[Waiting]] = {}
        self._waiting: dict[tuple[HostId, int], Waiting] = {}
        self._loans: dict[tuple[HostId, int], SlotTarget] = {}
        self._heard: dict[HostId, Instant] = {}
        self._returns: dict[TargetId | None, Instant] = {}
        self._usual = UsualTimes()
        self._arrivals: dict[TargetId | None, Arrivals] = {}
        self.refused = 0
        self.lent = 0

    def configure(self, targets: Iterable[TargetSlots]) -> None:
        """Take in the service's targets as they are now."""
        known = self._targets
        self._targets = {}
        for entry in targets:
            target = known.get(entry.target_id)
            if target is None:
                target = SlotTarget(entry.target_id, entry.slots, entry.data_centre)
            target.slots = entry.slots
            self._targets[entry.target_id] = target
        for queue in list(self._queues):
            self._lend(queue)

    def ask(self, ask: Ask) -> None:
        """Lend a slot at once, queue the request, or refuse it."""
        now = self._clock.now()
        self._heard[ask.host] = now
        entry = Waiting(
            ask,
            now,
            Instant(now + ask.objective_left_s),
            Instant(now + ask.left_s),
            ask.objective_left_s < self._least_s(ask),
        )
        if entry.name in self._waiting or entry.name in self._loans:
            return
        arrivals = self._arrivals.setdefault(ask.owner, Arrivals())
        arrivals.note(ask.rank, self._usual.of(ask.kind), now)
        queue = self._queues.setdefault(ask.owner, [])
        wait_s = self._expected_wait_s(queue, entry, now)
        if not may_wait(self._cfg, entry, wait_s, self._least_s(ask)):
            self._refuse(entry, wait_s, now)
            return
        queue.append(entry)
        queue.sort(key=Waiting.turn)
        self._waiting[entry.name] = entry
        self._lend(ask.owner)

    def done(self, done: Done) -> None:
        """Take a slot back, or a request out of its queue."""
        now = self._clock.now()
        self._heard[done.host] = now
        name = (done.host, done.serial)
        entry = self._waiting.pop(name, None)
        if entry is not None:
            self._queues[entry.ask.owner].remove(entry)
            return
        target = self._loans.pop(name, None)
        if target is None:
            return
        loan = target.loans.pop(name)
        pooled = None in self._queues
        outcome = SlotOutcome(done.outcome)
        if outcome is SlotOutcome.ANSWERED:
            self._usual.note(loan.kind, done.took_s, target.slowness)
        target.note(outcome, done.took_s, self._usual.of(loan.kind), now, pooled)
        self._lend(None if pooled else target.target_id)

    def notes(self, notes: Notes) -> NotesSeen:
        """Compare notes with a host, and return what of its requests is unknown."""
        now = self._clock.now()
        self._heard[notes.host] = now
        in_use = {serial: (target, kind) for serial, target, kind in notes.in_use}
        for name, target in list(self._loans.items()):
            if name[0] != notes.host or name[1] in in_use:
                continue
            if now - target.loans[name].lent_at > self._cfg.grace_s:
                del self._loans[name], target.loans[name]
        for serial, (target_id, kind) in in_use.items():
            name = (notes.host, serial)
            if name not in self._loans and target_id in self._targets:
                self._keep_loan(self._targets[target_id], name, kind, now)
        waiting = set(notes.waiting)
        for name, entry in list(self._waiting.items()):
            old = now - entry.asked_at > self._cfg.grace_s
            if name[0] == notes.host and name[1] not in waiting and old:
                self._forget(entry)
        known = {serial for host, serial in self._waiting if host == notes.host} | set(
            in_use
        )
        self._lend_all()
        return NotesSeen([serial for serial in notes.waiting if serial not in known])

    def tick(self) -> None:
        """Forget silent hosts, refuse what has become hopeless, and try stuck ones."""
        now = self._clock.now()
        for host, heard in list(self._heard.items()):
            if now - heard > self._cfg.forget_s:
                self._forget_host(host)
        for entry in list(self._waiting.values()):
            if now + self._least_s(entry.ask) > entry.deadline:
                self._forget(entry)
                self._refuse(entry, 0.0, now)
        self._lend_all()

    def is_idle(self) -> bool:
        """Return whether nothing waits here and nothing is lent."""
        return not self._waiting and not self._loans

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def _expected_wait_s(self, queue, entry, now) -> float | None:
        """Return how long the request would wait; None if nobody can tell."""
        targets = self._usable(entry.ask.owner, now)
        if not targets:
            return None
        free = sum(max(0, target.free()) for target in targets)
        turn = entry.turn()
        ahead = [other for other in queue if other.turn() <= turn]
        if len(ahead) < free:
            return 0.0
        work_s = sum(self._usual.of(other.ask.kind) for other in ahead)
        work_s += RESIDUAL * self._usual.of(entry.ask.kind)
        capacity = sum(target.capacity() for target in targets)
        # What is more urgent and arrives meanwhile goes first, too.
        urgent = self._arrivals[entry.ask.owner].above(entry.ask.rank, now)
        return work_s / max(capacity - urgent, LEAST_SHARE * capacity)

    def _usable(self, owner, now):
        """Return the targets that may serve requests for `owner` now."""
        if owner is not None:
            target = self._targets.get(owner)
            if target is None:
                return []
            stuck = self._is_stuck(target, now) and not self._may_probe(target, now)
            return [] if stuck else [target]
        alive = [t for t in self._targets.values() if not self._is_stuck(t, now)]
        good = [t for t in alive if t.avoid_until <= now]
        return good or alive or list(self._targets.values())

    def _may_probe(self, target, now):
        return now - target.probed_at >= self._cfg.probe_s

    def _is_stuck(self, target, now):
        return target.is_stuck(self._cfg, self._usual.longest(), now)

    def _least_s(self, ask):
        """Return how long an answer to a request usually takes at least."""
        if ask.owner is not None:
            target = self._targets.get(ask.owner)
            slowness = target.slowness if target else 1.0
        else:
            slowness = min((t.slowness for t in self._targets.values()), default=1.0)
        return self._usual.of(ask.kind) * slowness

    def _lend_all(self):
        for owner in list(self._queues):
            self._lend(owner)

    def _lend(self, owner):
        """Give free slots to the requests of one queue, in their turn."""
        queue = self._queues.get(owner)
        if not queue:
            return
        now = self._clock.now()
        for entry in list(queue):
            targets = self._usable(owner, now)
            if not any(self._has_room(target, now) for target in targets):
                if owner is not None and not targets:
                    self._forget(entry)
                    self._refuse(entry, 0.0, now)
                    continue
                return
            target = self._choose(entry, targets, now)
            if target is not None:
                self._lend_to(entry, target, now)

    def _has_room(self, target, now):
        if target.free() > 0:
            return True
        return self._is_stuck(target, now) and self._may_probe(target, now)

    def _choose(self, entry, targets, now) -> SlotTarget | None:
        """Return the target where the request ends soonest, or None to wait."""
        open_targets = [t for t in targets if self._has_room(t, now)]
        untried = [t for t in open_targets if t.target_id not in entry.ask.avoid]
        if entry.ask.owner is None and not untried:
            others = [t for t in targets if t.target_id not in entry.ask.avoid]
            if others:
                return None
        choices = untried or open_targets

        unknown = [t for t in choices if self._is_untried(t, now)]
        if unknown and entry.ask.owner is None:
            return unknown[0]

        def cost(target):
            far = target.data_centre != entry.ask.data_centre
            crowded = 1 + 0.1 * len(target.loans) / target.slots
            return target.slowness * crowded * (self._cfg.far_factor if far else 1.0)

        best = min(choices, key=cost)
        if entry.ask.owner is not None:
            return best
        # A slow target that is free may still be slower than waiting for another.
        wait_s = RESIDUAL * self._usual.longest() / sum(t.capacity() for t in targets)
        fastest = min(t.slowness for t in targets)
        usual_s = self._usual.of(entry.ask.kind)
        idle = not best.loans and now - best.probed_at >= self._cfg.probe_s
        if usual_s * (best.slowness - 2 * fastest) > wait_s and not idle:
            return None
        return best

    def _is_untried(self, target, now):
        """Return whether nobody knows yet how fast a target is."""
        return (
            target.heard_at == NEVER
            and not target.loans
            and now - target.probed_at >= self._cfg.probe_s
        )

    def _lend_to(self, entry, target, now):
        self._forget(entry)
        if not target.loans:
            target.probed_at = now
        if self._is_stuck(target, now):
            target.probed_at = now
            log.info(
                "desk: stuck target tried",
                extra={"service": self.service, "target": target.target_id},
            )
        self._keep_loan(target, entry.name, entry.ask.kind, now)
        self.lent += 1
        self._send(
            entry.ask.host,
            Lent(
                self._me,
                entry.ask.serial,
                target.target_id,
                self._usual.of(entry.ask.kind) * target.slowness,
            ),
        )

    def _keep_loan(self, target, name, kind, now):
        target.loans[name] = Loan(name[0], name[1], kind, now)
        self._loans[name] = target

    def _refuse(self, entry, wait_s, now):
        """Refuse a request, and spread the repeats at the rate of the targets."""
        owner = entry.ask.owner
        targets = self._usable(owner, now)
        capacity = sum(target.capacity() for target in targets)
        rate = capacity / self._usual.of(entry.ask.kind)
        if wait_s is None or rate <= 0:
            retry_s = STUCK_RETRY_S
        else:
            spare_s = max(0.0, entry.ask.objective_left_s - self._least_s(entry.ask))
            best = now + max(LEAST_RETRY_S, wait_s - spare_s / 2)
            known = self._returns.get(owner, NEVER)
            back_at = max(best, min(known + 1 / rate, now + LONGEST_RETRY_S))
            self._returns[owner] = Instant(back_at)
            retry_s = min(LONGEST_RETRY_S, back_at - now)
        self.refused += 1
        self._send(
            entry.ask.host,
            Refused(
                self._me,
                entry.ask.serial,
                retry_s,
                -1.0 if wait_s is None else wait_s,
            ),
        )

    def _forget(self, entry):
        if self._waiting.pop(entry.name, None) is not None:
            self._queues[entry.ask.owner].remove(entry)

    def _forget_host(self, host):
        del self._heard[host]
        lost = [name for name in self._loans if name[0] == host]
        for name in lost:
            self._loans.pop(name).loans.pop(name, None)
        for entry in [e for n, e in self._waiting.items() if n[0] == host]:
            self._forget(entry)
        if lost:
            log.info(
                "desk: slots of a silent host are free again",
                extra={"service": self.service, "host": host, "slots": len(lost)},
            )
