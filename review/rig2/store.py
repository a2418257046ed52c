"""A stand-in for the platform's store.

Targets report to it by ``POST /beat``, which is private to the platform.  An entry
without a report for three intervals is removed.
"""

import asyncio
import contextlib
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from review.rig2.http1 import json_answer, serve

HEARTBEAT_S = 0.87
ANSWER_S = 0.004
MAX_EVENTS = 20_000


class Store:
    """The objects of the store, with a single counter of revisions."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.reported_at = {}
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Create or replace an object whatever its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        found = {"metadata": meta, "spec": spec, "status": None}
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def remove(self, kind, name):
        """Remove an object."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        meta = {**found["metadata"], "revision": self.revision}
        self._note(kind, {**found, "metadata": meta}, True)

    def _note(self, kind, found, deleted):
        event = {"object": found, "deleted": deleted}
        self.events.append((self.revision, kind, event))
        del self.events[:-MAX_EVENTS]
        fired, self.changed = self.changed, asyncio.Event()
        fired.set()

    def beat(self, spec):
        """Take a target's report; only another field than the sequence changes it."""
        name = spec.pop("id")
        self.reported_at[name] = time.monotonic()
        known = self.objects.get(("servers", name))
        if known is not None:
            old = {**known["spec"], "sequence": 0}
            if old == {**spec, "sequence": 0}:
                return
        self.put("servers", name, spec)

    async def expire(self):
        """Remove the entries of silent targets."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for name, at in list(self.reported_at.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.reported_at[name]
                    if ("servers", name) in self.objects:
                        self.remove("servers", name)

    async def handle(self, message):
        """Answer one call; each answer names the era."""
        data = await self._answer(message)
        head, end, body = data.partition(b"\r\n\r\n")
        return head + b"\r\nStore-Era: 0" + end + body

    async def _answer(self, message):
        parts = urlsplit(message.target)
        query = {name: v[0] for name, v in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_S)
        if parts.path == "/beat":
            self.beat(message.json())
            return json_answer(200, {})
        if parts.path == "/put":
            body = message.json()
            self.put(body["kind"], body["name"], body["spec"])
            return json_answer(200, {})
        _, _, kind, *rest = parts.path.split("/")
        if message.method == "GET" and rest:
            found = self.objects.get((kind, rest[0]))
            return json_answer(200, found) if found else json_answer(404, {})
        if message.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if message.method == "GET":
            return self._list(kind, query.get("after", ""))
        return self._write(message, kind, rest, query)

    def _list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:500]]
        more = len(names) > len(items)
        body = {"items": items, "has_more": more, "current_rev": self.revision}
        return json_answer(200, body)

    async def _watch(self, kind, since, query):
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [e for r, k, e in self.events if r > since and k == kind]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "current_rev": self.revision}
                return json_answer(200, body)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _write(self, message, kind, rest, query):
        body = message.json()
        meta = body.get("metadata", {})
        name = rest[0] if rest else meta["name"]
        known = self.objects.get((kind, name))
        revision = meta.get("revision", query.get("revision"))
        if message.method == "POST":
            if known is not None:
                return json_answer(409, known)
        elif known is None:
            return json_answer(404, {})
        elif revision is not None and int(revision) != known["metadata"]["revision"]:
            return json_answer(409, known)
        if message.method == "DELETE":
            self.remove(kind, name)
            return json_answer(200, {})
        if known is not None and known["spec"] == body["spec"]:
            return json_answer(200, known)
        return json_answer(200, self.put(kind, name, body["spec"]))


async def main(ip, port):
    """Serve the store."""
    store = Store()
    server = await serve(ip, port, store.handle)
    print(json.dumps({"listens": port}), flush=True)
    await asyncio.gather(server.serve_forever(), store.expire())


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
