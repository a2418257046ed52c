"""One run of the daemon: all parts, put together."""

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
from persimmonspoke.daemon.figures import Figures
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
FOLLOW_S = 0.1

log = logging.getLogger(__name__)


class ExitStatus(IntEnum):
    """How a run of the daemon ended."""

    STOPPED = 0
    FAILED = 1
    INVALID_SETTINGS = 2
    REVOKED = 3
    """Another host took over; start the daemon again."""


class Daemon:
    """One run of the daemon.

    Attributes
    ----------
    caller_port, admin_port : int
        Where callers and operators reach this run.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.clock = SystemClock()
        self.host_id = new_host_id(settings.host)
        self._callers = _listen(settings.ip, settings.caller_port, shared=True)
        self._operators = _listen(settings.admin.ip, settings.admin.port, shared=False)
        self.caller_port = self._callers.getsockname()[1]
        self.admin_port = self._operators.getsockname()[1]
        self.control = ControlPlane(
            settings, self.host_id, self.clock, self.caller_port, self.admin_port
        )
        self.link = self.control.link
        self.members = self.control.fleet
        self.in_force = self.control.in_force
        self.gate = HostGate(self._ready, self.clock)
        self.metrics = StatsdMetrics(settings.observe)
        self.scheduler = SharedScheduler(
            settings.scheduling, self.clock, self.link, self.members
        )
        self._pools = TargetPools(settings.targets, self.clock, self._connections)
        self._followed = False
        self._ended = eventlet.event.Event()

    def run(self) -> ExitStatus:
        """Serve until `stop` has done its work or this run was revoked."""
        self.control.start()
        self.scheduler.start()
        eventlet.spawn(self._follow)
        eventlet.spawn(self._pools.run_cleanup)
        eventlet.spawn(Figures(self.control, self.metrics, self.clock).run)
        eventlet.spawn(self._serve_operators)
        eventlet.spawn(self._serve_callers)
        ports = {"callers": self.caller_port, "admin": self.admin_port}
        log.info("daemon: started", extra=ports)
        return self._ended.wait()

    def stop(self) -> None:
        """Finish the requests in hand, hand over what this host keeps, and end."""
        if self.gate.stopping:
            return
        log.info("daemon: stopping")
        deadline = Instant(self.clock.now() + self.settings.stop_s)
        self.gate.stopping = True
        empty = self.gate.wait_empty(deadline)
        handed = self.control.node.stop(deadline)
        log.info("daemon: stopped", extra={"empty": empty, "handed_over": handed})
        self._end(ExitStatus.STOPPED)

    def dump(self) -> dict[str, Any]:
        """Return the whole state of this process as JSON values."""
        state = {
            "host_id": self.host_id,
            "in_hand": self.gate.in_hand,
            "open": self.gate.open(),
            "draining": self.gate.draining,
            "news_age_s": self.control.news_age_s(),
            "generations": self.in_force.generations(),
            "node": self.control.node.dump(),
            "scheduler": self.scheduler.state(),
            "store_calls": self.control.store.calls,
            "peer_bytes_sent": self.link.bytes_sent,
            "peer_bytes_received": self.link.bytes_received,
        }
        return json.loads(json.dumps(state, default=_plain))

    def _serve_callers(self):
        """Answer callers."""
        app = make_caller_app(
            self.settings.callers,
            self.in_force,
            self.control.node.routes,
            self.scheduler,
            HttpTargetRequests(self._pools, self.clock),
            self.clock,
            self.gate,
            self.metrics,
        )
        serve_callers(self._callers, app, self.settings.callers)

    def _serve_operators(self):
        """Answer operators and other hosts that ask for the status."""
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
            self._operators,
            app,
            socket_timeout=self.settings.admin.call_s,
            log_output=False,
        )

    def _ready(self):
        """Return whether this run has its lease, and has passed the news on once."""
        return self._followed and self.control.node.ready()

    def _follow(self):
        """Pass new configurations and drains on to the scheduler."""
        known = -1
        while not self.control.node.revoked():
            count = self.control.cache.change_count()
            if count != known:
                known = count
                current = self.control.news_age_s() is not None
                self._configure()
                self._followed = self._followed or current
            self.clock.sleep_until(Instant(self.clock.now() + FOLLOW_S))
        if self.gate.stopping:
            # This run resigned by itself; `stop` says how it ended.
            return
        log.error("daemon: revoked by another host; ending")
        self.gate.stopping = True
        self._end(ExitStatus.REVOKED)

    def _configure(self):
        """Tell the scheduler what the news say."""
        for config in self.in_force.teams():
            self.scheduler.configure(config)
        for stored in self.control.cache.items(DRAINS_PREFIX):
            team = stored.key.removeprefix(DRAINS_PREFIX)
            self.scheduler.set_leaving(team, drained_targets(stored.value))

    def _connections(self, target: TargetConfig) -> int:
        """Return this host's share of a target's connections."""
        return max(1, target.connections // max(1, len(self.members.live())))

    def _end(self, status):
        """Let `run` return."""
        if not self._ended.ready():
            self._ended.send(status)


def _listen(ip, port, shared):
    """Return a listening socket; several processes may share a `shared` port."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return eventlet.listen(
        (ip, port), family=family, backlog=LISTEN_BACKLOG, reuse_port=shared
    )


def _plain(value):
    """Return a value that JSON does not know in terms of those that it does."""
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
