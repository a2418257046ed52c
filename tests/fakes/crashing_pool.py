"""A pool of targets, some of whose requests end the targets that run them."""

import random
from dataclasses import dataclass, replace

import eventlet
import eventlet.event

from persimmonspoke.errors import (
    AnswerLost,
    ConnectionLost,
    RequestFailure,
    RouteLapsed,
    TargetRefusedConnection,
)
from persimmonspoke.internal.callers.attempts import RequestRunner
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.callers.services import ServiceEntry
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.observe.api import NoMetrics
from persimmonspoke.internal.routing.config import RouteConfig, RouteKind, SplitPart
from persimmonspoke.internal.targets.request_api import StreamedBody
from tests.fakes import virtual_hub
from tests.fakes.caller_parts import OneOwnerRoutes, service, target
from tests.fakes.target_requests import FakeAnswer

WORK_S = 0.05
CRASH_S = 0.03  # after its start, a crashing request ends the target
BACK_S = 3.0
MAX_ATTEMPTS = 2


@dataclass
class Arrival:
    """A request that reached a target."""

    at: float
    path: str
    host: object
    request_id: str
    ended: str | None = None


class CrashingPool:
    """The targets, as all hosts see them.

    Attributes
    ----------
    crashing : set of str
        Paths of the requests that end each target which begins to run them.
    breaking : set of str
        Paths of the requests that end each target in the middle of its answer.
    losing : set of str
        Paths of the requests whose connections end, while their targets live on.
    statuses : dict of str to int
        Status of the answers to requests with a path; 200 by default.
    arrivals : list of Arrival
        The requests that reached targets.
    """

    def __init__(self, count):
        self.targets = tuple(target(f"t{n}", n + 1) for n in range(count))
        self.crashing = set()
        self.breaking = set()
        self.losing = set()
        self.statuses = {}
        self.arrivals = []
        self.starts = dict.fromkeys((t.target_id for t in self.targets), 1)
        self._back_at = {}
        self._running = {t.target_id: set() for t in self.targets}

    def incarnation_of(self, target_id):
        """Return a text that tells one start of a target from another."""
        return f"{target_id}/{self.starts[target_id]}"

    def is_up(self, target_id):
        """Return whether a target's process runs."""
        return virtual_hub.now() >= self._back_at.get(target_id, 0.0)

    def end(self, target_id):
        """End a target's process; it starts again after `BACK_S`."""
        self._back_at[target_id] = virtual_hub.now() + BACK_S
        running, self._running[target_id] = self._running[target_id], set()
        for ended in running:
            ended.send_exception(ConnectionLost("the connection broke"))
        self.starts[target_id] += 1

    def crashes(self, path):
        """Return when the targets ended that ran requests with a path."""
        return sorted(
            {
                a.ended: a.at for a in self.arrivals if a.path == path and a.ended
            }.values()
        )

    def late_retries(self, path, settle_s, limit=3):
        """Return the arrivals later than `settle_s` after the crash number `limit`."""
        crashes = self.crashes(path)
        if len(crashes) < limit:
            return []
        return [
            a
            for a in self.arrivals
            if a.path == path and a.at > crashes[limit - 1] + CRASH_S + settle_s
        ]


class PoolRequests:
    """One host's connections to the pool; implements `TargetRequests`.

    Attributes
    ----------
    cut : bool
        Whether the host's paths are cut, so that connections end and are refused.
    connect_s : float
        How long a check waits for a connection.
    """

    def __init__(self, pool, host):
        self._pool = pool
        self._host = host
        self._own = set()
        self.connect_s = 0.001
        self.cut = False

    def cut_paths(self):
        """Cut the paths to all targets; requests in flight lose their connections."""
        self.cut = True
        for running in self._pool._running.values():
            for done in running & self._own:
                running.remove(done)
                done.send_exception(ConnectionLost("the connection broke"))

    def connects(self, target, timeout_s):
        """Return whether a target accepts a connection."""
        eventlet.sleep(self.connect_s)
        return not self.cut and self._pool.is_up(target.target_id)

    def has_ended(self, to):
        """Return whether the target refuses connections."""
        eventlet.sleep(0.001)
        return self.cut or not self._pool.is_up(to.target_id)

    def send(self, to, req):
        """Run the request at the target, which may end under it."""
        eventlet.sleep(0.001)
        pool, name = self._pool, to.target_id
        if self.cut or not pool.is_up(name):
            raise TargetRefusedConnection(name)
        if not req.may_send():
            raise RouteLapsed("equal requests are refused")
        req.before_write()
        arrival = Arrival(virtual_hub.now(), req.path, self._host, req.request_id)
        pool.arrivals.append(arrival)
        done = eventlet.event.Event()
        pool._running[name].add(done)
        self._own.add(done)
        if req.path in pool.crashing:
            arrival.ended = pool.incarnation_of(name)
            eventlet.spawn_after(CRASH_S, self._crash, name, pool.starts[name])
        else:
            eventlet.spawn_after(WORK_S, self._answer, name, done)
        done.wait()
        if req.path in pool.losing:
            raise ConnectionLost("the connection broke")
        if req.path in pool.breaking:
            arrival.ended = pool.incarnation_of(name)
            return _BrokenAnswer(pool, name)
        return FakeAnswer(status=pool.statuses.get(req.path, 200))

    def _crash(self, name, start):
        if self._pool.starts[name] == start:
            self._pool.end(name)

    def _answer(self, name, done):
        if done in self._pool._running[name]:
            self._pool._running[name].remove(done)
            done.send(None)


class _BrokenAnswer(FakeAnswer):
    """An answer whose target ends after the first chunk of the body."""

    def __init__(self, pool, target_id):
        super().__init__()
        self._pool = pool
        self._target_id = target_id

    def chunks(self):
        """Yield the first chunk."""
        yield b"first"
        self._pool.end(self._target_id)
        raise ConnectionLost("the answer broke off")


class _RandomSlot:
    target = None

    def __init__(self, target_id, outcomes):
        self.target_id = target_id
        self._outcomes = outcomes

    def done(self, outcome):
        """Record the outcome; the pool has a slot for each request."""
        self._outcomes.append(outcome)


class _RandomScheduler:
    """Gives each attempt a slot at a random candidate.

    Attributes
    ----------
    wait_s : float
        Time until the slot is free.
    outcomes : list of SlotOutcome
        How the requests that used slots ended.
    assigned_count : int
        Number of slots that have been assigned.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.wait_s = 0.0
        self.outcomes = []
        self.assigned_count = 0

    def acquire(self, ticket, candidates):
        """Return a slot."""
        eventlet.sleep(self.wait_s)
        self.assigned_count += 1
        return _RandomSlot(self._random.choice(candidates), self.outcomes)

    def take_retry(self, ticket):
        """Allow every retry."""
        return True


class PoolCaller:
    """Sends callers' requests through the runner of one host.

    Attributes
    ----------
    outcomes : list of (str, object)
        Path, and status or failure, of each request that has ended.
    """

    def __init__(self, pool, host, seed, **runner_fields):
        self.host = host
        self.outcomes = []
        self._entry = ServiceEntry.of("a", service(targets=pool.targets, shard_count=0))
        self.scheduler = _RandomScheduler(seed)
        self.requests = PoolRequests(pool, host)
        self._runner = RequestRunner(
            CallerSettings(),
            OneOwnerRoutes(),
            self.scheduler,
            self.requests,
            host.clock,
            NoMetrics(),
            **runner_fields,
        )
        self._sent = 0

    def send(self, path, method="GET", body=b"", protected=False, headers=()):
        """Send one request; return the status, or the failure."""
        self._sent += 1
        req = self._request(
            f"{self.host.process.name}-{self._sent}", path, method, protected, headers
        )
        try:
            stream = self._runner.run(req, body)
            outcome = stream.status
            for _ in stream.rest():
                pass
        except (RequestFailure, AnswerLost) as exc:
            outcome = exc
        self.outcomes.append((path, outcome))
        return outcome

    def run_forwarded(self, sent):
        """Run a request that another host forwards; return its answer."""
        req = self._request(
            sent.request_id, sent.path, sent.method, sent.protected, sent.headers
        )
        return self._runner.run(replace(req, forwarded=sent.forwarded), sent.body)

    def _request(self, request_id, path, method, protected, headers):
        kind = RouteKind.PROTECTED if protected else RouteKind.SAFE
        parts = (SplitPart(self._entry.service.service, 1.0),)
        deadline = self.host.clock.now() + 2.0
        return CallerRequest(
            request_id=request_id,
            entry=self._entry,
            method=method,
            path=path,
            headers=headers,
            key=None,
            protected=protected,
            deadline=deadline,
            route=RouteConfig("r", "h", "/", kind, 2.0, 0.5, 1, MAX_ATTEMPTS, parts),
            objective=deadline,
        )


class PlayedChunks:
    """The chunks of a body that is streamed; see `BodyChunks`."""

    started = False

    def __init__(self, *chunks):
        self._chunks = iter(chunks)

    def __iter__(self):
        return self

    def __next__(self):
        self.started = True
        return next(self._chunks)


def streamed(first, *rest):
    """Return a body of which `first` had been read before it is sent."""
    return StreamedBody(PlayedChunks(first, *rest), None, first)
