"""The lending side: one host divides the slots of a group among all hosts.

The state is not stored: a lender that takes over learns from reports which permits
are held.  It lends half of the slots at once, and the rest when permits that it does
not know of have expired.  Half is a compromise, because a slot lent twice costs a shed
request, and an unused one makes requests wait.
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
    """State of one holder: its permits, its wants, and the last grant.

    Attributes
    ----------
    reported_outcomes : dict of Endpoint to (int, int)
        Totals of answered requests, and of shed or failed ones, in the last report.
    held : int
        Outstanding permits of all endpoints.
    last_loan_number : int
        Sequence number of the last permit lent to the holder; 0 before the first.
    """

    holder: HostId
    number: int
    expires_at: Instant
    report_serial: int = 0
    lent: dict[Endpoint, int] = field(default_factory=dict)
    returned: dict[Endpoint, int] = field(default_factory=dict)
    reported_outcomes: dict[Endpoint, tuple[int, int]] = field(default_factory=dict)
    wants: dict[tuple[TeamId, Precedence], int] = field(default_factory=dict)
    narrow: tuple[Endpoint, ...] = ()
    held: int = 0
    keep: int = 0
    short: bool = False
    last_loan_number: int = 0
    lent_at: Instant = Instant(float("-inf"))

    def outstanding(self, endpoint):
        return self.lent.get(endpoint, 0) - self.returned.get(endpoint, 0)

    def sort_key(self):
        """Return the sort key for lending: next precedence, then oldest loan first."""
        return self.next_precedence(), self.last_loan_number

    def wanted(self):
        return sum(self.wants.values())

    def wanted_up_to(self, lowest):
        """Return how many requests have at least the precedence `lowest`."""
        return sum(n for (_, p), n in self.wants.items() if p.value <= lowest)

    def next_precedence(self):
        """Return the precedence of the request that one more permit would serve."""
        for precedence in Precedence:
            if self.wanted_up_to(precedence.value) > self.held:
                return precedence.value
        return len(Precedence)


class Lender:
    """Lends the slots of one group.

    Parameters
    ----------
    full_lending_from : Instant
        Before this instant there may be permits that no holder has reported yet, so
        only half of the slots are lent.
    serials : iterator of int
        Serial numbers of grants, which increase during the run of the process.
    push : callable
        Called with a holder and its grant when the grant changes between reports.
    """

    def __init__(
        self,
        group: Group,
        me: HostId,
        cfg: SchedulingSettings,
        clock: Clock,
        full_lending_from: Instant,
        serials: Iterator[int],
        push: Callable[[HostId, SlotGrant], None],
    ):
        self._me = me
        self._cfg = cfg
        self._clock = clock
        self._full_lending_from = full_lending_from
        self._serials = serials
        self._push = push
        self._accounts: dict[HostId, _Account] = {}
        self._loan_count = 0
        self.team_weights: dict[TeamId, int] = {}
        self._closed: frozenset[Endpoint] = frozenset()
        self._group = group
        self._limits = {e: SlotLimit(n, cold=False) for e, n in group.slots.items()}

    def configure(self, group: Group, weights: dict[TeamId, int]) -> None:
        """Apply a new definition of the group; endpoints new to it start cold."""
        limits = {}
        for endpoint, slots in group.slots.items():
            known = self._limits.get(endpoint) or SlotLimit(slots, cold=True)
            known.slots = slots
            limits[endpoint] = known
        self._limits = limits
        self._group = group
        self.team_weights = weights

    def close(self, endpoints: frozenset[Endpoint]) -> None:
        """Stop lending permits of `endpoints`, and request the return of lent ones."""
        if endpoints != self._closed:
            self._closed = endpoints
            self._redistribute()

    def on_report(self, report: SlotReport) -> SlotGrant:
        """Apply a holder's report and return its grant."""
        account = self._account(report)
        if report.serial <= account.report_serial:
            raise PeerRefused(f"report {report.serial} was overtaken by a later one")
        account.report_serial = report.serial
        account.wants = {(w.team, w.precedence): w.count for w in report.wants}
        account.narrow = report.narrow
        for balance in report.balances:
            self._apply_balance(account, balance)
        account.expires_at = self._new_expiry()
        account.held = sum(account.lent.values()) - sum(account.returned.values())
        self._redistribute(reporter=account)
        grant = self._grant(account)
        if not account.wants and not account.held:
            del self._accounts[report.holder]
        return grant

    def expire_accounts(self) -> None:
        """Drop accounts of holders that stopped reporting; lend their permits again."""
        now = self._clock.now()
        expired = [a.holder for a in self._accounts.values() if a.expires_at <= now]
        for holder in expired:
            del self._accounts[holder]
        if self._accounts:
            self._redistribute()

    def is_idle(self) -> bool:
        """Return whether no host holds or wants permits."""
        return not self._accounts

    def lent(self) -> dict[Endpoint, int]:
        """Return how many permits of each endpoint are lent."""
        return {endpoint: self._outstanding(endpoint) for endpoint in self._limits}

    def _account(self, report):
        account = self._accounts.get(report.holder)
        if account is not None and report.account < account.number:
            raise PeerRefused(f"account {report.account} is closed")
        if account is None or report.account > account.number:
            account = _Account(report.holder, report.account, self._new_expiry())
            # The holder still has the permits of its previous lender.
            account.lent = {b.endpoint: b.lent for b in report.balances}
            account.reported_outcomes = {
                b.endpoint: (b.answered, b.troubled) for b in report.balances
            }
            self._accounts[report.holder] = account
        return account

    def _new_expiry(self):
        lease_s = self._cfg.permit_s * (1 + self._cfg.clock_drift)
        return Instant(self._clock.now() + lease_s)

    def _apply_balance(self, account, balance):
        endpoint = balance.endpoint
        known = account.returned.get(endpoint, 0)
        account.returned[endpoint] = max(known, balance.returned)
        answered, troubled = account.reported_outcomes.get(endpoint, (0, 0))
        account.reported_outcomes[endpoint] = (balance.answered, balance.troubled)
        limit = self._limits.get(endpoint)
        if limit is None:
            return
        if balance.troubled > troubled:
            limit.troubled(self._clock.now())
        elif balance.answered > answered:
            limit.answered(balance.answered - answered)

    def _outstanding(self, endpoint):
        return sum(account.outstanding(endpoint) for account in self._accounts.values())

    def _available_permits(self):
        """Return how many more permits of each endpoint can be lent."""
        all_reported = self._clock.now() >= self._full_lending_from
        available = {
            endpoint: limit.now() if all_reported else (limit.now() + 1) // 2
            for endpoint, limit in self._limits.items()
            if endpoint not in self._closed
        }
        for account in self._accounts.values():
            if account.held:
                for endpoint in account.lent:
                    if endpoint in available:
                        available[endpoint] -= account.outstanding(endpoint)
        return available

    def _redistribute(self, reporter=None):
        """Lend available permits by share, and push the grants that changed.

        The grant of `reporter` is not pushed, since it answers the report.
        """
        total = sum(
            limit.now() for e, limit in self._limits.items() if e not in self._closed
        )
        shares = self._shares(total)
        available = self._available_permits()
        slack = total - sum(shares.values())
        grown = set()
        for account in sorted(self._accounts.values(), key=_Account.sort_key):
            if self._lend_to(account, shares[account.holder], available):
                grown.add(account.holder)
        below_share = [a for a in self._accounts.values() if a.held < shares[a.holder]]
        short = bool(below_share)
        highest = min((a.next_precedence() for a in below_share), default=0)
        reuse_allowed = short and not self._has_teams()
        for account in self._accounts.values():
            share = shares[account.holder]
            spare = min(max(0, account.held - share), slack)
            slack -= spare
            keep = share + spare
            if reuse_allowed and self._may_reuse(account):
                keep = max(keep, min(account.held, account.wanted_up_to(highest)))
            reduced = keep < min(account.keep, account.held)
            reduced = reduced or (short and not account.short and account.held > 0)
            account.keep = keep
            account.short = short
            if account is not reporter and (reduced or account.holder in grown):
                self._push(account.holder, self._grant(account))

    def _has_teams(self):
        """Return whether requests of several teams compete."""
        teams = {team for a in self._accounts.values() for team, _ in a.wants}
        return len(teams) > 1

    def _may_reuse(self, account):
        """Return whether a holder may keep its permits because it got one recently.

        A slot is idle while its permit moves to another holder.  So a holder keeps,
        for `turn_s`, as many permits as it has requests whose precedence is at least
        the highest for which another holder lacks permits.
        """
        return self._clock.now() - account.lent_at < self._cfg.turn_s

    def _lend_to(self, account, share, available):
        """Lend permits to one holder up to its share; return whether it got any."""
        grown = False
        while account.held < share:
            endpoint = self._choose_endpoint(account, available)
            if endpoint is None:
                break
            account.lent[endpoint] = account.lent.get(endpoint, 0) + 1
            account.held += 1
            available[endpoint] -= 1
            self._loan_count += 1
            account.last_loan_number = self._loan_count
            account.lent_at = self._clock.now()
            grown = True
        return grown

    def _choose_endpoint(self, account, available):
        """Return the endpoint with the most available permits, needed ones first."""
        needed = [
            e for e in account.narrow if available.get(e, 0) > account.outstanding(e)
        ]
        candidates = needed or [e for e, free in available.items() if free > 0]
        return max(candidates, key=available.__getitem__, default=None)

    def _shares(self, total):
        """Return each holder's share: by team, then by precedence, then by host."""
        shares = dict.fromkeys(self._accounts, 0)
        wants_by_team: dict[TeamId, int] = {}
        for account in self._accounts.values():
            for (team, _), count in account.wants.items():
                wants_by_team[team] = wants_by_team.get(team, 0) + count
        if sum(wants_by_team.values()) <= total:
            return {a.holder: a.wanted() for a in self._accounts.values()}
        weights = {team: self.team_weights.get(team, 1) for team in wants_by_team}
        order = sorted(self._accounts, key=lambda h: self._accounts[h].last_loan_number)
        for team, left in divide(total, wants_by_team, weights).items():
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
            if account.outstanding(endpoint) > 0 and self._must_return(endpoint)
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

    def _must_return(self, endpoint):
        if endpoint in self._closed or endpoint not in self._limits:
            return True
        return self._outstanding(endpoint) > self._limits[endpoint].now()
