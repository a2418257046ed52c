"""What targets say of themselves in their answers, besides answering.

A notice belongs to one incarnation of a target: one that starts again under the same id
or at the same address is free of it.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from persimmonspoke.ids import TargetId

MAX_REMEMBERED = 512  # notices that can't be read, each of which is logged once
MAX_LOGGED_CHARS = 80

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    Attributes
    ----------
    born_ms : int or None
        When it started, in Unix milliseconds by its own clock; None if unknown.
    """

    target_id: TargetId
    born_ms: int | None


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """What a target says of its load in one answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in progress and waiting at the target, from all hosts, and how many it
        works on at a time.
    slowness : float or None
        How long work takes on its machine at this moment, 1.0 = as usual; None if the
        target does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class TargetNotices:
    """Receives the notices in the answers that this host gets.

    Parameters
    ----------
    incarnation_of : callable
        Returns the present incarnation of a target.

    Attributes
    ----------
    on_leaving : callable
        Called with each incarnation whose answer says that it is leaving.
    on_rest : callable
        Called with each incarnation that turns a request of this host away and wants
        nothing from it for some time, and with that time in seconds.
    on_warmup : callable
        Called with each incarnation whose answer says for how long it stays cold, and
        with that time in seconds, which may be 0.
    on_load : callable
        Called with each incarnation whose answer has load figures, and with these.
    """

    def __init__(self, incarnation_of: Callable[[TargetId], Incarnation]):
        self.incarnation_of = incarnation_of
        self.on_leaving: Callable[[Incarnation], None] = lambda incarnation: None
        self.on_rest: Callable[[Incarnation, float], None] = lambda incarnation, s: None
        self.on_warmup: Callable[[Incarnation, float], None] = lambda incarnation, s: (
            None
        )
        self.on_load: Callable[[Incarnation, LoadFigures], None] = (
            lambda incarnation, figures: None
        )
        self._unreadable: set[tuple[Incarnation, str]] = set()

    def record_unreadable(self, incarnation: Incarnation, name: str, text: str) -> None:
        """Log, once for each incarnation, that a notice can't be read."""
        if (incarnation, name) in self._unreadable:
            return
        if len(self._unreadable) >= MAX_REMEMBERED:
            self._unreadable.clear()
        self._unreadable.add((incarnation, name))
        log.warning(
            "targets: notice can't be read and is ignored",
            extra={
                "target": incarnation.target_id,
                "born_ms": incarnation.born_ms,
                "field": name,
                "value": text[:MAX_LOGGED_CHARS],
            },
        )


def no_notices() -> TargetNotices:
    """Return a receiver that ignores all notices."""
    return TargetNotices(lambda target_id: Incarnation(target_id, None))
