"""A fleet of hosts that keep their caches of the store up to date."""

import eventlet

from persimmonspoke.ids import HostId
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.news.relays import WeightedHost, choose_relays_of_fleet
from persimmonspoke.internal.news.settings import UpdateSettings
from persimmonspoke.internal.news.updates import StoreUpdates
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.timers import Timers
from tests.fakes.network import FakeLink, FakeNetwork
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.store import FakePlatformStore, FakeStore

DRAIN_S = 2.0
"""The platform's shortest bound for an update to reach all hosts."""

PREFIXES = ("config/", "servers/", "hosts/")
EVACUATIONS = "evacuations/"
EVACUATE_S = 5.0
"""The platform's bound for the kind of objects that change rarely."""


class UpdateHost:
    """One host with a cache, and all tasks that keep it up to date."""

    def __init__(self, fleet, number, run=1):
        self.number = number
        self.process = FakeProcess(f"h{number}.{run}", f"10.0.0.{number}")
        address = PeerAddress(HostId(self.process.name), self.process.machine, 7000)
        self.me = WeightedHost(address, f"z{number % 3}", 2.0 if number < 4 else 0.5)
        self.fleet = fleet
        self.clock = FakeClock(self.process)
        self.store = FakeStore(fleet.platform, self.process)
        self.cache = StoreCache(self.clock)
        self.link = link = FakeLink(fleet.network, self.process, address)
        cfg = UpdateSettings().within(DRAIN_S).rare_within(EVACUATE_S)
        self.updates = StoreUpdates(
            cfg,
            Timers(gather_s=cfg.gather_s, watch_s=4.0),
            self.clock,
            self.store,
            self.cache,
            link,
            self.me,
            (*fleet.rare_prefixes, *PREFIXES),
            "hosts/",
            "hosts/none",
            lambda: fleet.known,
            fleet.rare_prefixes,
        )
        self.tasks = [eventlet.spawn(task) for task in self.updates.tasks()]

    def kill(self):
        """Kill the process and its tasks."""
        self.process.kill()
        for task in self.tasks:
            task.kill()

    def version(self):
        """Return the version of the configuration that the host knows."""
        return self.cache.get("config/main").value["version"]

    def knows(self, key):
        """Return whether the host knows that the object exists."""
        return self.cache.get(key) is not None


class UpdateFleet:
    """Hosts that know each other, and the store with some objects.

    Attributes
    ----------
    rare_prefixes : tuple of str
        Kinds of objects that hosts read that are started from now on, in addition to
        `PREFIXES`, and whose bound is `EVACUATE_S`.
    """

    host_type = UpdateHost

    def __init__(self, hosts, rare_prefixes=()):
        self.rare_prefixes = rare_prefixes
        self.platform = FakePlatformStore()
        self.network = FakeNetwork()
        self.known = ()
        for number in range(20):
            self.put(f"servers/t{number}", {"state": "ready"})
        self.put("config/main", {"version": 1})
        self.hosts = [self.host_type(self, number) for number in range(hosts)]
        self.known = tuple(host.me for host in self.hosts)

    def put(self, key, value):
        """Write an object as the platform or a target does; None deletes it."""
        version = self.platform._objects.get(key, (None, 0))[1]
        return self.platform.put(key, value, version)

    def relays(self):
        """Return the hosts that are the relays."""
        chosen = choose_relays_of_fleet(self.known, 2, 100)
        return [host for host in self.hosts if host.me in chosen]

    def others(self):
        """Return the live hosts that are no relays."""
        relays = self.relays()
        return [h for h in self.hosts if h not in relays and not h.process.killed]

    def stop(self):
        """End all tasks."""
        for host in self.hosts:
            host.kill()
