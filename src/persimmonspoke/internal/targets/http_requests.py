"""Sends requests to targets over HTTP.

An exchange that a target may be working on is ended by its own end, by its caller, or
by an answer to the same request from elsewhere; see `targets.early_ends`.
"""

import itertools
import logging
import secrets
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from http.client import HTTPException, IncompleteRead

import eventlet
from eventlet.greenpool import GreenPool
from greenlet import getcurrent
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from persimmonspoke.errors import (
    AnswerLost,
    CallerGone,
    ConnectionLost,
    ConnectionReset,
    MalformedRequest,
    NotRun,
    RequestFailure,
    RouteLapsed,
    TargetError,
    TargetFenced,
    TargetFull,
    TargetRefusedConnection,
    TargetUnreachable,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics, NoMetrics
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets import protocol
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import (
    MAX_HEAD_BYTES,
    RESET_ERRORS,
    TargetConnection,
    TargetPool,
    TargetPools,
    connect,
)
from persimmonspoke.internal.targets.early_ends import (
    MS_PER_S,
    EarlyEnd,
    EarlyEndRecorder,
    Stage,
)
from persimmonspoke.internal.targets.framing import framed_headers
from persimmonspoke.internal.targets.notices import (
    Incarnation,
    TargetNotices,
    no_notices,
)
from persimmonspoke.internal.targets.paths import TargetPaths, always_open
from persimmonspoke.internal.targets.rate_limits import UNLIMITED, RateLimits
from persimmonspoke.internal.targets.request_api import Headers, TargetRequest
from persimmonspoke.internal.targets.second_sends import (
    NotNeeded,
    SecondAnswered,
    SecondSend,
)

log = logging.getLogger(__name__)

MIN_QUIET_S = 0.1  # shorter than this, kept connections are taken to work

CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
"""What the library raises for a lost connection or an unreadable answer."""


class _PathLost(Exception):
    """The path to the target turned out to be lost before a request was written."""


class _Waiting:
    """A task that waits for the first bytes of an answer.

    Attributes
    ----------
    first : _Exchange or None
        The first exchange of the request, once there is a connection.
    second : SecondSend
        The second exchange of the request, if there is any.
    """

    __slots__ = ("first", "second", "target", "task")

    def __init__(self, target):
        self.first = None
        self.second = SecondSend()
        self.target = TargetAddress(target.target_id, target.ip, target.port)
        self.task = getcurrent()


class _Exchange:
    """One request on one connection, until the end of its answer.

    Attributes
    ----------
    incarnation : Incarnation
        The target's incarnation when the request was sent.
    sent_at : Instant
        When the request's first byte was sent, if any was.
    is_sent : bool
        Whether the whole request has been sent.
    body : bytes or None
        The whole body if the answer is short; None if it must be streamed.
    finished : bool
        Whether the connection has been returned to the pool or closed.
    """

    def __init__(self, target, pool, conn, req, attempt, incarnation):
        self.incarnation: Incarnation = incarnation
        self.target: TargetConfig = target
        self.pool: TargetPool = pool
        self.conn: TargetConnection = conn
        self.req: TargetRequest = req
        self.attempt: str = attempt
        self.resp: HTTPResponse | None = None
        self.sent_at = Instant(0.0)
        self.is_sent = False
        self.body: bytes | None = None
        self.finished = False

    @property
    def stage(self) -> Stage:
        """Return how far the exchange has come."""
        if self.resp is not None:
            return Stage.READING
        return Stage.WAITING if self.is_sent else Stage.SENDING

    def succeed(self) -> None:
        """Return the connection to the pool after a complete answer.

        It is closed instead if the target has announced that it will close it.
        """
        self.finished = True
        self.resp.close()
        if self.conn.sock is None:
            self.pool.discard(self.conn)
        else:
            self.pool.release(self.conn)

    def fail(self) -> None:
        """Close the connection."""
        if self.finished:
            return
        self.finished = True
        if self.resp is not None:
            self.resp.close()
        self.pool.discard(self.conn)


class HttpAnswer:
    """An answer whose body has not been read yet."""

    def __init__(
        self, client: "HttpTargetRequests", exchange: _Exchange, headers: Headers
    ):
        self.status = exchange.resp.status
        self.headers = client.protocol.answer_headers(headers)
        self._client = client
        self._exchange = exchange

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise `AnswerLost` if it ends early."""
        return self._client.read_body(self._exchange)

    def close(self) -> None:
        """Release the answer; cancel the request if it was not read to its end."""
        if not self._exchange.finished:
            self._client.drop_answer(self._exchange)


class HttpTargetRequests:
    """Implements `TargetRequests` over HTTP/1.1.

    The process must be monkey-patched by eventlet.

    Parameters
    ----------
    protocol : module
        Header fields of the protocol; has the functions of `targets.protocol`.
    limits : RateLimits
        Learns the rate limits that answers name.
    paths : TargetPaths
        Learns when targets answer.  When the path to a target turns out to be lost,
        requests that were not written to it fail at once, and repeatable ones that
        were written are sent another way as well.
    notices : TargetNotices
        Receives what answers say of their targets.
    metrics : Metrics
        Counts the exchanges that this host ends early, by reason.
    """

    def __init__(
        self,
        pools: TargetPools,
        clock: Clock,
        protocol=protocol,
        limits: RateLimits | None = None,
        paths: TargetPaths | None = None,
        notices: TargetNotices | None = None,
        metrics: Metrics | None = None,
    ):
        self._notices = no_notices() if notices is None else notices
        self.protocol = protocol
        self._paths = always_open(clock) if paths is None else paths
        self._paths.on_change.append(self._leave_lost_paths)
        self._waiting: dict[_Waiting, None] = {}
        self._limits = RateLimits(clock) if limits is None else limits
        self._pools = pools
        self._cfg = pools.cfg
        self._clock = clock
        self._early_ends = EarlyEndRecorder(clock, metrics or NoMetrics())
        self._cancels = GreenPool(self._cfg.cancel_tasks)
        self._prefix = secrets.token_hex(6)
        self._counter = itertools.count()

    def send(self, target: TargetConfig, req: TargetRequest) -> HttpAnswer:
        """Send the request to `target` and return once its answer starts.

        If a reused connection gives no answer in time, a repeatable request is sent
        a second time on a new one, and the first whole answer is returned.
        """
        waiting = _Waiting(target)
        if req.repeatable:
            self._waiting[waiting] = None
        try:
            with self._paths.in_flight(waiting.target):
                return self._send(target, req, waiting)
        except _PathLost as exc:
            raise TargetUnreachable("this host does not reach it") from exc
        finally:
            self._waiting.pop(waiting, None)
            waiting.second.end()

    def _leave_lost_paths(self):
        """Let repeatable requests to targets that are not reached go another way.

        They stay if a target still answers over connections that were kept.
        """
        for waiting in list(self._waiting):
            target_id = waiting.target.target_id
            is_reached = self._paths.reaches(target_id)
            if not is_reached and self._paths.target_quiet_s(target_id) >= MIN_QUIET_S:
                self._leave_lost_path(waiting)

    def _leave_lost_path(self, waiting):
        if waiting not in self._waiting or waiting.task is getcurrent():
            return
        first = waiting.first
        if first is not None and first.conn.wrote:
            if first.req.elsewhere is not None:
                waiting.second.start(partial(self._send_second, first))
        elif not waiting.second.has_begun:
            eventlet.kill(waiting.task, _PathLost())

    def _send(self, target, req, waiting):
        pool = self._pools.of(target)
        conn = pool.acquire(
            req.request_id,
            req.deadline,
            require_recent=not req.repeatable,
            repeated=req.repeated,
        )
        exchange = self._new_exchange(target, pool, conn, req)
        waiting.first = exchange
        second = waiting.second
        if req.repeatable and self._may_be_dead(conn):
            silence_s = self._cfg.silence_share * (req.deadline - self._clock.now())
            second.start_after(silence_s, partial(self._send_second, exchange))
        try:
            return self._run(exchange, second)
        except SecondAnswered:
            return second.wait(0.0)
        except TargetError as exc:
            answer = second.wait(req.deadline - self._clock.now())
            if answer is not None:
                return answer
            if second.may_have_run and not isinstance(exc, AnswerLost):
                cause = second.error or exc
                raise AnswerLost("the second exchange may have run") from cause
            raise

    def _may_be_dead(self, conn):
        """Return whether a connection has answered, but not recently."""
        min_answered_at = self._clock.now() - self._cfg.proved_alive_s
        return conn.answered_at is not None and conn.answered_at < min_answered_at

    def _send_second(self, first):
        """Send a request once more while its first exchange goes on.

        It is sent over a new connection, or by another host if this one does not
        reach the target.
        """
        req = first.req
        if self._must_go_elsewhere(first):
            return _answer_of_target(req.elsewhere())
        try:
            conn = first.pool.acquire_new(req.deadline, over_limit=True)
        except (TargetRefusedConnection, TargetUnreachable):
            if self._must_go_elsewhere(first):
                return _answer_of_target(req.elsewhere())
            raise
        may_send = partial(self._may_send_second, first)
        second_req = replace(req, may_send=may_send)
        exchange = self._new_exchange(first.target, first.pool, conn, second_req)
        answer = self._run(exchange)
        if req.forwarded is not None:
            answer = _answer_of_target(answer)
        self._drop_silent(first)
        return answer

    def _drop_silent(self, first):
        """Drop what may be as dead as a connection on which a request got no answer."""
        if first.conn.answered_at is None:
            return
        first.pool.drop_idle(first.conn.answered_at)
        log.warning(
            "targets: connection went silent",
            extra={
                "target": first.target.target_id,
                "request_id": first.req.request_id,
            },
        )

    def _must_go_elsewhere(self, first):
        is_reached = self._paths.reaches(first.target.target_id)
        return first.req.elsewhere is not None and not is_reached

    def _may_send_second(self, first) -> bool:
        """Return whether a request may be sent a second time, and log that it is.

        The budget is asked last, so that it pays only for what is sent.
        """
        if not first.req.may_send() or not first.req.may_repeat():
            return False
        now = self._clock.now()
        log.info(
            "targets: sent a second time",
            extra={
                "request_id": first.req.request_id,
                "target": first.target.target_id,
                "target_had_ms": round((now - first.sent_at) * MS_PER_S, 1),
            },
        )
        return True

    def has_ended(self, target: TargetConfig) -> bool:
        """Return whether `target` refuses connections, so that its process has ended.

        It is False if that can't be found out within `end_check_s`.
        """
        try:
            connect(target.ip, target.port, self._cfg.end_check_s).drop()
        except TargetRefusedConnection:
            return True
        except TargetUnreachable:
            return False
        return False

    def read_body(self, exchange: _Exchange) -> Iterator[bytes]:
        """Yield the body of an answer."""
        if exchange.body is not None:
            if exchange.body:
                yield exchange.body
            return
        while True:
            chunk = self._read(exchange)
            if not chunk:
                break
            if exchange.resp.length_remaining == 0:
                exchange.succeed()
                yield chunk
                return
            yield chunk
        exchange.succeed()

    def drop_answer(self, exchange: _Exchange) -> None:
        """Give up an answer whose body was not read to its end."""
        now = self._clock.now()
        self._record_end(exchange, EarlyEnd.UNREAD, "nobody reads the answer", now)
        self._cancel(exchange)

    def _record_end(self, exchange, reason, evidence, evidence_at):
        """Record that this host ends an exchange, if it has reached the target."""
        if exchange.conn.wrote and not exchange.finished:
            self._early_ends.record(
                reason,
                exchange.stage,
                exchange.req.request_id,
                exchange.target.target_id,
                exchange.sent_at,
                evidence,
                evidence_at,
            )

    def _cancel(self, exchange):
        """Close the connection, and send the target a cancellation of the request."""
        wrote = exchange.conn.wrote
        exchange.fail()
        has_cancel = self.protocol.CANCEL_PATH is not None
        if wrote and has_cancel and self._cancels.free() > 0:
            self._cancels.spawn_n(self._send_cancel, exchange)

    def _new_exchange(self, target, pool, conn, req):
        attempt = f"{self._prefix}-{next(self._counter):x}"
        conn.start_request(req.request_id)
        incarnation = self._notices.incarnation_of(target.target_id)
        return _Exchange(target, pool, conn, req, attempt, incarnation)

    def _run(self, exchange, second: SecondSend | None = None) -> HttpAnswer:
        """Send a request and return its answer; `second` may interrupt the wait."""
        try:
            if second is None:
                self._read_answer_head(exchange)
            else:
                with second.listening():
                    self._read_answer_head(exchange)
            return self._checked_answer(exchange)
        except (NotRun, TargetError):
            exchange.fail()
            raise
        except BaseException as exc:
            self._record_interruption(exchange, exc)
            self._cancel(exchange)
            raise

    def _record_interruption(self, exchange, exc):
        """Record that the exchange's task was interrupted by `exc`."""
        now = self._clock.now()
        if isinstance(exc, CallerGone):
            self._record_end(exchange, EarlyEnd.CALLER_GONE, str(exc), now)
        elif isinstance(exc, SecondAnswered):
            evidence = "the request's second exchange has an answer"
            self._record_end(exchange, EarlyEnd.ANSWERED_ELSEWHERE, evidence, now)
        elif isinstance(exc, NotNeeded):
            evidence = "the request's first exchange has ended"
            self._record_end(exchange, EarlyEnd.NOT_NEEDED, evidence, now)
        else:
            self._record_end(exchange, EarlyEnd.INTERRUPTED, repr(exc), now)

    def _read_answer_head(self, exchange):
        left_s = max(0.0, exchange.req.deadline - self._clock.now())
        timer = eventlet.Timeout(left_s)
        try:
            self._write(exchange)
            exchange.resp = exchange.conn.getresponse()
            self._paths.record_answer(exchange.target.target_id)
            while self._is_late_duplicate(exchange):
                exchange.resp = self._skip_answer(exchange)
            self._read_short(exchange)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise self._timeout_error(exchange) from exc
        except CONNECTION_ERRORS as exc:
            self._record_unreadable(exchange, exc)
            raise _connection_error(exchange, exc) from exc
        finally:
            timer.cancel()

    def _is_late_duplicate(self, exchange):
        """Return whether the answer is a second answer to an earlier request."""
        request_id = self.protocol.request_id_of(exchange.resp.headers)
        return (
            request_id is not None
            and request_id != exchange.req.request_id
            and exchange.conn.has_carried(request_id)
            and (exchange.resp.length_remaining or 0) <= self._cfg.chunk_bytes
            and exchange.resp.length_remaining is not None
            and exchange.conn.sock is not None
        )

    def _skip_answer(self, exchange):
        """Discard a duplicate answer and return the one that follows it."""
        log.info(
            "targets: late second answer skipped",
            extra={
                "target": exchange.target.target_id,
                "request_id": exchange.req.request_id,
            },
        )
        exchange.resp.read(decode_content=False)
        exchange.conn.expect_next_answer()
        return exchange.conn.getresponse()

    def _read_short(self, exchange):
        """Read a short answer to its end, under the same timer as its head."""
        left = exchange.resp.length_remaining
        if left is not None and left <= self._cfg.chunk_bytes:
            exchange.conn.allow_bytes(self._cfg.chunk_bytes + MAX_HEAD_BYTES)
            exchange.body = exchange.resp.read(decode_content=False)

    def _write(self, exchange):
        req = exchange.req
        now = self._clock.now()
        fields = self.protocol.request_headers(req, exchange.attempt, now)
        body = req.body
        if not isinstance(body, bytes):
            if body.length is not None:
                fields["Content-Length"] = str(body.length)
            body = self._request_chunks(exchange, body.chunks)
        if not req.may_send():
            raise RouteLapsed("the right to send ended before the first byte")
        req.before_write()
        exchange.sent_at = now
        exchange.conn.request(
            req.method,
            req.path,
            body=body or None,
            headers=fields,
            preload_content=False,
            decode_content=False,
        )
        exchange.is_sent = True

    def _request_chunks(self, exchange, chunks):
        """Yield `chunks`; raise `AnswerLost` if they fail after the first write."""
        try:
            yield from chunks
        except RequestFailure as exc:
            if not exchange.conn.wrote:
                raise
            now = self._clock.now()
            self._record_end(exchange, EarlyEnd.BODY_BROKE_OFF, str(exc), now)
            raise AnswerLost(f"the request broke off: {exc}") from exc

    def _checked_answer(self, exchange):
        resp = exchange.resp
        headers = ()
        try:
            self.protocol.check_answer(
                exchange.req.request_id, exchange.attempt, resp.status, resp.headers
            )
            error = self.protocol.refusal(resp.status, resp.headers)
            if error is None:
                self._check_end(resp)
                headers = framed_headers(tuple(resp.headers.items()))
        except AnswerLost as exc:
            now = self._clock.now()
            self._record_end(exchange, EarlyEnd.BAD_ANSWER, str(exc), now)
            raise
        self._record_rate_limit(exchange, error)
        self._record_notices(exchange, error)
        if exchange.body is not None:
            exchange.succeed()
        if error is not None:
            raise error
        return HttpAnswer(self, exchange, headers)

    def _record_rate_limit(self, exchange, error):
        """Record the rate limit that an answer names.

        A refusal without one does not end a limit, and one that may come from another
        process at the target's address says nothing.
        """
        limit_per_s = self.protocol.rate_limit(exchange.resp.headers)
        if limit_per_s is None or isinstance(error, TargetFenced):
            return
        if error is None or limit_per_s < UNLIMITED:
            target_id = exchange.target.target_id
            self._limits.record(target_id, limit_per_s, "answer")

    def _record_notices(self, exchange, error):
        """Pass on what an answer says of its target.

        A refusal that may come from another process at the address says nothing.
        """
        if isinstance(error, TargetFenced):
            return
        resp = exchange.resp
        self.protocol.read_notices(
            resp.status, resp.headers, exchange.incarnation, self._notices
        )

    def _check_end(self, resp):
        """Raise `AnswerLost` if a lost connection would look like the answer's end."""
        original = resp._original_response
        if self.protocol.CLOSE_DELIMITED_ANSWERS and not original.msg.defects:
            return
        if original.msg.defects or not (
            original.chunked or original.length is not None
        ):
            raise AnswerLost("nobody can tell where the answer ends")

    def _read(self, exchange):
        left_s = max(0.0, exchange.req.deadline - self._clock.now())
        timer = eventlet.Timeout(left_s)
        exchange.conn.allow_bytes(self._cfg.chunk_bytes + MAX_HEAD_BYTES)
        try:
            return exchange.resp.read1(self._cfg.chunk_bytes, decode_content=False)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise self._timeout_error(exchange) from exc
        except CONNECTION_ERRORS as exc:
            self._record_unreadable(exchange, exc)
            exchange.fail()
            raise ConnectionLost(f"the answer broke off: {exc}") from exc
        finally:
            timer.cancel()

    def _record_unreadable(self, exchange, exc):
        """Record the end of an exchange whose answer can't be read.

        An error of the connection is the target's end, and not recorded.
        """
        is_unreadable = isinstance(exc, (HTTPException, ValueError))
        if is_unreadable and not isinstance(exc, (OSError, IncompleteRead)):
            now = self._clock.now()
            self._record_end(exchange, EarlyEnd.BAD_ANSWER, repr(exc), now)

    def _timeout_error(self, exchange) -> Exception:
        """End an exchange at its deadline; return the resulting error.

        The idle connections to the target are closed, too.
        """
        wrote = exchange.conn.wrote
        evidence = "the deadline has passed"
        self._record_end(exchange, EarlyEnd.DEADLINE, evidence, exchange.req.deadline)
        exchange.fail()
        exchange.pool.drop_idle()
        if not wrote:
            return TargetUnreachable("nothing could be written before the deadline")
        self._cancel(exchange)
        return AnswerLost("no whole answer before the deadline")

    def _send_cancel(self, exchange):
        deadline = Instant(self._clock.now() + self._cfg.cancel_s)
        try:
            conn = exchange.pool.acquire_new(deadline)
        except TargetError:
            return
        try:
            conn.timeout = self._cfg.cancel_s
            conn.request(
                "POST",
                self.protocol.CANCEL_PATH + exchange.req.request_id,
                headers=self.protocol.cancel_headers(exchange.attempt),
                preload_content=False,
            )
            conn.getresponse()
        except CONNECTION_ERRORS:
            log.info(
                "targets: cancellation lost",
                extra={"request_id": exchange.req.request_id},
            )
        finally:
            exchange.pool.discard(conn)


def _answer_of_target(answer):
    """Return an answer that came through another host, unless it may be that host's.

    A host's own refusal must not replace the answer for which the first exchange waits.
    """
    if answer.status < HTTPStatus.BAD_REQUEST:
        return answer
    answer.close()
    raise AnswerLost(f"another host answered {answer.status}")


def _connection_error(exchange, exc) -> Exception:
    """Return the error for a failure that the library raised.

    It depends on whether any byte of the request was written.
    """
    # The kernel's errors have a number; those raised for an orderly end have none.
    is_error_of_kernel = isinstance(exc, RESET_ERRORS) and exc.errno is not None
    is_reset = is_error_of_kernel and exchange.resp is None
    if is_reset:
        exchange.pool.record_reset()
    if is_reset and exchange.conn.wrote:
        return ConnectionReset(f"the connection was reset: {exc}")
    if exchange.conn.wrote:
        return ConnectionLost(f"the connection broke: {exc}")
    if is_reset and exchange.conn.answered_at is None:
        left_s = exchange.pool.back_off.left_s()
        return TargetFull(f"the target reset the new connection: {exc}", left_s)
    if isinstance(exc, OSError):
        return TargetUnreachable(f"the connection broke before the first byte: {exc}")
    return MalformedRequest(f"the request can't be written: {exc}")
