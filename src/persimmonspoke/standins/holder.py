"""A stand-in for a target of the users' platform that holds keys.

It appends what it does to a file, one JSON object a line with the monotonic time.
SIGTERM makes it drain: it reports that, works on for a while, and exits.  Commands on
standard input are objects with any of ``late_share`` (of the orders, which are not
answered and carried out later), ``beats`` (whether it reports to the store), and how it
drains: ``drain_s``, ``abrupt`` (its entry is removed at once) and ``closes_listener``.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import time

from persimmonspoke.standins import http1
from persimmonspoke.standins.http1 import answer, json_answer

KEYS = 65536
QUEUE = 8
LATE_S = (2.0, 12.0)
REPORT_TIMEOUT_S = 1.0
COLD_FACTOR = 2
WORK_S = (0.01, 0.06)
LONG_SHARE, LONG_WORK_S = 0.03, (0.3, 1.2)


class Holder:
    """One life of a target.

    Attributes
    ----------
    seen : list of int
        Highest fence that an order has named, by key.
    held : list of tuple
        Fence of the last grant and the end of its time, by key.
    """

    def __init__(self, args, out):
        self.args = args
        self.out = out
        self.born_ms = time.time_ns() // 1_000_000
        self.seen = [0] * KEYS
        self.held = [(0, 0.0)] * KEYS
        self.running = {}
        self.waiting = 0
        self.slots = asyncio.Semaphore(args.slots)
        self.state = "ready"
        self.late_share = args.late_share
        self.beats = True
        self.connections = set()
        self.server = None

    def log(self, kind, **fields):
        """Write one line of the history."""
        row = {"at": time.monotonic(), "kind": kind, "process": self.args.process}
        self.out.write(json.dumps({**row, **fields}) + "\n")

    async def handle(self, message, conn):
        """Answer one request or order."""
        if message.path in ("/grant", "/release"):
            return await self._take_order(message, conn)
        if message.path == "/health":
            status = 200 if self.state == "ready" else 503
            return answer(status, b"", [(http1.INSTANCE_ID, self.args.id)])
        return await self._run(message)

    async def _take_order(self, message, conn):
        if message.field(http1.EXPECTED_TARGET, self.args.id) != self.args.id:
            return json_answer(421, {}, [(http1.NOT_RUN, "1")])
        order, arrived_at = message.json(), time.monotonic()
        carry_out = self._grant if message.path == "/grant" else self._release
        sender = conn.transport.get_extra_info("peername")
        via = sender[1] if sender else None
        if random.random() < self.late_share:
            late_s = random.uniform(*LATE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, carry_out, order, arrived_at, via, True)
            return None
        result = carry_out(order, arrived_at, via, False)
        if message.path == "/release":
            first, last = order["from"], order["to"]
            while any(first <= key <= last for key in self.running.values()):
                await asyncio.sleep(0.002)
        return result

    def _grant(self, order, arrived_at, via, late):
        first, last, fence = order["from"], order["to"], order["fence"]
        part, now = slice(first, last + 1), time.monotonic()
        held = set(self.held[part])
        renewed = all(known == fence and until > now for known, until in held)
        refused = max(self.seen[part]) > fence
        until = arrived_at + order["hold_s"] * self.args.clock_rate
        if not refused:
            if renewed:
                until = max(until, *(end for _, end in held))
            count = last + 1 - first
            self.seen[part] = [fence] * count
            self.held[part] = [(fence, until)] * count
        outcome = "refused" if refused else "duplicate" if renewed else "taken"
        self.log(
            "grant",
            arrived_at=arrived_at,
            range_from=first,
            range_to=last + 1,
            fence=fence,
            hold_s=order["hold_s"],
            held_until=until,
            outcome=outcome,
            late=late,
            via=via,
        )
        return json_answer(409 if refused else 200, {})

    def _release(self, order, arrived_at, via, late):
        first, last, fence = order["from"], order["to"], order["fence"]
        part = slice(first, last + 1)
        held = any(until > time.monotonic() for _, until in self.held[part])
        self.held[part] = [(0, 0.0)] * (last + 1 - first)
        if not self.args.forgets_release_fences:
            self.seen[part] = [max(fence, known) for known in self.seen[part]]
        self.log(
            "release",
            arrived_at=arrived_at,
            range_from=first,
            range_to=last + 1,
            fence=fence,
            outcome="released" if held else "held nothing",
            late=late,
            via=via,
        )
        return json_answer(200, {}, [(http1.HANDOVER, f"{fence:016x}")])

    async def _run(self, message):
        request = message.field(http1.REQUEST_ID, "")
        echo = [(http1.REQUEST_ID, request)]
        if self.state != "ready":
            echo.append(("Connection", "close"))
        refused = [*echo, (http1.NOT_RUN, "1")]
        key = int(message.field(http1.KEY, -1))
        if message.field(http1.EXPECTED_TARGET, self.args.id) != self.args.id:
            return json_answer(421, {}, refused)
        if self.waiting >= QUEUE:
            return None
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            fence, until = self.held[key] if key >= 0 else (None, float("inf"))
            if until <= time.monotonic():
                return json_answer(421, {}, refused)
            long = random.random() < LONG_SHARE
            work_s = random.uniform(*(LONG_WORK_S if long else WORK_S))
            if self.warmup_left_s():
                work_s *= COLD_FACTOR
            done = await self._work(message, request, key, fence, work_s)
        finally:
            self.slots.release()
        if not done:
            return json_answer(500, {}, echo)
        echo.append((http1.SIGNATURE, f"s.{self.args.process}"))
        body = json.dumps({"process": self.args.process, "request": request})
        return answer(200, body.encode(), echo)

    async def _work(self, message, request, key, fence, work_s):
        """Work on a request; return whether the key was held to its end."""
        fields = {
            "request": request,
            "key": key,
            "protected": message.method == "POST",
            "fence": fence,
            "started_at": time.monotonic(),
        }
        self.log("work", ended_at=None, **fields)
        run = object()  # a request may run twice
        self.running[run] = key
        try:
            await asyncio.sleep(work_s)
        finally:
            del self.running[run]
            self.log("work", ended_at=time.monotonic(), **fields)
        return key < 0 or self.held[key][1] > time.monotonic()

    def warmup_left_s(self):
        """Return how much longer this target stays cold, in whole seconds."""
        age_s = time.time() - self.born_ms / 1000
        return max(0, round(self.args.warmup_s - age_s))

    async def _report(self, **fields):
        spec = {
            "id": self.args.id,
            "service": self.args.service,
            "address": self.args.address,
            "zone": self.args.zone,
            "version": "v1",
            "slots": self.args.slots,
            "state": self.state,
            "warmup_left_s": self.warmup_left_s(),
            "born": self.born_ms,
            **fields,
        }
        data = json.dumps(spec).encode()
        ip, _, port = self.args.store.rpartition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
                head = f"POST /beat HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return head.split(b" ", 2)[1] == b"200"
        return False

    async def _report_periodically(self):
        sequence = 0
        await asyncio.sleep(self.args.report_after_s)
        while True:
            sequence += 1
            if self.beats:
                await self._report(sequence=sequence)
            await asyncio.sleep(self.args.heartbeat_s)

    async def _drain(self):
        self.log("draining")
        self.state = "draining"
        if self.args.closes_listener:
            self.server.close()
        if self.args.abrupt:
            self.beats = False
            await self._report(left=True)
        else:
            if await self._report(sequence=0):
                self.log("leaving")
        await asyncio.sleep(self.args.drain_s)
        if not self.args.abrupt:
            await self._report(left=True)
        os._exit(0)

    def on_command(self, command):
        """Change what it does."""
        self.late_share = command.get("late_share", self.late_share)
        self.beats = command.get("beats", self.beats)
        self.args.drain_s = command.get("drain_s", self.args.drain_s)
        for name in ("closes_listener", "abrupt"):
            setattr(self.args, name, command.get(name, getattr(self.args, name)))

    async def main(self):
        """Serve until the process ends."""
        args, loop = self.args, asyncio.get_running_loop()
        tasks = []
        loop.add_signal_handler(
            signal.SIGTERM,
            lambda: tasks.append(asyncio.ensure_future(self._drain())),
        )
        self.server = await http1.listen(
            args.ip, args.port, self.handle, self.connections
        )
        self.log(
            "life",
            id=args.id,
            born=self.born_ms,
            address=args.address,
            service=args.service,
        )
        await asyncio.gather(
            self._report_periodically(), http1.follow_commands(self.on_command)
        )


def main():
    """Read the arguments and serve one target."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for name in ("process", "id", "service", "zone", "ip", "store", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--address", required=True, help="as it reports it")
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--heartbeat-s", type=float, default=0.87)
    parser.add_argument("--report-after-s", type=float, default=0.0)
    parser.add_argument("--warmup-s", type=float, default=3.0)
    parser.set_defaults(drain_s=2.0, abrupt=False, closes_listener=False)
    parser.add_argument("--late-share", type=float, default=0.0)
    parser.add_argument("--clock-rate", type=float, default=1.0)
    parser.add_argument("--forgets-release-fences", action="store_true")
    args = parser.parse_args()
    with open(args.log, "a", buffering=1) as out:
        asyncio.run(Holder(args, out).main())


if __name__ == "__main__":
    main()
