"""A questionnaire's answers about targets, listed individually or as ranges."""

import ipaddress
from collections.abc import Iterator
from enum import Enum
from typing import Any

from persimmonspoke.internal.checked_yaml import CheckedModel, CrossFault
from persimmonspoke.internal.questionnaire.fields import (
    MAX_PORT,
    MAX_RANGE,
    Address,
    Count,
    Flag,
    Name,
    Port,
)


class TargetAnswer(CheckedModel):
    """One target.

    Attributes
    ----------
    slots : int
        Number of requests that the target serves at once.
    connections : int
        Number of connections that it accepts from all entry hosts together.
    checks_fence : bool
        Whether it refuses orders and requests with an outdated epoch.
    """

    id: Name
    ip: Address
    port: Port
    data_centre: Name
    slots: Count
    connections: Count
    checks_fence: Flag


class NumberedBy(Enum):
    """Part of the address that differs between the targets of a range."""

    IP = "ip"
    PORT = "port"


class TargetRange(CheckedModel):
    """Identical targets at consecutive addresses, assigned to data centres in turn.

    Attributes
    ----------
    id_prefix : str
        Targets are named ``{id_prefix}-01`` and so on.
    numbered_by : NumberedBy
        Whether the IP address or the port increases by 1 from target to target.
    """

    id_prefix: Name
    count: Count
    first_ip: Address
    first_port: Port
    numbered_by: NumberedBy = NumberedBy.IP
    data_centres: tuple[Name, ...]
    slots: Count
    connections: Count
    checks_fence: Flag

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault if the range exceeds the last port or address."""
        if raw.get("data_centres") == []:
            yield CrossFault(("data_centres",), [], "name at least one data centre")
        count = raw.get("count")
        if type(count) is not int or not 1 <= count <= MAX_RANGE:
            return
        port, ip = raw.get("first_port"), raw.get("first_ip")
        if raw.get("numbered_by") == NumberedBy.PORT.value:
            if type(port) is int and 0 < port <= MAX_PORT < port + count - 1:
                yield CrossFault(("first_port",), port, f"{count} ports don't fit")
            return
        try:
            ipaddress.ip_address(ip) + (count - 1)
        except ipaddress.AddressValueError:
            yield CrossFault(("first_ip",), ip, f"{count} addresses don't fit")
        except ValueError:
            return  # The check of the field itself reports the malformed address.

    def targets(self) -> tuple[TargetAnswer, ...]:
        """Return the targets of the range, in order."""
        return tuple(self._target(number) for number in range(self.count))

    def _target(self, number):
        numbered_by_ip = self.numbered_by is NumberedBy.IP
        return TargetAnswer(
            id=f"{self.id_prefix}-{number + 1:02d}",
            ip=str(
                ipaddress.ip_address(self.first_ip) + (number if numbered_by_ip else 0)
            ),
            port=self.first_port + (0 if numbered_by_ip else number),
            data_centre=self.data_centres[number % len(self.data_centres)],
            slots=self.slots,
            connections=self.connections,
            checks_fence=self.checks_fence,
        )
