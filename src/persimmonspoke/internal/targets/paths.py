"""Whether this host's paths to the targets are cut.

A connection that fails does not show whether the target has ended or this host's path
to it is cut.  If this host can connect to no target at all, its paths are cut: what it
sees then says nothing about the targets, and another host may still reach them.
"""

import logging
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Annotated

from eventlet.event import Event
from eventlet.greenpool import GreenPool
from pydantic import BaseModel, ConfigDict, Field

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets.api import TargetAddress

RUN_PERIOD_S = 0.1  # how often `TargetPaths.run` looks whether a check is due
LONG_AGO = Instant(float("-inf"))

Seconds = Annotated[float, Field(gt=0)]

log = logging.getLogger(__name__)


class PathSettings(BaseModel):
    """When the paths to the targets are checked.

    Attributes
    ----------
    connect_s : float
        Timeout of one connection of a check.
    more_targets : int
        Number of further targets that are tried if the first one can't be reached.
    pause_s : float
        Shortest time from one check to the next.
    quiet_s : float
        The paths are checked if requests or orders are in flight and no target has
        answered any for so long.
    recheck_s : float
        How often the paths are checked while they are cut.
    idle_s : float
        How often they are checked while no target answers anything, as when there are
        no requests.
    hosts_per_idle : int
        Number of hosts above which the paths are checked less often while idle.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    connect_s: Seconds = 0.2
    more_targets: Annotated[int, Field(ge=1)] = 3
    pause_s: Seconds = 0.05
    quiet_s: Seconds = 0.3
    recheck_s: Seconds = 0.25
    idle_s: Seconds = 1.0
    hosts_per_idle: Annotated[int, Field(ge=1)] = 20


class TargetPaths:
    """This host's paths to all targets.

    Parameters
    ----------
    targets : callable
        Returns the addresses of all targets that should accept connections.
    connects : callable
        Returns whether a target accepts a connection within a timeout, in seconds.
    host_count : callable
        Returns the number of live hosts.

    Attributes
    ----------
    cut_since : Instant or None
        When a check found first that this host reaches no target; None if it reaches
        one.
    checks : int
        Number of checks so far.
    on_change : list of callable
        Called when `cut_since` has changed to None or to an instant.
    """

    def __init__(
        self,
        cfg: PathSettings,
        clock: Clock,
        targets: Callable[[], Sequence[TargetAddress]],
        connects: Callable[[TargetAddress, float], bool],
        host_count: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._targets = targets
        self._connects = connects
        self._host_count = host_count
        self._rng = rng or random.Random()
        self._waiting = 0
        self._waiting_since = LONG_AGO
        self._answered_at = clock.now()
        self._begun_at = LONG_AGO
        self._evidence_at = LONG_AGO  # beginning of the last check that has ended
        self._checked_at = LONG_AGO
        self._running: Event | None = None
        self.cut_since: Instant | None = None
        self.checks = 0
        self.on_change: list[Callable[[], None]] = []

    @property
    def is_cut(self) -> bool:
        """Return whether this host reaches no target, as far as it knows."""
        return self.cut_since is not None

    @property
    def quiet_s(self) -> float:
        """Return the time since a target last answered this host anything."""
        return self._clock.now() - self._answered_at

    def record_answer(self) -> None:
        """Record that a target has just answered a request or an order."""
        self._answered_at = self._clock.now()

    @contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count one request or order as in flight for as long as the context lasts."""
        if not self._waiting:
            self._waiting_since = self._clock.now()
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1

    def run(self) -> None:
        """Check the paths when it is due, until the task is killed."""
        while True:
            self._clock.sleep_until(Instant(self._clock.now() + RUN_PERIOD_S))
            if self._running is None and self._is_due(self._clock.now()):
                self._run_check()

    def check(self) -> bool:
        """Return whether the paths are cut, by a check that begins no earlier than now.

        Several tasks may share one check.
        """
        since = self._clock.now()
        while not self.is_cut and self._evidence_at < since:
            if self._running is not None:
                self._running.wait()
            else:
                self._run_check()
        return self.is_cut

    def _run_check(self):
        self._running = running = Event()
        try:
            begin_at = Instant(self._begun_at + self._cfg.pause_s)
            if begin_at > self._clock.now():
                self._clock.sleep_until(begin_at)
            self._begun_at = self._clock.now()
            self._check()
            self._evidence_at = self._begun_at
        finally:
            self._checked_at = self._clock.now()
            self._running = None
            running.send(None)

    def _is_due(self, now):
        since_check_s = now - self._checked_at
        if self.is_cut:
            return since_check_s >= self._cfg.recheck_s
        if self._waiting:
            quiet_s = now - max(self._answered_at, self._waiting_since)
            return min(quiet_s, since_check_s) >= self._cfg.quiet_s
        hosts = max(1.0, self._host_count() / self._cfg.hosts_per_idle)
        idle_s = now - max(self._answered_at, self._checked_at)
        return idle_s >= self._cfg.idle_s * hosts

    def _check(self):
        targets = list(self._targets())
        if not targets:
            return
        self.checks += 1
        self._rng.shuffle(targets)
        first, more = targets[0], targets[1 : 1 + self._cfg.more_targets]
        reached = first if self._connects(first, self._cfg.connect_s) else None
        if reached is None:
            reached = self._first_reached(more)
        tried = [target.target_id for target in (first, *more)]
        self._record(reached, tried)

    def _first_reached(self, targets) -> TargetAddress | None:
        """Connect to all of `targets` at once; return one that was reached, if any."""
        pool = GreenPool(max(1, len(targets)))

        def try_one(target):
            return target if self._connects(target, self._cfg.connect_s) else None

        return next(filter(None, list(pool.imap(try_one, targets))), None)

    def _record(self, reached, tried):
        """Apply the outcome of a check; log it if it changes anything."""
        now = self._clock.now()
        if (reached is None) == self.is_cut:
            return
        if reached is None:
            self.cut_since = now
            log.warning(
                "paths: cut, no target accepts connections of this host",
                extra={"tried": tried, "last_answer_age_s": round(self.quiet_s, 3)},
            )
        else:
            cut_s = now - self.cut_since
            self.cut_since = None
            log.info(
                "paths: restored",
                extra={"target": reached.target_id, "cut_s": round(cut_s, 3)},
            )
        for notify in self.on_change:
            notify()


def always_open(clock: Clock) -> TargetPaths:
    """Return paths that are never cut, for programs that do not check them."""
    return TargetPaths(PathSettings(), clock, tuple, lambda target, timeout_s: True)
