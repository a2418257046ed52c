"""What this host routes by now: the configuration in force, and the targets."""

import logging
from collections.abc import Callable

from persimmonspoke.errors import MalformedDocument, UnknownPath
from persimmonspoke.ids import Generation, Instant, ServiceId, TargetId, TeamId
from persimmonspoke.internal.callers.services import ServiceEntry
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.questionnaire.configuration import (
    Precedence,
    ServiceConfig,
    TargetConfig,
)
from persimmonspoke.internal.routing.config import (
    RouteConfig,
    RoutedService,
    RoutingConfig,
    TargetRecord,
    TargetState,
)
from persimmonspoke.internal.routing.splits import WeightedRoundRobin
from persimmonspoke.internal.routing.table import RouteTable

TEAM = TeamId("platform")
"""The platform has one configuration for all, so all services share one team."""

KEY_COUNT = 65536

MAX_REREGISTRATION_S = 2.2
"""How long an entry may be missing after an outage of the store: the platform says
that live targets are back within about 2 s."""

log = logging.getLogger(__name__)


class RoutingState:
    """The configuration in force on this host, and the targets that it knows.

    Parameters
    ----------
    board : NewsBoard
        Where the store's objects arrive.
    decode_config, decode_target : callable
        Read the platform's documents.
    last_outage_at : callable
        Returns when this host last lacked the store; None if it never did.

    Attributes
    ----------
    table : RouteTable or None
        None until a configuration is known.
    targets : dict of TargetId to TargetRecord
        All targets that may still be alive, leaving ones included.
    """

    def __init__(
        self,
        board: NewsBoard,
        clock: Clock,
        config_key: str,
        targets_prefix: str,
        decode_config: Callable[[dict], RoutingConfig],
        decode_target: Callable[[str, dict], TargetRecord],
        last_outage_at: Callable[[], Instant | None],
    ):
        self._board = board
        self._clock = clock
        self._config_key = config_key
        self._targets_prefix = targets_prefix
        self._decode_config = decode_config
        self._decode_target = decode_target
        self._last_outage_at = last_outage_at
        self._wheel = WeightedRoundRobin()
        self._unreadable: dict[str, int] = {}
        self._config_version: int | None = None
        self._read: dict[str, tuple[int, TargetRecord | None]] = {}
        self._missing: dict[TargetId, Instant] = {}
        self._entries: dict[ServiceId, ServiceEntry] = {}
        self._leaving: dict[TargetId, Instant] = {}
        self.table: RouteTable | None = None
        self.targets: dict[TargetId, TargetRecord] = {}

    def refresh(self) -> bool:
        """Take in the news; return whether anything has changed."""
        changed = self._refresh_config()
        if self._refresh_targets() or changed:
            self._entries = self._make_entries()
            return True
        return False

    def generation(self) -> Generation:
        """Return the version of the configuration in force; 0 before the first."""
        return self.table.cfg.generation if self.table else Generation(0)

    def entry(self, route: RouteConfig) -> ServiceEntry:
        """Return the service that the route's next request goes to."""
        found = self._entries.get(self._wheel.pick(route))
        if found is None:
            raise UnknownPath(f"route {route.name!r} names no service that exists")
        return found

    def service_config(self, service: ServiceId) -> RoutedService | None:
        """Return the service's configuration, if it has one."""
        return self.table.cfg.services.get(service) if self.table else None

    def divided_services(self) -> tuple[ServiceId, ...]:
        """Return the services whose keys have owners."""
        if self.table is None:
            return ()
        services = self.table.cfg.services.values()
        return tuple(sorted(s.service for s in services if s.divided))

    def leaving_since(self, target_id: TargetId) -> Instant | None:
        """Return when this host learned that a target leaves; None if it does not."""
        return self._leaving.get(target_id)

    def _refresh_config(self):
        stored = self._board.get(self._config_key)
        if stored is None or stored.version == self._config_version:
            return False
        self._config_version = stored.version
        try:
            cfg = self._decode_config(stored.value)
        except MalformedDocument as exc:
            self._note_unreadable(stored, exc)
            return False
        if cfg.generation <= self.generation():
            return False
        log.info(
            "routing: configuration in force",
            extra={
                "generation": cfg.generation,
                "before": self.generation(),
                "store_version": stored.version,
                "routes": len(cfg.routes),
            },
        )
        self.table = RouteTable(cfg)
        self._wheel.forget()
        return True

    def _refresh_targets(self):
        now = self._clock.now()
        found = {}
        for stored in self._board.items(self._targets_prefix):
            record = self._record(stored)
            if record is not None:
                found[record.target_id] = record
        for target_id, record in self.targets.items():
            if target_id not in found and self._may_return(target_id, now):
                found[target_id] = record
        for target_id in [name for name in self._missing if name not in found]:
            del self._missing[target_id]
        if found == self.targets:
            return False
        self._log_changes(found)
        self.targets = found
        self._leaving = {
            target_id: self._leaving.get(target_id, now)
            for target_id, record in found.items()
            if record.state is TargetState.LEAVING
        }
        return True

    def _record(self, stored):
        """Return the target of one object, read once for each version."""
        known = self._read.get(stored.key)
        if known is not None and known[0] == stored.version:
            return known[1]
        name = stored.key.removeprefix(self._targets_prefix)
        try:
            record = self._decode_target(name, stored.value)
        except MalformedDocument as exc:
            self._note_unreadable(stored, exc)
            record = None
        self._read[stored.key] = (stored.version, record)
        return record

    def _may_return(self, target_id, now):
        """Return whether a missing entry may only have lapsed with the store away."""
        disturbed = self._last_outage_at()
        if disturbed is None or now - disturbed > MAX_REREGISTRATION_S:
            self._missing.pop(target_id, None)
            return False
        return now - self._missing.setdefault(target_id, now) <= MAX_REREGISTRATION_S

    def _note_unreadable(self, stored, exc):
        if self._unreadable.get(stored.key) != stored.version:
            self._unreadable[stored.key] = stored.version
            log.warning(
                "routing: object can't be read",
                extra={
                    "key": stored.key,
                    "version": stored.version,
                    "reason": str(exc),
                },
            )

    def _log_changes(self, found):
        for target_id in sorted(set(found) | set(self.targets)):
            before, after = self.targets.get(target_id), found.get(target_id)
            if before != after:
                log.info(
                    "routing: target changed",
                    extra={
                        "target": target_id,
                        "service": (after or before).service,
                        "state": after.state.value if after else "gone",
                        "before": before.state.value if before else "unknown",
                        "born_ms": (after or before).born_ms,
                    },
                )

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


def target_config(record: TargetRecord, routed: RoutedService) -> TargetConfig:
    """Return the target as the request path and the scheduler read it."""
    return TargetConfig(
        target_id=record.target_id,
        ip=record.ip,
        port=record.port,
        data_centre=record.data_centre,
        slots=max(1, record.slots),
        connections=max(1, routed.max_connections),
    )


def precedence_of(route: RouteConfig) -> Precedence:
    """Return whose turn comes first when slots are short."""
    return Precedence(min(max(route.rank, 0), Precedence.LOW.value))


def request_kind(route: RouteConfig) -> str:
    """Return a name that routes share whose requests are alike.

    Operators give routes to one kind of work the same objective and rank.
    """
    return f"{route.rank}/{route.objective_s:g}/{route.kind.value}"
