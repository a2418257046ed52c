"""A target on a real socket whose bytes are scripted by the test."""

from dataclasses import dataclass

import eventlet
from eventlet.greenio import shutdown_safe

from persimmonspoke.internal.questionnaire.configuration import TargetConfig


@dataclass
class ReceivedRequest:
    """One request as the target received it."""

    line: str
    headers: dict[str, str]
    body: bytes


class RawTarget:
    """Plays one script for each connection, in the order of the connections.

    A script is a function that takes a `RawConnection`.  The last script is also
    played for all further connections.
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
            # A plain close would leave the connection open through the scripts' files.
            shutdown_safe(sock)
            sock.close()

    def request_ids(self):
        """Return the ids of the received requests, except cancellations."""
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
        """Return the next request; raise `EOFError` if the connection is closed."""
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
        """Answer `request`; names in `fields` have underscores for hyphens."""
        fields = {"x_request_id": request.headers.get("x-request-id"), **fields}
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name.replace('_', '-')}: {v}" for name, v in fields.items() if v]
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def wait_closed(self):
        """Wait until the client has closed the connection."""
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


def answer_all(conn):
    """Answer every request immediately; a script."""
    while True:
        conn.answer(conn.receive())


def never_answer(conn):
    """Read the first request and never answer; a script."""
    conn.receive()
    conn.wait_closed()


def in_sequence(*steps):
    """Return a script of one step per request; the last step is repeated."""

    def script(conn):
        for number in range(1 << 30):
            steps[min(number, len(steps) - 1)](conn)

    return script


def answer_with(**answer):
    """Return a step that answers one request with the given fields."""

    def step(conn):
        conn.answer(conn.receive(), **answer)

    return step
