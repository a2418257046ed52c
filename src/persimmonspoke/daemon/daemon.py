"""The daemon: creates all components, runs them and stops them."""

import dataclasses
import json
import logging
import socket
from enum import Enum, IntEnum
from typing import Any

import eventlet
import eventlet.event
import eventlet.wsgi

from persimmonspoke.daemon.admin_parts import (
    AdminAssignments,
    AdminMembers,
    AdminNode,
)
from persimmonspoke.daemon.control import ControlPlane
from persimmonspoke.daemon.figures import PeriodicMetrics
from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.daemon.settings import Settings
from persimmonspoke.ids import Instant
from persimmonspoke.internal.admin.app import make_admin_app
from persimmonspoke.internal.admin.statuses import serve_status
from persimmonspoke.internal.callers.app import make_caller_app
from persimmonspoke.internal.callers.server import serve_callers
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.membership.settings import new_host_id
from persimmonspoke.internal.observe.statsd_metrics import StatsdMetrics
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.questionnaire.drains import (
    DRAINS_PREFIX,
    Drains,
    drained_targets,
)
from persimmonspoke.internal.questionnaire.teams import Teams
from persimmonspoke.internal.scheduling.shared import SharedScheduler
from persimmonspoke.internal.targets.connections import TargetPools
from persimmonspoke.internal.targets.http_requests import HttpTargetRequests

LISTEN_BACKLOG = 1024
POLL_INTERVAL_S = 0.1

log = logging.getLogger(__name__)


class ExitStatus(IntEnum):
    """Exit statuses of the command."""

    STOPPED = 0
    FAILED = 1
    INVALID_SETTINGS = 2
    REVOKED = 3
    """Another host revoked this run and took over; start the daemon again."""


class Daemon:
    """One run of the daemon.

    Attributes
    ----------
    caller_port, admin_port : int
        TCP ports on which callers and operators reach this run.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.clock = SystemClock()
        self.host_id = new_host_id(settings.host)
        self._caller_listener = _listen(settings.ip, settings.caller_port, shared=True)
        self._admin_listener = _listen(
            settings.admin.ip, settings.admin.port, shared=False
        )
        self.caller_port = self._caller_listener.getsockname()[1]
        self.admin_port = self._admin_listener.getsockname()[1]
        self.control = ControlPlane(
            settings, self.host_id, self.clock, self.caller_port, self.admin_port
        )
        self.link = self.control.link
        self.members = self.control.fleet
        self.in_force = self.control.in_force
        self.gate = HostGate(self._accepts_requests, self.clock)
        self.metrics = StatsdMetrics(settings.observe)
        self.scheduler = SharedScheduler(
            settings.scheduling, self.clock, self.link, self.members
        )
        self._pools = TargetPools(settings.targets, self.clock, self._connections)
        self._updates_applied = False
        self._ended = eventlet.event.Event()

    def run(self) -> ExitStatus:
        """Serve until `stop` has finished or this run is revoked; return the status."""
        self.control.start()
        self.scheduler.start()
        eventlet.spawn(self._apply_updates)
        eventlet.spawn(self._pools.run_cleanup)
        eventlet.spawn(PeriodicMetrics(self.control, self.metrics, self.clock).run)
        eventlet.spawn(self._serve_admin)
        eventlet.spawn(self._serve_callers)
        ports = {"callers": self.caller_port, "admin": self.admin_port}
        log.info("daemon: started", extra=ports)
        return self._ended.wait()

    def stop(self) -> None:
        """Finish the requests in flight, transfer this host's pages, and end."""
        if self.gate.stopping:
            return
        log.info("daemon: stopping")
        deadline = Instant(self.clock.now() + self.settings.stop_s)
        self.gate.stopping = True
        all_answered = self.gate.wait_until_idle(deadline)
        handed_over = self.control.node.stop(deadline)
        log.info(
            "daemon: stopped", extra={"empty": all_answered, "handed_over": handed_over}
        )
        self._end(ExitStatus.STOPPED)

    def dump(self) -> dict[str, Any]:
        """Return the state of this daemon as JSON values."""
        state = {
            "host_id": self.host_id,
            "in_hand": self.gate.in_flight,
            "open": self.gate.open(),
            "draining": self.gate.draining,
            "news_age_s": self.control.store_view_age_s(),
            "generations": self.in_force.generations(),
            "node": self.control.node.dump(),
            "scheduler": self.scheduler.state(),
            "store_calls": self.control.store.calls,
            "peer_bytes_sent": self.link.bytes_sent,
            "peer_bytes_received": self.link.bytes_received,
        }
        return json.loads(json.dumps(state, default=_to_json_value))

    def _serve_callers(self):
        """Serve callers' requests."""
        app = make_caller_app(
            self.settings.callers,
            self.in_force,
            self.control.node.routes,
            self.scheduler,
            HttpTargetRequests(self._pools, self.clock, metrics=self.metrics),
            self.clock,
            self.gate,
            self.metrics,
        )
        serve_callers(self._caller_listener, app, self.settings.callers)

    def _serve_admin(self):
        """Serve the administration API, and status requests from other hosts."""
        node = AdminNode(self)
        serve_status(self.link, node)
        app = make_admin_app(
            self.settings.admin,
            self.clock,
            Teams(self.control.store, self.clock),
            Drains(self.control.store, self.clock),
            node,
            AdminMembers(self),
            AdminAssignments(self.control.store),
        )
        eventlet.wsgi.server(
            self._admin_listener,
            app,
            socket_timeout=self.settings.admin.call_s,
            log_output=False,
        )

    def _accepts_requests(self):
        """Return whether this run has its lease and has applied store updates once."""
        return self._updates_applied and self.control.node.ready()

    def _apply_updates(self):
        """Apply new configurations and drains to the scheduler until revoked."""
        applied_count = -1
        while not self.control.node.revoked():
            count = self.control.cache.change_count()
            if count != applied_count:
                applied_count = count
                known_to_be_current = self.control.store_view_age_s() is not None
                self._configure_scheduler()
                self._updates_applied = self._updates_applied or known_to_be_current
            self.clock.sleep_until(Instant(self.clock.now() + POLL_INTERVAL_S))
        if self.gate.stopping:
            # `stop` has resigned the lease of this run; it sets the exit status.
            return
        log.error("daemon: revoked by another host; ending")
        self.gate.stopping = True
        self._end(ExitStatus.REVOKED)

    def _configure_scheduler(self):
        """Pass the current configurations and drained targets to the scheduler."""
        for config in self.in_force.teams():
            self.scheduler.configure(config)
        for stored in self.control.cache.items(DRAINS_PREFIX):
            team = stored.key.removeprefix(DRAINS_PREFIX)
            self.scheduler.set_leaving(team, drained_targets(stored.value))

    def _connections(self, target: TargetConfig) -> int:
        """Return how many of a target's connections this host may open."""
        return max(1, target.connections // max(1, len(self.members.live())))

    def _end(self, status):
        """Make `run` return `status`."""
        if not self._ended.ready():
            self._ended.send(status)


def _listen(ip, port, shared):
    """Return a listening socket; `shared` lets several processes use the port."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return eventlet.listen(
        (ip, port), family=family, backlog=LISTEN_BACKLOG, reuse_port=shared
    )


def _to_json_value(value):
    """Return a JSON-serializable substitute for `value`."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    if isinstance(value, set | frozenset | tuple):
        return list(value)
    return str(value)
