"""A small stand-in for a target: requests, orders and health checks, over HTTP.

Run it with ``python -m persimmonspoke.standins.target --port 9000 --name t1``.
``POST /faults`` with a JSON object changes its behaviour: ``draining``, ``health``
(reported by the health endpoint), ``work_ms``, ``slots``, ``checks_fence``, and
``cold_s`` (seconds from now for which each request takes `COLD_FACTOR` times as long).
"""

import argparse
import json
import pathlib
import time
from dataclasses import dataclass, field

import eventlet
import eventlet.wsgi

from persimmonspoke.internal.questionnaire.canonical import from_text
from persimmonspoke.internal.targets import protocol

JSON = ("Content-Type", "application/json")
COLD_FACTOR = 5
NOT_OWNER = "not-owner"
SHED = "shed"
DRAINING = "draining"


@dataclass
class TargetState:
    """The state and the configured behaviour of one target of one service.

    Attributes
    ----------
    fences : dict
        Highest fence seen, by page.
    grants : dict
        Epoch and end of the grant, on this target's clock, by shard.
    in_flight_by_shard : dict
        Number of requests in flight, by shard.
    runs : dict
        Number of completed runs, by request id.
    tasks : dict
        Task of each request in flight, by request id.
    cold_until : float
        End of the cold start, on this target's clock.
    """

    name: str
    slots: int = 3
    work_ms: float = 1.0
    checks_fence: bool = True
    draining: bool = False
    health: str = "ok"
    busy: int = 0
    fences: dict = field(default_factory=dict)
    grants: dict = field(default_factory=dict)
    in_flight_by_shard: dict = field(default_factory=dict)
    runs: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    cold_until: float = 0.0

    def clock(self) -> float:
        """Return this target's monotonic clock, in seconds."""
        return time.monotonic()


class _Cancelled(Exception):
    """The caller has cancelled the request."""


def make_target_app(state: TargetState):
    """Return the stand-in's WSGI application."""

    def app(environ, start_response):
        path = environ["PATH_INFO"]
        if path in _CONTROL_HANDLERS:
            status, body = _CONTROL_HANDLERS[path](state, _body(environ))
            return _answer(start_response, status, body, [])
        if path.startswith(protocol.CANCEL_PATH):
            cancelled = _cancel(state, path.removeprefix(protocol.CANCEL_PATH))
            return _answer(start_response, 200, {"cancelled": cancelled}, [])
        return _serve_request(state, environ, start_response)

    return app


def _grant(state, order):
    """Accept a grant of shards until an instant on this target's clock."""
    page = order["page"]
    if state.checks_fence and order["fence"] < state.fences.get(page, 0):
        return 409, {"error": "fenced"}
    state.fences[page] = max(order["fence"], state.fences.get(page, 0))
    for entry in order["shards"]:
        state.grants[entry["shard"]] = (entry["epoch"], order["not_after"])
    return 200, {"clock": state.clock()}


def _release(state, order):
    """Release shards, and wait until the requests in flight on them have ended."""
    page = order["page"]
    if state.checks_fence and order["fence"] < state.fences.get(page, 0):
        return 409, {"error": "fenced"}
    for shard in order["shards"]:
        state.grants.pop(shard, None)
        while state.in_flight_by_shard.get(shard):
            eventlet.sleep(0.001)
    return 200, {"clock": state.clock()}


def _cancel(state, request_id):
    """Cancel a request; return whether it was in flight."""
    task = state.tasks.get(request_id)
    if task is None:
        return False
    eventlet.kill(task, _Cancelled())
    return True


def _health(state, _):
    return 200, {"health": state.health, "load": state.busy / state.slots}


def _faults(state, changes):
    for name in ("draining", "health", "work_ms", "slots", "checks_fence"):
        if name in changes:
            setattr(state, name, changes[name])
    if "cold_s" in changes:
        state.cold_until = state.clock() + changes["cold_s"]
    return 200, {"name": state.name}


def _dump(state, _):
    held = [
        {"shard": shard, "epoch": epoch}
        for shard, (epoch, not_after) in sorted(state.grants.items())
        if not_after > state.clock()
    ]
    return 200, {"name": state.name, "grants": held, "runs": state.runs}


_CONTROL_HANDLERS = {
    protocol.GRANT_PATH: _grant,
    protocol.RELEASE_PATH: _release,
    "/health": _health,
    "/faults": _faults,
    "/dump": _dump,
}


def _serve_request(state, environ, start_response):
    """Run one request, or respond that it did not run."""
    request_id = environ.get(_environ_name(protocol.REQUEST_ID), "")
    headers = [(protocol.REQUEST_ID, request_id)]
    if state.draining:
        return _not_run_answer(start_response, 503, DRAINING, headers)
    if state.checks_fence and not _owns(state, environ):
        return _not_run_answer(start_response, 409, NOT_OWNER, headers)
    if state.busy >= state.slots:
        return _not_run_answer(start_response, 503, SHED, headers)
    data = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    shard = _shard(environ)
    state.busy += 1
    state.in_flight_by_shard[shard] = state.in_flight_by_shard.get(shard, 0) + 1
    state.tasks[request_id] = eventlet.getcurrent()
    try:
        eventlet.sleep(_work_time_s(state))
        state.runs[request_id] = state.runs.get(request_id, 0) + 1
    except _Cancelled:
        return _answer(start_response, 499, {"error": "cancelled"}, headers)
    finally:
        state.tasks.pop(request_id, None)
        state.busy -= 1
        state.in_flight_by_shard[shard] -= 1
    body = {
        "target": state.name,
        "path": environ["PATH_INFO"],
        "method": environ["REQUEST_METHOD"],
        "bytes": len(data),
    }
    return _answer(start_response, 200, body, headers)


def _work_time_s(state):
    """Return how long one request takes now, in seconds."""
    factor = COLD_FACTOR if state.clock() < state.cold_until else 1
    return factor * state.work_ms / 1000


def _shard(environ):
    """Return the shard in the request's header, or None."""
    text = environ.get(_environ_name(protocol.SHARD))
    return None if text is None else int(text)


def _owns(state, environ):
    """Return whether the request's shard is granted to this target at its epoch."""
    shard = _shard(environ)
    if shard is None:
        return True
    epoch, not_after = state.grants.get(shard, (None, 0))
    expected_epoch = int(environ[_environ_name(protocol.SHARD_EPOCH)])
    return epoch == expected_epoch and state.clock() < not_after


def _not_run_answer(start_response, status, outcome, headers):
    headers = [*headers, (protocol.OUTCOME, outcome)]
    return _answer(start_response, status, {"error": outcome}, headers)


def _environ_name(header):
    return "HTTP_" + header.upper().replace("-", "_")


def _body(environ):
    data = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    return json.loads(data) if data else {}


def _answer(start_response, status, body, headers):
    data = json.dumps(body).encode()
    length = ("Content-Length", str(len(data)))
    start_response(f"{status} -", [JSON, length, *headers])
    return [data]


def serve_target(ip: str, port: int, state: TargetState) -> None:
    """Serve one target until the process ends."""
    listener = eventlet.listen((ip, port))
    print(f"{state.name} on {ip}:{listener.getsockname()[1]}", flush=True)
    eventlet.wsgi.server(listener, make_target_app(state), log_output=False)


def serve_configured(path: pathlib.Path, work_ms: float) -> None:
    """Serve all targets of a generated configuration in one process."""
    config = from_text(path.read_text(), str(path))
    pool = eventlet.GreenPool()
    for service in config.services:
        for target in service.targets:
            state = TargetState(
                target.target_id, target.slots, work_ms, target.checks_fence
            )
            pool.spawn(serve_target, target.ip, target.port, state)
    pool.waitall()


def main(argv=None):
    """Serve one target, or all of a configuration, until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=9000)
    parser.add_argument("--name", default="target")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=1.0)
    parser.add_argument("--no-fence", action="store_true")
    parser.add_argument(
        "--configuration",
        type=pathlib.Path,
        help="generated configuration whose targets to serve, instead of one target",
    )
    args = parser.parse_args(argv)
    if args.configuration is not None:
        serve_configured(args.configuration, args.work_ms)
        return
    state = TargetState(
        args.name, args.slots, args.work_ms, checks_fence=not args.no_fence
    )
    serve_target(args.ip, args.port, state)


if __name__ == "__main__":
    main()
