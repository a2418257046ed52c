"""Callers of the users' platform, on connections that they keep until these end.

They append what they sent and what became of it to a file, one JSON object a line with
the monotonic time.
"""

import argparse
import asyncio
import itertools
import json
import random
import sys
import time
from dataclasses import dataclass

from persimmonspoke.standins import http1

KEYS = 65536
HOT_SHARE, HOT_KEYS, HOT_S = 0.35, 200, 3.0
CONNECT_S = 1.0
AFTER_FAILURE_S = 0.2
GIVE_UP_S = 1.0  # beyond the deadline that it names


@dataclass(frozen=True)
class RequestKind:
    """One kind of request."""

    method: str
    host: str
    path: str
    service: str
    timeout_ms: int
    weight: float


KINDS = (
    RequestKind("GET", "x.example", "/stock/", "inventory", 800, 5.0),
    RequestKind("POST", "x.example", "/reserve/", "inventory", 1000, 2.0),
    RequestKind("POST", "x.example", "/rent/", "checkout", 1000, 1.5),
    RequestKind("GET", "x.example", "/report/", "ledger", 1500, 1.0),
)


def pick_key():
    """Return a key; some keys are hot, and others every few seconds."""
    if random.random() < HOT_SHARE:
        first = random.Random(int(time.monotonic() / HOT_S)).randrange(KEYS - HOT_KEYS)
        return first + random.randrange(HOT_KEYS)
    return random.randrange(KEYS)


class Callers:
    """All callers of a run.

    Parameters
    ----------
    pause_s : float
        Mean time between two requests of one caller.
    """

    def __init__(self, kinds, pause_s, out):
        self.kinds = kinds
        self.pause_s = pause_s
        self.out = out
        self._numbers = itertools.count()

    def log(self, kind, **fields):
        """Write one line of the history."""
        row = {"at": time.monotonic(), "kind": kind, **fields}
        self.out.write(json.dumps(row) + "\n")

    async def call_periodically(self, name, ip, port):
        """Send one request after the other to a host, over one connection at a time."""
        conn = None
        weights = [kind.weight for kind in self.kinds]
        while True:
            await asyncio.sleep(random.expovariate(1 / self.pause_s))
            if conn is None:
                try:
                    async with asyncio.timeout(CONNECT_S):
                        conn = await asyncio.open_connection(ip, port)
                except (OSError, TimeoutError):
                    await asyncio.sleep(AFTER_FAILURE_S)
                    continue
            (kind,) = random.choices(self.kinds, weights)
            if not await self._send(kind, name, *conn):
                conn[1].close()
                conn = None

    async def _send(self, kind, name, reader, writer):
        """Send one request; return whether its connection can be used again."""
        request = f"r{next(self._numbers):06x}"
        key = pick_key()
        body = b"a body" if kind.method == "POST" else b""
        fields = [
            ("Host", kind.host),
            (http1.REQUEST_ID, request),
            (http1.DEADLINE_MS, kind.timeout_ms),
            ("Content-Length", len(body)),
            (http1.KEY, key),
        ]
        head = "".join(f"{field}: {value}\r\n" for field, value in fields)
        self.log(
            "sent",
            request=request,
            key=key,
            protected=kind.method == "POST",
            service=kind.service,
            host=name,
        )
        try:
            writer.write(
                f"{kind.method} {kind.path}{request} HTTP/1.1\r\n{head}\r\n".encode()
                + body
            )
            async with asyncio.timeout(kind.timeout_ms / 1000 + GIVE_UP_S):
                return await self._read(request, name, reader)
        except TimeoutError:
            error = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            error = repr(exc)
        self.log("lost", request=request, error=error, host=name)
        return False

    async def _read(self, request, name, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        status = int(first.split()[1])
        pairs = (line.partition(":") for line in lines)
        headers = {field.strip().lower(): value.strip() for field, _, value in pairs}
        length = int(headers.get("content-length", 0))
        body, complete = b"", True
        try:
            body = await reader.readexactly(length)
        except asyncio.IncompleteReadError as exc:
            body, complete = exc.partial, False
        process = None
        if status == 200 and complete:
            content = json.loads(body)
            process = content["process"]
            complete = content["request"] == request
        self.log(
            "answered",
            request=request,
            status=status,
            complete=complete,
            body_process=process,
            host=name,
        )
        return complete and headers.get("connection", "").lower() != "close"


async def main(args):
    """Send requests until the process is ended."""
    with open(args.log, "a", buffering=1) as out:
        kinds = [kind for kind in KINDS if kind.service in args.services.split(",")]
        hosts = [host.split("=") for host in args.hosts.split(",")]
        callers = Callers(kinds, args.each * len(hosts) / args.per_s, out)
        tasks = [
            callers.call_periodically(name, *address.split(":"))
            for name, address in hosts
            for _ in range(args.each)
        ]
        await asyncio.gather(http1.follow_commands(sys.exit), *tasks)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--log", required=True)
    parser.add_argument("--hosts", required=True, help="NAME=IP:PORT,...")
    parser.add_argument("--services", required=True)
    parser.add_argument("--each", type=int, default=4, help="callers of each host")
    parser.add_argument("--per-s", type=float, required=True)
    asyncio.run(main(parser.parse_args()))
