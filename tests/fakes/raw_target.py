"""A target on a real socket, whose every byte a test writes down."""

from dataclasses import dataclass

import eventlet
from eventlet.greenio import shutdown_safe

from persimmonspoke.internal.questionnaire.configuration import TargetConfig


@dataclass
class ReceivedRequest:
    """One request as it arrived."""

    line: str
    headers: dict[str, str]
    body: bytes


class RawTarget:
    """Plays one script a connection, in the order of the connections.

    A script is a function of a `RawConnection`; the last one is played for all
    later connections too.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self._socks = []
        self._task = eventlet.spawn(self._accept)

    def config(self, slots=2, connections=10, checks_fence=True) -> TargetConfig:
        """Return the target's entry in a configuration."""
        ip, port = self.address
        return TargetConfig(
            target_id=f"target-{port}",
            ip=ip,
            port=port,
            data_centre="a",
            slots=slots,
            connections=connections,
            checks_fence=checks_fence,
        )

    def stop(self):
        """Close the listener and every connection."""
        self._task.kill()
        self._listener.close()
        for sock in self._socks:
            # A plain close would leave the scripts' own files open.
            shutdown_safe(sock)
            sock.close()

    def ids(self):
        """Return the ids of the requests received, cancellations left out."""
        return [
            request.headers["x-request-id"]
            for request in self.received
            if "x-request-id" in request.headers
        ]

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self._socks.append(sock)
            script = self._scripts[min(self.connections, len(self._scripts) - 1)]
            self.connections += 1
            eventlet.spawn_n(self._play, script, sock)

    def _play(self, script, sock):
        try:
            script(RawConnection(self, sock))
        except (ConnectionError, EOFError):
            sock.close()


class RawConnection:
    """One connection, from the target's side."""

    def __init__(self, target, sock):
        self._target = target
        self.sock = sock
        self._file = sock.makefile("rb")

    def receive(self, body=True) -> ReceivedRequest:
        """Read one request; `EOFError` if the connection is closed instead."""
        line = self._line()
        headers = {}
        while field := self._line():
            name, _, value = field.partition(":")
            headers[name.lower()] = value.strip()
        request = ReceivedRequest(line, headers, b"")
        self._target.received.append(request)
        if body:
            request.body = self._body(headers)
        return request

    def answer(self, request, status="200 OK", body=b"ok", length=None, **fields):
        """Answer `request`; fields are given with underscores for hyphens."""
        fields = {"x_request_id": request.headers.get("x-request-id"), **fields}
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name.replace('_', '-')}: {v}" for name, v in fields.items() if v]
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def wait_closed(self):
        """Return once the other side has closed the connection."""
        while self._file.read(1):
            pass

    def _line(self):
        line = self._file.readline()
        if not line:
            raise EOFError
        return line.decode("latin-1").rstrip("\r\n")

    def _body(self, headers):
        if headers.get("transfer-encoding") == "chunked":
            pieces = []
            while size := int(self._line(), 16):
                pieces.append(self._file.read(size))
                self._line()
            self._line()
            return b"".join(pieces)
        return self._file.read(int(headers.get("content-length", 0)))


def serve(conn):
    """Script: answer every request at once."""
    while True:
        conn.answer(conn.receive())


def silent(conn):
    """Script: read the first request and never answer."""
    conn.receive()
    conn.wait_closed()


def then(*steps):
    """Script: one step for each request, the last one for all that follow."""

    def script(conn):
        for number in range(1 << 30):
            steps[min(number, len(steps) - 1)](conn)

    return script


def once(**answer):
    """Step: answer one request with these fields."""

    def step(conn):
        conn.answer(conn.receive(), **answer)

    return step
