"""Metrics that are read now and then, because no single request makes them."""

from persimmonspoke.daemon.control import ControlPlane
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.observe.statsd_metrics import StatsdMetrics
from persimmonspoke.internal.ownership.page import Assignment, PageKey

PERIOD_S = 10.0


class Figures:
    """The task that reports the control plane's figures.

    Summed over all hosts they are the fleet's: a page has one keeper, and a service
    one host that plans for it.
    """

    def __init__(self, control: ControlPlane, metrics: StatsdMetrics, clock: Clock):
        self._control = control
        self._metrics = metrics
        self._clock = clock
        self._counted: dict[str, int] = {}
        self._owners: dict[PageKey, tuple[Assignment, ...]] = {}

    def run(self) -> None:
        """Report for as long as the task lives."""
        while True:
            self.report()
            self._clock.sleep_until(Instant(self._clock.now() + PERIOD_S))

    def report(self) -> None:
        """Report once."""
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
        """Report the growth of a total since the last time."""
        self._metrics.incr(name, total - self._counted.get(name, 0))
        self._counted[name] = total

    def _moves(self, pages):
        """Return how many shards of the kept pages changed owner since last time."""
        before, self._owners = self._owners, {}
        moves = 0
        for kept in pages:
            now = kept.page.assignments
            self._owners[kept.page.key] = now
            known = before.get(kept.page.key, now)
            moves += sum(
                one.owner != other.owner for one, other in zip(known, now, strict=True)
            )
        return moves
