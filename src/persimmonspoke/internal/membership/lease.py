"""A host's lease, as seen by the holder and by the grantor."""

from collections import OrderedDict

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.membership.messages import LeaseReply, Verdict
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.timers import Timers

LONG_AGO = Instant(float("-inf"))
FOREVER = Instant(float("inf"))
MAX_REMEMBERED_GRANTS = 32


class HeldLease:
    """The lease that one grantor gives to this host.

    Its end has two bounds.  The grantor promises not to revoke this host for one
    lease duration.  And a host that revokes the grantor inherits the grantor's right to
    revoke this host only one lease duration after the last instant at which the grantor
    was guaranteed not to be revoked.  Both bounds are counted from just before the
    request was sent.

    Attributes
    ----------
    end : Instant
        Instant before which this host is guaranteed not to be revoked.
    last_reply_at : Instant
        When the last reply of the grantor arrived, granted or not.
    answered_at : Instant
        When the last reply that granted the lease arrived.
    dead, released : bool
        Whether the grantor is proven dead, or has been released as successor.
    """

    def __init__(self, grantor: PeerAddress, timers: Timers, now: Instant):
        self.grantor = grantor
        self.timers = timers
        self.end = LONG_AGO
        self.last_reply_at = now
        self.answered_at = now
        self.verdict = Verdict.REFUSED
        self.heirs: tuple[PeerAddress, ...] = ()
        self.sequence = 0
        self.echoed = 0
        self.dead = False
        self.released = False
        self.acting_for = HostId("")

    def next_sequence(self) -> int:
        """Return the sequence number of the next request."""
        self.sequence += 1
        return self.sequence

    def record_answer(
        self, sequence: int, asked_at: Instant, now: Instant, reply: LeaseReply
    ) -> None:
        """Apply the reply to request number `sequence`, sent after `asked_at`."""
        self.last_reply_at = now
        self.verdict = reply.verdict
        if reply.verdict in (Verdict.GRANTED, Verdict.LEAVING):
            self.answered_at = now
            self.echoed = max(self.echoed, sequence)
            self.heirs = reply.heirs
            self.end = max(self.end, self._end(asked_at, reply.unrevoked_s))

    def _end(self, asked_at: Instant, unrevoked_s: float) -> Instant:
        drift = 1 + self.timers.clock_drift
        guaranteed_s = unrevoked_s / drift if unrevoked_s > 0 else unrevoked_s * drift
        lease_s = self.timers.lease_s
        return Instant(asked_at + min(lease_s, guaranteed_s + lease_s))

    def silent(self, now: Instant) -> bool:
        """Return whether the grantor has not answered for `probe_after_s`."""
        return now - self.last_reply_at > self.timers.probe_after_s

    def excluded(self, now: Instant) -> bool:
        """Return whether the grantor is guaranteed not to act for this host again."""
        if self.dead or self.released:
            return True
        return now > self.answered_at + self.timers.max_duration_s(self.timers.act_s)


class GrantedLease:
    """The lease that this host, as grantor, gives to one holder.

    Attributes
    ----------
    until : Instant
        Instant before which the holder must not be revoked, unless proven dead.
    may_revoke_from : Instant
        Instant from which this host may revoke a holder that is silent.
    confirmed_at : Instant
        When the last grant was given whose reply the holder has confirmed.
    refusing : bool
        Whether a revocation has begun, so that the lease must not be renewed.
    checking : bool
        Whether a task is checking the silent holder.
    inherited : bool
        Whether the right to revoke comes from a revoked host instead of the holder's
        record.
    """

    def __init__(self, holder: HostId, timers: Timers, now: Instant):
        self.holder = holder
        self.timers = timers
        self.until = LONG_AGO
        self.may_revoke_from = LONG_AGO
        self.last_request_at = now
        self.confirmed_at = LONG_AGO
        self.named = False
        self.refusing = False
        self.checking = False
        self.inherited = False
        self._last_sequence = 0
        self._granted_at: OrderedDict[int, Instant] = OrderedDict()

    def record_grant(
        self, sequence: int, echoed: int, named: bool, now: Instant
    ) -> None:
        """Record that the request number `sequence` is granted."""
        self.last_request_at = now
        self.until = max(
            self.until, now + self.timers.max_duration_s(self.timers.lease_s)
        )
        if sequence <= self._last_sequence:
            # A later request has arrived first; this one tells nothing new.
            return
        self._last_sequence = sequence
        self.named = named
        confirmed = self._granted_at.get(echoed)
        if confirmed is not None:
            self.confirmed_at = max(self.confirmed_at, confirmed)
        self._granted_at[sequence] = now
        while len(self._granted_at) > MAX_REMEMBERED_GRANTS:
            self._granted_at.popitem(last=False)

    def silent(self, now: Instant) -> bool:
        """Return whether the holder has sent no request for `probe_after_s`."""
        return now - self.last_request_at > self.timers.probe_after_s

    def lapsed(self, now: Instant) -> bool:
        """Return whether the holder is guaranteed to hold no lease of this host."""
        last_lease_end = self.last_request_at + self.timers.max_duration_s(
            self.timers.lease_s
        )
        return now > max(self.until, self.may_revoke_from, last_lease_end)

    def may_act(self, proven_at: Instant) -> bool:
        """Return whether a holder, dead at `proven_at`, had named no other successor.

        A holder that cannot reach its successor waits for `act_s` after the last reply
        that it received before it names another successor.
        """
        return self.named and proven_at <= self.confirmed_at + self.timers.act_s
