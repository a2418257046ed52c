"""Who leads the fleet, and for how long it may give orders.

The leader is named by one object of the store.  Whoever replaces it raises the
epoch by a conditional write, after which the former leader can change nothing.  It
may still repeat the orders that the object allows until its lease ends, or until it
has answered the new leader; `former_until` says when that is over.
"""

import logging
from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from persimmonspoke.errors import (
    AuthorityLapsed,
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
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.inquiries import NOT_HEARD_S, Inquiries
from persimmonspoke.internal.fleet.messages import (
    GrantLeft,
    LeaderKnown,
    LeaderQuery,
    NewLeader,
    NewLeaderSeen,
)
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.peers.api import Liveness, PeerAddress, PeerLink
from persimmonspoke.internal.ranges.record import (
    OWNERSHIP_KEY,
    Ownership,
    decode,
    encode,
)
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import write

LOOK_S = 0.1

log = logging.getLogger(__name__)

NEVER = Instant(float("-inf"))


class Leadership:
    """This host's view of the leader, and its own right to lead.

    Attributes
    ----------
    leader : PeerAddress or None
        Who leads, as far as this host knows.
    epoch : int
        Of that leader.
    leading : bool
        Whether this host leads.
    lease_until : Instant
        Until then this host may give orders, if it leads.
    ownership : Ownership or None
        Content of the object, as its leader last wrote it.
    former_until : Instant
        Until then a former leader may still have orders under way.
    store_answered_at : Instant
        When the store last answered a question about the leader.
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
        self._writing = Semaphore(1)
        self._heard_at = clock.now()
        self._read_at = NEVER
        self._asked_at = NEVER
        self._inquiries = Inquiries(cfg, clock, link, hosts)
        self.store_answered_at = clock.now()
        self._resigned = False
        self.leader: PeerAddress | None = None
        self.epoch = 0
        self.leading = False
        self.lease_until = NEVER
        self.ownership: Ownership | None = None
        self.former_until = NEVER
        self.former_grants: dict[TargetId, Instant] = {}
        self.remaining_grants: Callable[[], tuple[GrantLeft, ...]] = tuple
        self.on_ownership_read: Callable[[Ownership], None] = lambda found: None
        self.on_lead: Callable[[], None] = lambda: None
        self.on_stop: Callable[[], None] = lambda: None
        self.longest_grant_s = 0.0
        self.lease_s = cfg.lease_s
        link.serve(LeaderQuery, self._on_query)
        link.serve(NewLeader, self._on_new_leader)

    def run(self) -> None:
        """Keep leading, or watch over the leader, for as long as the task lives."""
        while not self._resigned:
            try:
                if self.leading:
                    self._confirm()
                else:
                    self._watch()
            except (StoreError, AuthorityLapsed) as exc:
                log.info(
                    "leader: the store can't say who leads",
                    extra={"leading": self.leading, "reason": repr(exc)},
                )
            pause = self._cfg.confirm_s if self.leading else LOOK_S
            self._clock.sleep_until(Instant(self._clock.now() + pause))

    def may_order(self) -> bool:
        """Return whether this host may give orders at this instant."""
        return self.leading and self._clock.now() < self.lease_until

    def check(self) -> None:
        """Raise `AuthorityLapsed` unless this host may give orders now."""
        if not self.may_order():
            raise AuthorityLapsed(f"this host does not lead in epoch {self.epoch}")

    def lost(self, leader: PeerAddress) -> None:
        """Take note that `leader` says that it leads no longer."""
        if leader == self.leader:
            self._heard_at = NEVER

    def heard(self, epoch: int) -> None:
        """Take note that the leader of `epoch` has just answered."""
        if epoch == self.epoch:
            self._heard_at = self._clock.now()

    def follow(self, leader: PeerAddress, epoch: int) -> None:
        """Take in who leads; a lower epoch is old news."""
        if epoch < self.epoch or (epoch == self.epoch and leader == self.leader):
            return
        if self.leading and leader != self._hosts.me():
            self._stop("another host took over")
        log.info(
            "leader: follows",
            extra={"leader": leader.host_id, "epoch": epoch, "before": self.epoch},
        )
        self.leader, self.epoch = leader, epoch
        self._heard_at = self._clock.now()

    def commit(self, change: Callable[[Ownership], Ownership]) -> None:
        """Replace the ownership by `change` of it; returns once the store has it.

        Raises
        ------
        AuthorityLapsed
            This host does not lead, or no longer does.
        StoreUnavailable
            The change did not happen and never will.
        """
        with self._writing:
            self.check()
            self._write(change(self.ownership))

    def update_local(self, change: Callable[[Ownership], Ownership]) -> None:
        """Change this host's copy alone; the next commit stores it.

        For what a successor finds out by itself: a higher fence of the same owner.
        """
        self.check()
        self.ownership = change(self.ownership)

    def ask_store(self) -> None:
        """Find out whether the store answers this host, at most once a second."""
        now = self._clock.now()
        if now - self._asked_at < self._cfg.confirm_s:
            return
        self._asked_at = now
        eventlet.spawn_n(self._ask_store)

    def _ask_store(self):
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            self._store.get(OWNERSHIP_KEY, deadline)
        except StoreError as exc:
            log.debug("leader: no store here either", extra={"reason": str(exc)})
            return
        self.store_answered_at = self._clock.now()

    def step_aside(self, reason: str) -> None:
        """Stop leading without the store, so that a host that reaches it takes over."""
        self._stop(reason)

    def resign(self) -> None:
        """Give up leading, so that another host can take over at once."""
        self._resigned = True
        if not self.leading:
            return
        with self._writing:
            self.leading = False
            self.on_stop()
            deadline = Instant(self._clock.now() + self._cfg.store_call_s)
            value = encode(self.ownership.led_by(None, self.epoch))
            try:
                write(
                    self._store,
                    self._clock,
                    OWNERSHIP_KEY,
                    value,
                    self._version,
                    deadline,
                )
                log.info("leader: resigned", extra={"epoch": self.epoch})
            except StoreError as exc:
                log.warning("leader: resigned untold", extra={"reason": repr(exc)})

    def _write(self, ownership):
        """Write until the outcome is known; nothing else is written meanwhile."""
        unresolved = False
        while True:
            asked = self._clock.now()
            deadline = Instant(asked + self._cfg.store_call_s)
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
                self.check()
                continue
            except StoreUnavailable:
                # An earlier copy may still be carried out, so this one must be tried.
                if not unresolved:
                    raise
                self.check()
                continue
            except StoreConflict as exc:
                self._stop("the object has another writer")
                raise AuthorityLapsed("another host took over") from exc
            self._version = stored.version
            self.ownership = ownership
            self.lease_until = Instant(asked + self._cfg.lease_s)
            self.store_answered_at = asked
            return

    def _confirm(self):
        """Write the object again: it shows that this host leads, and lives."""
        with self._writing:
            if self.leading:
                self._write(self.ownership.led_by(self._hosts.me(), self.epoch))

    def _watch(self):
        """Look whether the leader is lost; take over when it is this host's turn."""
        now = self._clock.now()
        silence = now - self._heard_at
        suspect = (self.leader, self.epoch)
        if self.leader is not None and (
            silence < self._cfg.suspect_s or not self._may_be_lost(silence)
        ):
            return
        if now - self._read_at < self._cfg.call_s:
            return
        self._read_at = now
        deadline = Instant(now + self._cfg.store_call_s)
        try:
            stored = self._store.get(OWNERSHIP_KEY, deadline)
        except StoreMissing:
            self._take_over(Ownership(None, 0), Version(0))
            return
        except StoreError:
            known = self._inquiries.newer_leader(self.epoch)
            if known is not None:
                self.follow(known.leader, known.epoch)
            raise
        found = decode(stored.value)
        if (self.leader, self.epoch) != suspect:
            # Another host has taken over while the store was asked.
            return
        self.on_ownership_read(found)
        if found.leader is not None and (found.leader, found.epoch) != suspect:
            self.follow(found.leader, found.epoch)
            # Whoever is named may be gone since long, so it must answer soon.
            self._heard_at = Instant(now - self._cfg.suspect_s)
            return
        if found.leader is None or self._inquiries.is_lost_for_all(
            self.leader, stored.version
        ):
            self._take_over(found, stored.version)

    def _may_be_lost(self, silence):
        """Return whether the leader is dead, or silent for this host's patience."""
        if self.leader == self._hosts.me():
            return True
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        liveness = self._link.probe(self.leader, deadline)
        if liveness is Liveness.DEAD:
            log.info("leader: dead", extra={"leader": self.leader.host_id})
            return True
        if liveness is Liveness.SILENT:
            patience = (
                self._cfg.silent_s
                + self._inquiries.rank(self.leader) * self._cfg.step_s
            )
            return silence >= patience
        return self._has_resigned()

    def _has_resigned(self):
        """Ask the leader itself whether it still leads."""
        try:
            known = self._inquiries.ask(self.leader)
        except PeerError as exc:
            log.info("leader: no answer", extra={"reason": str(exc)})
            return False
        if known.leader == self.leader:
            self._heard_at = self._clock.now()
            return False
        if known.leader is not None:
            self.follow(known.leader, known.epoch)
            return False
        return True

    def _take_over(self, found: Ownership, version: Version):
        former = found.leader
        ownership = found.led_by(self._hosts.me(), found.epoch + 1)
        self._version = version
        asked = self._clock.now()
        deadline = Instant(asked + self._cfg.store_call_s)
        stored = write(
            self._store,
            self._clock,
            OWNERSHIP_KEY,
            encode(ownership),
            version,
            deadline,
        )
        now = self._clock.now()
        self._version = stored.version
        self.ownership = ownership
        self.leader, self.epoch = self._hosts.me(), ownership.epoch
        self.lease_until = Instant(asked + self._cfg.lease_s)
        self.store_answered_at = asked
        wait_s = self.longest_grant_s
        if former is not None and not self._hosts.replaced(former.host_id):
            wait_s += self._cfg.lease_s
        self.former_until = Instant(now + wait_s) if found.epoch else now
        self.former_grants = {}
        self.leading = True
        log.info(
            "leader: took over",
            extra={
                "epoch": self.epoch,
                "former": former.host_id if former else None,
                "former_orders_end_in_s": round(self.former_until - now, 2),
                "store_version": stored.version,
            },
        )
        self.on_lead()
        for entry in self._hosts.recorded():
            eventlet.spawn_n(self._announce, entry.address, former)

    def _announce(self, address, former):
        """Tell one host; the former leader is told until it answers."""
        news = NewLeader(self._hosts.me(), self.epoch)
        while self.leading and news.epoch == self.epoch:
            deadline = Instant(self._clock.now() + self._cfg.call_s)
            try:
                seen = self._link.call(address, news, deadline)
            except PeerRefused:
                return
            except PeerError:
                if former is None or address.host_id != former.host_id:
                    return
                continue
            self._hosts.heard(address.host_id)
            if former is not None and seen.host_id == former.host_id:
                self._former_stopped(seen)
            return

    def _former_stopped(self, seen):
        now = self._clock.now()
        self.former_grants = {
            grant.target_id: Instant(now + grant.left_s) for grant in seen.grants
        }
        self.former_until = now
        log.info("leader: the former leader has stopped", extra={"host": seen.host_id})

    def _on_query(self, query: LeaderQuery) -> LeaderKnown:
        self._hosts.heard(query.asker)
        leader = None if self._resigned else self.leader
        if leader == self._hosts.me() and not self.leading:
            leader = None
        heard_s = 0.0 if self.leading else self._clock.now() - self._heard_at
        return LeaderKnown(leader, self.epoch, min(heard_s, NOT_HEARD_S))

    def _on_new_leader(self, news: NewLeader) -> NewLeaderSeen:
        self._hosts.heard(news.leader.host_id)
        if news.epoch < self.epoch:
            raise PeerRefused(f"epoch {news.epoch} is over; this is {self.epoch}")
        grants = self.remaining_grants()
        self.follow(news.leader, news.epoch)
        return NewLeaderSeen(self._hosts.me().host_id, grants)

    def _stop(self, reason):
        if not self.leading:
            return
        log.warning("leader: stopped", extra={"epoch": self.epoch, "reason": reason})
        self.leading = False
        self.leader = None
        self.lease_until = NEVER
        self.on_stop()
