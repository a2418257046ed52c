"""The configuration that is generated from a team's questionnaire.

It is never edited.  It is stored together with its questionnaire, under one key and
one generation, so that both change atomically.
"""

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from persimmonspoke.ids import DataCentreId, Generation, ServiceId, TargetId, TeamId


class _FrozenModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class KeySource(Enum):
    """Part of a request that holds its key."""

    PATH = "path"
    QUERY = "query"
    HEADER = "header"


class Precedence(Enum):
    """Order in which waiting requests get slots; lower values go first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class Measure(Enum):
    """The measure that the placement of a team's keys favours."""

    UNAVAILABLE_TIME = "unavailable_time"
    IMBALANCE = "imbalance"
    CHURN = "churn"


STANDARD_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE")
)


class KeyRule(_FrozenModel):
    """The rule by which the key is extracted from a request.

    Attributes
    ----------
    name : str
        Query parameter or header that holds the key; for `PATH`, the number of the
        path segment after the service's prefix, from 0.
    """

    source: KeySource
    name: str


class TargetConfig(_FrozenModel):
    """One target of a service.

    Attributes
    ----------
    target_id : TargetId
        Unique among all teams.  It changes with the address and with
        `checks_fence`, so that one id never identifies two processes.
    """

    target_id: TargetId
    ip: str
    port: Annotated[int, Field(ge=1, le=65535)]
    data_centre: DataCentreId
    slots: Annotated[int, Field(ge=1)]
    connections: Annotated[int, Field(ge=1)]
    checks_fence: bool = True


class ServiceConfig(_FrozenModel):
    """One service of a team.

    Attributes
    ----------
    path_prefix : str
        Requests whose path after the team's name starts with this prefix belong to
        the service.
    shard_count : int
        Number of shards; 0 if the service is not divided by key.
    shards_per_page : int
        Number of shards in one page, which is one object of the store.
    protected_methods : tuple of str
        HTTP methods whose requests are not idempotent and run at most once.
    protected_precedence : Precedence or None
        Precedence of protected requests; None if it is the same as of the others.
    wait_ms : int
        Longest time that callers tolerate from the request to its answer.
    weight : int
        Weight of the service's share of targets, relative to the team's others.
    """

    service: ServiceId
    path_prefix: str
    key: KeyRule | None
    shard_count: Annotated[int, Field(ge=0)]
    shards_per_page: Annotated[int, Field(ge=1)]
    protected_methods: tuple[str, ...]
    precedence: Precedence
    protected_precedence: Precedence | None = None
    wait_ms: Annotated[int, Field(ge=1)]
    weight: Annotated[int, Field(ge=1)] = 1
    max_body_bytes: Annotated[int, Field(ge=0)]
    targets: tuple[TargetConfig, ...]

    @property
    def divided(self) -> bool:
        """Return whether each key is owned by one of the targets."""
        return self.shard_count > 0

    def protects(self, method: str) -> bool:
        """Return whether requests with `method` run at most once.

        A method that HTTP does not define is protected, because it is not known to
        be idempotent.
        """
        return method in self.protected_methods or method not in STANDARD_METHODS

    def precedence_for(self, protected: bool) -> Precedence:
        """Return the precedence of protected requests or of the others."""
        if protected and self.protected_precedence is not None:
            return self.protected_precedence
        return self.precedence


class RetiredService(_FrozenModel):
    """Fields of a removed service that must not differ if its name is reused."""

    service: ServiceId
    key: KeyRule | None
    shard_count: Annotated[int, Field(ge=0)]
    shards_per_page: Annotated[int, Field(ge=1)]


class TeamConfig(_FrozenModel):
    """The router's configuration of one team, at one generation."""

    team: TeamId
    generation: Generation
    questionnaire_hash: str
    measure: Measure
    weight: Annotated[int, Field(ge=1)] = 1
    services: tuple[ServiceConfig, ...]
    retired: tuple[RetiredService, ...] = ()
