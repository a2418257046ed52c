"""Messages between hosts and their leader."""

from dataclasses import dataclass

from persimmonspoke.ids import DataCentreId, HostId, ServiceId, TargetId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import flat_message, message


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


@dataclass(frozen=True, slots=True)
class RangeTable:
    """Who owns which keys; a newer one has a higher (epoch, serial)."""

    leader: PeerAddress
    epoch: int
    serial: int
    services: dict[ServiceId, tuple[RouteRow, ...]]

    def version(self) -> tuple[int, int]:
        """Return what orders tables by age."""
        return self.epoch, self.serial


@flat_message
@dataclass(frozen=True, slots=True)
class TableChange:
    """New rows for a run of keys; applies to the table of the serial before.

    Attributes
    ----------
    leader : list
        Host id, IP number and port.
    rows : list of list
        Fields of `RouteRow`; together they cover the keys from `first` to `last`.
    """

    leader: list
    epoch: int
    serial: int
    service: ServiceId
    first: int
    last: int
    rows: list


@flat_message
@dataclass(frozen=True, slots=True)
class HostReport:
    """A host's word to the leader; also its heartbeat.

    Attributes
    ----------
    sender : list
        Host id, IP number, port, name and data centre.
    fleet : int
        Number of the newest list of hosts that the host has.
    epoch, serial : int
        Of the newest range table that the host has.
    loads : list of (ServiceId, int, int)
        Service, key, and the requests for it since the last report.
    work : list of (TargetId, int, float)
        Target, the requests that it answered since then, and how long they took.
    refused : list of (ServiceId, int, int)
        Service, key and fence of requests that the key's owner refused.
    store_age_s : float
        Time since the store last answered the host.
    leaving : bool
        Whether the host is being stopped, and does nothing more for others.
    """

    sender: list
    fleet: int
    epoch: int
    serial: int
    loads: list
    work: list
    refused: list
    store_age_s: float
    leaving: bool


@flat_message
@dataclass(frozen=True, slots=True)
class LeaderReply:
    """The leader's answer to a report.

    Attributes
    ----------
    fleet : int
        Number of the newest list of hosts.
    hosts : list or None
        Entries of the hosts that are alive, as in `HostReport.sender`; None if the
        host has the newest list.
    table : dict or None
        Rows of each service, as in `TableChange.rows`; None if the host has the
        newest table.
    store_age_s : float
        Time since the store last answered the leader.
    """

    leader: list
    epoch: int
    serial: int
    fleet: int
    hosts: list | None
    table: dict | None
    store_age_s: float


@message
@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Ask any host who leads."""

    asker: HostId


@message
@dataclass(frozen=True, slots=True)
class LeaderKnown:
    """Who leads, as far as the asked host knows; None if it does not.

    Attributes
    ----------
    heard_s : float
        Time since the asked host last heard that leader.
    """

    leader: PeerAddress | None
    epoch: int
    heard_s: float


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


def entry_fields(entry: HostEntry) -> list:
    """Return a host's entry as plain values."""
    address = entry.address
    return [address.host_id, address.ip, address.port, entry.name, entry.data_centre]


def entry_from(fields: list) -> HostEntry:
    """Return the host's entry in plain values."""
    host_id, ip, port, name, data_centre = fields
    return HostEntry(PeerAddress(host_id, ip, port), name, data_centre)


def address_fields(address: PeerAddress) -> list:
    """Return a host's address as plain values."""
    return [address.host_id, address.ip, address.port]


def row_fields(row: RouteRow) -> list:
    """Return a row as plain values."""
    return [row.first, row.last, row.owner, row.fence, round(row.open_in_s, 3)]
