"""A small fleet of nodes over in-memory fakes, for membership and ownership tests."""

import eventlet

from persimmonspoke.errors import (
    OrderOutcomeUnknown,
    PeerRefused,
    PeerTimeout,
    StoreConflict,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TargetFenced,
    TargetRefusedConnection,
)
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.node import Node
from persimmonspoke.internal.peers.api import Liveness
from persimmonspoke.internal.peers.codec import decode, encode
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.store.api import Listing, Stored
from persimmonspoke.internal.targets.api import OrderReply
from tests.fakes import virtual_hub
from tests.fakes.teams import team_value


class Gate:
    """The clock of one host, which blocks the host at every check while paused."""

    def __init__(self):
        self.paused = False

    def now(self):
        return virtual_hub.now()

    def sleep_until(self, deadline):
        eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
        self.check()

    def check(self):
        while self.paused:
            eventlet.sleep(0.005)


class MemoryStore:
    """A store in memory that can fail.

    Attributes
    ----------
    down : bool
        Whether every call fails at its deadline.
    late_writes : list
        Delayed writes: key, value and expected version.
    lose_answers : int
        Number of writes whose answers are lost after the write.
    delay_writes : int
        Number of writes whose answers are lost before the write, which is delayed.
    """

    def __init__(self):
        self.objects = {}
        self.down = False
        self.writes = 0
        self.late_writes = []
        self.lose_answers = 0
        self.delay_writes = 0

    def _call(self, deadline):
        eventlet.sleep(0.004)
        if self.down:
            eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
            raise StoreUnavailable("down")

    def get(self, key, deadline):
        self._call(deadline)
        if key not in self.objects:
            raise StoreMissing(key)
        return self.objects[key]

    def list(self, prefix, deadline):
        self._call(deadline)
        found = (item for key, item in self.objects.items() if key.startswith(prefix))
        return Listing(tuple(found), 0)

    def create(self, key, value, deadline):
        return self.update(key, value, 0, deadline)

    def update(self, key, value, version, deadline):
        self._call(deadline)
        if self.delay_writes:
            self.delay_writes -= 1
            self.late_writes.append((key, value, version))
            raise StoreOutcomeUnknown(key)
        stored = self.apply(key, value, version)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknown(key)
        return stored

    def delete(self, key, version, deadline):
        self._call(deadline)
        if self.objects[key].version != version:
            raise StoreConflict(key)
        del self.objects[key]

    def apply(self, key, value, version):
        found = self.objects.get(key)
        if (found.version if found else 0) != version:
            raise StoreConflict(key)
        self.writes += 1
        self.objects[key] = Stored(key, value, version + 1)
        return self.objects[key]


class HostStore:
    """One host's connection to the store, which can be cut."""

    def __init__(self, store, gate):
        self.store = store
        self.gate = gate
        self.cut = False

    def __getattr__(self, name):
        call = getattr(self.store, name)

        def guarded(*args):
            self.gate.check()
            if self.cut:
                eventlet.sleep(max(0.0, args[-1] - virtual_hub.now()))
                raise StoreUnavailable("cut")
            result = call(*args)
            self.gate.check()
            return result

        return guarded


class Network:
    """Links between hosts; `cut` has pairs whose first host can't reach the second."""

    def __init__(self):
        self.links = {}
        self.cut = set()

    def separate(self, one, other):
        self.cut |= {(one, other), (other, one)}


class MemoryLink:
    """One host's end of the network; messages pass through the real codec."""

    def __init__(self, network, host_id, gate):
        self.network = network
        self.host_id = host_id
        self.gate = gate
        self.handlers = {}
        self.alive = True
        network.links[host_id] = self

    def serve(self, kind, handler):
        self.handlers[kind] = handler

    def call(self, peer, msg, deadline):
        self.gate.check()
        sent = encode(msg)
        eventlet.sleep(0.001)
        other = self.network.links.get(peer.host_id)
        if other is None or not other.alive:
            self._fail(deadline)
        if (self.host_id, peer.host_id) in self.network.cut:
            self._fail(deadline)
        with eventlet.Timeout(max(0.001, deadline - virtual_hub.now()), False):
            reply = other.answer(decode(sent))
            eventlet.sleep(0.001)
            if (peer.host_id, self.host_id) not in self.network.cut:
                self.gate.check()
                if isinstance(reply, PeerRefused):
                    raise reply
                return decode(reply)
            eventlet.sleep(1000)
        self.gate.check()
        raise PeerTimeout(peer.host_id)

    def answer(self, msg):
        self.gate.check()
        if type(msg) not in self.handlers:
            return PeerRefused("not served yet")
        try:
            return encode(self.handlers[type(msg)](msg))
        except PeerRefused as exc:
            return exc

    def _fail(self, deadline):
        eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
        self.gate.check()
        raise PeerTimeout("nobody answers")

    def probe(self, peer, deadline):
        self.gate.check()
        eventlet.sleep(0.001)
        other = self.network.links.get(peer.host_id)
        ways = {(self.host_id, peer.host_id), (peer.host_id, self.host_id)}
        silent = other.gate.paused or ways & self.network.cut or other.vanished
        if silent:
            eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
            return Liveness.SILENT
        return Liveness.ANSWERS if other.alive else Liveness.DEAD

    vanished = False


class Target:
    """A target with its own clock, fences and grants."""

    def __init__(self, target_id, checks_fence=True):
        self.target_id = target_id
        self.checks_fence = checks_fence
        self.offset = 1000.0 * (1 + len(target_id))
        self.rate = 1.0
        self.alive = True
        self.frozen = False
        self.fences = {}
        self.grants = {}
        self.orders = 0
        self.release_s = 0.0

    def clock(self):
        return self.offset + virtual_hub.now() * self.rate

    def owned(self):
        """Return the shards whose grants have not ended by the target's clock.

        The values are pairs of the epoch and the end of the grant.
        """
        if not self.alive:
            return {}
        now = self.clock()
        return {key: entry for key, entry in self.grants.items() if now < entry[1]}

    def _fence(self, order):
        page = (order.service, order.page)
        if self.checks_fence and order.fence < self.fences.get(page, 0):
            raise TargetFenced(self.target_id)
        self.fences[page] = max(order.fence, self.fences.get(page, 0))

    def grant(self, order):
        self.orders += 1
        self._fence(order)
        for item in order.shards:
            key = (order.service, item.shard)
            self.grants[key] = (item.epoch, order.not_after)
        return OrderReply(self.clock())

    def release(self, order):
        self._fence(order)
        for shard in order.shards:
            self.grants.pop((order.service, shard), None)
        return OrderReply(self.clock())


class HostOrders:
    """One host's orders to all targets."""

    def __init__(self, targets, gate):
        self.targets = targets
        self.gate = gate
        self.cut = set()
        self.pause_at = None

    def grant(self, address, order, deadline):
        return self._send("grant", address, order, deadline)

    def release(self, address, order, deadline):
        return self._send("release", address, order, deadline)

    def _send(self, name, address, order, deadline):
        # A pause between the check of the lease and the sending begins here.
        if name == "grant" and order.shards and self.pause_at == address.target_id:
            self.pause_at = None
            self.gate.paused = True
        self.gate.check()
        eventlet.sleep(0.001)
        target = self.targets[address.target_id]
        if not target.alive:
            raise TargetRefusedConnection(address.target_id)
        if target.frozen or address.target_id in self.cut:
            eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
            raise OrderOutcomeUnknown(address.target_id)
        reply = getattr(target, name)(order)
        if name == "release" and target.release_s:
            if virtual_hub.now() + target.release_s > deadline:
                eventlet.sleep(max(0.0, deadline - virtual_hub.now()))
                raise OrderOutcomeUnknown(address.target_id)
            eventlet.sleep(target.release_s)
        eventlet.sleep(0.001)
        self.gate.check()
        return reply


class NoHostList:
    """A platform list that never reports a host as removed."""

    def gone(self, name):
        return False


class Host:
    """One node and its connections to the store, other hosts and targets."""

    def __init__(self, fleet, name, centre):
        self.gate = Gate()
        self.cfg = NodeSettings(
            host_id=f"{name}.1", ip="10.0.0.1", peer_port=1, data_centre=centre
        )
        self.host_id = self.cfg.host_id
        self.store = HostStore(fleet.store, self.gate)
        self.link = MemoryLink(fleet.network, self.host_id, self.gate)
        self.orders = HostOrders(fleet.targets, self.gate)
        self.board = NewsBoard(self.gate)
        self.node = Node(
            self.cfg,
            self.gate,
            self.store,
            self.link,
            self.orders,
            self.board,
            NoHostList(),
        )
        self.fleet = fleet
        self.node.tasks.every(0.02, self._observe_store)
        self.node.start()

    def _observe_store(self):
        if not (self.fleet.store.down or self.store.cut):
            for item in list(self.fleet.store.objects.values()):
                self.board.observe(item)

    def kill(self):
        self.link.alive = False
        self.node.kill()


class Fleet:
    """Hosts, targets, a store, and continuous checks of owners and keepers.

    Attributes
    ----------
    two_owners : list of (float, int, list)
        Time, shard and targets whenever a shard had several owners.
    two_keepers : list of (float, int, list)
        Time, page and hosts whenever a page had several keepers.
    unowned_since : dict of int to float
        Shards without an owner, and since when.
    longest_unowned_s : dict of int to float
        Longest time without an owner of each shard.
    """

    def __init__(self, hosts=3, targets=3, shards=12, per_page=4, checks_fence=True):
        self.store = MemoryStore()
        self.network = Network()
        self.targets = {
            f"t{number}": Target(f"t{number}", checks_fence)
            for number in range(targets)
        }
        self.shards = shards
        self.store.apply("teams/a", self.config(per_page, checks_fence), 0)
        self.hosts = {}
        self.two_owners = []
        self.two_keepers = []
        self.unowned_since = {}
        self.longest_unowned_s = {}
        self.watching = eventlet.spawn(self._watch)
        for number in range(hosts):
            self.add(f"h{number}", f"dc{number % 2}")

    def add(self, name, centre="dc0"):
        self.hosts[name] = Host(self, name, centre)
        return self.hosts[name]

    def config(self, per_page, checks_fence):
        rows = [
            {
                "target_id": target_id,
                "ip": "10.0.1.1",
                "port": 80,
                "data_centre": "dc0",
                "slots": 2,
                "connections": 10,
                "checks_fence": checks_fence,
            }
            for target_id in self.targets
        ]
        service = {
            "service": "s",
            "path_prefix": "/",
            "key": {"source": "path", "name": "0"},
            "shard_count": self.shards,
            "shards_per_page": per_page,
            "protected_methods": [],
            "precedence": 1,
            "wait_ms": 1000,
            "max_body_bytes": 10,
            "targets": rows,
        }
        team = {
            "team": "a",
            "generation": 1,
            "questionnaire_hash": "x",
            "measure": "churn",
            "services": [service],
        }
        return team_value(TeamConfig.model_validate(team))

    def _watch(self):
        while True:
            self.check()
            eventlet.sleep(0.005)

    def check(self):
        owners = {}
        for target in self.targets.values():
            for key in target.owned():
                owners.setdefault(key, []).append(target.target_id)
        now = virtual_hub.now()
        keepers = {}
        for host in self.hosts.values():
            if host.link.alive and host.node.holds_lease():
                for kept in host.node.keeper.open_pages():
                    keepers.setdefault(kept.page.key.page, []).append(host.host_id)
        self.two_keepers += [(now, *row) for row in keepers.items() if len(row[1]) > 1]
        for shard in range(self.shards):
            found = owners.get(("s", shard), [])
            if len(found) > 1:
                self.two_owners.append((now, shard, found))
            if found:
                self.unowned_since.pop(shard, None)
            else:
                since = self.unowned_since.setdefault(shard, now)
                longest = self.longest_unowned_s.get(shard, 0.0)
                self.longest_unowned_s[shard] = max(longest, now - since)

    def run(self, seconds):
        eventlet.sleep(seconds)

    def reset(self):
        """Discard the times without an owner that were recorded so far."""
        self.unowned_since.clear()
        self.longest_unowned_s.clear()

    def worst_gap(self):
        return max(self.longest_unowned_s.values(), default=0.0)

    def keepers(self):
        """Return the number of pages that each running host keeps."""
        return {
            name: len(host.node.keeper.open_pages())
            for name, host in self.hosts.items()
            if host.link.alive
        }

    def host_of(self, host_id):
        return next(item for item in self.hosts.values() if item.host_id == host_id)

    def successor(self, host):
        return self.host_of(host.node.member.holder.record.successor)

    def close(self):
        self.watching.kill()
        for host in self.hosts.values():
            host.gate.paused = False
            host.node.kill()
