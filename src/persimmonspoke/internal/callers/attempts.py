"""Finds a route and a slot for a caller's request and sends it to a target.

A request is sent again only if no earlier attempt can have run, or if the request
is idempotent.
"""

import logging
import re
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field, replace
from functools import partial, singledispatch
from http import HTTPStatus

from persimmonspoke import errors
from persimmonspoke.ids import Instant, KeyText, RequestId, ServiceId, TargetId
from persimmonspoke.internal.callers.bodies import is_replayable
from persimmonspoke.internal.callers.fingerprint import fingerprint_of
from persimmonspoke.internal.callers.read_ahead import AnswerReader, ReadAheadBuffers
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.callers.trail import RequestTrail
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.forwarding.forwarder import NO_HOST_RETRY_S, Forwarder
from persimmonspoke.internal.observe.api import Metrics
from persimmonspoke.internal.ownership.api import Route, Routes
from persimmonspoke.internal.quarantine.settings import QuarantineSettings
from persimmonspoke.internal.quarantine.suspects import Suspects
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.routing.fresh_targets import FreshTargets
from persimmonspoke.internal.routing.state import precedence_of, request_kind
from persimmonspoke.internal.scheduling.api import (
    Scheduler,
    Slot,
    SlotOutcome,
    Ticket,
)
from persimmonspoke.internal.targets.api import GrantedShard, TargetAddress
from persimmonspoke.internal.targets.paths import TargetPaths, always_open
from persimmonspoke.internal.targets.request_api import (
    NOT_RUN_ERRORS,
    Body,
    TargetAnswer,
    TargetRequest,
    TargetRequests,
    always_allowed,
)
from persimmonspoke.internal.targets.rests import TargetRests, no_rests
from persimmonspoke.internal.targets.warmups import Warmups, no_warmups

log = logging.getLogger(__name__)

_LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)

ANSWER_LOST = "the request reached a target, and no whole answer came back"
DEADLINE_PASSED = "no target took the request before the deadline"

MAX_QUIET_S = 1.0  # while kept connections still answer, they are used

NOT_SENT_ERRORS = (errors.TargetRefusedConnection, errors.TargetUnreachable)
"""Errors of a connection, after which nothing has reached a target."""

LATE_WAIT_IN_FRONT_S = 0.1
"""Longest wait for a slot of a late request with others behind it."""

_REACHED_TARGET = (
    errors.TargetFull,
    errors.TargetShed,
    errors.TargetDraining,
    errors.TargetFenced,
    errors.AnswerLost,
)
"""Errors after which the target has already spent work on the attempt, or is full.

A retry after one of them consumes retry budget.
"""


@singledispatch
def slot_outcome(exc: BaseException) -> SlotOutcome:
    """Return the outcome that the scheduler records for a failed attempt."""
    return SlotOutcome.CANCELLED


@slot_outcome.register(errors.TargetFull)
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
    """Return the error sent to the caller for an attempt that did not run."""
    return errors.NoOwnerYet("no target that owns the key could take the request")


@caller_error.register(errors.TargetShed)
@caller_error.register(errors.TargetDraining)
def _(exc) -> errors.NotRun:
    return errors.Overloaded("the target did not take the request")


@caller_error.register
def _(exc: errors.TargetFull) -> errors.NotRun:
    message = "the target resets new connections"
    return errors.Overloaded(message, retry_after_s=exc.retry_after_s)


def may_be_unreached(exc: BaseException) -> bool:
    """Return whether nothing was sent because the target may not be reached.

    A full target was reached: it has reset a connection.
    """
    return isinstance(exc, NOT_SENT_ERRORS) and not isinstance(exc, errors.TargetFull)


class WorkObserver:
    """Base class for observers of requests and attempts; its methods do nothing."""

    def record_request(self, service: ServiceId, key: KeyText) -> None:
        """Record a request for a key."""

    def record_answer(
        self,
        target_id: TargetId,
        took_s: float,
        service: ServiceId | None = None,
        kind: str = "",
    ) -> None:
        """Record an attempt that was answered after `took_s` seconds.

        Parameters
        ----------
        service : ServiceId or None
            Service of the request if it is divided among owners of keys.
        kind : str
            Requests of the same kind take about the same time.
        """

    def record_failure(self, target_id: TargetId) -> None:
        """Record an attempt that got no answer."""


class _NoSlot:
    """Stands for the slot of a request that another host sends to a target."""

    def done(self, outcome: SlotOutcome) -> None:
        """Do nothing: the other host releases the slot."""


class AnswerStream:
    """An answer that has started, and whose body may still be arriving.

    It holds the slot, and for a service divided by key the in-flight count of the
    route, until the target's answer has been read to its end or is closed.

    Attributes
    ----------
    head : bytes
        The first chunk of the body; the whole body if the answer is short.
    on_end : callable
        Called when the body has ended: with None if it is whole, else with the
        `AnswerLost`.
    """

    def __init__(self, answer: TargetAnswer, head, rest, slot: Slot, in_flight_context):
        self.on_end: Callable[[errors.AnswerLost | None], None] = lambda exc: None
        self.status = answer.status
        self.headers = answer.headers
        self.head: bytes = head
        self._rest: Iterator[bytes] = rest
        self._reader: AnswerReader | None = None
        self._answer = answer
        self._slot = slot
        self._in_flight_context: AbstractContextManager[None] = in_flight_context
        self._closed = False
        self._outcome = SlotOutcome.CANCELLED

    def read_ahead(
        self, buffers: ReadAheadBuffers, deadline: Instant, request_id: RequestId
    ) -> None:
        """Begin to read the rest of the answer, whether or not the caller reads it."""
        if not self._closed:
            self._reader = AnswerReader(
                buffers, self._rest, deadline, request_id, self._end
            )

    def rest(self) -> Iterator[bytes]:
        """Yield the body after `head`; raise `AnswerLost` if it ends early."""
        if self._reader is not None:
            yield from self._reader.chunks()
        elif not self._closed:
            raise errors.AnswerLost("nobody reads the rest of the answer")

    def _end(self, exc):
        """Release what the answer holds, once its target has no more to do with it."""
        if exc is None:
            self.finish()
            return
        self._outcome = SlotOutcome.FAILED
        self._release()
        self.on_end(exc)

    def finish(self) -> None:
        """Record that the whole answer has arrived, and release what it holds."""
        self._outcome = SlotOutcome.ANSWERED
        self._release()
        self.on_end(None)

    @property
    def is_whole(self) -> bool:
        """Return whether the whole answer has arrived."""
        return self._outcome is SlotOutcome.ANSWERED

    def close(self) -> None:
        """Stop reading, and release the slot and the in-flight count if they are held.

        Further calls do nothing.
        """
        if self._reader is not None:
            self._reader.stop()
        self._release()

    def _release(self):
        if self._closed:
            return
        self._closed = True
        self._answer.close()
        has_waited = self._reader is not None and self._reader.has_waited
        self._slot.done(SlotOutcome.NO_PATH if has_waited else self._outcome)
        if self._outcome is SlotOutcome.ANSWERED:
            self._in_flight_context.__exit__(None, None, None)
            return
        lost = errors.AnswerLost("the answer was not read to its end")
        self._in_flight_context.__exit__(type(lost), lost, None)


@dataclass
class _RetryState:
    """State carried between the attempts of one request.

    Attributes
    ----------
    next_pause_s : float
        Pause before the next attempt; it doubles up to `longest_retry_pause_s`.
    may_have_run : bool
        Whether an earlier attempt may have run at a target.
    counted_attempts : int
        Attempts that count against the route's limit.
    failed_targets : set of TargetId
        Targets of a service that is not divided by key which failed; cleared once
        all of them have.
    """

    next_pause_s: float
    trail: RequestTrail
    may_have_run: bool = False
    counted_attempts: int = 0
    failed_targets: set[TargetId] = field(default_factory=set)

    def candidates(self, entry) -> tuple[TargetId, ...]:
        """Return the targets of a service not divided by key that have not failed.

        When all have failed, forget the failures and return all targets.
        """
        if not self.failed_targets:
            return entry.target_ids
        remaining = tuple(
            name for name in entry.target_ids if name not in self.failed_targets
        )
        if not remaining:
            self.failed_targets.clear()
        return remaining or entry.target_ids


class RequestRunner:
    """Sends callers' requests to targets, with retries.

    Parameters
    ----------
    attempt_fields : frozenset of str
        Lower-case names of the protocol's header fields that belong to one attempt.
    suspects : Suspects
        Requests under which targets end; by default this host has its own.
    incarnation_of : callable
        Returns a text that tells one start of a target from another.
    paths : TargetPaths
        This host's paths to the targets; by default they are never cut.
    forwarder : Forwarder or None
        Takes the requests of this host while its paths are cut.
    rests : TargetRests
        The targets that want nothing from this host.
    unready_since : callable
        Returns since when a target may be leaving or evacuated; None if it is ready.
        Another target gets no second send, and no request that a ready one may serve.
    warmups : Warmups
        The cold targets, which get no second send.
    targets_proven_at : callable
        Returns when the entries of the targets were last proven to be the newest, if
        ever.
    fresh_targets : FreshTargets or None
        Decides whether requests may be sent by the present list of targets; by default
        they always may.

    Attributes
    ----------
    read_ahead : ReadAheadBuffers
        The buffers of the answers that are read ahead of their callers.
    """

    def __init__(
        self,
        cfg: CallerSettings,
        routes: Routes,
        scheduler: Scheduler,
        requests: TargetRequests,
        clock: Clock,
        metrics: Metrics,
        observer: WorkObserver | None = None,
        attempt_fields: frozenset[str] = frozenset(),
        suspects: Suspects | None = None,
        incarnation_of: Callable[[TargetId], str] = str,
        paths: TargetPaths | None = None,
        forwarder: Forwarder | None = None,
        rests: TargetRests | None = None,
        unready_since: Callable[[TargetId], Instant | None] = lambda target_id: None,
        warmups: Warmups | None = None,
        targets_proven_at: Callable[[], Instant | None] = lambda: None,
        fresh_targets: FreshTargets | None = None,
    ):
        self._fresh_targets = fresh_targets
        self._targets_proven_at = targets_proven_at
        self._unready_since = unready_since
        self._rests = no_rests(clock) if rests is None else rests
        self._warmups = no_warmups(clock) if warmups is None else warmups
        self._forwarder = forwarder
        self._paths = always_open(clock) if paths is None else paths
        self._cfg = cfg
        self._attempt_fields = attempt_fields
        self._suspects = suspects or Suspects(QuarantineSettings(), clock)
        self._incarnation_of = incarnation_of
        self._observer = observer or WorkObserver()
        self._routes = routes
        self._scheduler = scheduler
        self._requests = requests
        self._clock = clock
        self._metrics = metrics
        self.read_ahead = ReadAheadBuffers(cfg, clock, metrics)

    def run(
        self, req: CallerRequest, body: Body, trail: RequestTrail | None = None
    ) -> AnswerStream:
        """Return the answer once its body starts, or raise `RequestFailure`."""
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
        if req.key is not None and req.forwarded is None:
            self._observer.record_request(req.entry.service.service, req.key)
        trail = trail or RequestTrail(req.request_id, self._clock)
        trail.fingerprint = fingerprint_of(req, body, self._attempt_fields)
        retry_state = _RetryState(self._cfg.retry_pause_s, trail)
        if req.forwarded is not None:
            retry_state.may_have_run = req.forwarded.may_have_run
            retry_state.counted_attempts = req.forwarded.attempts
        try:
            while True:
                answer = self._attempt(req, body, ticket, retry_state)
                if answer is not None:
                    answer.read_ahead(self.read_ahead, req.deadline, req.request_id)
                    return answer
        except errors.NotRun as exc:
            if retry_state.may_have_run:
                raise errors.OutcomeUnknown(
                    "an earlier attempt may have run, and no later one did"
                ) from exc
            raise

    def _must_forward(self, req, target_id):
        """Return whether another host has to take the request.

        Parameters
        ----------
        target_id : TargetId or None
            The target that has to serve the request; None if any target may.

        Raises
        ------
        PathsCut
            Another host has forwarded the request to this one, so this one can't; or
            no host can serve it.
        """
        if target_id is None:
            is_reached = not self._paths.is_cut
        else:
            is_reached = self._paths.reaches(target_id)
        if is_reached or self._forwarder is None:
            return False
        if req.forwarded is not None:
            raise errors.PathsCut("this host does not reach the target either")
        if self._forwarder.is_possible(target_id):
            return True
        if self._paths.is_cut and self._paths.quiet_s > MAX_QUIET_S:
            raise errors.PathsCut("no host reaches a target", NO_HOST_RETRY_S)
        return False

    def _forward(self, req, body, ticket, retry_state, target_id):
        """Let another host serve the request; see `_attempt`."""
        trail = retry_state.trail
        trail.wait()
        try:
            trail.forwarded_to, answer = self._forwarder.send(
                req,
                body,
                target_id,
                retry_state.counted_attempts,
                retry_state.may_have_run,
                partial(self._take_second_send, ticket),
                partial(trail.send, None),
            )
            stream = self._start_answer(answer, _NoSlot(), nullcontext())
        except errors.AnswerLost as exc:
            trail.wait()
            retry_state.counted_attempts += 1
            retry_state.may_have_run = True
            self._metrics.incr("callers.forwards_lost")
            self._check_retry(exc, req, body, ticket, retry_state)
            return None
        self._metrics.incr("callers.forwarded")
        return stream

    def _attempt(self, req, body, ticket, retry_state) -> AnswerStream | None:
        """Make one attempt.

        Return the answer, None after a failure that allows another attempt, or
        raise the error that ends the request.
        """
        trail = retry_state.trail
        trail.wait()
        is_trial = self._suspects.check(trail.fingerprint, trail.request_id)
        if self._fresh_targets is not None:
            self._fresh_targets.wait(req.deadline)
        route = self._route(req)
        owner = None if route is None else route.target.target_id
        if self._must_forward(req, owner):
            return self._forward(req, body, ticket, retry_state, owner)
        candidates = retry_state.candidates(req.entry) if owner is None else (owner,)
        started_at = self._clock.now()
        try:
            slot = self._scheduler.acquire(
                self._slot_ticket(req, ticket, retry_state), candidates
            )
        except errors.OwnerChanged:
            return None
        except errors.NoOwnerYet:
            # The owner accepts no new requests because its shards are about to move.
            self._metrics.incr("callers.waits_for_owner")
            self._pause(req, route, retry_state)
            return None
        self._record_time("slot_wait", started_at)
        retry_state.counted_attempts += 1
        slot_acquired_at = self._clock.now()
        target_id = slot.target_id
        if not self._paths.reaches(target_id) and self._forwarder is not None:
            # The path may have been lost while the request waited for the slot.
            slot.done(SlotOutcome.NO_PATH)
            retry_state.counted_attempts -= 1
            if self._must_forward(req, target_id):
                return self._forward(req, body, ticket, retry_state, owner)
            raise errors.PathsCut("no host reaches the target", NO_HOST_RETRY_S)
        try:
            target = self._target(req, route, slot)
            may_send = always_allowed
            if not is_trial:
                may_send = partial(self._suspects.allows, trail.fingerprint)
            may_send = partial(
                self._may_use_slot, target_id, slot_acquired_at, may_send
            )
            target_req = self._target_request(req, body, route, target_id, may_send)
            target_req = replace(
                target_req,
                before_write=lambda: trail.send(
                    target_id,
                    self._unready_since(target_id),
                    self._targets_proven_at(),
                ),
            )
            target_req = self._with_second_sends(
                target_req, req, ticket, retry_state, owner
            )
            if trail.was_tried(target_id):
                target_req = replace(target_req, repeated=True)
            answer = self._send(target, target_req, route, slot, ticket)
            answer.on_end = partial(self._on_answer_end, target, trail, answer.status)
            if answer.is_whole:
                answer.on_end(None)
            trail.add(target_id, route, started_at, slot_acquired_at, "begun")
            return answer
        except BaseException as exc:
            reason = f"{type(exc).__name__}: {exc}"
            trail.add(target_id, route, started_at, slot_acquired_at, reason)
            trail.wait()
            if not isinstance(exc, (*NOT_RUN_ERRORS, errors.AnswerLost)):
                raise
            self._record_failure(exc, route, slot, retry_state)
            if isinstance(exc, errors.ConnectionLost):
                self._check_target(target, trail, exc)
            if isinstance(exc, errors.RouteLapsed):
                # Nothing was written, and the next lookup may return another owner.
                retry_state.counted_attempts -= 1
            must_forward = may_be_unreached(exc) and self._has_no_path(
                exc, target, owner, req, retry_state
            )
            if not must_forward:
                self._check_retry(exc, req, body, ticket, retry_state)
        if must_forward:
            retry_state.counted_attempts -= 1
            return self._forward(req, body, ticket, retry_state, owner)
        self._pause(req, route, retry_state)
        return None

    def _has_no_path(self, exc, target, owner, req, retry_state):
        """Return whether another host has to take a request that could not be sent.

        While this host reaches other targets that may serve it, it tries these first.
        """
        address = TargetAddress(target.target_id, target.ip, target.port)
        refused = isinstance(exc, errors.TargetRefusedConnection)
        if self._paths.check_target(address, refused):
            return False
        if owner is not None or self._paths.is_cut:
            return self._must_forward(req, target.target_id)
        may_retry = (
            req.route is None or retry_state.counted_attempts < req.route.max_attempts
        )
        return not may_retry and self._must_forward(req, target.target_id)

    def _slot_ticket(self, req, ticket, retry_state) -> Ticket:
        """Return the ticket for one wait for a slot.

        A request in front of others on its connection waits for no slot beyond its
        objective: those behind it would be late, too.  Its caller tries again on
        another connection.
        """
        if not req.blocks_others or req.objective is None or retry_state.may_have_run:
            return ticket
        late_until = self._clock.now() + LATE_WAIT_IN_FRONT_S
        until = min(ticket.deadline, max(req.objective, late_until))
        return replace(ticket, deadline=Instant(until))

    def _route(self, req) -> Route | None:
        service = req.entry.service
        if not service.divided:
            return None
        try:
            return self._routes.find(req.entry.team, service, req.key)
        except errors.NoOwnerYet:
            self._metrics.incr("callers.waits_for_owner")
        started_at = self._clock.now()
        try:
            team = req.entry.team
            return self._routes.wait(team, service, req.key, req.deadline)
        finally:
            self._record_time("owner_wait", started_at)

    def _record_time(self, name, started_at):
        """Report the time since `started_at` as the metric ``callers.<name>``."""
        self._metrics.timing(f"callers.{name}", 1000 * (self._clock.now() - started_at))

    def _send(self, target, target_req, route, slot, ticket) -> AnswerStream:
        started_at = self._clock.now()
        in_flight_context = (
            nullcontext() if route is None else self._routes.in_flight(route)
        )
        in_flight_context.__enter__()
        try:
            answer = self._requests.send(target, target_req)
            stream = self._start_answer(answer, slot, in_flight_context)
            took_s = self._clock.now() - started_at
            if route is None:
                self._observer.record_answer(slot.target_id, took_s)
            else:
                service = ticket.service.service
                self._observer.record_answer(
                    slot.target_id, took_s, service, ticket.kind
                )
            return stream
        except BaseException as exc:
            if isinstance(exc, errors.TargetError):
                self._observer.record_failure(slot.target_id)
            outcome = slot_outcome(exc)
            try:
                if outcome is SlotOutcome.FAILED:
                    outcome = self._outcome_of_failure(exc, target)
            finally:
                # The caller may leave while the paths are checked.
                slot.done(outcome)
                in_flight_context.__exit__(type(exc), exc, exc.__traceback__)
            raise

    def _outcome_of_failure(self, exc, target) -> SlotOutcome:
        """Return the outcome for the desk after a failure of a request.

        It may come from lost paths, which are checked.  They are not after a lost
        connection to a target that accepts another one, since a check opens some more:
        such a target is full if it has reset the connection.
        """
        address = TargetAddress(target.target_id, target.ip, target.port)
        is_lost = isinstance(exc, errors.ConnectionLost)
        if is_lost and self._paths.accepts(address):
            cut = self._paths.is_cut
            if not cut and isinstance(exc, errors.ConnectionReset):
                return SlotOutcome.SHED
        elif is_lost or isinstance(exc, NOT_SENT_ERRORS):
            cut = self._paths.check()
        else:
            cut = self._paths.is_cut
        return SlotOutcome.NO_PATH if cut else SlotOutcome.FAILED

    def _target(self, req, route, slot) -> TargetConfig:
        if route is not None:
            return route.target
        return slot.target or req.entry.targets[slot.target_id]

    def _on_answer_end(self, target, trail, status, exc) -> None:
        """Record whether the target survived the request.

        An answer that tells of a fault of the target does not show that it did.
        """
        if isinstance(exc, errors.ConnectionLost):
            self._check_target(target, trail, exc)
        elif exc is None and status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._suspects.record_answer(trail.fingerprint, trail.request_id)

    def _check_target(self, target, trail, exc) -> None:
        """After a lost connection, find out whether the target has ended.

        A host whose paths are cut can't tell.
        """
        refused = self._requests.has_ended(target)
        paths_cut = refused and self._paths.check()
        ended = refused and not paths_cut
        log.info(
            "callers: connection lost",
            extra={
                "request_id": trail.request_id,
                "fingerprint": trail.fingerprint,
                "target": target.target_id,
                "target_ended": ended,
                "paths_cut": paths_cut,
                "reason": str(exc),
            },
        )
        if ended:
            incarnation = self._incarnation_of(target.target_id)
            self._suspects.record_crash(
                trail.fingerprint, incarnation, trail.request_id
            )

    def _target_request(self, req, body, route, target_id, may_send) -> TargetRequest:
        may_send = partial(self._may_reach, target_id, may_send)
        may_send = partial(self._knows_targets, may_send)
        shard = None
        if route is None:
            may_send = partial(self._is_staying, target_id, may_send)
        else:
            shard = GrantedShard(route.shard, route.epoch)
            may_send = partial(self._may_send, route, may_send)
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

    def _with_second_sends(self, target_req, req, ticket, retry_state, owner):
        """Return the request with the ways in which it may be sent a second time."""
        elsewhere = None
        if self._forwarder is not None and req.forwarded is None:
            elsewhere = partial(
                self._send_elsewhere, target_req, req, ticket, retry_state, owner
            )
        may_repeat = partial(self._may_repeat, ticket, target_req.target_id)
        return replace(target_req, may_repeat=may_repeat, elsewhere=elsewhere)

    def _send_elsewhere(self, target_req, req, ticket, retry_state, owner):
        """Let another host serve a request while this one still waits for its answer.

        Parameters
        ----------
        owner : TargetId or None
            The target that has to serve the request; None if any target may.
        """
        has_attempts = (
            req.route is None or retry_state.counted_attempts < req.route.max_attempts
        )
        if not has_attempts or not self._forwarder.is_possible(owner):
            raise errors.PathsCut("no other host may take it")
        if not self._take_second_send(ticket):
            raise errors.PathsCut("no second send is left in the budget")
        log.info(
            "callers: sent elsewhere as well",
            extra={"request_id": req.request_id, "target": target_req.target_id},
        )
        may_repeat = partial(self._take_second_send, ticket)
        attempts = retry_state.counted_attempts
        retry_state.counted_attempts += 1
        try:
            retry_state.trail.forwarded_to, answer = self._forwarder.send(
                req, target_req.body, owner, attempts, True, may_repeat
            )
        except errors.PathsCut:
            retry_state.counted_attempts -= 1
            raise
        self._metrics.incr("callers.forwarded")
        return answer

    def _may_repeat(self, ticket, target_id) -> bool:
        if self._unready_since(target_id) is not None:
            return False
        if self._warmups.is_limited(target_id):
            # A second send is one more request for a cold target, and has no slot.
            return False
        return self._take_second_send(ticket)

    def _take_second_send(self, ticket) -> bool:
        """Take a second send during one attempt from the retry budget."""
        is_allowed = self._scheduler.take_retry(ticket)
        if is_allowed:
            self._metrics.incr("callers.second_sends")
        return is_allowed

    def _may_use_slot(self, target_id, acquired_at, also) -> bool:
        return also() and self._warmups.may_send(target_id, acquired_at)

    def _knows_targets(self, also) -> bool:
        """Return whether the list of targets is new enough at the first byte."""
        fresh = self._fresh_targets
        return (fresh is None or fresh.may_send()) and also()

    def _may_reach(self, target_id, also) -> bool:
        return also() and self._rests.may_send(target_id)

    def _is_staying(self, target_id, also) -> bool:
        return also() and self._unready_since(target_id) is None

    def _may_send(self, route, also) -> bool:
        return also() and self._routes.may_send(route)

    def _start_answer(self, answer, slot, in_flight_context) -> AnswerStream:
        """Read a short answer to its end, or the first chunk of a longer one."""
        chunks = answer.chunks()
        length = _content_length(answer.headers)
        try:
            if length is not None and length <= self._cfg.buffered_bytes:
                stream = AnswerStream(
                    answer, b"".join(chunks), (), slot, in_flight_context
                )
                stream.finish()
                return stream
            return AnswerStream(
                answer, next(chunks, b""), chunks, slot, in_flight_context
            )
        except BaseException:
            answer.close()
            raise

    def _record_failure(self, exc, route, slot, retry_state) -> None:
        """Record a failed attempt in the metrics, the log and the retry state."""
        self._metrics.incr("callers.failed_attempts")
        log.debug(
            "callers: attempt failed",
            extra={"target": slot.target_id, "reason": str(exc)},
        )
        if isinstance(exc, errors.AnswerLost):
            retry_state.may_have_run = True
        if isinstance(exc, errors.TargetFull) and exc.retry_after_s is not None:
            # Until then this host opens no connection to it, and a retry is wasted.
            retry_state.next_pause_s = max(retry_state.next_pause_s, exc.retry_after_s)
        if route is None:
            retry_state.failed_targets.add(slot.target_id)
        elif isinstance(exc, errors.TargetFenced):
            self._routes.report_refusal(route)

    def _check_retry(self, exc, req, body, ticket, retry_state) -> None:
        """Return if another attempt is allowed; otherwise raise the final error."""
        if isinstance(exc, errors.AnswerLost) and (
            req.protected or not is_replayable(body)
        ):
            raise errors.OutcomeUnknown(ANSWER_LOST) from exc
        if not is_replayable(body):
            raise caller_error(exc) from exc
        if self._clock.now() >= req.deadline:
            raise _deadline_error(exc) from exc
        if (
            req.route is not None
            and retry_state.counted_attempts >= req.route.max_attempts
        ):
            if isinstance(exc, errors.AnswerLost):
                raise errors.OutcomeUnknown(ANSWER_LOST) from exc
            raise caller_error(exc) from exc
        if isinstance(exc, _REACHED_TARGET) and not self._scheduler.take_retry(ticket):
            if isinstance(exc, errors.AnswerLost):
                raise errors.OutcomeUnknown(ANSWER_LOST) from exc
            raise caller_error(exc) from exc
        self._metrics.incr("callers.retries")

    def _pause(self, req, route, retry_state) -> None:
        """Sleep before the next attempt.

        It does not sleep after the failure of one target of a service that is not
        divided by key while another target is still untried.
        """
        untried = len(retry_state.failed_targets) < len(req.entry.target_ids)
        if route is None and retry_state.failed_targets and untried:
            return
        resume_at = min(self._clock.now() + retry_state.next_pause_s, req.deadline)
        retry_state.next_pause_s = min(
            2 * retry_state.next_pause_s, self._cfg.longest_retry_pause_s
        )
        self._clock.sleep_until(Instant(resume_at))
        if self._clock.now() >= req.deadline:
            raise errors.DeadlinePassed(DEADLINE_PASSED)


def _deadline_error(exc) -> errors.RequestFailure:
    if isinstance(exc, errors.AnswerLost):
        return errors.OutcomeUnknown(ANSWER_LOST)
    return errors.DeadlinePassed(DEADLINE_PASSED)


def _content_length(headers) -> int | None:
    for name, value in headers:
        if name.lower() == "content-length":
            return int(value) if _LENGTH.fullmatch(value) else None
    return None
