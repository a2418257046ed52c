"""Waiting requests of one group of targets on one host, and whose turn is next.

The team that uses the fewest slots for its weight goes first; then the higher
precedence; then the service that uses the fewest slots for its weight; then keys
in turn.  Teams come before precedence because otherwise one team's storm of urgent
requests would take every slot of another's.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Container, Iterator
from enum import Enum

from eventlet.event import Event

from persimmonspoke.ids import Instant, ServiceId, TeamId
from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.api import Ticket
from persimmonspoke.internal.scheduling.groups import Choice, Endpoint

Rank = tuple[TeamId, Precedence]


class EntryState(Enum):
    """What became of a waiting request."""

    WAITING = "waiting"
    STARTED = "started"
    EXPIRED = "expired"
    SHED = "shed"
    MOVED = "moved"
    """The groups of targets have changed; it waits elsewhere."""
    CLOSED = "closed"
    """No candidate takes new work any more."""


class Entry:
    """One waiting request.

    Attributes
    ----------
    choices : tuple of Choice
        Where it may go.
    start_by : Instant
        Started later, it could hardly be answered before its deadline.
    """

    __slots__ = ("ticket", "choices", "rank", "start_by", "state", "event", "slot")

    def __init__(self, ticket: Ticket, choices: tuple[Choice, ...], start_by: Instant):
        self.ticket = ticket
        self.choices = choices
        self.rank: Rank = (ticket.team, ticket.precedence)
        self.start_by = start_by
        self.state = EntryState.WAITING
        self.event = Event()
        self.slot = None

    def accepts(self, endpoints: Container[Endpoint]) -> bool:
        """Return whether any of `endpoints` will do."""
        return any(choice.endpoint in endpoints for choice in self.choices)

    def end(self, state: EntryState) -> None:
        """Settle the entry and wake its task."""
        self.state = state
        self.event.send(None)


class _Keys:
    """Entries of one service, by key; each key in its turn."""

    def __init__(self):
        self._by_key: OrderedDict[object, deque[Entry]] = OrderedDict()

    def __bool__(self):
        return bool(self._by_key)

    def __iter__(self):
        for entries in self._by_key.values():
            yield from entries

    def push(self, entry):
        self._by_key.setdefault(entry.ticket.key, deque()).append(entry)

    def take(self, accepted, now):
        """Remove and return the next entry that may start, or None."""
        for key, entries in self._by_key.items():
            for entry in entries:
                if entry.start_by >= now and entry.accepts(accepted):
                    entries.remove(entry)
                    self._by_key.move_to_end(key)
                    self._drop_if_empty(key)
                    return entry
        return None

    def remove(self, entry):
        key = entry.ticket.key
        self._by_key[key].remove(entry)
        self._drop_if_empty(key)

    def newest_of_longest(self):
        return max(self._by_key.values(), key=len)[-1]

    def _drop_if_empty(self, key):
        if not self._by_key[key]:
            del self._by_key[key]


class _Use:
    """How many slots one team or service uses, and when it got the last."""

    __slots__ = ("running", "turn")

    def __init__(self):
        self.running = 0
        self.turn = 0


class Use:
    """Slots used by one service, counted for its team and precedence as well."""

    __slots__ = ("rank", "team", "service", "ranked")

    def __init__(self, rank: Rank, team: _Use, ranked: _Use):
        self.rank = rank
        self.team = team
        self.service = _Use()
        self.ranked = ranked


class WaitingQueue:
    """Waiting requests in order, with a bounded length.

    Parameters
    ----------
    max_waiting : int
        Most requests that may wait.
    """

    def __init__(self, max_waiting: int):
        self._max_waiting = max_waiting
        self._teams: dict[TeamId, dict[Precedence, dict[object, _Keys]]] = {}
        self.waiting: Counter[Rank] = Counter()
        self.team_weights: dict[TeamId, int] = {}
        self._team_uses: dict[TeamId, _Use] = {}
        self._rank_uses: dict[Rank, _Use] = {}
        self._uses: dict[tuple[TeamId, ServiceId], Use] = {}
        self._turns = 0
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self) -> Iterator[Entry]:
        for levels in self._teams.values():
            for services in levels.values():
                for keys in services.values():
                    yield from keys

    def push(self, entry: Entry) -> None:
        """Add `entry`; when the queue is too long, somebody's entry is shed."""
        team, precedence = entry.rank
        self.use_of(entry.ticket)
        services = self._teams.setdefault(team, {}).setdefault(precedence, {})
        services.setdefault(entry.ticket.service.service, _Keys()).push(entry)
        self.waiting[entry.rank] += 1
        self._length += 1
        if self._length > self._max_waiting:
            victim = self._victim()
            self.remove(victim)
            victim.end(EntryState.SHED)

    def pop(self, accepted: Container[Endpoint], now: Instant) -> Entry | None:
        """Remove and return the next request that one of `accepted` may serve."""
        for team in self._teams_in_order():
            levels = self._teams[team]
            for precedence in sorted(levels, key=_by_value):
                entry = self._take(team, levels[precedence], accepted, now)
                if entry is not None:
                    self._forget(entry)
                    return entry
        return None

    def remove(self, entry: Entry) -> None:
        """Take `entry` out; it must be waiting."""
        team, precedence = entry.rank
        self._teams[team][precedence][entry.ticket.service.service].remove(entry)
        self._forget(entry)

    def use_of(self, ticket: Ticket) -> Use:
        """Return the record of slots that the ticket's service uses."""
        key = (ticket.team, ticket.service.service)
        use = self._uses.get(key)
        if use is None or use.rank[1] is not ticket.precedence:
            rank = (ticket.team, ticket.precedence)
            team = self._team_uses.setdefault(ticket.team, _Use())
            use = Use(rank, team, self._rank_uses.setdefault(rank, _Use()))
            self._uses[key] = use
        return use

    def started(self, use: Use) -> None:
        """Count a request that has got a slot, whether it waited or not."""
        self._turns += 1
        use.team.running += 1
        use.team.turn = self._turns
        use.service.running += 1
        use.service.turn = self._turns
        use.ranked.running += 1

    def finished(self, use: Use) -> None:
        """Count that the request gave its slot back."""
        use.team.running -= 1
        use.service.running -= 1
        use.ranked.running -= 1

    def wants(self) -> dict[Rank, int]:
        """Return how many requests of each team and precedence run or wait."""
        wants = Counter(self.waiting)
        for rank, use in self._rank_uses.items():
            if use.running:
                wants[rank] += use.running
        return wants

    def _teams_in_order(self):
        teams = list(self._teams)
        if len(teams) == 1:
            return teams

        def rank(team):
            use = self._team_uses.get(team) or _Use()
            return use.running / self.team_weights.get(team, 1), use.turn

        return sorted(teams, key=rank)

    def _take(self, team, services, accepted, now):
        """Take the next entry, from the service that uses least for its weight."""

        def rank(name):
            service = next(iter(services[name])).ticket.service
            use = self._uses[team, name].service
            return use.running / service.weight, use.turn

        names = sorted(services, key=rank) if len(services) > 1 else list(services)
        for name in names:
            entry = services[name].take(accepted, now)
            if entry is not None:
                return entry
        return None

    def _forget(self, entry):
        """Correct the counts after `entry` left its list, and drop empty levels."""
        team, precedence = entry.rank
        levels = self._teams[team]
        services = levels[precedence]
        if not services[entry.ticket.service.service]:
            del services[entry.ticket.service.service]
        if not services:
            del levels[precedence]
        if not levels:
            del self._teams[team]
        self.waiting[entry.rank] -= 1
        if not self.waiting[entry.rank]:
            del self.waiting[entry.rank]
        self._length -= 1

    def _victim(self):
        """Return the entry to shed: lowest precedence of the most crowding team."""

        def crowding(team):
            waiting = sum(self.waiting[team, precedence] for precedence in Precedence)
            return waiting / self.team_weights.get(team, 1)

        levels = self._teams[max(self._teams, key=crowding)]
        services = levels[max(levels, key=_by_value)]
        longest = max(services.values(), key=lambda keys: sum(1 for _ in keys))
        return longest.newest_of_longest()


def _by_value(precedence):
    return precedence.value
