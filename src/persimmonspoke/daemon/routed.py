"""The daemon on the users' platform: creates all components, runs and stops them."""

import logging
import pathlib
from collections.abc import Iterable

import eventlet
import eventlet.event
import eventlet.wsgi

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.daemon.planned_stop import (
    PlannedStop,
    StopDeadlines,
    StopStage,
)
from persimmonspoke.daemon.routed_settings import RoutedSettings
from persimmonspoke.daemon.supervision import spawn_supervised
from persimmonspoke.daemon.targets_source import UpdatedTargets
from persimmonspoke.errors import HostClosed, InvalidSettings, PathsCut
from persimmonspoke.ids import Instant
from persimmonspoke.internal.callers.app import CallerApp
from persimmonspoke.internal.callers.attempts import RequestRunner
from persimmonspoke.internal.callers.gone import CallerWatch
from persimmonspoke.internal.callers.refusals import AnswerStyle, routed_refusal
from persimmonspoke.internal.callers.server import CallerServer
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.desk.scheduler import DeskScheduler
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.fleet.hosts import HOSTS_PREFIX, Hosts
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.fleet.reporter import Reporter
from persimmonspoke.internal.forwarding.forwarder import (
    FORWARD_PORT_OFFSET,
    ForwardedReader,
    Forwarder,
    others_are_better_placed,
)
from persimmonspoke.internal.membership.settings import new_host_id
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.relays import WeightedHost
from persimmonspoke.internal.news.updates import Source, StoreUpdates
from persimmonspoke.internal.observe.lateness import Lateness, TaskTimes
from persimmonspoke.internal.observe.served_metrics import ServedMetrics
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.zmq_link import ZmqLink
from persimmonspoke.internal.quarantine.keeping import QuarantineKeeper
from persimmonspoke.internal.quarantine.suspects import Suspects
from persimmonspoke.internal.ranges.keeper import Keeper
from persimmonspoke.internal.ranges.routes import RangeRoutes
from persimmonspoke.internal.routing.fresh_targets import (
    FreshnessLimits,
    FreshTargets,
)
from persimmonspoke.internal.routing.reader import RoutedReader
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.targets.connections import TargetPools, can_connect
from persimmonspoke.internal.targets.http_requests import HttpTargetRequests
from persimmonspoke.internal.targets.load_figures import TargetLoads
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.internal.targets.paths import TargetPaths
from persimmonspoke.internal.targets.rate_limits import RateLimits
from persimmonspoke.internal.targets.request_api import Headers
from persimmonspoke.internal.targets.rests import TargetRests
from persimmonspoke.internal.targets.warmups import WarmupBounds, Warmups
from persimmonspoke.platform import documents, forwarded, headers
from persimmonspoke.platform.objects import ObjectStore
from persimmonspoke.platform.orders import HttpRangeOrders
from persimmonspoke.platform.settings_file import (
    PlatformBounds,
    PlatformSettings,
    read_settings,
)

LISTEN_BACKLOG = 1024
MAX_UPDATE_WAIT_S = 0.5
REMOVE_RECORD_TIMEOUT_S = 0.3

log = logging.getLogger(__name__)


class RoutedDaemon:
    """One run of the daemon on the users' platform.

    Parameters
    ----------
    path : pathlib.Path
        The platform's settings file, which may change at any time.
    """

    def __init__(
        self, cfg: RoutedSettings, platform: PlatformSettings, path: pathlib.Path
    ):
        self.cfg = cfg
        self.platform = platform
        self._path = path
        self._settings_text = None
        self.clock = SystemClock()
        self.host_id = new_host_id(platform.host)
        self._caller_listener = _listen(platform.ip, platform.caller_port)
        self._readiness_listener = _listen(platform.ip, platform.ready_port)
        self._metrics_listener = _listen(platform.ip, cfg.metrics_port)
        self._forward_listener = _listen(
            platform.ip, platform.peer_port + FORWARD_PORT_OFFSET
        )
        self.metrics = ServedMetrics()
        self.task_times = TaskTimes()
        self.lateness = Lateness(self.clock, self.task_times)
        self.store = ObjectStore(platform.store_address, self.clock)
        self.cache = StoreCache(self.clock)
        self._candidates_of: tuple[HostEntry, ...] | None = None
        self._candidates: tuple[WeightedHost, ...] = ()
        self.link = ZmqLink(
            PeerAddress(self.host_id, platform.ip, platform.peer_port), self.clock
        )
        entry = HostEntry(
            self.link.address,
            platform.host,
            platform.data_centre,
            platform.limits.cores,
        )
        self.hosts = Hosts(entry, cfg.fleet, self.clock, self.store, self.cache)
        shortest_s = min(platform.bounds.drain_s, platform.bounds.config_apply_s)
        updates = cfg.updates.within(shortest_s)
        limits = FreshnessLimits.within(platform.bounds.drain_s)
        self._log_unkept_bound(shortest_s, updates.unkept(shortest_s))
        self._log_unkept_bound(
            platform.bounds.drain_s, limits.unkept(platform.bounds.drain_s)
        )
        evacuations = ()
        if platform.bounds.evacuate_s is not None:
            evacuations = (documents.EVACUATIONS_PREFIX,)
            updates = updates.rare_within(platform.bounds.evacuate_s)
        self.updates = StoreUpdates(
            updates,
            cfg.timers.model_copy(update={"gather_s": updates.gather_s}),
            self.clock,
            self.store,
            self.cache,
            self.link,
            _weighted(entry),
            (
                *evacuations,
                documents.CONFIG_PREFIX,
                documents.TARGETS_PREFIX,
                HOSTS_PREFIX,
            ),
            HOSTS_PREFIX,
            HOSTS_PREFIX + platform.host,
            self._relay_candidates,
            evacuations,
            self.lateness.longest_since,
        )
        self.state = RoutingState(
            self.cache,
            self.clock,
            documents.CONFIG_KEY,
            documents.TARGETS_PREFIX,
            documents.ConfigDecoder().decode,
            documents.decode_target,
            self.updates.last_outage_at,
            lambda: self.updates.proven_at(documents.CONFIG_PREFIX),
            platform.bounds.config_apply_s,
            *evacuations,
            decode_evacuation=documents.decode_evacuation,
        )
        self.fresh_targets = FreshTargets(
            limits,
            self.clock,
            UpdatedTargets(
                self.updates,
                self.state,
                documents.TARGETS_PREFIX,
                self._apply_state,
                self.lateness,
            ),
        )
        self.updates.knowledge.on_proof = self.fresh_targets.wake
        self.leadership = Leadership(
            cfg.fleet, self.clock, self.store, self.link, self.hosts
        )
        self.leadership.first_start = platform.first_start
        bounds = platform.bounds
        ranges = cfg.ranges.within(bounds.drain_s, bounds.hold_max_s, bounds.evacuate_s)
        self.routes = RangeRoutes(
            self.state,
            self.clock,
            ranges.leaving_grace_s,
            ranges.evacuation_grace_s,
        )
        self.leadership.on_ownership_read = self.routes.update_from_ownership
        self.paths = TargetPaths(
            cfg.paths,
            self.clock,
            self.state.ready_addresses,
            can_connect,
            lambda: len(self.hosts.live()),
        )
        self.leadership.may_lead = lambda: (
            not others_are_better_placed(self.paths, self.hosts)
        )
        self.notices = TargetNotices(self._incarnation)
        self.notices.on_leaving = self._on_leaving
        self.rests = TargetRests(self.clock, self._incarnation)
        self.notices.on_rest = self.rests.record
        self.rate_limits = RateLimits(self.clock)
        self.warmups = Warmups(
            self.clock, WarmupBounds(bounds.warmup_overage, bounds.warmup_slack)
        )
        self.notices.on_warmup = self.warmups.record
        self.target_loads = TargetLoads(self.clock, self._incarnation)
        self.notices.on_load = self.target_loads.record
        self.suspects = Suspects(cfg.quarantine, self.clock)
        self.reporter = Reporter(
            cfg.fleet,
            self.clock,
            self.link,
            self.hosts,
            self.leadership,
            self.routes,
            self.store_age_s,
            self.rate_limits,
            self.suspects,
            self.paths,
            self.state,
            self.warmups,
        )
        self.reporter.on_target_leaving = self._apply_state
        self.quarantine = QuarantineKeeper(
            cfg.quarantine,
            self.clock,
            self.link,
            self.store,
            self.leadership,
            self.suspects,
            self.reporter.publish_suspects,
        )
        self.keeper = Keeper(
            ranges,
            self.clock,
            self.leadership,
            self.state,
            HttpRangeOrders(self.clock, self.notices),
            self.reporter.publish,
            self.paths,
            self.warmups,
        )
        self.reporter.keeper = self.keeper
        self.scheduler = DeskScheduler(
            _limit_retries(cfg.desk, platform.bounds),
            self.clock,
            self.link,
            self.hosts,
            self.state,
            platform.data_centre,
            self.hosts.cores_of,
            self.rate_limits,
            lambda: self.paths.lost,
            self.rests,
            self.warmups,
            self.target_loads,
            lambda: 1 + len(self.hosts.known_hosts()),
        )
        self.scheduler.is_closed = self.routes.is_closed
        self.routes.on_change = lambda: self.scheduler.on_owners_changed(
            self.routes.owner
        )
        self.pools = TargetPools(cfg.targets, self.clock, self._connections)
        self.pools.is_unused = self._is_unused
        forwards = TargetPools(
            cfg.targets, self.clock, lambda target: target.connections
        )
        self.forward_pools = forwards
        self.forwarder = Forwarder(
            cfg.forwarding,
            self.clock,
            self.hosts,
            HttpTargetRequests(forwards, self.clock, forwarded, metrics=self.metrics),
        )
        self.gate = HostGate(self._knows_targets, self.clock)
        self._servers: list[CallerServer] = []
        self._apps: list[CallerApp] = []
        self._planned_stop = PlannedStop(
            self.gate, self.clock, self._apps, self._servers, self._remove_record
        )
        self._ended = eventlet.event.Event()

    def _log_unkept_bound(self, bound_s, unkept):
        """Warn if the settings leave too little time to put a change into force."""
        if unkept:
            log.warning(
                "daemon: changes may be in force too late",
                extra={"bound_s": bound_s, "arrive_after_s_if": unkept},
            )

    def _register_gauges(self):
        """Register the metrics whose values are read when they are served."""
        for name, read in (
            ("desk.waiting", self.scheduler.waiting),
            ("desk.in_use", self.scheduler.in_use),
            ("desk.waiting_behind", self.scheduler.waiting_behind),
            ("desk.refused", self.scheduler.refused),
            ("desk.refused_again", self.scheduler.refused_again),
            ("store.calls", lambda: self.store.calls),
            ("store.era", lambda: self.store.era),
            ("store.age_seconds", self.store_age_s),
            ("targets.held_requests", lambda: self.fresh_targets.held),
            ("targets.listed_for_requests", lambda: self.fresh_targets.listings),
            ("process.late_seconds", lambda: self.lateness.longest),
            ("store.read_here", lambda: int(self.updates.source is not Source.RELAYS)),
            ("quarantine.remembered", lambda: self.suspects.counts()[0]),
            ("quarantine.refused", lambda: self.suspects.counts()[1]),
            ("targets.resting", lambda: len(self.rests.resting())),
            ("targets.backing_off", self.pools.backing_off),
            ("targets.connections_opened", self.pools.opened),
            ("targets.connections_reused", self.pools.reused),
            ("targets.rate_limited", self.rate_limits.limited_count),
            ("targets.cold", self.warmups.cold_count),
            ("targets.cold_limited", self.warmups.limited_count),
            ("targets.cold_suspected", lambda: self.warmups.suspected_count),
            ("targets.slowed", self.target_loads.slowed_count),
            ("targets.load_figures", lambda: self.target_loads.count),
            ("leading", lambda: int(self.leadership.leading)),
            ("key.moves", lambda: self.keeper.moves),
            ("key.moved_share", lambda: self.keeper.moved_share),
            ("key.move_commits", lambda: self.keeper.ledger.commits.writes),
            ("key.busiest_over_mean", self.keeper.busiest_over_mean),
            ("peers.bytes_sent", lambda: self.link.bytes_sent),
            ("paths.cut", lambda: int(self.paths.is_cut)),
            ("paths.checks", lambda: self.paths.checks),
            ("paths.lost_targets", lambda: len(self.paths.lost)),
            ("in_hand", lambda: self.gate.in_flight),
            ("config.generation", self.state.generation),
            ("config.age_seconds", lambda: self.state.table_state().age_s or 0.0),
            ("config.late", lambda: self.state.late_count),
            ("evacuations.active", lambda: len(self.state.evacuations)),
            ("evacuations.keys_left", self.routes.evacuated_key_count),
            ("store.unreadable", lambda: self.state.unreadable_count),
        ):
            self.metrics.gauge(name, read)

    def run(self) -> int:
        """Serve until `stop` has finished; return the exit status."""
        self._register_gauges()
        self.task_times.install()
        for task in (
            self.lateness.run,
            *self.updates.tasks(),
            self.hosts.keep_registered,
            self._apply_updates,
            self.leadership.run,
            self.reporter.run,
            self.quarantine.run,
            self.scheduler.run,
            self.pools.run_cleanup,
            self.forward_pools.run_cleanup,
            self.paths.run,
            self._poll_settings_file,
        ):
            spawn_supervised(task, self.clock, self.metrics)
        self._serve(self._readiness_listener, self._ready_app)
        self._serve(self._metrics_listener, self.metrics.app)
        runner = self._make_runner()
        self.metrics.gauge(
            "callers.read_ahead.bytes", lambda: runner.read_ahead.used_bytes
        )
        self._servers += (self._caller_server(runner), self._forward_server(runner))
        for server in self._servers:
            eventlet.spawn(server.run)
        log.info(
            "daemon: started",
            extra={"host": self.platform.host, "callers": self.platform.caller_port},
        )
        return self._ended.wait()

    def stop(self) -> None:
        """Stop in an orderly way; see `PlannedStop`.  Further calls do nothing."""
        if self._planned_stop.stage is not StopStage.SERVING:
            return
        deadlines = StopDeadlines.after(
            self.clock.now(), self.cfg.linger_s, self.platform.bounds.grace_s
        )
        self.hosts.leaving = True
        eventlet.spawn(self.leadership.resign)
        self._planned_stop.run(deadlines)
        self._ended.send(0)

    def store_age_s(self) -> float:
        """Return the time since the store last answered this host."""
        answered_at = self.leadership.store_answered_at
        read_at = self.updates.store_answered_at()
        if read_at is not None:
            answered_at = max(answered_at, read_at)
        return self.clock.now() - answered_at

    def _remove_record(self, deadline):
        timeout_at = self.clock.now() + REMOVE_RECORD_TIMEOUT_S
        self.hosts.remove(self.platform.host, Instant(min(timeout_at, deadline)))

    def _make_runner(self):
        requests = HttpTargetRequests(
            self.pools,
            self.clock,
            headers,
            self.rate_limits,
            self.paths,
            self.notices,
            self.metrics,
        )
        return RequestRunner(
            self.cfg.callers,
            self.routes,
            self.scheduler,
            requests,
            self.clock,
            self.metrics,
            self.reporter.load_recorder,
            headers.PROTOCOL_HEADERS,
            self.suspects,
            self._incarnation_of,
            self.paths,
            self.forwarder,
            self.rests,
            self.state.unready_since,
            self.warmups,
            lambda: self.updates.proven_at(documents.TARGETS_PREFIX),
            self.fresh_targets,
        )

    def _caller_server(self, runner):
        reader = self._routed_reader()
        style = AnswerStyle(headers.REQUEST_ID, False, routed_refusal)
        app = self._caller_app(reader, runner, style)
        return CallerServer(self._caller_listener, app, self.cfg.callers)

    def _forward_server(self, runner):
        """Return the server of the requests that other hosts forward."""
        reader = ForwardedReader(
            self._routed_reader(),
            forwarded.forwarded_fields,
            self.paths,
        )
        style = AnswerStyle(
            headers.REQUEST_ID, False, routed_refusal, _not_taken_headers
        )
        app = self._caller_app(reader, runner, style)
        return CallerServer(self._forward_listener, app, self.cfg.callers)

    def _routed_reader(self):
        return RoutedReader(
            self.state,
            headers.caller_fields,
            self.clock,
            self.platform.bounds.config_apply_s,
            self._apply_state,
        )

    def _caller_app(self, reader, runner, style):
        app = CallerApp(
            reader=reader,
            runner=runner,
            watch=CallerWatch(self.cfg.callers, self.clock),
            cfg=self.cfg.callers,
            clock=self.clock,
            gate=self.gate,
            metrics=self.metrics,
            style=style,
        )
        self._apps.append(app)
        return app

    def _serve(self, listener, app):
        eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            app,
            socket_timeout=self.cfg.callers.idle_s,
            log_output=False,
            debug=False,
            log=logging.getLogger("wsgi"),
        )

    def _ready_app(self, environ, start_response) -> Iterable[bytes]:
        ready = (
            self._knows_routes()
            and not self.gate.leaving
            and not others_are_better_placed(self.paths, self.hosts)
        )
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _knows_targets(self):
        """Return whether this host has a configuration and knows any target."""
        knows_any = self.state.table is not None and bool(self.state.targets)
        return knows_any and self.updates.caught_up()

    def _knows_routes(self):
        """Return whether this host knows targets, and owners for keyed services."""
        owners_known = (
            self.routes.table is not None or not self.state.divided_services()
        )
        return owners_known and self._knows_targets()

    def _apply_updates(self):
        """Apply new configurations and targets to the scheduler, forever.

        The leader also deletes the records of hosts that stay silent.
        """
        count = -1
        while True:
            self.cache.wait(count, Instant(self.clock.now() + MAX_UPDATE_WAIT_S))
            count = self.cache.change_count()
            self._apply_state()
            if self.leadership.leading:
                self.hosts.remove_stale_records()

    def _apply_state(self):
        changed = self.state.refresh()
        # Also without a change: an entry that says the same again is a new statement.
        table = self.state.table
        self.warmups.update(
            self.state.targets,
            {} if table is None else table.cfg.services,
            self.state.entry_learned_at,
        )
        if changed:
            self.target_loads.retain(self.state.targets)
            self.scheduler.configure()
            self.pools.close_unused()

    def _incarnation(self, target_id):
        record = self.state.targets.get(target_id)
        return Incarnation(target_id, None if record is None else record.born_ms)

    def _on_leaving(self, incarnation):
        """Apply what a target says of itself, before its next request."""
        target_id, born_ms = incarnation.target_id, incarnation.born_ms
        if born_ms is not None and self.state.report_leaving(
            target_id, born_ms, "answer"
        ):
            self._apply_state()

    def _poll_settings_file(self):
        """Reload the platform's settings file periodically, without a signal."""
        while True:
            eventlet.sleep(self.cfg.reload_s)
            self.reload()

    def reload(self) -> None:
        """Read the platform's settings file again, if it has changed."""
        try:
            text = self._path.read_text()
            if text == self._settings_text:
                return
            is_first_read, self._settings_text = self._settings_text is None, text
            if is_first_read:
                return
            self.platform = read_settings(text)
        except (OSError, UnicodeDecodeError, InvalidSettings) as exc:
            log.warning("daemon: settings not reloaded", extra={"reason": str(exc)})
            return
        log.info("daemon: settings reloaded", extra={"path": str(self._path)})

    def _incarnation_of(self, target_id):
        """Return a text that tells one start of a target from another."""
        record = self.state.targets.get(target_id)
        return target_id if record is None else f"{target_id}/{record.born_ms}"

    def _is_unused(self, target):
        """Return whether a target is evacuated and gets no requests for its keys."""
        if self.state.evacuated_since(target.target_id) is None:
            return False
        closed = self.routes.is_closed(target.target_id)
        return closed or not self.routes.owns_keys(target.target_id)

    def _connections(self, target):
        """Return how many of a target's connections this host may open."""
        return max(1, target.connections // max(1, len(self.hosts.live())))

    def _relay_candidates(self):
        """Return the hosts that may serve as relays; one tuple until they change."""
        hosts = self.hosts.candidates()
        if hosts is not self._candidates_of:
            self._candidates_of = hosts
            self._candidates = tuple(_weighted(entry) for entry in hosts)
        return self._candidates


def _not_taken_headers(exc: Exception) -> Headers:
    """Return the fields that let another host take a forwarded request, if it may."""
    if isinstance(exc, (HostClosed, PathsCut)):
        return forwarded.not_taken_headers(routed_refusal(exc).kind)
    return ()


def _weighted(entry: HostEntry) -> WeightedHost:
    return WeightedHost(entry.address, entry.data_centre, entry.cores)


def _limit_retries(cfg: DeskSettings, bounds: PlatformBounds) -> DeskSettings:
    """Return the settings with a retry budget of at most half the platform's limit.

    The other half is reserved for hosts that can't see each other.
    """
    share = min(cfg.retry_share, bounds.retry_ratio / 2)
    saved = max(1.0, bounds.retry_floor / 2)
    return cfg.model_copy(update={"retry_share": share, "retry_saved": saved})


def _listen(ip, port):
    return eventlet.listen((ip, port), backlog=LISTEN_BACKLOG, reuse_port=False)
