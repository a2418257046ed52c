"""The command-line tool against an administration API in memory."""

import contextlib
import io
import json
import logging
import tempfile
import unittest
from pathlib import Path

import eventlet

from persimmonspoke.cli.client import HttpResponse
from persimmonspoke.cli.exit_status import ExitStatus
from persimmonspoke.cli.main import main
from persimmonspoke.errors import AdminNotReached, AdminUnreachable
from tests.cover.test_questionnaire import ANSWERS, answers
from tests.fakes.admin_api import FakeAdmin, StoreProcess, host_status


class _CommandCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.write("q.yaml", json.dumps(ANSWERS))
        self.store_process = StoreProcess()
        self.api = FakeAdmin(self.store_process.store, self.store_process.clock)

    def write(self, name, text):
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def revised(self, **desk):
        """Write a revised questionnaire and return its path."""
        raw = answers(**desk).model_dump(mode="json")
        return self.write("revised.yaml", json.dumps(raw))

    def run_tool(self, *argv):
        """Run one command and return its exit status and its output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                status = main(
                    argv, lambda url, timeout_s: self.api, self.store_process.clock
                )
            except SystemExit as exc:
                status = exc.code
        return status, out.getvalue() + err.getvalue()

    def questionnaire(self, *argv):
        """Run one command about questionnaires."""
        return self.run_tool("questionnaire", *argv)


class TestLocalCommands(_CommandCase):
    def test_check_lists_every_fault_of_a_questionnaire(self):
        bad = self.write("bad.yaml", "team: demo\nweighs_most: speed\n")
        status, text = self.questionnaire("check", bad)
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertIn("weighs_most: 'speed': ", text)
        self.assertIn("services: missing: add this field", text)
        status, text = self.questionnaire("check", "--json", bad)
        self.assertEqual(len(json.loads(text)["error"]["faults"]), 2)

    def test_check_accepts_a_valid_questionnaire(self):
        status, text = self.questionnaire("check", self.file)
        self.assertEqual(status, ExitStatus.OK)
        self.assertIn("no faults", text)

    def test_a_generated_file_serves_as_the_previous_one(self):
        first = str(self.folder / "c1.yaml")
        self.assertEqual(
            self.questionnaire("generate", self.file, "--output", first)[0], 0
        )
        status, text = self.questionnaire(
            "generate", self.revised(wait_ms=9), "--previous", first, "--json"
        )
        self.assertEqual((status, json.loads(text)["generation"]), (0, 2))
        edited = Path(first).read_text().replace("slots: 3", "slots: 4")
        first = self.write("c1.yaml", edited)
        status, text = self.questionnaire("generate", self.file, "--previous", first)
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertIn("does not match its hash", text)

    def test_wrong_usage_exits_with_the_status_invalid(self):
        cases = (
            (),
            ("fly",),
            ("questionnaire", "check", str(self.folder / "none")),
            ("questionnaire", "check", str(self.folder)),
            ("questionnaire", "apply", self.file),
            ("questionnaire", "apply", self.file, "--generation", "-1"),
            ("questionnaire", "apply", self.file, "--generation", "0", "--wait", "x"),
            ("status", "--token-file", str(self.folder / "none")),
        )
        for argv in cases:
            with self.subTest(argv):
                self.assertEqual(self.run_tool(*argv)[0], ExitStatus.INVALID)

    def test_help_lists_the_exit_statuses(self):
        status, text = self.run_tool("--help")
        self.assertEqual(status, 0)
        for number in ExitStatus:
            self.assertRegex(text, rf"(?m)^  {number:d}  \w")


class TestApplyCommand(_CommandCase):
    def apply(self, expected, *more, file=None):
        """Apply a questionnaire."""
        argv = ("apply", file or self.file, "--generation", str(expected), *more)
        return self.questionnaire(*argv)

    def test_a_questionnaire_is_accepted_shown_and_compared(self):
        status, text = self.apply(0)
        self.assertEqual(status, ExitStatus.OK)
        self.assertIn("Generation 1 of team demo is accepted.", text)
        status, text = self.questionnaire("show", "demo")
        shown = self.write("shown.yaml", text)
        self.assertIn("# Generation 1 ", text)
        status, text = self.questionnaire("diff", shown)
        self.assertIn("nothing changes", text)
        status, text = self.questionnaire("diff", self.revised(wait_ms=9))
        self.assertIn("services[desk].wait_ms: 2000 -> 9", text)

    def test_a_conflict_shows_what_changed(self):
        self.apply(0)
        self.apply(1, file=self.revised(wait_ms=9))
        status, text = self.apply(1)
        self.assertEqual(status, ExitStatus.CONFLICT)
        self.assertIn("generation 2 is accepted", text)
        self.assertIn("services[desk].wait_ms: 9 -> 2000", text)
        status, text = self.apply(1, "--json")
        self.assertEqual(json.loads(text)["error"]["generation"], 2)

    def test_apply_is_repeated_after_lost_answers(self):
        self.api.lost_answers = 3
        status, text = self.apply(0, "--json")
        self.assertEqual((status, json.loads(text)["generation"]), (0, 1))
        self.assertEqual(self.store_process.platform.revision, 1)

    def test_an_unknown_outcome_can_be_learnt_later_by_its_attempt(self):
        self.api.lost_answers = 10**6
        status, text = self.apply(0, "--timeout", "3")
        self.assertEqual(status, ExitStatus.UNREACHABLE)
        attempt = text.rsplit("--attempt ", 1)[1].strip()
        self.api.lost_answers = 0
        self.apply(1, file=self.revised(wait_ms=9))
        status, text = self.apply(0, "--attempt", attempt)
        self.assertEqual(status, ExitStatus.OK)
        self.assertIn("A later generation has been accepted since.", text)

    def test_a_server_error_does_not_end_the_retries_after_a_lost_answer(self):
        send, calls = self.api.send, []

        def flaky(*args):
            calls.append(args)
            if len(calls) == 2:
                self.store_process.store.faults.down = True
            answer = send(*args)
            if len(calls) == 2:
                self.store_process.store.faults.down = False
            return answer

        self.api.send = flaky
        self.api.lost_answers = 1
        self.assertEqual(self.apply(0)[0], ExitStatus.OK)
        self.assertEqual(len(calls), 3)

    def test_apply_fails_at_once_if_no_connection_was_opened(self):
        def refuse(*args):
            raise AdminNotReached("refused")

        self.api.send = refuse
        before = self.store_process.clock.now()
        status, text = self.apply(0)
        self.assertEqual(status, ExitStatus.UNREACHABLE)
        self.assertNotIn("unknown", text)
        self.assertEqual(self.store_process.clock.now(), before)

    def test_a_response_in_an_unknown_format_is_a_failure(self):
        for data in (b"<html>", b"[]", b'{"error": 5}'):
            self.api.send = lambda *args, data=data: HttpResponse(502, data)
            status, text = self.apply(0, "--json")
            self.assertEqual(status, ExitStatus.FAILURE)
            self.assertEqual(json.loads(text)["error"]["type"], "MalformedAnswer")

    def test_waiting_ends_when_every_live_host_has_the_generation(self):
        self.api.host.other_statuses = [host_status("b.1", demo=7)]

        def put_into_force():
            self.api.host.own_status = host_status("a.1", demo=1)

        eventlet.spawn_after(4, put_into_force)
        before = self.store_process.clock.now()
        status, text = self.apply(0, "--wait", "17")
        self.assertEqual(status, ExitStatus.OK)
        self.assertIn("on all 2 live hosts", text)
        self.assertLess(self.store_process.clock.now() - before, 8)

    def test_hosts_that_are_behind_are_named(self):
        self.api.host.own_status = host_status("a.1", demo=0)
        before = self.store_process.clock.now()
        status, text = self.apply(0, "--wait", "17")
        self.assertEqual(status, ExitStatus.NOT_IN_FORCE)
        self.assertIn("a.1: generation 0", text)
        self.assertIn("b.1: PeerTimeout", text)
        self.assertLess(self.store_process.clock.now() - before, 18)
        _, text = self.apply(0, "--wait", "1", "--json")
        self.assertEqual(len(json.loads(text)["error"]["hosts"]), 2)


class TestHostCommands(_CommandCase):
    def setUp(self):
        super().setUp()
        self.questionnaire("apply", self.file, "--generation", "0")

    def test_hosts_and_owners_are_listed(self):
        self.api.host.own_status = host_status("a.1", demo=3)
        status, text = self.run_tool("status")
        self.assertEqual(status, ExitStatus.OK)
        self.assertRegex(text, r"a\.1 +east +ready +demo:3")
        self.assertRegex(text, r"b\.1 +unreachable +PeerTimeout")
        _, text = self.run_tool("assignments", "demo", "desk", "--shards")
        self.assertRegex(text, r"t1 +2\n")
        self.assertRegex(text, r"1 +t2\n")
        _, text = self.run_tool("assignments", "demo", "log")
        self.assertIn("not divided by key", text)

    def test_every_command_prints_json_on_request(self):
        target = ("--target", "demo", "desk", "t-01")
        cases = (
            (("status",), "hosts"),
            (("assignments", "demo", "desk"), "pages"),
            (("dump",), "host"),
            (("drain",), "draining"),
            (("undrain",), "draining"),
            (("drain", *target), "drained_targets"),
            (("undrain", *target), "drained_targets"),
            (("questionnaire", "show", "demo"), "questionnaire"),
            (("questionnaire", "diff", self.file), "changes"),
            (("questionnaire", "check", self.file), "questionnaire_hash"),
        )
        for argv, field in cases:
            with self.subTest(argv):
                status, text = self.run_tool(*argv, "--json")
                self.assertEqual(status, ExitStatus.OK)
                self.assertIn(field, json.loads(text))

    def test_hosts_and_targets_are_drained_and_undrained(self):
        self.run_tool("drain")
        self.assertTrue(self.api.host.own_status.draining)
        self.assertIn("takes new requests", self.run_tool("undrain")[1])
        target = ("--target", "demo", "desk", "t-01")
        self.assertIn("demo.t-01.", self.run_tool("drain", *target)[1])
        self.assertIn("none", self.run_tool("undrain", *target)[1])

    def test_unknown_names_are_invalid_and_lost_answers_unreachable(self):
        status, text = self.run_tool("assignments", "demo", "none", "--json")
        self.assertEqual(status, ExitStatus.INVALID)
        self.assertEqual(json.loads(text)["error"]["type"], "UnknownService")
        self.api.lost_answers = 1
        status, text = self.run_tool("status", "--json")
        self.assertEqual(status, ExitStatus.UNREACHABLE)
        self.assertEqual(json.loads(text)["error"]["type"], AdminUnreachable.__name__)
