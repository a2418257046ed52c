"""A small stand-in for the platform: object API and list of hosts, over HTTP.

Run it with ``python -m persimmonspoke.standins.platform --port 7000``.  It keeps
everything in memory.  ``POST /faults`` with ``{"down": true}`` or ``{"delay_ms": n}``
injects faults.
"""

import argparse
import json
from urllib.parse import parse_qs, unquote

import eventlet
import eventlet.event
import eventlet.wsgi

MAX_LOG_ENTRIES = 10_000
MAX_VALUE_BYTES = 1_000_000


class PlatformState:
    """The objects, their versions, and the most recent changes."""

    def __init__(self):
        self.objects: dict[str, tuple[dict, int]] = {}
        self.revision = 0
        self.log: list[tuple[int, str, dict, int]] = []
        self.hosts: dict[str, list[str]] = {"live": [], "leaving": []}
        self.down = False
        self.delay_s = 0.0
        self.calls = 0
        self._changed = eventlet.event.Event()

    def write(self, key: str, value: dict) -> int:
        """Store a value and return its version; an empty value deletes the object."""
        self.revision += 1
        if value:
            self.objects[key] = (value, self.revision)
        else:
            del self.objects[key]
        self.log.append((self.revision, key, value, self.revision))
        del self.log[:-MAX_LOG_ENTRIES]
        previous_event, self._changed = self._changed, eventlet.event.Event()
        previous_event.send()
        return self.revision

    def compacted(self, revision: int) -> bool:
        """Return whether the changes after `revision` are not all in the log."""
        if revision > self.revision:
            return True
        return bool(self.log) and revision + 1 < self.log[0][0]

    def changes(self, prefix: str, revision: int) -> list[dict]:
        """Return the changes after `revision` under `prefix`."""
        return [
            {"key": key, "value": value, "version": version}
            for changed, key, value, version in self.log
            if changed > revision and key.startswith(prefix)
        ]

    def wait_for_change(self, wait_s: float) -> None:
        """Return at the next change, or after `wait_s` seconds."""
        with eventlet.Timeout(max(0.0, wait_s), False):
            self._changed.wait()


def make_platform_app(state: PlatformState):
    """Return the stand-in's WSGI application."""

    def app(environ, start_response):
        path = unquote(environ["PATH_INFO"])
        if path == "/faults":
            return _answer(start_response, *_set_faults(state, environ))
        state.calls += 1
        eventlet.sleep(state.delay_s)
        if state.down:
            return _answer(start_response, 503, {"error": "down"})
        return _answer(start_response, *_dispatch(state, environ, path))

    return app


def _dispatch(state, environ, path):
    """Handle one call; return the status and the body of the response."""
    query = {
        name: v[0] for name, v in parse_qs(environ.get("QUERY_STRING", "")).items()
    }
    method = environ["REQUEST_METHOD"]
    if path == "/hosts":
        if method == "PUT":
            state.hosts = _body(environ)
        return 200, state.hosts
    if path == "/watch":
        return _watch(state, query)
    if path == "/objects":
        return 200, _list(state, query.get("prefix", ""))
    key = path.removeprefix("/objects/")
    if method == "GET":
        return _get(state, key)
    return _write(state, environ, key, method)


def _get(state, key):
    if key not in state.objects:
        return 404, {"error": "missing"}
    value, version = state.objects[key]
    return 200, {"key": key, "value": value, "version": version}


def _list(state, prefix):
    items = [
        {"key": key, "value": value, "version": version}
        for key, (value, version) in sorted(state.objects.items())
        if key.startswith(prefix)
    ]
    return {"items": items, "revision": state.revision}


def _write(state, environ, key, method):
    stored = state.objects.get(key)
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        allowed = stored is None
    else:
        expected_version = environ.get("HTTP_IF_MATCH", "")
        allowed = stored is not None and str(stored[1]) == expected_version
    if not allowed:
        return 409, {"error": "conflict"}
    value = {} if method == "DELETE" else _body(environ)
    if len(json.dumps(value)) > MAX_VALUE_BYTES:
        return 413, {"error": "too large"}
    version = state.write(key, value)
    return 200, {"key": key, "value": value, "version": version}


def _watch(state, query):
    revision = int(query["revision"])
    prefix = query.get("prefix", "")
    until = eventlet.hubs.get_hub().clock() + int(query.get("wait_ms", 0)) / 1000
    while True:
        if state.compacted(revision):
            return 410, {"error": "compacted"}
        items = state.changes(prefix, revision)
        remaining_s = until - eventlet.hubs.get_hub().clock()
        if items or remaining_s <= 0 or state.down:
            return 200, {"items": items, "revision": state.revision}
        state.wait_for_change(remaining_s)


def _set_faults(state, environ):
    faults = _body(environ)
    state.down = bool(faults.get("down", False))
    state.delay_s = float(faults.get("delay_ms", 0)) / 1000
    return 200, {"down": state.down, "delay_ms": state.delay_s * 1000}


def _body(environ):
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return json.loads(environ["wsgi.input"].read(length))


def _answer(start_response, status, body):
    data = json.dumps(body).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response(f"{status} -", headers)
    return [data]


def main(argv=None):
    """Serve the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=7000)
    args = parser.parse_args(argv)
    listener = eventlet.listen((args.ip, args.port))
    print(f"platform stand-in on {args.ip}:{listener.getsockname()[1]}", flush=True)
    eventlet.wsgi.server(listener, make_platform_app(PlatformState()), log_output=False)


if __name__ == "__main__":
    main()
