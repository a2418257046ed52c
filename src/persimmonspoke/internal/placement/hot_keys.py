"""The most used keys of a service, found in bounded memory.

This is the space-saving counter of Metwally, Agrawal and El Abbadi (2005) over
fading counts, so that a key that was hot some minutes ago makes room.
"""

import heapq
from dataclasses import dataclass

from persimmonspoke.ids import Instant, KeyText
from persimmonspoke.internal.placement.decay import Fading


@dataclass(frozen=True, slots=True)
class HotKey:
    """A key and its rate.

    Attributes
    ----------
    rate, min_rate : float
        Requests a second: an upper bound, and what is certain.
    """

    key: KeyText
    rate: float
    min_rate: float


class HotKeys:
    """Counts the keys of one service.

    Parameters
    ----------
    capacity : int
        Keys that are counted at a time.
    half_life_s : float
        Time in which a count fades to one half.
    """

    def __init__(self, capacity: int, half_life_s: float, now: Instant):
        self._capacity = capacity
        self._fading = Fading(half_life_s, now)
        self._counts: dict[KeyText, float] = {}
        self._errors: dict[KeyText, float] = {}
        self._heap: list[tuple[float, KeyText]] = []

    def __len__(self):
        return len(self._counts)

    def add(self, key: KeyText, now: Instant) -> None:
        """Count one request for `key`."""
        if self._fading.must_rescale(now):
            self._rescale(now)
        weight = self._fading.weight(now)
        count = self._counts.get(key)
        if count is not None:
            # The heap keeps the old count; it is corrected when it comes up.
            self._counts[key] = count + weight
            return
        floor = 0.0
        if len(self._counts) >= self._capacity:
            floor = self._evict()
        self._counts[key] = floor + weight
        self._errors[key] = floor
        heapq.heappush(self._heap, (floor + weight, key))

    def top(self, count: int, now: Instant) -> tuple[HotKey, ...]:
        """Return the `count` most used keys, most used first."""
        scale = self._fading.per_second() / self._fading.weight(now)
        names = heapq.nlargest(count, self._counts, key=self._counts.__getitem__)
        return tuple(
            HotKey(
                key=name,
                rate=self._counts[name] * scale,
                min_rate=(self._counts[name] - self._errors[name]) * scale,
            )
            for name in names
        )

    def _evict(self):
        """Drop the least used key and return its count."""
        while True:
            count, key = self._heap[0]
            actual = self._counts[key]
            if actual == count:
                heapq.heappop(self._heap)
                del self._counts[key], self._errors[key]
                return count
            heapq.heapreplace(self._heap, (actual, key))

    def _rescale(self, now):
        factor = self._fading.rescale(now)
        self._counts = {key: count * factor for key, count in self._counts.items()}
        self._errors = {key: count * factor for key, count in self._errors.items()}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)
