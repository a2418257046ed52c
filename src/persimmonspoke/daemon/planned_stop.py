"""The stages of a host that is stopped as planned, by SIGTERM."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import eventlet

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02
FINISH_S = 1.0  # the part of the grace period in which nothing is admitted
EXIT_MARGIN_S = 0.4  # the part kept for the exit, and for timers that come late


class StopStage(Enum):
    """A stage of the process; each follows the one before it, and none is skipped."""

    SERVING = "serving"
    UNREADY = "unready"
    """The balancer is about to notice; all requests are admitted."""
    CLOSING = "closing"
    """Connections are accepted; requests that end in time are admitted."""
    FINISHING = "finishing"
    """Nothing is admitted, and what waits here is refused; connections are closed, the
    last answers are delivered."""
    ENDED = "ended"


_NEXT = dict(zip(list(StopStage)[:-1], list(StopStage)[1:], strict=True))


@dataclass(frozen=True, slots=True)
class StopDeadlines:
    """When the stages begin at the latest.

    Attributes
    ----------
    closing_at : Instant
        When the balancer has noticed that this host is not ready.
    finishing_at : Instant
        When the last request that is admitted late has ended.
    ended_at : Instant
        When the process ends, whether or not requests are in flight.
    """

    closing_at: Instant
    finishing_at: Instant
    ended_at: Instant

    @classmethod
    def after(
        cls, signal_at: Instant, linger_s: float, grace_s: float
    ) -> "StopDeadlines":
        """Return the deadlines of a stop by a signal.

        Parameters
        ----------
        linger_s : float
            How long the balancer takes to notice that this host is not ready.
        grace_s : float
            How long after the signal the process is killed.
        """
        finishing_at = signal_at + max(0.0, grace_s - FINISH_S)
        ended_at = max(finishing_at, signal_at + grace_s - EXIT_MARGIN_S)
        closing_at = min(signal_at + linger_s, finishing_at)
        return cls(Instant(closing_at), Instant(finishing_at), Instant(ended_at))


class Requests(Protocol):
    """Callers' requests in flight; see `callers.app.CallerApp`."""

    def refuse_waiting(self) -> None:
        """Refuse those that neither a target nor another host has."""

    def log_cut_requests(self, reason: str) -> int:
        """Log each request in flight as broken off; return their number."""


class Connections(Protocol):
    """Callers' connections; see `callers.server.CallerServer`."""

    def open_connections(self) -> int:
        """Return the number of connections."""

    def close_listener(self) -> None:
        """Accept no connection any more."""

    def close_unused(self) -> None:
        """Close the connections on which nothing has arrived."""


class PlannedStop:
    """The stages of one process, from its start to its end.

    Parameters
    ----------
    requests, connections : sequences
        All requests and connections of callers and of other hosts.
    finish : callable
        Takes leave of the other hosts, until an instant.  It runs in a task of its own
        beside the last answers; the process waits for it, until its deadline.

    Attributes
    ----------
    stage : StopStage
        The present stage.
    deadlines : StopDeadlines or None
        None while the process serves.
    cut_count : int
        Number of requests that the end of the process broke off.
    """

    def __init__(
        self,
        gate: HostGate,
        clock: Clock,
        requests: Sequence[Requests],
        connections: Sequence[Connections],
        finish: Callable[[Instant], None],
    ):
        self._gate = gate
        self._clock = clock
        self._requests = requests
        self._connections = connections
        self._finish = finish
        self._finish_task = None
        self.stage = StopStage.SERVING
        self.deadlines: StopDeadlines | None = None
        self.cut_count = 0

    def run(self, deadlines: StopDeadlines) -> None:
        """Go through all stages; return at once if the stop has begun already."""
        if self.stage is not StopStage.SERVING:
            return
        self.deadlines = deadlines
        while self.stage is not StopStage.ENDED:
            # A process that was stalled past several deadlines goes through the stages
            # between them too, with time for its other tasks in each.
            if self._is_next_due():
                self._enter(_NEXT[self.stage])
            if self.stage is StopStage.FINISHING:
                for requests in self._requests:
                    requests.refuse_waiting()
                for connections in self._connections:
                    connections.close_unused()
            if self.stage is not StopStage.ENDED:
                self._clock.sleep_until(Instant(self._clock.now() + POLL_INTERVAL_S))

    def _is_next_due(self):
        now = self._clock.now()
        match self.stage:
            case StopStage.SERVING:
                return True
            case StopStage.UNREADY:
                return now >= self.deadlines.closing_at
            case StopStage.CLOSING:
                return now >= self.deadlines.finishing_at or not self._gate.in_flight
            case StopStage.FINISHING:
                return now >= self.deadlines.ended_at or self._is_finished()

    def _is_finished(self):
        return (
            not self._gate.in_flight
            and not self._open_connections()
            and self._finish_task.dead
        )

    def _enter(self, stage):
        self.stage = stage
        fields = {
            "stage": stage.value,
            "in_hand": self._gate.in_flight,
            "connections": self._open_connections(),
            "left_s": round(self.deadlines.ended_at - self._clock.now(), 3),
        }
        match stage:
            case StopStage.UNREADY:
                # By the clock, since this task may run late.
                self._gate.late_from = self.deadlines.closing_at
                self._gate.ends_at = self.deadlines.finishing_at
                self._gate.leaving = True
            case StopStage.FINISHING:
                self._gate.stopping = True
                for connections in self._connections:
                    connections.close_listener()
                self._finish_task = eventlet.spawn(
                    self._finish, self.deadlines.ended_at
                )
            case StopStage.ENDED:
                self.cut_count = self._log_cut_requests()
                fields |= {"empty": not self._gate.in_flight, "cut": self.cut_count}
                log.info("daemon: stopped", extra=fields)
                return
        log.info("daemon: stopping", extra=fields)

    def _log_cut_requests(self):
        reason = "the process ended"
        return sum(requests.log_cut_requests(reason) for requests in self._requests)

    def _open_connections(self):
        return sum(each.open_connections() for each in self._connections)
