"""Settings of one daemon, as an operator writes them in YAML."""

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Any

from pydantic import Field

from persimmonspoke.daemon.observe_settings import Observe, Port
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.callers.settings import CallerSettings
from persimmonspoke.internal.checked_yaml import CheckedModel, CrossFault
from persimmonspoke.internal.questionnaire.fields import Address, Name
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.targets.settings import TargetSettings
from persimmonspoke.internal.timers import Timers

Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+(/\S*[^/\s])?$")]


class Settings(CheckedModel):
    """All settings of one daemon.

    Attributes
    ----------
    host : str
        Name of the host, the same at each start and as the platform lists it.
        Several daemons on one host need different names.
    data_centre : str
        The data centre of the host.
    ip : str
        Address of this host, as callers and the other entry hosts reach it.
    caller_port, peer_port : int
        TCP ports; 0 lets the kernel choose.  Several daemons on one host may share
        the caller port.
    platform_url : str
        Base URL of the object API and of the list of hosts.
    stop_s : float
        Time that a graceful stop allows for requests in flight and transfers.
    """

    host: Name
    data_centre: Name
    ip: Address
    caller_port: Port = 8080
    peer_port: Port = 7100
    platform_url: Url
    stop_s: Annotated[float, Field(gt=0)] = 20.0
    admin: AdminSettings = AdminSettings()
    callers: CallerSettings = CallerSettings()
    targets: TargetSettings = TargetSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    observe: Observe = Observe()
    timers: Timers = Timers()

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault if `ip` is 0.0.0.0 or ::, since other hosts can't reach it."""
        try:
            unspecified = ipaddress.ip_address(str(raw.get("ip"))).is_unspecified
        except ValueError:
            return
        if unspecified:
            remedy = "write the address under which the other hosts reach this one"
            yield CrossFault(("ip",), raw["ip"], remedy)
