"""Why a desk refuses requests, and how many it has refused."""

from collections import Counter
from enum import Enum

from persimmonspoke.internal.desk.waiting import WaitingRequest


class RefusalReason(Enum):
    """Why a desk refused a request."""

    NO_TARGET = "no_target"  # no usable target
    NO_TIME = "no_time"  # the caller leaves before any answer
    NOT_IN_TIME = "not_in_time"  # a first try that would miss its objective
    NO_ROOM = "no_room"  # came back, and too many wait already
    EXPIRED = "expired"  # its time passed while it waited


class RefusalCounts:
    """Counts refusals by rank, reason, and whether the request had come back.

    Attributes
    ----------
    total, returned : int
        All refusals, and those of requests that had come back after a refusal.
    """

    def __init__(self):
        self.total = 0
        self.returned = 0
        self._counts: Counter[tuple[int, RefusalReason, bool]] = Counter()

    def count(self, entry: WaitingRequest, reason: RefusalReason) -> None:
        """Count one refusal."""
        self.total += 1
        self.returned += entry.returned
        self._counts[entry.ask.rank, reason, entry.returned] += 1

    def take(self) -> dict[str, int]:
        """Return the counts since the last call, by a text for the log."""
        taken = {
            f"rank {rank} {reason.value}{' returned' if returned else ''}": count
            for (rank, reason, returned), count in sorted(
                self._counts.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        }
        self._counts.clear()
        return taken
