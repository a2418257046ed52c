"""Permits that a host holds, and the slots that requests use with them."""

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.scheduling.api import SlotOutcome


class EndpointPermits:
    """Permits of one endpoint.

    Attributes
    ----------
    lent, returned : int
        Permits received and returned since the account was opened.
    busy : int
        Permits in use.
    least_idle : int
        Minimum number of idle permits since `Borrower.return_unused` last ran.
    """

    __slots__ = ("lent", "returned", "busy", "least_idle")

    def __init__(self):
        self.lent = 0
        self.returned = 0
        self.busy = 0
        self.least_idle = 0

    def idle(self) -> int:
        """Return how many permits are not in use."""
        return self.lent - self.returned - self.busy

    def take(self) -> None:
        """Use one permit."""
        self.busy += 1
        self.least_idle = min(self.least_idle, self.idle())

    def return_idle(self, count: int) -> None:
        """Return `count` idle permits to the lender."""
        self.returned += count
        self.least_idle = 0


class HeldSlot:
    """One slot in use; see `api.Slot`."""

    __slots__ = ("_borrower", "_use", "_choice", "_holding", "_started_at", "_open")

    def __init__(self, borrower, usage, choice, permits, started_at):
        self._borrower = borrower
        self._use = usage
        self._choice = choice
        self._holding = permits
        self._started_at = started_at
        self._open = True

    @property
    def target_id(self) -> TargetId:
        """The target that the slot belongs to."""
        return self._choice.target_id

    @property
    def target(self) -> None:
        """Return None: the request already has the configuration of the target."""
        return None

    def done(self, outcome: SlotOutcome) -> None:
        """Release the slot; a second call does nothing."""
        if self._open:
            self._open = False
            self._borrower.release(
                self._use,
                self._choice.endpoint,
                self._holding,
                outcome,
                self._started_at,
            )
