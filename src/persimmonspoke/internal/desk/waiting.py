"""A request in a desk's queue, and which requests may wait there."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.desk.messages import Ask
from persimmonspoke.internal.desk.settings import DeskSettings

LEAST_CHANCE = 0.5  # of a usual answer; in less time hardly any answer comes


@dataclass(slots=True, eq=False)
class Waiting:
    """A request in a queue of the desk.

    Attributes
    ----------
    late : bool
        Whether it misses its objective even if it starts at once.
    """

    ask: Ask
    asked_at: Instant
    objective: Instant
    deadline: Instant
    late: bool

    @property
    def name(self) -> tuple[HostId, int]:
        """Return what names the request among those of all hosts."""
        return self.ask.host, self.ask.serial

    def turn(self) -> tuple[int, bool, Instant]:
        """Return what the queue is sorted by: rank, then the nearest objective.

        What is late already goes behind what can still be in time.
        """
        return self.ask.rank, self.late, self.objective


def may_wait(
    cfg: DeskSettings, entry: Waiting, wait_s: float | None, service_s: float
) -> bool:
    """Return whether a request is expected to be answered in time.

    Parameters
    ----------
    wait_s : float or None
        Expected wait; None if nobody can tell.
    service_s : float
        How long a usual answer takes then.
    """
    if wait_s is None or entry.ask.left_s < LEAST_CHANCE * service_s:
        return False
    if wait_s <= 0:
        return True
    if entry.late:
        # It goes where there is room, and takes nobody's chance.
        in_time = wait_s + service_s <= entry.ask.left_s
        return in_time and wait_s <= cfg.late_wait_s
    left_s = entry.ask.objective_left_s
    # Without a short queue slots would idle between two requests.
    short_s = min(cfg.short_queue * service_s, left_s - service_s)
    return wait_s <= max(left_s - cfg.long_factor * service_s, short_s)
