"""This host as successor of others: granting their leases, and revoking them."""

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
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.peers.api import Liveness, PeerLink
from persimmonspoke.internal.store.api import Store, Stored
from persimmonspoke.internal.store.writes import new_write_id, write

_LOG = logging.getLogger(__name__)

WATCH_S = 0.05
AUDIT_S = 0.2
STORE_S = 1.0
TIDY_S = 5.0
RECORD_KEPT_S = 60.0


class Grantor:
    """The grantor's end of the leases of this host's predecessors.

    Attributes
    ----------
    granted_leases : dict of HostId to Promise
        What was promised to each host that asked or that this host answers for.
    acting : set of HostId
        Dead hosts for whose pages this host may act without the store.
    has_copies : callable
        Whether all that a host keeps was handed to this one.
    drop_copies : callable
        Forget what a host has handed over.
    keeps_pages : callable
        Whether the store still names a host as keeper of some page.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        link: PeerLink,
        news: News,
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
        self._news = news
        self._host_list = host_list
        self._directory = directory
        self._holder = holder
        self._tasks = tasks
        self._audited = 0
        self._revoked_since: dict[HostId, Instant] = {}
        self._mine_at: tuple[int, int] = (-1, -1)
        self._mine: frozenset[HostId] = frozenset()
        holder.acts_for = self.acting.__contains__

    def start(self) -> None:
        """Begin to answer requests and to watch over others."""
        self._link.serve(LeaseRequest, self._lease)
        self._link.serve(ReleaseRequest, self._release)
        self._tasks.every(WATCH_S, self._watch)
        self._tasks.every(AUDIT_S, self._audit)
        self._tasks.every(TIDY_S, self._tidy)

    def accepts_from(self, holder_id: HostId) -> bool:
        """Return whether `holder_id` may still hand its changes to this host."""
        return not self._holder.revoked and not self._promise(holder_id).refusing

    def may_hold_lease(self, holder_id: HostId) -> bool:
        """Return whether `holder_id` may still hold a lease of this host."""
        promise = self.granted_leases.get(holder_id)
        if promise is None or holder_id in self._directory.dead:
            return False
        return self._clock.now() <= promise.until

    def _promise(self, holder_id) -> GrantedLease:
        if holder_id not in self.granted_leases:
            now = self._clock.now()
            self.granted_leases[holder_id] = GrantedLease(holder_id, self._timers, now)
        return self.granted_leases[holder_id]

    def _note_right(self, promise):
        """Delay the right to revoke a host that has not named this one.

        It is inherited from a revoked host, whose last promise must have lapsed
        before.  That host gave it while it was not revoked.
        """
        record = self._directory.get(promise.holder)
        inherited = record is not None and record.successor != self._me
        if inherited and not promise.inherited:
            lease_s = self._timers.max_duration_s(self._timers.lease_s)
            promise.rights_from = Instant(self._clock.now() + lease_s)
        promise.inherited = inherited

    # Requests of predecessors.

    def _lease(self, req: LeaseRequest) -> LeaseReply:
        promise = self._promise(req.holder)
        verdict = self._verdict(req, promise)
        now = self._clock.now()
        if verdict in (Verdict.GRANTED, Verdict.LEAVING):
            named = req.named or bool(req.acting_for)
            promise.renew(req.sequence, req.echoed, named, now)
        return LeaseReply(
            verdict=verdict,
            unrevoked_s=self._holder.unrevoked_s(now),
            heirs=self._holder.grantors(),
        )

    def _verdict(self, req, promise):
        record = self._directory.get(req.holder)
        if record is not None and record.revoked:
            return Verdict.REVOKED
        if promise.refusing or req.holder in self._directory.dead:
            return Verdict.REFUSED
        if self._holder.revoked or self._holder.record is None:
            return Verdict.REFUSED
        if req.acting_for and req.acting_for not in self.acting:
            return Verdict.REFUSED
        if self._holder.record.state is HostState.LEAVING:
            return Verdict.LEAVING
        return Verdict.GRANTED

    def _release(self, req: ReleaseRequest) -> ReleaseReply:
        promise = self._promise(req.holder)
        if promise.refusing:
            raise PeerRefused("a revocation has begun")
        promise.named = False
        self.drop_copies(req.holder)
        return ReleaseReply()

    # Watching over predecessors.

    def _watch(self):
        for host_id in self._watched():
            promise = self._promise(host_id)
            self._note_right(promise)
            if not promise.checking and promise.silent(self._clock.now()):
                promise.checking = True
                self._tasks.spawn(self._check, promise)

    def _watched(self):
        """Return the hosts that this one answers for."""
        named = {host for host, promise in self.granted_leases.items() if promise.named}
        known_at = self._directory.version()
        if known_at != self._mine_at:
            self._mine_at = known_at
            self._mine = frozenset(
                host_id
                for host_id in self._directory.records()
                if self._directory.responsible(host_id) == self._me
            )
        found = sorted(named | self._mine)
        return [host for host in found if not self._is_revoked(host)]

    def _is_revoked(self, host_id):
        record = self._directory.get(host_id)
        return record is not None and record.revoked

    def _check(self, promise):
        """Look after one silent host."""
        try:
            if self._proven_dead(promise.holder):
                self._act_if_allowed(promise, self._clock.now())
                self._revoke(promise, dead=True)
            elif promise.lapsed(self._clock.now()):
                self._heed_list(promise.holder)
                self._revoke(promise, dead=False)
        finally:
            promise.checking = False

    def _proven_dead(self, host_id):
        record = self._directory.get(host_id)
        if record is not None:
            self._holder.prober.probe_record(record)
        return host_id in self._directory.dead

    def _heed_list(self, host_id):
        """Take the platform's word that a host which is silent here is no more."""
        if self._host_list.is_removed(host_name(host_id)):
            self._directory.dead.add(host_id)

    def _act_if_allowed(self, promise, now):
        """Take the dead holder's place at once, without waiting for the store."""
        if promise.refusing:
            return
        promise.refusing = True
        if promise.may_act(now) and self.has_copies(promise.holder):
            self.acting.add(promise.holder)
            _LOG.warning(
                "successor: acting for a dead host", extra={"host": promise.holder}
            )

    def _revoke(self, promise, dead):
        """Revoke the holder in the store, if this host still may."""
        if not self._holder.valid_at(self._clock.now()):
            return
        refused_before = promise.refusing
        promise.refusing = True
        sent = False
        try:
            sent = self._try_revoke(promise, dead)
        finally:
            promise.refusing = dead or sent or refused_before

    def _try_revoke(self, promise, dead):
        """Return whether a write was sent that may take effect, now or later."""
        found = self._read(PREFIX + promise.holder)
        if found is None or not found.value:
            return False
        record = HostRecord.from_value(found.value)
        if record.revoked:
            return False
        if self._directory.responsible(promise.holder) != self._me:
            self._disclaim(promise)
            return False
        now = self._clock.now()
        if not self._holder.valid_at(now) or not (dead or promise.lapsed(now)):
            return False
        return self._write_revocation(record, found.version)

    def _disclaim(self, promise):
        """Give up a holder that has named another successor."""
        promise.named = False
        promise.refusing = False
        self.acting.discard(promise.holder)
        self.drop_copies(promise.holder)

    def _write_revocation(self, record, version):
        """Revoke `record`; return whether the write may still take effect."""
        value = record.revoke(self._me).to_value(new_write_id())
        deadline = Instant(self._clock.now() + STORE_S)
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
        self._news.observe(stored)
        _LOG.warning("successor: host revoked", extra={"host": record.host_id})
        return True

    def _read(self, path):
        try:
            found = self._store.get(path, Instant(self._clock.now() + STORE_S))
        except StoreError:
            return None
        self._news.observe(found)
        return found

    # Hosts whose successors are all dead.

    def _audit(self):
        """Probe one host in turn; revoke it if nobody else is left to do so."""
        others = sorted(
            record.host_id
            for record in self._directory.records().values()
            if not record.revoked and record.host_id != self._me
        )
        if not others:
            return
        self._audited = (self._audited + 1) % len(others)
        record = self._directory.get(others[self._audited])
        host_id = record.host_id
        if self._holder.prober.probe_record(record) is Liveness.SILENT:
            self._heed_list(host_id)
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

    # Records of hosts that ended long ago.

    def _tidy(self):
        """Delete one record that nothing refers to any more."""
        now = self._clock.now()
        records = self._directory.records()
        named = {record.successor for record in records.values() if not record.revoked}
        for host_id, record in records.items():
            if not record.revoked:
                continue
            since = self._revoked_since.setdefault(host_id, now)
            if now < since + RECORD_KEPT_S or host_id in named:
                continue
            if not self.keeps_pages(host_id) and self._is_auditor(host_id):
                self._delete(record)
                return

    def _delete(self, record):
        known = self._news.get(record.path)
        deadline = Instant(self._clock.now() + STORE_S)
        if known is not None:
            self._store.delete(record.path, known.version, deadline)
            self._news.observe(Stored(record.path, {}, Version(known.version + 1)))
            self._revoked_since.pop(record.host_id, None)
            self.granted_leases.pop(record.host_id, None)

    def _is_auditor(self, host_id):
        hosts = (record.host_id for record in self._directory.active())
        return rendezvous_host(f"orphan|{host_id}", hosts) == self._me
