"""A scratch clone whose fleet first runs an earlier build, for trials on the bench.

The platform says in a process's settings whether the whole system starts for the first
time.  Those processes run the earlier build, and all later ones the present one: a day
that restarts each host plays as an upgrade.
"""

import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = "python3 -m persimmonspoke.daemon.routed_main"
BUILT = "cp -r src/persimmonspoke target/deps/"
START = '''\
"""Run the earlier build on the first start of the fleet, and the present one later."""

import os
import runpy
import sys

with open(os.environ["PERSIMMONSPOKE_BOOT"]) as settings:
    is_first = "bootstrap=true" in settings.read().split()
if is_first:
    sys.path.insert(0, "target/earlier")
print('{"message": "trial: started", "earlier": "%s"}' % is_first, flush=True)
runpy.run_module("persimmonspoke.daemon.routed_main", run_name="__main__")
'''


def make(commit: str, directory: pathlib.Path) -> None:
    """Clone the repository to `directory`, with the build of `commit` beside it."""
    _run("git", "clone", "-q", str(ROOT), str(directory))
    (directory / "earlier").mkdir()
    archive = ["git", "archive", commit, "src/persimmonspoke"]
    source = subprocess.run(archive, cwd=ROOT, check=True, capture_output=True).stdout
    unpack = ["tar", "x", "-C", "earlier", "--strip-components=1"]
    subprocess.run(unpack, cwd=directory, check=True, input=source)
    (directory / "deploy/start.py").write_text(START)
    system = directory / "deploy/system.toml"
    text = system.read_text()
    if RUN not in text or BUILT not in text:
        raise SystemExit(f"{system} has changed; change this tool with it")
    copied = f"{BUILT} && rm -rf target/earlier && cp -r earlier target/"
    text = text.replace(RUN, "python3 deploy/start.py").replace(BUILT, copied)
    system.write_text(text)
    _run("git", "add", "-A", cwd=directory)
    message = f"Trial: the first start runs {commit}"
    _run("git", "commit", "-q", "-m", message, cwd=directory)


def _run(*command, cwd=None):
    subprocess.run(command, cwd=cwd, check=True)
