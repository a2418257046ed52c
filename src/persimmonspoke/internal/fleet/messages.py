"""Messages between hosts and their leader."""

from dataclasses import dataclass

from persimmonspoke.ids import DataCentreId, HostId, ServiceId, TargetId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import message


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the fleet.

    Attributes
    ----------
    name : str
        Name of the machine, the same at each start.
    """

    address: PeerAddress
    name: str
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Requests for one key since the host's last report."""

    service: ServiceId
    key: int
    count: int


@dataclass(frozen=True, slots=True)
class TargetWork:
    """What a host saw of one target since its last report.

    Attributes
    ----------
    answered : int
        Requests answered.
    busy_s : float
        Time that they took, summed.
    failed : int
        Requests that got no answer, or no connection.
    """

    target_id: TargetId
    answered: int
    busy_s: float
    failed: int


@dataclass(frozen=True, slots=True)
class RefusedRange:
    """A target refused requests for a key that its range says it holds."""

    service: ServiceId
    key: int
    fence: int


@dataclass(frozen=True, slots=True)
class RouteRow:
    """One range as hosts route by it.

    Attributes
    ----------
    open_in_s : float
        Time until requests may go to the owner; 0 if they may now, and negative if
        nobody can tell.
    """

    first: int
    last: int
    owner: TargetId | None
    fence: int
    open_in_s: float


@message
@dataclass(frozen=True, slots=True)
class RangeTable:
    """Who owns which keys; a newer one has a higher (epoch, serial)."""

    leader: PeerAddress
    epoch: int
    serial: int
    services: dict[ServiceId, tuple[RouteRow, ...]]

    def age_key(self) -> tuple[int, int]:
        """Return what orders tables by age."""
        return self.epoch, self.serial


@message
@dataclass(frozen=True, slots=True)
class HostReport:
    """A host's word to the leader; also its heartbeat.

    Attributes
    ----------
    epoch, serial : int
        Of the newest range table that the host has.
    store_age_s : float
        Time since the store last answered the host.
    leaving : bool
        Whether the host is being stopped, and does nothing more for others.
    """

    sender: HostEntry
    epoch: int
    serial: int
    loads: tuple[KeyLoad, ...]
    work: tuple[TargetWork, ...]
    refused: tuple[RefusedRange, ...]
    store_age_s: float
    leaving: bool


@message
@dataclass(frozen=True, slots=True)
class LeaderReply:
    """The leader's answer to a report.

    Attributes
    ----------
    hosts : tuple of HostEntry
        The hosts that are alive.
    table : RangeTable or None
        The newest one, unless the host has it.
    store_age_s : float
        Time since the store last answered the leader.
    """

    epoch: int
    hosts: tuple[HostEntry, ...]
    table: RangeTable | None
    store_age_s: float


@message
@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Ask any host who leads."""

    asker: HostId


@message
@dataclass(frozen=True, slots=True)
class LeaderKnown:
    """Who leads, as far as the asked host knows; None if it does not."""

    leader: PeerAddress | None
    epoch: int


@message
@dataclass(frozen=True, slots=True)
class NewLeader:
    """A host has taken over; whoever led before must not order any more."""

    leader: PeerAddress
    epoch: int


@dataclass(frozen=True, slots=True)
class GrantLeft:
    """How much longer a target may hold keys by a former leader's orders."""

    target_id: TargetId
    left_s: float


@message
@dataclass(frozen=True, slots=True)
class NewLeaderSeen:
    """The answer to `NewLeader`, from when on the answering host gives no orders.

    Attributes
    ----------
    grants : tuple of GrantLeft
        What the answering host granted when it led, as long as it still runs.
    """

    host_id: HostId
    grants: tuple[GrantLeft, ...]


@message
@dataclass(frozen=True, slots=True)
class TableSeen:
    """The answer to a `RangeTable`."""

    epoch: int
    serial: int
