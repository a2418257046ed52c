"""State of the targets at a desk: slots, speed, and whether they answer."""

from dataclasses import dataclass, field

from persimmonspoke.ids import DataCentreId, Instant, TargetId
from persimmonspoke.internal.desk.allowance import RateAllowance
from persimmonspoke.internal.desk.cold_signs import ColdSigns
from persimmonspoke.internal.desk.momentary import MomentaryLoad
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.desk.unequal_owners import AnswerSpread
from persimmonspoke.internal.scheduling.api import SlotOutcome

SMOOTHING = 0.15
INITIAL_PENALTY_S = 0.2
MAX_PENALTY_S = 3.0
# Bounds the slowness, so that a target that answered nothing is tried again.
MAX_SLOWNESS = 50.0

LONG_AGO = Instant(float("-inf"))


@dataclass(slots=True, eq=False)
class SlotAssignment:
    """One slot in use."""

    host: str
    serial: int
    kind: str
    assigned_at: Instant


@dataclass(slots=True)
class SlotTarget:
    """One target of a service.

    Attributes
    ----------
    slowness : float
        Smoothed ratio of its answer times to the typical times of the requests' kinds.
    last_answer_at : Instant
        When it last answered or shed a request.
    avoid_until : Instant
        Until then it is used only if no other target is available.
    probed_at : Instant
        When it last got a request while it had no other or was stuck.
    penalty_s : float
        How long it is avoided after the next failure; doubles with each failure.
    in_use : dict
        Requests that use its slots, by host and serial.
    allowance : RateAllowance
        How many requests it may get while it names a rate limit.
    answered_to : dict
        When each host last got an answer from it and has asked for nothing since; the
        host then has an idle connection to it.
    moment : MomentaryLoad
        What its newest load figures say.
    cold_signs : ColdSigns
        Whether its answers look like those of a cold target.
    spread : AnswerSpread
        How much its answer times vary.
    """

    target_id: TargetId
    slots: int
    data_centre: DataCentreId
    allowance: RateAllowance
    slowness: float = 1.0
    last_answer_at: Instant = LONG_AGO
    avoid_until: Instant = LONG_AGO
    probed_at: Instant = LONG_AGO
    penalty_s: float = INITIAL_PENALTY_S
    in_use: dict[tuple[str, int], SlotAssignment] = field(default_factory=dict)
    answered_to: dict[str, Instant] = field(default_factory=dict)
    moment: MomentaryLoad = field(default_factory=MomentaryLoad)
    cold_signs: ColdSigns = field(default_factory=ColdSigns)
    spread: AnswerSpread = field(default_factory=AnswerSpread)

    def has_idle_connection(self, host: str, min_answered_at: Instant) -> bool:
        """Return whether `host` has an idle connection that answered recently."""
        return self.answered_to.get(host, LONG_AGO) >= min_answered_at

    def free_slots(self) -> int:
        """Return how many slots are not in use; negative if too many are."""
        return self.slots - len(self.in_use)

    def expected_slowness(self, typical_s: float, now: Instant) -> float:
        """Return how slow the next request is expected to be, busy slots included.

        Parameters
        ----------
        typical_s : float
            Typical answer time of the request's kind.
        """
        foreign = self.moment.foreign(now)
        used = len(self.in_use) + foreign
        crowded = 1 + 0.1 * used / self.slots
        if foreign:
            # What the desk takes for a free slot may be in use, so it would wait.
            crowded += max(0.0, used + 1 - self.slots) / self.slots
        delay_s = self.moment.delay_s(typical_s * self.slowness, now)
        return (self.slowness + delay_s / typical_s) * crowded

    def capacity(self) -> float:
        """Return the work done per second, in seconds of typical service time."""
        return self.slots / self.slowness

    def record(
        self,
        outcome: SlotOutcome,
        took_s: float,
        typical_s: float,
        now: Instant,
        pooled: bool,
        slowed: bool = False,
    ) -> None:
        """Record the outcome of a request whose typical answer time is `typical_s`.

        A failure is penalized only if other targets can serve the same requests
        (`pooled`).  The time of a request during which the machine was `slowed` for a
        moment says nothing of the target's speed.
        """
        if outcome is SlotOutcome.ANSWERED:
            self.last_answer_at = now
            self.penalty_s = INITIAL_PENALTY_S
            self.avoid_until = LONG_AGO
            if not slowed:
                self._update_slowness(took_s / typical_s)
        elif outcome is SlotOutcome.CANCELLED:
            # The answer would have taken at least this long.  Without this, a slow
            # target whose requests are cancelled would seem as fast as before.
            if took_s > typical_s * self.slowness and not slowed:
                self._update_slowness(took_s / typical_s)
        else:
            if outcome is SlotOutcome.SHED:
                self.last_answer_at = now
            if pooled:
                self.avoid_until = Instant(now + self.penalty_s)
                self.penalty_s = min(2 * self.penalty_s, MAX_PENALTY_S)

    def is_stuck(self, cfg: DeskSettings, typical_s: float, now: Instant) -> bool:
        """Return whether its requests in flight have been unanswered for too long.

        `typical_s` is the typical answer time of the slowest kind of request.
        """
        if not self.in_use or now - self.last_answer_at <= cfg.stuck_s:
            return False
        oldest = min(slot.assigned_at for slot in self.in_use.values())
        timeout_s = max(cfg.stuck_s, cfg.stuck_factor * typical_s * self.slowness)
        return now - max(oldest, self.last_answer_at) > timeout_s

    def _update_slowness(self, ratio):
        self.spread.record(ratio / self.slowness)
        weight = self.spread.first_weight(SMOOTHING)
        self.slowness += weight * (ratio - self.slowness)
        self.slowness = min(max(self.slowness, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
