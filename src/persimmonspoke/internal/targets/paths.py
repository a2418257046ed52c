"""Which targets this host reaches, apart from whether the targets are well.

A connection that fails does not show whether the target has ended or this host's path
to it is cut.  If this host reaches less than half of the targets, its paths are cut:
what it sees then says nothing about the targets, and other hosts may reach them.
"""

import itertools
import logging
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Annotated

import eventlet
from eventlet.event import Event
from eventlet.greenpool import GreenPool
from pydantic import BaseModel, ConfigDict, Field

from persimmonspoke.ids import Instant, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.targets.api import TargetAddress

MAX_LOGGED = 8  # targets that one line names
MAX_REACHED_SHARE = 0.25  # of the tried targets; above it, the others are not judged
MIN_CUT = 2  # a single target that is lost has rather ended
MIN_PAUSE_S = 0.1  # between two looks of `TargetPaths.run` whether a check is due
LONG_AGO = Instant(float("-inf"))

Seconds = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]

log = logging.getLogger(__name__)


class PathSettings(BaseModel):
    """When the paths to the targets are checked.

    Attributes
    ----------
    connect_s : float
        Timeout of one connection of a check.
    sampled : int
        Number of targets that a check tries after a failure, of each service at least
        one; and `rechecked` more if most of them are not reached.
    pause_s : float
        Shortest time from one check to the next.
    quiet_s : float
        The path to a target is checked if a request or an order has been in flight to
        it, and it has answered nothing, for so long.
    again_s : float
        Shortest time between two such checks of one target that accepts connections.
    recheck_s, rechecked : float, int
        How often targets that were not reached are tried again, and how many at a time.
    idle_s : float
        How often the paths are checked while no target answers anything, as when there
        are no requests.
    hosts_per_idle : int
        Number of hosts above which the paths are checked less often while idle.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    connect_s: Seconds = 0.2
    sampled: Count = 5
    pause_s: Seconds = 0.05
    quiet_s: Seconds = 0.3
    again_s: Seconds = 1.0
    recheck_s: Seconds = 0.25
    rechecked: Count = 8
    idle_s: Seconds = 1.0
    hosts_per_idle: Count = 20


@dataclass(slots=True)
class _Flight:
    """The requests and orders that are in flight to one target.

    Attributes
    ----------
    quiet_since : Instant
        When the target last answered any, or the first of them was sent.
    check_at : Instant
        When the path to the target may be checked at the earliest.
    """

    target: TargetAddress
    count: int
    quiet_since: Instant
    check_at: Instant


class TargetPaths:
    """This host's paths to all targets.

    Parameters
    ----------
    targets : callable
        Returns the addresses of all targets that should accept connections, a list
        for each service.
    connects : callable
        Returns whether a target accepts a connection within a timeout, in seconds.
    host_count : callable
        Returns the number of live hosts.

    Attributes
    ----------
    lost : dict of TargetId to Instant
        Targets that this host did not reach when it last tried, and since when.  They
        may have ended, or the path to them is cut.  If few of those that a check tried
        were reached, all others count as lost until they have been tried.
    cut_since : Instant or None
        Since when most targets are lost; None if they are not.
    checks : int
        Number of checks so far.
    on_change : list of callable
        Called when targets have been lost or found.
    """

    def __init__(
        self,
        cfg: PathSettings,
        clock: Clock,
        targets: Callable[[], Iterable[Sequence[TargetAddress]]],
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
        self._flights: dict[TargetId, _Flight] = {}
        self._answered_at = clock.now()
        self._heard_at: dict[TargetId, Instant] = {}  # last answer of each target
        self._begun_at = LONG_AGO
        self._evidence_at = LONG_AGO  # beginning of the last check that has ended
        self._checked_at = LONG_AGO
        self._rechecked_at = LONG_AGO
        self._running: Event | None = None
        self.lost: dict[TargetId, Instant] = {}
        self.cut_since: Instant | None = None
        self.checks = 0
        self.on_change: list[Callable[[], None]] = []

    @property
    def is_cut(self) -> bool:
        """Return whether this host reaches less than half of the targets."""
        return self.cut_since is not None

    @property
    def quiet_s(self) -> float:
        """Return the time since a target last answered this host anything."""
        return self._clock.now() - self._answered_at

    def target_quiet_s(self, target_id: TargetId) -> float:
        """Return how long a target has answered none of what is in flight to it."""
        flight = self._flights.get(target_id)
        return 0.0 if flight is None else self._clock.now() - flight.quiet_since

    def reaches(self, target_id: TargetId) -> bool:
        """Return whether this host reaches a target, as far as it knows."""
        return target_id not in self.lost

    def record_answer(self, target_id: TargetId) -> None:
        """Record that a target has just answered a request or an order."""
        self._answered_at = self._heard_at[target_id] = self._clock.now()
        flight = self._flights.get(target_id)
        if flight is not None:
            flight.quiet_since = self._answered_at

    @contextmanager
    def in_flight(self, target: TargetAddress) -> Iterator[None]:
        """Count one request or order as in flight for as long as the context lasts."""
        flight = self._flights.get(target.target_id)
        if flight is None:
            flight = _Flight(target, 0, self._clock.now(), LONG_AGO)
            self._flights[target.target_id] = flight
        flight.count += 1
        try:
            yield
        finally:
            flight.count -= 1
            if not flight.count:
                del self._flights[target.target_id]

    def check_target(self, target: TargetAddress, refused: bool) -> bool:
        """Return whether this host reaches a target to which a connection has failed.

        Parameters
        ----------
        refused : bool
            Whether the connection was refused, which needs no second look.
        """
        if not self.reaches(target.target_id):
            return False
        begun_at = self._clock.now()
        if not refused and self._reached([target]):
            return True
        self.check()
        if self._has_answered(target, begun_at):
            return True
        self._update([], [target])
        return False

    def accepts(self, target: TargetAddress) -> bool:
        """Return whether a target accepts a connection now, or has just answered."""
        return bool(self._reached([target]))

    def check(self) -> bool:
        """Return whether the paths are cut, by a check that begins no earlier than now.

        Several tasks may share one check.
        """
        since = self._clock.now()
        while not self.is_cut and self._evidence_at < since:
            if self._running is not None:
                self._running.wait()
            else:
                self._run_check(self._check_some)
        return self.is_cut

    def run(self) -> None:
        """Check the paths when it is due, until the task is killed."""
        while True:
            self._clock.sleep_until(self._next_look_at())
            now = self._clock.now()
            if self._running is None and self._is_idle(now):
                self._run_check(self._check_one)
            for flight in list(self._flights.values()):
                self._check_quiet(flight, now)
            if self.lost and now - self._rechecked_at >= self._cfg.recheck_s:
                self._rechecked_at = now
                self._recheck_lost()

    def _next_look_at(self):
        """Return when a check may be due at the earliest.

        What is sent meanwhile is not quiet before then.
        """
        now = self._clock.now()
        due_at = now + min(self._cfg.quiet_s, self._cfg.recheck_s)
        for flight in self._flights.values():
            quiet_at = flight.quiet_since + self._cfg.quiet_s
            due_at = min(due_at, max(quiet_at, flight.check_at))
        return Instant(max(due_at, now + MIN_PAUSE_S))

    def _is_idle(self, now):
        """Return whether nothing has shown for long whether the paths are well."""
        hosts = max(1.0, self._host_count() / self._cfg.hosts_per_idle)
        idle_s = now - max(self._answered_at, self._checked_at)
        return not self.lost and idle_s >= self._cfg.idle_s * hosts

    def _check_quiet(self, flight, now):
        """Check the path to a target that is quiet, in a task."""
        quiet_s = now - flight.quiet_since
        if quiet_s >= self._cfg.quiet_s and now >= flight.check_at:
            flight.check_at = Instant(now + self._cfg.again_s)
            eventlet.spawn_n(self.check_target, flight.target, False)

    def _recheck_lost(self):
        """Try some of the lost targets; if all are reached, the others count as so."""
        known = self._known()
        names = [name for name in self.lost if name in known]
        tried = self._rng.sample(names, min(len(names), self._cfg.rechecked))
        reached = self._reached([known[name] for name in tried])
        if len(reached) == len(tried):
            reached = list(known.values())
        self._update(reached, [])

    def _run_check(self, check):
        self._running = running = Event()
        try:
            pause_s = self._begun_at + self._cfg.pause_s - self._clock.now()
            if pause_s > 0:
                eventlet.sleep(pause_s)
            self._begun_at = self._clock.now()
            check()
        finally:
            self._checked_at = self._clock.now()
            self._running = None
            running.send(None)

    def _check_one(self):
        """Try one target, and some more if it is not reached."""
        sample = self._sample()
        if sample and not self._connects(sample[0], self._cfg.connect_s):
            self._check_some()

    def _check_some(self):
        """Try some targets; if few are reached, the others count as lost, too."""
        self.checks += 1
        tried = self._sample()
        reached = self._reached(tried)
        if 2 * len(reached) < len(tried):
            others = [t for t in self._known().values() if t not in tried]
            more = self._rng.sample(others, min(len(others), self._cfg.rechecked))
            tried, reached = tried + more, reached + self._reached(more)
        failed = [target for target in tried if target not in reached]
        if len(reached) <= MAX_REACHED_SHARE * len(tried):
            failed = [
                target
                for target in self._known().values()
                if target not in reached
                and not self._has_answered(target, self._begun_at)
            ]
        self._update(reached, failed)
        self._evidence_at = self._begun_at

    def _sample(self) -> list[TargetAddress]:
        """Return some random targets, of each service at least one."""
        services = [list(service) for service in self._targets() if service]
        self._rng.shuffle(services)
        for service in services:
            self._rng.shuffle(service)
        per_round = itertools.zip_longest(*services)
        in_turn = [t for targets in per_round for t in targets if t is not None]
        return in_turn[: max(self._cfg.sampled, len(services))]

    def _reached(self, targets) -> list[TargetAddress]:
        """Connect to all of `targets` at once; return those that were reached.

        So were those that have answered meanwhile, over connections that were kept: a
        connection may also fail to open in time because this host's link is full.
        """
        begun_at = self._clock.now()
        pool = GreenPool(max(1, len(targets)))
        results = pool.imap(lambda t: self._connects(t, self._cfg.connect_s), targets)
        return [
            target
            for target, found in zip(targets, list(results), strict=True)
            if found or self._has_answered(target, begun_at)
        ]

    def _has_answered(self, target, since) -> bool:
        """Return whether a target has answered a request or an order since then."""
        return self._heard_at.get(target.target_id, LONG_AGO) > since

    def _known(self) -> dict[TargetId, TargetAddress]:
        return {t.target_id: t for service in self._targets() for t in service}

    def _update(self, reached, failed):
        """Apply what was found out about some targets; log what has changed."""
        now = self._clock.now()
        known = self._known()
        self._heard_at = {t: at for t, at in self._heard_at.items() if t in known}
        before = self.lost
        lost = {name: at for name, at in before.items() if name in known}
        for target in reached:
            lost.pop(target.target_id, None)
        for target in failed:
            if target.target_id in known:
                lost.setdefault(target.target_id, now)
        if lost.keys() == before.keys():
            return
        self.lost = lost
        was_cut_since = self.cut_since
        if len(lost) < MIN_CUT or 2 * len(lost) <= len(known):
            self.cut_since = None
        elif was_cut_since is None:
            self.cut_since = now
        self._log_change(before, known, was_cut_since)
        for notify in self.on_change:
            notify()

    def _log_change(self, before, known, was_cut_since):
        """Log a change of the lost targets; bounded, as all may be lost at once."""
        now = self._clock.now()
        fields = {
            "lost": sorted(self.lost.keys() - before.keys())[:MAX_LOGGED],
            "found": sorted(before.keys() - self.lost.keys())[:MAX_LOGGED],
            "lost_count": len(self.lost),
            "known_count": len(known),
            "last_answer_age_s": round(self.quiet_s, 3),
        }
        if self.is_cut and was_cut_since is None:
            log.warning("paths: cut", extra=fields)
        elif not self.is_cut and was_cut_since is not None:
            cut_s = round(now - was_cut_since, 3)
            log.info("paths: restored", extra={**fields, "cut_s": cut_s})
        else:
            log.info("paths: changed", extra=fields)


def always_open(clock: Clock) -> TargetPaths:
    """Return paths that are never cut, for programs that do not check them."""
    return TargetPaths(PathSettings(), clock, tuple, lambda target, timeout_s: True)
