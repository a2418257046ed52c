"""Processes that the demo starts, and ends whatever happens."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
STOP_S = 30


class Processes:
    """Python processes by name; all are stopped when the context ends."""

    def __init__(self):
        self._running: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *exc_info) -> None:
        for process in self._running.values():
            process.terminate()
        for process in self._running.values():
            self._end(process)

    def start(self, name: str, *args: str) -> None:
        """Start a Python process with these arguments."""
        self._running[name] = subprocess.Popen(
            [sys.executable, *args],
            env=_environment(),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def run(self, *args: str) -> None:
        """Run a Python process to its end; raise if it fails."""
        subprocess.run(
            [sys.executable, *args], cwd=ROOT, env=_environment(), check=True
        )

    def _end(self, process):
        """Wait for a process that was told to stop; kill it if it does not."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(STOP_S)
        if process.poll() is None:
            process.kill()
            process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 on which nothing listens at present."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _environment():
    """Return the environment without the event library's advice on new projects."""
    return {**os.environ, "PYTHONWARNINGS": "ignore"}
