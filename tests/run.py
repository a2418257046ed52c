"""Run all test modules and print a summary.

Each module runs in its own process, several in parallel.  ``cover``, ``slow`` and the
features use an eventlet hub with virtual time; ``loopback`` needs real sockets and the
real hub.  Tests listed in ``KNOWN-RED.txt`` run too: if one fails, it is printed and
does not count as failed; if one passes, the run fails, because the list is outdated.
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
MODULE_TIMEOUT_S = 1200
REPORT = re.compile(r"^(passed|failed|red) (.+)$", re.MULTILINE)


def known_red():
    """Return the ids of the tests in ``KNOWN-RED.txt``, which may fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(re.findall(r"^test: (\S.*)$", KNOWN_RED.read_text(), re.MULTILINE))


class _RecordingResult(unittest.TextTestResult):
    """Records the ids of all tests that ran."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.ran = []

    def startTest(self, test):  # noqa: N802 - overrides unittest's method.
        super().startTest(test)
        self.ran.append(test.id())

    def not_passed(self):
        """Return the ids of tests that failed, had an error or were skipped.

        Unexpected successes count as failed.
        """
        pairs = self.failures + self.errors + self.skipped
        ids = [getattr(test, "test_case", test).id() for test, _ in pairs]
        return set(ids) | {test.id() for test in self.unexpectedSuccesses}


def modules():
    """Return all modules as (group, name), the slow groups first."""
    all_modules = []
    for group in GROUPS:
        if group == "features":
            paths = sorted((ROOT / group).glob("*.feature"))
        else:
            paths = sorted((ROOT / "tests" / group).glob("test_*.py"))
        all_modules += [(group, path.name) for path in paths]
    return all_modules


def run_unittest(group, name):
    """Run one unittest module; return the ids of all and of the failed tests."""
    if group != "loopback":
        from tests.fakes import virtual_hub

        virtual_hub.install()
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests" / group), pattern=name, top_level_dir=str(ROOT)
    )
    runner = unittest.TextTestRunner(resultclass=_RecordingResult, verbosity=1)
    result = runner.run(suite)
    # A failure in setUpClass or at import is reported under an id that never started.
    return set(result.ran) | result.not_passed(), result.not_passed()


def run_features(name):
    """Run one feature file; return the ids of all and of the failed scenarios."""
    from behave.configuration import Configuration
    from behave.runner import Runner

    from tests.fakes import virtual_hub

    virtual_hub.install()
    cfg = Configuration(
        ["--no-capture", "--format=progress", str(ROOT / "features" / name)]
    )
    runner = Runner(cfg)
    runner.run()
    ran, not_passed = set(), set()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            name = f"features: {scenario.name}"
            ran.add(name)
            if scenario.status.name != "passed":
                not_passed.add(name)
    return ran, not_passed


def report_module(group, name):
    """Run one module in this process and print one line per test."""
    ran, not_passed = (
        run_features(name) if group == "features" else run_unittest(group, name)
    )
    for test in sorted(ran):
        print("failed" if test in not_passed else "passed", test)


def run_module(module):
    """Run one module in a separate process; return its status and output.

    A module that exceeds `MODULE_TIMEOUT_S` is ended and counts as failed.  No working
    module takes nearly that long, so the limit does not make results depend on speed.
    """
    command = [sys.executable, "-W", "ignore", "-m", "tests.run", *module]
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return "a timeout", ""
    return completed.returncode, completed.stdout


def main():
    """Run all modules, print the totals, and return the exit status."""
    allowed_to_fail = known_red()
    passed, failed, known_failures = [], [], []
    all_modules = modules()
    with ThreadPoolExecutor(max(2, (os.cpu_count() or 2) - 1)) as pool:
        outputs = list(pool.map(run_module, all_modules))
    for (group, module), (status, output) in zip(all_modules, outputs, strict=True):
        rows = REPORT.findall(output)
        if status != 0 or not rows:
            failed.append(f"{group}/{module}: the runner ended with {status}")
            print(output)
        for verdict, name in rows:
            if name in allowed_to_fail and verdict == "failed":
                known_failures.append(name)
            elif name in allowed_to_fail:
                failed.append(f"{name} (listed in KNOWN-RED.txt, yet it passes)")
            else:
                (passed if verdict == "passed" else failed).append(name)
    for name in sorted(allowed_to_fail - set(known_failures) - set(passed)):
        if not any(entry.startswith(name) for entry in failed):
            failed.append(f"{name} (listed in KNOWN-RED.txt, yet it does not exist)")
    for name in known_failures:
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
