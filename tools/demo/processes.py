"""Processes of the demo, which are ended even if the demo fails."""

import contextlib
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 30
MAX_LAST_LINES = 4


class Processes:
    """Python processes by name; they are stopped when the context ends."""

    def __init__(self, directory: pathlib.Path):
        self._directory = directory
        self._running: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *exc_info) -> None:
        # Stop in reverse order: daemons need the platform while they stop.
        for process in reversed(self._running.values()):
            process.terminate()
            self._wait_or_kill(process)

    def start(self, name: str, *args: str) -> None:
        """Start a Python process with these arguments."""
        with self._log(name).open("w") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, *args],
                env=_environment(),
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def first_line_with(self, name: str, text: str) -> str:
        """Return the first line of a process's output with `text` in it, else ""."""
        lines = self._log(name).read_text().splitlines()
        return next((line for line in lines if text in line), "")

    def last_lines(self) -> str:
        """Return the last output lines of each process, for a demo that fails."""
        words = []
        for name, process in self._running.items():
            lines = self._log(name).read_text().splitlines()[-MAX_LAST_LINES:]
            words.append(f"{name}, status {process.poll()}:")
            words.extend(f"    {line}" for line in lines)
        return "\n".join(words)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def run(self, *args: str) -> None:
        """Run a Python process until it ends; raise if it fails."""
        subprocess.run(
            [sys.executable, *args], cwd=ROOT, env=_environment(), check=True
        )

    def _log(self, name):
        return self._directory / f"{name}.log"

    def _wait_or_kill(self, process):
        """Wait for a terminated process; kill it after `STOP_TIMEOUT_S`."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(STOP_TIMEOUT_S)
        if process.poll() is None:
            process.kill()
            process.wait()


def _environment():
    """Return the environment, with Python warnings such as eventlet's disabled."""
    return {**os.environ, "PYTHONWARNINGS": "ignore"}
