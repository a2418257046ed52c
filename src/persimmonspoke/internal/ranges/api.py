"""What the keeper of key ranges needs of the targets: orders about keys."""

from dataclasses import dataclass
from typing import Protocol

from persimmonspoke.ids import Instant
from persimmonspoke.internal.targets.api import TargetAddress


@dataclass(frozen=True, slots=True)
class RangeGrant:
    """Hold these keys for `hold_s` from the arrival of the order.

    Attributes
    ----------
    handover : str or None
        What the holder before gave when it released the keys.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str | None = None


@dataclass(frozen=True, slots=True)
class RangeRelease:
    """Take no new work for these keys; answer when the work in hand is done.

    A target that has carried it out refuses lower fences on these keys, whether it
    held them or not.
    """

    first: int
    last: int
    fence: int


class RangeOrders(Protocol):
    """Orders to targets.

    Raise `TargetUnreachable` or `TargetRefusedConnection` (nothing was sent),
    `OrderOutcomeUnknown` (no answer in time; nothing more of it arrives later),
    `OrderConnectionLost` (the target may have started anew) or `TargetFenced`.
    """

    def grant(
        self, target: TargetAddress, order: RangeGrant, deadline: Instant
    ) -> None:
        """Grant or renew the holding of keys."""

    def release(
        self, target: TargetAddress, order: RangeRelease, deadline: Instant
    ) -> str | None:
        """Take keys back; return the handover for the next holder, if any."""
