"""Tests that a whole daemon outlives targets whose bytes never end."""

import socket
import time
import unittest

import eventlet

from tests.fakes.endless_target import KINDS, EndlessTarget
from tests.fakes.raw_target import RawTarget
from tests.fakes.routed_daemon import (
    IP,
    PacedObjectsApp,
    RoutedDaemon,
    read_all,
    table,
)

GRACE_S = 6.0
ROUTE_TIMEOUT_S = 4.0
SMALLEST_HOST_MB = 160  # memory limit of the smallest hosts of the platform
CALLERS_PER_KIND = 6
SOUND_REQUESTS = 40
MAX_SOUND_S = 1.0  # a sound target's answer, while all others send without end
UNREAD_BYTES = 4096  # receive buffer of callers that read nothing
ORDER_KINDS = ("header_fields", "interim_answers", "trailers", "framed_body")


def answer_at_once(conn):
    """Answer each request as the platform's targets do; a script."""
    while True:
        request = conn.receive()
        conn.answer(
            request,
            Persimmonspoke_Server_Signature="s1",
            Persimmonspoke_Request_Id=request.headers["persimmonspoke-request-id"],
        )


class TestAllAtOnce(unittest.TestCase):
    """Services of endless targets, one for each kind, a divided one, and a sound one.

    The owners of the divided one answer orders with bytes without end.
    """

    def setUp(self):
        self.sound = RawTarget(answer_at_once)
        self.addCleanup(self.sound.stop)
        self.endless = {kind: EndlessTarget(kind) for kind in KINDS}
        for target in self.endless.values():
            self.addCleanup(target.stop)
        store = PacedObjectsApp()
        store.page_size = 100
        store.put("config", "main", self.configuration())
        store.put("servers", "i-sound", self.server("sound", self.sound.address[1]))
        for kind, target in self.endless.items():
            store.put("servers", f"i-{kind}", self.server(kind, target.port))
        for kind in ORDER_KINDS:
            port = self.endless[kind].port
            store.put("servers", f"o-{kind}", self.server("divided", port))
        self.daemon = RoutedDaemon(store, GRACE_S)
        self.addCleanup(self.daemon.stop)
        self.daemon.wait_until_ready()

    def configuration(self):
        services = ("sound", "divided", *KINDS)
        routes = [
            {
                "name": f"r-{service}",
                "host": "x",
                "path_prefix": f"/{service}/",
                "route_kind": "safe",
                "timeout_s": ROUTE_TIMEOUT_S,
                "max_attempts": 2,
                "service": service,
            }
            for service in services
        ]
        rows = [
            {"name": name, "sharded": name == "divided", "max_connections": 50}
            for name in services
        ]
        return {"version": 1, "routes": table(*routes), "services": table(*rows)}

    def server(self, service, port):
        return {
            "service": service,
            "address": f"{IP}:{port}",
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "born": 1,
        }

    def send(self, service, request_id, receive_bytes=None):
        """Send a request; return the connection."""
        sock = eventlet.green.socket.socket()
        self.addCleanup(sock.close)
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.connect((IP, self.daemon.caller_port))
        sock.sendall(
            f"GET /{service}/k HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Persimmonspoke-Shard-Key: 7\r\nPersimmonspoke-Request-Id: {request_id}"
            f"\r\nPersimmonspoke-Deadline-Ms: {ROUTE_TIMEOUT_S * 1000:.0f}\r\n\r\n"
            "".encode()
        )
        return sock

    # Guards against LOST: a process that keeps bytes that never end, and is killed for
    # its memory with the requests of all other callers.
    def test_the_process_stays_below_its_limit_and_answers_others_in_time(self):
        callers = [
            eventlet.spawn(count_bytes, self.send(kind, f"e-{kind}-{number}"))
            for kind in (*KINDS, "divided")
            for number in range(CALLERS_PER_KIND)
        ]
        for kind in ("chunked_body", "framed_body", "huge_chunk", "unframed_body"):
            for number in range(CALLERS_PER_KIND):
                self.send(kind, f"u-{kind}-{number}", UNREAD_BYTES)
        slowest_s = 0.0
        for number in range(SOUND_REQUESTS):
            began = time.monotonic()
            reply = read_all(self.send("sound", f"s-{number}"))
            slowest_s = max(slowest_s, time.monotonic() - began)
            self.assertIn("HTTP/1.1 200 ", reply)
            eventlet.sleep(ROUTE_TIMEOUT_S / SOUND_REQUESTS)
        for caller in callers:
            caller.wait()
        self.assertIsNone(self.daemon.process.poll())
        self.assertEqual(self.daemon.unstructured_output(), [])
        self.assertTrue(self.daemon.logged("ranges: grant unanswered"))
        self.assertLess(slowest_s, MAX_SOUND_S)
        self.assertLess(self.daemon.peak_memory_mb(), SMALLEST_HOST_MB)


def count_bytes(sock):
    """Return the number of bytes that are received until the connection ends."""
    count = 0
    try:
        while piece := sock.recv(65536):
            count += len(piece)
    except ConnectionResetError:
        return count
    return count


if __name__ == "__main__":
    unittest.main()
