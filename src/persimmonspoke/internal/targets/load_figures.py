"""The load that targets name in their answers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets.notices import Incarnation, LoadFigures

FRESH_S = 1.0  # the figures change many times a second


@dataclass(frozen=True, slots=True)
class _Arrival:
    """The figures of one incarnation, and when they arrived."""

    incarnation: Incarnation
    figures: LoadFigures
    arrived_at: Instant


class TargetLoads:
    """The newest load figures of each target that have arrived at this host.

    Parameters
    ----------
    incarnation_of : callable
        Returns the present incarnation of a target; figures of an earlier one are
        ignored.
    """

    def __init__(self, clock: Clock, incarnation_of: Callable[[TargetId], Incarnation]):
        self._clock = clock
        self._incarnation_of = incarnation_of
        self._arrivals: dict[TargetId, _Arrival] = {}
        self.count = 0

    def record(self, incarnation: Incarnation, figures: LoadFigures) -> None:
        """Record the figures of an answer that has just arrived."""
        self.count += 1
        self._arrivals[incarnation.target_id] = _Arrival(
            incarnation, figures, self._clock.now()
        )

    def of(self, target_id: TargetId) -> LoadFigures | None:
        """Return a target's newest figures; None once they are older than a second."""
        found = self.with_age_s(target_id)
        return None if found is None else found[0]

    def with_age_s(self, target_id: TargetId) -> tuple[LoadFigures, float] | None:
        """Return a target's newest figures and their age; None as for `of`."""
        arrival = self._arrivals.get(target_id)
        if arrival is None:
            return None
        age_s = self._clock.now() - arrival.arrived_at
        if age_s > FRESH_S or arrival.incarnation != self._incarnation_of(target_id):
            return None
        return arrival.figures, age_s

    def slowed_count(self) -> int:
        """Return how many targets say at this moment that their machine is slowed."""
        fresh = [figures for t in self._arrivals if (figures := self.of(t)) is not None]
        return sum((figures.slowness or 1.0) > 1.0 for figures in fresh)

    def retain(self, target_ids: Iterable[TargetId]) -> None:
        """Forget all targets but these."""
        kept = set(target_ids)
        self._arrivals = {t: a for t, a in self._arrivals.items() if t in kept}
