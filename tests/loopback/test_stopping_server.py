"""Closing callers' connections, beside requests that arrive in the same moment."""

import socket

import eventlet

from tests.loopback.test_callers_server import ServerCase

REQUEST = b"GET /desk/lookup/k HTTP/1.1\r\nHost: x\r\n\r\n"
SOON_S = 0.9  # less than a close lingers
BODY_BYTES = 200_000


class StopCase(ServerCase):
    def connect_and_use(self):
        """Return a kept connection on which one request has been answered."""
        sock = self.connect()
        sock.sendall(REQUEST)
        self.assertIn(b" 200 OK", sock.recv(65536))
        self.wait_for(lambda: self.gate.admitted_count == 0)
        self.wait_for_a_socket()
        return sock

    def wait_for_a_socket(self):
        """Let all tasks run; return where the hub will run timers before sockets."""
        reader, writer = socket.socketpair()
        with reader, writer:
            eventlet.spawn_after(0.02, writer.send, b"x")
            reader.recv(1)

    def stop(self):
        """Admit nothing any more, and end the server; no other task runs meanwhile."""
        self.gate.is_open = False
        self.server.close_listener()
        self.server.close_unused()

    def assert_refused(self, sock):
        text = self.read_all(sock)
        self.assertIn("503 Service Unavailable", text)
        self.assertIn('"type": "host_closed"', text)
        self.assertIn('"run": "not_run"', text)
        self.assertIn("Connection: close", text)

    def assert_resets(self, sock):
        """Check that the server does not read a request that it won't answer."""
        sock.fd.send(REQUEST)
        eventlet.sleep(0.05)
        with self.assertRaises(ConnectionError):
            sock.recv(1)
            sock.fd.send(REQUEST)

    def assert_ended(self):
        with eventlet.Timeout(SOON_S, AssertionError("a connection is left open")):
            self.wait_for(lambda: self.server.open_connections() == 0)


class TestRequestsBesideTheEnd(StopCase):
    # Guards against LOST: the end shut down connections with requests in their buffers.
    def test_one_that_has_arrived_on_a_kept_connection_is_answered(self):
        sock = self.connect_and_use()
        sock.fd.send(REQUEST)
        self.stop()
        self.assert_refused(sock)
        self.assertEqual(len(self.target.received), 1)

    # Guards against LOST: the same for a connection that has just been accepted.
    def test_one_on_a_connection_that_was_just_accepted_is_answered(self):
        sock = self.connect()
        self.wait_for(lambda: self.server.open_connections() == 1)
        self.wait_for_a_socket()
        sock.fd.send(REQUEST)
        self.stop()
        self.assert_refused(sock)

    # Guards against LOST: connections in the kernel's queue hung until the process
    # ended, and were reset then.
    def test_one_on_a_connection_that_waits_in_the_queue_is_answered(self):
        socks = [self.connect_without_yielding() for _ in range(3)]
        self.stop()
        for sock in socks:
            self.assert_refused(sock)

    def connect_without_yielding(self):
        sock = eventlet.patcher.original("socket").create_connection(
            self.listener.getsockname()
        )
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        sock.setblocking(False)
        return eventlet.greenio.GreenSocket(sock)


class TestRequestsAtTheirTarget(StopCase):
    @staticmethod
    def answer_late(conn):
        request = conn.receive()
        eventlet.sleep(0.2)
        conn.answer(request)

    scripts = (answer_late,)

    def test_the_end_waits_for_their_answers(self):
        sock = self.connect()
        sock.sendall(REQUEST)
        self.wait_for(lambda: self.target.received)
        self.gate.leaving = True
        self.stop()
        text = self.read_all(sock)
        self.assertIn("200 OK", text)
        self.assertIn("Connection: close", text)


class TestAnswersBegunBeforeTheStop(StopCase):
    @staticmethod
    def answer_in_two_parts(conn):
        request = conn.receive()
        conn.answer(request, body=bytes(BODY_BYTES // 2), length=BODY_BYTES)
        eventlet.sleep(0.1)
        conn.sock.sendall(bytes(BODY_BYTES // 2))

    scripts = (answer_in_two_parts,)

    # Guards against LOST: a head without `Connection: close` invites another request.
    def test_their_connection_stays_open_until_its_next_answer_closes_it(self):
        sock = self.connect()
        sock.sendall(REQUEST)
        received = b""
        while len(received) < BODY_BYTES // 2:
            received += sock.recv(65536)
        self.assertNotIn(b"Connection: close", received)
        self.gate.leaving = True
        self.stop()
        while len(received) < BODY_BYTES:
            received += sock.recv(65536)
        sock.sendall(REQUEST)
        self.assert_refused(sock)


class TestTheEnd(StopCase):
    def test_a_connection_without_a_request_is_closed_at_once(self):
        kept, unused = self.connect_and_use(), self.connect()
        self.wait_for(lambda: self.server.open_connections() == 2)
        eventlet.sleep(0.02)
        self.stop()
        # The callers keep their sides open: the server must not wait for them.
        self.assert_ended()
        for sock in (kept, unused):
            self.assertEqual(self.read_all(sock), "")

    # Guards against LOST: a request that is read after the close gets no answer.
    def test_a_request_that_crosses_the_close_is_not_read(self):
        sock = self.connect_and_use()
        self.stop()
        self.assert_ended()
        self.assert_resets(sock)

    def test_new_connections_are_refused_at_once(self):
        address = self.listener.getsockname()
        self.stop()
        with self.assertRaises(ConnectionRefusedError):
            eventlet.connect(address)

    def test_the_server_returns_once_no_connection_is_open(self):
        self.connect_and_use()
        self.stop()
        with eventlet.Timeout(SOON_S, AssertionError("the server goes on")):
            self.server_task.wait()

    def test_the_server_goes_on_after_an_error_of_accept(self):
        failures = [OSError(24, "Too many open files")]
        accept = self.listener.accept

        def fail_once():
            if failures:
                raise failures.pop()
            return accept()

        self.listener.accept = fail_once
        self.connect_and_use()
        with self.assertLogs("persimmonspoke", "WARNING"):
            failures.append(OSError(24, "Too many open files"))
            self.connect_and_use()
            self.connect_and_use()


class TestIdleConnections(StopCase):
    idle_s = 1.0

    # Guards against requests that end without an answer because the hub was late: it
    # runs timers before it looks at sockets.
    def test_one_on_which_a_request_has_arrived_is_not_closed(self):
        sock = self.connect_and_use()
        sock.fd.send(REQUEST)
        stall(1.5 * self.idle_s)
        self.assertIn(b" 200 OK", sock.recv(65536))

    def test_one_that_is_closed_reads_nothing_more(self):
        sock = self.connect_and_use()
        self.assertEqual(self.read_all(sock), "")
        self.assert_resets(sock)


def stall(s):
    """Let no task of this process run for a time."""
    eventlet.patcher.original("time").sleep(s)
