"""A target process that holds keys under grants, on a real socket.

Run it with ``python -m tests.fakes.key_process NAME IP PORT LOG BACKLOG``.  It appends
one line of JSON to LOG for each order that it executes.  ``close`` on its standard
input closes the listener, the end of the input ends the process.
"""

import contextlib
import json
import os
import socket
import sys
import threading
import time

from persimmonspoke.platform.headers import EXPECTED_TARGET

KEY_COUNT = 65536


class KeyProcess:
    """One life of a target.  The time of a grant counts from when it is read."""

    def __init__(self, name, ip, port, log_path, backlog):
        self._name = name
        self._log = open(log_path, "a", buffering=1)  # noqa: SIM115 - open until exit.
        self._lock = threading.Lock()
        self._seen = [0] * KEY_COUNT
        self._listener = socket.create_server((ip, port), backlog=backlog)
        self._note("up", port=self._listener.getsockname()[1])

    def run(self):
        """Serve until the end of the standard input."""
        threading.Thread(target=self._accept, daemon=True).start()
        for line in sys.stdin:
            if line.strip() == "close":
                with contextlib.suppress(OSError):
                    self._listener.shutdown(socket.SHUT_RDWR)
                self._listener.close()
                self._note("closed")
            else:
                break
        os._exit(0)

    def _note(self, event, **fields):
        row = {"at": time.clock_gettime(time.CLOCK_BOOTTIME), "process": self._name}
        self._log.write(json.dumps({**row, "event": event, **fields}) + "\n")

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as stream:
            while line := stream.readline():
                length, named = 0, self._name
                while (field := stream.readline()) not in (b"\r\n", b""):
                    name, _, value = field.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                    elif name.decode().lower() == EXPECTED_TARGET.lower():
                        named = value.decode().strip()
                body = stream.read(length)
                path = line.split()[1].decode()
                status = 421
                if named == self._name:
                    status = self._execute(path, json.loads(body or b"{}"))
                head = f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n"
                sock.sendall(head.encode())

    def _execute(self, path, order):
        """Execute an order; return the status of the answer."""
        fields = {name: order.get(name) for name in ("from", "to", "fence", "hold_s")}
        with self._lock:
            keys = slice(order["from"], order["to"] + 1)
            fence = order["fence"]
            highest = max(self._seen[keys])
            if path == "/grant" and highest > fence:
                self._note("refused", **fields)
                return 409
            count = order["to"] - order["from"] + 1
            if fence >= highest:
                self._seen[keys] = [fence] * count
            else:
                self._seen[keys] = [max(fence, seen) for seen in self._seen[keys]]
            self._note(path.removeprefix("/"), **fields)
        return 200


if __name__ == "__main__":
    name, ip, port, log_path, backlog = sys.argv[1:]
    KeyProcess(name, ip, int(port), log_path, int(backlog)).run()
