"""What a target's load figures tell its desk of the present moment."""

from persimmonspoke.ids import Instant

# Machines are slowed for about 0.4 s at a time; a figure says less the older it is.
SLOWDOWN_S = 0.4
FOREIGN_S = 0.3  # requests of other desks and probes have ended by then
MIN_SLOWDOWN = 1.3  # factor from which an answer time is not the target's own
# A machine that has been slowed for so long, in all answers, is a slow machine.
LASTING_S = 1.5

LONG_AGO = Instant(float("-inf"))


class MomentaryLoad:
    """The newest load figures of one target, and how far they still hold.

    Without figures it changes nothing: the delay and the foreign load are 0.
    """

    __slots__ = (
        "_slowness",
        "_foreign",
        "_at",
        "_slowed_since",
        "_slowed_at",
        "_told_of",
    )

    def __init__(self):
        self._slowness = 1.0
        self._foreign = 0
        self._at = LONG_AGO
        self._slowed_since: Instant | None = None
        self._slowed_at = LONG_AGO
        self._told_of: Instant | None = None

    def record(self, load: list, assigned: int, now: Instant) -> None:
        """Record the figures that came with an answer.

        Parameters
        ----------
        load : list
            The field of `Done`; what later builds add to it is ignored.
        assigned : int
            Slots of the target that this desk had assigned when the answer came.
        """
        running, waiting, _, slowness, age_s, *_ = load
        at = Instant(now - age_s)
        if at < self._at:
            return
        self._at = at
        self._foreign = max(0, running + waiting - assigned)
        self._slowness = 1.0 if slowness is None else slowness
        if self._slowness < MIN_SLOWDOWN:
            self._slowed_since = None
            return
        self._slowed_at = at
        if self._slowed_since is None:
            self._slowed_since = at

    def delay_s(self, work_s: float, now: Instant) -> float:
        """Return by how much the slowdown is expected to delay work that begins now.

        The machine is slowed for `SLOWDOWN_S` from an unknown moment before the first
        figure that showed it, and after that works as usual again.

        Parameters
        ----------
        work_s : float
            How long the work takes as usual.
        """
        if self._slowness < MIN_SLOWDOWN or self._is_lasting(now):
            return 0.0
        longest_s = SLOWDOWN_S - (self._at - self._slowed_since)
        left_s = longest_s - (now - self._at)
        if left_s <= 0:
            return 0.0
        expected_s = left_s * left_s / (2 * longest_s)
        slowness = self._slowness
        return min((slowness - 1.0) * work_s, expected_s * (1.0 - 1.0 / slowness))

    def foreign(self, now: Instant) -> float:
        """Return how many requests the target is expected to have from others now."""
        return self._foreign * self._weight(FOREIGN_S, now)

    def was_slowed(self, since: Instant, now: Instant) -> bool:
        """Return whether the machine was slowed for a moment since an instant.

        A slowdown that lasts is the target's own speed.
        """
        return self._slowed_at >= since and not self._is_lasting(now)

    def take_lasting_slowdown(self, now: Instant) -> float:
        """Return by how much the machine is slowed in all figures for `LASTING_S`.

        It is 1 if that is not so, if there are no new figures, or if this slowdown has
        been returned before.
        """
        is_lasting = self._is_lasting(now) and now - self._at <= SLOWDOWN_S
        if not is_lasting or self._told_of == self._slowed_since:
            return 1.0
        self._told_of = self._slowed_since
        return self._slowness

    def _is_lasting(self, now):
        since = self._slowed_since
        return since is not None and now - since >= LASTING_S

    def _weight(self, lasts_s, now):
        return max(0.0, 1.0 - (now - self._at) / lasts_s)
