"""The interface through which the other packages report metrics."""

from typing import Protocol


class Metrics(Protocol):
    """Counters and timings; calls never raise and never block."""

    def incr(self, name: str) -> None:
        """Add 1 to a counter."""

    def timing(self, name: str, ms: float) -> None:
        """Record one duration, in milliseconds."""


class NoMetrics:
    """Metrics that are discarded."""

    def incr(self, name: str) -> None:
        """Add 1 to a counter."""

    def timing(self, name: str, ms: float) -> None:
        """Record one duration, in milliseconds."""
