"""Messages between hosts and their leader."""

from dataclasses import dataclass, field

from persimmonspoke.ids import DataCentreId, HostId, ServiceId, TargetId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.codec import flat_message, message
from persimmonspoke.internal.peers.revisions import Revision, since


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the fleet.

    Attributes
    ----------
    name : str
        Name of the machine, which is the same in every run.
    cores : float
        Processor time per second that the host can use, as a number of cores.
    """

    address: PeerAddress
    name: str
    data_centre: DataCentreId
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class RouteRow:
    """One range of the table by which hosts route requests.

    Attributes
    ----------
    owner : TargetId or None
        None while the keys are being transferred.
    open_in_s : float
        Time until requests can be sent to the owner; 0 if they can be sent now, and
        negative if the time is not known.
    """

    first: int
    last: int
    owner: TargetId | None
    fence: int
    open_in_s: float


@dataclass(frozen=True, slots=True)
class RangeTable:
    """The owners of all keys; a newer table has a higher (epoch, serial)."""

    leader: PeerAddress
    epoch: int
    serial: int
    services: dict[ServiceId, tuple[RouteRow, ...]]

    def version(self) -> tuple[int, int]:
        """Return epoch and serial, by which tables are ordered."""
        return self.epoch, self.serial


@flat_message
@dataclass(frozen=True, slots=True)
class TableChange:
    """New rows for a run of keys; applies to the table of the preceding serial.

    Attributes
    ----------
    leader : list
        Host id, IP address and port of the leader.
    rows : list of list
        Fields of `RouteRow`; together the rows cover the keys from `first` to `last`.
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
    """A host's periodic report to the leader; also its heartbeat.

    Attributes
    ----------
    sender : list
        Host id, IP address, port, name, data centre and cores.
    fleet : int
        Number of the newest list of hosts that the host has.
    epoch, serial : int
        Version of the newest range table that the host has.
    loads : list of (ServiceId, int, int)
        Service, key, and number of requests for it since the last report.
    work : list of (TargetId, int, float, float)
        Target, number of requests that it answered since the last report, the total
        time that they took in seconds, and the rate limit that it names, if any, in
        requests a second.
    refused : list of (ServiceId, int, int)
        Service, key and fence of requests that the key's owner refused.
    store_age_s : float
        Time since the store last answered the host.
    leaving : bool
        Whether the host is stopping and does no more work for other hosts.
    next_s : float
        Time until the host's next report.
    suspects : list of list
        What the leader does not know yet of requests under which targets end; fields
        of `SuspectRow`.
    suspects_digest : int
        Hash of the shared ones that the host knows.
    paths_cut : bool
        Whether the host reaches less than half of the targets.
    leaving_targets : list of (TargetId, int, float)
        Targets that said to the host, or to one that passed it on, that they are
        leaving; with the Unix milliseconds of their starts and the time since then.
    work_by_kind : list of (ServiceId, str, TargetId, int, float)
        The work of targets that own keys by service and kind of request; number of
        requests answered and their total time in seconds.  Without it the leader
        goes by `work`.
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
    next_s: float = 0.0
    suspects: list = field(default_factory=list, metadata=since(Revision.QUARANTINE))
    suspects_digest: int = field(default=0, metadata=since(Revision.QUARANTINE))
    paths_cut: bool = field(default=False, metadata=since(Revision.PATHS))
    leaving_targets: list = field(default_factory=list, metadata=since(Revision.PATHS))
    work_by_kind: list = field(
        default_factory=list, metadata=since(Revision.HEAVY_LOAD)
    )


@flat_message
@dataclass(frozen=True, slots=True)
class LeaderReply:
    """The leader's reply to a report.

    Attributes
    ----------
    fleet : int
        Number of the newest list of hosts.
    hosts : list or None
        Entries of the live hosts, as in `HostReport.sender`; None if the host has
        the newest list.
    table : dict or None
        Rows of each service, as in `TableChange.rows`; None if the host has the
        newest table.
    store_age_s : float
        Time since the store last answered the leader.
    suspects : list of list or None
        The shared requests under which targets end, as fields of `SuspectRow`; None if
        the host knows the same.
    cut_hosts : list of HostId
        Live hosts that reach less than half of the targets.
    leaving_targets : list of (TargetId, int, float)
        As in `HostReport`, from all hosts.
    """

    leader: list
    epoch: int
    serial: int
    fleet: int
    hosts: list | None
    table: dict | None
    store_age_s: float
    suspects: list | None = field(default=None, metadata=since(Revision.QUARANTINE))
    cut_hosts: list = field(default_factory=list, metadata=since(Revision.PATHS))
    leaving_targets: list = field(default_factory=list, metadata=since(Revision.PATHS))


@message
@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Ask any host which host leads."""

    asker: HostId


@message
@dataclass(frozen=True, slots=True)
class LeaderKnown:
    """The leader that the asked host knows of.

    Attributes
    ----------
    leader : PeerAddress or None
        None if the asked host knows of no leader.
    heard_s : float
        Time since the asked host last had contact with that leader.
    """

    leader: PeerAddress | None
    epoch: int
    heard_s: float


@message
@dataclass(frozen=True, slots=True)
class NewLeader:
    """Announce a new leader; a former leader must give no more orders."""

    leader: PeerAddress
    epoch: int


@dataclass(frozen=True, slots=True)
class GrantLeft:
    """The time for which a target may still hold keys by a former leader's orders."""

    target_id: TargetId
    left_s: float


@message
@dataclass(frozen=True, slots=True)
class NewLeaderSeen:
    """The reply to `NewLeader`; its sender gives no orders any more.

    Attributes
    ----------
    grants : tuple of GrantLeft
        The grants that have not ended yet and that the sender gave while it led.
    """

    host_id: HostId
    grants: tuple[GrantLeft, ...]


def entry_fields(entry: HostEntry) -> list:
    """Return the fields of a host's entry as plain values."""
    address = entry.address
    return [
        address.host_id,
        address.ip,
        address.port,
        entry.name,
        entry.data_centre,
        entry.cores,
    ]


def entry_from(fields: list) -> HostEntry:
    """Return the host's entry with the given plain values."""
    host_id, ip, port, name, data_centre, cores = fields
    return HostEntry(PeerAddress(host_id, ip, port), name, data_centre, cores)


def address_fields(address: PeerAddress) -> list:
    """Return the fields of a host's address as plain values."""
    return [address.host_id, address.ip, address.port]


def row_fields(row: RouteRow) -> list:
    """Return the fields of a row as plain values."""
    return [row.first, row.last, row.owner, row.fence, round(row.open_in_s, 3)]
