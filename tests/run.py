"""Run every module of tests and print one verdict.

Each module runs in its own process, a few at a time.  Those in ``cover`` and ``slow``
and the features replace eventlet's hub by one whose time is virtual, and ``loopback``
needs real sockets and the real hub.  Tests listed in ``KNOWN-RED.txt`` are run as
well: a failure there is printed and passed over, and a success there is a failure,
because the list is then out of date.
"""

import os
import pathlib
import re
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parent.parent
GROUPS = ("slow", "features", "cover", "loopback")
KNOWN_RED = ROOT / "KNOWN-RED.txt"
LIMIT_S = 1200
REPORT = re.compile(r"^(passed|failed|red) (.+)$", re.MULTILINE)


def known_red():
    """Return the ids of the tests that are allowed to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(re.findall(r"^test: (\S.*)$", KNOWN_RED.read_text(), re.MULTILINE))


class _NamingResult(unittest.TextTestResult):
    """Keep the ids of all tests, failed or not."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.ran = []

    def startTest(self, test):  # noqa: N802 - the name is unittest's.
        super().startTest(test)
        self.ran.append(test.id())

    def bad(self):
        """Return the ids of tests that failed, ended in error or were skipped."""
        pairs = self.failures + self.errors + self.skipped
        ids = [getattr(test, "test_case", test).id() for test, _ in pairs]
        return set(ids) | {test.id() for test in self.unexpectedSuccesses}


def modules():
    """Return all modules as (group, name), the slow groups first."""
    found = []
    for group in GROUPS:
        if group == "features":
            paths = sorted((ROOT / group).glob("*.feature"))
        else:
            paths = sorted((ROOT / "tests" / group).glob("test_*.py"))
        found += [(group, path.name) for path in paths]
    return found


def run_unittest(group, name):
    """Run one unittest module; return ids as (ran, bad)."""
    if group != "loopback":
        from tests.fakes import virtual_hub

        virtual_hub.install()
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests" / group), pattern=name, top_level_dir=str(ROOT)
    )
    runner = unittest.TextTestRunner(resultclass=_NamingResult, verbosity=1)
    result = runner.run(suite)
    # A failure in setUpClass or at import carries an id that never started.
    return set(result.ran) | result.bad(), result.bad()


def run_features(name):
    """Run the scripted scenarios of one file; return ids as (ran, bad)."""
    from behave.configuration import Configuration
    from behave.runner import Runner

    from tests.fakes import virtual_hub

    virtual_hub.install()
    cfg = Configuration(
        ["--no-capture", "--format=progress", str(ROOT / "features" / name)]
    )
    runner = Runner(cfg)
    runner.run()
    ran, bad = set(), set()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            name = f"features: {scenario.name}"
            ran.add(name)
            if scenario.status.name != "passed":
                bad.add(name)
    return ran, bad


def report_module(group, name):
    """Run one module in this process and print a line for each test."""
    ran, bad = run_features(name) if group == "features" else run_unittest(group, name)
    for test in sorted(ran):
        print("failed" if test in bad else "passed", test)


def run_module(module):
    """Run one module in a process of its own; return its status and output.

    A module that hangs is ended and counts as failed.  None comes near the limit,
    so the clock decides no verdict of a run that works.
    """
    command = [sys.executable, "-W", "ignore", "-m", "tests.run", *module]
    try:
        done = subprocess.run(
            command, cwd=ROOT, stdout=subprocess.PIPE, text=True, timeout=LIMIT_S
        )
    except subprocess.TimeoutExpired:
        return "a timeout", ""
    return done.returncode, done.stdout


def main():
    """Run all modules, print the totals, and return the exit status."""
    allowed = known_red()
    passed, failed, seen_red = [], [], []
    found = modules()
    with ThreadPoolExecutor(max(2, (os.cpu_count() or 2) - 1)) as pool:
        outputs = list(pool.map(run_module, found))
    for (group, module), (status, output) in zip(found, outputs, strict=True):
        rows = REPORT.findall(output)
        if status != 0 or not rows:
            failed.append(f"{group}/{module}: the runner ended with {status}")
            print(output)
        for verdict, name in rows:
            if name in allowed and verdict == "failed":
                seen_red.append(name)
            elif name in allowed:
                failed.append(f"{name} (listed in KNOWN-RED.txt, yet it passes)")
            else:
                (passed if verdict == "passed" else failed).append(name)
    for name in sorted(allowed - set(seen_red) - set(passed)):
        if not any(entry.startswith(name) for entry in failed):
            failed.append(f"{name} (listed in KNOWN-RED.txt, yet it does not exist)")
    for name in seen_red:
        print(f"known red, passed over: {name}")
    for name in failed:
        print(f"FAILED {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        report_module(*sys.argv[1:])
    else:
        sys.exit(main())
