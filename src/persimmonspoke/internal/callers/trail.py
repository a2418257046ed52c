"""Records the attempts of one request, for one log line at its end."""

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from persimmonspoke.ids import Fingerprint, HostId, Instant, RequestId, TargetId
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.routing.config import TableState

log = logging.getLogger(__name__)

MS_PER_S = 1000


class RequestStage(Enum):
    """What a request in flight waits for."""

    READING = "reading"
    """The caller, who has not sent the whole request."""
    WAITING = "waiting"
    """An owner, a slot, a connection, or the pause before another attempt."""
    FORWARDED = "forwarded"
    """Another host; the first byte of the request is written to it, or is next."""
    AT_TARGET = "at_target"
    """A target; the first byte of the request is written to it, or is next."""
    ANSWERING = "answering"
    """The rest of the answer, or the caller who reads it."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target.

    Attributes
    ----------
    fence : int or None
        Fence of the route to the target; None if the service is not divided by key.
    waited_ms, took_ms : float
        Time from the attempt's start until it got a slot, and from then to its end.
    outcome : str
        ``begun`` if an answer started, else the type and text of the failure.
    leaving_s : float or None
        How long the target may have been leaving when the first byte was written to
        it; None if it was not leaving, or nothing was written.
    proof_s : float or None
        Age of the proof that the known targets were the newest, at that moment.
    """

    target_id: TargetId
    fence: int | None
    waited_ms: float
    took_ms: float
    outcome: str
    leaving_s: float | None = None
    proof_s: float | None = None


@dataclass(slots=True)
class RequestTrail:
    """Collects what the log line about one request reports.

    Attributes
    ----------
    started_at : Instant
        When processing started, after the request's head had been read.
    req : CallerRequest or None
        None if the request could not be parsed.
    fingerprint : Fingerprint or None
        None if the request's body could not be read.
    forwarded_to : HostId or None
        The host that took the request from this one.
    stage : RequestStage
        What the request waits for.
    target_id : TargetId or None
        The target that has the request or has answered it.
    sent_at : Instant or None
        When the first byte was written to that target or to another host.
    leaving_s : float or None
        How long that target may have been leaving by then; None if it was not.
    proof_s : float or None
        Age of the proof by then that the known targets were the newest, if any.
    table : TableState or None
        The routing table by which a request without a route was refused.
    """

    request_id: RequestId
    clock: Clock
    started_at: Instant = Instant(0.0)
    req: CallerRequest | None = None
    fingerprint: Fingerprint | None = None
    attempts: list[Attempt] = field(default_factory=list)
    forwarded_to: HostId | None = None
    stage: RequestStage = RequestStage.READING
    target_id: TargetId | None = None
    sent_at: Instant | None = None
    leaving_s: float | None = None
    proof_s: float | None = None
    table: TableState | None = None

    def __post_init__(self):
        self.started_at = self.clock.now()

    def wait(self) -> None:
        """Record that the request waits on this host, and no target has it."""
        self.stage, self.target_id, self.sent_at = RequestStage.WAITING, None, None
        self.leaving_s = self.proof_s = None

    def send(
        self,
        target_id: TargetId | None,
        leaving_since: Instant | None = None,
        proven_at: Instant | None = None,
    ) -> None:
        """Record the first byte to a target, or to another host if `target_id` is None.

        A second send while the first exchange goes on changes nothing.

        Parameters
        ----------
        leaving_since : Instant or None
            Since when the target may be leaving; None if it is not.
        proven_at : Instant or None
            When the known targets were last proven to be the newest, if ever.
        """
        forwarded = target_id is None
        stage = RequestStage.FORWARDED if forwarded else RequestStage.AT_TARGET
        if stage is not self.stage:
            self.stage, self.target_id, self.sent_at = (
                stage,
                target_id,
                self.clock.now(),
            )
            if leaving_since is not None:
                self.leaving_s = round(self.sent_at - leaving_since, 3)
            if proven_at is not None:
                self.proof_s = round(self.sent_at - proven_at, 3)

    def add(
        self,
        target_id: TargetId,
        route,
        queued_at: Instant,
        slot_acquired_at: Instant,
        outcome: str,
    ) -> None:
        """Record one attempt that ends now.

        Parameters
        ----------
        route : Route or None
            None if the service is not divided by key.
        queued_at : Instant
            When the attempt started to wait for a slot.
        slot_acquired_at : Instant
            When it got the slot.
        """
        now = self.clock.now()
        self.attempts.append(
            Attempt(
                target_id,
                None if route is None else int(route.epoch),
                round((slot_acquired_at - queued_at) * MS_PER_S, 1),
                round((now - slot_acquired_at) * MS_PER_S, 1),
                outcome,
                self.leaving_s,
                self.proof_s,
            )
        )

    def was_tried(self, target_id: TargetId) -> bool:
        """Return whether there was an attempt at a target."""
        return any(attempt.target_id == target_id for attempt in self.attempts)

    def log(self, status: int | None, outcome: str, reason: str) -> None:
        """Write the log line.

        Parameters
        ----------
        status : int or None
            Status sent to the caller; None if no answer was sent.
        """
        log.info("callers: request ended", extra=self._fields(status, outcome, reason))

    def log_cut(self, status: int | None, reason: str) -> None:
        """Write the log line about a request that is broken off with this process.

        Parameters
        ----------
        status : int or None
            Status of an answer that has begun.
        """
        fields = self._fields(status, "cut", reason)
        fields["stage"] = self.stage.value
        fields["target"] = self.target_id
        if self.sent_at is not None:
            had_s = self.clock.now() - self.sent_at
            fields["target_had_ms"] = round(had_s * MS_PER_S, 1)
        log.warning("callers: request ended", extra=fields)

    def _fields(self, status, outcome, reason) -> dict[str, Any]:
        fields = {
            "request_id": self.request_id,
            "status": status,
            "outcome": outcome,
            "reason": reason,
            "took_ms": round((self.clock.now() - self.started_at) * MS_PER_S, 1),
            "attempts": [
                [a.target_id, a.fence, a.waited_ms, a.took_ms, a.outcome]
                for a in self.attempts
            ],
        }
        leaving = [a.leaving_s for a in self.attempts if a.leaving_s is not None]
        if leaving:
            fields["target_leaving_s"] = leaving
        proofs = [a.proof_s for a in self.attempts if a.proof_s is not None]
        if proofs:
            fields["targets_proven_s"] = proofs
        if self.forwarded_to is not None:
            fields["forwarded_to"] = self.forwarded_to
        if self.req is not None:
            if self.req.forwarded is not None:
                fields["forwarded_by"] = self.req.forwarded.host
            fields["service"] = self.req.entry.service.service
            fields["key"] = self.req.key
            fields["fingerprint"] = self.fingerprint
            fields["protected"] = self.req.protected
            fields["patience_ms"] = round(
                (self.req.deadline - self.started_at) * MS_PER_S
            )
            if self.req.route is not None:
                fields["route"] = self.req.route.name
        table = self.table if self.req is None else self.req.table
        if table is not None:
            fields["generation"] = table.generation
            fields["config_age_s"] = table.age_s
        return fields
