"""From a caller's request to the beginning of its answer: route, slot, attempts.

A request is written to a target again only if no earlier attempt can have run, or
if it is idempotent.
"""

import logging
from collections.abc import Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from functools import partial, singledispatch

from persimmonspoke import errors
from persimmonspoke.ids import Instant, KeyText, ServiceId, TargetId
from persimmonspoke.internal.callers.bodies import may_be_sent
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.callers.trail import RequestTrail
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics
from persimmonspoke.internal.ownership.api import Route, Routes
from persimmonspoke.internal.routing.state import precedence_of, request_kind
from persimmonspoke.internal.scheduling.api import (
    Scheduler,
    Slot,
    SlotOutcome,
    Ticket,
)
from persimmonspoke.internal.targets.api import GrantedShard
from persimmonspoke.internal.targets.request_api import (
    NOT_RUN_ERRORS,
    Body,
    TargetAnswer,
    TargetRequest,
    TargetRequests,
    always,
)

log = logging.getLogger(__name__)

ANSWER_LOST = "the request reached a target, and no whole answer came back"
DEADLINE_PASSED = "no target took the request before the deadline"

_REACHED_TARGET = (
    errors.TargetShed,
    errors.TargetDraining,
    errors.TargetFenced,
    errors.AnswerLost,
)
"""Errors of attempts that cost the target work; a repeat needs the retry budget."""


@singledispatch
def slot_outcome(exc: BaseException) -> SlotOutcome:
    """Return what the failure of an attempt says about the slot's target."""
    return SlotOutcome.CANCELLED


@slot_outcome.register(errors.TargetShed)
@slot_outcome.register(errors.TargetDraining)
def _(exc) -> SlotOutcome:
    return SlotOutcome.SHED


@slot_outcome.register(errors.TargetRefusedConnection)
@slot_outcome.register(errors.TargetUnreachable)
@slot_outcome.register(errors.AnswerLost)
def _(exc) -> SlotOutcome:
    return SlotOutcome.FAILED


@singledispatch
def caller_error(exc: errors.TargetError) -> errors.NotRun:
    """Return what the caller is told of an attempt that did not run."""
    return errors.NoOwnerYet("no target that owns the key could take the request")


@caller_error.register(errors.TargetShed)
@caller_error.register(errors.TargetDraining)
def _(exc) -> errors.NotRun:
    return errors.Overloaded("the target did not take the request")


class WorkObserver:
    """Hears of keys and targets; this one takes no notice."""

    def asked(self, service: ServiceId, key: KeyText) -> None:
        """Hear of a request for a key."""

    def answered(self, target_id: TargetId, took_s: float) -> None:
        """Hear of an answer."""

    def failed(self, target_id: TargetId) -> None:
        """Hear of an attempt without an answer."""


class RunningAnswer:
    """An answer that has begun, and what it holds until it has been passed on.

    Attributes
    ----------
    head : bytes
        The first part of the body; all of it if the answer was short.
    """

    def __init__(self, answer: TargetAnswer, head, rest, slot: Slot, flight):
        self.status = answer.status
        self.headers = answer.headers
        self.head: bytes = head
        self._rest: Iterator[bytes] = rest
        self._answer = answer
        self._slot = slot
        self._flight: AbstractContextManager[None] = flight
        self._closed = False
        self._outcome = SlotOutcome.CANCELLED

    def rest(self) -> Iterator[bytes]:
        """Yield what follows `head`; raise `AnswerLost` if it ends early."""
        try:
            yield from self._rest
        except errors.AnswerLost:
            self._outcome = SlotOutcome.FAILED
            raise
        self.finish()

    def finish(self) -> None:
        """Take note that the whole answer has arrived."""
        self._outcome = SlotOutcome.ANSWERED
        self.close()

    def close(self) -> None:
        """Give back what the answer held; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        self._answer.close()
        self._slot.done(self._outcome)
        if self._outcome is SlotOutcome.ANSWERED:
            self._flight.__exit__(None, None, None)
            return
        lost = errors.AnswerLost("the answer was not read to its end")
        self._flight.__exit__(type(lost), lost, None)


@dataclass
class _Progress:
    """What earlier attempts at one request have left behind."""

    pause_s: float
    trail: RequestTrail
    may_have_run: bool = False
    sends: int = 0
    avoided: set[TargetId] = field(default_factory=set)

    def candidates(self, entry) -> tuple[TargetId, ...]:
        """Return the targets of an undivided service that are worth an attempt."""
        if not self.avoided:
            return entry.target_ids
        kept = tuple(name for name in entry.target_ids if name not in self.avoided)
        if not kept:
            self.avoided.clear()
        return kept or entry.target_ids


class RequestRunner:
    """Has targets answer callers' requests."""

    def __init__(
        self,
        cfg: CallerSettings,
        routes: Routes,
        scheduler: Scheduler,
        requests: TargetRequests,
        clock: Clock,
        metrics: Metrics,
        observer: WorkObserver | None = None,
    ):
        self._cfg = cfg
        self._observer = observer or WorkObserver()
        self._routes = routes
        self._scheduler = scheduler
        self._requests = requests
        self._clock = clock
        self._metrics = metrics

    def run(
        self, req: CallerRequest, body: Body, trail: RequestTrail | None = None
    ) -> RunningAnswer:
        """Return the answer once it has begun, or raise `RequestFailure`."""
        ticket = Ticket(
            team=req.entry.team,
            service=req.entry.service,
            key=req.key,
            protected=req.protected,
            deadline=req.deadline,
            route_precedence=precedence_of(req.route) if req.route else None,
            objective=req.objective,
            kind=request_kind(req.route) if req.route else "",
        )
        if req.key is not None:
            self._observer.asked(req.entry.service.service, req.key)
        trail = trail or RequestTrail(req.request_id, self._clock)
        progress = _Progress(self._cfg.retry_pause_s, trail)
        try:
            while True:
                answer = self._attempt(req, body, ticket, progress)
                if answer is not None:
                    return answer
        except errors.NotRun as exc:
            if progress.may_have_run:
                raise errors.OutcomeUnknown(
                    "an earlier attempt may have run, and no later one did"
                ) from exc
            raise

    def _attempt(self, req, body, ticket, progress) -> RunningAnswer | None:
        """Return the answer, or None after a failure that allows another attempt."""
        route = self._route(req)
        if route is None:
            candidates = progress.candidates(req.entry)
        else:
            candidates = (route.target.target_id,)
        began = self._clock.now()
        try:
            slot = self._scheduler.acquire(ticket, candidates)
        except errors.OwnerChanged:
            return None
        except errors.NoOwnerYet:
            # The owner takes no new work, so its shards are about to move.
            self._metrics.incr("callers.waits_for_owner")
            self._pause(req, route, progress)
            return None
        self._timing("slot_wait", began)
        progress.sends += 1
        sent = self._clock.now()
        target_id = slot.target_id
        try:
            answer = self._send(req, body, route, slot)
            progress.trail.add(target_id, route, began, sent, "begun")
            return answer
        except BaseException as exc:
            reason = f"{type(exc).__name__}: {exc}"
            progress.trail.add(target_id, route, began, sent, reason)
            if not isinstance(exc, (*NOT_RUN_ERRORS, errors.AnswerLost)):
                raise
            self._note(exc, route, slot, progress)
            if isinstance(exc, errors.RouteLapsed):
                # Nothing was written, and the next look may find another owner.
                progress.sends -= 1
            self._check_retry(exc, req, body, ticket, progress)
        self._pause(req, route, progress)
        return None

    def _route(self, req) -> Route | None:
        service = req.entry.service
        if not service.divided:
            return None
        try:
            return self._routes.find(req.entry.team, service, req.key)
        except errors.NoOwnerYet:
            self._metrics.incr("callers.waits_for_owner")
        began = self._clock.now()
        try:
            team = req.entry.team
            return self._routes.wait(team, service, req.key, req.deadline)
        finally:
            self._timing("owner_wait", began)

    def _timing(self, name, began):
        """Record the time since `began`."""
        self._metrics.timing(f"callers.{name}", 1000 * (self._clock.now() - began))

    def _send(self, req, body, route, slot) -> RunningAnswer:
        target_req = self._target_request(req, body, route, slot.target_id)
        began = self._clock.now()
        flight = nullcontext() if route is None else self._routes.in_flight(route)
        if route is None:
            target = slot.target or req.entry.targets[slot.target_id]
        else:
            target = route.target
        flight.__enter__()
        try:
            answer = self._requests.send(target, target_req)
            running = self._begun(answer, slot, flight)
            self._observer.answered(slot.target_id, self._clock.now() - began)
            return running
        except BaseException as exc:
            if isinstance(exc, errors.TargetError):
                self._observer.failed(slot.target_id)
            slot.done(slot_outcome(exc))
            flight.__exit__(type(exc), exc, exc.__traceback__)
            raise

    def _target_request(self, req, body, route, target_id) -> TargetRequest:
        shard, may_send = None, always
        if route is not None:
            shard = GrantedShard(route.shard, route.epoch)
            may_send = partial(self._routes.may_send, route)
        return TargetRequest(
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=body,
            deadline=req.deadline,
            request_id=req.request_id,
            protected=req.protected,
            shard=shard,
            target_id=target_id,
            may_send=may_send,
        )

    def _begun(self, answer, slot, flight) -> RunningAnswer:
        """Read a short answer whole, and of a longer one the first piece."""
        chunks = answer.chunks()
        length = _content_length(answer.headers)
        try:
            if length is not None and length <= self._cfg.buffered_bytes:
                running = RunningAnswer(answer, b"".join(chunks), (), slot, flight)
                running.finish()
                return running
            return RunningAnswer(answer, next(chunks, b""), chunks, slot, flight)
        except BaseException:
            answer.close()
            raise

    def _note(self, exc, route, slot, progress) -> None:
        """Take note of a failed attempt."""
        self._metrics.incr("callers.failed_attempts")
        log.debug(
            "callers: attempt failed",
            extra={"target": slot.target_id, "reason": str(exc)},
        )
        if isinstance(exc, errors.AnswerLost):
            progress.may_have_run = True
        if route is None:
            progress.avoided.add(slot.target_id)
        elif isinstance(exc, errors.TargetFenced):
            self._routes.refused(route)

    def _check_retry(self, exc, req, body, ticket, progress) -> None:
        """Return if another attempt is allowed, or raise what ends the request."""
        if isinstance(exc, errors.AnswerLost) and (
            req.protected or not may_be_sent(body)
        ):
            raise errors.OutcomeUnknown(ANSWER_LOST) from exc
        if not may_be_sent(body):
            raise caller_error(exc) from exc
        if self._clock.now() >= req.deadline:
            raise _too_late(exc) from exc
        if req.route is not None and progress.sends >= req.route.max_attempts:
            if isinstance(exc, errors.AnswerLost):
                raise errors.OutcomeUnknown(ANSWER_LOST) from exc
            raise caller_error(exc) from exc
        if isinstance(exc, _REACHED_TARGET) and not self._scheduler.take_retry(ticket):
            if isinstance(exc, errors.AnswerLost):
                raise errors.OutcomeUnknown(ANSWER_LOST) from exc
            raise caller_error(exc) from exc
        self._metrics.incr("callers.retries")

    def _pause(self, req, route, progress) -> None:
        """Wait before another attempt at the same target."""
        untried = len(progress.avoided) < len(req.entry.target_ids)
        if route is None and progress.avoided and untried:
            return
        until = min(self._clock.now() + progress.pause_s, req.deadline)
        progress.pause_s = min(2 * progress.pause_s, self._cfg.longest_retry_pause_s)
        self._clock.sleep_until(Instant(until))
        if self._clock.now() >= req.deadline:
            raise errors.DeadlinePassed(DEADLINE_PASSED)


def _too_late(exc) -> errors.RequestFailure:
    if isinstance(exc, errors.AnswerLost):
        return errors.OutcomeUnknown(ANSWER_LOST)
    return errors.DeadlinePassed(DEADLINE_PASSED)


def _content_length(headers) -> int | None:
    for name, value in headers:
        if name.lower() == "content-length":
            return int(value) if value.isascii() and value.isdigit() else None
    return None
