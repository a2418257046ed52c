"""Messages between an entry host and its successor."""

from dataclasses import dataclass
from enum import Enum

from persimmonspoke.ids import HostId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import message


class Verdict(Enum):
    """The successor's answer to a host that asks for its lease."""

    GRANTED = "granted"
    LEAVING = "leaving"
    """Granted, but the grantor is about to stop; choose another successor."""

    REFUSED = "refused"
    REVOKED = "revoked"
    """The store says, or is about to say, that the asker is revoked."""


@message
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Ask for, or renew, the lease of `holder`.

    Attributes
    ----------
    named : bool
        Whether the holder's record in the store names the asked host.
    acting_for : HostId
        The dead successor for which the asked host acts; empty if none.
    sequence : int
        Number of this request.
    echoed : int
        Number of the last request whose answer has reached the holder.
    """

    holder: HostId
    named: bool
    acting_for: HostId
    sequence: int
    echoed: int


@message
@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Grant, or refuse, a lease.

    Attributes
    ----------
    unrevoked_s : float
        For how much longer the grantor itself surely is not revoked; negative if
        it has been unsure for some time.
    heirs : tuple of PeerAddress
        The hosts that may be the grantor's own successor.
    """

    verdict: Verdict
    unrevoked_s: float
    heirs: tuple[PeerAddress, ...]


@message
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Tell a host that it is no longer the successor of `holder`."""

    holder: HostId


@message
@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """The asked host will not act for the holder any more."""
