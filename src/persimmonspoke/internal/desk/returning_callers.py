"""Callers that come back to a desk after it has refused their request."""

from collections import deque

from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.desk.messages import Ask

# Tolerance of the recognition: less than a caller needs for a new connection, and more
# than most first tries differ by.
MIN_SPENT_S = 0.01
# Share of the time left for which callers honour a `Retry-After`.
HONOURED_SHARE = 1 / 3
MIN_RETRY_S = 0.03  # a shorter pause costs a connection and gains nothing


class FirstTries:
    """How much time requests of each kind have at their first try.

    Callers of a route begin with the same objective.  A request with less time until it
    has spent that time, in most cases before a refusal by any host.
    """

    def __init__(self):
        self._objective_s: dict[str, float] = {}

    def record(self, ask: Ask) -> None:
        """Record the time that a request has until its objective."""
        known_s = self._objective_s.get(ask.kind, ask.objective_left_s)
        self._objective_s[ask.kind] = max(known_s, ask.objective_left_s)

    def has_come_back(self, ask: Ask) -> bool:
        """Return whether a request of a recorded kind is not a first try."""
        spent_s = self._objective_s[ask.kind] - ask.objective_left_s
        return spent_s > MIN_SPENT_S


class Promises:
    """When refused requests were told to come back, and the capacity kept for them.

    Capacity is kept until the request should be back; it is then known or has given up.
    The owner is the target that owns the requested key, or None.
    """

    def __init__(self):
        self._last_return_at: dict[TargetId | None, Instant] = {}
        self._reserved: dict[
            TargetId | None, dict[int, deque[tuple[Instant, float]]]
        ] = {}

    def return_at(
        self, owner: TargetId | None, earliest: Instant, latest: Instant, pause_s: float
    ) -> Instant:
        """Return when a request should come back.

        Requests come back in the order of their refusals, at the rate of the targets.

        Parameters
        ----------
        latest : Instant
            A caller that is told a later instant comes back by itself.
        pause_s : float
            Time that the targets need for one request.
        """
        previous = self._last_return_at.get(owner, earliest - pause_s)
        found = Instant(max(earliest, min(previous + pause_s, latest)))
        self._last_return_at[owner] = found
        return found

    def reserve(
        self, owner: TargetId | None, rank: int, return_at: Instant, work_s: float
    ) -> None:
        """Keep capacity for a request that can still be in time when it comes back.

        Parameters
        ----------
        work_s : float
            Typical answer time of the request.
        """
        by_rank = self._reserved.setdefault(owner, {})
        by_rank.setdefault(rank, deque()).append((return_at, work_s))

    def work_until(
        self, owner: TargetId | None, rank: int, now: Instant, until: Instant
    ) -> float:
        """Return the reserved work of requests that come back from `now` to `until`.

        Requests of less urgent ranks than `rank` are served later, and not counted.
        """
        work_s = 0.0
        for other, reserved in self._reserved.get(owner, {}).items():
            while reserved and reserved[0][0] < now:
                reserved.popleft()
            if other <= rank:
                work_s += sum(
                    reserved_s
                    for return_at, reserved_s in reserved
                    if return_at <= until
                )
        return work_s


def latest_return_s(left_s: float, service_s: float) -> float:
    """Return the longest pause after which a caller comes back and can be served.

    Parameters
    ----------
    left_s : float
        Time until the request's deadline.
    service_s : float
        Typical time from its start to its answer.
    """
    return max(MIN_RETRY_S, min(HONOURED_SHARE * left_s, left_s - 2 * service_s))
