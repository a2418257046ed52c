"""A fleet of hosts that assign key ranges to fake targets, in virtual time."""

import random
from dataclasses import replace

import eventlet

from persimmonspoke.ids import HostId
from persimmonspoke.internal.fleet.hosts import HOSTS_PREFIX, Hosts
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.fleet.reporter import Reporter
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.forwarding.forwarder import others_are_better_placed
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.revisions import NEWEST
from persimmonspoke.internal.quarantine.keeping import QuarantineKeeper
from persimmonspoke.internal.quarantine.settings import QuarantineSettings
from persimmonspoke.internal.quarantine.suspects import Suspects
from persimmonspoke.internal.ranges.keeper import Keeper
from persimmonspoke.internal.ranges.routes import RangeRoutes
from persimmonspoke.internal.ranges.settings import RangeSettings
from persimmonspoke.internal.routing.config import (
    RoutedService,
    RoutingConfig,
    TargetRecord,
    TargetState,
)
from persimmonspoke.internal.routing.state import RoutingState
from persimmonspoke.internal.routing.table import RouteTable
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.paths import PathSettings, TargetPaths
from persimmonspoke.internal.targets.rate_limits import RateLimits
from persimmonspoke.internal.targets.warmups import Warmups
from tests.fakes import virtual_hub
from tests.fakes.network import FakeLink, FakeNetwork
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.range_targets import (
    LATENCY_S,
    SAMPLED_KEYS,
    FakeRangeOrders,
    FakeRangeTarget,
)
from tests.fakes.store import FakePlatformStore, FakeStore

SERVICE = "stock"


def record(name, state=TargetState.READY, born_ms=1, slots=2, data_centre="a"):
    """Return the registration of a target."""
    return TargetRecord(
        target_id=name,
        service=SERVICE,
        ip="10.1.0.1",
        port=1,
        data_centre=data_centre,
        slots=slots,
        state=state,
        born_ms=born_ms,
    )


class RangeHost:
    """One host with its process, leadership, keeper and routes.

    Attributes
    ----------
    lost_targets : set of str
        Targets that this host can't reach, while it reaches the others.
    resets_lost : bool
        Whether its connections to those are reset and refused, not silent.
    """

    def __init__(self, fleet, number):
        self.process = FakeProcess(f"h{number}.{fleet.runs}", f"10.0.0.{number}")
        self.cut_how = None
        self.lost_targets = set()
        self.resets_lost = False
        self.clock = FakeClock(self.process)
        address = PeerAddress(HostId(self.process.name), self.process.machine, 7000)
        self.store = FakeStore(fleet.platform, self.process)
        self.link = FakeLink(fleet.network, self.process, address)
        self.link.revision = fleet.revision
        self.cache = StoreCache(self.clock)
        cfg = fleet.cfg
        cores = fleet.cores.get(number, 1.0)
        entry = HostEntry(address, f"h{number}", "a", cores)
        self.hosts = Hosts(entry, cfg, self.clock, self.store, self.cache)
        self.leadership = Leadership(cfg, self.clock, self.store, self.link, self.hosts)
        self.state = RoutingState(
            self.cache, self.clock, "config/main", "servers/", None, None, lambda: None
        )
        self.state.table = RouteTable(fleet.config)
        self.state.targets = fleet.records
        # All hosts hear of an evacuation at once, and count from when it began.
        self.state.evacuations = fleet.evacuations
        cfg_of_ranges = RangeSettings()
        self.routes = RangeRoutes(
            self.state, self.clock, 1.4, cfg_of_ranges.evacuation_grace_s
        )
        self.limits = RateLimits(self.clock)
        self.warmups = Warmups(self.clock)
        self.paths = TargetPaths(
            PathSettings(),
            self.clock,
            lambda: fleet.checked_addresses(),
            lambda target, timeout_s: self.connects(fleet, target, timeout_s),
            rng=random.Random(number),
        )
        self.leadership.may_lead = lambda: (
            not others_are_better_placed(self.paths, self.hosts)
        )
        self.suspects = Suspects(QuarantineSettings(), self.clock)
        self.reporter = Reporter(
            cfg,
            self.clock,
            self.link,
            self.hosts,
            self.leadership,
            self.routes,
            self.store_age_s,
            self.limits,
            self.suspects,
            self.paths,
            self.state,
        )
        self.quarantine = QuarantineKeeper(
            QuarantineSettings(),
            self.clock,
            self.link,
            self.store,
            self.leadership,
            self.suspects,
            self.reporter.publish_suspects,
        )
        self.orders = FakeRangeOrders(
            self.process,
            fleet.targets,
            self.reaches,
            self.is_refused,
            fleet.listening,
        )
        self.keeper = Keeper(
            cfg_of_ranges,
            self.clock,
            self.leadership,
            self.state,
            self.orders,
            self.reporter.publish,
            self.paths,
            self.warmups,
        )
        self.reporter.keeper = self.keeper
        self.tasks = []

    def start(self, fleet):
        """Register the host and start all its tasks."""
        self.tasks = [
            eventlet.spawn(run)
            for run in (
                self.hosts.keep_registered,
                self.leadership.run,
                self.reporter.run,
                self.quarantine.run,
                self.paths.run,
                lambda: self._read_hosts(fleet),
            )
        ]

    def store_age_s(self):
        """Return the time since the store last answered this host."""
        return self.clock.now() - self.leadership.store_answered_at

    def reaches(self, target_id):
        """Return whether this host can connect to a target."""
        return self.cut_how is None and target_id not in self.lost_targets

    def connects(self, fleet, target, timeout_s):
        """Return whether a target accepts a connection of this host in time."""
        eventlet.sleep(LATENCY_S)
        name = fleet.listening.get(target.target_id, target.target_id)
        found = fleet.targets.get(name)
        lost = found is not None and (found.silent or found.down)
        if self.reaches(target.target_id) and not lost:
            return True
        if not self.is_refused():
            eventlet.sleep(timeout_s)
        return False

    def is_refused(self):
        """Return whether connections on cut paths are refused instead of lost."""
        return self.cut_how == "refused" or self.resets_lost

    def alive(self):
        """Return whether the process is running, paused or not."""
        return not self.process.killed

    def kill(self):
        """Kill the process and its tasks without any clean-up."""
        self.process.kill()
        for task in self.tasks:
            task.kill()
        self.keeper.stop()

    def _read_hosts(self, fleet):
        while True:
            if not (self.store.faults.silent or self.store.faults.down):
                self.cache.observe_era(fleet.platform.era)
                for stored in fleet.platform.list(HOSTS_PREFIX).items:
                    self.cache.observe(stored)
            eventlet.sleep(0.1)


class RangeFleet:
    """Hosts, targets, and a check that no key has two holders at one time.

    Parameters
    ----------
    cores : dict of int to float
        Processor shares of the hosts, by number; 1 for those that are not named.
    data_centres : tuple of str
        Data centres to which the targets belong in turn.

    Attributes
    ----------
    other_targets : list of str
        Targets of other services.
    listening : dict of str to str
        Targets whose processes listen at the addresses of others, by these.
    strangers : set of str
        Processes of other services, whose keys are others than those of the targets.
    revision : Revision
        Layout of messages that hosts read and write that are started from now on.
    """

    def __init__(
        self,
        hosts=3,
        targets=4,
        registered=None,
        cfg=None,
        cores=None,
        revision=NEWEST,
        data_centres=("a",),
    ):
        self.cfg = cfg or FleetSettings()
        self.revision = revision
        self.cores = cores or {}
        self.network = FakeNetwork()
        self.platform = FakePlatformStore()
        self.runs = 1
        self.targets = {
            f"t{number}": FakeRangeTarget(f"t{number}") for number in range(targets)
        }
        self.listening = {}
        self.strangers = set()
        names = list(self.targets)[:registered]
        self.evacuations = {}
        self.records = {
            name: record(name, data_centre=data_centres[number % len(data_centres)])
            for number, name in enumerate(names)
        }
        service = RoutedService(SERVICE, 100, True)
        self.config = RoutingConfig(1, (), {SERVICE: service})
        self.hosts = [RangeHost(self, number) for number in range(hosts)]
        self.other_targets = []
        self.double_holds = []
        self._watch = eventlet.spawn(self._detect_double_holds)
        for host in self.hosts:
            host.start(self)

    def stop(self):
        """End all tasks."""
        self._watch.kill()
        for host in self.hosts:
            host.kill()

    def cut_from_targets(self, hosts, refused=False):
        """Cut the paths of `hosts`, and of no others, to all targets."""
        for host in self.hosts:
            host.cut_how = None
        for host in hosts:
            host.cut_how = "refused" if refused else "lost"

    def checked_addresses(self):
        """Return the addresses of the targets that hosts try, by service."""
        return [
            [TargetAddress(name, "10.1.0.1", 1) for name in names]
            for names in (self.records, self.other_targets)
        ]

    def register(self, name):
        """Register a target."""
        self.records[name] = record(name)

    def evacuate(self, data_centre, age_s=0.0):
        """Evacuate a data centre; all hosts hear of it at once, with its age."""
        self.evacuations[data_centre] = virtual_hub.now() - age_s
        self._set_state(data_centre, TargetState.EVACUATED)

    def end_evacuation(self, data_centre):
        """End the evacuation of a data centre."""
        del self.evacuations[data_centre]
        self._set_state(data_centre, TargetState.READY)

    def _set_state(self, data_centre, state):
        for name, had in self.records.items():
            if had.data_centre == data_centre:
                self.records[name] = replace(had, state=state)

    def start_at_address_of(self, crashed, name):
        """Start a target, not registered yet, at the address of a crashed one."""
        self.targets[name] = FakeRangeTarget(name)
        self.listening[crashed] = name

    def leader(self):
        """Return a host that may give orders, or None."""
        leading = [h for h in self.hosts if h.leadership.may_order()]
        return leading[0] if leading else None

    def _own_targets(self):
        """Return the names and targets of the service."""
        return [(n, t) for n, t in self.targets.items() if n not in self.strangers]

    def fence_violations(self):
        """Return acquisitions of a key under a fence not above those of other holders.

        These are other targets and other lives of the same target.
        """
        acquisitions = sorted(
            (at, key, fence, (name, life))
            for name, target in self._own_targets()
            for at, key, fence, life in target.acquisitions
        )
        highest, low = {}, []
        for at, key, fence, holder in acquisitions:
            others = [f for h, f in highest.get(key, {}).items() if h != holder]
            if any(fence <= other for other in others):
                low.append((at, key, fence, *holder))
            known = highest.setdefault(key, {})
            known[holder] = max(fence, known.get(holder, 0))
        return low

    def unheld_keys(self):
        """Return the sampled keys that no target holds at present."""
        held = set().union(*(target.held() for _, target in self._own_targets()))
        return [key for key in SAMPLED_KEYS if key not in held]

    def run_for(self, seconds):
        """Let virtual time pass for `seconds`."""
        eventlet.sleep(seconds)

    def restart(self, host):
        """Start a new run on a host's machine."""
        self.runs += 1
        number = self.hosts.index(host)
        self.hosts[number] = RangeHost(self, number)
        self.hosts[number].leadership.first_start = False
        self.hosts[number].start(self)
        return self.hosts[number]

    def add_host(self, prepare=lambda hosts: None):
        """Start a host on a new machine; `prepare` is called with a list of it."""
        host = RangeHost(self, len(self.hosts))
        host.leadership.first_start = False
        self.hosts.append(host)
        prepare([host])
        host.start(self)
        return host

    def _detect_double_holds(self):
        """Record every key that two targets hold at one time."""
        while True:
            seen = {}
            for name, target in self._own_targets():
                for key in target.counted_keys():
                    if key in seen:
                        self.double_holds.append(
                            (virtual_hub.now(), key, seen[key], name)
                        )
                    seen[key] = name
            eventlet.sleep(0.02)
