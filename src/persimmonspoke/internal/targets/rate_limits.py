"""The rate limits that targets name in their answers."""

import logging
import math
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.clock import Clock

UNLIMITED = math.inf
LONG_AGO = Instant(-math.inf)
MIN_LIMIT_PER_S = 0.25  # without any request, the end of a limit would go unnoticed

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Statement:
    """What a target said of its limit, and when."""

    limit_per_s: float
    said_at: Instant


class RateLimits:
    """The newest rate limit of each target that this host knows.

    A limit holds for the requests of all hosts together, until the target answers
    without naming one.  A target that has never named one is unlimited.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._statements: dict[TargetId, _Statement] = {}

    def of(self, target_id: TargetId) -> float:
        """Return the requests a second that a target takes, or `UNLIMITED`."""
        statement = self._statements.get(target_id)
        return UNLIMITED if statement is None else statement.limit_per_s

    def record(
        self, target_id: TargetId, limit_per_s: float, source: str, age_s: float = 0.0
    ) -> None:
        """Record what a target said, unless a newer statement of it is known.

        Parameters
        ----------
        limit_per_s : float
            `UNLIMITED` if the target answered without naming a limit.
        source : str
            Where the statement comes from: ``answer``, or the host that passed it on.
        age_s : float
            Time since the target said it.
        """
        limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        before = self._statements.get(target_id)
        if before is None and limit_per_s == UNLIMITED:
            return
        said_at = Instant(self._clock.now() - age_s)
        if before is not None and said_at < before.said_at:
            return
        self._statements[target_id] = _Statement(limit_per_s, said_at)
        before_per_s = UNLIMITED if before is None else before.limit_per_s
        if limit_per_s != before_per_s:
            log.info(
                "targets: rate limit changed",
                extra={
                    "target": target_id,
                    "limit_per_s": _loggable(limit_per_s),
                    "before_per_s": _loggable(before_per_s),
                    "source": source,
                    "age_s": round(age_s, 3),
                },
            )

    def has_named(self, target_id: TargetId, since: Instant = LONG_AGO) -> bool:
        """Return whether a target has named a limit, and last spoke of it `since`."""
        statement = self._statements.get(target_id)
        return statement is not None and statement.said_at >= since

    def statements(
        self, target_ids: Iterable[TargetId]
    ) -> list[tuple[TargetId, float, float]]:
        """Return the limit that each target named last, and the time since then.

        Targets that have never named one are left out.
        """
        now = self._clock.now()
        return [
            (target_id, statement.limit_per_s, now - statement.said_at)
            for target_id in target_ids
            if (statement := self._statements.get(target_id)) is not None
        ]

    def limited_count(self) -> int:
        """Return the number of targets that name a limit at present."""
        return sum(s.limit_per_s < UNLIMITED for s in self._statements.values())

    def retain(self, target_ids: Iterable[TargetId]) -> None:
        """Forget all targets but these."""
        kept = set(target_ids)
        self._statements = {t: s for t, s in self._statements.items() if t in kept}


def _loggable(limit_per_s):
    """Return a limit as a value that JSON has; None if it is `UNLIMITED`."""
    return None if limit_per_s == UNLIMITED else round(limit_per_s, 3)
