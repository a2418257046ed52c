"""A stand-in for the object store of the users' platform, with faults.

It listens on one port for targets and operators and on one for each host, so that it
can turn away single hosts.  Commands on standard input are objects with ``faults``, by
the number of the host or ``all``: ``how`` is one of `FaultKind`, ``x`` a share of the
writes or a factor of the time; null ends them.  ``compact`` drops the history.

Targets report to it by ``POST /beat``, which is private to the platform.
"""

import argparse
import asyncio
import contextlib
import enum
import random
import time
from urllib.parse import parse_qs, urlsplit

from persimmonspoke.standins import http1
from persimmonspoke.standins.http1 import json_answer

ANSWER_S = 0.004
MAX_EVENTS = 20_000
PAGE = 500
LATE_S = (1.0, 6.0)  # when a write whose answer is lost is carried out


class FaultKind(enum.Enum):
    """What the store does to the calls of a host."""

    BUSY = "busy"  # 503
    MANY = "many"  # 429
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"  # a share of the writes is carried out and not answered
    LATE = "late"  # the same, and carried out seconds later


class Store:
    """The objects, with a single counter of revisions."""

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.objects = {}
        self.events = []
        self.first_revision = self.revision = 100
        self.reported_at = {}
        self.faults = {}
        self.connections = {}
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=(), status=None):
        """Create or replace an object whatever its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": list(finalizers)}
        found = {"metadata": meta, "spec": spec, "status": status}
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def remove(self, kind, name):
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found is None:
            return
        self.revision += 1
        meta = {**found["metadata"], "revision": self.revision}
        self._note(kind, {**found, "metadata": meta}, True)

    def _note(self, kind, found, deleted):
        self.events.append((self.revision, kind, {"object": found, "deleted": deleted}))
        if len(self.events) > MAX_EVENTS:
            self.compact(MAX_EVENTS // 2)
        self._wake()

    def _wake(self):
        fired, self._changed = self._changed, asyncio.Event()
        fired.set()

    def compact(self, kept=0):
        """Drop all but the newest events."""
        self.events = self.events[len(self.events) - kept :]
        self.first_revision = self.events[0][0] - 1 if self.events else self.revision
        self._wake()

    def beat(self, spec):
        """Take a target's report; a change of the sequence alone is no change."""
        name = spec.pop("id")
        if spec.pop("left", False):
            self.reported_at.pop(name, None)
            self.remove("servers", name)
            return
        self.reported_at[name] = time.monotonic()
        known = self.objects.get(("servers", name))
        if known is None or {**known["spec"], "sequence": 0} != {**spec, "sequence": 0}:
            self.put("servers", name, spec)

    async def expire(self):
        """Remove the entries of silent targets."""
        while True:
            await asyncio.sleep(0.05)
            oldest = time.monotonic() - 3 * self.heartbeat_s
            for name in [n for n, at in self.reported_at.items() if at < oldest]:
                del self.reported_at[name]
                self.remove("servers", name)

    def on_command(self, command):
        """Begin or end faults."""
        for host, fault in command.get("faults", {}).items():
            self.faults[host] = fault
            kind = FaultKind(fault["how"]) if fault else None
            if kind in (FaultKind.RESET, FaultKind.SILENT):
                hosts = self.connections if host == "all" else [host]
                for conn in [c for h in hosts for c in self.connections[h]]:
                    conn.transport.abort()
        if command.get("compact"):
            self.compact()

    async def handle(self, host, message, conn):
        """Answer one call of a host, or of the platform itself."""
        fault = (host and (self.faults.get(host) or self.faults.get("all"))) or {}
        kind = FaultKind(fault["how"]) if fault else None
        await asyncio.sleep(ANSWER_S * (fault["x"] if kind is FaultKind.SLOW else 1))
        match kind:
            case FaultKind.BUSY:
                return json_answer(503, {})
            case FaultKind.MANY:
                return json_answer(429, {})
            case FaultKind.RESET:
                conn.transport.abort()
                return None
            case FaultKind.SILENT:
                return None
            case FaultKind.LOST | FaultKind.LATE:
                if message.method != "GET" and random.random() < fault["x"]:
                    late_s = random.uniform(*LATE_S) if kind is FaultKind.LATE else 0
                    loop = asyncio.get_running_loop()
                    loop.call_later(late_s, self._write, message)
                    return None
        return await self._answer(message)

    async def _answer(self, message):
        parts = urlsplit(message.path)
        query = {name: v[0] for name, v in parse_qs(parts.query).items()}
        if parts.path == "/beat":
            self.beat(message.json())
            return json_answer(200, {})
        _, _, kind, *rest = parts.path.split("/")
        if message.method != "GET":
            return self._write(message)
        if rest:
            found = self.objects.get((kind, rest[0]))
            return json_answer(200, found) if found else json_answer(404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        names = sorted(
            n for k, n in self.objects if k == kind and n > query.get("after", "")
        )
        items = [self.objects[kind, name] for name in names[:PAGE]]
        more = len(names) > len(items)
        body = {"items": items, "has_more": more, "current_rev": self.revision}
        return json_answer(200, body)

    async def _watch(self, kind, since, query):
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if since < self.first_revision:
                return json_answer(410, {})
            events = [e for r, k, e in self.events if r > since and k == kind]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "current_rev": self.revision}
                return json_answer(200, body)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, message):
        parts = urlsplit(message.path)
        _, _, kind, *rest = parts.path.split("/")
        body = message.json()
        meta = body.get("metadata", {})
        query = {name: v[0] for name, v in parse_qs(parts.query).items()}
        name = rest[0] if rest else meta["name"]
        known = self.objects.get((kind, name))
        revision = meta.get("revision", query.get("revision"))
        if message.method == "POST":
            if known is not None:
                return json_answer(409, known)
            found = self.put(kind, name, body.get("spec"), meta.get("finalizers", ()))
            return json_answer(200, found)
        if known is None:
            return json_answer(404, {})
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return json_answer(409, known)
        if message.method == "DELETE":
            self.remove(kind, name)
            return json_answer(200, {})
        finalizers = known["metadata"]["finalizers"]
        spec, status = known["spec"], known["status"]
        if rest[1:] == ["status"]:
            status = body.get("status")
        else:
            spec, finalizers = body["spec"], meta.get("finalizers", finalizers)
        if spec == known["spec"] and status == known["status"]:
            return json_answer(200, known)
        return json_answer(200, self.put(kind, name, spec, finalizers, status))


async def main(args):
    """Serve the store."""
    store = Store(args.heartbeat_s)
    for number in range(args.hosts + 1):
        host = str(number) if number else None
        conns = store.connections.setdefault(host, set())

        async def handle(message, conn, host=host):
            return await store.handle(host, message, conn)

        await http1.listen(args.ip, args.port + number, handle, conns)
    await asyncio.gather(store.expire(), http1.follow_commands(store.on_command))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--hosts", type=int, required=True)
    parser.add_argument("--heartbeat-s", type=float, required=True)
    asyncio.run(main(parser.parse_args()))
