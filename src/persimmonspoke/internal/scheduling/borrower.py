"""The borrowing side: permits and waiting requests of one host in one group."""

from collections.abc import Callable

from persimmonspoke.errors import (
    DeadlinePassed,
    GroupsChanged,
    NoOwnerYet,
    Overloaded,
)
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.scheduling.api import SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.groups import Choice, Endpoint, Group
from persimmonspoke.internal.scheduling.health import TargetHealth
from persimmonspoke.internal.scheduling.messages import (
    Balance,
    SlotGrant,
    SlotReport,
    Want,
)
from persimmonspoke.internal.scheduling.permits import EndpointPermits, HeldSlot
from persimmonspoke.internal.scheduling.queue import Entry, EntryState, WaitingQueue
from persimmonspoke.internal.scheduling.settings import SchedulingSettings


class Borrower:
    """Permits that this host holds in one group, and requests that wait for more.

    Parameters
    ----------
    changed : callable
        Called when the state that is reported to the lender has changed.
    """

    def __init__(
        self,
        group: Group,
        me: HostId,
        cfg: SchedulingSettings,
        clock: Clock,
        changed: Callable[["Borrower"], None],
    ):
        self.group = group
        self.queue = WaitingQueue(cfg.max_waiting)
        self.closed: frozenset[Endpoint] = frozenset()
        self._me = me
        self._clock = clock
        self._changed = changed
        self._permits: dict[Endpoint, EndpointPermits] = {}
        self._held_count = 0
        self._health = {endpoint: TargetHealth() for endpoint in group.slots}
        self._keep = 0
        self._others_wait = False
        self._must_return: frozenset[Endpoint] = frozenset()
        self._account = 1
        self._report_serial = 0
        self._grant_serial = 0
        self.lender: HostId | None = None
        self.lease_until = Instant(float("-inf"))

    def acquire(self, ticket: Ticket, choices: tuple[Choice, ...]) -> HeldSlot:
        """Return a slot at one of `choices`; wait for one if necessary."""
        if not self.queue:
            slot = self._try_start(ticket, choices)
            if slot is not None:
                return slot
        entry = Entry(ticket, choices, self._start_by(ticket))
        self.queue.push(entry)
        if entry.state is EntryState.WAITING:
            self._start_waiting()
        if entry.state is EntryState.WAITING:
            # A lender on this host may serve the entry before this call returns.
            self._changed(self)
        try:
            self._wait(entry)
        except BaseException:
            self._clean_up(entry)
            raise
        return entry.slot

    def configure(self, group: Group) -> None:
        """Apply a new definition of the group."""
        self.group = group
        for endpoint in group.slots:
            self._health.setdefault(endpoint, TargetHealth())

    def move_waiting(self) -> None:
        """End the wait of all requests, so that they are queued in another group."""
        self._end_all(EntryState.MOVED, lambda entry: True)

    def close(self, endpoints: frozenset[Endpoint]) -> None:
        """Start no more requests on `endpoints`, which replace those closed before."""
        self.closed = endpoints
        self._end_all(EntryState.CLOSED, self._has_no_choice)
        self._return_excess()

    def open_choices(self, choices: tuple[Choice, ...]) -> tuple[Choice, ...]:
        """Return those of `choices` that take new work."""
        if not self.closed:
            return choices
        return tuple(c for c in choices if c.endpoint not in self.closed)

    def load(self) -> float:
        """Return the number of running and waiting requests per slot of the group."""
        busy = sum(permits.busy for permits in self._permits.values())
        return (busy + len(self.queue)) / sum(self.group.slots.values())

    def permits(self) -> dict[Endpoint, int]:
        """Return how many permits of each endpoint are held."""
        return {e: h.lent - h.returned for e, h in self._permits.items()}

    def is_active(self) -> bool:
        """Return whether this host holds permits or has waiting requests."""
        return self._held_count > 0 or bool(self.queue)

    def report(self) -> SlotReport:
        """Return the complete state for the lender."""
        self._report_serial += 1
        return SlotReport(
            group=self.group.group_id,
            holder=self._me,
            account=self._account,
            serial=self._report_serial,
            wants=tuple(
                Want(*rank, count) for rank, count in self.queue.wants().items()
            ),
            balances=tuple(
                self._balance(endpoint, permits)
                for endpoint, permits in self._permits.items()
            ),
            narrow=self._needed_endpoints(),
        )

    def change_lender(self, lender: HostId) -> None:
        """Open an account with another lender, and transfer the held permits to it."""
        self.lender = lender
        self._open_account()
        for permits in self._permits.values():
            permits.lent -= permits.returned
            permits.returned = 0

    def reset_account(self) -> None:
        """Drop all permits and open a new account for later requests."""
        self._permits = {}
        self._held_count = 0
        self._open_account()

    def check_lease(self, now: Instant) -> None:
        """Drop all permits if their lease has expired."""
        if self._permits and now >= self.lease_until:
            # Slots in use keep their old `EndpointPermits`, which is not counted.
            self.reset_account()

    def on_grant(self, grant: SlotGrant) -> None:
        """Apply a grant of the lender and start waiting requests."""
        stale = grant.lender != self.lender or grant.account != self._account
        if stale or grant.serial <= self._grant_serial:
            return
        self._grant_serial = grant.serial
        for loan in grant.loans:
            permits = self._permits.setdefault(loan.endpoint, EndpointPermits())
            permits.lent = max(permits.lent, loan.lent)
        self._update_held()
        self._keep = grant.keep
        self._others_wait = grant.short
        self._must_return = frozenset(grant.give_back)
        self._start_waiting()
        self._return_excess()

    def return_unused(self) -> None:
        """Return permits that stayed idle since the last call."""
        returned = False
        for permits in self._permits.values():
            unused = min(permits.least_idle, permits.idle())
            permits.returned += unused
            permits.least_idle = permits.idle()
            returned = returned or unused > 0
        if returned:
            self._update_held()
            self._changed(self)

    def release(self, usage, endpoint, permits, outcome, started_at):
        """Release one slot; called by the slot itself."""
        now = self._clock.now()
        permits.busy -= 1
        self.queue.finished(usage)
        health = self._health.get(endpoint)
        if health is not None:
            health.record(outcome, now - started_at, now)
        if self._keep < self._held_count or endpoint in self._must_return:
            self._return_excess()
        if self.queue:
            self._start_waiting()
            self._changed(self)
        elif self._others_wait:
            self._return_excess()

    def _open_account(self):
        self._account += 1
        self._grant_serial = 0
        self._keep = 0
        self._must_return = frozenset()

    def _update_held(self):
        self._held_count = sum(h.lent - h.returned for h in self._permits.values())

    def _start_by(self, ticket):
        """Return the latest instant at which it is useful to start `ticket`.

        It leaves the shortest typical answer time of the group's targets before the
        deadline, but at most half of the remaining time, so that an overestimate can't
        keep all requests from running.
        """
        now = self._clock.now()
        known = [h.latency_s for h in self._health.values() if h.latency_s]
        typical = min(known, default=0.0)
        return Instant(ticket.deadline - min(typical, (ticket.deadline - now) / 2))

    def _try_start(self, ticket, choices):
        """Use an idle permit of the best endpoint; return the slot, or None."""
        now = self._clock.now()
        if not self._held_count or now >= self.lease_until:
            return None
        usable = [choice for choice in choices if self._has_idle(choice.endpoint)]
        if not usable:
            return None
        best = usable[0]
        if len(usable) > 1:
            best = min(usable, key=lambda choice: self._rank(choice, now))
        permits = self._permits[best.endpoint]
        permits.take()
        usage = self.queue.usage_of(ticket)
        self.queue.started(usage)
        return HeldSlot(self, usage, best, permits, now)

    def _has_idle(self, endpoint):
        permits = self._permits.get(endpoint)
        return (
            permits is not None
            and permits.lent - permits.returned > permits.busy
            and endpoint not in self.closed
        )

    def _rank(self, choice, now):
        health = self._health[choice.endpoint]
        return health.avoid_until > now, health.latency_s

    def _start_waiting(self):
        """Start waiting requests with idle permits, in queue order."""
        now = self._clock.now()
        while self.queue and now < self.lease_until:
            idle = {e for e, permits in self._permits.items() if permits.idle() > 0}
            idle -= self.closed
            entry = self.queue.pop(idle, now) if idle else None
            if entry is None:
                return
            entry.slot = self._try_start(entry.ticket, entry.choices)
            entry.end(EntryState.STARTED)

    def _return_excess(self):
        """Return idle permits that this host may not keep or can't use."""
        excess = self._held_count - self._keep
        if self._others_wait and not self.queue:
            excess = self._held_count
        returned = False
        for endpoint, permits in self._permits.items():
            must_return = endpoint in self._must_return or endpoint in self.closed
            count = (
                permits.idle() if must_return else min(permits.idle(), max(0, excess))
            )
            if count > 0:
                permits.return_idle(count)
                excess -= count
                returned = True
        if returned:
            self._update_held()
            self._changed(self)

    def _wait(self, entry):
        while entry.state is EntryState.WAITING:
            left_s = entry.start_by - self._clock.now()
            if left_s <= 0:
                self.queue.remove(entry)
                entry.state = EntryState.EXPIRED
                break
            entry.event.wait(timeout=left_s)
        if entry.state is EntryState.EXPIRED:
            raise DeadlinePassed("no slot became free in time")
        if entry.state is EntryState.SHED:
            raise Overloaded("too many requests wait")
        if entry.state is EntryState.CLOSED:
            raise NoOwnerYet("every candidate is leaving")
        if entry.state is EntryState.MOVED:
            raise GroupsChanged

    def _clean_up(self, entry):
        """Release the slot or queue entry of a request whose wait was interrupted."""
        if entry.slot is not None:
            entry.slot.done(SlotOutcome.CANCELLED)
        elif entry.state is EntryState.WAITING:
            self.queue.remove(entry)

    def _has_no_choice(self, entry):
        return not self.open_choices(entry.choices)

    def _end_all(self, state, condition):
        for entry in [entry for entry in self.queue if condition(entry)]:
            self.queue.remove(entry)
            entry.end(state)

    def _balance(self, endpoint, permits):
        health = self._health.get(endpoint) or TargetHealth()
        return Balance(
            endpoint=endpoint,
            lent=permits.lent,
            returned=permits.returned,
            answered=health.answered,
            troubled=health.troubled,
        )

    def _needed_endpoints(self):
        """Return one endpoint for each waiting request that doesn't accept all."""
        if not self.group.pooled or not self.queue:
            return ()
        all_open = len(self.group.slots) - len(self.closed)
        return tuple(
            {
                entry.choices[0].endpoint: None
                for entry in self.queue
                if len(entry.choices) < all_open
            }
        )
