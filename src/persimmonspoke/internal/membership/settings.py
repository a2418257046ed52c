"""Settings of one entry host that the control plane needs."""

import uuid
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from persimmonspoke.ids import DataCentreId, HostId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.timers import Timers

Port = Annotated[int, Field(ge=0, le=65535)]


def new_host_id(name: str) -> HostId:
    """Return the id of a new run of the daemon on the host called `name`."""
    return HostId(f"{name}.{uuid.uuid4().hex[:12]}")


def host_name(host_id: HostId) -> str:
    """Return the name of the host on which the run `host_id` was started."""
    return host_id.rpartition(".")[0]


class NodeSettings(BaseModel):
    """Where one run of the daemon listens, and its timers.

    Attributes
    ----------
    host_id : HostId
        The run's id, made by `new_host_id`.
    ip : str
        Address at which callers, operators and other entry hosts reach the run.
    peer_port, caller_port, admin_port : int
        Ports for other entry hosts, for callers and for operators.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)

    host_id: HostId
    ip: str
    peer_port: Port
    caller_port: Port = 0
    admin_port: Port = 0
    data_centre: DataCentreId
    timers: Timers = Timers()

    def peer_address(self) -> PeerAddress:
        """Return the address that other entry hosts call."""
        return PeerAddress(self.host_id, self.ip, self.peer_port)
