"""A small HTTP/1.1 server on asyncio for stand-ins that run as processes of their own.

It depends on the standard library alone, so that dozens of processes start quickly.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass

REQUEST_ID = "Persimmonspoke-Request-Id"
DEADLINE_MS = "Persimmonspoke-Deadline-Ms"
KEY = "Persimmonspoke-Shard-Key"
SIGNATURE = "Persimmonspoke-Server-Signature"
NOT_RUN = "Persimmonspoke-Not-Executed"
EXPECTED_TARGET = "Persimmonspoke-Target-Instance"
INSTANCE_ID = "Persimmonspoke-Instance-Id"
HANDOVER = "Persimmonspoke-Handover"

BACKLOG = 256


@dataclass
class Message:
    """One request; the names of its header fields are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""

    def json(self):
        """Return the body as JSON; an empty one as an empty object."""
        return json.loads(self.body) if self.body else {}

    def field(self, name, default=None):
        """Return a header field."""
        return self.headers.get(name.lower(), default)


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=()):
    """Return the bytes of an answer with a JSON body."""
    data = json.dumps(value).encode()
    return answer(status, data, [("Content-Type", "application/json"), *headers])


def parse(data: bytes) -> tuple[Message, int] | None:
    """Return the first request in `data` and its length; None if it isn't complete."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    first, *lines = data[:end].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    method, path, _ = first.split(" ", 2)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body, rest = b"", data[end + 4 :]
        while True:
            size, newline, rest = rest.partition(b"\r\n")
            if not newline:
                return None
            count = int(size.split(b";")[0], 16)
            if len(rest) < count + 2:
                return None
            body, rest = body + rest[:count], rest[count + 2 :]
            if not count:
                return Message(method, path, headers, body), len(data) - len(rest)
    length = end + 4 + int(headers.get("content-length", 0))
    if len(data) < length:
        return None
    return Message(method, path, headers, bytes(data[end + 4 : length])), length


class Connection(asyncio.Protocol):
    """One connection of a caller; requests on it are answered one after the other.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes a message and this connection, and returns the
        bytes of the answer, or None for no answer on this connection any more.  It is
        cancelled when the connection ends.
    open_connections : set
        All connections that are open.
    """

    def __init__(self, handle: Callable, open_connections: set):
        self._handle = handle
        self._open = open_connections
        self._unread = bytearray()
        self._task = None
        self.transport = None

    def connection_made(self, transport):
        """Begin to take requests."""
        self.transport = transport
        self._open.add(self)

    def connection_lost(self, exc):
        """Cancel what runs for the caller."""
        self._open.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        """Take bytes."""
        self._unread += data
        if self._task is None:
            self._next()

    def _next(self):
        found = parse(self._unread)
        if found is not None:
            message, length = found
            del self._unread[:length]
            self._task = asyncio.ensure_future(self._serve(message))

    async def _serve(self, message):
        data = await self._handle(message, self)
        if data is None:
            await asyncio.Event().wait()
        self.transport.write(data)
        if message.field("connection", "").lower() == "close":
            self.transport.close()
            return
        self._task = None
        self._next()


async def listen(ip, port, handle, open_connections):
    """Return a server that answers requests by `handle`."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(handle, open_connections), ip, port, backlog=BACKLOG
    )


async def follow_commands(on_command):
    """Call `on_command` with each line of JSON on standard input; exit at its end.

    The end of standard input means that the process that controls this one is gone.
    """
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        on_command(json.loads(line))
    os._exit(0)
