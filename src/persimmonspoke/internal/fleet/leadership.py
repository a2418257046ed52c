"""The leadership of the fleet: which host leads, and until when it may give orders.

One object in the store names the leader.  A new leader increases the epoch by a
conditional write, after which the former leader can't change the object.  A former
leader may still repeat orders that the object allows, until its lease ends or it has
answered a later leader.  Several former leaders may be in that state at once; the
object names all of them, so that each leader knows whom its predecessors waited for.
"""

import logging
from collections.abc import Callable
from dataclasses import replace

import eventlet
from eventlet.semaphore import Semaphore

from persimmonspoke.errors import (
    AuthorityLapsed,
    MalformedDocument,
    PeerError,
    PeerRefused,
    StoreConflict,
    StoreError,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.ids import Instant, TargetId, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.confirmations import (
    Confirmation,
    Confirmations,
)
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.inquiries import NEVER_HEARD_S, LeaderInquiries
from persimmonspoke.internal.fleet.messages import (
    GrantLeft,
    HostEntry,
    LeaderKnown,
    LeaderQuery,
    NewLeader,
    NewLeaderSeen,
)
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import Liveness, PeerAddress, PeerLink
from persimmonspoke.internal.ranges.record import (
    OWNERSHIP_KEY,
    FormerLeader,
    Ownership,
    decode,
    encode,
)
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import write

CHECKS_PER_PERIOD = 10
STRONGER_FIRST_S = 1.0  # followers suspect a leader after 0.5 s, then read the store
DEAD_STEP_S = 0.05  # additional wait of each further candidate for a dead leader
FIRST_READ_STEP_S = 0.05
MAX_FIRST_READ_S = 1.0
FIRST_INQUIRIES = 2  # hosts that a starting host asks at a time
WATCH_PERIOD_S = 0.1  # between two checks of the leader by a host that follows it
RENEW_PAUSE_S = 0.02  # between two attempts to lead on after the store was restored

log = logging.getLogger(__name__)

LONG_AGO = Instant(float("-inf"))


class Leadership:
    """This host's view of the leader, and its own right to lead.

    Attributes
    ----------
    leader : PeerAddress or None
        The leader that this host knows of.
    epoch : int
        Epoch of that leader.
    leading : bool
        Whether this host leads.
    lease_until : Instant
        End of this host's lease: until then it may give orders, if it leads.
    ownership : Ownership or None
        Content of the object, as this host last wrote it, with local updates.
    former_grants_end_at : dict of TargetId to Instant
        End of each target's holds by orders of former leaders, as they reported them
        when they stopped.
    first_start : bool
        Whether the whole system starts for the first time, so that a missing object
        has never been written.
    remaining_grants : callable
        Returns the grants of this host that have not ended yet.
    may_lead : callable
        Returns whether this host could act as leader at present.
    on_ownership_read : callable
        Called with the content of the object whenever it was read to find a leader.
    on_takeover, on_stop : callable
        Called when this host starts and stops leading.
    max_grant_s : float
        Longest time for which a target may hold keys by one order.
    report_s : float
        How often this host reports to the leader at present.
    store_answered_at : Instant
        When the store last answered a read or write of the object.
    """

    def __init__(
        self,
        cfg: FleetSettings,
        clock: Clock,
        store: Store,
        link: PeerLink,
        hosts: Hosts,
    ):
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._link = link
        self._hosts = hosts
        self._version = Version(0)
        self._write_lock = Semaphore(1)
        self._started_at = clock.now()
        self._last_contact_at = clock.now()
        self._last_read_at = LONG_AGO
        self._store_checked_at = LONG_AGO
        self._inquiries = LeaderInquiries(cfg, clock, link, hosts)
        self._confirmations = Confirmations(
            clock, self._confirm, self._is_confirmed_by_hosts
        )
        self._last_survey: dict | None = None
        self._lost: tuple | None = None
        self._lost_at = LONG_AGO
        self._next_survey_at = LONG_AGO
        # The hosts that the object names, as this host has last written it.
        self._named_hosts: tuple[HostEntry, ...] = ()
        self.store_answered_at = clock.now()
        self._resigned = False
        self.leader: PeerAddress | None = None
        self.epoch = 0
        self.leading = False
        self.lease_until = LONG_AGO
        self.ownership: Ownership | None = None
        # Local changes since the last write of the object began.
        self._changes_since_write: list[Callable[[Ownership], Ownership]] = []
        self._former_end_at: dict[PeerAddress | None, Instant] = {}
        self.former_grants_end_at: dict[TargetId, Instant] = {}
        self.first_start = True
        self.remaining_grants: Callable[[], tuple[GrantLeft, ...]] = tuple
        self.may_lead: Callable[[], bool] = lambda: True
        self.on_ownership_read: Callable[[Ownership], None] = lambda ownership: None
        self.on_takeover: Callable[[], None] = lambda: None
        self.on_stop: Callable[[], None] = lambda: None
        self.max_grant_s = 0.0
        self.report_s = cfg.report_s
        self.lease_s = cfg.lease_s
        link.serve(LeaderQuery, self._on_query)
        link.serve(NewLeader, self._on_new_leader)

    @property
    def former_orders_end_at(self) -> Instant:
        """End of holds by orders of former leaders that did not report their grants."""
        return max(self._former_end_at.values(), default=LONG_AGO)

    @property
    def owners_uncertain(self) -> bool:
        """Whether targets may hold keys that are not the owners in the object.

        This or an earlier leader took over from an older copy of the object.
        """
        return self.ownership is not None and self.ownership.resolved is not None

    def run(self) -> None:
        """Renew this host's lead, or monitor the leader, until this host resigns."""
        while not self._resigned:
            try:
                if self._is_forgotten():
                    self._renew_after_restoration()
                elif self.leading:
                    self._confirm_if_due()
                else:
                    self._watch()
            except (StoreError, AuthorityLapsed, MalformedDocument) as exc:
                log.info(
                    "leader: the check of the leadership failed",
                    extra={"leading": self.leading, "reason": repr(exc)},
                )
            self._pause_until(self._next_check_at())

    def _next_check_at(self):
        now = self._clock.now()
        if not self.leading:
            return Instant(now + WATCH_PERIOD_S)
        due_at = Instant(self.lease_until - self._cfg.lease_s + self._cfg.confirm_s)
        return due_at if due_at > now else Instant(now + self._cfg.confirm_s)

    def _pause_until(self, wake_at):
        """Sleep until `wake_at`, or until the store is known to have been restored."""
        while self._clock.now() < wake_at and not self._is_forgotten():
            step_at = Instant(self._clock.now() + WATCH_PERIOD_S)
            self._clock.sleep_until(min(wake_at, step_at))
        if self._is_forgotten():
            self._clock.sleep_until(Instant(self._clock.now() + RENEW_PAUSE_S))

    def _is_forgotten(self):
        """Return whether this host leads and the store may have forgotten that.

        The store has been restored from an older copy since this host took over.
        """
        return self.leading and self._store.era > self.ownership.era

    def may_order(self) -> bool:
        """Return whether this host may give orders now."""
        return (
            self.leading
            and self._clock.now() < self.lease_until
            and not self._is_forgotten()
        )

    def check(self) -> None:
        """Raise `AuthorityLapsed` unless this host may give orders now."""
        if not self.may_order():
            raise AuthorityLapsed(f"this host does not lead in epoch {self.epoch}")

    def check_led_at(self, moment: Instant, deadline: Instant) -> Confirmation | None:
        """Return once it is certain that no later leader had been elected by `moment`.

        All processes that ran at that moment know the fences of any later leader.  The
        confirmation that is returned is for logs.

        Raises
        ------
        AuthorityLapsed
            Neither the store nor enough hosts have confirmed it by `deadline`, or this
            host may not give orders.
        """
        self.check()
        if not self._confirmations.wait_for(moment, deadline):
            raise AuthorityLapsed(
                f"this host is not confirmed as the leader of epoch {self.epoch}"
            )
        confirmation = self._confirmations.latest
        self.check()
        return confirmation

    def on_not_leading(self, leader: PeerAddress) -> None:
        """Record that `leader` has answered that it does not lead."""
        if leader == self.leader:
            self._last_contact_at = LONG_AGO

    def on_leader_contact(self, epoch: int) -> None:
        """Record that the leader of `epoch` has just sent a message or an answer."""
        if epoch == self.epoch:
            self._last_contact_at = self._clock.now()

    def follow(self, leader: PeerAddress, epoch: int) -> None:
        """Follow `leader` from now on, unless its epoch is outdated."""
        if epoch < self.epoch or (epoch == self.epoch and leader == self.leader):
            return
        if self.leading and leader != self._hosts.me():
            self._stop("another host took over")
        log.info(
            "leader: follows",
            extra={"leader": leader.host_id, "epoch": epoch, "before": self.epoch},
        )
        self.leader, self.epoch = leader, epoch
        self._last_contact_at = self._clock.now()

    def commit(self, change: Callable[[Ownership], Ownership]) -> None:
        """Replace the ownership by `change` of it; return once it is stored.

        Raises
        ------
        AuthorityLapsed
            This host does not lead, or has stopped leading.
        StoreUnavailable
            The change was not stored and won't be later.
        """
        with self._write_lock:
            self.check()
            self._write(change(self.ownership))

    def update_local(self, change: Callable[[Ownership], Ownership]) -> None:
        """Change only this host's copy of the ownership; the next commit stores it.

        Use it for changes that a new leader can do without, such as a higher fence
        for the same owner: it gives all ranges fences of its own epoch.
        """
        self.check()
        self.ownership = change(self.ownership)
        self._changes_since_write.append(change)

    def check_store(self) -> None:
        """Test whether the store answers this host.

        All hosts together do so about `CHECKS_PER_PERIOD` times per `confirm_s`.
        """
        now = self._clock.now()
        hosts = len(self._hosts.candidates())
        period_s = self._cfg.confirm_s * max(1.0, hosts / CHECKS_PER_PERIOD)
        if now - self._store_checked_at < period_s:
            return
        self._store_checked_at = now
        eventlet.spawn_n(self._check_store)

    def _check_store(self):
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            self._store.get_stale(OWNERSHIP_KEY, deadline)
        except StoreError as exc:
            log.debug(
                "leader: this host can't reach the store either",
                extra={"reason": str(exc)},
            )
            return
        self.store_answered_at = self._clock.now()

    def step_aside(self, reason: str) -> None:
        """Stop leading without writing to the store.

        A host that reaches the store can then take over.
        """
        self._stop(reason)

    def resign(self) -> None:
        """Stop leading for good, and clear the leader in the store.

        Another host can then take over at once.  While the store does not answer, none
        could, and this host leads on.
        """
        is_logged = False
        while self.leading:
            try:
                self._read_ownership()
                break
            except StoreError as exc:
                if not is_logged:
                    log.info("leader: can't resign yet", extra={"reason": repr(exc)})
                is_logged = True
                self._clock.sleep_until(Instant(self._clock.now() + WATCH_PERIOD_S))
        self._resigned = True
        self._give_up_lead()

    def hand_over(self, reason: str) -> None:
        """Stop leading, and clear the leader in the store.

        Any host that may lead can then take over at once.  While the store does not
        answer, none could, and this host leads on.
        """
        if not self.leading:
            return
        try:
            self._read_ownership()
        except StoreError as exc:
            log.info("leader: can't hand over", extra={"reason": repr(exc)})
            return
        if not self.leading:
            return
        log.warning("leader: hands over", extra={"epoch": self.epoch, "reason": reason})
        self._give_up_lead()
        self.leader = None
        self.lease_until = LONG_AGO

    def _give_up_lead(self):
        """Stop leading, and clear the leader in the store."""
        if not self.leading:
            return
        with self._write_lock:
            self.leading = False
            self.on_stop()
            now = self._clock.now()
            deadline = Instant(now + self._cfg.store_call_s)
            left_s = max((grant.left_s for grant in self._grants_left()), default=0.0)
            former = self._former_left()
            if left_s > 0:
                former += (FormerLeader(self._hosts.me(), left_s),)
            resigned = replace(self.ownership.led_by(None, self.epoch), former=former)
            value = encode(resigned)
            try:
                write(
                    self._store,
                    self._clock,
                    OWNERSHIP_KEY,
                    value,
                    self._version,
                    deadline,
                )
                log.info(
                    "leader: resigned",
                    extra={"epoch": self.epoch, "former": _log_rows(former)},
                )
            except StoreError as exc:
                log.warning(
                    "leader: resigned, resignation not stored",
                    extra={"reason": repr(exc)},
                )

    def _write(self, ownership):
        """Write the object, and repeat until the outcome is known.

        The caller holds the write lock.  Raise `AuthorityLapsed` if the epoch of
        `ownership` has ended, also if this host leads again by then.
        """
        unresolved = False
        self._changes_since_write = []
        first_sent_at = self._clock.now()
        while True:
            sent_at = self._clock.now()
            deadline = Instant(sent_at + self._cfg.store_call_s)
            known = self._hosts.known_hosts()
            # An attempt without an answer may be the one that is stored.
            named = dict.fromkeys((*self._named_hosts, *known))
            self._named_hosts = tuple(named)
            ownership = replace(
                ownership, former=self._former_left(), hosts=self._names_of(known)
            )
            try:
                stored = write(
                    self._store,
                    self._clock,
                    OWNERSHIP_KEY,
                    encode(ownership),
                    self._version,
                    deadline,
                )
            except StoreOutcomeUnknown:
                unresolved = True
                self._check_epoch(ownership)
                self.check()
                continue
            except StoreUnavailable:
                # An earlier attempt may still take effect, so the write must go on.
                if not unresolved:
                    raise
                self._check_epoch(ownership)
                self.check()
                continue
            except StoreConflict as exc:
                self._check_epoch(ownership)
                if self._is_forgotten():
                    raise AuthorityLapsed("the store was restored") from exc
                self._stop("the object has another writer")
                raise AuthorityLapsed("another host took over") from exc
            self._check_epoch(ownership)
            self._version = stored.version
            self._named_hosts = known
            for change in self._changes_since_write:
                ownership = change(ownership)
            self.ownership = ownership
            # The first attempt may have changed the object, and hosts that wait for the
            # end of the lease count from that change.
            self.lease_until = Instant(first_sent_at + self._cfg.lease_s)
            self.store_answered_at = sent_at
            self._confirmations.on_written(sent_at)
            return

    def _check_epoch(self, ownership):
        """Raise `AuthorityLapsed` if the epoch of `ownership` has ended."""
        if self.epoch != ownership.epoch:
            raise AuthorityLapsed(f"epoch {ownership.epoch} has ended")

    def _confirm(self):
        """Write the object again; this renews the lease and shows a living leader."""
        with self._write_lock:
            if self.leading:
                self._write(self.ownership.led_by(self._hosts.me(), self.epoch))

    def _confirm_if_due(self):
        """Confirm, unless another write has done so within `confirm_s`."""
        leased_s = self.lease_until - self._clock.now()
        if leased_s <= self._cfg.lease_s - self._cfg.confirm_s:
            self._confirm()

    def _is_confirmed_by_hosts(self):
        """Return whether no other host can have been elected since this one was."""
        epoch = self.epoch
        self._clock.sleep_until(self._next_survey_at)
        pause_s = len(self._hosts.known_hosts()) / self._cfg.reports_per_s
        self._next_survey_at = Instant(self._clock.now() + pause_s)
        survey = self._inquiries.survey_all(epoch, self._named_hosts)
        self._log_survey(survey, epoch)
        self._confirmations.surveyed = survey.asked - len(survey.unheard), survey.asked
        if not self.leading or self.epoch != epoch:
            return False
        if survey.later is not None:
            self.follow(survey.later.leader, survey.later.epoch)
            return False
        return survey.unanimous

    def _log_survey(self, survey, epoch):
        """Log a survey whose outcome is not that of the one before.

        Surveys are repeated every 0.1 s until one confirms this host.
        """
        fields = {"epoch": epoch, "unanimous": survey.unanimous}
        fields |= survey.log_fields()
        if fields != self._last_survey:
            self._last_survey = fields
            log.info("leader: other hosts asked", extra=fields)

    def _renew_after_restoration(self):
        """Store the ownership that this leader knows over that of an older copy.

        Without this, the next leader would give keys to owners of the past.  Another
        host may have replaced this one, and the store may have forgotten that too.
        """
        with self._write_lock:
            era = self._store.era
            stored, version = self._read_ownership()
            if stored.epoch > self.epoch:
                self._stop("another host took over after the store was restored")
                return
            survey = self._inquiries.survey_all(self.epoch, self._named_hosts)
            if survey.later is not None:
                self._stop("the store was restored, and another host leads")
                self.follow(survey.later.leader, survey.later.epoch)
                return
            epoch = self.ownership.epoch_in(era)
            former, resolved = self._former_left(), self.ownership.resolved
            if not survey.unanimous:
                # The store may have forgotten a leader that took over meanwhile.
                former += (FormerLeader(None, self._max_orders_s),)
                resolved = frozenset()
            renewed = replace(
                self.ownership.led_by(self._hosts.me(), epoch).refenced(),
                era=era,
                former=former,
                resolved=resolved,
            )
            self._store_takeover(renewed, version)
            self.on_stop()
            self._keep_own_grants()
            log.warning(
                "leader: leads on after the store was restored",
                extra={
                    "era": era,
                    "epoch": epoch,
                    "stored_epoch": stored.epoch,
                    "stored_era": stored.era,
                    "unanimous": survey.unanimous,
                    **survey.log_fields(),
                    "former": _log_rows(former),
                    "store_version": self._version,
                },
            )
            self._begin_epoch()

    def _read_ownership(self) -> tuple[Ownership, Version]:
        """Return the stored ownership and its version; version 0 if there is none."""
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            stored = self._store.get(OWNERSHIP_KEY, deadline)
        except StoreMissing:
            return Ownership(None, 0), Version(0)
        return decode(stored.value), stored.version

    def _store_takeover(self, ownership, version):
        """Write the ownership of a new epoch of this host, and apply it here.

        The former leaders that it names can't have confirmed their leases since.
        """
        self._version = version
        known = self._hosts.known_hosts()
        ownership = replace(ownership, hosts=self._names_of(known))
        sent_at = self._clock.now()
        deadline = Instant(sent_at + self._cfg.store_call_s)
        stored = write(
            self._store,
            self._clock,
            OWNERSHIP_KEY,
            encode(ownership),
            version,
            deadline,
        )
        self._version = stored.version
        self._named_hosts = known
        self.ownership = ownership
        self.leader, self.epoch = self._hosts.me(), ownership.epoch
        self.lease_until = Instant(sent_at + self._cfg.lease_s)
        self.store_answered_at = sent_at
        self._confirmations.on_written(sent_at)
        now = self._clock.now()
        self._former_end_at = {}
        for former in ownership.former:
            end_at = Instant(now + former.left_s)
            known = self._former_end_at.get(former.address, LONG_AGO)
            self._former_end_at[former.address] = max(known, end_at)

    def _names_of(self, entries):
        """Return the names of this host and of others, for the object."""
        return frozenset({self._hosts.my_entry.name, *(e.name for e in entries)})

    @property
    def _max_orders_s(self):
        """Longest time for which orders of a former leader may have an effect."""
        return self._cfg.lease_s + self.max_grant_s

    def _former_left(self) -> tuple[FormerLeader, ...]:
        """Return the former leaders whose orders may still have an effect."""
        now = self._clock.now()
        return tuple(
            FormerLeader(address, end_at - now)
            for address, end_at in self._former_end_at.items()
            if end_at > now
        )

    def _grants_left(self) -> tuple[GrantLeft, ...]:
        """Return the grants left of this host and of leaders that reported theirs."""
        now = self._clock.now()
        left = {
            target_id: end_at - now
            for target_id, end_at in self.former_grants_end_at.items()
            if end_at > now
        }
        for grant in self.remaining_grants():
            left[grant.target_id] = max(grant.left_s, left.get(grant.target_id, 0.0))
        return tuple(GrantLeft(target_id, left_s) for target_id, left_s in left.items())

    def _keep_own_grants(self):
        """Record this host's grants before it leads in another epoch."""
        grants = self._grants_left()
        self.former_grants_end_at = {}
        self._add_former_grants(grants)

    def _add_former_grants(self, grants):
        """Record grants of leaders that give no more orders."""
        now = self._clock.now()
        for grant in grants:
            known = self.former_grants_end_at.get(grant.target_id, LONG_AGO)
            end_at = Instant(now + grant.left_s)
            self.former_grants_end_at[grant.target_id] = max(known, end_at)

    def _begin_epoch(self):
        """Start to lead in the epoch just stored, and announce it to all hosts."""
        self.leading = True
        self.on_takeover()
        addresses = {entry.address for entry in self._hosts.known_hosts()}
        addresses |= {address for address in self._former_end_at if address}
        me = self._hosts.me()
        for address in addresses:
            # An earlier run of this host had the same address.
            if (address.ip, address.port) != (me.ip, me.port):
                eventlet.spawn_n(self._announce, address)

    def _watch(self):
        """Check whether the leader is lost; take over if it is this host's turn."""
        now = self._clock.now()
        silence_s = now - self._last_contact_at
        suspected = (self.leader, self.epoch)
        if self.leader is None and now < self._first_read_at():
            if self._first_read_at() - now > FIRST_INQUIRIES * self._cfg.call_s:
                self._ask_for_leader()
            return
        if self.leader is not None and (
            silence_s < self._cfg.suspect_s + self.report_s - self._cfg.report_s
            or not self._may_be_lost(silence_s)
        ):
            return
        if now - self._last_read_at < self._cfg.call_s:
            return
        self._last_read_at = now
        deadline = Instant(now + self._cfg.store_call_s)
        try:
            stored = self._store.get(OWNERSHIP_KEY, deadline)
        except StoreMissing:
            if self.epoch == 0 and self.first_start:
                self._take_over(Ownership(None, 0), Version(0))
            else:
                self._replace_leader_of_copy(Ownership(None, 0), Version(0))
            return
        except StoreError:
            answer = self._inquiries.find_newer_leader(self.epoch)
            if answer is not None:
                self.follow(answer.leader, answer.epoch)
            raise
        stored_ownership = decode(stored.value)
        if (self.leader, self.epoch) != suspected:
            # Another host took over during the read.
            return
        if self._store.era > stored_ownership.era:
            self._replace_leader_of_copy(stored_ownership, stored.version)
            return
        self.on_ownership_read(stored_ownership)
        if (
            stored_ownership.leader is not None
            and (stored_ownership.leader, stored_ownership.epoch) != suspected
        ):
            self.follow(stored_ownership.leader, stored_ownership.epoch)
            # The named leader may have died long ago, so suspect it already.
            self._last_contact_at = Instant(now - self._cfg.suspect_s)
            return
        is_lost = stored_ownership.leader is None or self._inquiries.is_confirmed_lost(
            self.leader, stored.version, stored_ownership.hosts
        )
        if is_lost and not self._lets_stronger_lead(suspected):
            self._take_over(stored_ownership, stored.version)

    def _lets_stronger_lead(self, lost):
        """Return whether to leave the lead to live hosts with more processor time.

        All hosts notice at once that a leader has stopped.  One with little processor
        time then led for 10 s and answered hardly any report.

        Parameters
        ----------
        lost : tuple
            The leader that is lost, and its epoch.
        """
        if not self._hosts.stronger_hosts():
            return False
        now = self._clock.now()
        if self._lost != lost:
            self._lost, self._lost_at = lost, now
        return now - self._lost_at < STRONGER_FIRST_S

    def _replace_leader_of_copy(self, copy, version):
        """Take over from an older copy of the object, unless a host knows a leader.

        The copy may name an earlier leader than the one that this host follows.
        """
        survey = self._inquiries.survey(self.epoch)
        if survey.later is not None:
            self.follow(survey.later.leader, survey.later.epoch)
            return
        if self.leader is None and copy.leader is not None:
            self.follow(copy.leader, copy.epoch)
            self._last_contact_at = Instant(self._clock.now() - self._cfg.suspect_s)
            return
        if self.leader is None or self._inquiries.is_confirmed_lost(
            self.leader, version, copy.hosts
        ):
            self._take_over(copy, version)

    def _ask_for_leader(self):
        """Ask other hosts who leads; follow the leader that one of them names."""
        answer = self._inquiries.find_newer_leader(self.epoch, FIRST_INQUIRIES)
        if answer is not None:
            self.follow(answer.leader, answer.epoch)

    def _first_read_at(self):
        """Return when this host first looks for a leader by itself.

        Hosts that come before it announce themselves if they take over.
        """
        rank = self._hosts.rank_among(self._hosts.candidates(), None)
        wait_s = min(FIRST_READ_STEP_S * rank, MAX_FIRST_READ_S)
        return Instant(self._started_at + wait_s)

    def _may_be_lost(self, silence_s):
        """Return whether the leader is dead, has resigned, or was silent for too long.

        The time allowed depends on this host's rank among the candidates.
        """
        if self.leader == self._hosts.me():
            return True
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        liveness = self._link.probe(self.leader, deadline)
        if liveness is Liveness.DEAD:
            log.info("leader: dead", extra={"leader": self.leader.host_id})
            rank = self._inquiries.candidate_rank(self.leader)
            return silence_s >= self._cfg.suspect_s + rank * DEAD_STEP_S
        if liveness is Liveness.SILENT:
            timeout_s = (
                self._cfg.silent_s
                + self._inquiries.candidate_rank(self.leader) * self._cfg.step_s
            )
            return silence_s >= timeout_s
        return self._has_resigned()

    def _has_resigned(self):
        """Return whether the leader answers that it no longer leads."""
        try:
            answer = self._inquiries.ask(self.leader)
        except PeerError as exc:
            log.info("leader: no answer", extra={"reason": str(exc)})
            return False
        if answer.leader == self.leader:
            self.follow(answer.leader, answer.epoch)
            self._last_contact_at = self._clock.now()
            return False
        if answer.leader is not None:
            self.follow(answer.leader, answer.epoch)
            return False
        return True

    def _take_over(self, stored_ownership: Ownership, version: Version):
        """Become the leader of the next epoch, and announce it to all hosts.

        A host that is not registered can't lead, because a later leader could take the
        record of an earlier run on its machine for the proof that it has ended.
        """
        if not self._hosts.registered or not self.may_lead():
            return
        era = self._store.era
        is_copy = (
            stored_ownership.era < era and max(stored_ownership.epoch, self.epoch) > 0
        ) or (stored_ownership.epoch == 0 and not self.first_start)
        known_epoch = max(stored_ownership.epoch, self.epoch if is_copy else 0)
        epoch = replace(stored_ownership, epoch=known_epoch).epoch_in(era) + 1
        former = self._former_at_takeover(stored_ownership, is_copy)
        ownership = replace(
            stored_ownership.led_by(self._hosts.me(), epoch).refenced(),
            era=era,
            former=former,
            resolved=frozenset() if is_copy else stored_ownership.resolved,
        )
        self._store_takeover(ownership, version)
        self._keep_own_grants()
        log.info(
            "leader: took over",
            extra={
                "epoch": self.epoch,
                "former": _log_rows(former),
                "stored_leader": stored_ownership.leader
                and stored_ownership.leader.host_id,
                "stored_epoch": stored_ownership.epoch,
                "store_version": self._version,
                "era": era,
                "owners_uncertain": self.owners_uncertain,
                **_grant_fields(self._grants_left()),
            },
        )
        self._begin_epoch()

    def _former_at_takeover(self, stored, is_copy) -> tuple[FormerLeader, ...]:
        """Return all leaders whose orders may have an effect once this host leads.

        These are the leader that the object names and those that it waited for.  What
        the object does not say counts as the longest wait.
        """
        former = list(stored.former or ())
        if stored.leader is not None:
            former.append(FormerLeader(stored.leader, self._max_orders_s))
        if is_copy and self.leader is not None:
            former.append(FormerLeader(self.leader, self._max_orders_s))
        if is_copy or (stored.former is None and stored.epoch > 0):
            former.append(FormerLeader(None, self._max_orders_s))
        return tuple(
            self._with_proof(entry)
            for entry in former
            if entry.address != self._hosts.me()
        )

    def _with_proof(self, former):
        """Return a former leader, with less time left if it has started again."""
        if (
            former.address is None
            or former.left_s <= self.max_grant_s
            or not self._hosts.was_restarted(former.address.host_id)
        ):
            return former
        return replace(former, left_s=self.max_grant_s)

    def _announce(self, address):
        """Announce this leader to one host; to a former leader until it answers."""
        message = NewLeader(self._hosts.me(), self.epoch)
        while self.leading and message.epoch == self.epoch:
            deadline = Instant(self._clock.now() + self._cfg.call_s)
            try:
                reply = self._link.call(address, message, deadline)
            except PeerRefused:
                return
            except PeerError:
                end_at = self._former_end_at.get(address, LONG_AGO)
                if end_at <= self._clock.now():
                    return
                continue
            self._hosts.mark_alive(reply.host_id)
            if reply.host_id == address.host_id:
                self._on_former_stopped(address, reply.grants)
            return

    def _on_former_stopped(self, address, grants):
        """Record that a host gives no more orders, and the grants that it has left.

        This proves nothing about other former leaders.
        """
        self._add_former_grants(grants)
        if self._former_end_at.pop(address, None) is not None:
            log.info(
                "leader: a former leader has stopped",
                extra={
                    "host": address.host_id,
                    **_grant_fields(grants),
                    "former": _log_rows(self._former_left()),
                },
            )

    def _on_query(self, query: LeaderQuery) -> LeaderKnown:
        self._hosts.mark_alive(query.asker)
        leader = None if self._resigned else self.leader
        if leader == self._hosts.me() and not self.leading:
            leader = None
        heard_s = 0.0 if self.leading else self._clock.now() - self._last_contact_at
        return LeaderKnown(leader, self.epoch, min(heard_s, NEVER_HEARD_S))

    def _on_new_leader(self, message: NewLeader) -> NewLeaderSeen:
        self._hosts.mark_alive(message.leader.host_id)
        if message.epoch < self.epoch:
            raise PeerRefused(
                f"epoch {message.epoch} has ended; this is epoch {self.epoch}"
            )
        grants = self._grants_left()
        if grants:
            log.info(
                "leader: grants reported to a later leader",
                extra={
                    "leader": message.leader.host_id,
                    "epoch": message.epoch,
                    **_grant_fields(grants),
                },
            )
        self.follow(message.leader, message.epoch)
        return NewLeaderSeen(self._hosts.me().host_id, grants)

    def _stop(self, reason):
        if not self.leading:
            return
        log.warning("leader: stopped", extra={"epoch": self.epoch, "reason": reason})
        self.leading = False
        self.leader = None
        self.lease_until = LONG_AGO
        self.on_stop()


def _log_rows(former):
    """Return host, time left and address of each former leader, for a log line."""
    return [
        [
            entry.address.host_id if entry.address else None,
            round(entry.left_s, 2),
            f"{entry.address.ip}:{entry.address.port}" if entry.address else None,
        ]
        for entry in former
    ]


def _grant_fields(grants):
    """Return number and longest time left of some grants, for a log line."""
    longest_s = max((grant.left_s for grant in grants), default=0.0)
    return {"grants": len(grants), "longest_grant_s": round(longest_s, 2)}
