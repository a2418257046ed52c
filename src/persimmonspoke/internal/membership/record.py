"""The record that each entry host stores about itself."""

from dataclasses import dataclass, replace
from enum import Enum

from persimmonspoke.ids import DataCentreId, HostId, WriteId
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.store.api import Value

PREFIX = "hosts/"
NO_HOST = HostId("")


class HostState(Enum):
    """Which roles an entry host may have."""

    ACTIVE = "active"
    LEAVING = "leaving"
    """The host transfers its pages and is not named as successor or keeper again."""

    REVOKED = "revoked"
    """The run has permanently lost its authority."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """One run of the daemon, as other hosts know it.

    Attributes
    ----------
    successor : HostId
        The host that grants this run its lease and alone may revoke it.  Empty if there
        is none; then others may revoke the run only if it is proven dead.
    revoked_by : HostId
        The host that revoked this run: the run itself after an orderly stop.
    """

    host_id: HostId
    ip: str
    peer_port: int
    caller_port: int
    admin_port: int
    data_centre: DataCentreId
    state: HostState
    successor: HostId = NO_HOST
    revoked_by: HostId = NO_HOST

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
        """Address at which the run listens for other entry hosts."""
        return PeerAddress(self.host_id, self.ip, self.peer_port)

    @property
    def revoked(self) -> bool:
        """Whether the run has permanently lost its authority."""
        return self.state is HostState.REVOKED

    def with_successor(self, successor: HostId) -> "HostRecord":
        """Return the record with another successor."""
        return replace(self, successor=successor)

    def as_leaving(self) -> "HostRecord":
        """Return the record in the state of a run that is about to stop."""
        return replace(self, state=HostState.LEAVING)

    def as_revoked(self, by: HostId) -> "HostRecord":
        """Return the record as revoked by the host `by`."""
        return replace(self, state=HostState.REVOKED, revoked_by=by)

    def to_value(self, write_id: WriteId) -> Value:
        """Return the record as the JSON object that is stored."""
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
        """Return the record that a stored JSON object describes."""
        fields = {name: item for name, item in value.items() if name != "write_id"}
        return cls(**{**fields, "state": HostState(value["state"])})
