"""A snapshot of the load of a service's targets, from which moves are planned."""

from collections.abc import Iterable
from dataclasses import replace

from persimmonspoke.ids import ServiceId, TargetId
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.planner import (
    KEY_COUNT,
    EligibleTarget,
    dominant_keys,
)
from persimmonspoke.internal.ranges.ranges import KeyRange, RangeMap

MIN_LEVEL = 0.75  # utilisation up to which a target takes keys without many waits
MAX_LEVEL = 0.95  # above it, a receiver would refuse as many as the owner
LEVEL_OVER_MEAN = 1.15


class LoadView:
    """A snapshot of the load of a service's targets.

    Attributes
    ----------
    cost : dict of TargetId to float
        Utilisation of each eligible target that one request a second adds.
    rates, utilisation : dict of TargetId to float
        Requests a second for each target's keys, and the share of its capacity (slots
        x speed, or its rate limit) that they occupy.
    available : frozenset of TargetId
        The eligible targets that are in no transfer.
    total_rate, mean : float
        Requests a second for all keys, and the utilisation of all targets together.
    mean_cost : float
        Utilisation that one request a second adds to a usual target.
    """

    def __init__(
        self,
        service: ServiceId,
        ranges: RangeMap,
        eligible: tuple[EligibleTarget, ...],
        loads: Loads,
        transferring: frozenset[TargetId],
        moving: Iterable[tuple[int, int]],
    ):
        self.service = service
        self.loads = loads
        self.ranges = ranges
        self.moving = tuple(moving)
        self._eligible = eligible
        self.slots = {target.target_id: target.slots for target in eligible}
        self.cost = {
            name: loads.request_cost(name, slots) for name, slots in self.slots.items()
        }
        self.available = frozenset(self.cost) - transferring
        self._owned: dict[TargetId, list[KeyRange]] = {name: [] for name in self.cost}
        for entry in ranges.ranges:
            if entry.owner in self._owned:
                self._owned[entry.owner].append(entry)
        self.rates = {
            name: sum(loads.rate(service, entry) for entry in owned)
            for name, owned in self._owned.items()
        }
        self.utilisation = {n: self.rates[n] * c for n, c in self.cost.items()}
        self.total_rate = sum(self.rates.values())
        capacity = sum(1 / cost for cost in self.cost.values())
        self.mean = self.total_rate / capacity if capacity else 0.0
        self.mean_cost = len(self.cost) / capacity if capacity else 0.0
        self._dominant: dict[TargetId, dict[int, float]] = {}

    def owned(self, target_id: TargetId) -> list[KeyRange]:
        """Return the ranges of a target."""
        return self._owned[target_id]

    def dominant_keys(self, target_id: TargetId) -> dict[int, float]:
        """Return a target's dominant keys, with their rates.

        A key that only a slow target could not serve is part of a run.
        """
        if target_id not in self._dominant:
            self._dominant[target_id] = dominant_keys(
                self.service,
                self._owned[target_id],
                self.loads,
                min(self.cost[target_id], self.mean_cost),
            )
        return self._dominant[target_id]

    def noise(self, target_id: TargetId, deviations: float) -> float:
        """Return the part of a target's utilisation that may be noise."""
        deviation = self.loads.deviation(self.rates[target_id])
        return deviations * self.cost[target_id] * deviation

    def fill_level(self) -> float:
        """Return the utilisation up to which targets should receive keys."""
        level = max(MIN_LEVEL, LEVEL_OVER_MEAN * self.mean)
        return max(self.mean, min(MAX_LEVEL, level))

    def rooms(self, level: float, min_room: float) -> dict[TargetId, float]:
        """Return the requests a second that each target can take up to `level`.

        Parameters
        ----------
        min_room : float
            Targets with less room, as utilisation, are left out.
        """
        return {
            name: (level - self.utilisation[name]) / self.cost[name]
            for name in sorted(self.available)
            if level - self.utilisation[name] >= min_room
        }

    def rooms_by_both(
        self, other: Loads, level: float, min_room: float
    ) -> dict[TargetId, float]:
        """Return `rooms`, or less where there is less by the averages of `other`.

        A target may have room by one average because of noise, or of a hot spell that
        the average does not show.
        """
        view = LoadView(
            self.service, self.ranges, self._eligible, other, frozenset(), ()
        )
        others = view.rooms(level, min_room)
        return {
            name: min(room, others[name])
            for name, room in self.rooms(level, min_room).items()
            if name in others
        }

    def single_key_range(self, key: int) -> KeyRange | None:
        """Return a range of one key; None if the key is being transferred."""
        piece = replace(self.ranges.find(key), first=key, last=key)
        return None if self.is_transferring(piece) else piece

    def is_transferring(self, piece: KeyRange) -> bool:
        """Return whether any key of a piece is being transferred."""
        return any(piece.overlaps(first, last) for first, last in self.moving)


def key_share(piece: KeyRange) -> float:
    """Return the share of all keys that a piece has."""
    return (piece.last - piece.first + 1) / KEY_COUNT
