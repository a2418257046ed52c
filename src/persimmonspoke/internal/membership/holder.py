"""This host's own lease: asking for it, and finding another grantor in time."""

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
    WRITE_S,
    OwnRecord,
    WriteOutcome,
)
from persimmonspoke.internal.membership.proofs import LivenessProber
from persimmonspoke.internal.membership.record import NOBODY, HostRecord
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.peers.api import Liveness, PeerAddress, PeerLink
from persimmonspoke.internal.store.api import Store

_LOG = logging.getLogger(__name__)

STEP_S = 0.05
WAIT_S = 0.02
READ_PERIOD_S = 0.5
CHANGE_PAUSE_S = 0.1
ALONE_AFTER_S = 3.0
ASKED_AT_ONCE = 3


class Holder:
    """The holder's end of this host's lease, and the only writer of its record.

    Attributes
    ----------
    required : dict of HostId to HeldLease
        By named successor, the lease that must run for this host to act.  Two
        while a change of the successor has no known outcome; none if nobody but
        proof of death can revoke this host.
    revoked : bool
        Whether this run has lost its authority for good.
    prober : LivenessProber
        Finds out which other runs are over.
    replicate_to : callable
        Gives a prospective grantor all that this host keeps; returns whether it
        took it.
    acts_for : callable
        Whether this host itself acts for a dead host.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        store: Store,
        link: PeerLink,
        news: News,
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
        self._news = news
        self._directory = directory
        self._tasks = tasks
        self._own = OwnRecord(clock, store, news)
        self.prober = LivenessProber(cfg, clock, link, directory)
        self._next_change = LONG_AGO
        self._asked = 0
        self._isolated_since: Instant | None = None

    def start(self) -> None:
        """Begin to look after the lease; the record must have been written."""
        self._tasks.every(STEP_S, self._guard)
        self._tasks.every(STEP_S, self._steer)

    @property
    def record(self) -> HostRecord | None:
        """This host's record as the store has it; None before the first write."""
        return self._own.value

    def lease_end(self) -> Instant:
        """Return the instant until which this host surely is not revoked."""
        if self.record is None or self.revoked:
            return LONG_AGO
        ends = (lease.end for lease in self.required.values())
        return min(ends, default=FOREVER)

    def valid_at(self, now: Instant) -> bool:
        """Return whether this host may act at `now`."""
        return now < self.lease_end()

    def unrevoked_s(self, now: Instant) -> float:
        """Return for how long this host surely is not revoked; it may be negative."""
        sure_until = max(self.lease_end(), self._own.sure_at)
        return min(sure_until - now, self.timers.lease_s)

    def grantors(self) -> tuple[PeerAddress, ...]:
        """Return all hosts that may now be this one's successor."""
        return tuple(lease.grantor for lease in self.required.values())

    def replica_hosts(self) -> tuple[PeerAddress, ...]:
        """Return the hosts that must know this one's changes before they take effect.

        A dead grantor for which this host itself acts is left out: nobody else can
        ever act for this host, so there is nobody to tell.
        """
        return tuple(
            lease.grantor for lease in self.required.values() if lease.end != FOREVER
        )

    def join(self) -> None:
        """Write this host's record, naming a successor that has agreed."""
        since = self._clock.now()
        while self.record is None:
            if self._own.pending is not None:
                self._follow_up(self._own.settle())
            elif self._list_hosts() and not self._name_one_of(
                self._directory.candidates()
            ):
                self._tasks.gather(
                    self.prober.probe_record, self._directory.unrevoked()
                )
                others = self._directory.unrevoked()
                if not others or self._clock.now() > since + ALONE_AFTER_S:
                    self._name(None)
            self._clock.sleep_until(self._soon(WAIT_S))

    def write_record(self, record: HostRecord) -> bool:
        """Replace this host's record without a change of successor."""
        if self._own.pending is not None:
            return False
        self._before = dict(self.required)
        return self._write(record)

    def _list_hosts(self):
        """Read all host records; return whether the store answered."""
        try:
            listing = self._store.list("hosts/", self._soon(WRITE_S))
        except StoreError:
            return False
        for item in listing.items:
            self._news.observe(item)
        return True

    def _soon(self, period_s):
        return Instant(self._clock.now() + period_s)

    # Asking.

    def _ask_on(self, lease):
        """Renew `lease` for as long as it matters."""
        while not self.revoked and lease in self.required.values():
            due = self._soon(self.timers.heartbeat_s)
            self._ask(lease)
            self._clock.sleep_until(due)

    def _ask(self, lease):
        """Ask once; return whether the grantor granted."""
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
        lease.answered(sequence, asked_at, self._clock.now(), reply)
        return reply.verdict in (Verdict.GRANTED, Verdict.LEAVING)

    # A grantor that is dead while the store may be silent.

    def _guard(self):
        """Prove silent grantors dead, and put their heirs in their place."""
        for named, lease in list(self.required.items()):
            if not lease.dead and lease.silent(self._clock.now()):
                lease.dead = self.prober.probe(lease.grantor) is Liveness.DEAD
            if lease.dead:
                self._adopt_heir(named, lease)

    def _adopt_heir(self, named, lease):
        """Get the lease from the host that acts for the dead grantor."""
        grantor_id = lease.grantor.host_id
        for heir in lease.heirs:
            if heir.host_id == self.cfg.host_id:
                if self.acts_for(grantor_id):
                    # The only host that could revoke this one is dead, and this
                    # host is the only one that could act for it.
                    lease.end = FOREVER
                    return
                continue
            new = HeldLease(heir, self.timers, self._clock.now())
            new.acting_for = grantor_id
            if not self.replicate_to(heir) or not self._ask(new):
                continue
            if self.required.get(named) is lease:
                self.required[named] = new
                self._tasks.spawn(self._ask_on, new)
                _LOG.info("lease: an heir grants it", extra={"heir": heir.host_id})
            return

    # Another successor, by a change of the record.

    def _steer(self):
        """Name another successor when the present one is no use."""
        if self.revoked:
            return
        self._heed_news()
        now = self._clock.now()
        if not self.valid_at(now) and now > self._own.read_at + READ_PERIOD_S:
            self._read_own_record()
        if self._own.pending is not None:
            self._follow_up(self._own.settle())
        elif self.required and not self._in_trouble():
            self._isolated_since = None
        elif now > self._next_change:
            self._next_change = self._soon(CHANGE_PAUSE_S)
            self._replace_successor()

    def _heed_news(self):
        record = self._directory.get(self.cfg.host_id)
        if record is not None and record.revoked:
            self._lose()

    def _lose(self):
        self.revoked = True
        _LOG.warning("lease: this run is revoked and has no authority any more")

    def _in_trouble(self):
        """Return whether the named successor should be replaced."""
        lease = self.required.get(self.record.successor)
        if lease is None or lease.acting_for != NOBODY or lease.dead:
            return True
        record = self._directory.get(self.record.successor)
        if record is not None and record.revoked:
            # A revoked host holds no lease, so it cannot act for this one.
            lease.released = True
            return True
        return lease.silent(self._clock.now()) or lease.verdict is not Verdict.GRANTED

    def _replace_successor(self):
        now = self._clock.now()
        if self._isolated_since is None:
            self._isolated_since = now
        if self._name_one_of(self._directory.candidates()):
            self._isolated_since = None
        elif self.required and self._may_stand_alone(now):
            self._name(None)

    def _may_stand_alone(self, now):
        """Return whether this host, which reaches nobody, may do without successor.

        Only one host of a fleet in pieces may, and only after a successor that
        still works had the time to revoke it.
        """
        # A leaving host is no use as a successor and waits to be named by nobody.
        if not self._directory.candidates():
            return True
        ids = {record.host_id for record in self._directory.unrevoked()}
        if now < self._isolated_since + ALONE_AFTER_S:
            return False
        return min(ids) == self.cfg.host_id

    def _name_one_of(self, candidates):
        """Name the first candidate that agrees; return whether one is named.

        Each call asks the next few, since those before may be out of reach.
        """
        named = self.record.successor if self.record else NOBODY
        others = [record for record in candidates if record.host_id != named]
        if self._asked >= len(others):
            self._asked = 0
        leases = [
            HeldLease(record.address, self.timers, self._clock.now())
            for record in others[self._asked : self._asked + ASKED_AT_ONCE]
        ]
        self._asked += ASKED_AT_ONCE
        agreed = self._tasks.gather(self._ask, leases)
        for lease, granted in zip(leases, agreed, strict=True):
            if not granted or lease.verdict is Verdict.LEAVING:
                continue
            if self.replicate_to(lease.grantor):
                self._asked = 0
                return self._name(lease)
        return False

    def _name(self, lease):
        """Write the record with the grantor of `lease`, or with no successor."""
        if self.record is not None and not self._store_answers():
            return False
        if not self._exclude_present():
            return False
        successor = lease.grantor.host_id if lease else NOBODY
        if self.record is None:
            record = HostRecord.initial(self.cfg, successor)
        else:
            record = self.record.with_successor(successor)
        self._before = dict(self.required)
        if lease:
            self.required[successor] = lease
            self._tasks.spawn(self._ask_on, lease)
        return self._write(record)

    def _exclude_present(self):
        """Wait until the present successor can surely not act for this host."""
        for lease in list(self.required.values()):
            while not lease.excluded(self._clock.now()):
                if not lease.silent(self._clock.now()):
                    if lease.verdict is Verdict.GRANTED and not lease.acting_for:
                        return False
                    self._release(lease)
                self._clock.sleep_until(self._soon(WAIT_S))
        return True

    def _release(self, lease):
        deadline = self._soon(self.timers.heartbeat_s)
        req = ReleaseRequest(self.cfg.host_id)
        try:
            self._link.call(lease.grantor, req, deadline)
        except PeerError:
            return
        lease.released = True

    # The record.

    def _write(self, record):
        """Write the record; return whether it is known to have taken effect."""
        return self._follow_up(self._own.write(record))

    def _follow_up(self, outcome: WriteOutcome):
        """Do what the outcome of a write asks for; return whether it is done."""
        if outcome is WriteOutcome.REVOKED:
            self._lose()
        elif outcome is WriteOutcome.UNDONE:
            self._return_to_old_successor()
        elif outcome is not WriteOutcome.OPEN:
            self._in_force(self.record)
        return outcome is WriteOutcome.DONE

    def _in_force(self, record):
        """Require the lease of the successor that the record in force names."""
        successor = record.successor
        if successor == NOBODY:
            self.required = {}
        elif successor in self.required:
            self.required = {successor: self.required[successor]}
        else:
            # Nobody has granted under this name: the lease begins with nothing.
            known = self._directory.get(successor)
            address = known.address if known else PeerAddress(successor, "", 0)
            lease = HeldLease(address, self.timers, self._clock.now())
            self.required = {successor: lease}
            self._tasks.spawn(self._ask_on, lease)

    def _return_to_old_successor(self):
        """Require the old lease again; the change certainly did not happen."""
        self.required = dict(self._before) if self.record else {}
        for lease in self.required.values():
            if lease.released and not self.replicate_to(lease.grantor):
                continue
            lease.released = False

    def _store_answers(self):
        """Read this host's record; a change is not begun while the store is silent.

        Its outcome would stay unknown, and until it is known two leases must run.
        """
        self._read_own_record()
        return self._own.answered_last() and not self.revoked

    def _read_own_record(self):
        """Learn whether this host is revoked, and for how long it surely was not."""
        if self._own.read():
            self._lose()
