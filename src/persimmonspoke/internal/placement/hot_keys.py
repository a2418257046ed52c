"""The most used keys of a service, found in bounded memory.

This is the Space-Saving algorithm of Metwally, Agrawal and El Abbadi (2005) with
decaying counts, so that a key that was hot some minutes ago is evicted.
"""

import heapq
from dataclasses import dataclass

from persimmonspoke.ids import Instant, KeyText
from persimmonspoke.internal.placement.decay import ExponentialDecay


@dataclass(frozen=True, slots=True)
class HotKey:
    """A key and bounds of its rate.

    Attributes
    ----------
    rate, min_rate : float
        Upper and lower bound of its requests a second.
    """

    key: KeyText
    rate: float
    min_rate: float


class HotKeys:
    """Counts the requests for the most used keys of one service.

    Parameters
    ----------
    capacity : int
        Maximum number of keys that are counted at a time.
    half_life_s : float
        Time in which a count decays to one half.
    """

    def __init__(self, capacity: int, half_life_s: float, now: Instant):
        self._capacity = capacity
        self._decay = ExponentialDecay(half_life_s, now)
        self._counts: dict[KeyText, float] = {}
        self._errors: dict[KeyText, float] = {}
        self._heap: list[tuple[float, KeyText]] = []

    def __len__(self):
        return len(self._counts)

    def add(self, key: KeyText, now: Instant) -> None:
        """Count one request for `key`."""
        if self._decay.needs_rescale(now):
            self._rescale(now)
        weight = self._decay.weight(now)
        count = self._counts.get(key)
        if count is not None:
            # The heap keeps the old count until `_evict` finds it at the top.
            self._counts[key] = count + weight
            return
        min_count = 0.0
        if len(self._counts) >= self._capacity:
            min_count = self._evict()
        self._counts[key] = min_count + weight
        self._errors[key] = min_count
        heapq.heappush(self._heap, (min_count + weight, key))

    def top(self, count: int, now: Instant) -> tuple[HotKey, ...]:
        """Return the `count` most used keys, most used first."""
        scale = self._decay.per_second() / self._decay.weight(now)
        keys = heapq.nlargest(count, self._counts, key=self._counts.__getitem__)
        return tuple(
            HotKey(
                key=key,
                rate=self._counts[key] * scale,
                min_rate=(self._counts[key] - self._errors[key]) * scale,
            )
            for key in keys
        )

    def _evict(self):
        """Remove the least used key and return its count."""
        while True:
            count, key = self._heap[0]
            actual = self._counts[key]
            if actual == count:
                heapq.heappop(self._heap)
                del self._counts[key], self._errors[key]
                return count
            heapq.heapreplace(self._heap, (actual, key))

    def _rescale(self, now):
        factor = self._decay.rescale(now)
        self._counts = {key: count * factor for key, count in self._counts.items()}
        self._errors = {key: count * factor for key, count in self._errors.items()}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)
