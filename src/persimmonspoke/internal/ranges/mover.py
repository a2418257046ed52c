"""Takes keys from one target and gives them to others."""

import logging
from dataclasses import replace

import eventlet

from persimmonspoke.errors import (
    AuthorityLapsed,
    NoOwnerYet,
    StoreError,
    TargetError,
)
from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import RangeOrders, RangeRelease
from persimmonspoke.internal.ranges.granters import Granters
from persimmonspoke.internal.ranges.ledger import Hold, Ledger
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import PlannedMove, cut_evenly, utilisations
from persimmonspoke.internal.ranges.ranges import FIRST_KEY, LAST_KEY, KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetRecord
from persimmonspoke.internal.routing.state import RoutingState

log = logging.getLogger(__name__)

MOST_PIECES = 4  # into which a leaving target's range is cut
LEAST_WORK = 0.01  # of a target's slots


class Mover:
    """Carries out moves: a hold, a release, a commit in the store, new grants.

    Attributes
    ----------
    moves : int
        Planned moves carried out so far.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        state: RoutingState,
        orders: RangeOrders,
        ledger: Ledger,
        granters: Granters,
        loads: Loads,
    ):
        self._cfg = cfg
        self._clock = clock
        self._state = state
        self._orders = orders
        self._ledger = ledger
        self._granters = granters
        self._loads = loads
        self.moves = 0

    def move(self, service: ServiceId, hold: Hold, plan: PlannedMove) -> None:
        """Give the keys of `hold` to the targets of `plan`, and lift the hold."""
        began = self._clock.now()
        source = plan.piece
        try:
            handover = self._take_back([hold], source)
            given = [
                self._grant_of(piece, self._taker(service, to, source.owner), handover)
                for piece, to in plan.shares
            ]
            self._ledger.commit(service, given)
            self._grant_given(service, given)
            if len(given) == 1:
                self._join_around(service, hold, given[0])
            log.info(
                "ranges: keys moved",
                extra={
                    "service": service,
                    "first": source.first,
                    "last": source.last,
                    "from": source.owner,
                    "to": [entry.owner for entry in given],
                    "fence": given[0].fence,
                    "warm": handover is not None,
                    "took_s": round(self._clock.now() - began, 3),
                },
            )
            self.moves += 1
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: move given up",
                extra={
                    "service": service,
                    "first": source.first,
                    "last": source.last,
                    "from": source.owner,
                    "reason": repr(exc),
                },
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
        finally:
            self._ledger.lift([hold])

    def evacuate(
        self,
        service: ServiceId,
        target_id: TargetId,
        entries: list[KeyRange],
        holds: list[Hold],
    ) -> None:
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
            self._ledger.commit(service, given)
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
            self._ledger.lift(holds)

    def _share_out(self, service, target_id, entries, reborn, handover):
        """Return the ranges with new owners, so that none gets too much."""
        if reborn:
            owners = [(entry, self._state.targets[target_id]) for entry in entries]
        else:
            owners = self._deal(service, target_id, entries)
        return [self._grant_of(entry, record, handover) for entry, record in owners]

    def _grant_of(self, piece, record, handover) -> KeyRange:
        """Return `piece` as a new grant to a target."""
        fence = self._ledger.next_fences()
        owner, born_ms = record.target_id, record.born_ms
        return KeyRange(piece.first, piece.last, owner, born_ms, fence, handover)

    def _deal(self, service, target_id, entries):
        """Return pieces of ranges, each with the target that has most room for it."""
        others = self._others(service, target_id)
        busy = self._busy(service)
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

    def _others(self, service, former) -> list[TargetRecord]:
        """Return the targets that may be given keys, without `former` if possible."""
        ready = self._granters.ready(service)
        others = [record for record in ready if record.target_id != former]
        if not ready:
            raise NoOwnerYet(f"service {service} has no target that takes keys")
        return others or ready

    def _busy(self, service):
        """Return the utilisation of each target that may be given keys."""
        ranges, seats = self._ledger.map(service), self._granters.seats(service)
        return utilisations(service, ranges, seats, self._loads)

    def _taker(self, service, to, former) -> TargetRecord:
        """Return the target that was planned, or the one that has most room now."""
        record = self._state.targets.get(to)
        if record is not None and self._granters.takes_keys(record):
            return record
        others = self._others(service, former)
        busy = self._busy(service)
        expected = {
            record.target_id: busy[record.target_id]
            + self._ledger.incoming(service, record.target_id)
            for record in others
        }
        return min(others, key=lambda r: (expected[r.target_id], r.target_id))

    def _grant_given(self, service, given):
        """Grant ranges to their new owners, to several at a time."""
        by_owner: dict[TargetId, list[KeyRange]] = {}
        for entry in given:
            by_owner.setdefault(entry.owner, []).append(entry)
        tasks = []
        for target_id, entries in by_owner.items():
            record = self._state.targets.get(target_id)
            if record is not None:
                granter = self._granters.granter(record)
                tasks.append(eventlet.spawn(granter.grant_all_held, entries))
        for task in tasks:
            task.wait()

    def _take_back(self, holds, piece) -> str | None:
        """Return once the owner holds the keys no more, with its handover if any."""
        if piece.owner is None:
            return None
        service = holds[0].service
        address = self._granters.address(service, piece.owner)
        fence = self._ledger.next_fences()
        while True:
            if address is not None:
                order = RangeRelease(piece.first, piece.last, fence)
                deadline = Instant(self._clock.now() + self._cfg.release_s)
                self._granters.check_lease()
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
            until = self._granters.held_until(service, piece.owner)
            if self._clock.now() >= until:
                return None
            self._ledger.opens_at(holds, until)
            pause = Instant(self._clock.now() + self._cfg.retry_s)
            self._clock.sleep_until(Instant(min(pause, until)))

    def _join_around(self, service, hold, new):
        """Make one grant of a range and those next to it that its owner has, too.

        The owner keeps the keys, so its successor as leader need not know: it would
        be refused the old fences, and give new ones.
        """
        ranges = self._ledger.map(service)
        first, last = new.first, new.last
        if first > FIRST_KEY and self._may_join(service, ranges.of(first - 1), new):
            first = ranges.of(first - 1).first
        if last < LAST_KEY and self._may_join(service, ranges.of(last + 1), new):
            last = ranges.of(last + 1).last
        if (first, last) == (new.first, new.last):
            return
        fence = self._ledger.next_fences()
        whole = replace(new, first=first, last=last, fence=fence, handover=None)
        self._ledger.amend(service, whole)
        granter = self._granters.granter(self._state.targets[new.owner])
        granter.grant_all_held([whole])
        # The hold then covers all keys whose rows have changed.
        hold.first, hold.last = first, last

    def _may_join(self, service, entry, new):
        return (
            (entry.owner, entry.born_ms) == (new.owner, new.born_ms)
            and not self._ledger.is_held(service, entry)
            and new.owner in self._state.targets
        )
