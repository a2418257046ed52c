"""Small stand-ins for what surrounds the request path: routes, slots, gate."""

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
    """Return the configuration of one service, divided by key unless told."""
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
    """Sends every key to `owner`; None means that there is none yet."""

    def __init__(self, owner=None):
        self.owner = owner
        self.epoch = 1
        self.lapsed = False
        self.flying = 0
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
        """Return whether the route is the present one."""
        return not self.lapsed and route.epoch == self.epoch

    def refused(self, route):
        """Take note of a refusal."""
        self.refusals.append(route.epoch)

    @contextmanager
    def in_flight(self, route):
        """Count the request."""
        self.flying += 1
        try:
            yield
        finally:
            self.flying -= 1


class _Slot:
    def __init__(self, scheduler, target_id):
        self._scheduler = scheduler
        self.target_id = target_id
        self.target = None
        self._over = False

    def done(self, outcome):
        if not self._over:
            self._over = True
            self._scheduler.outcomes.append((self.target_id, outcome.value))


class FirstCandidate:
    """A scheduler that gives a slot at the first candidate, at once."""

    def __init__(self, retries=100):
        self.retries = retries
        self.outcomes = []
        self.given = 0
        self.error = None
        self.errors = []

    def acquire(self, ticket, candidates):
        """Return a slot, or raise what the test asks for."""
        if self.errors:
            raise self.errors.pop(0)
        if self.error is not None:
            raise self.error
        if eventlet.hubs.get_hub().clock() >= ticket.deadline:
            raise DeadlinePassed("too late")
        self.given += 1
        return _Slot(self, candidates[0])

    def may_retry(self, ticket):
        """Take one of the retries."""
        self.retries -= 1
        return self.retries >= 0


class SimpleGate:
    """A gate that counts."""

    def __init__(self):
        self.is_open = True
        self.leaving = False
        self.inside = 0

    def open(self):
        """Return whether requests are taken."""
        return self.is_open

    @contextmanager
    def admitted(self):
        """Count one request."""
        self.inside += 1
        try:
            yield
        finally:
            self.inside -= 1


class HubClock:
    """The clock of the present hub, virtual or not."""

    def now(self):
        """Return the hub's time."""
        return eventlet.hubs.get_hub().clock()

    def sleep_until(self, deadline):
        """Sleep until `deadline`."""
        eventlet.sleep(max(0.0, deadline - self.now()))
