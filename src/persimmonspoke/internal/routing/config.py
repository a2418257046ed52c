"""The configuration of routed services: which request goes to which service."""

from dataclasses import dataclass, field
from enum import Enum

from persimmonspoke.ids import DataCentreId, Generation, ServiceId, TargetId


class RouteKind(Enum):
    """How often a request of a route may run."""

    SAFE = "safe"
    PROTECTED = "protected"
    """At most once for each request of a caller."""


@dataclass(frozen=True, slots=True)
class SplitPart:
    """One service of a route, and its share of the route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One route.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash.
    timeout_s : float
        Longest time that the operator lets a request wait.
    objective_s : float
        Time within which an answer is worth most.
    rank : int
        Whose turn comes first when slots are short; 0 goes first.
    max_attempts : int
        Most targets to which one request may be sent.
    parts : tuple of SplitPart
        At least one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    parts: tuple[SplitPart, ...]


@dataclass(frozen=True, slots=True)
class RoutedService:
    """One service.

    Attributes
    ----------
    max_connections : int
        Connections that each target accepts from all hosts together.
    divided : bool
        Whether each key has one owner among the targets.
    """

    service: ServiceId
    max_connections: int
    divided: bool


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the whole configuration."""

    generation: Generation
    routes: tuple[RouteConfig, ...]
    services: dict[ServiceId, RoutedService]
    limits: CallerLimits = field(default_factory=CallerLimits)


class TargetState(Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """One target, as it registered itself.

    Attributes
    ----------
    born_ms : int
        Unix time of the target's start; tells apart two lives under one id.
    cold_s : float
        How much longer the target is slow after its start.
    """

    target_id: TargetId
    service: ServiceId
    ip: str
    port: int
    data_centre: DataCentreId
    slots: int
    state: TargetState
    born_ms: int = 0
    cold_s: float = 0.0
