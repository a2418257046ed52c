"""Closed-loop load: each caller sends its next request when it gets a response."""

import argparse
import itertools
import json
import selectors
import socket
import time

KEY_COUNT = 997
GETS_PER_POST = 4
BODY = b'{"correction": "%s"}' % (b"x" * 100)


def requests(prefix):
    """Yield the bytes of an endless sequence of requests."""
    for number in itertools.count():
        path = f"{prefix}/{number % KEY_COUNT}".encode()
        if number % (GETS_PER_POST + 1):
            yield b"GET %s HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n" % path
        else:
            yield (
                b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (path, len(BODY), BODY)
            )


class Caller:
    """One caller and its connection."""

    def __init__(self, port, requests_iterator):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._requests = requests_iterator
        self._buffer = b""
        self._sent_at = 0.0

    def send_next(self):
        """Send the next request."""
        self._buffer = b""
        self._sent_at = time.perf_counter()
        self.sock.sendall(next(self._requests))

    def receive(self):
        """Receive bytes; return (status, latency) once the response is complete."""
        received = self.sock.recv(65536)
        if not received:
            raise ConnectionError(
                "the connection closed before the response was complete"
            )
        self._buffer += received
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if not found or len(body) < _content_length(head):
            return None
        return int(head[9:12]), time.perf_counter() - self._sent_at


def _content_length(head):
    start = head.lower().index(b"content-length:") + len(b"content-length:")
    return int(head[start:].split(b"\r\n", 1)[0])


def run(port, prefix, callers, seconds):
    """Return (latencies of 200 responses in seconds, number of other responses)."""
    selector = selectors.DefaultSelector()
    requests_iterator = requests(prefix)
    for _ in range(callers):
        caller = Caller(port, requests_iterator)
        selector.register(caller.sock, selectors.EVENT_READ, caller)
        caller.send_next()
    latencies, bad = [], 0
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        for key, _ in selector.select(timeout=0.1):
            result = key.data.receive()
            if result is None:
                continue
            status, latency_s = result
            if status == 200:
                latencies.append(latency_s)
            else:
                bad += 1
            key.data.send_next()
    return latencies, bad


def main():
    """Print the results of one run as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--prefix", required=True)
    parser.add_argument("--callers", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    args = parser.parse_args()
    latencies, bad = run(args.port, args.prefix, args.callers, args.seconds)
    print(json.dumps({"latencies_s": latencies, "bad": bad}))


if __name__ == "__main__":
    main()
