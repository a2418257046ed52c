"""The record that each entry host keeps of itself in the store."""

from dataclasses import dataclass, replace
from enum import Enum

from persimmonspoke.ids import DataCentreId, HostId, WriteId
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Value

PREFIX = "hosts/"
NOBODY = HostId("")


class HostState(Enum):
    """What an entry host may be given."""

    ACTIVE = "active"
    LEAVING = "leaving"
    """It hands over its pages; nobody names it as successor or keeper any more."""

    REVOKED = "revoked"
    """The run has no authority and never gets any again."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """One run of the daemon, as all others know it.

    Attributes
    ----------
    successor : HostId
        The host that grants this one its lease and alone may revoke it; empty if
        there is none, and then only proof of its death lets others revoke it.
    revoked_by : HostId
        Who revoked it; itself if it left in an orderly way.
    """

    host_id: HostId
    ip: str
    peer_port: int
    caller_port: int
    admin_port: int
    data_centre: DataCentreId
    state: HostState
    successor: HostId = NOBODY
    revoked_by: HostId = NOBODY

    @classmethod
    def initial(cls, cfg: NodeSettings, successor: HostId) -> "HostRecord":
        """Return the first record of the run described by `cfg`."""
        return cls(
            host_id=cfg.host_id,
            ip=cfg.ip,
            peer_port=cfg.peer_port,
            caller_port=cfg.caller_port,
            admin_port=cfg.admin_port,
            data_centre=cfg.data_centre,
            state=HostState.ACTIVE,
            successor=successor,
        )

    @property
    def path(self) -> str:
        """Key of the record in the store."""
        return PREFIX + self.host_id

    @property
    def address(self) -> PeerAddress:
        """Where the run listens for its peers."""
        return PeerAddress(self.host_id, self.ip, self.peer_port)

    @property
    def revoked(self) -> bool:
        """Whether the run has lost its authority for good."""
        return self.state is HostState.REVOKED

    def with_successor(self, successor: HostId) -> "HostRecord":
        """Return the record with another successor."""
        return replace(self, successor=successor)

    def leaving(self) -> "HostRecord":
        """Return the record of a run that is about to stop."""
        return replace(self, state=HostState.LEAVING)

    def revoke(self, by: HostId) -> "HostRecord":
        """Return the record without authority."""
        return replace(self, state=HostState.REVOKED, revoked_by=by)

    def to_value(self, write_id: WriteId) -> Value:
        """Return the JSON object that the store keeps."""
        return {
            "host_id": self.host_id,
            "ip": self.ip,
            "peer_port": self.peer_port,
            "caller_port": self.caller_port,
            "admin_port": self.admin_port,
            "data_centre": self.data_centre,
            "state": self.state.value,
            "successor": self.successor,
            "revoked_by": self.revoked_by,
            "write_id": write_id,
        }

    @classmethod
    def from_value(cls, value: Value) -> "HostRecord":
        """Read the JSON object that the store keeps."""
        fields = {name: item for name, item in value.items() if name != "write_id"}
        return cls(**{**fields, "state": HostState(value["state"])})
