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

from persimmonspoke.ids import Instant, TeamId
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
        self.rank: Rank = (ticket.team, ticket.service.precedence)
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


class _Ordered:
    """Names in the order of their use for their weight, least used first."""

    def __init__(self):
        self.running: Counter = Counter()
        self._turn: dict[object, int] = {}
        self._turns = 0

    def sorted(self, names, weights):
        def rank(name):
            return self.running[name] / weights.get(name, 1), self._turn.get(name, 0)

        return sorted(names, key=rank) if len(names) > 1 else names

    def started(self, name):
        self.running[name] += 1
        self._turns += 1
        self._turn[name] = self._turns

    def finished(self, name):
        self.running[name] -= 1
        if self.running[name] <= 0:
            del self.running[name]


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
        self.running: Counter[Rank] = Counter()
        self.team_weights: dict[TeamId, int] = {}
        self._by_team = _Ordered()
        self._by_service = _Ordered()
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
        for team in self._by_team.sorted(list(self._teams), self.team_weights):
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

    def started(self, ticket: Ticket) -> None:
        """Count a request that has got a slot, whether it waited or not."""
        self.running[ticket.team, ticket.service.precedence] += 1
        self._by_team.started(ticket.team)
        self._by_service.started((ticket.team, ticket.service.service))

    def finished(self, ticket: Ticket) -> None:
        """Count that the request gave its slot back."""
        rank = (ticket.team, ticket.service.precedence)
        self.running[rank] -= 1
        if self.running[rank] <= 0:
            del self.running[rank]
        self._by_team.finished(ticket.team)
        self._by_service.finished((ticket.team, ticket.service.service))

    def _take(self, team, services, accepted, now):
        weights = {}
        if len(services) > 1:
            for name, keys in services.items():
                weights[team, name] = next(iter(keys)).ticket.service.weight
        names = [(team, name) for name in services]
        for _, name in self._by_service.sorted(names, weights):
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
