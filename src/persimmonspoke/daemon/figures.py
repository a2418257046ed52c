"""Metrics of the control plane, reported periodically, not per request."""

from persimmonspoke.daemon.control import ControlPlane
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.statsd_metrics import StatsdMetrics
from persimmonspoke.internal.ownership.page import Assignment, PageKey

REPORT_INTERVAL_S = 10.0


class PeriodicMetrics:
    """The task that reports the metrics of the control plane.

    Their sums over all hosts are the totals of the fleet, because each page has one
    keeper and each service has one host that plans its placement.
    """

    def __init__(self, control: ControlPlane, metrics: StatsdMetrics, clock: Clock):
        self._control = control
        self._metrics = metrics
        self._clock = clock
        self._reported_totals: dict[str, int] = {}
        self._last_assignments: dict[PageKey, tuple[Assignment, ...]] = {}

    def run(self) -> None:
        """Report periodically, forever."""
        while True:
            self.report()
            self._clock.sleep_until(Instant(self._clock.now() + REPORT_INTERVAL_S))

    def report(self) -> None:
        """Report all metrics once."""
        control = self._control
        self._count("store.calls", control.store.calls)
        self._count("peers.bytes_sent", control.link.bytes_sent)
        self._count("peers.bytes_received", control.link.bytes_received)
        pages = control.node.keeper.open_pages()
        self._metrics.gauge("keeper.pages", len(pages))
        self._metrics.incr("keeper.moves", self._moves(pages))
        for (team, service), value in control.node.balancer.imbalance().items():
            self._metrics.gauge(f"balance.{team}.{service}", round(value, 3))

    def _count(self, name, total):
        """Add the growth of `total` since the last report to a counter."""
        self._metrics.incr(name, total - self._reported_totals.get(name, 0))
        self._reported_totals[name] = total

    def _moves(self, pages):
        """Return how many shards of this host's pages changed owner since last time."""
        previous_assignments, self._last_assignments = self._last_assignments, {}
        moves = 0
        for kept in pages:
            now = kept.page.assignments
            self._last_assignments[kept.page.key] = now
            previous = previous_assignments.get(kept.page.key, now)
            moves += sum(
                old.owner != new.owner for old, new in zip(previous, now, strict=True)
            )
        return moves
