"""The administration API and the command-line tool over real sockets."""

import json
import logging
import sys
import tempfile
import unittest
from pathlib import Path

import eventlet
import eventlet.wsgi
from eventlet.green import subprocess

from persimmonspoke.cli.exit_status import ExitStatus
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.store.http_store import HttpStore
from persimmonspoke.standins.platform import PlatformState, make_platform_app
from tests.fakes.admin_api import FakeAdmin

ROOT = Path(__file__).resolve().parents[2]
QUESTIONNAIRE = ROOT / "examples" / "qoyan" / "questionnaire.yaml"
TOKEN = "t" * 20


class TestAdminOverHttp(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        platform = self.serve(make_platform_app(PlatformState()))
        clock = SystemClock()
        store = HttpStore(f"http://127.0.0.1:{platform}", clock)
        cfg = AdminSettings(operator_token=TOKEN)
        self.port = self.serve(FakeAdmin(store, clock, cfg).app)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.token_file = Path(folder.name) / "token"
        self.token_file.write_text(f"{TOKEN}\n")

    def serve(self, app):
        """Serve a WSGI application and return its port."""
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(eventlet.wsgi.server, listener, app, log_output=False)
        self.addCleanup(server.kill)
        return listener.getsockname()[1]

    def run_tool(self, *argv):
        """Run the program and return its exit status and its output."""
        completed = subprocess.run(
            [sys.executable, "-m", "persimmonspoke.cli.main", *argv],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertNotIn("Traceback", completed.stderr)
        return completed.returncode, completed.stdout

    def remote(self, *argv):
        """Run a command that calls the API; return its exit status and its JSON."""
        url = f"http://127.0.0.1:{self.port}"
        options = ("--admin", url, "--token-file", str(self.token_file), "--json")
        status, text = self.run_tool(*argv, *options)
        return status, json.loads(text)

    def send_raw(self, data):
        """Send raw bytes and return the status line of the response."""
        conn = eventlet.connect(("127.0.0.1", self.port))
        conn.sendall(data)
        with eventlet.Timeout(20):
            line = conn.makefile("rb").readline()
        conn.close()
        return line

    def test_a_questionnaire_is_applied_by_the_program(self):
        apply = ("questionnaire", "apply", str(QUESTIONNAIRE), "--generation")
        status, value = self.remote(*apply, "0")
        self.assertEqual((status, value["generation"]), (ExitStatus.OK, 1))
        status, value = self.remote(*apply, "5")
        self.assertEqual(status, ExitStatus.CONFLICT)
        self.token_file.write_text("wrong")
        status, value = self.remote("status")
        self.assertEqual(status, ExitStatus.FAILURE)
        self.assertEqual(value["error"]["type"], "Unauthenticated")

    def test_a_port_where_nothing_listens_is_unreachable(self):
        closed = eventlet.listen(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{closed.getsockname()[1]}"
        closed.close()
        status, text = self.run_tool("status", "--admin", url, "--json")
        self.assertEqual(status, ExitStatus.UNREACHABLE)
        self.assertEqual(json.loads(text)["error"]["type"], "AdminNotReached")

    def test_bodies_over_the_limit_are_refused_in_either_form(self):
        limit = AdminSettings().max_body_bytes
        request_head = (
            "PUT /v1/teams/qoyan/questionnaire HTTP/1.1\r\nHost: a\r\n"
            f"If-Match: 0\r\nAuthorization: Bearer {TOKEN}\r\n"
        ).encode()
        announced = b"Content-Length: %d\r\n\r\n" % (limit + 1)
        self.assertIn(b"413", self.send_raw(request_head + announced))
        size = limit + 1
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertIn(b"413", self.send_raw(request_head + chunked + chunk))

    def test_malformed_chunks_are_refused(self):
        request_head = (
            "PUT /v1/teams/qoyan/questionnaire HTTP/1.1\r\nHost: a\r\n"
            f"If-Match: 0\r\nAuthorization: Bearer {TOKEN}\r\n"
            "Transfer-Encoding: chunked\r\n\r\nnonsense\r\n"
        ).encode()
        self.assertIn(b" 400 ", self.send_raw(request_head))
