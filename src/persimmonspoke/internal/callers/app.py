"""The WSGI application that serves callers."""

import logging
from collections.abc import Iterator
from dataclasses import replace
from http import HTTPStatus

from eventlet import hubs
from greenlet import getcurrent

from persimmonspoke.errors import (
    AnswerLost,
    CallerGone,
    HostClosed,
    HostFault,
    RequestFailure,
)
from persimmonspoke.ids import RequestId
from persimmonspoke.internal.callers.api import Configurations, Gate
from persimmonspoke.internal.callers.attempts import AnswerStream, RequestRunner
from persimmonspoke.internal.callers.bodies import BodyReader
from persimmonspoke.internal.callers.gone import CallerWatch
from persimmonspoke.internal.callers.read_ahead import ReadAheadBuffers
from persimmonspoke.internal.callers.refusals import AnswerStyle, RunStatus
from persimmonspoke.internal.callers.request import HOP_BY_HOP, RequestReader
from persimmonspoke.internal.callers.services import ServiceTable
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.callers.trail import RequestStage, RequestTrail
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.api import Metrics, NoMetrics
from persimmonspoke.internal.ownership.api import Routes
from persimmonspoke.internal.scheduling.api import Scheduler
from persimmonspoke.internal.targets.request_api import TargetRequests

log = logging.getLogger(__name__)

CONNECTION_KEY = "persimmonspoke.connection"
"""Key of the WSGI environment that holds the caller's connection handler."""

WAITED_KEY = "persimmonspoke.waited_s"
"""Key of the seconds since the request arrived, behind others on its connection."""

BLOCKS_KEY = "persimmonspoke.blocks_others"
"""Key of whether other requests have arrived behind this one on its connection."""

MIN_WAITED_S = 0.001  # a request that did not wait behind others has a shorter time

MIN_WRITE_CHUNK_BYTES = 1
"""Smallest chunk that the server sends without buffering; 1 disables buffering."""

DEFAULT_STYLE = AnswerStyle()

_ON_THIS_HOST = (RequestStage.READING, RequestStage.WAITING)

_PHRASES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}


class CallerApp:
    """Answers callers' requests."""

    def __init__(
        self,
        reader: RequestReader,
        runner: RequestRunner,
        watch: CallerWatch,
        cfg: CallerSettings,
        clock: Clock,
        gate: Gate,
        metrics: Metrics,
        style: AnswerStyle = DEFAULT_STYLE,
    ):
        self.style = style
        self.watch = watch
        self._reader = reader
        self._runner = runner
        self._cfg = cfg
        self._clock = clock
        self._gate = gate
        self._metrics = metrics
        self._in_flight: dict[_Request, None] = {}

    def __call__(self, environ: dict, start_response) -> "_Request":
        """Answer one request; the server closes what is returned."""
        request = _Request(self, environ, self._reader.request_id(environ))
        try:
            request.start(start_response)
        except BaseException:
            request.close()
            raise
        return request

    def admit_request(self):
        """Return a context that counts one request, or raise `HostClosed`."""
        if not self._gate.open():
            raise HostClosed("this host takes no new requests")
        return self._gate.admitted()

    def add_in_flight(self, request: "_Request") -> None:
        """Record that a request is in flight."""
        self._in_flight[request] = None

    def remove_in_flight(self, request: "_Request") -> None:
        """Record that a request is no longer in flight, if it was."""
        self._in_flight.pop(request, None)

    def refuse_waiting(self) -> None:
        """Refuse the requests in flight that neither a target nor another host has.

        It happens in the next round of the event hub.
        """
        for request in self._in_flight:
            hubs.get_hub().schedule_call_global(0, request.refuse_if_waiting)

    def log_cut_requests(self, reason: str) -> int:
        """Log each request in flight as broken off; return their number.

        Call it just before the process ends.
        """
        cut = tuple(self._in_flight)
        for request in cut:
            request.log_cut(reason)
        return len(cut)

    def trail(self, request_id: RequestId) -> RequestTrail:
        """Return a new record of the attempts made for one request."""
        return RequestTrail(request_id, self._clock)

    def run(self, environ: dict, trail: RequestTrail) -> AnswerStream:
        """Read the request, send it to a target and return the answer once it starts.

        The rest of the answer's body may still have to arrive.
        """
        started = self._clock.now()
        req = self._reader.read(environ, trail.request_id)
        req = self._since_arrival(req, environ.get(WAITED_KEY, 0.0))
        if environ.get(BLOCKS_KEY, False):
            req = replace(req, blocks_others=True)
        trail.req = req
        if not self._gate.may_last_until(req.deadline):
            raise HostClosed("this host stops before the request's deadline")
        limit = req.entry.service.max_body_bytes
        body = BodyReader(self._cfg, self._clock, environ, limit, req.deadline).read()
        answer = self._runner.run(req, body, trail)
        self._metrics.timing("callers.begun", 1000 * (self._clock.now() - started))
        return answer

    def _since_arrival(self, req, waited_s):
        """Return the request with times that count from its arrival.

        The reader counts them from when the request is read, which for a pipelined one
        is after the answers to those before it.
        """
        if waited_s < MIN_WAITED_S:
            return req
        self._metrics.timing("callers.read_wait", 1000 * waited_s)
        objective = None if req.objective is None else req.objective - waited_s
        return replace(req, deadline=req.deadline - waited_s, objective=objective)

    @property
    def read_ahead(self) -> ReadAheadBuffers:
        """Return the buffers of the answers that are read ahead of their callers."""
        return self._runner.read_ahead

    def is_leaving(self) -> bool:
        """Return whether callers should switch to another host."""
        return self._gate.leaving

    def count(self, name: str) -> None:
        """Increment the metric ``callers.<name>``."""
        self._metrics.incr(f"callers.{name}")


class _Request:
    """One request in flight, and the WSGI result that the server iterates over."""

    def __init__(self, app: CallerApp, environ: dict, request_id: RequestId):
        self._app = app
        self._environ = environ
        self._request_id = request_id
        self._admission = None
        self._watched_request = None
        self._answer: AnswerStream | None = None
        self._body = b""
        self._trail = app.trail(request_id)
        self._logged_outcome = (None, "left open", "")
        self._is_cut = False
        self._task = getcurrent()

    def start(self, start_response) -> None:
        """Process the request and call `start_response`; failures become refusals."""
        try:
            self._run(start_response)
        except CallerGone:
            self._app.count("gone")
            self._logged_outcome = (None, "caller gone", "")
            self._close_connection()
            start_response("499 Client Closed Request", [("Content-Length", "0")])
        except RequestFailure as exc:
            self._refuse(exc, start_response)
        except Exception:
            log.exception(
                "callers: request failed by a fault of this host",
                extra={"request_id": self._request_id},
            )
            self._refuse(HostFault("this host failed"), start_response)
        finally:
            self._trail.stage = RequestStage.ANSWERING

    def _run(self, start_response):
        admission = self._app.admit_request()
        admission.__enter__()
        self._admission = admission
        self._app.add_in_flight(self)
        sock = self._environ["wsgi.input"].get_socket()
        self._watched_request = self._app.watch.add(sock)
        self._app.watch.check_request(self._watched_request)
        self._answer = self._app.run(self._environ, self._trail)
        self._body = self._answer.head
        self._app.count("answered")
        self._logged_outcome = (self._answer.status, "answered", "")
        start_response(self._status(), self._headers())

    def __iter__(self) -> Iterator[bytes]:
        if self._body:
            yield self._body
        if self._answer is None:
            return
        try:
            yield from self._answer.rest()
        except AnswerLost as exc:
            # The server aborts the connection, so that the caller can't mistake a
            # truncated answer for a complete one.
            log.warning(
                "callers: answer cut off",
                extra={"request_id": self._request_id, "reason": str(exc)},
            )
            self._app.count("cut_off")
            self._logged_outcome = (self._answer.status, "cut off", str(exc))
            raise

    def close(self) -> None:
        """Log the request's end and release everything that it holds."""
        if not self._is_cut:
            self._trail.log(*self._logged_outcome)
        self._app.remove_in_flight(self)
        self._app.watch.remove(self._watched_request)
        if self._answer is not None:
            self._answer.close()
        if self._admission is not None:
            admission, self._admission = self._admission, None
            admission.__exit__(None, None, None)

    def refuse_if_waiting(self) -> None:
        """Refuse the request in its task; call it from the event hub."""
        if self._trail.stage in _ON_THIS_HOST:
            self._task.throw(HostClosed("this host stops, and no target has it"))

    def log_cut(self, reason: str) -> None:
        """Log that the request is broken off with this process."""
        self._is_cut = True
        self._app.count("cut")
        self._trail.log_cut(self._logged_outcome[0], reason)

    def _status(self):
        status = self._answer.status
        return _PHRASES.get(status) or f"{status} Status"

    def _headers(self):
        fields = [
            pair for pair in self._answer.headers if pair[0].lower() not in HOP_BY_HOP
        ]
        if self._app.style.adds_id_header:
            fields.append((self._app.style.id_header, self._request_id))
        if self._app.is_leaving():
            self._close_connection()
        self._environ["eventlet.minimum_write_chunk_size"] = MIN_WRITE_CHUNK_BYTES
        return fields

    def _refuse(self, exc, start_response):
        refusal = self._app.style.refusal(exc)
        self._app.count(f"refused.{refusal.kind}")
        reason = str(exc)
        if refusal.run is RunStatus.UNKNOWN:
            reason = f"{exc}: {exc.__cause__!r}"
        self._logged_outcome = (refusal.status.value, refusal.kind, reason)
        self._trail.table = getattr(exc, "table", None)
        closed = isinstance(exc, HostClosed) or self._app.is_leaving()
        if closed or self._has_unread_body():
            self._close_connection()
        body = refusal.body(self._request_id, str(exc))
        id_header = self._app.style.id_header
        headers = refusal.headers(self._request_id, len(body), id_header)
        if self._environ["REQUEST_METHOD"] != "HEAD":
            self._body = body
        extra = self._app.style.extra_headers(exc)
        start_response(_PHRASES[refusal.status], [*headers, *extra])

    def _has_unread_body(self) -> bool:
        """Return whether part of the request's body may still have to be read."""
        source = self._environ["wsgi.input"]
        if source.chunked_input:
            return True
        return source.position < (source.content_length or 0)

    def _close_connection(self):
        conn = self._environ.get(CONNECTION_KEY)
        if conn is not None:
            conn.close_connection = True


def make_caller_app(
    cfg: CallerSettings,
    configs: Configurations,
    routes: Routes,
    scheduler: Scheduler,
    requests: TargetRequests,
    clock: Clock,
    gate: Gate,
    metrics: Metrics | None = None,
) -> CallerApp:
    """Build the application.

    The host must run the application's `watch.run` as a task.
    """
    metrics = NoMetrics() if metrics is None else metrics
    return CallerApp(
        reader=RequestReader(ServiceTable(configs), clock),
        runner=RequestRunner(cfg, routes, scheduler, requests, clock, metrics),
        watch=CallerWatch(cfg, clock),
        cfg=cfg,
        clock=clock,
        gate=gate,
        metrics=metrics,
    )
