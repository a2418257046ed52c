"""A request in a desk's queue."""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.desk.messages import Ask

# Share of the typical service time; hardly any answer arrives in less time.
MIN_SERVICE_SHARE = 0.5


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in a queue of the desk.

    Attributes
    ----------
    late : bool
        Whether it is not likely to meet its objective.
    returned : bool
        Whether it has come back after a refusal.
    """

    ask: Ask
    asked_at: Instant
    objective: Instant
    deadline: Instant
    late: bool
    returned: bool = False

    @property
    def identity(self) -> tuple[HostId, int]:
        """Return the host and serial, which identify the request at the desk."""
        return self.ask.host, self.ask.serial

    def sort_key(self) -> tuple[int, bool, Instant]:
        """Return the sort key of the queue: lateness, rank, then objective.

        Late requests of all ranks come after those that can still meet their objective.
        """
        return self.late, self.ask.rank, self.objective
