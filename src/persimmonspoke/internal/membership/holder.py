"""This host's own lease: its renewal, and the timely change of its grantor."""

import logging
from collections.abc import Callable

from persimmonspoke.errors import (
    PeerError,
    StoreError,
)
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.directory import Directory
from persimmonspoke.internal.membership.lease import FOREVER, LONG_AGO, HeldLease
from persimmonspoke.internal.membership.messages import (
    LeaseRequest,
    ReleaseRequest,
    Verdict,
)
from persimmonspoke.internal.membership.own_record import (
    STORE_TIMEOUT_S,
    OwnRecord,
    WriteOutcome,
)
from persimmonspoke.internal.membership.proofs import LivenessProber
from persimmonspoke.internal.membership.record import NO_HOST, HostRecord
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.peers.api import Liveness, PeerAddress, PeerLink
from persimmonspoke.internal.store.api import Store

_LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.05
POLL_S = 0.02
READ_PERIOD_S = 0.5
CHANGE_RETRY_S = 0.1
NO_SUCCESSOR_AFTER_S = 3.0
MAX_CONCURRENT_REQUESTS = 3


class Holder:
    """Holds this host's lease, and is the only writer of its record on this host.

    Attributes
    ----------
    required : dict of HostId to HeldLease
        By named successor, the leases that must all be valid for this host to act.
        There are two while the outcome of a change of successor is unknown, and none
        if this host has no successor, so that it is revoked only if proven dead.
    revoked : bool
        Whether this run has permanently lost its authority.
    prober : LivenessProber
        Detects which other runs are dead.
    replicate_to : callable
        Sends all pages that this host keeps to a prospective grantor; returns whether
        that accepted them.
    acts_for : callable
        Returns whether this host itself acts for a dead host.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        store: Store,
        link: PeerLink,
        store_view: StoreView,
        directory: Directory,
        tasks: Tasks,
    ):
        self.cfg = cfg
        self.timers = cfg.timers
        self.required: dict[HostId, HeldLease] = {}
        self.revoked = False
        self.replicate_to: Callable[[PeerAddress], bool] = lambda grantor: True
        self.acts_for: Callable[[HostId], bool] = lambda host_id: False
        self._clock = clock
        self._store = store
        self._link = link
        self._store_view = store_view
        self._directory = directory
        self._tasks = tasks
        self._own = OwnRecord(clock, store, store_view)
        self.prober = LivenessProber(cfg, clock, link, directory)
        self._next_change_at = LONG_AGO
        self._next_candidate = 0
        self._isolated_since: Instant | None = None

    def start(self) -> None:
        """Start to maintain the lease; the record must have been written."""
        self._tasks.every(CHECK_PERIOD_S, self._replace_dead_grantors)
        self._tasks.every(CHECK_PERIOD_S, self._check_successor)

    @property
    def record(self) -> HostRecord | None:
        """This host's record as it is stored; None before the first write."""
        return self._own.value

    def lease_end(self) -> Instant:
        """Return the instant until which this host is guaranteed not to be revoked."""
        if self.record is None or self.revoked:
            return LONG_AGO
        ends = (lease.end for lease in self.required.values())
        return min(ends, default=FOREVER)

    def valid_at(self, now: Instant) -> bool:
        """Return whether this host may act at `now`."""
        return now < self.lease_end()

    def unrevoked_s(self, now: Instant) -> float:
        """Return for how long this host is guaranteed not to be revoked.

        The result is negative if the guarantee has expired.
        """
        unrevoked_until = max(self.lease_end(), self._own.unrevoked_at)
        return min(unrevoked_until - now, self.timers.lease_s)

    def grantors(self) -> tuple[PeerAddress, ...]:
        """Return the addresses of all hosts that may be this host's successor now."""
        return tuple(lease.grantor for lease in self.required.values())

    def replica_hosts(self) -> tuple[PeerAddress, ...]:
        """Return the hosts that must have copies of pages before changes take effect.

        A dead grantor for which this host itself acts is left out: no other host can
        ever act for this host, so none needs copies.
        """
        return tuple(
            lease.grantor for lease in self.required.values() if lease.end != FOREVER
        )

    def join(self) -> None:
        """Write this host's record, naming a successor that has granted a lease.

        Without one, it names none if no other host is left, or after
        `NO_SUCCESSOR_AFTER_S`.
        """
        since = self._clock.now()
        while self.record is None:
            if self._own.pending is not None:
                self._apply_outcome(self._own.resolve())
            elif self._list_hosts() and not self._name_any_of(
                self._directory.candidates()
            ):
                self._tasks.gather(
                    self.prober.probe_record, self._directory.unrevoked()
                )
                others = self._directory.unrevoked()
                if not others or self._clock.now() > since + NO_SUCCESSOR_AFTER_S:
                    self._name_successor(None)
            self._clock.sleep_until(self._after(POLL_S))

    def write_record(self, record: HostRecord) -> bool:
        """Replace this host's record without a change of successor.

        Returns whether the write is known to have taken effect.
        """
        if self._own.pending is not None:
            return False
        self._previous_leases = dict(self.required)
        return self._write_record(record)

    def _list_hosts(self):
        """Read all host records; return whether the store answered."""
        try:
            listing = self._store.list("hosts/", self._after(STORE_TIMEOUT_S))
        except StoreError:
            return False
        for item in listing.items:
            self._store_view.observe(item)
        return True

    def _after(self, period_s):
        return Instant(self._clock.now() + period_s)

    # Requests to the grantors of this host's lease.

    def _keep_renewing(self, lease):
        """Renew `lease` periodically while it is required."""
        while not self.revoked and lease in self.required.values():
            due = self._after(self.timers.heartbeat_s)
            self._request_lease(lease)
            self._clock.sleep_until(due)

    def _request_lease(self, lease):
        """Request `lease` once; return whether it was granted."""
        grantor = lease.grantor
        asked_at = self._clock.now()
        sequence = lease.next_sequence()
        named = self._own.pending is None and self.record is not None
        req = LeaseRequest(
            holder=self.cfg.host_id,
            named=named and self.record.successor == grantor.host_id,
            acting_for=lease.acting_for,
            sequence=sequence,
            echoed=lease.echoed,
        )
        deadline = Instant(asked_at + self.timers.probe_after_s)
        try:
            reply = self._link.call(grantor, req, deadline)
        except PeerError:
            return False
        lease.record_answer(sequence, asked_at, self._clock.now(), reply)
        return reply.verdict in (Verdict.GRANTED, Verdict.LEAVING)

    # Dead grantors, also while the store is unreachable.

    def _replace_dead_grantors(self):
        """Probe silent grantors, and replace dead ones by their heirs."""
        for named, lease in list(self.required.items()):
            if not lease.dead and lease.silent(self._clock.now()):
                lease.dead = self.prober.probe(lease.grantor) is Liveness.DEAD
            if lease.dead:
                self._adopt_heir(named, lease)

    def _adopt_heir(self, named, lease):
        """Obtain the lease from the host that acts for the dead grantor."""
        grantor_id = lease.grantor.host_id
        for heir in lease.heirs:
            if heir.host_id == self.cfg.host_id:
                if self.acts_for(grantor_id):
                    # The only host that could revoke this host is dead, and only
                    # this host itself can act for it.
                    lease.end = FOREVER
                    return
                continue
            new = HeldLease(heir, self.timers, self._clock.now())
            new.acting_for = grantor_id
            if not self.replicate_to(heir) or not self._request_lease(new):
                continue
            if self.required.get(named) is lease:
                self.required[named] = new
                self._tasks.spawn(self._keep_renewing, new)
                _LOG.info("lease: an heir grants it", extra={"heir": heir.host_id})
            return

    # Changes of the successor in the record.

    def _check_successor(self):
        """Name another successor if the present one cannot serve."""
        if self.revoked:
            return
        self._check_revoked()
        now = self._clock.now()
        if not self.valid_at(now) and now > self._own.read_at + READ_PERIOD_S:
            self._read_own_record()
        if self._own.pending is not None:
            self._apply_outcome(self._own.resolve())
        elif self.required and not self._needs_new_successor():
            self._isolated_since = None
        elif now > self._next_change_at:
            self._next_change_at = self._after(CHANGE_RETRY_S)
            self._replace_successor()

    def _check_revoked(self):
        record = self._directory.get(self.cfg.host_id)
        if record is not None and record.revoked:
            self._set_revoked()

    def _set_revoked(self):
        self.revoked = True
        _LOG.warning("lease: this run is revoked and has no authority any more")

    def _needs_new_successor(self):
        """Return whether the named successor should be replaced."""
        lease = self.required.get(self.record.successor)
        if lease is None or lease.acting_for != NO_HOST or lease.dead:
            return True
        record = self._directory.get(self.record.successor)
        if record is not None and record.revoked:
            # A revoked host holds no lease, so it cannot act for this host.
            lease.released = True
            return True
        return lease.silent(self._clock.now()) or lease.verdict is not Verdict.GRANTED

    def _replace_successor(self):
        now = self._clock.now()
        if self._isolated_since is None:
            self._isolated_since = now
        if self._name_any_of(self._directory.candidates()):
            self._isolated_since = None
        elif self.required and self._may_have_no_successor(now):
            self._name_successor(None)

    def _may_have_no_successor(self, now):
        """Return whether this host, which reaches no other, may have no successor.

        In a partitioned fleet only one host may, and only after a successor that still
        works has had the time to revoke it.
        """
        # Without a candidate, all other live hosts are leaving.  A leaving host waits
        # until no host names it as successor, so there is no delay in this case.
        if not self._directory.candidates():
            return True
        ids = {record.host_id for record in self._directory.unrevoked()}
        if now < self._isolated_since + NO_SUCCESSOR_AFTER_S:
            return False
        return min(ids) == self.cfg.host_id

    def _name_any_of(self, candidates):
        """Name the first candidate that grants a lease and accepts copies of the pages.

        Returns whether one is named.  Each call asks the next few candidates, because
        earlier ones may be unreachable.
        """
        named = self.record.successor if self.record else NO_HOST
        others = [record for record in candidates if record.host_id != named]
        if self._next_candidate >= len(others):
            self._next_candidate = 0
        leases = [
            HeldLease(record.address, self.timers, self._clock.now())
            for record in others[
                self._next_candidate : self._next_candidate + MAX_CONCURRENT_REQUESTS
            ]
        ]
        self._next_candidate += MAX_CONCURRENT_REQUESTS
        answers = self._tasks.gather(self._request_lease, leases)
        for lease, granted in zip(leases, answers, strict=True):
            if not granted or lease.verdict is Verdict.LEAVING:
                continue
            if self.replicate_to(lease.grantor):
                self._next_candidate = 0
                return self._name_successor(lease)
        return False

    def _name_successor(self, lease):
        """Write the record with the grantor of `lease`, or none, as successor."""
        if self.record is not None and not self._store_answers():
            return False
        if not self._exclude_current_grantors():
            return False
        successor = lease.grantor.host_id if lease else NO_HOST
        if self.record is None:
            record = HostRecord.initial(self.cfg, successor)
        else:
            record = self.record.with_successor(successor)
        self._previous_leases = dict(self.required)
        if lease:
            self.required[successor] = lease
            self._tasks.spawn(self._keep_renewing, lease)
        return self._write_record(record)

    def _exclude_current_grantors(self):
        """Wait until no present grantor can act for this host.

        Returns False at once if one of them is a working successor.
        """
        for lease in list(self.required.values()):
            while not lease.excluded(self._clock.now()):
                if not lease.silent(self._clock.now()):
                    if lease.verdict is Verdict.GRANTED and not lease.acting_for:
                        return False
                    self._release_grantor(lease)
                self._clock.sleep_until(self._after(POLL_S))
        return True

    def _release_grantor(self, lease):
        deadline = self._after(self.timers.heartbeat_s)
        req = ReleaseRequest(self.cfg.host_id)
        try:
            self._link.call(lease.grantor, req, deadline)
        except PeerError:
            return
        lease.released = True

    # Writes of this host's record, and their outcomes.

    def _write_record(self, record):
        """Write the record; return whether it is known to have taken effect."""
        return self._apply_outcome(self._own.write(record))

    def _apply_outcome(self, outcome: WriteOutcome):
        """Apply the outcome of a write; return whether it has taken effect."""
        if outcome is WriteOutcome.REVOKED:
            self._set_revoked()
        elif outcome is WriteOutcome.NOT_WRITTEN:
            self._restore_previous_leases()
        elif outcome is not WriteOutcome.UNKNOWN:
            self._apply_record(self.record)
        return outcome is WriteOutcome.DONE

    def _apply_record(self, record):
        """Require the lease of the successor that the stored record names."""
        successor = record.successor
        if successor == NO_HOST:
            self.required = {}
        elif successor in self.required:
            self.required = {successor: self.required[successor]}
        else:
            # That successor has granted no lease to this host yet, so the new lease
            # is not valid until the first grant.
            known = self._directory.get(successor)
            address = known.address if known else PeerAddress(successor, "", 0)
            lease = HeldLease(address, self.timers, self._clock.now())
            self.required = {successor: lease}
            self._tasks.spawn(self._keep_renewing, lease)

    def _restore_previous_leases(self):
        """Require the previous leases again, because the write did not take effect."""
        self.required = dict(self._previous_leases) if self.record else {}
        for lease in self.required.values():
            if lease.released and not self.replicate_to(lease.grantor):
                continue
            lease.released = False

    def _store_answers(self):
        """Read this host's record; return whether it shows no revocation.

        A change is not begun without an answer: its outcome would stay unknown, and
        until it is known two leases must be valid.
        """
        self._read_own_record()
        return self._own.last_read_succeeded() and not self.revoked

    def _read_own_record(self):
        """Update whether this host is revoked, and when it last was known not to be."""
        if self._own.read():
            self._set_revoked()
