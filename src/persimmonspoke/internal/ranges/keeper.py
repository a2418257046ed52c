"""The leader's work on key ranges: grants, planned moves, and keys of lost targets."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet

from persimmonspoke.errors import (
    AuthorityLapsed,
    NoOwnerYet,
    StoreError,
    TargetError,
)
from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import (
    GrantLeft,
    HostReport,
    RangeTable,
    RouteRow,
    TableChange,
    address_fields,
    row_fields,
)
from persimmonspoke.internal.ranges.api import RangeOrders, RangeRelease
from persimmonspoke.internal.ranges.granter import Granter, Trust
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    Seat,
    cut_evenly,
    plan_merge,
    plan_move,
    utilisations,
)
from persimmonspoke.internal.ranges.ranges import (
    FIRST_KEY,
    LAST_KEY,
    KeyRange,
    RangeMap,
    divide_evenly,
)
from persimmonspoke.internal.ranges.record import FENCES_PER_EPOCH
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetRecord, TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.api import TargetAddress

log = logging.getLogger(__name__)

TEND_S = 0.1
MOST_PIECES = 4  # into which a leaving target's range is cut
STORE_SILENT_S = 1.5  # one confirmation missed
UNKNOWN_S = -1.0
LEAST_WORK = 0.01  # of a target's slots
PROBE_S = 1.0  # between two questions to a silent target


@dataclass(slots=True, eq=False)
class Hold:
    """Keys that are changing hands; no host sends requests for them.

    Attributes
    ----------
    to : TargetId or None
        Who shall get the keys, if that is planned.
    opens_at : Instant or None
        When the keys can go to another target at the latest, if known.
    """

    service: ServiceId
    first: int
    last: int
    to: TargetId | None = None
    opens_at: Instant | None = None


class Keeper:
    """Keeps every key of every divided service with one target, while it leads.

    Parameters
    ----------
    publish : callable
        Tells all hosts, this one included, what has changed in the table.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        leadership: Leadership,
        state: RoutingState,
        orders: RangeOrders,
        publish: Callable[[TableChange], None],
    ):
        self._cfg = cfg
        self._clock = clock
        self._leadership = leadership
        self._state = state
        self._orders = orders
        self._publish = publish
        self._loads = Loads(cfg.load_s)
        self._granters: dict[tuple[ServiceId, TargetId], Granter] = {}
        self._holds: list[Hold] = []
        self._tasks: set[eventlet.greenthread.GreenThread] = set()
        self._fences = 0
        self._serial = 0
        self._table: RangeTable | None = None
        self._began_at: Instant | None = None
        self.moves = 0
        leadership.longest_grant_s = cfg.longest(cfg.outage_hold_s)
        leadership.on_lead = self._on_lead
        leadership.on_stop = self._on_stop
        leadership.grants_left = self._grants_left

    # What granters ask.

    def check_lease(self) -> None:
        """Raise `AuthorityLapsed` unless this host may order now."""
        self._leadership.check()

    def hold_s(self) -> float:
        """Return how long the next grants should last."""
        lease_s = self._leadership.lease_until - self._clock.now()
        if lease_s < self._leadership.lease_s - STORE_SILENT_S:
            return self._cfg.outage_hold_s
        return self._cfg.hold_s

    def grantable(
        self, service: ServiceId, target_id: TargetId
    ) -> tuple[KeyRange, ...]:
        """Return the target's ranges, without the keys that are changing hands."""
        ranges = self._map(service)
        if ranges is None:
            return ()
        holds = [hold for hold in self._holds if hold.service == service]
        found = []
        for entry in ranges.owned_by(target_id):
            found += _without(entry, holds)
        return tuple(found)

    def is_current(self, service: ServiceId, entry: KeyRange) -> bool:
        """Return whether `entry` is still part of a range, and not changing hands."""
        ranges = self._map(service)
        if ranges is None or self._is_held(service, entry):
            return False
        now = ranges.of(entry.first)
        return now.same_grant(entry) and now.last >= entry.last

    def refence(self, service: ServiceId, entry: KeyRange) -> KeyRange | None:
        """Give a range a new fence; return it, or None if it has changed hands."""
        if not self.is_current(service, entry):
            return None
        new = replace(entry, fence=self._next_fence(), handover=None)
        self._leadership.amend(_replacing(service, [new], self._serial))
        self._changed(service, new.first, new.last)
        return new

    def opened(self, service: ServiceId, entry: KeyRange) -> None:
        """Take note that the owner has confirmed its first grant of a range."""
        log.info(
            "ranges: granted",
            extra={
                "service": service,
                "target": entry.owner,
                "first": entry.first,
                "last": entry.last,
                "fence": entry.fence,
                "warm": entry.handover is not None,
                "epoch": self._leadership.epoch,
            },
        )

    def tend_soon(self) -> None:
        """Look after lost targets without waiting for the next turn."""
        self._spawn(self._tend)

    # What hosts report and read.

    def on_report(self, report: HostReport) -> None:
        """Take in what a host measured."""
        self._loads.add(report.loads, report.work)
        for service, key, fence in report.refused:
            ranges = self._map(service)
            if ranges is None:
                continue
            entry = ranges.of(key)
            granter = self._granters.get((service, entry.owner))
            if granter is not None and entry.fence == fence:
                granter.wake()

    def table(self) -> RangeTable:
        """Return who owns which keys now."""
        if self._table is None or self._table.serial != self._serial:
            ownership = self._leadership.ownership
            self._table = RangeTable(
                leader=self._leadership.leader,
                epoch=self._leadership.epoch,
                serial=self._serial,
                services={
                    service: tuple(self._rows(service, FIRST_KEY, LAST_KEY))
                    for service in ownership.services
                },
            )
        return self._table

    def busy(self) -> dict[ServiceId, dict[TargetId, float]]:
        """Return each target's utilisation, for the metrics and the dump."""
        return {
            service: utilisations(service, ranges, self._seats(service), self._loads)
            for service in self._state.divided()
            if (ranges := self._map(service)) is not None
        }

    def _rows(self, service, first, last) -> list[RouteRow]:
        """Return the rows of the keys from `first` to `last`."""
        now = self._clock.now()
        holds = [
            hold
            for hold in self._holds
            if hold.service == service and hold.first <= last and first <= hold.last
        ]
        rows = []
        for entry in self._map(service).between(first, last):
            near = [hold for hold in holds if entry.overlaps(hold.first, hold.last)]
            rows += [
                RouteRow(part.first, part.last, part.owner, part.fence, 0.0)
                for part in _without(entry, near)
            ]
            rows += [_held_row(entry, hold, now) for hold in near]
        return sorted(rows, key=_by_first)

    # Leading.

    def _on_lead(self):
        self._fences = 0
        self._serial = 0
        self._holds = []
        self._granters = {}
        self._began_at = self._clock.now()
        self._table = None
        for service in self._leadership.ownership.services:
            self._start_granters(service)
            self._changed(service, FIRST_KEY, LAST_KEY)
        self._spawn(self._run)

    def _on_stop(self):
        tasks, self._tasks = self._tasks, set()
        current = eventlet.getcurrent()
        for task in tasks:
            if task is not current:
                task.kill()
        self._holds = []

    def _run(self):
        plan_at = self._clock.now()
        while self._leadership.leading:
            self._tend()
            if self._clock.now() >= plan_at:
                plan_at = self._clock.now() + self._cfg.plan_s
                self._plan()
            self._clock.sleep_until(Instant(self._clock.now() + TEND_S))

    def _tend(self):
        """Take keys back from targets that are leaving, gone or silent."""
        if not self._leadership.leading:
            return
        for service in self._state.divided():
            ranges = self._map(service)
            if ranges is None:
                self._deal_out(service)
                continue
            self._start_granters(service)
            self._probe_silent(service, ranges)
            for target_id in ranges.owners():
                self._tend_target(service, target_id)

    def _tend_target(self, service, target_id):
        """Move all that a target owns, if it must not own it any more."""
        entries = self._map(service).owned_by(target_id)
        must = [entry for entry in entries if self._must_move(service, entry)]
        free = [entry for entry in must if not self._is_held(service, entry)]
        if not free:
            return
        holds = [Hold(service, entry.first, entry.last) for entry in free]
        self._holds += holds
        self._changed(service, free[0].first, free[-1].last)
        self._spawn(self._evacuate, service, target_id, free, holds)

    def _must_move(self, service, entry):
        record = self._state.targets.get(entry.owner)
        if record is not None and record.born_ms != entry.born_ms:
            return True
        granter = self._granters.get((service, entry.owner))
        if granter is not None and granter.trust is Trust.SILENT:
            return True
        gone = record is None or record.service != service
        if gone or record.state is TargetState.LEAVING:
            # No new owner can be written down, so the present one had better stay.
            return self._store_answers()
        return False

    def _probe_silent(self, service, ranges):
        """Ask silent targets that own nothing any more whether they are back."""
        for (of, target_id), granter in list(self._granters.items()):
            if of != service or granter.trust is not Trust.SILENT:
                continue
            if target_id in ranges.owners():
                continue
            if target_id not in self._state.targets:
                del self._granters[of, target_id]
            elif self._clock.now() >= granter.probe_at:
                granter.probe_at = Instant(self._clock.now() + PROBE_S)
                self._spawn(granter.probe, self._next_fence())

    def _deal_out(self, service):
        """Give all keys of a service to its targets for the first time."""
        ready = self._ready(service)
        settled = self._clock.now() - self._began_at >= self._cfg.settle_s
        if not ready or not settled:
            return
        first = self._next_fence()
        self._fences += len(ready)
        owners = [(record.target_id, record.born_ms) for record in ready]
        ranges = RangeMap(divide_evenly(owners, first))
        try:
            self._leadership.commit(
                lambda now: now.with_map(service, ranges, self._serial)
            )
        except (StoreError, AuthorityLapsed) as exc:
            log.warning("ranges: keys not dealt out", extra={"reason": repr(exc)})
            return
        log.info(
            "ranges: keys dealt out",
            extra={"service": service, "targets": len(ready)},
        )
        self._start_granters(service)
        self._changed(service, FIRST_KEY, LAST_KEY)

    def _evacuate(self, service, target_id, entries, holds):
        """Give all ranges of one target to others: one release, and one commit."""
        first, last = entries[0].first, entries[-1].last
        record = self._state.targets.get(target_id)
        reborn = record is not None and record.born_ms != entries[0].born_ms
        try:
            handover = None
            if not reborn:
                whole = replace(entries[0], last=last)
                handover = self._take_back(holds, whole)
            given = self._share_out(service, target_id, entries, reborn, handover)
            self._leadership.commit(_replacing(service, given, self._serial))
            self._grant_given(service, given)
            log.info(
                "ranges: target evacuated",
                extra={
                    "service": service,
                    "target": target_id,
                    "ranges": len(entries),
                    "first": first,
                    "last": last,
                    "to": sorted({entry.owner for entry in given}),
                    "fence": given[0].fence,
                    "warm": handover is not None,
                    "reborn": reborn,
                },
            )
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: target not evacuated",
                extra={"service": service, "target": target_id, "reason": repr(exc)},
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
        finally:
            self._lift(service, holds, first, last)

    def _share_out(self, service, target_id, entries, reborn, handover):
        """Return the ranges with new owners, so that none gets too much."""
        if reborn:
            owners = [(entry, self._state.targets[target_id]) for entry in entries]
        else:
            owners = self._deal(service, target_id, entries)
        return [
            KeyRange(
                entry.first,
                entry.last,
                record.target_id,
                record.born_ms,
                self._next_fence(),
                handover,
            )
            for entry, record in owners
        ]

    def _deal(self, service, target_id, entries):
        """Return pieces of ranges, each with the target that has most room for it."""
        ready = self._ready(service)
        others = [record for record in ready if record.target_id != target_id] or ready
        if not others:
            raise NoOwnerYet(f"service {service} has no target that takes keys")
        seats = tuple(Seat(r.target_id, r.slots) for r in others)
        busy = utilisations(service, self._map(service), seats, self._loads)
        count = max(1, min(MOST_PIECES, len(others)) // len(entries))
        dealt = []
        for entry in entries:
            keys = self._loads.keys(service, entry)
            for piece in cut_evenly(entry, keys, count):
                best = min(others, key=lambda r: (busy[r.target_id], r.target_id))
                rate = self._loads.rate(service, piece)
                work = rate * self._loads.service_s(best.target_id) / best.slots
                # Even an idle piece counts a little, or all would go to one target.
                busy[best.target_id] += work + LEAST_WORK
                dealt.append((piece, best))
        return dealt

    def _grant_given(self, service, given):
        """Grant ranges to their new owners, to several at a time."""
        by_owner: dict[TargetId, list[KeyRange]] = {}
        for entry in given:
            by_owner.setdefault(entry.owner, []).append(entry)
        tasks = []
        for target_id, entries in by_owner.items():
            record = self._state.targets.get(target_id)
            if record is not None:
                granter = self._granter(service, record)
                tasks.append(eventlet.spawn(granter.grant_all_held, entries))
        for task in tasks:
            task.wait()

    def _lift(self, service, holds, first, last):
        """Lift holds, and tell all hosts."""
        left = set(map(id, holds))
        self._holds = [hold for hold in self._holds if id(hold) not in left]
        self._changed(service, first, last)

    def _plan(self):
        """Even out the targets' load by planned moves."""
        self._loads.decay(self._clock.now())
        if not self._store_answers():
            return
        for service in self._state.divided():
            ranges = self._map(service)
            for _ in range(self._cfg.moves):
                if ranges is None or self._moving(service) >= self._cfg.moves:
                    break
                given = (
                    service,
                    ranges,
                    self._seats(service),
                    self._loads,
                    self._occupied(service),
                    [(h.first, h.last) for h in self._holds if h.service == service],
                )
                move = plan_move(*given) or plan_merge(*given)
                if move is None:
                    break
                self._start_move(service, move.piece, move.to)

    def _start_move(self, service, piece, to):
        hold = Hold(service, piece.first, piece.last, to)
        self._holds.append(hold)
        self._changed(service, hold.first, hold.last)
        self._spawn(self._move, hold, piece, to)

    def _move(self, hold, piece, to):
        """Give the held keys to another target, and lift the hold."""
        began = self._clock.now()
        try:
            handover = self._take_back([hold], piece)
            new = self._give(hold, piece, to, handover)
            log.info(
                "ranges: keys moved",
                extra={
                    "service": hold.service,
                    "first": piece.first,
                    "last": piece.last,
                    "from": piece.owner,
                    "to": new.owner,
                    "fence": new.fence,
                    "warm": handover is not None,
                    "took_s": round(self._clock.now() - began, 3),
                },
            )
            self.moves += 1
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: move given up",
                extra={
                    "service": hold.service,
                    "first": piece.first,
                    "last": piece.last,
                    "from": piece.owner,
                    "reason": repr(exc),
                },
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
        finally:
            self._lift(hold.service, [hold], hold.first, hold.last)

    def _take_back(self, holds, piece) -> str | None:
        """Return once the owner holds the keys no more, with its handover if any."""
        if piece.owner is None:
            return None
        service = holds[0].service
        address = self._address(service, piece.owner)
        fence = self._next_fence()
        while True:
            if address is not None:
                order = RangeRelease(piece.first, piece.last, fence)
                deadline = Instant(self._clock.now() + self._cfg.release_s)
                self.check_lease()
                try:
                    return self._orders.release(address, order, deadline)
                except TargetError as exc:
                    log.info(
                        "ranges: release unanswered",
                        extra={
                            "target": piece.owner,
                            "fence": fence,
                            "reason": str(exc),
                        },
                    )
            until = self._held_until(service, piece.owner)
            if self._clock.now() >= until:
                return None
            if holds[0].opens_at != until:
                for hold in holds:
                    hold.opens_at = until
                self._changed(service, piece.first, piece.last)
            pause = Instant(self._clock.now() + self._cfg.retry_s)
            self._clock.sleep_until(Instant(min(pause, until)))

    def _held_until(self, service, target_id):
        """Return until when a silent target may hold keys by anybody's orders."""
        until = self._leadership.former_until
        granter = self._granters.get((service, target_id))
        if granter is not None:
            until = max(until, granter.until)
        former = self._leadership.former_grants.get(target_id)
        return until if former is None else max(until, former)

    def _give(self, hold, piece, to, handover) -> KeyRange:
        """Commit the new owner, and grant the keys to it."""
        record = self._state.targets.get(to) if to is not None else None
        if record is None or not self._takes_keys(record):
            record = self._coolest(hold.service, piece.owner)
        new = KeyRange(
            piece.first,
            piece.last,
            record.target_id,
            record.born_ms,
            self._next_fence(),
            handover,
        )
        self._leadership.commit(_replacing(hold.service, [new], self._serial))
        granter = self._granter(hold.service, record)
        granter.grant_all_held([new])
        self._join_around(hold, new)
        return new

    def _join_around(self, hold, new):
        """Make one grant of a range and those next to it that its owner has, too.

        The owner keeps the keys, so its successor as leader need not know: it would
        be refused the old fences, and give new ones.
        """
        ranges = self._map(hold.service)
        first, last = new.first, new.last
        if first > FIRST_KEY and self._may_join(hold, ranges.of(first - 1), new):
            first = ranges.of(first - 1).first
        if last < LAST_KEY and self._may_join(hold, ranges.of(last + 1), new):
            last = ranges.of(last + 1).last
        if (first, last) == (new.first, new.last):
            return
        whole = replace(
            new, first=first, last=last, fence=self._next_fence(), handover=None
        )
        self._leadership.amend(_replacing(hold.service, [whole], self._serial))
        self._granter(hold.service, self._state.targets[new.owner]).grant_all_held(
            [whole]
        )
        # The hold then covers all keys whose rows have changed.
        hold.first, hold.last = first, last

    def _may_join(self, hold, entry, new):
        return (
            (entry.owner, entry.born_ms) == (new.owner, new.born_ms)
            and not self._is_held(hold.service, entry)
            and new.owner in self._state.targets
        )

    def _coolest(self, service, former) -> TargetRecord:
        """Return the target that has most room, another than `former` if any."""
        ready = self._ready(service)
        others = [record for record in ready if record.target_id != former]
        if not ready:
            raise NoOwnerYet(f"service {service} has no target that takes keys")
        ranges = self._map(service)
        busy = utilisations(service, ranges, self._seats(service), self._loads)
        expected = {
            record.target_id: busy.get(record.target_id, 0.0)
            + sum(1 for h in self._incoming(service, record.target_id))
            for record in ready
        }
        return min(others or ready, key=lambda r: (expected[r.target_id], r.target_id))

    def _incoming(self, service, target_id):
        """Yield the holds of keys that a target has got but not yet confirmed."""
        ranges = self._map(service)
        for hold in self._holds:
            if hold.service == service and ranges.of(hold.first).owner == target_id:
                yield hold

    # Bookkeeping.

    def _map(self, service) -> RangeMap | None:
        ownership = self._leadership.ownership
        return None if ownership is None else ownership.services.get(service)

    def _ready(self, service) -> list[TargetRecord]:
        return [
            record
            for _, record in sorted(self._state.targets.items())
            if record.service == service and self._takes_keys(record)
        ]

    def _takes_keys(self, record):
        granter = self._granters.get((record.service, record.target_id))
        silent = granter is not None and granter.trust is Trust.SILENT
        return record.state is TargetState.READY and not silent

    def _seats(self, service) -> tuple[Seat, ...]:
        return tuple(Seat(r.target_id, r.slots) for r in self._ready(service))

    def _occupied(self, service):
        """Return the targets that take part in a move."""
        ranges = self._map(service)
        holds = [hold for hold in self._holds if hold.service == service]
        givers = {ranges.of(hold.first).owner for hold in holds}
        return frozenset(givers | {hold.to for hold in holds} - {None})

    def _moving(self, service):
        return sum(1 for hold in self._holds if hold.service == service)

    def _is_held(self, service, entry):
        return any(
            hold.service == service and entry.overlaps(hold.first, hold.last)
            for hold in self._holds
        )

    def _address(self, service, target_id) -> TargetAddress | None:
        granter = self._granters.get((service, target_id))
        if granter is not None:
            return granter.address
        record = self._state.targets.get(target_id)
        if record is None:
            return None
        return TargetAddress(target_id, record.ip, record.port)

    def _start_granters(self, service):
        ranges = self._map(service)
        for target_id in ranges.owners() if ranges else ():
            record = self._state.targets.get(target_id)
            if record is not None and record.service == service:
                self._granter(service, record)

    def _granter(self, service, record) -> Granter:
        """Return the granter of a target; it starts when first asked for."""
        key = (service, record.target_id)
        granter = self._granters.get(key)
        address = TargetAddress(record.target_id, record.ip, record.port)
        fresh = granter is not None and granter.born_ms != record.born_ms
        if granter is None or granter.address != address or fresh:
            until = granter.until if granter is not None and not fresh else None
            granter = Granter(
                self, record, address, self._cfg, self._clock, self._orders
            )
            if until is not None:
                granter.until = until
            self._granters[key] = granter
        if not granter.running and granter.trust is Trust.ANSWERS:
            granter.running = True
            self._spawn(granter.run)
        return granter

    def _next_fence(self):
        self._fences += 1
        return self._leadership.epoch * FENCES_PER_EPOCH + self._fences

    def _store_answers(self):
        """Return whether the store has confirmed this host's lead of late."""
        return self.hold_s() == self._cfg.hold_s

    def _changed(self, service, first, last):
        """Tell all hosts who owns the keys from `first` to `last` now."""
        if not self._leadership.leading:
            return
        self._serial += 1
        self._publish(
            TableChange(
                address_fields(self._leadership.leader),
                self._leadership.epoch,
                self._serial,
                service,
                first,
                last,
                [row_fields(row) for row in self._rows(service, first, last)],
            )
        )

    def _grants_left(self) -> tuple[GrantLeft, ...]:
        now = self._clock.now()
        return tuple(
            GrantLeft(granter.target_id, granter.until - now)
            for granter in self._granters.values()
            if granter.until > now
        )

    def _spawn(self, function, *args):
        task = eventlet.spawn(_logging_faults, function, *args)
        self._tasks.add(task)
        task.link(lambda done: self._tasks.discard(done))


def _by_first(row):
    return row.first


def _replacing(service, entries, serial):
    """Return the change that puts `entries` into a service's ranges."""

    def change(ownership):
        ranges = ownership.services[service]
        for entry in entries:
            ranges = ranges.with_range(entry)
        return ownership.with_map(service, ranges, serial)

    return change


def _logging_faults(function, *args):
    """Run a task whose fault must not stay unseen; the next turn goes on without."""
    try:
        function(*args)
    except AuthorityLapsed as exc:
        log.info("ranges: task ended", extra={"reason": str(exc)})
    except Exception:
        log.exception("ranges: task failed by a fault of this host")


def _held_row(entry, hold, now):
    """Return the row of the keys of a range that are changing hands."""
    left_s = UNKNOWN_S
    if hold.opens_at is not None:
        left_s = max(0.001, hold.opens_at - now)
    first, last = max(entry.first, hold.first), min(entry.last, hold.last)
    return RouteRow(first, last, None, entry.fence, left_s)


def _without(entry: KeyRange, holds: list[Hold]) -> list[KeyRange]:
    """Return the parts of a range that no hold covers."""
    parts = [entry]
    for hold in holds:
        rest = []
        for part in parts:
            if not part.overlaps(hold.first, hold.last):
                rest.append(part)
                continue
            if part.first < hold.first:
                rest.append(replace(part, last=hold.first - 1))
            if part.last > hold.last:
                rest.append(replace(part, first=hold.last + 1))
        parts = rest
    return parts
