"""Runs a deployment as processes of this machine and carries out a schedule of faults.

The hosts are started as the deploy file does; store, targets and callers are stand-ins.
Everything that happens to a process is written to ``runner.jsonl``.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import tomllib
import urllib.request
from dataclasses import dataclass, field

from persimmonspoke.standins import deployment
from tools.soak.proxy import Cut, CutKind, Proxy
from tools.soak.schedule import Size, Step

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 40.0
READY_POLL_S = 0.1
END_POLL_S = 0.01
STALL_POLL_S = 0.05
STALL_S = 0.1  # lateness of the proxy that the judge is told of
SETTLE_S = 4.0  # for the last answers and the ends of processes
STORE_PORT, TARGET_PORT = 7000, 9000
HANDED_OVER_S = 1.0  # between the start of a target and the stop of the one it replaces
SLOW_CLOCK = 1.02
SLOW_LINK_S = 0.25  # below the time limit of an order, so that orders come late
REPORT_LAG_S = 0.8  # between the start of a target and its entry
# The last byte of each address has three digits; see `Proxy`.
FIRST_HOST, FIRST_PLACE = 100, 100
OWN, SEEN, STORE, STORE_SEEN, TARGET, TARGET_SEEN = range(1, 7)


class CannotRun(Exception):
    """The run could not begin, so it shows nothing."""


@dataclass
class Life:
    """One process from its start to its end."""

    process: str
    role: str
    proc: subprocess.Popen
    target_id: str | None = None
    paused: bool = False
    ended: bool = False


@dataclass
class Place:
    """The address of a target, and the process that has it now."""

    number: int
    service: str | None
    life: Life | None = None
    last_id: str | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(frozen=True)
class RunSettings:
    """What a run is made of.

    Attributes
    ----------
    code : pathlib.Path
        Checkout whose hosts run.
    net : int
        Second byte of all addresses, 101 to 250; runs side by side differ in it.
    forgets_release_fences : bool
        Whether targets forget the fence of a release.
    """

    size: Size
    seed: int
    seconds: float
    folder: pathlib.Path
    code: pathlib.Path = ROOT
    net: int = 101
    forgets_release_fences: bool = False


class Rig:
    """All processes of one run; use it in an ``async with`` statement."""

    def __init__(self, cfg: RunSettings):
        self.cfg = cfg
        self.rng = random.Random(cfg.seed)
        self.hosts = {n: None for n in range(1, cfg.size.hosts + 1)}
        self.host_locks = {n: asyncio.Lock() for n in self.hosts}
        services = [s for s, n in cfg.size.services.items() for _ in range(n)]
        services += [None] * cfg.size.spares
        self.places = [Place(n, service) for n, service in enumerate(services)]
        self.store = None
        self.proxy = Proxy(self.note, self._host_pids)
        self._zones = [zone for zone, n in enumerate(cfg.size.zones) for _ in range(n)]
        self._all = []
        self._labels = {}
        self._ids = itertools.count()
        self._late_share = 0.0
        self._last_host = 1
        self._tasks = set()
        self._out = (cfg.folder / "runner.jsonl").open("w", buffering=1)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for life in self._all:
            if not life.ended:
                self._signal(life, signal.SIGKILL)
                await _wait(life.proc)
                self._note_end(life, "the run is over")
        self.proxy.close()
        self._out.close()

    def note(self, kind, **fields):
        """Write one line of the history."""
        if not self._out.closed:
            row = {"at": time.monotonic(), "kind": kind, **fields}
            self._out.write(json.dumps(row) + "\n")

    # Addresses.

    def _ip(self, use, number):
        return f"127.{self.cfg.net}.{use}.{number}"

    def _own_ip(self, host):
        return self._ip(OWN, FIRST_HOST + host)

    def _host_pids(self):
        lives = {f"h{n}": life for n, life in self.hosts.items() if life is not None}
        return {life.proc.pid: name for name, life in lives.items()}

    async def _open_proxy(self):
        store = self._ip(STORE, 100)
        for host in self.hosts:
            own, seen = self._own_ip(host), self._ip(SEEN, FIRST_HOST + host)
            name = f"h{host}"
            self.proxy.name_address(name, own, seen)
            for port in (deployment.PEERS, deployment.PEERS + 1):
                await self.proxy.listen((seen, port), (own, port), name)
            way = self._ip(STORE_SEEN, FIRST_HOST + host), STORE_PORT
            await self.proxy.listen(way, (store, STORE_PORT + host), "store", name)
        for place in self.places:
            seen, own = (self._target_address(place, u) for u in (TARGET_SEEN, TARGET))
            await self.proxy.listen(seen, own, f"t{place.number}")

    def _target_address(self, place, use):
        return self._ip(use, FIRST_PLACE + place.number), TARGET_PORT

    # Processes.

    def _spawn(self, label, role, words, more_env=None, cwd=ROOT, **fields):
        number = self._labels[label] = self._labels.get(label, 0) + 1
        process = f"{label}.{number}"
        self.proxy.started_at[label] = time.monotonic()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self.cfg.folder / f"{role}-{process}.log").open("wb") as out:
            proc = subprocess.Popen(
                [word.replace("{process}", process) for word in words],
                bufsize=0,
                cwd=cwd,
                env={**env, "PYTHONPATH": str(ROOT / "src"), **(more_env or {})},
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=out,
            )
        life = Life(process, role, proc)
        self._all.append(life)
        self.note("process_start", process=process, role=role, **fields)
        return life

    async def _end(self, life, number, how):
        """Send a signal and wait for the end; SIGKILL follows after the grace."""
        if life.paused and number != signal.SIGKILL:
            self._resume(life)
        self._signal(life, number)
        try:
            async with asyncio.timeout(deployment.GRACE_S):
                await _wait(life.proc)
        except TimeoutError:
            how = f"{how}, killed"
            self._signal(life, signal.SIGKILL)
            await _wait(life.proc)
        self._note_end(life, how)

    def _note_end(self, life, how):
        life.ended = True
        self.note("process_end", process=life.process, how=how)

    def _signal(self, life, number):
        if life.proc.poll() is None:
            life.proc.send_signal(number)

    def _pause(self, life):
        life.paused = True
        self.note("pause", process=life.process)
        self._signal(life, signal.SIGSTOP)

    def _resume(self, life):
        if life.paused and life.proc.poll() is None:
            life.paused = False
            self._signal(life, signal.SIGCONT)
            self.note("resume", process=life.process)

    def _command(self, life, **command):
        if life is not None and life.proc.poll() is None:
            with contextlib.suppress(OSError):
                life.proc.stdin.write(json.dumps(command).encode() + b"\n")

    async def _start_store(self):
        ip = self._ip(STORE, 100)
        words = [sys.executable, "-m", "persimmonspoke.standins.objects", "--ip", ip]
        words += ["--hosts", str(len(self.hosts))]
        words += ["--heartbeat-s", str(deployment.HEARTBEAT_S)]
        self.store = self._spawn("store", "store", words, address=ip)
        spec = deployment.configuration(self.cfg.size.services)
        data = json.dumps({"metadata": {"name": "main"}, "spec": spec}).encode()
        url = f"http://{ip}:{STORE_PORT}/objects/config"
        await self._until(lambda: _answers(url, data), "the store")

    def _start_host(self, host, first_start=False):
        ip = self._own_ip(host)
        boot = self.cfg.folder / f"settings-{host}"
        store = f"{self._ip(STORE_SEEN, FIRST_HOST + host)}:{STORE_PORT}"
        zone = f"z{self._zones[host - 1]}"
        boot.write_text(
            deployment.settings_text(f"front-{host}", ip, zone, store, first_start)
        )
        cfg = tomllib.loads((self.cfg.code / "deploy" / "system.toml").read_text())
        words = cfg["roles"]["entry"]["run"].split()
        env = {
            "PYTHONPATH": str(self.cfg.code / "src"),
            "PERSIMMONSPOKE_BOOT": str(boot.resolve()),
        }
        self.hosts[host] = self._spawn(
            f"h{host}",
            "host",
            [sys.executable, *words[1:]],
            env,
            self.cfg.code,
            address=self._ip(SEEN, FIRST_HOST + host),
        )

    def _start_target(self, place, service, target_id=None, **options):
        target_id = target_id or f"i-{next(self._ids)}"
        address = "{}:{}".format(*self._target_address(place, TARGET_SEEN))
        ip, port = self._target_address(place, TARGET)
        words = [sys.executable, "-m", "persimmonspoke.standins.holder"]
        words += ["--process", "{process}", "--id", target_id, "--service", service]
        words += ["--zone", f"z{place.number % len(self.cfg.size.zones)}"]
        words += ["--ip", ip, "--port", str(port), "--address", address]
        words += ["--store", f"{self._ip(STORE, 100)}:{STORE_PORT}"]
        words += ["--log", str(self.cfg.folder / "target-{process}.jsonl")]
        words += ["--heartbeat-s", str(deployment.HEARTBEAT_S)]
        words += ["--late-share", str(self._late_share)]
        report_after_s = round(self.rng.uniform(0, REPORT_LAG_S), 3)
        words += ["--report-after-s", str(report_after_s)]
        words += ["--clock-rate", str(self.rng.choice((1.0, SLOW_CLOCK)))]
        if self.cfg.forgets_release_fences:
            words.append("--forgets-release-fences")
        life = self._spawn(
            f"t{place.number}",
            "target",
            words,
            id=target_id,
            address=address,
            service=service,
        )
        life.target_id = target_id
        place.life, place.service, place.last_id = life, service, target_id

    async def _until(self, condition, what):
        async with asyncio.timeout(READY_S):
            while not await asyncio.to_thread(condition):
                await asyncio.sleep(READY_POLL_S)

    async def start(self):
        """Start everything, and wait until all hosts are ready."""
        self._tasks.add(asyncio.create_task(self._watch_loop()))
        await self._open_proxy()
        try:
            await self._start_store()
            for place in self.places[: self.cfg.size.targets]:
                self._start_target(place, place.service)
                await asyncio.sleep(0)
            for host in self.hosts:
                self._start_host(host, first_start=True)
                await asyncio.sleep(0)
            for host in self.hosts:
                url = f"http://{self._own_ip(host)}:{deployment.READY}/ready"
                await self._until(lambda url=url: _answers(url), f"host {host}")
        except TimeoutError as exc:
            raise CannotRun("a process was not ready in time") from exc
        hosts = (f"h{n}={self._own_ip(n)}:{deployment.CALLERS}" for n in self.hosts)
        words = [sys.executable, "-m", "persimmonspoke.standins.callers"]
        words += ["--log", str(self.cfg.folder / "callers.jsonl")]
        words += ["--hosts", ",".join(hosts), "--per-s", str(self.cfg.size.per_s)]
        words += ["--services", ",".join(self.cfg.size.services)]
        self.callers = self._spawn("callers", "callers", words)

    # The schedule.

    async def _watch_loop(self):
        """Note when this process was late, and so the proxy with all bytes."""
        while True:
            passed_at = time.monotonic()
            due_at = passed_at + STALL_POLL_S
            await asyncio.sleep(STALL_POLL_S)
            self.proxy.passed_at = passed_at
            late_s = time.monotonic() - due_at
            if late_s > STALL_S:
                self.note("stall", for_s=late_s)

    async def play(self, steps: list[Step]) -> None:
        """Carry out a schedule."""
        begun_at = time.monotonic()
        for step in steps:
            await asyncio.sleep(max(0, begun_at + step.at - time.monotonic()))
            args = dict(step.args)
            if "host" in args:
                args["host"] = self._resolve(args["host"])
            late_s = round(time.monotonic() - begun_at - step.at, 3)
            self.note("fault", name=step.name, args=args, late_s=late_s)
            task = asyncio.create_task(getattr(self, step.name)(**args))
            self._tasks.add(task)
            task.add_done_callback(self._done)
        await asyncio.sleep(max(0, begun_at + self.cfg.seconds - time.monotonic()))
        await self._end(self.callers, signal.SIGTERM, "the run is over")
        await asyncio.sleep(SETTLE_S)
        self.note("over")

    def _done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _resolve(self, host):
        if host == "leader":
            host = int(self.proxy.last_granter[1:]) if self.proxy.last_granter else 1
        if host == "same":
            host = self._last_host
        if host != "all":
            self._last_host = host
        return host

    async def _restart_host(self, host, number, how, down_s):
        async with self.host_locks[host]:
            await self._end(self.hosts[host], number, how)
            await asyncio.sleep(down_s)
            self._start_host(host)

    async def host_kill(self, host, down_s):
        """Kill a host and start it again."""
        await self._restart_host(host, signal.SIGKILL, "killed", down_s)

    async def host_stop(self, host, down_s):
        """Stop a host by plan and start it again."""
        await self._restart_host(host, signal.SIGTERM, "stopped", down_s)

    async def host_pause(self, host, for_s):
        """Let a host stand still."""
        await self._pause_for(self.hosts[host], for_s)

    async def _pause_for(self, life, for_s):
        if life is None or life.paused or life.proc.poll() is not None:
            return
        self._pause(life)
        await asyncio.sleep(for_s)
        self._resume(life)

    async def host_cut(self, host, ends, how, for_s):
        """Cut a host from the store, from targets, from other hosts or all."""
        hosts = {f"h{n}" for n in self.hosts if n != host}
        targets = {f"t{place.number}" for place in self.places}
        found = {"store": {"store"}, "hosts": hosts, "targets": targets}
        found["all"] = {"store"} | hosts | targets
        await self._cut({f"h{host}"}, found[ends], how, for_s)

    async def _cut(self, hosts, ends, how, for_s):
        kind = CutKind(how)
        delay_s = SLOW_LINK_S if kind is CutKind.SLOW else 0.0
        cut = Cut(kind, frozenset(hosts), frozenset(ends), delay_s)
        names = [sorted(hosts), sorted(ends)]
        self.proxy.cut(cut)
        self.note("cut", what=how, ends=names)
        await asyncio.sleep(for_s)
        self.proxy.heal(cut)
        self.note("heal", what=how, ends=names)

    async def target_cut(self, place, hosts, how, for_s):
        """Cut a target from all hosts, half of them, all but the last named, or one."""
        names = [f"h{n}" for n in self.hosts]
        if hosts == "half":
            names = names[::2]
        elif hosts == "others":
            names.remove(f"h{self._last_host}")
        elif hosts != "all":
            names = [f"h{self._resolve(hosts)}"]
        await self._cut(names, {f"t{place}"}, how, for_s)

    async def target_unreported(self, place, for_s):
        """Let a target report nothing to the store."""
        life = self.places[place].life
        self._command(life, beats=False)
        await asyncio.sleep(for_s)
        self._command(life, beats=True)

    async def target_pause(self, place, for_s):
        """Let a target stand still."""
        await self._pause_for(self.places[place].life, for_s)

    async def target_restart(self, place, same_id, down_s, service=None):
        """Kill a target and start another at its address, also one of a service."""
        place = self.places[place]
        async with place.lock:
            if place.life is None:
                return
            life = place.life
            await self._end(life, signal.SIGKILL, "killed")
            await asyncio.sleep(down_s)
            target_id = life.target_id if same_id else None
            self._start_target(place, service or place.service, target_id)

    async def _wait_for_end(self, life, how):
        self._resume(life)
        self._signal(life, signal.SIGTERM)
        await _wait(life.proc)
        self._note_end(life, how)

    async def target_drain(
        self, place, extra_s, closes_listener, abrupt, then, overlaps
    ):
        """Let a target drain; its address may go to another one, also of a service.

        With `overlaps`, that one starts while the target still works on.
        """
        place = self.places[place]
        async with place.lock:
            if place.life is None:
                return
            life = place.life
            self._command(
                life,
                drain_s=deployment.DRAIN_S + extra_s,
                closes_listener=closes_listener,
                abrupt=abrupt,
            )
            await asyncio.sleep(0.05)  # the command comes before the signal
            ending = asyncio.create_task(self._wait_for_end(life, "drained"))
            if not overlaps:
                await ending
            place.life = None
            if then is not None:
                await asyncio.sleep(deployment.REUSE_DELAY_S)
                self._start_target(place, then)
        await ending

    async def target_replace(self, place):
        """Start a target at a free address, then drain one of its service."""
        place = self.places[place]
        free = [p for p in self.places if p.life is None and not p.lock.locked()]
        if place.life is None or place.lock.locked() or not free:
            return
        async with place.lock, free[0].lock:
            self._start_target(free[0], place.service)
        await asyncio.sleep(HANDED_OVER_S)
        await self.target_drain(place.number, 1.0, False, False, None, False)

    async def store_fault(self, host, how, x, for_s):
        """Let the store turn away a host or all, or be slow, or lose answers."""
        await self._store_fault(str(host), {"how": how, "x": x}, for_s)

    async def _store_fault(self, host, fault, for_s):
        ends = [["store"], [host if host == "all" else f"h{host}"]]
        self._command(self.store, faults={host: fault})
        self.note("cut", what=f"store {fault['how']}", ends=ends)
        await asyncio.sleep(for_s)
        self._command(self.store, faults={host: None})
        self.note("heal", what=f"store {fault['how']}", ends=ends)

    async def store_pause(self, for_s):
        """Let the store stand still."""
        await self._pause_for(self.store, for_s)

    async def store_compact(self):
        """Let the store forget its history."""
        self._command(self.store, compact=True)

    async def orders_late(self, share, for_s):
        """Leave a share of the orders unanswered, to be carried out late."""
        self._set_late_share(share)
        await asyncio.sleep(for_s)
        self._set_late_share(0.0)

    def _set_late_share(self, share):
        self._late_share = share
        for place in self.places:
            self._command(place.life, late_share=share)


async def _wait(proc):
    while proc.poll() is None:
        await asyncio.sleep(END_POLL_S)


def _answers(url, data=None):
    try:
        with urllib.request.urlopen(url, data, timeout=1) as resp:
            return resp.status == 200
    except OSError:
        return False
