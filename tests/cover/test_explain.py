"""The command ``explain``, which finds the log lines that concern a request."""

import contextlib
import gzip
import io
import json
import re
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from persimmonspoke.cli.exit_status import ExitStatus
from persimmonspoke.cli.main import main

ROOT = Path(__file__).parents[2]
ID = "5bd63b667e38d42e"


def line(second, run, message, **fields):
    """Return one log line of a host, in JSON."""
    stamp = f"2026-06-29 17:28:{second:06.3f}".replace(".", ",")
    common = {"time": stamp, "level": "INFO", "message": message, "run": run}
    return json.dumps({**common, **fields})


def ended(second, run="a.1", request_id=ID, **fields):
    """Return the log line of a request that has ended."""
    fields = {"service": "stock", "key": "700", "took_ms": 200.0, **fields}
    return line(second, run, "callers: request ended", request_id=request_id, **fields)


REFUSED = ended(
    20.0, status=503, outcome="no_owner_yet", attempts=[["t1", 5, 1.0, 2.0, "Fenced"]]
)
HELD = line(
    19.0, "b.1", "ranges: target is silent", service="stock", target="t1", to=None
)
MOVED = line(
    18.0,
    "b.1",
    "ranges: keys moved",
    **{"service": "stock", "first": 600, "last": 800, "from": "t9", "to": ["t1"]},
)


class ExplainCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / name
        text = "\n".join(lines) + "\n"
        if name.endswith(".gz"):
            path.write_bytes(gzip.compress(text.encode()))
        else:
            path.write_text(text)
        return str(path)

    def explain(self, *argv):
        """Run the command; return its exit status and its output by lines."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = main(["explain", *argv])
        return status, (out.getvalue() + err.getvalue()).splitlines()


class TestRelevantLines(ExplainCase):
    def test_lines_about_equal_requests_are_printed_however_old_they_are(self):
        refused = ended(59.0, status=503, outcome="quarantined", fingerprint="f1")
        crash = line(1.0, "b.1", "quarantine: target ended", fingerprint="f1")
        other = line(1.0, "b.1", "quarantine: target ended", fingerprint="f2")
        path = self.write("a.log", crash, other, refused)
        _, lines = self.explain(ID, path)
        self.assertEqual(len(lines), 2)
        self.assertIn("quarantine: target ended", lines[0])

    # Guards against LOST that an operator can't trace.
    def test_the_early_end_of_an_exchange_is_printed(self):
        early = "targets: exchange ended early"
        own = line(19.9, "a.1", early, request_id=ID, target="t1", reason="deadline")
        other = line(19.9, "a.1", early, request_id="other", target="t1")
        _, lines = self.explain(ID, self.write("a.log", own, other, REFUSED))
        self.assertEqual(len(lines), 2)
        self.assertIn('reason="deadline"', lines[0])

    # Guards against CONFIG that an operator can't trace.
    def test_the_change_that_a_refusal_missed_is_printed_for_all_hosts(self):
        in_force = "routing: configuration in force"
        refused = ended(20.0, outcome="unknown_path", generation=34, config_age_s=0.4)
        lines = (
            line(17.1, "b.1", in_force, generation=35, arrived_s=0.2),
            line(20.6, "a.1", in_force, generation=35, arrived_s=3.1),
            line(17.0, "b.1", in_force, generation=34),
        )
        _, found = self.explain(ID, self.write("a.log", refused, *lines))
        self.assertEqual(len(found), 3)
        self.assertIn("arrived_s=0.2", found[0])
        self.assertIn("config_age_s=0.4", found[1])
        self.assertIn("arrived_s=3.1", found[2])

    def test_lines_of_several_hosts_are_printed_in_the_order_of_time(self):
        files = (self.write("a.log", REFUSED), self.write("b.log.gz", HELD, MOVED))
        status, lines = self.explain(ID, *files)
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(len(lines), 3)
        for text, part in zip(
            lines, ("keys moved", "target is silent", "request ended"), strict=True
        ):
            self.assertIn(part, text)

    def test_lines_about_other_keys_services_and_times_are_left_out(self):
        others = (
            line(19.0, "b.1", "ranges: keys moved", service="stock", first=0, last=9),
            line(19.0, "b.1", "ranges: granted", service="x", first=0, last=900),
            line(2.0, "b.1", "ranges: granted", service="stock", first=0, last=900),
            line(19.0, "b.1", "daemon: started"),
            line(19.0, "b.1", "routes: owner refused a key", target="t1", key="8"),
            ended(19.5, request_id="other"),
        )
        _, lines = self.explain(ID, self.write("a.log", *others, REFUSED))
        self.assertEqual(len(lines), 1)

    def test_lines_about_a_store_outage_on_the_requests_host_are_included(self):
        own_host_line = line(
            15.0, "a.1", "news: the store is silent", prefix="servers/"
        )
        _, lines = self.explain(ID, self.write("a.log", own_host_line, REFUSED))
        self.assertIn("store is silent", lines[0])

    def test_a_leaders_line_about_its_unstored_resignation_is_included(self):
        message = "leader: resigned, resignation not stored"
        leader_line = line(19.0, "b.1", message, reason="TimeoutError()")
        _, lines = self.explain(ID, self.write("a.log", leader_line, REFUSED))
        self.assertIn(message, lines[0])

    def test_text_that_a_collector_puts_before_a_line_is_skipped(self):
        _, lines = self.explain(ID, self.write("a.log", f" 12.3 host-a {REFUSED}"))
        self.assertIn("no_owner_yet", lines[0])

    def test_values_for_scripts_hold_the_same_lines(self):
        path = self.write("a.log", REFUSED, MOVED)
        _, lines = self.explain("--json", ID, path)
        value = json.loads("\n".join(lines))
        self.assertEqual(value["request_id"], ID)
        self.assertEqual(value["lines"][-1]["outcome"], "no_owner_yet")

    def test_standard_input_is_read_by_default(self):
        with mock.patch("sys.stdin", io.StringIO(REFUSED)):
            status, lines = self.explain(ID)
        self.assertEqual((status, len(lines)), (ExitStatus.OK, 1))


class TestWorkedExamples(ExplainCase):
    """The commands in docs/OPERATIONS.md, as written there."""

    def test_each_command_prints_what_the_page_says(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        commands = re.findall(r"persimmonspoke explain (\w{16}) (docs/\S+)", page)
        self.assertEqual(len(commands), 3)
        parts = ("ranges: keys moved", "news: the store is silent", "no answer in time")
        for (request_id, name), part in zip(commands, parts, strict=True):
            with self.subTest(name=name):
                status, lines = self.explain(request_id, str(ROOT / name))
                self.assertEqual(status, ExitStatus.OK)
                self.assertIn(part, "\n".join(lines))


class TestMissingData(ExplainCase):
    def test_an_unknown_request_is_reported_with_a_remedy(self):
        status, lines = self.explain("unknown", self.write("a.log", REFUSED))
        self.assertEqual(status, ExitStatus.NOT_IN_LOGS)
        self.assertIn("add the log of the host that took it", lines[0])

    def test_hosts_whose_lines_are_missing_are_named(self):
        leader_line = line(19.0, "a.1", "leader: took over", former="c.1")
        _, lines = self.explain(ID, self.write("a.log", leader_line, REFUSED))
        self.assertIn("no line was read of c.1", lines[-1])

    def test_broken_lines_are_counted(self):
        path = self.write("a.log", "Traceback:", '{"time": "no', REFUSED)
        _, lines = self.explain(ID, path)
        self.assertIn("2 lines were no structured lines", lines[-1])

    def test_a_file_that_is_not_there_is_invalid_usage(self):
        status, lines = self.explain(ID, str(self.folder / "none.log"))
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertIn("none.log can't be read", lines[0])


class TestForwardedRequests(ExplainCase):
    def test_both_hosts_lines_and_the_lost_paths_are_shown(self):
        taken = ended(20.0, status=200, outcome="answered", forwarded_to="b.1")
        served = ended(20.1, "b.1", status=200, outcome="answered", forwarded_by="a.1")
        cut = line(15.0, "a.1", "paths: cut", lost_count=8, known_count=8)
        elsewhere = line(15.0, "c.1", "paths: cut", lost_count=8, known_count=8)
        path = self.write("all.log", cut, elsewhere, taken, served)
        _, lines = self.explain(ID, path)
        self.assertEqual(len(lines), 3)
        self.assertIn("paths: cut", lines[0])

    def test_the_log_of_the_other_host_is_asked_for(self):
        taken = ended(20.0, status=200, outcome="answered", forwarded_to="b.1")
        _, lines = self.explain(ID, self.write("a.log", taken))
        self.assertIn("no line was read of b.1", lines[-1])
