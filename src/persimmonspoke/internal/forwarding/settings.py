"""Settings of the requests that one host forwards to another."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]


class ForwardingSettings(BaseModel):
    """How a host without paths to the targets uses the hosts that have some.

    Attributes
    ----------
    max_hosts : int
        Number of hosts to which one request is offered at most, without those that
        refuse the connection.
    avoid_s : float
        How long a host is not used after it did not take a request.
    near_weight : float
        How much likelier a host in the same data centre is chosen.
    connections : int
        Maximum number of connections to one host.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    max_hosts: Annotated[int, Field(ge=1)] = 3
    avoid_s: Seconds = 1.0
    near_weight: Annotated[float, Field(ge=1)] = 2.0
    connections: Annotated[int, Field(ge=1)] = 64
