"""Sets of fencing tokens that may forget, because forgetting one is safe."""


class FenceSet:
    """A bounded set of fences, which forgets those that were added longest ago."""

    def __init__(self, limit: int):
        self._limit = limit
        self._fences: dict[int, None] = {}

    def __contains__(self, fence: int) -> bool:
        return fence in self._fences

    def add(self, fence: int) -> None:
        """Add a fence, or make it the newest again."""
        self._fences.pop(fence, None)
        self._fences[fence] = None
        if len(self._fences) > self._limit:
            del self._fences[next(iter(self._fences))]

    def discard(self, fence: int) -> None:
        """Remove a fence, if it is there."""
        self._fences.pop(fence, None)
