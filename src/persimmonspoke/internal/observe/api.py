"""What the other packages need of the metrics."""

from typing import Protocol


class Metrics(Protocol):
    """Counters and timings; a call never fails and never waits."""

    def incr(self, name: str) -> None:
        """Add one to a counter."""

    def timing(self, name: str, ms: float) -> None:
        """Take in one duration, in milliseconds."""


class NoMetrics:
    """Metrics that nobody reads."""

    def incr(self, name: str) -> None:
        """Add one to a counter."""

    def timing(self, name: str, ms: float) -> None:
        """Take in one duration, in milliseconds."""
