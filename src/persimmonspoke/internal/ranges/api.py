"""The interface for sending targets orders about key ranges."""

from dataclasses import dataclass
from typing import Protocol

from persimmonspoke.ids import Instant
from persimmonspoke.internal.targets.api import TargetAddress


@dataclass(frozen=True, slots=True)
class RangeGrant:
    """Order a target to hold keys for `hold_s` seconds from the arrival of the order.

    Attributes
    ----------
    handover : str or None
        What the previous holder returned when it released the keys.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str | None = None


@dataclass(frozen=True, slots=True)
class RangeRelease:
    """Order a target to accept no new work for keys, and to finish the work on them.

    The target answers when its work on these keys is done.  Once it has executed the
    order, it refuses lower fences on the keys, whether it held them or not.
    """

    first: int
    last: int
    fence: int


class RangeOrders(Protocol):
    """Sends orders to targets.

    Raises `TargetUnreachable` or `TargetRefusedConnection` (nothing was sent),
    `OrderOutcomeUnknown` (no answer in time; no part of the order arrives later),
    `OrderConnectionLost` (the target may have restarted) or `TargetFenced`.
    """

    def grant(
        self, target: TargetAddress, order: RangeGrant, deadline: Instant
    ) -> None:
        """Grant keys to a target, or renew its grant."""

    def release(
        self, target: TargetAddress, order: RangeRelease, deadline: Instant
    ) -> str | None:
        """Take keys back; return the handover for the next holder, if any."""
