"""A small stand-in for an upstream, for the cases of this review.

Run it with ``python3 review/standins/upstream.py ADDRESS PORT ID FAULT RECORD``.  It
runs every request, answers with its path and id as body, and writes one line for each
run to the file RECORD.  A path that has a part like ``work-1.5`` takes so many seconds.
FAULT says which answers are faulty: ``0`` for none, ``3`` for each third.  The length
of a faulty answer's body is given twice, by chunks and by a `Content-Length` that is
shorter, or it is no number.
"""

import json
import re
import socketserver
import sys
import threading
import time

SHORT_BYTES = 5
_WORK = re.compile(r"/work-([0-9.]+)")


class Upstream(socketserver.ThreadingTCPServer):
    """One upstream; counts the requests that it has run."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address, name, fault, record):
        super().__init__(address, Connection)
        self.name = name
        self.fault = fault
        self.record = record
        self.lock = threading.Lock()
        self.count = 0

    def begin(self, request_id, path, body):
        """Record a run; return how its answer is framed."""
        with self.lock:
            self.count += 1
            turn = self.count
        kinds = ("both", "unreadable")
        is_faulty = self.fault and turn % self.fault == 0
        kind = kinds[turn // self.fault % 2] if is_faulty else "sound"
        line = {"id": request_id, "path": path, "framing": kind, "body": body.decode()}
        with self.lock, open(self.record, "a") as file:
            file.write(json.dumps(line) + "\n")
        return kind


class Connection(socketserver.StreamRequestHandler):
    """One connection to the upstream."""

    def handle(self):
        """Answer requests until the peer or a faulty answer ends the connection."""
        while line := self.rfile.readline():
            fields = {}
            while (field := self.rfile.readline()) not in (b"\r\n", b""):
                name, _, value = field.decode("latin-1").partition(":")
                fields[name.lower()] = value.strip()
            self.rfile.read(int(fields.get("content-length", 0)))
            _, path, _ = line.decode("latin-1").split(" ")
            if not self._answer(path, fields.get("persimmonspoke-request-id", "")):
                return

    def _answer(self, path, request_id):
        """Answer one request; return whether the connection stays open."""
        if path == "/health":
            self._send([f"Persimmonspoke-Instance-Id: {self.server.name}"], b"", b"")
            return True
        body = f"{path} {request_id} {self.server.name}".encode()
        kind = self.server.begin(request_id, path, body)
        if work := _WORK.search(path):
            time.sleep(float(work[1]))
        fields = [
            f"Persimmonspoke-Request-Id: {request_id}",
            f"Persimmonspoke-Server-Signature: proof-of-{self.server.name}",
        ]
        if kind == "both":
            fields += ["Transfer-Encoding: chunked", f"Content-Length: {SHORT_BYTES}"]
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            self._send(fields, chunk, None)
        elif kind == "unreadable":
            self._send([*fields, f"Content-Length: {len(body)}x"], body, None)
            return False
        else:
            self._send(fields, body, b"")
        return True

    def _send(self, fields, data, length):
        if length is not None:
            fields = [*fields, f"Content-Length: {len(data)}"]
        head = "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""])
        self.wfile.write(head.encode() + data)


def main():
    """Serve until the process is ended."""
    ip, port, name, fault, record = sys.argv[1:]
    Upstream((ip, int(port)), name, int(fault), record).serve_forever()


if __name__ == "__main__":
    main()
