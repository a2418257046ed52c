"""Hosts that assign keys to target processes over real sockets, in real time."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import replace
from unittest import mock

import eventlet

from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.routing.config import RoutedService, RoutingConfig
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.connections import can_connect
from persimmonspoke.platform.orders import HttpRangeOrders
from tests.fakes import range_fleet, virtual_hub
from tests.fakes.range_fleet import RangeFleet, RangeHost, record

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEYS = range(0, 65536, 257)
"""The keys whose holders are compared; all others behave like their neighbours."""
START_S = 20.0  # an interpreter on a busy machine
LONGEST_DOUBLE_HOLD_S = 0.5


def now():
    """Return the time of the clock that all processes of the machine share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TargetProcess:
    """One life of a target as a process, and when it ended.

    Parameters
    ----------
    backlog : int
        Connections that wait to be accepted at most.
    """

    def __init__(self, name, service, port, log_path, backlog=64):
        self.name, self.service, self.ended_at = name, service, None
        self.log_path = log_path
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.fakes.key_process", name, "127.0.0.1"]
            + [str(port), str(log_path), str(backlog)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
        )
        until = now() + START_S
        while not self.rows("up"):
            if now() > until or self._process.poll() is not None:
                raise RuntimeError(f"target {name} did not start")
            eventlet.sleep(0.01)
        self.port = self.rows("up")[0]["port"]

    def rows(self, *events):
        """Return what it has logged, of some kinds of events."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text().split("\n")[:-1]
        rows = [json.loads(line) for line in lines]
        return [row for row in rows if row["event"] in events]

    def tell(self, command):
        """Send it a command; return once it has closed its listener, if told so."""
        self._process.stdin.write(command.encode() + b"\n")
        self._process.stdin.flush()
        while command == "close" and not self.rows("closed"):
            eventlet.sleep(0.005)

    def pause(self):
        """Stop the process until it is resumed."""
        os.kill(self._process.pid, signal.SIGSTOP)
        os.waitpid(self._process.pid, os.WUNTRACED)

    def resume(self):
        """Resume the process."""
        os.kill(self._process.pid, signal.SIGCONT)

    def kill(self):
        """End the process."""
        if self.ended_at is None:
            self._process.kill()
            self._process.wait()
            self._process.stdin.close()
            self.ended_at = now()

    def holds(self, key):
        """Return the spans of time in which it held a key, with their fences."""
        spans, began, until, fence = [], None, None, None
        for row in [*self.rows("grant", "release"), None]:
            if row is not None and not row["from"] <= key <= row["to"]:
                continue
            at = now() if row is None else row["at"]
            if began is not None and (until <= at or row is None):
                spans.append((began, until, fence))
                began = None
            if row is None:
                break
            if row["event"] == "release":
                if began is not None:
                    spans.append((began, at, fence))
                began = None
                continue
            began = at if began is None else began
            until, fence = at + row["hold_s"], row["fence"]
        end = float("inf") if self.ended_at is None else self.ended_at
        return [(b, min(u, end), f) for b, u, f in spans if b < end]


class SocketHost(RangeHost):
    """A host whose orders go over real sockets."""

    def connects(self, fleet, target, timeout_s):
        """Return whether a target accepts a connection in time."""
        return can_connect(target, timeout_s)


class SocketFleet(RangeFleet):
    """Hosts and target processes; store and links between hosts are fakes.

    Attributes
    ----------
    processes : list of TargetProcess
        All lives of all targets so far.
    """

    def __init__(self, hosts=3, services=("stock",)):
        self._patches = ExitStack()
        self._patches.enter_context(mock.patch.object(virtual_hub, "now", now))
        self._patches.enter_context(
            mock.patch.object(range_fleet, "RangeHost", SocketHost)
        )
        self._patches.enter_context(
            mock.patch.object(
                range_fleet,
                "FakeRangeOrders",
                lambda *_: HttpRangeOrders(SystemClock()),
            )
        )
        self._folder = tempfile.TemporaryDirectory()
        self.processes = []
        super().__init__(hosts=hosts, targets=0)
        found = {name: RoutedService(name, 100, True) for name in services}
        self.config = RoutingConfig(1, (), found)
        for host in self.hosts:
            host.state.table = type(host.state.table)(self.config)

    def stop(self):
        """End all tasks and processes."""
        super().stop()
        for process in self.processes:
            process.kill()
        self._patches.close()
        self._folder.cleanup()

    def start_process(self, name, service="stock", port=0, backlog=64):
        """Start a target process, which is not registered yet."""
        log_path = pathlib.Path(self._folder.name) / f"{len(self.processes)}.log"
        process = TargetProcess(name, service, port, log_path, backlog)
        self.processes.append(process)
        return process

    def publish(self, process, **changes):
        """Publish the entry of a process."""
        entry = record(process.name, **changes)
        self.records[process.name] = replace(
            entry, service=process.service, ip="127.0.0.1", port=process.port
        )

    def checked_addresses(self):
        """Return the addresses of the targets that hosts try."""
        return [
            [TargetAddress(r.target_id, r.ip, r.port) for r in self.records.values()]
        ]

    def wait_until_held(self, wait_s=15.0):
        """Wait until each key of each service is granted."""
        until = now() + wait_s
        while now() < until:
            if not any(self.without_holder(name) for name in self.config.services):
                return
            eventlet.sleep(0.1)
        raise AssertionError("keys are without an owner")

    def without_holder(self, service):
        """Return the compared keys of a service that no process holds now."""
        at = now()
        held = set()
        for process in self.processes:
            if process.service == service:
                held |= {k for k in KEYS if any(u > at for _, u, _ in process.holds(k))}
        return [key for key in KEYS if key not in held]

    def long_double_holds(self, ignored=()):
        """Return the keys that two processes of a service held for too long.

        Each comes with the names of the processes, the fences, and for how long.
        """
        found = []
        for key in KEYS:
            spans = [
                (process, *span)
                for process in self.processes
                if process not in ignored
                for span in process.holds(key)
            ]
            for number, (one, b1, u1, f1) in enumerate(spans):
                for other, b2, u2, f2 in spans[:number]:
                    lasts_s = min(u1, u2, now()) - max(b1, b2)
                    if (
                        one is not other
                        and one.service == other.service
                        and lasts_s > LONGEST_DOUBLE_HOLD_S
                    ):
                        found.append(
                            (key, other.name, f2, one.name, f1, round(lasts_s, 2))
                        )
        return found
