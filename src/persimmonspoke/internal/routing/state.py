"""The routing state of this host: the configuration in force, and the targets."""

import logging
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

from persimmonspoke.errors import MalformedDocument, RouteUnreadable
from persimmonspoke.ids import (
    DataCentreId,
    Era,
    Generation,
    Instant,
    ServiceId,
    TargetId,
    TeamId,
    Version,
)
from persimmonspoke.internal.callers.services import ServiceEntry
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import LONGEST_AGE_S, StoreCache
from persimmonspoke.internal.questionnaire.configuration import (
    Precedence,
    ServiceConfig,
    TargetConfig,
)
from persimmonspoke.internal.routing.config import (
    RouteConfig,
    RoutedService,
    RouteKind,
    RoutingConfig,
    TableState,
    TargetRecord,
    TargetState,
)
from persimmonspoke.internal.routing.splits import WeightedRoundRobin
from persimmonspoke.internal.routing.table import RouteTable
from persimmonspoke.internal.targets.api import TargetAddress

TEAM = TeamId("platform")
"""The platform has a single configuration, so all services belong to one team."""

KEY_COUNT = 65536

UNREADABLE_RETRY_S = 1.0  # about as long as a corrected version takes to arrive

MAX_REREGISTRATION_S = 2.2
"""Maximum time for which a missing entry is kept after an outage of the store.  The
platform states that live targets register again within about 2 s."""

MS_PER_S = 1000

LEFT_MEMORY_S = 600.0  # longer than a store's copy can be old

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Departure:
    """What is remembered of a target that is leaving, also while its entry is away.

    Attributes
    ----------
    since : Instant
        Earliest instant at which it may have begun to leave.
    seen_at : Instant
        When the store, or the target itself, last said so.
    """

    born_ms: int
    since: Instant
    seen_at: Instant


def _named_data_centre(name: str, value: dict) -> DataCentreId:
    return DataCentreId(name)


class RoutingState:
    """The configuration in force on this host, and the targets that it knows.

    Parameters
    ----------
    cache : StoreCache
        Cache of the store's objects.
    decode_config, decode_target : callable
        Decode the platform's documents.
    last_outage_at : callable
        Returns when the store was last unreachable from this host; None if never.
    known_at : callable
        Returns the latest instant at which the objects of the cache were known to be
        the newest; None if never.
    apply_s : float
        Time within which a configuration must be in force.
    evacuations_prefix : str or None
        Prefix of the entries that evacuate data centres; None if there are none.
    decode_evacuation : callable
        Decodes such an entry.

    Attributes
    ----------
    table : RouteTable or None
        Routes of the configuration in force; None before the first configuration.
    targets : dict of TargetId to TargetRecord
        All targets that may be alive, including leaving ones.
    unreadable_count : int
        Number of objects and fields that could not be read so far.
    late_count : int
        Number of configurations that may have been in force too late.
    evacuations : dict of DataCentreId to Instant
        The data centres that are evacuated, each with the earliest instant at which
        the store may have acknowledged that.
    """

    def __init__(
        self,
        cache: StoreCache,
        clock: Clock,
        config_key: str,
        targets_prefix: str,
        decode_config: Callable[[dict], RoutingConfig],
        decode_target: Callable[[str, dict], TargetRecord],
        last_outage_at: Callable[[], Instant | None],
        known_at: Callable[[], Instant | None] = lambda: None,
        apply_s: float = float("inf"),
        evacuations_prefix: str | None = None,
        decode_evacuation: Callable[[str, dict], DataCentreId] = _named_data_centre,
    ):
        self._evacuations_prefix = evacuations_prefix
        self._decode_evacuation = decode_evacuation
        self._cache = cache
        self._clock = clock
        self._config_key = config_key
        self._targets_prefix = targets_prefix
        self._decode_config = decode_config
        self._decode_target = decode_target
        self._last_outage_at = last_outage_at
        self._known_at = known_at
        self._apply_s = apply_s
        self._split = WeightedRoundRobin()
        self._unreadable: dict[str, tuple[Era, Version]] = {}
        self._config_order: tuple[Era, Version] | None = None
        self._is_readable = True
        self._targets_count = -1
        self._decoded: dict[str, tuple[tuple[Era, Version], TargetRecord | None]] = {}
        self._missing_since: dict[TargetId, Instant] = {}
        self._entries: dict[ServiceId, ServiceEntry] = {}
        self._announced: dict[TargetId, tuple[int, Instant]] = {}
        self._left: dict[TargetId, _Departure] = {}
        self.table: RouteTable | None = None
        self.targets: dict[TargetId, TargetRecord] = {}
        self.unreadable_count = 0
        self.late_count = 0
        self.evacuations: dict[DataCentreId, Instant] = {}

    def refresh(self) -> bool:
        """Apply changes of the store's objects; return whether anything changed."""
        changed = self._refresh_config()
        self._refresh_evacuations()
        if self._refresh_targets() or changed:
            self._entries = self._make_entries()
            return True
        return False

    def generation(self) -> Generation:
        """Return the generation of the configuration in force; 0 before the first."""
        return self.table.cfg.generation if self.table else Generation(0)

    def is_behind(self) -> bool:
        """Return whether a configuration has arrived that was not looked at yet."""
        stored = self._cache.get(self._config_key)
        return stored is not None and stored.order != self._config_order

    def targets_are_behind(self) -> bool:
        """Return whether entries of targets have arrived and are not in force yet."""
        return self._cache.kind_change_count(self._targets_prefix) > self._targets_count

    def table_state(self) -> TableState:
        """Return what this host knows of its routing table.

        If the newest configuration can't be read, the table is not known to be new.
        """
        known_at = self._known_at() if self._is_readable else None
        age_s = None if known_at is None else round(self._clock.now() - known_at, 3)
        return TableState(self.generation(), age_s)

    def entry(self, route: RouteConfig) -> ServiceEntry:
        """Return the service for the route's next request.

        Raises
        ------
        RouteUnreadable
            The route or the entry of its service can't be read.
        """
        if route.kind is RouteKind.UNREADABLE:
            raise RouteUnreadable(
                f"route {route.name!r} can't be read; correct its configuration",
                UNREADABLE_RETRY_S,
            )
        service = self._split.choose(route)
        found = self._entries.get(service)
        if found is None:
            raise RouteUnreadable(
                f"service {service!r} of route {route.name!r} has no readable entry",
                UNREADABLE_RETRY_S,
            )
        return found

    def service_config(self, service: ServiceId) -> RoutedService | None:
        """Return the configuration of a service; None if the service is unknown."""
        return self.table.cfg.services.get(service) if self.table else None

    def divided_services(self) -> tuple[ServiceId, ...]:
        """Return the services that are divided by key."""
        if self.table is None:
            return ()
        services = self.table.cfg.services.values()
        return tuple(sorted(s.service for s in services if s.divided))

    def restored_at(self) -> Instant | None:
        """Return when this host saw the store come back from an older copy, if ever."""
        return self._cache.restored_at

    def ready_addresses(self) -> list[list[TargetAddress]]:
        """Return the addresses of the targets that are ready, by service."""
        by_service = defaultdict(list)
        for record in self.targets.values():
            if record.state is TargetState.READY:
                address = TargetAddress(record.target_id, record.ip, record.port)
                by_service[record.service].append(address)
        return list(by_service.values())

    def entry_learned_at(self, target_id: TargetId) -> Instant | None:
        """Return when the newest version of a target's entry arrived at this host.

        The target wrote it before.  Return None if the entry is missing, as after an
        outage in which it expired.
        """
        key = self._targets_prefix + target_id
        return None if self._cache.get(key) is None else self._cache.learned_at(key)

    def leaving_since(self, target_id: TargetId) -> Instant | None:
        """Return when a target may have begun to leave; None if it is not leaving."""
        record = self.targets.get(target_id)
        known = self._left.get(target_id)
        is_leaving = record is not None and record.state is TargetState.LEAVING
        return known.since if is_leaving and known is not None else None

    def evacuated_since(self, target_id: TargetId) -> Instant | None:
        """Return when the evacuation of a target may have begun; None if there is none.

        A target that is leaving may be evacuated as well.
        """
        record = self.targets.get(target_id)
        return None if record is None else self.evacuations.get(record.data_centre)

    def unready_since(self, target_id: TargetId) -> Instant | None:
        """Return since when a target may be leaving or evacuated; None if it is ready.

        Requests that another target may serve are not sent to it.
        """
        instants = self.leaving_since(target_id), self.evacuated_since(target_id)
        return min((at for at in instants if at is not None), default=None)

    def is_evacuated(self, service: ServiceId) -> bool:
        """Return whether no target of a service is ready because of evacuations."""
        if not self.evacuations:
            return False
        states = {r.state for r in self.targets.values() if r.service == service}
        return TargetState.EVACUATED in states and TargetState.READY not in states

    def report_leaving(
        self, target_id: TargetId, born_ms: int, source: str, age_s: float = 0.0
    ) -> bool:
        """Record that a target has said itself that it is leaving; it stays so.

        Return whether that was news.  The next `refresh` applies it.

        Parameters
        ----------
        born_ms : int
            The start of the target that said so; it says nothing of a later one.
        source : str
            ``answer``, or the host that passed it on.
        age_s : float
            Time since the target said it.
        """
        record = self.targets.get(target_id)
        if record is None or record.born_ms != born_ms:
            return False
        if record.state is TargetState.LEAVING:
            return False
        now = self._clock.now()
        said_at = Instant(now - age_s)
        self._note_leaving(target_id, born_ms, said_at, now)
        self._announced[target_id] = (born_ms, said_at)
        log.info(
            "routing: target says that it is leaving",
            extra={
                "target": target_id,
                "service": record.service,
                "born_ms": born_ms,
                "source": source,
                "age_s": round(age_s, 3),
            },
        )
        return True

    def announced_leaving(self) -> list[tuple[TargetId, int, float]]:
        """Return the targets that said themselves that they are leaving.

        The rows have the target, its start, and the time since it said so.
        """
        now = self._clock.now()
        return [
            (target_id, born_ms, round(now - said_at, 3))
            for target_id, (born_ms, said_at) in sorted(self._announced.items())
        ]

    def _refresh_config(self):
        stored = self._cache.get(self._config_key)
        if stored is None or stored.order == self._config_order:
            return False
        self._config_order = stored.order
        began_at = self._clock.now()
        try:
            cfg = self._decode_config(stored.value)
        except MalformedDocument as exc:
            self._log_unreadable(stored, exc)
            self._is_readable = False
            return False
        self._is_readable = True
        if cfg.generation <= self.generation():
            return False
        before, self.table = self.generation(), RouteTable(cfg)
        self._split.reset()
        self._log_in_force(stored, before, began_at)
        self._log_unreadable_fields(stored, cfg.unreadable)
        return True

    def _log_in_force(self, stored, before, began_at):
        """Log a configuration, with the time since its change by stage."""
        now = self._clock.now()
        learned_at = self._cache.learned_at(stored.key)
        changed_at = self._cache.changed_at(stored.key)
        is_dated = now - changed_at < LONGEST_AGE_S
        # The first one is in time whenever it comes.
        is_late = before > 0 and is_dated and now - changed_at > self._apply_s
        self.late_count += is_late
        log.log(
            logging.WARNING if is_late else logging.INFO,
            "routing: configuration in force",
            extra={
                "generation": self.generation(),
                "before": before,
                "store_version": stored.version,
                "routes": len(self.table.cfg.routes),
                "arrived_s": round(learned_at - changed_at, 3) if is_dated else None,
                "waited_ms": round((began_at - learned_at) * MS_PER_S, 1),
                "took_ms": round((now - began_at) * MS_PER_S, 1),
            },
        )

    def _refresh_evacuations(self):
        """Apply the entries that evacuate data centres.

        An entry that was written again began when it was first known, so that a
        second write does not lengthen the time for which owners get requests.
        """
        if self._evacuations_prefix is None:
            return
        found = {}
        for stored in self._cache.items(self._evacuations_prefix):
            name = stored.key.removeprefix(self._evacuations_prefix)
            data_centre = self._decode_evacuation(name, stored.value)
            since = self._cache.changed_at(stored.key)
            known = self.evacuations.get(data_centre)
            found[data_centre] = since if known is None else min(known, since)
        for data_centre in sorted(set(found) ^ set(self.evacuations)):
            began = data_centre in found
            since = found[data_centre] if began else self.evacuations[data_centre]
            age_s = self._clock.now() - since
            log.warning(
                "routing: evacuation began" if began else "routing: evacuation ended",
                extra={
                    "data_centre": data_centre,
                    "age_s": round(age_s, 3) if age_s < LONGEST_AGE_S else None,
                    **self._news_of(self._evacuations_prefix + data_centre),
                },
            )
        self.evacuations = found

    def _with_evacuation(self, record):
        """Return the record as evacuated if its data centre is, unless it leaves."""
        if record.state is TargetState.LEAVING:
            return record
        is_evacuated = record.data_centre in self.evacuations
        state = TargetState.EVACUATED if is_evacuated else TargetState.READY
        return record if record.state is state else replace(record, state=state)

    def _refresh_targets(self):
        now = self._clock.now()
        self._targets_count = self._cache.kind_change_count(self._targets_prefix)
        found = {}
        for stored in self._cache.items(self._targets_prefix):
            record = self._decode_record(stored)
            if record is not None:
                found[record.target_id] = self._with_final_state(record, now)
        for target_id, record in self.targets.items():
            if target_id not in found and self._may_reregister(target_id, now):
                found[target_id] = record
        for target_id in [name for name in self._missing_since if name not in found]:
            del self._missing_since[target_id]
        found = {name: self._with_evacuation(rec) for name, rec in found.items()}
        if found == self.targets:
            return False
        self._log_changes(found)
        self._forget_left(now)
        self.targets = found
        self._announced = {
            target_id: (born_ms, said_at)
            for target_id, (born_ms, said_at) in self._announced.items()
            if target_id in found and found[target_id].born_ms == born_ms
        }
        return True

    def _note_leaving(self, target_id, born_ms, since, now):
        """Remember that a target is leaving, and the earliest instant of that."""
        known = self._left.get(target_id)
        if known is not None and known.born_ms == born_ms:
            since = min(since, known.since)
        self._left[target_id] = _Departure(born_ms, since, now)

    def _with_final_state(self, record, now):
        """Return the record as leaving if this incarnation was known to be leaving.

        A target that leaves never takes work again, though a store that was restored
        from an older copy may say so.
        """
        if record.state is TargetState.LEAVING:
            since = self._changed_at(record.target_id)
            self._note_leaving(record.target_id, record.born_ms, since, now)
            return record
        known = self._left.get(record.target_id)
        if known is None or known.born_ms != record.born_ms:
            return record
        return replace(record, state=TargetState.LEAVING)

    def _forget_left(self, now):
        """Forget targets that have not been known to be leaving for long."""
        self._left = {
            target_id: known
            for target_id, known in self._left.items()
            if now - known.seen_at <= LEFT_MEMORY_S
        }

    def _changed_at(self, target_id):
        """Return when the store may have accepted a target's entry, at the earliest."""
        return self._cache.changed_at(self._targets_prefix + target_id)

    def _decode_record(self, stored):
        """Return the target record of an object; decode each version only once."""
        known = self._decoded.get(stored.key)
        if known is not None and known[0] == stored.order:
            return known[1]
        name = stored.key.removeprefix(self._targets_prefix)
        try:
            record = self._decode_target(name, stored.value)
        except MalformedDocument as exc:
            self._log_unreadable(stored, exc)
            record = None
        else:
            self._log_unreadable_fields(stored, record.unreadable)
        self._decoded[stored.key] = (stored.order, record)
        return record

    def _may_reregister(self, target_id, now):
        """Return whether a missing entry may have expired because of a store outage.

        The target could not renew its entry and is expected to register again.
        """
        last_outage_at = self._last_outage_at()
        if last_outage_at is None or now - last_outage_at > MAX_REREGISTRATION_S:
            self._missing_since.pop(target_id, None)
            return False
        return (
            now - self._missing_since.setdefault(target_id, now) <= MAX_REREGISTRATION_S
        )

    def _log_unreadable(self, stored, exc):
        if self._unreadable.get(stored.key) != stored.order:
            self._unreadable[stored.key] = stored.order
            self.unreadable_count += 1
            log.warning(
                "routing: object can't be read",
                extra={
                    "key": stored.key,
                    "version": stored.version,
                    "reason": str(exc),
                },
            )

    def _log_unreadable_fields(self, stored, faults):
        self.unreadable_count += len(faults)
        for fault in faults:
            log.warning(
                "routing: field can't be read",
                extra={
                    "key": stored.key,
                    "version": stored.version,
                    "entry": fault.entry,
                    "field": fault.name,
                    "value": fault.value,
                },
            )

    def _log_changes(self, found):
        for target_id in sorted(set(found) | set(self.targets)):
            before, after = self.targets.get(target_id), found.get(target_id)
            if not _is_alike(before, after):
                log.info(
                    "routing: target changed",
                    extra={
                        "target": target_id,
                        "service": (after or before).service,
                        "state": after.state.value if after else "gone",
                        "before": before.state.value if before else "unknown",
                        "born_ms": (after or before).born_ms,
                        **self._news_of(self._targets_prefix + target_id),
                    },
                )

    def _news_of(self, key):
        """Return what a log line says of the age of an entry.

        ``changed_s`` is the longest time for which the store may have had it.
        """
        now = self._clock.now()
        try:
            changed_at = self._cache.changed_at(key)
        except KeyError:  # the target is known by its own word only
            return {}
        return {
            "changed_s": round(now - changed_at, 3),
            "learned_s": round(now - self._cache.learned_at(key), 3),
        }

    def _make_entries(self):
        if self.table is None:
            return {}
        return {
            routed.service: ServiceEntry.of(TEAM, self._service(routed))
            for routed in self.table.cfg.services.values()
        }

    def _service(self, routed):
        targets = tuple(
            target_config(record, routed)
            for _, record in sorted(self.targets.items())
            if record.service == routed.service
            and (routed.divided or record.state is TargetState.READY)
        )
        return ServiceConfig(
            service=routed.service,
            path_prefix="/",
            key=None,
            shard_count=KEY_COUNT if routed.divided else 0,
            shards_per_page=KEY_COUNT,
            protected_methods=(),
            precedence=Precedence.NORMAL,
            wait_ms=1,
            max_body_bytes=self.table.cfg.limits.max_body_bytes,
            targets=targets,
        )


def _is_alike(before, after):
    """Return whether two records differ at most in how long the target stays cold.

    A cold target writes that every second; `Warmups` logs when it becomes cold.
    """
    if before is None or after is None:
        return before is after
    return replace(before, cold_s=after.cold_s) == after


def target_config(record: TargetRecord, routed: RoutedService) -> TargetConfig:
    """Return the target in the form that the request path and the schedulers use."""
    return TargetConfig(
        target_id=record.target_id,
        ip=record.ip,
        port=record.port,
        data_centre=record.data_centre,
        slots=max(1, record.slots),
        connections=max(1, routed.max_connections),
    )


def precedence_of(route: RouteConfig) -> Precedence:
    """Return the precedence of the route's requests when there are too few slots."""
    return Precedence(min(max(route.rank, 0), Precedence.LOW.value))


def request_kind(route: RouteConfig) -> str:
    """Return the kind of the route's requests, whose answer times are alike.

    It consists of rank, objective and route kind, because operators give routes for
    the same kind of work the same objective and rank.
    """
    return f"{route.rank}/{route.objective_s:g}/{route.kind.value}"
