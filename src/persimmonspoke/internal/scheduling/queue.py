"""Queue of the requests of one host that wait for one group of targets.

The order of service is: the team with the fewest slots in use relative to its weight;
the highest precedence; the service with the fewest slots in use relative to its
weight; the keys round-robin.  Teams come before precedence because otherwise a burst
of urgent requests of one team would take all slots from another team.
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
    """State of a request in the queue; all but WAITING are final."""

    WAITING = "waiting"
    STARTED = "started"
    EXPIRED = "expired"
    SHED = "shed"
    MOVED = "moved"
    """The groups of targets have changed; the request is queued in another group."""
    CLOSED = "closed"
    """All candidate targets are leaving and get no new work."""


class Entry:
    """One waiting request.

    Attributes
    ----------
    choices : tuple of Choice
        Candidate targets of the request.
    start_by : Instant
        Latest useful start; a later one could hardly be answered before the deadline.
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
        """Return whether any of `endpoints` is a candidate."""
        return any(choice.endpoint in endpoints for choice in self.choices)

    def end(self, state: EntryState) -> None:
        """Set the final state and wake the waiting task."""
        self.state = state
        self.event.send(None)


class _KeyQueues:
    """Entries of one service; a queue for each key, served round-robin."""

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

    def newest_of_longest_queue(self):
        return max(self._by_key.values(), key=len)[-1]

    def _drop_if_empty(self, key):
        if not self._by_key[key]:
            del self._by_key[key]


class _SlotCount:
    """Slots that one team or service uses.

    Attributes
    ----------
    turn : int
        Sequence number of the last start; breaks ties in favour of the one that has
        waited longest.
    """

    __slots__ = ("running", "turn")

    def __init__(self):
        self.running = 0
        self.turn = 0


class ServiceUsage:
    """Slot counts of one service, of its team, and of its team and precedence."""

    __slots__ = ("rank", "team", "service", "ranked")

    def __init__(self, rank: Rank, team: _SlotCount, ranked: _SlotCount):
        self.rank = rank
        self.team = team
        self.service = _SlotCount()
        self.ranked = ranked


class WaitingQueue:
    """Ordered queue of waiting requests, with a bounded length.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests.
    """

    def __init__(self, max_waiting: int):
        self._max_waiting = max_waiting
        self._teams: dict[TeamId, dict[Precedence, dict[object, _KeyQueues]]] = {}
        self.waiting: Counter[Rank] = Counter()
        self.team_weights: dict[TeamId, int] = {}
        self._team_counts: dict[TeamId, _SlotCount] = {}
        self._rank_counts: dict[Rank, _SlotCount] = {}
        self._usages: dict[tuple[TeamId, ServiceId], ServiceUsage] = {}
        self._start_count = 0
        self._length = 0

    def __len__(self):
        return self._length

    def __iter__(self) -> Iterator[Entry]:
        for by_precedence in self._teams.values():
            for services in by_precedence.values():
                for keys in services.values():
                    yield from keys

    def push(self, entry: Entry) -> None:
        """Add `entry`; if the queue is then too long, shed one entry."""
        team, precedence = entry.rank
        self.usage_of(entry.ticket)
        services = self._teams.setdefault(team, {}).setdefault(precedence, {})
        services.setdefault(entry.ticket.service.service, _KeyQueues()).push(entry)
        self.waiting[entry.rank] += 1
        self._length += 1
        if self._length > self._max_waiting:
            shed_entry = self._entry_to_shed()
            self.remove(shed_entry)
            shed_entry.end(EntryState.SHED)

    def pop(self, accepted: Container[Endpoint], now: Instant) -> Entry | None:
        """Remove and return the next entry that one of `accepted` can serve."""
        for team in self._ordered_teams():
            by_precedence = self._teams[team]
            for precedence in sorted(by_precedence, key=_by_value):
                entry = self._take(team, by_precedence[precedence], accepted, now)
                if entry is not None:
                    self._update_counts(entry)
                    return entry
        return None

    def remove(self, entry: Entry) -> None:
        """Remove `entry`, which must be waiting."""
        team, precedence = entry.rank
        self._teams[team][precedence][entry.ticket.service.service].remove(entry)
        self._update_counts(entry)

    def usage_of(self, ticket: Ticket) -> ServiceUsage:
        """Return the slot counts of the ticket's service."""
        key = (ticket.team, ticket.service.service)
        usage = self._usages.get(key)
        if usage is None or usage.rank[1] is not ticket.precedence:
            rank = (ticket.team, ticket.precedence)
            team = self._team_counts.setdefault(ticket.team, _SlotCount())
            usage = ServiceUsage(
                rank, team, self._rank_counts.setdefault(rank, _SlotCount())
            )
            self._usages[key] = usage
        return usage

    def started(self, usage: ServiceUsage) -> None:
        """Count a request that got a slot, whether it waited or not."""
        self._start_count += 1
        usage.team.running += 1
        usage.team.turn = self._start_count
        usage.service.running += 1
        usage.service.turn = self._start_count
        usage.ranked.running += 1

    def finished(self, usage: ServiceUsage) -> None:
        """Count that a request released its slot."""
        usage.team.running -= 1
        usage.service.running -= 1
        usage.ranked.running -= 1

    def wants(self) -> dict[Rank, int]:
        """Return how many requests of each team and precedence run or wait."""
        wants = Counter(self.waiting)
        for rank, usage in self._rank_counts.items():
            if usage.running:
                wants[rank] += usage.running
        return wants

    def _ordered_teams(self):
        teams = list(self._teams)
        if len(teams) == 1:
            return teams

        def rank(team):
            usage = self._team_counts.get(team) or _SlotCount()
            return usage.running / self.team_weights.get(team, 1), usage.turn

        return sorted(teams, key=rank)

    def _take(self, team, services, accepted, now):
        """Remove and return the next entry of one team and precedence, or None.

        Services with fewer slots in use relative to their weight come first.
        """

        def rank(name):
            service = next(iter(services[name])).ticket.service
            usage = self._usages[team, name].service
            return usage.running / service.weight, usage.turn

        names = sorted(services, key=rank) if len(services) > 1 else list(services)
        for name in names:
            entry = services[name].take(accepted, now)
            if entry is not None:
                return entry
        return None

    def _update_counts(self, entry):
        """Update counts and delete empty dictionaries after `entry` was removed."""
        team, precedence = entry.rank
        by_precedence = self._teams[team]
        services = by_precedence[precedence]
        if not services[entry.ticket.service.service]:
            del services[entry.ticket.service.service]
        if not services:
            del by_precedence[precedence]
        if not by_precedence:
            del self._teams[team]
        self.waiting[entry.rank] -= 1
        if not self.waiting[entry.rank]:
            del self.waiting[entry.rank]
        self._length -= 1

    def _entry_to_shed(self):
        """Return the entry to shed.

        It belongs to the team with most waiting requests for its weight, to the lowest
        precedence there, and to the service with most waiting requests; of that
        service's longest key queue it is the newest entry.
        """

        def relative_length(team):
            waiting = sum(self.waiting[team, precedence] for precedence in Precedence)
            return waiting / self.team_weights.get(team, 1)

        by_precedence = self._teams[max(self._teams, key=relative_length)]
        services = by_precedence[max(by_precedence, key=_by_value)]
        longest = max(services.values(), key=lambda keys: sum(1 for _ in keys))
        return longest.newest_of_longest_queue()


def _by_value(precedence):
    return precedence.value
