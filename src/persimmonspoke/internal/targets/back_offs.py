"""Delays new connections to a target that resets them, as some targets do when full.

Many hosts that open new connections to a full target at once only add to its load.
"""

import random

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

MIN_BACK_OFF_S = 0.05  # a target of two slots and 140 ms of work frees one in 70 ms
MAX_BACK_OFF_S = 0.4
FORGET_AFTER_S = 2.0
SPREAD = 0.5  # so that the hosts of a fleet don't return at the same moment


class ResetBackOff:
    """Until when one target gets no new connections from this host.

    Each reset after a back-off doubles the next one, until a connection opened after it
    has carried a whole answer or there was no reset for `FORGET_AFTER_S`.
    """

    def __init__(self, clock: Clock, rng: random.Random | None = None):
        self._clock = clock
        self._rng = rng or random.Random()
        self._back_off_s = 0.0
        self._until = Instant(0.0)

    @property
    def has_begun(self) -> bool:
        """Return whether the target has reset connections recently."""
        is_recent = self._clock.now() < self._until + FORGET_AFTER_S
        return self._back_off_s > 0.0 and is_recent

    def left_s(self) -> float:
        """Return for how long the target gets no new connections; 0 if it does."""
        return max(0.0, self._until - self._clock.now())

    def record_reset(self) -> None:
        """Record that the target has reset a connection.

        Resets of connections that were open when a back-off began belong to it.
        """
        if self.left_s() > 0.0:
            return
        doubled_s = 2 * self._back_off_s if self.has_begun else 0.0
        self._back_off_s = min(max(doubled_s, MIN_BACK_OFF_S), MAX_BACK_OFF_S)
        spread = self._rng.uniform(1 - SPREAD, 1 + SPREAD)
        self._until = Instant(self._clock.now() + spread * self._back_off_s)

    def record_answer(self, opened_at: Instant) -> None:
        """Record that a new connection, opened at an instant, carried a whole answer.

        A connection that was open when the back-off began does not show that the
        target accepts new ones again.
        """
        if opened_at >= self._until:
            self._back_off_s = 0.0
