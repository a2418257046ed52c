"""Resident memory of callers' connections."""

import gc
import resource
import socket

import eventlet
import eventlet.wsgi

from tools.slopes.rows import SlopeRow

CONNECTIONS = (100, 400, 1600)
PAGE_BYTES = resource.getpagesize()


def rows():
    """Yield the memory of idle connections that have served one request."""
    values = tuple(_memory(count) for count in CONNECTIONS)
    yield SlopeRow(
        "connections: resident memory, both ends in one process",
        "idle connections",
        "bytes",
        CONNECTIONS,
        values,
    )


def _memory(count):
    """Return the growth of resident memory due to `count` connections."""
    listener = eventlet.listen(("127.0.0.1", 0), backlog=count)
    server = eventlet.spawn(
        eventlet.wsgi.server, listener, _app, max_size=count + 1, log_output=False
    )
    gc.collect()
    before = _resident()
    conns = [_used_connection(listener.getsockname()) for _ in range(count)]
    growth = _resident() - before
    for conn in conns:
        conn.close()
    server.kill()
    listener.close()
    eventlet.sleep(0.1)
    return growth


def _used_connection(address):
    """Return a connection on which one request was answered."""
    conn = eventlet.connect(address)
    conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    conn.recv(socket.SO_RCVBUF * 100)
    return conn


def _app(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def _resident():
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
