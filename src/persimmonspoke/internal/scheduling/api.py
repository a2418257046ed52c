"""Interface of the schedulers, which give requests slots at targets."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from persimmonspoke.ids import Instant, KeyText, TargetId, TeamId
from persimmonspoke.internal.questionnaire.configuration import (
    Precedence,
    ServiceConfig,
    TargetConfig,
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a scheduler has to know of one request."""

    team: TeamId
    service: ServiceConfig
    key: KeyText | None
    protected: bool
    deadline: Instant
    route_precedence: Precedence | None = None
    """Precedence given by the route; overrides that of the service."""
    objective: Instant | None = None
    """Instant by which the route wants the answer; later answers are worth less."""
    kind: str = ""
    """Requests of one kind take about the same time."""

    @property
    def precedence(self) -> Precedence:
        """Return the precedence of the request among waiting ones."""
        if self.route_precedence is not None:
            return self.route_precedence
        return self.service.precedence_for(self.protected)


class SlotOutcome(Enum):
    """How the request that used a slot ended at the target."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NO_PATH = "no_path"
    """Nothing was learned about the target: this host reaches none, or a slow caller
    decided how long the slot was in use."""


class Slot(Protocol):
    """Permission to send one request to one target."""

    @property
    def target_id(self) -> TargetId:
        """The target that the slot belongs to."""

    @property
    def target(self) -> TargetConfig | None:
        """The target's configuration, if it may be newer than the request's."""

    def done(self, outcome: SlotOutcome) -> None:
        """Release the slot; a second call does nothing."""


class Scheduler(Protocol):
    """Queues requests until a target has a free slot."""

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`.

        Raises `Overloaded` when the request is shed and `DeadlinePassed` when its
        deadline passes first.
        """

    def take_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether one was left."""
