"""The processes that are compared, and the stand-ins that they need."""

import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TARGETS = 4
SLOTS = 32
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
PREFIX = "/bench/desk"

SETTINGS = """\
host: bench
data_centre: a
ip: 127.0.0.1
caller_port: {callers}
peer_port: {peers}
platform_url: http://127.0.0.1:{platform}
admin: {{port: {admin}}}
stop_s: 2.0
observe: {{log_level: ERROR}}
"""

QUESTIONNAIRE = """\
team: bench
weighs_most: imbalance
services:
  - name: desk
    path_prefix: /desk/
    divided_by_key: true
    key: {{source: path, segment: 0}}
    precedence: normal
    wait_ms: 5000
    targets:
{targets}
"""

TARGET = """\
      - {{id: t{port}, ip: 127.0.0.1, port: {port}, data_centre: a, slots: {slots},
         connections: 110, checks_fence: true}}
"""


def free_port():
    """Return a port on which nothing listens at the moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Processes:
    """All processes of one run; they are ended when the context ends."""

    def __init__(self, directory: pathlib.Path, profile: bool = False):
        self._directory = directory
        self._profile = profile
        self._started = []
        self.ports = {}
        self.pids = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for process in self._started:
            process.terminate()
        for process in self._started:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()

    def start(self):
        """Start all processes; return when both sides serve requests."""
        targets = [self._start_standin("target", "--work-ms=0", f"--slots={SLOTS}")]
        targets += [
            self._start_standin("target", "--work-ms=0", f"--slots={SLOTS}")
            for _ in range(TARGETS - 1)
        ]
        platform = self._start_standin("platform")
        self._start_bare(targets)
        self._start_router(platform, targets)
        for side in self.ports:
            self._wait_until_serving(side)

    def processor_s(self, side):
        """Return the processor time that one side has used, in seconds."""
        fields = pathlib.Path(f"/proc/{self.pids[side]}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self, side):
        """Return the peak resident memory of one side, in MiB."""
        text = pathlib.Path(f"/proc/{self.pids[side]}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", text)[1]) / 1024

    def load(self, side, callers, seconds):
        """Load one side; return (latencies in seconds, number of bad responses)."""
        completed = subprocess.run(
            [
                *[sys.executable, "-m", "tools.bench.load"],
                *["--port", str(self.ports[side]), "--prefix", PREFIX],
                *["--callers", str(callers), "--seconds", str(seconds)],
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            check=True,
            timeout=seconds + START_TIMEOUT_S,
        )
        result = json.loads(completed.stdout)
        return result["latencies_s"], result["bad"]

    def _start_process(self, *args, **options):
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", *args],
            cwd=ROOT,
            stderr=(self._directory / "errors").open("ab"),
            text=True,
            **options,
        )
        self._started.append(process)
        return process

    def _start_standin(self, name, *args):
        """Start a stand-in and return the port that it prints."""
        module = f"persimmonspoke.standins.{name}"
        process = self._start_process(
            "-m", module, "--port=0", *args, stdout=subprocess.PIPE, bufsize=1
        )
        return int(process.stdout.readline().rsplit(":", 1)[1])

    def _start_bare(self, targets):
        port = free_port()
        args = ["-m", "tools.bench.bare", "--port", str(port), "--targets"]
        process = self._start_process(*args, *map(str, targets))
        self.ports["bare"], self.pids["bare"] = port, process.pid

    def _start_router(self, platform, targets):
        ports = {name: free_port() for name in ("callers", "peers", "admin")}
        settings = self._directory / "settings.yaml"
        settings.write_text(SETTINGS.format(platform=platform, **ports))
        rows = "".join(TARGET.format(port=port, slots=SLOTS) for port in targets)
        questionnaire = self._directory / "questionnaire.yaml"
        questionnaire.write_text(QUESTIONNAIRE.format(targets=rows))
        module = ["-m", "persimmonspoke.daemon.main"]
        if self._profile:
            module = ["-m", "tools.bench.profiled", str(self._directory / "profile")]
        process = self._start_process(*module, "--settings", str(settings))
        self.ports["router"], self.pids["router"] = ports["callers"], process.pid
        self._apply(questionnaire, ports["admin"])

    def _apply(self, questionnaire, admin):
        args = ["-m", "persimmonspoke.cli.main", "questionnaire", "apply"]
        options = ["--generation=0", "--wait=10", f"--admin=http://127.0.0.1:{admin}"]
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            command = [sys.executable, *args, str(questionnaire), *options]
            completed = subprocess.run(
                command, capture_output=True, text=True, cwd=ROOT
            )
            if completed.returncode == 0:
                return
            if time.monotonic() > end:
                raise RuntimeError(completed.stdout + completed.stderr)
            time.sleep(0.2)

    def _wait_until_serving(self, side):
        url = f"http://127.0.0.1:{self.ports[side]}{PREFIX}/1"
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                with urllib.request.urlopen(url, timeout=1):
                    return
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.1)
