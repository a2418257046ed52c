"""The lending side: one host divides the slots of a group among all hosts.

The state is soft.  A lender that takes over learns from reports who holds what.  It
lends half of the slots at once, since a slot lent twice costs a shed and an unused
one costs waits, and the rest once permits that it does not know of have lapsed.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from persimmonspoke.errors import PeerRefused
from persimmonspoke.ids import HostId, Instant, TeamId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.groups import Endpoint, Group
from persimmonspoke.internal.scheduling.health import SlotLimit
from persimmonspoke.internal.scheduling.messages import Loan, SlotGrant, SlotReport
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shares import divide, divide_evenly


@dataclass(slots=True)
class _Account:
    """What one holder has."""

    holder: HostId
    number: int
    lapses_at: Instant
    report_serial: int = 0
    lent: dict[Endpoint, int] = field(default_factory=dict)
    returned: dict[Endpoint, int] = field(default_factory=dict)
    seen: dict[Endpoint, tuple[int, int]] = field(default_factory=dict)
    wants: dict[tuple[TeamId, Precedence], int] = field(default_factory=dict)
    narrow: tuple[Endpoint, ...] = ()
    held: int = 0
    keep: int = 0
    short: bool = False
    turn: int = 0
    lent_at: Instant = Instant(float("-inf"))

    def out(self, endpoint):
        return self.lent.get(endpoint, 0) - self.returned.get(endpoint, 0)

    def rank(self):
        """Sort by the precedence of the next request, then by turn."""
        return self.next_precedence(), self.turn

    def wanted(self):
        return sum(self.wants.values())

    def wanted_to(self, lowest):
        """Return how many requests have at least the precedence `lowest`."""
        return sum(n for (_, p), n in self.wants.items() if p.value <= lowest)

    def next_precedence(self):
        """Return the precedence of the request that one more permit would serve."""
        for precedence in Precedence:
            if self.wanted_to(precedence.value) > self.held:
                return precedence.value
        return len(Precedence)


class Lender:
    """Lends the slots of one group.

    Parameters
    ----------
    lends_from : Instant
        Until then permits may be out that nobody has reported yet, and only half
        of the slots are lent.
    serials : iterator of int
        Numbers of grants; they grow as long as the process lives.
    push : callable
        Called with a holder and its new grant when it changes between reports.
    """

    def __init__(
        self,
        group: Group,
        me: HostId,
        cfg: SchedulingSettings,
        clock: Clock,
        lends_from: Instant,
        serials: Iterator[int],
        push: Callable[[HostId, SlotGrant], None],
    ):
        self._me = me
        self._cfg = cfg
        self._clock = clock
        self._lends_from = lends_from
        self._serials = serials
        self._push = push
        self._accounts: dict[HostId, _Account] = {}
        self._turns = 0
        self.team_weights: dict[TeamId, int] = {}
        self._closed: frozenset[Endpoint] = frozenset()
        self._group = group
        self._limits = {e: SlotLimit(n, cold=False) for e, n in group.slots.items()}

    def configure(self, group: Group, weights: dict[TeamId, int]) -> None:
        """Take in the group as it is now; endpoints that are new to it are cold."""
        limits = {}
        for endpoint, slots in group.slots.items():
            known = self._limits.get(endpoint) or SlotLimit(slots, cold=True)
            known.slots = slots
            limits[endpoint] = known
        self._limits = limits
        self._group = group
        self.team_weights = weights

    def close(self, endpoints: frozenset[Endpoint]) -> None:
        """Lend nothing more of `endpoints`, and have their permits given back."""
        if endpoints != self._closed:
            self._closed = endpoints
            self._lend()

    def on_report(self, report: SlotReport) -> SlotGrant:
        """Take in a holder's state and return what it may use."""
        account = self._account(report)
        if report.serial <= account.report_serial:
            raise PeerRefused(f"report {report.serial} was overtaken by a later one")
        account.report_serial = report.serial
        account.wants = {(w.team, w.precedence): w.count for w in report.wants}
        account.narrow = report.narrow
        for balance in report.balances:
            self._take_in(account, balance)
        account.lapses_at = self._lapse_from_now()
        account.held = sum(account.lent.values()) - sum(account.returned.values())
        self._lend(asker=account)
        grant = self._grant(account)
        if not account.wants and not account.held:
            del self._accounts[report.holder]
        return grant

    def lapse(self) -> None:
        """Take back the permits of holders that stopped reporting."""
        now = self._clock.now()
        lapsed = [a.holder for a in self._accounts.values() if a.lapses_at <= now]
        for holder in lapsed:
            del self._accounts[holder]
        if self._accounts:
            self._lend()

    def is_idle(self) -> bool:
        """Return whether nobody holds or wants anything."""
        return not self._accounts

    def lent(self) -> dict[Endpoint, int]:
        """Return how many permits of each endpoint are lent."""
        return {endpoint: self._out(endpoint) for endpoint in self._limits}

    def _account(self, report):
        account = self._accounts.get(report.holder)
        if account is not None and report.account < account.number:
            raise PeerRefused(f"account {report.account} is closed")
        if account is None or report.account > account.number:
            account = _Account(report.holder, report.account, self._lapse_from_now())
            # The holder brings along what an earlier lender lent to it.
            account.lent = {b.endpoint: b.lent for b in report.balances}
            account.seen = {
                b.endpoint: (b.answered, b.troubled) for b in report.balances
            }
            self._accounts[report.holder] = account
        return account

    def _lapse_from_now(self):
        lease_s = self._cfg.permit_s * (1 + self._cfg.clock_drift)
        return Instant(self._clock.now() + lease_s)

    def _take_in(self, account, balance):
        endpoint = balance.endpoint
        known = account.returned.get(endpoint, 0)
        account.returned[endpoint] = max(known, balance.returned)
        answered, troubled = account.seen.get(endpoint, (0, 0))
        account.seen[endpoint] = (balance.answered, balance.troubled)
        limit = self._limits.get(endpoint)
        if limit is None:
            return
        if balance.troubled > troubled:
            limit.troubled(self._clock.now())
        elif balance.answered > answered:
            limit.answered(balance.answered - answered)

    def _out(self, endpoint):
        return sum(account.out(endpoint) for account in self._accounts.values())

    def _room(self):
        """Return how many more permits of each endpoint may be lent."""
        settled = self._clock.now() >= self._lends_from
        room = {
            endpoint: limit.now() if settled else (limit.now() + 1) // 2
            for endpoint, limit in self._limits.items()
            if endpoint not in self._closed
        }
        for account in self._accounts.values():
            if account.held:
                for endpoint in account.lent:
                    if endpoint in room:
                        room[endpoint] -= account.out(endpoint)
        return room

    def _lend(self, asker=None):
        total = sum(
            limit.now() for e, limit in self._limits.items() if e not in self._closed
        )
        shares = self._shares(total)
        room = self._room()
        slack = total - sum(shares.values())
        grown = set()
        for account in sorted(self._accounts.values(), key=_Account.rank):
            if self._lend_to(account, shares[account.holder], room):
                grown.add(account.holder)
        lacking = [a for a in self._accounts.values() if a.held < shares[a.holder]]
        short = bool(lacking)
        first = min((a.next_precedence() for a in lacking), default=0)
        in_turns = short and not self._has_teams()
        for account in self._accounts.values():
            share = shares[account.holder]
            spare = min(max(0, account.held - share), slack)
            slack -= spare
            keep = share + spare
            if in_turns and self._is_its_turn(account):
                keep = max(keep, min(account.held, account.wanted_to(first)))
            worse = keep < min(account.keep, account.held)
            worse = worse or (short and not account.short and account.held > 0)
            account.keep = keep
            account.short = short
            if account is not asker and (worse or account.holder in grown):
                self._push(account.holder, self._grant(account))

    def _has_teams(self):
        """Return whether requests of several teams compete."""
        teams = {team for a in self._accounts.values() for team, _ in a.wants}
        return len(teams) > 1

    def _is_its_turn(self, account):
        """Return whether a holder may still reuse what it was lent last.

        Passing a permit on leaves its slot idle for a moment, so among equals a
        holder with work keeps it for a while.
        """
        return self._clock.now() - account.lent_at < self._cfg.turn_s

    def _lend_to(self, account, share, room):
        """Lend to one holder up to its share; return whether it got any."""
        grown = False
        while account.held < share:
            endpoint = self._pick(account, room)
            if endpoint is None:
                break
            account.lent[endpoint] = account.lent.get(endpoint, 0) + 1
            account.held += 1
            room[endpoint] -= 1
            self._turns += 1
            account.turn = self._turns
            account.lent_at = self._clock.now()
            grown = True
        return grown

    def _pick(self, account, room):
        """Return the endpoint with the most room; one that was asked for first."""
        asked = [e for e in account.narrow if room.get(e, 0) > account.out(e)]
        names = asked or [e for e, free in room.items() if free > 0]
        return max(names, key=room.__getitem__, default=None)

    def _shares(self, total):
        """Divide `total` slots: teams, then precedences, then hosts."""
        shares = dict.fromkeys(self._accounts, 0)
        by_team: dict[TeamId, int] = {}
        for account in self._accounts.values():
            for (team, _), count in account.wants.items():
                by_team[team] = by_team.get(team, 0) + count
        if sum(by_team.values()) <= total:
            return {a.holder: a.wanted() for a in self._accounts.values()}
        weights = {team: self.team_weights.get(team, 1) for team in by_team}
        order = sorted(self._accounts, key=lambda h: self._accounts[h].turn)
        for team, left in divide(total, by_team, weights).items():
            for precedence in Precedence:
                wants = self._wants_of(team, precedence)
                for holder, got in divide_evenly(left, wants, order).items():
                    shares[holder] += got
                    left -= got
        return shares

    def _wants_of(self, team, precedence):
        wants = {}
        for holder, account in self._accounts.items():
            count = account.wants.get((team, precedence), 0)
            if count:
                wants[holder] = count
        return wants

    def _grant(self, account):
        give_back = tuple(
            endpoint
            for endpoint in account.lent
            if account.out(endpoint) > 0 and self._is_over(endpoint)
        )
        return SlotGrant(
            group=self._group.group_id,
            lender=self._me,
            account=account.number,
            serial=next(self._serials),
            loans=tuple(Loan(e, n) for e, n in account.lent.items()),
            keep=account.keep,
            short=account.short,
            give_back=give_back,
        )

    def _is_over(self, endpoint):
        if endpoint in self._closed or endpoint not in self._limits:
            return True
        return self._out(endpoint) > self._limits[endpoint].now()
