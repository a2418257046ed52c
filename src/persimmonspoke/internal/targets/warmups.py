"""Cold targets: until when each is cold, and what it may get until then."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from persimmonspoke.ids import Instant, ServiceId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.routing.config import RoutedService, TargetRecord
from persimmonspoke.internal.targets.notices import Incarnation
from persimmonspoke.internal.targets.rate_limits import MIN_LIMIT_PER_S, UNLIMITED

MAX_COLD_S = 300.0  # a longer warm-up is rather a mistake of the target
# A slot that was assigned longer ago is given back, since the desk that assigned it
# may have counted it for an earlier second.
MAX_SLOT_AGE_S = 0.5
# A token bucket whose burst is half a second's worth (`desk.allowance.BURST_S`) lets
# 1.5 times its rate pass in one second, or its rate and one request.
BURST_FACTOR = 1.5
# Share of a service's targets that may be taken for cold without saying so; if more
# become slow at once, another cause is likelier.
MAX_SUSPECTED_SHARE = 0.25

log = logging.getLogger(__name__)


class WarmupSource(Enum):
    """How this host knows that a target is cold."""

    ENTRY = "entry"
    """The target's entry in the store."""
    START = "start"
    """The target has started during traffic, and its entry does not say more."""
    ANSWER = "answer"
    """An answer to this host, or another host that passed on what it knows."""
    SUSPICION = "suspicion"
    """Its answers have become slow, as those of a cold target are."""


@dataclass(frozen=True, slots=True)
class WarmupBounds:
    """What the platform's operators allow for cold targets.

    In any one second a cold target may get `overage` times the requests a second that
    its service names, and `slack` more, from all hosts together.
    """

    overage: float = 1.0
    slack: float = 0.0

    def safe_rate_per_s(self, cold_limit_per_s: float) -> float:
        """Return the rate, in requests a second, at which one desk keeps the bound."""
        most = self.overage * cold_limit_per_s + self.slack
        safe = min(most / BURST_FACTOR, most - 1.0)
        return max(MIN_LIMIT_PER_S, min(cold_limit_per_s, safe))


@dataclass(frozen=True, slots=True)
class _Warmup:
    """Until when an incarnation of a target is cold at the latest, and who says so."""

    until: Instant
    source: WarmupSource


class Warmups:
    """Which targets are cold, as far as this host knows.

    A target is cold until it is surely warm by all that any source has said of this
    incarnation.  Without a limit in the configuration of its service it may get any
    number of requests all the same.

    Parameters
    ----------
    bounds : WarmupBounds
        What the platform's operators allow.
    """

    def __init__(self, clock: Clock, bounds: WarmupBounds | None = None):
        self._clock = clock
        self._bounds = WarmupBounds() if bounds is None else bounds
        self._records: Mapping[TargetId, TargetRecord] = {}
        self._services: Mapping[ServiceId, RoutedService] = {}
        self._learned_at: dict[TargetId, Instant] = {}
        self._born_ms: dict[TargetId, int] = {}
        self._warmups: dict[TargetId, dict[int, _Warmup]] = {}
        self._has_entries = False
        self.suspected_count = 0

    def update(
        self,
        records: Mapping[TargetId, TargetRecord],
        services: Mapping[ServiceId, RoutedService],
        learned_at: Callable[[TargetId], Instant | None],
    ) -> None:
        """Learn the targets and services that are in force.

        Parameters
        ----------
        learned_at : callable
            Returns when the newest version of a target's entry arrived at this host,
            None if it is missing.  The times in an entry are counted from then: the
            target wrote it earlier, and so is warm before.
        """
        self._records, self._services = records, services
        for target_id, record in records.items():
            arrived_at = learned_at(target_id)
            if arrived_at is not None and arrived_at != self._learned_at.get(target_id):
                self._learned_at[target_id] = arrived_at
                self._learn_entry(record, arrived_at)
            self._born_ms[target_id] = record.born_ms
        for known in (self._learned_at, self._born_ms, self._warmups):
            for target_id in [t for t in known if t not in records]:
                del known[target_id]
        self._has_entries = self._has_entries or bool(records)

    def _learn_entry(self, record, arrived_at):
        if record.cold_s is not None:
            source, cold_s = WarmupSource.ENTRY, record.cold_s
        elif (
            # The age of what a host finds at its own start is unknown.
            self._has_entries and self._born_ms.get(record.target_id) != record.born_ms
        ):
            routed = self._services.get(record.service)
            source = WarmupSource.START
            cold_s = 0.0 if routed is None else routed.warmup_s
        else:
            return
        self._learn(record.target_id, record.born_ms, cold_s, arrived_at, source)

    def record(self, incarnation: Incarnation, cold_s: float) -> None:
        """Record that a target has just said for how long it stays cold."""
        if incarnation.born_ms is not None:
            now = self._clock.now()
            target_id, born_ms = incarnation.target_id, incarnation.born_ms
            self._learn(target_id, born_ms, cold_s, now, WarmupSource.ANSWER)

    def record_all(self, rows: Iterable[tuple[TargetId, int, float]]) -> None:
        """Record what another host knows, in the form of `statements`."""
        for target_id, born_ms, cold_s in rows:
            self.record(Incarnation(target_id, born_ms), cold_s)

    def suspect(self, target_id: TargetId) -> bool:
        """Treat a target as cold whose answers have become slow; return whether it is.

        The targets of a service without a limit are never suspected, nor are more than
        a quarter of a service's.
        """
        record = self._records.get(target_id)
        if not self.has_limit(target_id) or self.is_cold(target_id):
            return False
        same = [t for t, r in self._records.items() if r.service == record.service]
        suspected = sum(self._source(t) is WarmupSource.SUSPICION for t in same)
        if suspected + 1 > max(1.0, MAX_SUSPECTED_SHARE * len(same)):
            return False
        self.suspected_count += 1
        self._learn(
            target_id,
            record.born_ms,
            self._services[record.service].warmup_s,
            self._clock.now(),
            WarmupSource.SUSPICION,
        )
        return True

    def _learn(self, target_id, born_ms, cold_s, since, source):
        believed_s = min(cold_s, MAX_COLD_S)
        until = Instant(since + believed_s)
        now = self._clock.now()
        if until <= now:
            return
        by_start = self._warmups.setdefault(target_id, {})
        before = by_start.get(born_ms)
        if before is not None and before.until >= until:
            return
        was_cold = before is not None and before.until > now
        by_start[born_ms] = _Warmup(until, source)
        if not was_cold:
            log.info(
                "targets: cold",
                extra={
                    "target": target_id,
                    "born_ms": born_ms,
                    "source": source.value,
                    "left_s": round(until - now, 3),
                    "said_s": round(cold_s, 3),
                    "limit_per_s": round(self._per_s(target_id), 3) or None,
                },
            )

    def _warmup(self, target_id) -> _Warmup | None:
        """Return what makes a target cold now; None if it is warm.

        What is known of a later start than that in the entry counts: the entry is on
        its way.
        """
        by_start = self._warmups.get(target_id)
        if by_start is None:
            return None
        now = self._clock.now()
        record = self._records.get(target_id)
        current_ms = 0 if record is None else record.born_ms
        for born_ms, warmup in list(by_start.items()):
            if warmup.until <= now or born_ms < current_ms:
                del by_start[born_ms]
        if not by_start:
            del self._warmups[target_id]
            return None
        return max(by_start.values(), key=lambda warmup: warmup.until)

    def _source(self, target_id):
        warmup = self._warmup(target_id)
        return None if warmup is None else warmup.source

    def _per_s(self, target_id) -> float:
        """Return the limit that a target's service names for cold ones; 0 without."""
        record = self._records.get(target_id)
        routed = None if record is None else self._services.get(record.service)
        return 0.0 if routed is None else routed.cold_limit_per_s

    def has_limit(self, target_id: TargetId) -> bool:
        """Return whether the service of a target limits what cold targets get."""
        return self._per_s(target_id) > 0.0

    def left_s(self, target_id: TargetId) -> float:
        """Return for how long a target may still be cold; 0 if it is surely warm."""
        warmup = self._warmup(target_id)
        return 0.0 if warmup is None else warmup.until - self._clock.now()

    def is_cold(self, target_id: TargetId) -> bool:
        """Return whether a target may be cold."""
        return self._warmup(target_id) is not None

    def limit_per_s(self, target_id: TargetId) -> float:
        """Return the requests a second that a target may get, from all hosts together.

        It is `UNLIMITED` if the target is warm, or its service has no limit.
        """
        if not self._warmups or self._warmup(target_id) is None:
            return UNLIMITED
        per_s = self._per_s(target_id)
        return self._bounds.safe_rate_per_s(per_s) if per_s else UNLIMITED

    def is_limited(self, target_id: TargetId) -> bool:
        """Return whether a target may get only a limited number of requests."""
        return self.limit_per_s(target_id) < UNLIMITED

    def may_send(self, target_id: TargetId, assigned_at: Instant) -> bool:
        """Return whether a request may use a slot that was assigned at an instant.

        A slot of a cold target must be used soon, because it counts for the second in
        which it was assigned.
        """
        age_s = self._clock.now() - assigned_at
        return age_s <= MAX_SLOT_AGE_S or not self.is_limited(target_id)

    def statements(
        self, target_ids: Iterable[TargetId]
    ) -> list[tuple[TargetId, int, float]]:
        """Return which of some targets are cold: id, start, and remaining seconds."""
        now = self._clock.now()
        return [
            (target_id, born_ms, round(warmup.until - now, 3))
            for target_id in target_ids
            if self._warmup(target_id) is not None
            for born_ms, warmup in self._warmups[target_id].items()
        ]

    def cold_count(self) -> int:
        """Return how many targets may be cold."""
        return sum(self.is_cold(target_id) for target_id in list(self._warmups))

    def limited_count(self) -> int:
        """Return how many targets may get only a limited number of requests."""
        return sum(self.is_limited(target_id) for target_id in list(self._warmups))


def no_warmups(clock: Clock) -> Warmups:
    """Return warm-ups that nothing is recorded in, for programs without them."""
    return Warmups(clock)
