"""Transfers keys from one target to others."""

import logging
from dataclasses import replace

import eventlet

from persimmonspoke.errors import (
    AuthorityLapsed,
    NoOwnerYet,
    StoreError,
    TargetError,
    TargetMismatch,
)
from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.api import RangeRelease
from persimmonspoke.internal.ranges.cold_shares import split_by_limit
from persimmonspoke.internal.ranges.granters import Granters
from persimmonspoke.internal.ranges.ledger import Ledger, Transfer
from persimmonspoke.internal.ranges.load_view import LoadView
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.lost_keys import deal_lost_keys, room_for_lost_keys
from persimmonspoke.internal.ranges.planner import (
    KEY_COUNT,
    PlannedMove,
    utilisation_by_target,
)
from persimmonspoke.internal.ranges.ranges import MAX_KEY, MIN_KEY, KeyRange
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import TargetRecord, TargetState
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.rate_limits import UNLIMITED
from persimmonspoke.internal.targets.warmups import Warmups, no_warmups

log = logging.getLogger(__name__)

# Utilisation from which targets take no keys off a cold one: requests would queue.
MAX_RECEIVER_UTILISATION = 0.8
# Share of its limit for which a cold target keeps keys; with the whole limit in use the
# planner takes it for overloaded, and moved the kept keys away at once.
KEPT_SHARE = 0.75


class Mover:
    """Transfers keys: releases them, commits the new owners, and grants them.

    Attributes
    ----------
    moves : int
        Planned moves carried out so far.
    moved_keys : int
        Keys that changed owners by planned moves.
    """

    def __init__(
        self,
        cfg: RangeSettings,
        clock: Clock,
        state: RoutingState,
        ledger: Ledger,
        granters: Granters,
        loads: Loads,
        warmups: Warmups | None = None,
    ):
        self._warmups = no_warmups(clock) if warmups is None else warmups
        self._cfg = cfg
        self._clock = clock
        self._state = state
        self._ledger = ledger
        self._granters = granters
        self._loads = loads
        self.moves = 0
        self.moved_keys = 0

    def move(
        self,
        service: ServiceId,
        transfer: Transfer,
        plan: PlannedMove,
        shares_commit: bool = False,
    ) -> None:
        """Transfer the keys of `plan` to its receivers, and end `transfer`.

        Parameters
        ----------
        shares_commit : bool
            Whether to wait for the commits of other moves, to share a write.
        """
        began = self._clock.now()
        source = plan.piece
        try:
            handover = self.release([transfer], source)
            new_ranges = [
                self.new_grant(
                    piece, self._receiver(service, to, source.owner), handover
                )
                for piece, to in plan.shares
            ]
            gather_s = self._cfg.gather_s if shares_commit else 0.0
            gather_until = Instant(self._clock.now() + gather_s)
            self._ledger.commit(service, new_ranges, gather_until)
            self.grant_all(service, new_ranges)
            if len(new_ranges) == 1:
                self._combine_with_neighbours(service, transfer, new_ranges[0])
            log.info(
                "ranges: keys moved",
                extra={
                    "service": service,
                    "first": source.first,
                    "last": source.last,
                    "from": source.owner,
                    "to": [entry.owner for entry in new_ranges],
                    "fence": new_ranges[0].fence,
                    "warm": handover is not None,
                    "took_s": round(self._clock.now() - began, 3),
                }
                | (plan.reason.log_fields() if plan.reason is not None else {}),
            )
            self.moves += 1
            self.moved_keys += source.last - source.first + 1
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
            self._ledger.end_transfers([transfer])

    def evacuate(
        self,
        service: ServiceId,
        target_id: TargetId,
        entries: list[KeyRange],
        transfers: list[Transfer],
    ) -> None:
        """Transfer all ranges of one target with a single release and commit.

        The ranges of a target that has restarted are granted to it again, without
        those that bring it more requests than it may get while it is cold.  So are
        those of a silent target that answers the release.  Nothing is released if the
        process that listens at the target's address keeps all ranges.
        """
        first, last = entries[0].first, entries[-1].last
        record = self._state.targets.get(target_id)
        restarted = record is not None and record.born_ms != entries[0].born_ms
        try:
            if restarted and self._keeps_all(service, record, entries):
                handover, stays = None, True
                new_ranges = [self.new_grant(e, record, None) for e in entries]
            else:
                # It may have taken orders since it started, before that was known.
                whole = replace(entries[0], last=last)
                handover = self.release(transfers, whole)
                record = self._state.targets.get(target_id)
                stays = self._stays(service, record, restarted)
                new_ranges = self._assign(service, target_id, entries, stays, handover)
            self._ledger.commit(service, new_ranges)
            self.grant_all(service, new_ranges)
            log.info(
                "ranges: target evacuated",
                extra={
                    "service": service,
                    "target": target_id,
                    "ranges": len(entries),
                    "first": first,
                    "last": last,
                    "to": sorted({entry.owner for entry in new_ranges}),
                    "fence": new_ranges[0].fence,
                    "warm": handover is not None,
                    "reborn": restarted,
                    "stays": stays,
                },
            )
        except (StoreError, AuthorityLapsed, NoOwnerYet) as exc:
            log.warning(
                "ranges: target not evacuated",
                extra={"service": service, "target": target_id, "reason": repr(exc)},
            )
            self._clock.sleep_until(Instant(self._clock.now() + self._cfg.retry_s))
        finally:
            self._ledger.end_transfers(transfers)

    def _keeps_all(self, service, record, entries):
        """Return whether nobody else is to get the ranges of a restarted owner."""
        return (
            not self._granters.earlier_addresses(service, record.target_id)
            and self._stays(service, record, restarted=True)
            and not self._split_by_warmup(service, record.target_id, entries)[1]
        )

    def _stays(self, service, record, restarted):
        """Return whether an owner that has restarted or been silent keeps its ranges.

        One in an evacuated data centre does only if no other target takes keys.
        """
        if record is None or record.service != service:
            return False
        if record.state is TargetState.EVACUATED:
            is_silent = self._granters.is_silent(service, record.target_id)
            return not is_silent and not self._granters.eligible_records(service)
        return restarted or self._granters.may_receive_keys(record)

    def resolve_owners(self, service: ServiceId) -> None:
        """Take back all keys of a service, and grant them to their known owners.

        Any target may hold any key.  After a release under a new fence a target holds
        nothing and refuses what earlier leaders have ordered.  Return once no other
        target can hold the keys.
        """
        began = self._clock.now()
        ranges = self._ledger.map(service)
        whole = Transfer(service, MIN_KEY, MAX_KEY)
        self._ledger.begin_transfers([whole])
        try:
            handovers = self._release_everywhere(service, whole)
            if ranges is None:
                return
            new_ranges = [
                self.new_grant(piece, record, handovers.get(entry.owner))
                for entry in ranges.ranges
                for piece, record in self._keep_or_distribute(service, entry)
            ]
            self._ledger.commit(service, new_ranges)
            self.grant_all(service, new_ranges)
        finally:
            self._ledger.end_transfers([whole])
        log.warning(
            "ranges: owners resolved after the store was restored",
            extra={
                "service": service,
                "released": sorted(handovers),
                "ranges": len(new_ranges),
                "took_s": round(self._clock.now() - began, 3),
            },
        )

    def _keep_or_distribute(self, service, entry):
        """Return a range with its owner, or pieces of it if the owner takes no keys."""
        record = self._state.targets.get(entry.owner)
        if record is not None and self._granters.may_receive_keys(record):
            return [(entry, record)]
        return self._distribute(service, entry.owner, [entry])

    def _release_everywhere(self, service, whole):
        """Release all keys at all targets; return the handovers of those that answer.

        It also waits until targets that do not answer can hold nothing any more.
        """
        records = [r for r in self._state.targets.values() if r.service == service]
        ranges = self._ledger.map(service)
        owners = ranges.owners() if ranges is not None else frozenset()
        tasks = {
            target_id: eventlet.spawn(self._release_all_of, whole, target_id)
            for target_id in {record.target_id for record in records} | owners
        }
        try:
            results = {target_id: task.wait() for target_id, task in tasks.items()}
        finally:
            for task in tasks.values():
                task.kill()
        for _, exc in results.values():
            if exc is not None:
                raise exc
        return {t: handover for t, (handover, _) in results.items() if handover}

    def _release_all_of(self, whole, target_id):
        """Release all keys at one target; return its handover, and what went wrong."""
        try:
            every_key = KeyRange(MIN_KEY, MAX_KEY, target_id, 0, 0)
            return self.release([whole], every_key), None
        except AuthorityLapsed as exc:
            return None, exc

    def _assign(self, service, target_id, entries, stays, handover):
        """Return new grants of ranges, spread over the targets by load.

        With `stays` the target keeps its ranges.
        """
        if stays:
            kept, surplus = self._split_by_warmup(service, target_id, entries)
            owners = [(entry, self._state.targets[target_id]) for entry in kept]
            if surplus:
                owners += self._distribute(service, target_id, surplus)
        else:
            owners = self._distribute(service, target_id, entries)
        return [self.new_grant(entry, record, handover) for entry, record in owners]

    def _split_by_warmup(self, service, target_id, entries):
        """Return the ranges that a target keeps, and those that others should get.

        It keeps all if it is not cold, or if no other target has capacity to spare.
        """
        limit_per_s = self._warmups.limit_per_s(target_id)
        if limit_per_s == UNLIMITED:
            return entries, []
        utilisation = self._utilisation(service)
        utilisation.pop(target_id, None)
        if min(utilisation.values(), default=1.0) >= MAX_RECEIVER_UTILISATION:
            return entries, []
        return split_by_limit(
            entries,
            lambda entry: self._loads.keys(service, entry),
            KEPT_SHARE * limit_per_s,
        )

    def new_grant(
        self, piece: KeyRange, record: TargetRecord, handover: str | None
    ) -> KeyRange:
        """Return `piece` as a new grant to a target."""
        fence = self._ledger.next_fences()
        owner, born_ms = record.target_id, record.born_ms
        return KeyRange(piece.first, piece.last, owner, born_ms, fence, handover)

    def _distribute(self, service, target_id, entries):
        """Return pieces of ranges, each with a target that has room for it."""
        if not entries:
            return []
        others = {
            record.target_id: record for record in self._others(service, target_id)
        }
        eligible = self._granters.eligible_targets(service)
        view = LoadView(
            service, self._ledger.map(service), eligible, self._loads, frozenset(), ()
        )
        rooms = room_for_lost_keys(view, tuple(others))
        keys = [self._loads.keys(service, entry) for entry in entries]
        dealt = deal_lost_keys(entries, keys, rooms, view.total_rate / KEY_COUNT)
        log.info(
            "ranges: lost keys dealt",
            extra={
                "service": service,
                "target": target_id,
                "rate": round(sum(rate for row in keys for _, rate in row), 2),
                "room": {name: round(rooms[name], 2) for _, name in dealt},
                "utilisation": {
                    name: round(view.utilisation[name], 3) for _, name in dealt
                },
                "mean_utilisation": round(view.mean, 3),
            },
        )
        return [(piece, others[name]) for piece, name in dealt]

    def _others(self, service, former) -> list[TargetRecord]:
        """Return the targets that may receive keys, without `former` if possible."""
        eligible = self._granters.eligible_records(service)
        others = [record for record in eligible if record.target_id != former]
        if not eligible:
            raise NoOwnerYet(f"service {service} has no target that takes keys")
        return others or eligible

    def _utilisation(self, service):
        """Return the utilisation of each target that may receive keys."""
        ranges, eligible = (
            self._ledger.map(service),
            self._granters.eligible_targets(service),
        )
        return utilisation_by_target(service, ranges, eligible, self._loads)

    def _receiver(self, service, to, former) -> TargetRecord:
        """Return the planned target if it may receive keys, or else the least busy one.

        Each transfer that is already assigned to a target counts as if it filled all
        slots of the target.
        """
        record = self._state.targets.get(to)
        if record is not None and self._granters.may_receive_keys(record):
            return record
        others = self._others(service, former)
        utilisation = self._utilisation(service)
        expected = {
            record.target_id: utilisation[record.target_id]
            + self._ledger.assigned_transfers(service, record.target_id)
            for record in others
        }
        return min(others, key=lambda r: (expected[r.target_id], r.target_id))

    def grant_all(self, service: ServiceId, new_ranges: list[KeyRange]) -> None:
        """Grant ranges to their new owners, to all owners in parallel.

        Return or raise once no grant is in progress any more: it would go on after the
        end of the transfer that protects it.
        """
        by_owner: dict[TargetId, list[KeyRange]] = {}
        for entry in new_ranges:
            by_owner.setdefault(entry.owner, []).append(entry)
        tasks = []
        for target_id, entries in by_owner.items():
            record = self._state.targets.get(target_id)
            if record is not None:
                granter = self._granters.granter(record)
                tasks.append(eventlet.spawn(granter.grant_in_transfer, entries))
        lapsed = None
        for task in tasks:
            try:
                task.wait()
            except AuthorityLapsed as exc:
                lapsed = exc
        if lapsed is not None:
            raise lapsed

    def release(self, transfers: list[Transfer], piece: KeyRange) -> str | None:
        """Release `piece` from its owner; return the owner's handover, if any.

        Where the owner had another address before, so does what listens there now.  A
        target that refuses the release as meant for another shows that the owner there
        has ended.  If an address does not answer, return once all holds have lapsed.

        Raises
        ------
        AuthorityLapsed
            This host may not give orders.
        """
        if piece.owner is None:
            return None
        service = transfers[0].service
        fence = self._ledger.next_fences()
        began = self._clock.now()
        handover, found, answered, waits_for = None, set(), set(), None
        while True:
            # The entry of a target may be missing for a moment.
            current = self._granters.address(service, piece.owner)
            if current is not None:
                found.add(current)
            earlier = self._granters.earlier_addresses(service, piece.owner)
            addresses = found.union(earlier) or {None}
            for address in addresses - answered - {None}:
                order = RangeRelease(piece.first, piece.last, fence)
                try:
                    result = self._send_release(service, address, order)
                except TargetMismatch:
                    # An address is given to another target once its target has ended.
                    answered.add(address)
                    continue
                except TargetError as exc:
                    log.info(
                        "ranges: release unanswered",
                        extra={
                            "target": piece.owner,
                            "ip": address.ip,
                            "port": address.port,
                            "first": piece.first,
                            "last": piece.last,
                            "fence": fence,
                            "reason": str(exc),
                        },
                    )
                    continue
                answered.add(address)
                if address == current:
                    handover = result
                    self._granters.record_answer(service, piece.owner)
            if addresses <= answered:
                return handover
            until = self._granters.held_until(service, piece.owner)
            if waits_for is None:
                waits_for = self._granters.hold_fields(service, piece.owner)
            if self._clock.now() >= until:
                log.info(
                    "ranges: keys taken back without an answer",
                    extra={
                        "service": service,
                        "target": piece.owner,
                        "first": piece.first,
                        "last": piece.last,
                        "fence": fence,
                        "unanswered": _log_names(addresses - answered),
                        "answered": _log_names(answered),
                        "waited_s": round(self._clock.now() - began, 3),
                        "waited_for": waits_for,
                    },
                )
                return handover
            self._ledger.set_opens_at(transfers, until)
            retry_at = Instant(self._clock.now() + self._cfg.retry_s)
            self._clock.sleep_until(Instant(min(retry_at, until)))

    def _send_release(self, service, address, order):
        """Send a release; return the handover, or raise as `OrderConnection` does."""
        deadline = Instant(self._clock.now() + self._cfg.release_s)
        self._granters.check_lease()
        record = self._state.targets.get(address.target_id)
        born_ms = None if record is None else record.born_ms
        connections = self._granters.connections(address)
        return connections.release(order, deadline, born_ms)

    def _combine_with_neighbours(self, service, transfer, new):
        """Combine a range with its owner's neighbouring ranges into one grant.

        The combined range is not stored at once, because the owner stays the same: a
        new leader grants the stored ranges under new fences, which are above this one.
        """
        ranges = self._ledger.map(service)
        first, last = new.first, new.last
        if first > MIN_KEY and self._can_combine(service, ranges.find(first - 1), new):
            first = ranges.find(first - 1).first
        if last < MAX_KEY and self._can_combine(service, ranges.find(last + 1), new):
            last = ranges.find(last + 1).last
        if (first, last) == (new.first, new.last):
            return
        fence = self._ledger.next_fences()
        whole = replace(new, first=first, last=last, fence=fence, handover=None)
        self._ledger.update_local(service, whole)
        granter = self._granters.granter(self._state.targets[new.owner])
        granter.grant_in_transfer([whole])
        # The end of the transfer then publishes all rows that have changed.
        transfer.first, transfer.last = first, last

    def _can_combine(self, service, entry, new):
        """Return whether `entry` can be combined with the range `new`."""
        return (
            (entry.owner, entry.born_ms) == (new.owner, new.born_ms)
            and not self._ledger.in_transfer(service, entry)
            and new.owner in self._state.targets
        )


def _log_names(addresses):
    """Return addresses for a log line; None stands for one that is not known."""
    return sorted(str(a and f"{a.ip}:{a.port}") for a in addresses)
