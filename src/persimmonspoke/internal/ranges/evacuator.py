"""Transfers the keys of targets in evacuated data centres to other targets.

The store holds all that a successor needs: the entry that evacuates, and the owners.
"""

import logging
from dataclasses import dataclass

import eventlet

from persimmonspoke.errors import AuthorityLapsed, NoOwnerYet, StoreError
from persimmonspoke.ids import Instant, ServiceId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.evacuations import (
    assign_pieces,
    hottest_first,
    published_together,
    transfer_count,
)
from persimmonspoke.internal.ranges.granters import Granters
from persimmonspoke.internal.ranges.ledger import Ledger, Transfer
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.mover import Mover
from persimmonspoke.internal.ranges.ranges import KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.ranges.tasks import LeaderTasks
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.routing.state import RoutingState

GATHER_S = 0.1  # the releases answered within it share a write to the store
COMMIT_S = 0.3  # from a release to the next transfer in its place
SLOW_COMMIT_S = 0.5  # a store that takes longer may be away for long
NOT_SOON_S = 30.0  # longer than callers wait

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Released:
    """A range that its owner has released, or may hold no longer."""

    transfer: Transfer
    entry: KeyRange
    handover: str | None


class Evacuator:
    """Moves keys out of evacuated data centres, while its host leads."""

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        state: RoutingState,
        ledger: Ledger,
        granters: Granters,
        mover: Mover,
        loads: Loads,
        tasks: LeaderTasks,
    ):
        self._cfg = cfg
        self._clock = clock
        self._state = state
        self._ledger = ledger
        self._granters = granters
        self._mover = mover
        self._loads = loads
        self._tasks = tasks
        self.reset()

    def reset(self) -> None:
        """Forget all transfers, for a new epoch in which this host leads."""
        self._in_progress: dict[ServiceId, int] = {}
        self._released: dict[ServiceId, list[_Released]] = {}
        self._took_s: dict[ServiceId, float] = {}
        self._committing: set[ServiceId] = set()
        self._without_receivers: set[ServiceId] = set()

    def start_transfers(self, service: ServiceId) -> None:
        """Start the transfers of a service that are due.

        None starts while the store is silent, since it could not be committed, nor
        while there is no target that takes keys.
        """
        waiting = self._waiting(service)
        if not waiting and not self._in_progress.get(service):
            self._took_s.pop(service, None)
        if not waiting or not self._granters.store_is_reachable():
            return
        if not self._granters.eligible_records(service):
            self._log_without_receivers(service)
            return
        self._without_receivers.discard(service)
        in_progress = self._in_progress.get(service, 0)
        left_s = self._closes_at(waiting) - self._clock.now()
        took_s = self._took_s.get(service, 0.0)
        count = transfer_count(len(waiting), in_progress, left_s, took_s)
        chosen = hottest_first(service, waiting, self._loads)[:count]
        entries = {entry.first: entry for entry in chosen}
        transfers = [Transfer(service, e.first, e.last) for e in chosen]
        for group in self._groups(service, transfers):
            self._ledger.begin_transfers(group)
        self._in_progress[service] = in_progress + len(transfers)
        for transfer in transfers:
            entry = entries[transfer.first]
            self._tasks.spawn(self._release, service, transfer, entry)

    def _waiting(self, service):
        """Return the ranges in evacuated data centres whose transfer has not started.

        Targets that leave, do not answer or have restarted lose their keys in another
        way.
        """
        if not self._state.evacuations:
            return []
        return [
            entry
            for entry in self._ledger.map(service).ranges
            if self._is_evacuated(entry)
            and not self._granters.is_silent(service, entry.owner)
            and not self._ledger.in_transfer(service, entry)
        ]

    def _is_evacuated(self, entry):
        record = self._state.targets.get(entry.owner)
        return (
            record is not None
            and record.state is TargetState.EVACUATED
            and record.born_ms == entry.born_ms
        )

    def _closes_at(self, entries):
        """Return when the first of the owners of some ranges gets no more requests."""
        since = min(self._state.evacuated_since(entry.owner) for entry in entries)
        return Instant(since + self._cfg.evacuation_grace_s)

    def _release(self, service, transfer, entry):
        """Take a range from its owner, and leave the rest to the task that commits."""
        began_at = self._clock.now()
        try:
            handover = self._mover.release([transfer], entry)
        except BaseException:
            self._end(service, [transfer])
            raise
        took_s = self._clock.now() - began_at + COMMIT_S
        self._took_s[service] = max(took_s, self._took_s.get(service, 0.0))
        released = self._released.setdefault(service, [])
        released.append(_Released(transfer, entry, handover))
        if service not in self._committing:
            self._committing.add(service)
            self._tasks.spawn(self._commit_released, service)

    def _commit_released(self, service):
        """Commit the ranges released so far, until there are none, in few writes."""
        try:
            while self._released.get(service):
                self._clock.sleep_until(Instant(self._clock.now() + GATHER_S))
                batch = self._released.pop(service)
                self._commit(service, batch)
        finally:
            self._committing.discard(service)

    def _commit(self, service, batch):
        """Store new owners of released ranges; start to grant them."""
        transfers = sorted((r.transfer for r in batch), key=lambda t: t.first)
        warning = eventlet.spawn_after(
            SLOW_COMMIT_S, self._publish_late, service, transfers
        )
        try:
            new_ranges = self._new_ranges(service, batch)
            self._ledger.commit(service, new_ranges)
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: keys not evacuated",
                extra={
                    "service": service,
                    "ranges": len(batch),
                    "reason": repr(exc),
                },
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
            self._end(service, transfers)
            return
        except BaseException:
            self._end(service, transfers)
            raise
        finally:
            warning.cancel()
        log.info(
            "ranges: keys evacuated",
            extra={
                "service": service,
                "ranges": len(batch),
                "pieces": len(new_ranges),
                "from": sorted({r.entry.owner for r in batch}),
                "to": sorted({entry.owner for entry in new_ranges}),
                "warm": sum(r.handover is not None for r in batch),
                "left": len(self._waiting(service)),
            },
        )
        self._tasks.spawn(self._grant, service, transfers, new_ranges)

    def _new_ranges(self, service, batch):
        """Return new grants of released ranges to targets that take keys.

        If the evacuation has ended meanwhile, the former owners take keys again, but
        the transfers in progress are finished.
        """
        eligible = self._granters.eligible_targets(service)
        former = {released.entry.owner for released in batch}
        others = tuple(t for t in eligible if t.target_id not in former)
        receivers = others or eligible
        if not receivers:
            raise NoOwnerYet(f"service {service} has no target that takes keys")
        entries = [released.entry for released in batch]
        ranges = self._ledger.map(service)
        assigned = assign_pieces(service, entries, receivers, ranges, self._loads)
        return [
            self._mover.new_grant(
                piece, self._state.targets[to], _handover_of(piece, batch)
            )
            for piece, to in assigned
        ]

    def _grant(self, service, transfers, new_ranges):
        """Grant ranges to their new owners, then resume requests for their keys."""
        try:
            self._mover.grant_all(service, new_ranges)
        finally:
            self._end(service, transfers)

    def _publish_late(self, service, transfers):
        """Tell all hosts that keys will not have an owner soon: the store is slow."""
        until = Instant(self._clock.now() + NOT_SOON_S)
        for group in self._groups(service, transfers):
            self._ledger.set_opens_at(group, until)

    def _end(self, service, transfers):
        self._in_progress[service] = max(
            0, self._in_progress.get(service, 0) - len(transfers)
        )
        for group in self._groups(service, transfers):
            self._ledger.end_transfers(group)

    def _groups(self, service, transfers):
        """Return transfers in groups to be published together."""
        ranges = self._ledger.map(service)
        return [] if ranges is None else published_together(transfers, ranges)

    def _log_without_receivers(self, service):
        if service not in self._without_receivers:
            self._without_receivers.add(service)
            log.warning(
                "ranges: evacuated keys stay, no other target takes keys",
                extra={"service": service},
            )


def _handover_of(piece, batch):
    """Return what the owner of a piece has returned when it released the keys."""
    return next(
        released.handover
        for released in batch
        if released.entry.overlaps(piece.first, piece.last)
    )
