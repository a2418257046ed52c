"""What a desk knows of its targets: slots, speed, and whether they answer."""

from dataclasses import dataclass, field

from persimmonspoke.ids import DataCentreId, Instant, TargetId
from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.scheduling.api import SlotOutcome

SMOOTHING = 0.15
FIRST_USUAL_S = 0.1  # until anything has answered; only ratios between targets count
FIRST_PENALTY_S = 0.2
LONGEST_PENALTY_S = 3.0

NEVER = Instant(float("-inf"))


@dataclass(slots=True, eq=False)
class Loan:
    """One slot in use."""

    host: str
    serial: int
    lent_at: Instant


@dataclass(slots=True)
class SlotTarget:
    """One target of a service.

    Attributes
    ----------
    usual_s : float
        Smoothed time of an answer.
    heard_at : Instant
        When it last answered anything.
    avoid_until : Instant
        Until then it is used only if no other will do.
    """

    target_id: TargetId
    slots: int
    data_centre: DataCentreId
    usual_s: float = FIRST_USUAL_S
    measured: bool = False
    heard_at: Instant = NEVER
    avoid_until: Instant = NEVER
    probed_at: Instant = NEVER
    penalty_s: float = FIRST_PENALTY_S
    loans: dict[tuple[str, int], Loan] = field(default_factory=dict)

    def free(self) -> int:
        """Return how many slots are not lent."""
        return self.slots - len(self.loans)

    def expected_s(self, now: Instant) -> float:
        """Return how long an answer should take now."""
        return self.usual_s

    def note(
        self, outcome: SlotOutcome, took_s: float, now: Instant, pooled: bool
    ) -> None:
        """Take in how one request ended."""
        if outcome is SlotOutcome.ANSWERED:
            self.heard_at = now
            self.penalty_s = FIRST_PENALTY_S
            self.avoid_until = NEVER
            share = SMOOTHING if self.measured else 0.5
            self.usual_s += share * (took_s - self.usual_s)
            self.measured = True
        elif outcome is SlotOutcome.CANCELLED:
            # At least this long: a slow target must not look as fast as before.
            if took_s > self.usual_s:
                self.usual_s += SMOOTHING * (took_s - self.usual_s)
        else:
            if outcome is SlotOutcome.SHED:
                self.heard_at = now
            if pooled:
                self.avoid_until = Instant(now + self.penalty_s)
                self.penalty_s = min(2 * self.penalty_s, LONGEST_PENALTY_S)

    def is_stuck(self, cfg: DeskSettings, now: Instant) -> bool:
        """Return whether requests in hand have gone unanswered for too long."""
        if not self.loans:
            return False
        oldest = min(loan.lent_at for loan in self.loans.values())
        patience = max(cfg.stuck_s, cfg.stuck_factor * self.usual_s)
        return now - max(oldest, self.heard_at) > patience
