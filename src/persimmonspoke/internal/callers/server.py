"""The HTTP server for callers."""

import logging
import re
import time
from http import HTTPStatus

import eventlet
from eventlet import greenio, hubs, wsgi
from greenlet import getcurrent, greenlet

from persimmonspoke.errors import (
    HeadTooLarge,
    LengthRequired,
    LineTooLong,
    MalformedRequest,
)
from persimmonspoke.ids import RequestId
from persimmonspoke.internal.callers.app import (
    BLOCKS_KEY,
    CONNECTION_KEY,
    WAITED_KEY,
    CallerApp,
)
from persimmonspoke.internal.callers.gone import has_nothing_to_read, unread_bytes
from persimmonspoke.internal.callers.refusals import refusal
from persimmonspoke.internal.callers.settings import CallerSettings

log = logging.getLogger(__name__)

MAX_LINGER_S = 1.0
MAX_LINGER_BYTES = 1 << 20
MAX_CHUNK_LINE_BYTES = 4096
ACCEPT_RETRY_S = 0.05
REQUESTS_PER_BACKLOG_CHECK = 64  # so that a check costs no request a system call
MAX_BACKLOG_BYTES = 16 * 1024  # about a hundred pipelined requests
BODILESS_METHODS = frozenset(("GET", "HEAD"))
END_OF_HEAD = b"\r\n\r\n"

_LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)


class _HeadTooSlow(Exception):
    """The head of a request did not arrive in time."""


class _ConnectionUnused(Exception):
    """This host closes a connection on which no request has arrived."""


class _BoundedLines:
    """A file whose lines are short, for the sizes and extensions of chunks."""

    def __init__(self, file):
        self._file = file

    def __getattr__(self, name):
        return getattr(self._file, name)

    def readline(self):
        """Return the next line; raise `ValueError` if it is too long."""
        line = self._file.readline(MAX_CHUNK_LINE_BYTES)
        if len(line) >= MAX_CHUNK_LINE_BYTES:
            raise ValueError("the line of a chunk's size is too long")
        return line


class CallerConnection(wsgi.HttpProtocol):
    """One caller's connection; rejects request heads that violate HTTP."""

    _lingers = True
    _request_count = 0
    _backlog_check_at = REQUESTS_PER_BACKLOG_CHECK
    _arrived_at = 0.0
    _bytes_behind = 0  # that arrived with the request and have not been read yet
    _waiting_task: greenlet | None = None

    def handle(self):
        """Answer requests until the caller or this host closes the connection."""
        try:
            super().handle()
        except _ConnectionUnused:
            # Nothing may be read from now on: the caller can then tell by the reset
            # that a request which crosses the close has not been taken.
            self._lingers = False
        except TimeoutError:
            raise
        except OSError as exc:
            log.debug("callers: connection lost", extra={"reason": str(exc)})

    def handle_one_request(self):
        """Read one request and answer it."""
        self._head_timer = None
        try:
            super().handle_one_request()
        finally:
            self._stop_head_timer()

    def _read_request_line(self):
        self._start_head_timer()
        try:
            line = super()._read_request_line()
        except _HeadTooSlow:
            self._refuse(MalformedRequest("the head took too long"))
            return ""
        if len(line) >= self.server.url_length_limit:
            self._refuse(LineTooLong("the request line is too long"))
            return ""
        return line

    def _start_head_timer(self):
        """Wait for the first bytes; start a timer if the head is incomplete."""
        # Not a timeout of the socket: a late hub runs timers before it polls sockets.
        idle_timer = hubs.get_hub().schedule_call_global(
            self.cfg.idle_s, self.close_if_unused
        )
        self.connection.settimeout(None)
        self._waiting_task = getcurrent()
        self.waiting[self] = None
        try:
            first_bytes = self.rfile.peek(1)
        except ConnectionError:
            return
        finally:
            idle_timer.cancel()
            self._waiting_task = None
            del self.waiting[self]
        self._record_arrival(first_bytes)
        # Most heads arrive in one segment, and a timer costs as much as a system call.
        if END_OF_HEAD not in first_bytes:
            self._head_timer = eventlet.Timeout(self.cfg.head_s, _HeadTooSlow)

    def _record_arrival(self, first_bytes):
        """Record when the next request arrived, of which `first_bytes` are buffered.

        Its caller's timeout began no later than that, also if it waited behind others.
        """
        if self._bytes_behind == 0:
            self._arrived_at = time.monotonic()
        _, end, behind = first_bytes.partition(END_OF_HEAD)
        self._bytes_behind = len(behind) if end else 0

    def close_if_unused(self):
        """Close the connection if it waits for a request of which nothing has arrived.

        Call it from the event hub.
        """
        if self._waiting_task is not None and has_nothing_to_read(self.connection):
            self._waiting_task.throw(_ConnectionUnused())

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def parse_request(self):
        """Read and check the head; return whether the request can be processed."""
        try:
            if not super().parse_request():
                return False
            self._stop_head_timer()
            self._check_framing()
        except _HeadTooSlow:
            self._refuse(MalformedRequest("the head took too long"))
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            self._refuse(HeadTooLarge("the header fields are too long"))
        except MalformedRequest as exc:
            self._refuse(exc)
        else:
            self._close_if_backlogged()
            return True
        return False

    def _close_if_backlogged(self):
        """Make this request the last one if very many wait behind it.

        The others count as not read, so other hosts may serve them.  The body of this
        request does not count; while its length is unknown there is no check.
        """
        self._request_count += 1
        is_due = self._request_count >= self._backlog_check_at
        if not is_due or "transfer-encoding" in self.headers:
            return
        self._backlog_check_at = self._request_count + REQUESTS_PER_BACKLOG_CHECK
        body_bytes = int(self.headers.get("content-length", 0))
        waiting_bytes = unread_bytes(self.connection) - body_bytes
        if waiting_bytes > MAX_BACKLOG_BYTES:
            self.close_connection = True
            log.info(
                "callers: connection closed, too many pipelined requests",
                extra={
                    "caller": self.client_address[0],
                    "requests": self._request_count,
                    "waiting_bytes": waiting_bytes,
                },
            )

    def _check_framing(self):
        if self.request_version not in ("HTTP/1.0", "HTTP/1.1"):
            raise MalformedRequest("the version of HTTP is not 1.0 or 1.1")
        lengths = set(self.headers.get_all("content-length", ()))
        codings = self.headers.get_all("transfer-encoding", ())
        if len(lengths) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
            raise MalformedRequest("Content-Length must be one whole number")
        if lengths and codings:
            raise MalformedRequest("Content-Length and Transfer-Encoding clash")
        if codings and [coding.lower() for coding in codings] != ["chunked"]:
            raise LengthRequired("the only transfer coding that is read is chunked")
        has_body = bool(codings) or any(map(int, lengths))
        if has_body and self.command in BODILESS_METHODS:
            # A target that ignores the body would take it for another request.
            raise MalformedRequest("a GET or HEAD request has no body")
        if self.headers.defects:
            raise MalformedRequest("a header field can't be read")
        if self.request_version == "HTTP/1.1" and "host" not in self.headers:
            raise MalformedRequest("Host is missing")

    def send_error(self, code, message=None, explain=None):
        """Reject a head that the library could not parse."""
        if code == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            self._refuse(HeadTooLarge("the header fields are too long"))
        else:
            self._refuse(MalformedRequest(message or "the request can't be read"))

    def _refuse(self, exc: MalformedRequest):
        """Send an error answer without the application and close the connection."""
        self.close_connection = True
        answer = refusal(exc)
        request_id = RequestId("")
        body = answer.body(request_id, str(exc))
        lines = [f"HTTP/1.1 {answer.status.value} {answer.status.phrase}"]
        for name, value in answer.headers(request_id, len(body)):
            if value:
                lines.append(f"{name}: {value}")
        lines.append("Connection: close\r\n\r\n")
        self.wfile.write("\r\n".join(lines).encode("latin-1") + body)
        log.info(
            "callers: head refused as malformed",
            extra={"caller": self.client_address[0], "reason": str(exc)},
        )

    def get_environ(self):
        """Return the WSGI environment, including this connection."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self
        environ[WAITED_KEY] = time.monotonic() - self._arrived_at
        source = environ["wsgi.input"]
        if source.chunked_input or source.content_length:
            # What is behind the head is not the next request.
            self._bytes_behind = 0
        environ[BLOCKS_KEY] = self._bytes_behind > 0
        if source.chunked_input:
            source.rfile = _BoundedLines(source.rfile)
        return environ

    def finish(self):
        """Close the connection after giving the caller time to read the answer."""
        if self._lingers:
            self._linger()
        super().finish()

    def _linger(self):
        """Read and discard what the caller still sends (lingering close).

        Closing a socket with unread data sends a reset, which could discard the last
        answer before the caller has read it.
        """
        try:
            with eventlet.Timeout(MAX_LINGER_S, False):
                self.wfile.flush()
                self.connection.shutdown(eventlet.green.socket.SHUT_WR)
                remaining_bytes = MAX_LINGER_BYTES
                while remaining_bytes > 0:
                    chunk = self.connection.recv(16384)
                    if not chunk:
                        return
                    remaining_bytes -= len(chunk)
        except OSError:
            return

    def log_message(self, format, *args):
        """Do nothing: refusals are already logged."""


class CallerServer:
    """Serves callers on one listener.

    The server of the library shuts down the connections on which it waits for a
    request when it ends, also those on which one has just arrived.  This one ends in
    two steps that lose none, `close_listener` and `close_unused`.
    """

    def __init__(self, listener, app: CallerApp, settings: CallerSettings):
        self._waiting: dict[CallerConnection, None] = {}

        class _Connection(CallerConnection):
            cfg = settings
            waiting = self._waiting

        self._listener = listener
        self._is_closed = False
        self._watch = app.watch
        self._handlers = eventlet.GreenPool(settings.max_connections)
        self._library_server = wsgi.Server(
            listener,
            listener.getsockname(),
            app,
            protocol=_Connection,
            keepalive=settings.idle_s,
            socket_timeout=settings.stalled_s,
            url_length_limit=settings.max_line_bytes,
            log_output=False,
            debug=False,
        )

    def run(self) -> None:
        """Accept connections until `close_listener`, or until the task is killed.

        Return once no connection is open.
        """
        watch = eventlet.spawn(self._watch.run)
        try:
            while not self._is_closed:
                try:
                    self._start(*self._listener.accept())
                except OSError as exc:
                    if not self._is_closed:
                        log.warning(
                            "callers: connection not accepted",
                            extra={"reason": str(exc)},
                        )
                        eventlet.sleep(ACCEPT_RETRY_S)
        finally:
            self._listener.close()
            self._handlers.waitall()
            watch.kill()

    def open_connections(self) -> int:
        """Return the number of callers' connections."""
        return self._handlers.running()

    def close_listener(self) -> None:
        """Take the connections that wait in the kernel's queue, and no later ones."""
        if self._is_closed:
            return
        self._is_closed = True
        while self._handlers.free():
            try:
                sock, address = self._listener.fd.accept()
            except OSError:
                break
            hubs.notify_opened(sock.fileno())
            self._start(greenio.GreenSocket(sock), address)
        # This wakes `run`, which closes the listener.
        greenio.shutdown_safe(self._listener)

    def close_unused(self) -> None:
        """Close the connections that wait for a request of which nothing has arrived.

        It happens in the next round of the event hub.
        """
        for conn in self._waiting:
            hubs.get_hub().schedule_call_global(0, conn.close_if_unused)

    def _start(self, sock, address):
        sock.settimeout(self._library_server.socket_timeout)
        self._handlers.spawn(self._serve, sock, address)

    def _serve(self, sock, address):
        try:
            self._library_server.process_request([address, sock, wsgi.STATE_REQUEST])
        finally:
            greenio.shutdown_safe(sock)
            sock.close()


def serve_callers(listener, app: CallerApp, settings: CallerSettings) -> None:
    """Serve callers on `listener` until the task is killed; see `CallerServer.run`."""
    CallerServer(listener, app, settings).run()
