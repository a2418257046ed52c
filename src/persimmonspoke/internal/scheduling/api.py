"""What the request path needs of the scheduler: a slot at a target."""

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
    """One request that waits for its turn."""

    team: TeamId
    service: ServiceConfig
    key: KeyText | None
    protected: bool
    deadline: Instant
    urgency: Precedence | None = None
    """Whose turn it is, where a route says so instead of the service."""
    objective: Instant | None = None
    """Until when an answer is worth most, where a route says so."""
    kind: str = ""
    """Requests of one kind take about the same time."""

    @property
    def precedence(self) -> Precedence:
        """Return whose turn it is to go first."""
        if self.urgency is not None:
            return self.urgency
        return self.service.precedence_for(self.protected)


class SlotOutcome(Enum):
    """What became of the request that used a slot."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Slot(Protocol):
    """Leave for one request to one target."""

    @property
    def target_id(self) -> TargetId:
        """The target whose slot this is."""

    @property
    def target(self) -> TargetConfig | None:
        """That target's entry, if it may be newer than what the request knows."""

    def done(self, outcome: SlotOutcome) -> None:
        """Give the slot back; a second call does nothing."""


class Scheduler(Protocol):
    """Queues in front of the targets."""

    def acquire(self, ticket: Ticket, candidates: tuple[TargetId, ...]) -> Slot:
        """Wait for a slot at one of `candidates`.

        Raises `Overloaded` when the request is shed and `DeadlinePassed` when its
        deadline passes first.
        """

    def may_retry(self, ticket: Ticket) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
