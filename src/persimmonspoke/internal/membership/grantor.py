"""This host as successor of others: granting their leases and revoking them."""

import logging
from collections.abc import Callable

from persimmonspoke.errors import (
    PeerRefused,
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
)
from persimmonspoke.ids import HostId, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.directory import Directory
from persimmonspoke.internal.membership.holder import Holder
from persimmonspoke.internal.membership.lease import GrantedLease
from persimmonspoke.internal.membership.messages import (
    LeaseReply,
    LeaseRequest,
    ReleaseReply,
    ReleaseRequest,
    Verdict,
)
from persimmonspoke.internal.membership.record import (
    PREFIX,
    HostRecord,
    HostState,
)
from persimmonspoke.internal.membership.ring import rendezvous_host
from persimmonspoke.internal.membership.settings import host_name
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.peers.api import Liveness, PeerLink
from persimmonspoke.internal.store.api import Store, StoredObject
from persimmonspoke.internal.store.writes import new_write_id, write

_LOG = logging.getLogger(__name__)

WATCH_PERIOD_S = 0.05
AUDIT_PERIOD_S = 0.2
STORE_TIMEOUT_S = 1.0
CLEANUP_PERIOD_S = 5.0
RECORD_RETENTION_S = 60.0


class Grantor:
    """Grants leases to the hosts whose successor this host is, and revokes hosts.

    Attributes
    ----------
    granted_leases : dict of HostId to GrantedLease
        The lease of each host that requested one or that this host may revoke.
    acting : set of HostId
        Dead hosts whose pages this host may take over without the store.
    has_copies : callable
        Returns whether this host has copies of all pages that a host keeps.
    drop_copies : callable
        Discards the copies of a host's pages.
    keeps_pages : callable
        Returns whether the store names a host as keeper of some page.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        link: PeerLink,
        store_view: StoreView,
        host_list,
        directory: Directory,
        holder: Holder,
        tasks: Tasks,
    ):
        self.granted_leases: dict[HostId, GrantedLease] = {}
        self.acting: set[HostId] = set()
        self.has_copies: Callable[[HostId], bool] = lambda host_id: True
        self.drop_copies: Callable[[HostId], None] = lambda host_id: None
        self.keeps_pages: Callable[[HostId], bool] = lambda host_id: False
        self._me = holder.cfg.host_id
        self._timers = holder.timers
        self._clock = clock
        self._store = store
        self._link = link
        self._store_view = store_view
        self._host_list = host_list
        self._directory = directory
        self._holder = holder
        self._tasks = tasks
        self._audit_index = 0
        self._revoked_since: dict[HostId, Instant] = {}
        self._responsible_for_version: tuple[int, int] = (-1, -1)
        self._responsible_for: frozenset[HostId] = frozenset()
        holder.acts_for = self.acting.__contains__

    def start(self) -> None:
        """Start to answer lease requests and to check other hosts."""
        self._link.serve(LeaseRequest, self._on_lease_request)
        self._link.serve(ReleaseRequest, self._on_release_request)
        self._tasks.every(WATCH_PERIOD_S, self._watch)
        self._tasks.every(AUDIT_PERIOD_S, self._audit)
        self._tasks.every(CLEANUP_PERIOD_S, self._delete_old_record)

    def accepts_copies_from(self, holder_id: HostId) -> bool:
        """Return whether `holder_id` may still copy its pages to this host."""
        return not self._holder.revoked and not self._lease_of(holder_id).refusing

    def may_hold_lease(self, holder_id: HostId) -> bool:
        """Return whether `holder_id` may hold a lease that this host granted."""
        lease = self.granted_leases.get(holder_id)
        if lease is None or holder_id in self._directory.dead:
            return False
        return self._clock.now() <= lease.until

    def _lease_of(self, holder_id) -> GrantedLease:
        if holder_id not in self.granted_leases:
            now = self._clock.now()
            self.granted_leases[holder_id] = GrantedLease(holder_id, self._timers, now)
        return self.granted_leases[holder_id]

    def _delay_inherited_right(self, lease):
        """Delay the right to revoke a holder whose record names another successor.

        The right is inherited from that successor, which has been revoked.  The last
        lease that it granted before its revocation must lapse first.
        """
        record = self._directory.get(lease.holder)
        inherited = record is not None and record.successor != self._me
        if inherited and not lease.inherited:
            lease_s = self._timers.max_duration_s(self._timers.lease_s)
            lease.may_revoke_from = Instant(self._clock.now() + lease_s)
        lease.inherited = inherited

    # Lease and release requests of holders.

    def _on_lease_request(self, req: LeaseRequest) -> LeaseReply:
        lease = self._lease_of(req.holder)
        verdict = self._verdict(req, lease)
        now = self._clock.now()
        if verdict in (Verdict.GRANTED, Verdict.LEAVING):
            named = req.named or bool(req.acting_for)
            lease.record_grant(req.sequence, req.echoed, named, now)
        return LeaseReply(
            verdict=verdict,
            unrevoked_s=self._holder.unrevoked_s(now),
            heirs=self._holder.grantors(),
        )

    def _verdict(self, req, lease):
        record = self._directory.get(req.holder)
        if record is not None and record.revoked:
            return Verdict.REVOKED
        if lease.refusing or req.holder in self._directory.dead:
            return Verdict.REFUSED
        if self._holder.revoked or self._holder.record is None:
            return Verdict.REFUSED
        if req.acting_for and req.acting_for not in self.acting:
            return Verdict.REFUSED
        if self._holder.record.state is HostState.LEAVING:
            return Verdict.LEAVING
        return Verdict.GRANTED

    def _on_release_request(self, req: ReleaseRequest) -> ReleaseReply:
        lease = self._lease_of(req.holder)
        if lease.refusing:
            raise PeerRefused("a revocation of the holder has begun")
        lease.named = False
        self.drop_copies(req.holder)
        return ReleaseReply()

    # Checks of silent holders, and their revocation.

    def _watch(self):
        for host_id in self._watched():
            lease = self._lease_of(host_id)
            self._delay_inherited_right(lease)
            if not lease.checking and lease.silent(self._clock.now()):
                lease.checking = True
                self._tasks.spawn(self._check_silent, lease)

    def _watched(self):
        """Return the hosts that this host may have to revoke or act for."""
        named = {host for host, lease in self.granted_leases.items() if lease.named}
        known_version = self._directory.version()
        if known_version != self._responsible_for_version:
            self._responsible_for_version = known_version
            self._responsible_for = frozenset(
                host_id
                for host_id in self._directory.records()
                if self._directory.responsible_host(host_id) == self._me
            )
        found = sorted(named | self._responsible_for)
        return [host for host in found if not self._is_revoked(host)]

    def _is_revoked(self, host_id):
        record = self._directory.get(host_id)
        return record is not None and record.revoked

    def _check_silent(self, lease):
        """Revoke one silent host if it is dead or its lease has lapsed."""
        try:
            if self._is_proven_dead(lease.holder):
                self._act_if_allowed(lease, self._clock.now())
                self._revoke(lease, dead=True)
            elif lease.lapsed(self._clock.now()):
                self._mark_dead_if_removed(lease.holder)
                self._revoke(lease, dead=False)
        finally:
            lease.checking = False

    def _is_proven_dead(self, host_id):
        record = self._directory.get(host_id)
        if record is not None:
            self._holder.prober.probe_record(record)
        return host_id in self._directory.dead

    def _mark_dead_if_removed(self, host_id):
        """Record a silent host as dead if the platform's list has removed it."""
        if self._host_list.is_removed(host_name(host_id)):
            self._directory.dead.add(host_id)

    def _act_if_allowed(self, lease, now):
        """Act for the dead holder at once if allowed, without waiting for the store."""
        if lease.refusing:
            return
        lease.refusing = True
        if lease.may_act(now) and self.has_copies(lease.holder):
            self.acting.add(lease.holder)
            _LOG.warning(
                "successor: acting for a dead host", extra={"host": lease.holder}
            )

    def _revoke(self, lease, dead):
        """Revoke the holder in the store, if this host has a valid lease."""
        if not self._holder.valid_at(self._clock.now()):
            return
        refused_before = lease.refusing
        lease.refusing = True
        sent = False
        try:
            sent = self._try_revoke(lease, dead)
        finally:
            lease.refusing = dead or sent or refused_before

    def _try_revoke(self, lease, dead):
        """Return whether a revocation was sent that has or may still take effect."""
        found = self._read(PREFIX + lease.holder)
        if found is None or not found.value:
            return False
        record = HostRecord.from_value(found.value)
        if record.revoked:
            return False
        if self._directory.responsible_host(lease.holder) != self._me:
            self._give_up_holder(lease)
            return False
        now = self._clock.now()
        if not self._holder.valid_at(now) or not (dead or lease.lapsed(now)):
            return False
        return self._write_revocation(record, found.version)

    def _give_up_holder(self, lease):
        """Stop acting as the successor of a holder that has named another one."""
        lease.named = False
        lease.refusing = False
        self.acting.discard(lease.holder)
        self.drop_copies(lease.holder)

    def _write_revocation(self, record, version):
        """Revoke `record`; return whether the write has or may still take effect."""
        value = record.as_revoked(self._me).to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        try:
            stored = write(
                self._store, self._clock, record.path, value, version, deadline
            )
        except StoreOutcomeUnknown:
            return True
        except StoreConflict:
            self._read(record.path)
            return False
        except StoreError:
            return False
        self._store_view.observe(stored)
        _LOG.warning("successor: host revoked", extra={"host": record.host_id})
        return True

    def _read(self, path):
        try:
            found = self._store.get(path, Instant(self._clock.now() + STORE_TIMEOUT_S))
        except StoreError:
            return None
        self._store_view.observe(found)
        return found

    # Hosts whose chain of successors has ended.

    def _audit(self):
        """Probe the next host in turn; revoke it if all its successors have ended."""
        others = sorted(
            record.host_id
            for record in self._directory.records().values()
            if not record.revoked and record.host_id != self._me
        )
        if not others:
            return
        self._audit_index = (self._audit_index + 1) % len(others)
        record = self._directory.get(others[self._audit_index])
        host_id = record.host_id
        if self._holder.prober.probe_record(record) is Liveness.SILENT:
            self._mark_dead_if_removed(host_id)
        if not self._directory.orphaned(host_id) or not self._is_auditor(host_id):
            return
        if not self._holder.valid_at(self._clock.now()):
            return
        found = self._read(record.path)
        if found is None or not self._directory.orphaned(host_id):
            return
        record = HostRecord.from_value(found.value)
        if not record.revoked:
            self._write_revocation(record, found.version)

    # Records of hosts that were revoked long ago.

    def _delete_old_record(self):
        """Delete one revoked record that no other object refers to any more."""
        now = self._clock.now()
        records = self._directory.records()
        named = {record.successor for record in records.values() if not record.revoked}
        for host_id, record in records.items():
            if not record.revoked:
                continue
            since = self._revoked_since.setdefault(host_id, now)
            if now < since + RECORD_RETENTION_S or host_id in named:
                continue
            if not self.keeps_pages(host_id) and self._is_auditor(host_id):
                self._delete_record(record)
                return

    def _delete_record(self, record):
        known = self._store_view.get(record.path)
        deadline = Instant(self._clock.now() + STORE_TIMEOUT_S)
        if known is not None:
            self._store.delete(record.path, known.version, deadline)
            self._store_view.observe(
                StoredObject(record.path, {}, Version(known.version + 1))
            )
            self._revoked_since.pop(record.host_id, None)
            self.granted_leases.pop(record.host_id, None)

    def _is_auditor(self, host_id):
        hosts = (record.host_id for record in self._directory.active())
        return rendezvous_host(f"orphan|{host_id}", hosts) == self._me
