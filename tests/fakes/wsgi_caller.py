"""A caller that calls a WSGI application without sockets."""

import io
import json

from eventlet.event import Event

from persimmonspoke.internal.callers.app import CONNECTION_KEY


class RequestInput(io.BytesIO):
    """A request's body in the form in which the server passes it on."""

    def __init__(self, body=b"", chunked=False):
        super().__init__(body)
        self.content_length = None if chunked else len(body)
        self.chunked_input = chunked

    @property
    def position(self):
        """Return the number of bytes read so far."""
        return self.tell()

    def get_socket(self):
        """Return None: there is no socket."""


class LateBody(RequestInput):
    """A request's body that arrives when the test says so."""

    def __init__(self):
        super().__init__(b"hello")
        self.arrived = Event()

    def read(self, size=-1):
        """Return the body once it has arrived."""
        self.arrived.wait()
        return super().read(size)


class Reply:
    """The answer that the caller received."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""

    def error(self):
        """Return (status, type, run) of a refusal."""
        error = json.loads(self.body)["error"]
        return self.status, error["type"], error["run"]


def call(app, *args, **kwargs):
    """Send one request to `app` and return its answer; see `environ_of`."""
    reply = Reply()

    def start_response(status, fields):
        reply.status = int(status.split()[0])
        reply.headers = dict(fields)

    result = app(environ_of(*args, **kwargs), start_response)
    try:
        reply.body = b"".join(result)
    finally:
        result.close()
    return reply


def environ_of(
    path="/desk/lookup/k",
    method="GET",
    source=None,
    query="",
    connection=None,
    **headers,
):
    """Return the environment of one request.

    Names in `headers` have underscores for hyphens.  `connection` stands for the
    server's handler of the caller's connection.
    """
    source = source or RequestInput()
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    environ = {
        "REQUEST_METHOD": method,
        "RAW_PATH_INFO": path,
        "QUERY_STRING": query,
        "headers_raw": (("Host", "x"), *pairs),
        "wsgi.input": source,
        "CONTENT_LENGTH": str(source.content_length or 0),
    }
    if connection is not None:
        environ[CONNECTION_KEY] = connection
    return environ | {f"HTTP_{name.upper()}": value for name, value in headers.items()}
