"""Both ends of a host's lease."""

from collections import OrderedDict

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.membership.messages import LeaseReply, Verdict
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.timers import Timers

LONG_AGO = Instant(float("-inf"))
FOREVER = Instant(float("inf"))
KEPT_ANSWERS = 32


class HeldLease:
    """The lease that one grantor gives to this host.

    Two facts bound its end.  The grantor promised not to revoke this host for one
    lease.  And whoever revokes the grantor inherits its right only one lease after
    the grantor was last sure of itself.  Both are counted from before the request.

    Attributes
    ----------
    end : Instant
        This host surely is not revoked before it.
    heard_at : Instant
        When the grantor's last answer of any kind arrived.
    answered_at : Instant
        When the grantor's last grant arrived.
    dead, released : bool
        Whether the grantor is proven dead, or has given up its right to act.
    """

    def __init__(self, grantor: PeerAddress, timers: Timers, now: Instant):
        self.grantor = grantor
        self.timers = timers
        self.end = LONG_AGO
        self.heard_at = now
        self.answered_at = now
        self.verdict = Verdict.REFUSED
        self.heirs: tuple[PeerAddress, ...] = ()
        self.sequence = 0
        self.echoed = 0
        self.dead = False
        self.released = False
        self.acting_for = HostId("")

    def next_sequence(self) -> int:
        """Return the number of the next request."""
        self.sequence += 1
        return self.sequence

    def answered(
        self, sequence: int, asked_at: Instant, now: Instant, reply: LeaseReply
    ) -> None:
        """Take in the answer to the request `sequence`, sent after `asked_at`."""
        self.heard_at = now
        self.verdict = reply.verdict
        if reply.verdict in (Verdict.GRANTED, Verdict.LEAVING):
            self.answered_at = now
            self.echoed = max(self.echoed, sequence)
            self.heirs = reply.heirs
            self.end = max(self.end, self._end(asked_at, reply.unrevoked_s))

    def _end(self, asked_at: Instant, unrevoked_s: float) -> Instant:
        drift = 1 + self.timers.clock_drift
        sure_s = unrevoked_s / drift if unrevoked_s > 0 else unrevoked_s * drift
        longest_s = self.timers.lease_s
        return Instant(asked_at + min(longest_s, sure_s + longest_s))

    def silent(self, now: Instant) -> bool:
        """Return whether the grantor has not answered for too long."""
        return now - self.heard_at > self.timers.probe_after_s

    def excluded(self, now: Instant) -> bool:
        """Return whether the grantor can surely not act for this host any more."""
        if self.dead or self.released:
            return True
        return now > self.answered_at + self.timers.max_duration_s(self.timers.act_s)


class GrantedLease:
    """What this host, as grantor, has promised to one holder.

    Attributes
    ----------
    until : Instant
        The holder must not be revoked before it unless proven dead.
    rights_from : Instant
        When this host may first revoke the holder because of silence.
    confirmed_at : Instant
        When the last answer was given that the holder has surely received.
    refusing : bool
        A revocation has begun; no answer may renew the lease.
    checking : bool
        A task is looking after the holder.
    inherited : bool
        The right comes from a host that was revoked, not from the holder's record.
    """

    def __init__(self, holder: HostId, timers: Timers, now: Instant):
        self.holder = holder
        self.timers = timers
        self.until = LONG_AGO
        self.rights_from = LONG_AGO
        self.heard_at = now
        self.confirmed_at = LONG_AGO
        self.named = False
        self.refusing = False
        self.checking = False
        self.inherited = False
        self._last = 0
        self._answers: OrderedDict[int, Instant] = OrderedDict()

    def renew(self, sequence: int, echoed: int, named: bool, now: Instant) -> None:
        """Note that the request `sequence` is being granted."""
        self.heard_at = now
        self.until = max(
            self.until, now + self.timers.max_duration_s(self.timers.lease_s)
        )
        if sequence <= self._last:
            # An older request that was overtaken tells nothing new.
            return
        self._last = sequence
        self.named = named
        confirmed = self._answers.get(echoed)
        if confirmed is not None:
            self.confirmed_at = max(self.confirmed_at, confirmed)
        self._answers[sequence] = now
        while len(self._answers) > KEPT_ANSWERS:
            self._answers.popitem(last=False)

    def silent(self, now: Instant) -> bool:
        """Return whether the holder has not asked for too long."""
        return now - self.heard_at > self.timers.probe_after_s

    def lapsed(self, now: Instant) -> bool:
        """Return whether the holder surely holds no lease of this host."""
        quiet_from = self.heard_at + self.timers.max_duration_s(self.timers.lease_s)
        return now > max(self.until, self.rights_from, quiet_from)

    def may_act(self, proven_at: Instant) -> bool:
        """Return whether the holder, dead at `proven_at`, named nobody else before.

        A holder that loses touch waits for `act_s` after the last answer that it
        received before it names another successor.
        """
        return self.named and proven_at <= self.confirmed_at + self.timers.act_s
