"""Targets that have asked this host for a rest.

A target that turns a request away may say for how long it wants nothing from the host
that sent it.  Other hosts are not meant: they may still be served.
"""

import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets.notices import Incarnation

MAX_REST_S = 300.0  # a longer rest is rather a mistake of the target
MAX_SPREAD_S = 1.0  # of the return of callers that were refused
MIN_SPREAD_S = 0.2

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Rest:
    """Until when one incarnation of a target rests."""

    incarnation: Incarnation
    until: Instant


class TargetRests:
    """The rests that targets have asked this host for.

    Parameters
    ----------
    incarnation_of : callable
        Returns the present incarnation of a target; a later one does not rest.
    """

    def __init__(
        self,
        clock: Clock,
        incarnation_of: Callable[[TargetId], Incarnation],
        rng: random.Random | None = None,
    ):
        self._clock = clock
        self._incarnation_of = incarnation_of
        self._rng = rng or random.Random()
        self._rests: dict[TargetId, _Rest] = {}

    def record(self, incarnation: Incarnation, rest_s: float) -> None:
        """Record that a target wants nothing from this host for `rest_s`."""
        believed_s = min(rest_s, MAX_REST_S)
        until = Instant(self._clock.now() + believed_s)
        known = self._rests.get(incarnation.target_id)
        if (
            known is not None
            and known.incarnation == incarnation
            and known.until >= until
        ):
            return
        self._rests[incarnation.target_id] = _Rest(incarnation, until)
        log.info(
            "targets: rest begins",
            extra={
                "target": incarnation.target_id,
                "born_ms": incarnation.born_ms,
                "asked_s": rest_s,
                "believed_s": believed_s,
            },
        )

    def left_s(self, target_id: TargetId) -> float:
        """Return how long a target still rests; 0 if it does not."""
        rest = self._rests.get(target_id)
        if rest is None:
            return 0.0
        left_s = rest.until - self._clock.now()
        if left_s <= 0 or rest.incarnation != self._incarnation_of(target_id):
            del self._rests[target_id]
            return 0.0
        return left_s

    def may_send(self, target_id: TargetId) -> bool:
        """Return whether a target does not rest now."""
        return self.left_s(target_id) == 0.0

    def resting(self) -> list[TargetId]:
        """Return the targets that rest now."""
        return [t for t in list(self._rests) if self.left_s(t) > 0]

    def retry_after_s(self, target_ids: Iterable[TargetId]) -> float | None:
        """Return when to come back if all of these targets rest; None if any does not.

        It is a random time after the end of the first rest, so that refused callers
        do not return all at once.
        """
        shortest_s = min(map(self.left_s, target_ids), default=0.0)
        if shortest_s == 0.0:
            return None
        spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, shortest_s))
        return shortest_s + self._rng.uniform(0.0, spread_s)


def no_rests(clock: Clock) -> TargetRests:
    """Return rests that nothing is recorded in, for programs without them."""
    return TargetRests(clock, lambda target_id: Incarnation(target_id, None))
