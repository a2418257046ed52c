"""A stand-in for a target that holds keys.

It writes each order that it takes, and each request that it runs, as a line of JSON
with the monotonic time.  It listens first and then reports itself to the store, as its
entry must name an address that answers.
"""

import argparse
import asyncio
import json
import time

from review.rig2.http1 import answer, json_answer, serve
from review.rig2.store import HEARTBEAT_S

KEYS = 65536


class Upstream:
    """One life of a target."""

    def __init__(self, args, out):
        self.args = args
        self.born_ms = time.time_ns() // 1_000_000
        self.seen = [0] * KEYS
        self.until = [0.0] * KEYS
        self.busy_keys = {}
        self.busy = 0
        self.sequence = 0
        self.out = out

    def log(self, event, **fields):
        """Write one line."""
        row = {"t": time.monotonic(), "event": event, "id": self.args.id}
        row |= {"born": self.born_ms, **fields}
        self.out.write(json.dumps(row) + "\n")

    async def handle(self, message):
        """Answer one request or order."""
        if message.target == "/grant":
            return self._grant(message.json())
        if message.target == "/release":
            return await self._release(message.json())
        if message.target == "/health":
            return answer(200, b"", [("Persimmonspoke-Instance-Id", self.args.id)])
        return await self._run(message)

    def _grant(self, order):
        part = slice(order["from"], order["to"] + 1)
        fence = order["fence"]
        highest = max(self.seen[part])
        fields = {"first": order["from"], "last": order["to"], "fence": fence}
        if highest > fence:
            self.log("grant refused", seen=highest, **fields)
            return json_answer(409, {})
        now = time.monotonic()
        count = order["to"] - order["from"] + 1
        self.seen[part] = [fence] * count
        self.until[part] = [now + order["hold_s"]] * count
        self.log("grant", hold_s=order["hold_s"], **fields)
        return json_answer(200, {})

    async def _release(self, order):
        part = slice(order["from"], order["to"] + 1)
        count = order["to"] - order["from"] + 1
        self.until[part] = [0.0] * count
        fence = order["fence"]
        self.seen[part] = [max(fence, known) for known in self.seen[part]]
        self.log("release", first=order["from"], last=order["to"], fence=fence)
        while any(order["from"] <= key <= order["to"] for key in self.busy_keys):
            await asyncio.sleep(0.001)
        return json_answer(200, {}, [("Persimmonspoke-Handover", "5c0e7a21d94b36f8")])

    async def _run(self, message):
        request_id = message.headers.get("persimmonspoke-request-id", "")
        echo = ("Persimmonspoke-Request-Id", request_id)
        refused = [echo, ("Persimmonspoke-Not-Executed", "1")]
        expected = message.headers.get("persimmonspoke-target-instance", self.args.id)
        key = int(message.headers.get("persimmonspoke-shard-key", -1))
        holds = key < 0 or self.until[key] > time.monotonic()
        if expected != self.args.id or not holds:
            return json_answer(421, {}, refused)
        if self.busy >= self.args.slots + 8:
            return json_answer(503, {}, refused)
        self.log("run", request=request_id, key=key)
        self.busy += 1
        self.busy_keys[key] = self.busy_keys.get(key, 0) + 1
        try:
            await asyncio.sleep(self.args.work_ms / 1000)
        finally:
            self.busy -= 1
            self.busy_keys[key] -= 1
            if not self.busy_keys[key]:
                del self.busy_keys[key]
        signature = ("Persimmonspoke-Server-Signature", f"s.{self.args.id}")
        return answer(200, f"done {request_id}".encode(), [echo, signature])

    def warmup_left_s(self):
        """Return how much longer this target stays cold, in whole seconds."""
        age_s = time.time() - self.born_ms / 1000
        return max(0, round(self.args.warmup_s - age_s))

    async def report(self):
        """Report this target to the store, at once and then periodically."""
        ip, _, port = self.args.store.rpartition(":")
        while True:
            self.sequence += 1
            spec = {
                "id": self.args.id,
                "service": self.args.service,
                "address": f"{self.args.ip}:{self.args.port}",
                "zone": self.args.zone,
                "version": "v1",
                "slots": self.args.slots,
                "state": "ready",
                "warmup_left_s": self.warmup_left_s(),
                "sequence": self.sequence,
                "born": self.born_ms,
            }
            data = json.dumps(spec).encode()
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                head = f"POST /beat HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            if self.sequence == 1:
                self.log("registered")
            await asyncio.sleep(HEARTBEAT_S)

    async def main(self):
        """Serve until the process is ended."""
        server = await serve(self.args.ip, self.args.port, self.handle)
        self.log("up")
        await asyncio.gather(server.serve_forever(), self.report())


def main():
    """Read the arguments and serve one target."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name in ("--id", "--service", "--ip", "--zone", "--store", "--log"):
        parser.add_argument(name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--warmup-s", type=float, default=0.0)
    args = parser.parse_args()
    with open(args.log, "a", buffering=1) as out:
        asyncio.run(Upstream(args, out).main())


if __name__ == "__main__":
    main()
