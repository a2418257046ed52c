"""Settings of one daemon, as an operator writes them in YAML."""

from ipaddress import IPv4Address, IPv6Address
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from persimmonspoke.internal.timers import Timers

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]


class _Block(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(_Block):
    """Where the daemon listens.

    Attributes
    ----------
    ip : IPv4Address or IPv6Address
        Address of this host, as peers and callers reach it.
    callers, peers, admin : int
        TCP ports.  Several daemons of one host may share the callers' port.
    """

    ip: IPv4Address | IPv6Address
    callers: Port = 8080
    peers: Port = 7100
    admin: Port = 7200


class Platform(_Block):
    """Where the platform answers.

    Attributes
    ----------
    url : str
        Base URL of the object API and of the list of hosts.
    """

    url: Annotated[str, Field(pattern=r"^https?://[^/]+(/.*[^/])?$")]


class Admin(_Block):
    """Who may use the administration API.

    Attributes
    ----------
    operator_token : str or None
        Bearer token for everything; may be left out only on a loopback address.
    team_tokens : dict of str to str
        Bearer token of each team, for that team alone.
    """

    operator_token: Annotated[str, Field(min_length=16)] | None = None
    team_tokens: dict[str, Annotated[str, Field(min_length=16)]] = {}


class Limits(_Block):
    """What one daemon takes on at most.

    Attributes
    ----------
    callers : int
        Connections of callers open at once.
    waiting : int
        Requests that wait for a slot, all services together.
    header_bytes : int
        Size of a request's line and headers.
    stop_s : float
        Time that a graceful stop allows requests in hand.
    """

    callers: Annotated[int, Field(ge=1)] = 4096
    waiting: Annotated[int, Field(ge=1)] = 2048
    header_bytes: Annotated[int, Field(ge=1024)] = 32768
    stop_s: Annotated[float, Field(gt=0)] = 20.0


class Observe(_Block):
    """Logs and metrics.

    Attributes
    ----------
    log_level : str
        Least level that is logged.
    statsd_ip, statsd_port
        Where statsd listens; no metrics are sent if the address is left out.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd_ip: IPv4Address | IPv6Address | None = None
    statsd_port: Port = 8125


class Settings(_Block):
    """All settings of one daemon.

    Attributes
    ----------
    host : str
        Name of the host, the same at each start; several daemons of one host add a
        number to it.
    data_centre : str
        The data centre that the host stands in.
    """

    host: Name
    data_centre: Name
    listen: Listen
    platform: Platform
    admin: Admin = Admin()
    limits: Limits = Limits()
    observe: Observe = Observe()
    timers: Timers = Timers()

    @model_validator(mode="after")
    def _token_unless_loopback(self):
        if self.admin.operator_token is None and not self.listen.ip.is_loopback:
            raise ValueError(
                f"listen.ip={self.listen.ip} is not a loopback address, so "
                "admin.operator_token must be set"
            )
        return self
