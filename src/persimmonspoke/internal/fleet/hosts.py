"""The hosts of the fleet: their records in the store, and who is alive."""

import logging

import eventlet

from persimmonspoke.errors import StoreError, StoreMissing
from persimmonspoke.ids import DataCentreId, HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.news.board import NewsBoard
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import WRITE_ID, new_write_id, write

HOSTS_PREFIX = "persimmonspoke-hosts/"
RETRY_S = 0.5

log = logging.getLogger(__name__)


class Hosts:
    """All hosts that the store names, and those that are alive.

    Implements the scheduler's `Members`.

    Attributes
    ----------
    leaving : bool
        Whether this host is being stopped; it then does nothing for the others.
    """

    def __init__(
        self,
        me: HostEntry,
        cfg: FleetSettings,
        clock: Clock,
        store: Store,
        board: NewsBoard,
    ):
        self.my_entry = me
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._board = board
        self._live: tuple[HostEntry, ...] = ()
        self._live_until = Instant(float("-inf"))
        self._heard: dict[HostId, Instant] = {}
        self.leaving = False

    def me(self) -> PeerAddress:
        """Return this host."""
        return self.my_entry.address

    def live(self) -> tuple[PeerAddress, ...]:
        """Return the hosts that are alive, this one included, in a fixed order.

        While the leader is lost these are the hosts of its last word that have
        been heard since, and this one.
        """
        hosts = {entry.address.host_id: entry.address for entry in self.entries()}
        return tuple(hosts[host_id] for host_id in sorted(hosts))

    def address_of(self, host_id: HostId) -> PeerAddress | None:
        """Return where a host listens, alive or not; None if it is not known."""
        for entry in (self.my_entry, *self._live, *self.recorded()):
            if entry.address.host_id == host_id:
                return entry.address
        return None

    def entries(self) -> tuple[HostEntry, ...]:
        """Return the entries of the live hosts, this one included."""
        known = self._live or self.recorded()
        if self._clock.now() > self._live_until:
            known = tuple(entry for entry in known if self._heard_lately(entry))
        others = [e for e in known if e.address.host_id != self.me().host_id]
        if self.leaving and others:
            return tuple(others)
        return (self.my_entry, *others)

    def recorded(self) -> tuple[HostEntry, ...]:
        """Return the hosts that the store names, this one left out."""
        entries = []
        for stored in self._board.items(HOSTS_PREFIX):
            entry = _read(stored)
            if entry is not None and entry.name != self.my_entry.name:
                entries.append(entry)
        return tuple(entries)

    def replaced(self, host_id: HostId) -> bool:
        """Return whether the store names a later run of that host's machine."""
        name = host_id.rpartition(".")[0]
        if name == self.my_entry.name:
            return host_id != self.me().host_id
        return any(
            entry.name == name and entry.address.host_id != host_id
            for entry in self.recorded()
        )

    def set_live(self, hosts: tuple[HostEntry, ...], until: Instant) -> None:
        """Take in the leader's word on who is alive."""
        self._live = hosts
        self._live_until = until
        for entry in hosts:
            self._heard[entry.address.host_id] = self._clock.now()

    def heard(self, host_id: HostId) -> None:
        """Take note that a host has just answered or called."""
        self._heard[host_id] = self._clock.now()

    def register(self) -> None:
        """Write this host's record; returns once the store has it."""
        key = HOSTS_PREFIX + self.my_entry.name
        while True:
            deadline = Instant(self._clock.now() + self._cfg.store_call_s)
            try:
                write(
                    self._store,
                    self._clock,
                    key,
                    self._value(),
                    self._version(key, deadline),
                    deadline,
                )
                log.info("fleet: registered", extra={"key": key})
                return
            except StoreError as exc:
                log.info("fleet: not registered yet", extra={"reason": repr(exc)})
            self._clock.sleep_until(Instant(self._clock.now() + RETRY_S))

    def remove(self, name: str, deadline: Instant) -> None:
        """Delete a host's record; a failure leaves it to the leader's next look."""
        key = HOSTS_PREFIX + name
        try:
            stored = self._store.get(key, deadline)
            entry = _read(stored)
            if name != self.my_entry.name or (
                entry is not None and entry.address == self.me()
            ):
                self._store.delete(key, stored.version, deadline)
        except StoreError as exc:
            log.info("fleet: record stays", extra={"key": key, "reason": repr(exc)})

    def remove_stale_records(self) -> None:
        """Delete the records of hosts that have been silent for long; the leader's."""
        now = self._clock.now()
        for entry in self.recorded():
            heard = self._heard.setdefault(entry.address.host_id, now)
            if now - heard > self._cfg.forget_s:
                deadline = Instant(now + self._cfg.store_call_s)
                eventlet.spawn_n(self.remove, entry.name, deadline)
                self._heard[entry.address.host_id] = now

    def _heard_lately(self, entry):
        heard = self._heard.get(entry.address.host_id)
        return heard is not None and self._clock.now() - heard <= self._cfg.present_s

    def _version(self, key, deadline):
        try:
            return self._store.get(key, deadline).version
        except StoreMissing:
            return 0

    def _value(self):
        address = self.me()
        return {
            WRITE_ID: new_write_id(),
            "host_id": address.host_id,
            "ip": address.ip,
            "port": address.port,
            "name": self.my_entry.name,
            "data_centre": self.my_entry.data_centre,
        }


def _read(stored) -> HostEntry | None:
    """Return the host of one record, or None if another writer made it."""
    value = stored.value
    try:
        address = PeerAddress(HostId(value["host_id"]), value["ip"], value["port"])
        return HostEntry(address, value["name"], DataCentreId(value["data_centre"]))
    except KeyError:
        log.warning("fleet: record can't be read", extra={"key": stored.key})
        return None
