"""What happened to one request, told by one log line at its end."""

import logging
from dataclasses import dataclass, field
from typing import Any

from persimmonspoke.ids import Instant, RequestId, TargetId
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.clock import Clock

log = logging.getLogger(__name__)

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target.

    Attributes
    ----------
    fence : int or None
        Fence of the route that led there.
    waited_ms, took_ms : float
        Time from the attempt's begin to its slot, and from there to its end.
    outcome : str
        ``begun`` for an answer, or the type of the failure.
    """

    target_id: TargetId
    fence: int | None
    waited_ms: float
    took_ms: float
    outcome: str


@dataclass(slots=True)
class RequestTrail:
    """Collects what decides about one request.

    Attributes
    ----------
    began : Instant
        When the request's head had been read.
    req : CallerRequest or None
        None if the request could not be read.
    """

    request_id: RequestId
    clock: Clock
    began: Instant = Instant(0.0)
    req: CallerRequest | None = None
    attempts: list[Attempt] = field(default_factory=list)

    def __post_init__(self):
        self.began = self.clock.now()

    def add(
        self, target_id: TargetId, route, asked: Instant, sent: Instant, outcome: str
    ) -> None:
        """Take in one attempt; `route` is None where keys have no owners."""
        now = self.clock.now()
        self.attempts.append(
            Attempt(
                target_id,
                None if route is None else int(route.epoch),
                round((sent - asked) * MS_PER_S, 1),
                round((now - sent) * MS_PER_S, 1),
                outcome,
            )
        )

    def log(self, status: int | None, outcome: str, reason: str) -> None:
        """Write the line.

        Parameters
        ----------
        status : int or None
            What the caller was answered; None if nothing.
        """
        log.info("callers: request ended", extra=self._fields(status, outcome, reason))

    def _fields(self, status, outcome, reason) -> dict[str, Any]:
        fields = {
            "request_id": self.request_id,
            "status": status,
            "outcome": outcome,
            "reason": reason,
            "took_ms": round((self.clock.now() - self.began) * MS_PER_S, 1),
            "attempts": [
                [a.target_id, a.fence, a.waited_ms, a.took_ms, a.outcome]
                for a in self.attempts
            ],
        }
        if self.req is not None:
            fields["service"] = self.req.entry.service.service
            fields["key"] = self.req.key
            fields["protected"] = self.req.protected
            fields["patience_ms"] = round((self.req.deadline - self.began) * MS_PER_S)
            if self.req.route is not None:
                fields["route"] = self.req.route.name
                fields["generation"] = self.req.generation
        return fields
