"""Routes, services and targets, as decoded from the platform's documents."""

from dataclasses import dataclass, field
from enum import Enum

from persimmonspoke.ids import DataCentreId, Generation, ServiceId, TargetId


class RouteKind(Enum):
    """Whether requests of a route may be executed more than once."""

    SAFE = "safe"
    PROTECTED = "protected"
    """At most one execution for each request of a caller."""
    UNREADABLE = "unreadable"
    """Not known, because the route can't be read; its requests are refused."""


@dataclass(frozen=True, slots=True)
class SplitPart:
    """One service of a route, with its weight among the route's services."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One route.

    Attributes
    ----------
    prefix : str
        Prefix of the request path; begins and ends with a slash.
    timeout_s : float
        Maximum time from the arrival of a request to its answer, set by the operator.
    objective_s : float
        Desired answer time, counted from the caller's first attempt; later answers
        are worth less.
    rank : int
        Priority when there are too few slots; 0 is served first.
    max_attempts : int
        Maximum number of targets to which one request may be sent.
    parts : tuple of SplitPart
        Services that share the requests of the route, at least one.
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
    warmup_s : float
        How long a target is cold after a start during traffic; 0 if it never is.
    cold_limit_per_s : float
        Requests a second that a cold target bears, from all hosts together; 0 if
        there is no limit.
    """

    service: ServiceId
    max_connections: int
    divided: bool
    warmup_s: float = 0.0
    cold_limit_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of what callers send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class UnreadableField:
    """A field of a document that can't be read; the rest of the document is used.

    Attributes
    ----------
    entry : str
        Name of the route, service or table that the field belongs to.
    value : str
        The value, shortened.
    """

    entry: str
    name: str
    value: str


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the whole configuration.

    Attributes
    ----------
    unreadable : tuple of UnreadableField
        Fields that could not be read and were replaced by defaults, or whose entry
        was left out.
    """

    generation: Generation
    routes: tuple[RouteConfig, ...]
    services: dict[ServiceId, RoutedService]
    limits: CallerLimits = field(default_factory=CallerLimits)
    unreadable: tuple[UnreadableField, ...] = ()


@dataclass(frozen=True, slots=True)
class TableState:
    """What a host knows of its routing table when it decides by it.

    Attributes
    ----------
    age_s : float or None
        Time since the table was last known to be the newest; None if it never was.
    """

    generation: Generation
    age_s: float | None


class TargetState(Enum):
    """The state that a target has registered, unless its data centre is evacuated."""

    READY = "ready"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    """Its data centre is evacuated; unlike `LEAVING`, this state ends."""


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """The registration of one target.

    Attributes
    ----------
    born_ms : int
        Unix time of the target's start; distinguishes incarnations with the same id.
    cold_s : float or None
        Time for which the target stayed cold when it wrote this; None if it did not
        say, or not readably.
    unreadable : tuple of UnreadableField
        Fields that could not be read and count as missing.
    """

    target_id: TargetId
    service: ServiceId
    ip: str
    port: int
    data_centre: DataCentreId
    slots: int
    state: TargetState
    born_ms: int = 0
    cold_s: float | None = None
    unreadable: tuple[UnreadableField, ...] = ()
