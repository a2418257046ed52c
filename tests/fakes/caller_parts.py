"""Fakes of the parts around the request path: routes, scheduler, gate and clock."""

from contextlib import contextmanager

import eventlet

from persimmonspoke.errors import DeadlinePassed, NoOwnerYet
from persimmonspoke.internal.ownership.api import Route
from persimmonspoke.internal.ownership.page import PageKey
from persimmonspoke.internal.questionnaire.configuration import (
    KeyRule,
    Measure,
    Precedence,
    ServiceConfig,
    TargetConfig,
    TeamConfig,
)


def target(name, port=1, ip="127.0.0.1"):
    """Return the configuration of one target."""
    return TargetConfig(
        target_id=name, ip=ip, port=port, data_centre="a", slots=2, connections=20
    )


def service(name="lookup", targets=(), shard_count=8, key=None, **fields):
    """Return the configuration of one service, by default divided by key."""
    default = {
        "path_prefix": f"/{name}",
        "key": key or KeyRule(source="path", name="0"),
        "shards_per_page": 4,
        "protected_methods": ("POST",),
        "precedence": Precedence.NORMAL,
        "wait_ms": 2000,
        "max_body_bytes": 1 << 20,
    }
    return ServiceConfig(
        service=name,
        targets=targets,
        shard_count=shard_count,
        **{**default, **fields},
    )


class FixedConfigurations:
    """Configurations of one team, `desk`."""

    def __init__(self, *services):
        self.changes = 0
        self.reads = 0
        self.services = services

    def change_count(self):
        """Return the number of changes."""
        return self.changes

    def teams(self):
        """Return the team's configuration."""
        self.reads += 1
        team = TeamConfig(
            team="desk",
            generation=self.changes + 1,
            questionnaire_hash="",
            measure=Measure.CHURN,
            services=self.services,
        )
        return (team,)


class OneOwnerRoutes:
    """Routes every key to `owner`; None means that there is no owner yet.

    Attributes
    ----------
    lapsed : bool
        Whether `may_send` refuses every route.
    in_flight_count : int
        Number of requests in flight.
    refusals : list of Epoch
        Epochs of the routes that were reported as refused.
    """

    def __init__(self, owner=None):
        self.owner = owner
        self.epoch = 1
        self.lapsed = False
        self.in_flight_count = 0
        self.refusals = []

    def find(self, team, service, key):
        """Return the route, or raise `NoOwnerYet`."""
        if self.owner is None:
            raise NoOwnerYet("nobody owns it")
        return Route(PageKey(team, service.service, 0), 3, self.epoch, self.owner)

    def wait(self, team, service, key, deadline):
        """Poll for the route until the deadline."""
        hub = eventlet.hubs.get_hub()
        while self.owner is None and hub.clock() < deadline:
            eventlet.sleep(0.01)
        return self.find(team, service, key)

    def may_send(self, route):
        """Return whether the route is the current one."""
        return not self.lapsed and route.epoch == self.epoch

    def report_refusal(self, route):
        """Record a refusal."""
        self.refusals.append(route.epoch)

    @contextmanager
    def in_flight(self, route):
        """Count one request as in flight."""
        self.in_flight_count += 1
        try:
            yield
        finally:
            self.in_flight_count -= 1


class _Slot:
    def __init__(self, scheduler, target_id):
        self._scheduler = scheduler
        self.target_id = target_id
        self.target = None
        self._done = False

    def done(self, outcome):
        if not self._done:
            self._done = True
            self._scheduler.outcomes.append((self.target_id, outcome.value))


class FirstCandidateScheduler:
    """A scheduler that grants a slot at the first candidate immediately.

    Attributes
    ----------
    retries : int
        Retries left in the budget.
    outcomes : list of (TargetId, str)
        Outcomes of the slots that were released.
    acquired_count : int
        Number of slots granted.
    error : Exception or None
        Raised by every call of `acquire`.
    errors : list of Exception
        Raised by the next calls of `acquire`, one each.
    turn : int
        Number of the candidate that gets the request.
    """

    def __init__(self, retries=100):
        self.retries = retries
        self.outcomes = []
        self.acquired_count = 0
        self.error = None
        self.errors = []
        self.turn = 0

    def acquire(self, ticket, candidates):
        """Return a slot, or raise the error that the test has set."""
        if self.errors:
            raise self.errors.pop(0)
        if self.error is not None:
            raise self.error
        if eventlet.hubs.get_hub().clock() >= ticket.deadline:
            raise DeadlinePassed("too late")
        self.acquired_count += 1
        return _Slot(self, candidates[self.turn % len(candidates)])

    def take_retry(self, ticket):
        """Use one retry; return whether the budget allowed it."""
        self.retries -= 1
        return self.retries >= 0


class SimpleGate:
    """A gate that counts the requests in flight."""

    def __init__(self):
        self.is_open = True
        self.leaving = False
        self.admitted_count = 0

    def open(self):
        """Return whether requests are accepted."""
        return self.is_open

    def may_last_until(self, deadline):
        """Return True: the host does not stop."""
        return True

    @contextmanager
    def admitted(self):
        """Count one request as in flight."""
        self.admitted_count += 1
        try:
            yield
        finally:
            self.admitted_count -= 1


class HubClock:
    """The clock of the current hub, which may be virtual."""

    def now(self):
        """Return the hub's time."""
        return eventlet.hubs.get_hub().clock()

    def sleep_until(self, deadline):
        """Sleep until `deadline`."""
        eventlet.sleep(max(0.0, deadline - self.now()))
