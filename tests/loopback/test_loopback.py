"""Tests the loopback interface, which the other tests of this group need."""

import unittest

import eventlet


class TestLoopback(unittest.TestCase):
    def test_a_byte_sent_is_received(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        client = eventlet.connect(listener.getsockname())
        server, _ = listener.accept()
        client.sendall(b"x")
        self.assertEqual(server.recv(1), b"x")
        for sock in (client, server, listener):
            sock.close()
