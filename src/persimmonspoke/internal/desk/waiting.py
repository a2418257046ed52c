"""A request in a desk's queue, and the rule that decides which requests may wait."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.desk.messages import Ask
from persimmonspoke.internal.desk.settings import DeskSettings

# Share of the typical service time; hardly any answer arrives in less time.
MIN_SERVICE_SHARE = 0.5


@dataclass(slots=True, eq=False)
class WaitingRequest:
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
    def identity(self) -> tuple[HostId, int]:
        """Return the host and serial, which identify the request at the desk."""
        return self.ask.host, self.ask.serial

    def sort_key(self) -> tuple[int, bool, Instant]:
        """Return the sort key of the queue: rank, lateness, then objective.

        Within a rank, late requests come after those that can still meet their
        objective.
        """
        return self.ask.rank, self.late, self.objective


def may_wait(
    cfg: DeskSettings, entry: WaitingRequest, wait_s: float | None, service_s: float
) -> bool:
    """Return whether a request may wait: it is expected to be answered in time.

    Parameters
    ----------
    wait_s : float or None
        Expected wait for a slot; None if no target is usable.
    service_s : float
        Typical time from the start of the request to its answer.
    """
    if wait_s is None or entry.ask.left_s < MIN_SERVICE_SHARE * service_s:
        return False
    if wait_s <= 0:
        return True
    if entry.late:
        # A late request joins short queues only, so that it doesn't delay requests
        # that can still meet their objective.
        in_time = wait_s + service_s <= entry.ask.left_s
        return in_time and wait_s <= cfg.late_wait_s
    left_s = entry.ask.objective_left_s
    # Without a short queue, slots would be idle between two requests.
    short_s = min(cfg.short_queue * service_s, left_s - service_s)
    return wait_s <= max(left_s - cfg.long_factor * service_s, short_s)
