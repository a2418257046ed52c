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


class OrderConnection(Protocol):
    """A connection for orders, which reaches one process for as long as it is open.

    One order at a time can be in progress on it.  Its methods raise
    `OrderOutcomeUnknown` (no answer in time; no part of the order arrives later),
    `OrderConnectionLost` (the target may have restarted), `TargetFenced` or
    `TargetMismatch` (another target is at the other end).  It is closed after an order
    that was not answered by its target.

    Attributes
    ----------
    opened_at : Instant
        When it had been opened; the process at the other end had started before.
    local_port : int or None
        Port of this end, by which logs of the other end tell connections apart.
    """

    opened_at: Instant
    local_port: int | None

    def is_open(self) -> bool:
        """Return whether it can be used, as far as is known without an order."""

    def grant(self, order: RangeGrant, deadline: Instant) -> None:
        """Grant keys to the target, or renew its grant."""

    def release(self, order: RangeRelease, deadline: Instant) -> str | None:
        """Take keys back; return the handover for the next holder, if any."""

    def close(self) -> None:
        """Close it; an order in progress fails."""


class RangeOrders(Protocol):
    """Opens connections for orders to targets."""

    def connect(self, target: TargetAddress, deadline: Instant) -> OrderConnection:
        """Open a connection to whichever process listens at a target's address.

        Raises `TargetUnreachable` or `TargetRefusedConnection`.
        """
