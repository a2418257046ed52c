"""Exchanges with targets that this host ends before they have ended by themselves.

Once a request's first byte was sent, its exchange is ended for no other reason than
those of `EarlyEnd`.  Silence, and paths or owners that seem lost, are none: they may
begin a second exchange, see `second_sends`.
"""

import logging
from enum import Enum

from persimmonspoke.ids import Instant, RequestId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics

MS_PER_S = 1000

log = logging.getLogger(__name__)


class EarlyEnd(Enum):
    """Why this host ended an exchange that a target may have been working on."""

    ANSWERED_ELSEWHERE = "answered_elsewhere"
    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    BAD_ANSWER = "bad_answer"
    BODY_BROKE_OFF = "body_broke_off"
    INTERRUPTED = "interrupted"
    NOT_NEEDED = "not_needed"
    UNREAD = "unread"


class Stage(Enum):
    """How far an exchange has come."""

    SENDING = "sending"
    WAITING = "waiting"
    READING = "reading"


class EarlyEndRecorder:
    """Logs and counts the exchanges that this host has ended early."""

    def __init__(self, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics

    def record(
        self,
        reason: EarlyEnd,
        stage: Stage,
        request_id: RequestId,
        target_id: TargetId,
        sent_at: Instant,
        evidence: str,
        evidence_at: Instant,
    ) -> None:
        """Record the end of one exchange.

        Parameters
        ----------
        sent_at : Instant
            When the request's first byte was sent.
        evidence : str
            What was seen that justified the end.
        evidence_at : Instant
            When that was seen, or since when it holds.
        """
        now = self._clock.now()
        self._metrics.incr(f"targets.ended_early.{reason.value}")
        log.info(
            "targets: exchange ended early",
            extra={
                "request_id": request_id,
                "target": target_id,
                "stage": stage.value,
                "reason": reason.value,
                "evidence": evidence,
                "evidence_age_ms": round((now - evidence_at) * MS_PER_S, 1),
                "target_had_ms": round((now - sent_at) * MS_PER_S, 1),
            },
        )
