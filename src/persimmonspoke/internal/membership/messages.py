"""Messages between an entry host and its successor."""

from dataclasses import dataclass
from enum import Enum

from persimmonspoke.ids import HostId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import message


class Verdict(Enum):
    """The successor's answer to a lease request."""

    GRANTED = "granted"
    LEAVING = "leaving"
    """Granted, but the grantor will stop; the holder must name another successor."""

    REFUSED = "refused"
    REVOKED = "revoked"
    """The holder is revoked, or is about to be revoked, in the store."""


@message
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request or renew the lease of `holder`.

    Attributes
    ----------
    named : bool
        Whether the holder's record in the store names the receiver as successor.
    acting_for : HostId
        The dead successor in whose place the receiver is asked; empty if none.
    sequence : int
        Sequence number of this request.
    echoed : int
        Sequence number of the last request whose grant has reached the holder.
    """

    holder: HostId
    named: bool
    acting_for: HostId
    sequence: int
    echoed: int


@message
@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Grant or refuse a lease.

    Attributes
    ----------
    unrevoked_s : float
        For how much longer the grantor itself is guaranteed not to be revoked;
        negative if the guarantee has expired.
    heirs : tuple of PeerAddress
        The hosts that may be the grantor's own successor now.
    """

    verdict: Verdict
    unrevoked_s: float
    heirs: tuple[PeerAddress, ...]


@message
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Release a host from being the successor of `holder`."""

    holder: HostId


@message
@dataclass(frozen=True, slots=True)
class ReleaseReply:
    """Confirm that the host will not act for the holder any more."""
