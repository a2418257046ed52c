"""The planned stop of a whole daemon of the users' platform, in its own process."""

import signal
import time
import unittest

import eventlet

from tests.fakes.raw_target import RawTarget
from tests.fakes.routed_daemon import (
    IP,
    PacedObjectsApp,
    RoutedDaemon,
    read_all,
    table,
)

GRACE_S = 6.0
SIGNATURE = "s1"


def answer_after_its_query(conn):
    """Answer each request after as many seconds as its query says; a script."""
    while True:
        request = conn.receive()
        eventlet.sleep(float(request.line.split()[1].partition("?")[2]))
        conn.answer(
            request,
            Persimmonspoke_Server_Signature=SIGNATURE,
            Persimmonspoke_Request_Id=request.headers["persimmonspoke-request-id"],
        )


class TestRoutedStop(unittest.TestCase):
    def setUp(self):
        self.target = RawTarget(answer_after_its_query)
        self.addCleanup(self.target.stop)
        self.store = PacedObjectsApp()
        self.store.put("config", "main", self.configuration())
        self.store.put("servers", "i-1", self.server())
        self.daemon = RoutedDaemon(self.store, GRACE_S)
        self.addCleanup(self.daemon.stop)
        self.daemon.wait_until_ready()
        self.process, self.logged = self.daemon.process, self.daemon.logged

    def configuration(self):
        return {
            "version": 1,
            "routes": table(
                {
                    "name": "r1",
                    "host": "x",
                    "path_prefix": "/a/",
                    "route_kind": "unsafe",
                    "timeout_s": 20.0,
                    "max_attempts": 1,
                    "service": "s1",
                }
            ),
            "services": table({"name": "s1", "sharded": False, "max_connections": 50}),
        }

    def server(self):
        ip, port = self.target.address
        return {
            "service": "s1",
            "address": f"{ip}:{port}",
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "born": 1,
        }

    def send(self, took_s, patience_s, sock=None):
        """Send a request that takes a time at its target; return the connection."""
        sock = sock or eventlet.connect((IP, self.daemon.caller_port))
        self.addCleanup(sock.close)
        sock.sendall(
            f"POST /a/b?{took_s} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
            f"Persimmonspoke-Request-Id: r{took_s}\r\n"
            f"Persimmonspoke-Deadline-Ms: {1000 * patience_s:.0f}\r\n\r\n".encode()
        )
        return sock

    # Guards against LOST: a stop that cuts, or leaves unanswered, what it has read.
    def test_all_that_is_read_is_answered_and_the_process_ends_in_time(self):
        kept = self.send(0.01, 5.0)
        self.assertIn(" 200 ", kept.recv(65536).decode())
        unused = eventlet.connect((IP, self.daemon.caller_port))
        long = self.send(4.5, 15.0)
        eventlet.sleep(0.3)
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        eventlet.sleep(0.3)
        self.assertEqual(self.daemon.ready_status(), 503)
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGHUP)
        eventlet.sleep(2.7)
        late = self.send(0.1, 1.0)
        too_late = self.send(0.1, 5.0)
        for sock, status in ((late, 200), (too_late, 503), (long, 200)):
            text = read_all(sock)
            self.assertIn(f"HTTP/1.1 {status} ", text)
            self.assertIn("Connection: close", text)
        for sock in (kept, unused):
            self.assertEqual(read_all(sock), "")
        self.assertEqual(self.process.wait(), 0)
        self.assertLess(time.monotonic() - began, GRACE_S)
        stages = [line["stage"] for line in self.logged("daemon: stop")]
        self.assertEqual(stages, ["unready", "closing", "finishing", "ended"])
        self.assertNotIn(("persimmonspoke-hosts", "h1"), self.store.objects)

    # Guards against LOST: a running request that is cut before the last sixth of the
    # grace, and one that is cut without a line.
    def test_what_outlasts_the_grace_is_cut_at_its_end_and_named(self):
        sock = self.send(30.0, 40.0)
        eventlet.sleep(0.3)
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(read_all(sock), "")
        self.assertGreater(time.monotonic() - began, GRACE_S * 5 / 6)
        self.assertEqual(self.process.wait(), 0)
        (line,) = self.logged("callers: request ended")
        self.assertEqual((line["request_id"], line["target"]), ("r30.0", "i-1"))
        self.assertEqual((line["outcome"], line["stage"]), ("cut", "at_target"))
        self.assertEqual(self.logged("daemon: stopped")[0]["cut"], 1)


if __name__ == "__main__":
    unittest.main()
