"""Hosts that forward requests to each other, over a pool of targets."""

from types import SimpleNamespace

import eventlet

from persimmonspoke.errors import (
    AnswerLost,
    HostClosed,
    OutcomeUnknown,
    PathsCut,
    RequestFailure,
    TargetFenced,
    TargetRefusedConnection,
)
from persimmonspoke.internal.forwarding.forwarder import Forwarder
from persimmonspoke.internal.forwarding.settings import ForwardingSettings
from persimmonspoke.internal.targets.api import TargetAddress
from persimmonspoke.internal.targets.paths import PathSettings, TargetPaths
from tests.fakes.caller_parts import HubClock
from tests.fakes.crashing_pool import CrashingPool, PoolCaller
from tests.fakes.target_requests import FakeAnswer

HOP_S = 0.001


class ForwardingHost:
    """One host: its paths to the pool, its requests, and its way to other hosts.

    Attributes
    ----------
    dies_with : set of str
        Paths of forwarded requests under which the host ends.
    loses : set of str
        Paths of forwarded requests whose answers are lost.
    taken : list of str
        Ids of the requests that other hosts forwarded to this one.
    """

    def __init__(self, fleet, number, rng):
        self.process = SimpleNamespace(name=f"h{number}")
        self.clock = HubClock()
        self.address = SimpleNamespace(host_id=f"h{number}", ip=f"10.0.0.{number}")
        self.address.port = 7200
        self.my_entry = SimpleNamespace(
            address=self.address, data_centre="ab"[number % 2], cores=1.0
        )
        self._fleet = fleet
        self.alive = True
        self.dies_with = set()
        self.loses = set()
        self.taken = []
        addresses = [
            TargetAddress(t.target_id, t.ip, t.port) for t in fleet.pool.targets
        ]
        self.paths = TargetPaths(
            PathSettings(),
            self.clock,
            lambda: [addresses],
            lambda target, timeout_s: self.caller.requests.connects(target, timeout_s),
            rng=rng,
        )
        self.forwarder = Forwarder(
            ForwardingSettings(), self.clock, self, self, rng=rng
        )
        self.caller = PoolCaller(
            fleet.pool,
            self,
            rng.random(),
            paths=self.paths,
            forwarder=self.forwarder,
        )
        self.task = eventlet.spawn(self.paths.run)

    def me(self):
        """Return this host's address."""
        return self.address

    def reaching_targets(self):
        """Return the hosts that the leader lists, as it last heard from them."""
        return tuple(
            host.my_entry
            for host in self._fleet.hosts
            if host is not self and host.my_entry not in self._fleet.known_cut
        )

    def send(self, to, req):
        """Send a request to another host; implements `TargetRequests`."""
        other = self._fleet.host_of(to.target_id)
        eventlet.sleep(HOP_S)
        if not other.alive:
            raise TargetRefusedConnection(to.target_id)
        req.before_write()
        if other.paths.is_cut:
            if not isinstance(req.body, bytes):
                next(req.body.chunks)
            raise TargetFenced("paths_cut")
        other.taken.append(req.request_id)
        if req.path in other.loses:
            raise AnswerLost("the connection broke")
        if req.path in other.dies_with:
            other.alive = False
            raise AnswerLost("the host ended")
        try:
            stream = other.caller.run_forwarded(req)
        except (PathsCut, HostClosed) as exc:
            raise TargetFenced(str(exc)) from exc
        except OutcomeUnknown:
            return FakeAnswer(status=502)
        except RequestFailure:
            return FakeAnswer(status=503)
        return FakeAnswer(status=stream.status)

    def cut(self):
        """Cut this host's paths: connections end, and new ones are refused."""
        self.caller.requests.cut_paths()


class ForwardingFleet:
    """Some hosts over one pool of targets.

    Attributes
    ----------
    known_cut : list
        Entries of the hosts that the leader knows to reach no target.
    """

    def __init__(self, hosts, targets, rng):
        self.pool = CrashingPool(targets)
        self.known_cut = []
        self.hosts = [ForwardingHost(self, number, rng) for number in range(hosts)]

    def host_of(self, host_id):
        """Return the host with an id."""
        return next(h for h in self.hosts if h.address.host_id == host_id)

    def stop(self):
        """End all tasks."""
        for host in self.hosts:
            host.task.kill()
