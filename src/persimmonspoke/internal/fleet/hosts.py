"""The hosts of the fleet: their records in the store, and which are alive."""

import logging
import math

import eventlet

from persimmonspoke.errors import StoreConflict, StoreError
from persimmonspoke.ids import DataCentreId, Era, HostId, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.news.board import StoreCache
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import WRITE_ID, new_write_id, write

HOSTS_PREFIX = "persimmonspoke-hosts/"
MAX_PORT = 65535
RETRY_S = 0.5  # pause after a failed registration

log = logging.getLogger(__name__)


class Hosts:
    """The hosts that have a record in the store, and the live ones among them.

    Implements the scheduler's `Members`.

    Attributes
    ----------
    leaving : bool
        Whether this host is stopping; it then does no work for other hosts.
    registered : bool
        Whether the record of this run is in the store.
    cut_hosts : frozenset of HostId
        The hosts that reach less than half of the targets, as the leader last said.
    """

    def __init__(
        self,
        me: HostEntry,
        cfg: FleetSettings,
        clock: Clock,
        store: Store,
        cache: StoreCache,
    ):
        self.my_entry = me
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._cache = cache
        self._decoded: dict[str, tuple[tuple[Era, Version], HostEntry | None]] = {}
        self._recorded: tuple[HostEntry, ...] = ()
        self._recorded_count = 0
        self._candidates_of: tuple[HostEntry, ...] | None = None
        self._candidates: tuple[HostEntry, ...] = ()
        self._entries: tuple[HostEntry, ...] = ()
        self._entries_basis: tuple | None = None
        self._entries_listed: tuple[HostEntry, ...] = ()
        self._live_addresses: tuple[PeerAddress, ...] = ()
        self._live_addresses_of: tuple[HostEntry, ...] | None = None
        self._index: dict[HostId, HostEntry] = {}
        self._index_of: tuple = (None, None)
        self._live: tuple[HostEntry, ...] = ()
        self._live_ids: frozenset[HostId] = frozenset()
        self._listed_at = Instant(float("-inf"))
        self._live_until = Instant(float("-inf"))
        self._last_contact_at: dict[HostId, Instant] = {}
        self.leaving = False
        self.registered = False
        self.cut_hosts: frozenset[HostId] = frozenset()
        self._registered_era = Era(0)

    def me(self) -> PeerAddress:
        """Return this host's address."""
        return self.my_entry.address

    def live(self) -> tuple[PeerAddress, ...]:
        """Return the addresses of `entries`, ordered by host id.

        The result is the same object while the entries are the same object.
        """
        entries = self.entries()
        if entries is not self._live_addresses_of:
            hosts = {entry.address.host_id: entry.address for entry in entries}
            self._live_addresses = tuple(hosts[host_id] for host_id in sorted(hosts))
            self._live_addresses_of = entries
        return self._live_addresses

    def address_of(self, host_id: HostId) -> PeerAddress | None:
        """Return a host's address, whether or not it is alive; None if unknown."""
        entry = self._entry_of(host_id)
        return None if entry is None else entry.address

    def cores_of(self, host_id: HostId) -> float:
        """Return the processor share of a host, as a number of cores; 1 if unknown."""
        entry = self._entry_of(host_id)
        return 1.0 if entry is None else entry.cores

    def entries(self) -> tuple[HostEntry, ...]:
        """Return the entries of the live hosts.

        This host is included, unless it is leaving and there are others.  Once the
        leader's list has expired, as when the leader is lost, the others are limited
        to those that had contact with this host within `present_s`.  The result is
        the same object while nothing has changed.
        """
        listed = self._live or self.recorded_hosts()
        expired = self._clock.now() > self._live_until
        if expired:
            listed = tuple(entry for entry in listed if self._is_present(entry))
        basis = (listed if expired else id(listed), expired, self.leaving)
        if basis != self._entries_basis:
            others = tuple(e for e in listed if e.address.host_id != self.me().host_id)
            alone = not (self.leaving and others)
            self._entries = (self.my_entry, *others) if alone else others
            self._entries_basis, self._entries_listed = basis, listed
        return self._entries

    def candidates(self) -> tuple[HostEntry, ...]:
        """Return the hosts that may do work for others, this one included.

        These are the hosts on the leader's last list, even if it has expired, or all
        recorded ones.  The result is the same object while nothing has changed.
        """
        listed = self._live or self.recorded_hosts()
        if listed is not self._candidates_of:
            others = [e for e in listed if e.address != self.me()]
            self._candidates_of = listed
            self._candidates = (self.my_entry, *others)
        if self.leaving:
            return self._candidates[1:]
        return self._candidates

    def rank_among(self, entries: tuple[HostEntry, ...], lost: HostId | None) -> int:
        """Return how many of `entries` may lead before this host, without `lost`.

        Hosts with more processor time come first, and among equal ones those with the
        lower host id.
        """

        def order(entry):
            return -entry.cores, entry.address.host_id

        mine = order(self.my_entry)
        return sum(
            1
            for entry in entries
            if entry.address.host_id != lost and order(entry) < mine
        )

    def stronger_hosts(self, factor: float = 1.0) -> tuple[HostEntry, ...]:
        """Return the other live hosts with over `factor` times the processor time."""
        least = factor * self.my_entry.cores
        mine = self.me().host_id
        return tuple(
            entry
            for entry in self.entries()
            if entry.cores > least and entry.address.host_id != mine
        )

    def is_stronger_than(self, host_id: HostId, factor: float) -> bool:
        """Return whether this host has over `factor` times a host's processor time."""
        entry = self._entry_of(host_id)
        return entry is not None and self.my_entry.cores > factor * entry.cores

    def reaching_targets(self) -> tuple[HostEntry, ...]:
        """Return the other live hosts that reach at least half of the targets."""
        mine = self.me().host_id
        return tuple(
            entry
            for entry in self.entries()
            if entry.address.host_id != mine
            and entry.address.host_id not in self.cut_hosts
        )

    def recorded_hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts that have a record in the store, without this one."""
        count = self._cache.kind_change_count(HOSTS_PREFIX)
        if count != self._recorded_count:
            entries = [
                entry
                for stored in self._cache.items(HOSTS_PREFIX)
                if (entry := self._decode(stored)) is not None
                and entry.name != self.my_entry.name
            ]
            self._recorded, self._recorded_count = tuple(entries), count
        return self._recorded

    def known_hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts with a record, and those on the leader's last list.

        A store that was restored from an older copy lacks the newest records.
        """
        known = {e.address: e for e in (*self.recorded_hosts(), *self._live)}
        known.pop(self.me(), None)
        return tuple(known.values())

    def was_restarted(self, host_id: HostId) -> bool:
        """Return whether the store has a record of a later run on the same machine.

        The record is read from the store, and counts only if it was written in the
        present era: otherwise it may be that of an earlier run, which proves nothing.
        """
        name = host_id.rpartition(".")[0]
        if name == self.my_entry.name:
            return host_id != self.me().host_id
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            stored = self._store.get(HOSTS_PREFIX + name, deadline)
        except StoreError as exc:
            log.info(
                "fleet: record not read", extra={"host": host_id, "reason": repr(exc)}
            )
            return False
        entry = _decode(stored)
        if entry is None or stored.value.get("era", 0) != stored.era:
            return False
        return entry.address.host_id != host_id

    def update_live(self, hosts: tuple[HostEntry, ...], until: Instant) -> None:
        """Record the leader's list of live hosts, which is valid until `until`."""
        if hosts is not self._live:
            self._live = hosts
            self._live_ids = frozenset(entry.address.host_id for entry in hosts)
        self._live_until = until
        self._listed_at = self._clock.now()

    def mark_alive(self, host_id: HostId) -> None:
        """Record that a host has just sent a message or an answer."""
        self._last_contact_at[host_id] = self._clock.now()

    def keep_registered(self) -> None:
        """Register this host, and again each time the store has been restored.

        Runs as a task of the daemon.
        """
        while True:
            self.register()
            while self.leaving or self._known_era() <= self._registered_era:
                self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))
            self.registered = False

    def _known_era(self):
        """Return the newest era of the store that this host knows of."""
        return max(self._store.era, self._cache.era or Era(0))

    def register(self) -> None:
        """Write this host's record to the store; retry until it is stored."""
        key = HOSTS_PREFIX + self.my_entry.name
        version = Version(0)
        while True:
            deadline = Instant(self._clock.now() + self._cfg.store_call_s)
            era = self._known_era()
            value = self._value(era)
            try:
                write(self._store, self._clock, key, value, version, deadline)
                log.info("fleet: registered", extra={"key": key, "era": era})
                self.registered, self._registered_era = True, era
                return
            except StoreConflict:
                # An earlier run on this machine has left its record.
                version = self._version(key)
                if version:
                    continue
            except StoreError as exc:
                log.info("fleet: not registered yet", extra={"reason": repr(exc)})
            self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def remove(self, name: str, deadline: Instant) -> None:
        """Delete a host's record; the leader deletes it later if this fails."""
        key = HOSTS_PREFIX + name
        try:
            stored = self._store.get(key, deadline)
            entry = _decode(stored)
            if name != self.my_entry.name or (
                entry is not None and entry.address == self.me()
            ):
                self._store.delete(key, stored.version, deadline)
        except StoreError as exc:
            log.info(
                "fleet: record not deleted", extra={"key": key, "reason": repr(exc)}
            )

    def remove_stale_records(self) -> None:
        """Delete the records of hosts that have been silent for `forget_s`.

        Only the leader calls this.
        """
        now = self._clock.now()
        for entry in self.recorded_hosts():
            host_id = entry.address.host_id
            if self._contact_at(host_id) is None:
                self._last_contact_at[host_id] = now
            elif now - self._contact_at(host_id) > self._cfg.forget_s:
                deadline = Instant(now + self._cfg.store_call_s)
                eventlet.spawn_n(self.remove, entry.name, deadline)
                self._last_contact_at[host_id] = now

    def _decode(self, stored):
        """Return the host of a record; decode each version of it only once."""
        known = self._decoded.get(stored.key)
        if known is None or known[0] != stored.order:
            known = self._decoded[stored.key] = (stored.order, _decode(stored))
        return known[1]

    def _entry_of(self, host_id) -> HostEntry | None:
        recorded = self.recorded_hosts()
        live_of, recorded_of = self._index_of
        if live_of is not self._live or recorded_of is not recorded:
            self._index = {
                entry.address.host_id: entry
                for entry in (*recorded, *self._live, self.my_entry)
            }
            self._index_of = (self._live, recorded)
        return self._index.get(host_id)

    def _contact_at(self, host_id) -> Instant | None:
        """Return when a host last had contact with this one, or was on a list."""
        own = self._last_contact_at.get(host_id)
        if host_id not in self._live_ids:
            return own
        return self._listed_at if own is None else max(own, self._listed_at)

    def _is_present(self, entry):
        """Return whether a host had contact with this one within `present_s`."""
        contact_at = self._contact_at(entry.address.host_id)
        return (
            contact_at is not None
            and self._clock.now() - contact_at <= self._cfg.present_s
        )

    def _version(self, key):
        """Return the current version of an object, or 0 if that can't be read."""
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            return self._store.get(key, deadline).version
        except StoreError as exc:
            log.info("fleet: record not read", extra={"reason": repr(exc)})
            return Version(0)

    def _value(self, era):
        address = self.me()
        return {
            "era": era,
            WRITE_ID: new_write_id(),
            "host_id": address.host_id,
            "ip": address.ip,
            "port": address.port,
            "name": self.my_entry.name,
            "data_centre": self.my_entry.data_centre,
            "cores": self.my_entry.cores,
        }


def _decode(stored) -> HostEntry | None:
    """Return the host that a record describes; None if another writer made it."""
    value = stored.value
    texts = [value.get(name) for name in ("host_id", "ip", "name", "data_centre")]
    port = value.get("port")
    valid_port = type(port) is int and 0 < port <= MAX_PORT
    if not valid_port or not all(isinstance(t, str) and t for t in texts):
        log.warning(
            "fleet: record can't be read",
            extra={"key": stored.key, "version": stored.version},
        )
        return None
    host_id, ip, name, data_centre = texts
    address = PeerAddress(HostId(host_id), ip, port)
    cores = value.get("cores")
    if type(cores) not in (int, float) or not 0 < cores < math.inf:
        cores = 1.0
    return HostEntry(address, name, DataCentreId(data_centre), cores)
