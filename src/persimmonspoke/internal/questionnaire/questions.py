"""The questionnaire: what a team says about its services, keys and callers."""

import hashlib
import ipaddress
import json
from collections.abc import Iterator
from enum import Enum
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    PlainSerializer,
    StringConstraints,
    ValidationError,
)

from persimmonspoke.internal.checked_yaml import (
    CheckedModel,
    CrossFault,
    load_checked,
)
from persimmonspoke.internal.questionnaire.configuration import (
    KeySource,
    Measure,
    Precedence,
)

DEFAULT_PROTECTED = ("POST", "PUT", "PATCH", "DELETE")
DEFAULT_BODY_BYTES = 1 << 20
MAX_BODY_BYTES = 1 << 30
MAX_PATH_SEGMENT = 15
MAX_PORT = 65535
MAX_RANGE = 10_000
MAX_WAIT_MS = 600_000


def _usable_address(text):
    """Return `text` as a canonical IP address of one machine."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ValueError("write an IP address, such as 10.0.0.7") from None
    if address.is_multicast or address.is_unspecified:
        raise ValueError("write the IP address of one machine")
    return str(address)


def _precedence(value):
    """Return the precedence of that name."""
    names = {entry.name.lower(): entry for entry in Precedence}
    if isinstance(value, Precedence):
        return value
    if value not in names:
        raise ValueError(f"write one of {', '.join(names)}")
    return names[value]


Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9-]{0,46}[a-z0-9])?$")
]
Prefix = Annotated[
    str,
    StringConstraints(pattern=r"^/([A-Za-z0-9][A-Za-z0-9._~-]*/)+$", max_length=200),
]
FieldName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,20}$")]
Address = Annotated[str, AfterValidator(_usable_address)]
Port = Annotated[int, Field(strict=True, ge=1, le=MAX_PORT)]
Count = Annotated[int, Field(strict=True, ge=1, le=MAX_RANGE)]
Flag = Annotated[bool, Field(strict=True)]
NamedPrecedence = Annotated[
    Precedence,
    BeforeValidator(_precedence),
    PlainSerializer(lambda entry: entry.name.lower()),
]


class KeyAnswer(CheckedModel):
    """How a request yields its key.

    Attributes
    ----------
    segment : int or None
        For a key in the path: number of the segment after the prefix, from 0.
    name : str or None
        For a key in the query or a header: name of the parameter or header.
    """

    source: KeySource
    segment: Annotated[int, Field(strict=True, ge=0, le=MAX_PATH_SEGMENT)] | None = None
    name: FieldName | None = None

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault unless exactly the field that fits the source is given."""
        by_path = raw.get("source") == KeySource.PATH.value
        wanted, other = ("segment", "name") if by_path else ("name", "segment")
        if raw.get(wanted) is None:
            yield CrossFault((wanted,), None, "say where in the source the key is")
        if raw.get(other) is not None:
            yield CrossFault((other,), raw[other], f"remove it; {wanted} is used here")


class TargetAnswer(CheckedModel):
    """One target.

    Attributes
    ----------
    slots : int
        Requests that it works on at once.
    connections : int
        Connections that it accepts from all entry hosts together.
    checks_fence : bool
        Whether it refuses orders and requests whose epoch is out of date.
    """

    id: Name
    ip: Address
    port: Port
    data_centre: Name
    slots: Count
    connections: Count
    checks_fence: Flag


class NumberedBy(Enum):
    """What tells the targets of a range apart."""

    IP = "ip"
    PORT = "port"


class TargetRange(CheckedModel):
    """Like targets at consecutive addresses, dealt over data centres in turn.

    Attributes
    ----------
    id_prefix : str
        Targets are named ``{id_prefix}-01`` and so on.
    numbered_by : NumberedBy
        Whether the IP address or the port grows by one from target to target.
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
        """Yield a fault if the range runs past the last port or address."""
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
            return  # The field itself is reported as no address.

    def targets(self) -> tuple[TargetAnswer, ...]:
        """Return the targets of the range, in order."""
        return tuple(self._target(number) for number in range(self.count))

    def _target(self, number):
        by_ip = self.numbered_by is NumberedBy.IP
        return TargetAnswer(
            id=f"{self.id_prefix}-{number + 1:02d}",
            ip=str(ipaddress.ip_address(self.first_ip) + (number if by_ip else 0)),
            port=self.first_port + (0 if by_ip else number),
            data_centre=self.data_centres[number % len(self.data_centres)],
            slots=self.slots,
            connections=self.connections,
            checks_fence=self.checks_fence,
        )


class ServiceAnswer(CheckedModel):
    """One service.

    Attributes
    ----------
    path_prefix : str
        Starts with ``/{team}/`` and ends with ``/``.
    protected_methods : tuple of str or None
        Methods that run at most once; by default those that write.
    treat_as_idempotent : tuple of str
        Methods to take from the default, since the service makes them idempotent.
    protected_precedence : Precedence or None
        Precedence of protected requests, where it differs from the others'.
    wait_ms : int
        How long callers tolerate waiting for an answer.
    weight : int
        Share of the team's turns within one precedence.
    """

    name: Name
    path_prefix: Prefix
    divided_by_key: Flag
    key: KeyAnswer | None = None
    protected_methods: tuple[Method, ...] | None = None
    treat_as_idempotent: tuple[Method, ...] = ()
    precedence: NamedPrecedence
    protected_precedence: NamedPrecedence | None = None
    wait_ms: Annotated[int, Field(strict=True, ge=1, le=MAX_WAIT_MS)]
    weight: Count = 1
    max_body_bytes: Annotated[int, Field(strict=True, ge=0, le=MAX_BODY_BYTES)] = (
        DEFAULT_BODY_BYTES
    )
    targets: tuple[TargetAnswer, ...] = ()
    target_ranges: tuple[TargetRange, ...] = ()

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield the faults between the fields of one service."""
        divided, key = raw.get("divided_by_key"), raw.get("key")
        if divided is True and key is None:
            yield CrossFault(("key",), None, "say how a request yields its key")
        if divided is False and key is not None:
            yield CrossFault(("key",), key, "remove it, or set divided_by_key: true")
        if not raw.get("targets") and not raw.get("target_ranges"):
            yield CrossFault(("targets",), [], "list at least one target")
        if raw.get("protected_methods") is not None and raw.get("treat_as_idempotent"):
            yield CrossFault(
                ("treat_as_idempotent",),
                raw["treat_as_idempotent"],
                "remove it; protected_methods lists all methods that count",
            )

    def all_targets(self) -> tuple[TargetAnswer, ...]:
        """Return the targets listed singly, then those of the ranges."""
        ranges = (target for entry in self.target_ranges for target in entry.targets())
        return self.targets + tuple(ranges)

    def all_protected(self) -> tuple[str, ...]:
        """Return the methods that run at most once, sorted."""
        if self.protected_methods is not None:
            return tuple(sorted(set(self.protected_methods)))
        return tuple(sorted(set(DEFAULT_PROTECTED) - set(self.treat_as_idempotent)))


class Questionnaire(CheckedModel):
    """All answers of one team."""

    team: Name
    weighs_most: Measure
    weight: Count = 1
    services: tuple[ServiceAnswer, ...]

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield the faults between services, even if some of them are malformed."""
        if raw.get("services") == []:
            yield CrossFault(("services",), [], "describe at least one service")
        rows = _rows(raw, "services")
        yield from _repeated_names(rows)
        yield from _prefix_faults(rows, raw.get("team"))
        yield from _target_faults(rows)

    def digest(self) -> str:
        """Return a hash of the answers, whatever their layout in the file."""
        return digest(self.model_dump(mode="json"))


def digest(value: Any) -> str:
    """Return the SHA-256 of a JSON value in its canonical form."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), default=str)
    return hashlib.sha256(text.encode()).hexdigest()


def read_questionnaire(text: str, source_name: str) -> Questionnaire:
    """Return the questionnaire in `text`, or raise `InvalidSettings`."""
    return load_checked(Questionnaire, text, source_name)


def _rows(raw, name):
    """Return the well-formed entries of a list, with their positions."""
    entries = raw.get(name)
    if not isinstance(entries, list | tuple):
        return []
    return [(i, row) for i, row in enumerate(entries) if isinstance(row, dict)]


def _repeated_names(rows):
    """Yield a fault for each service that has the name of an earlier one."""
    seen = set()
    for i, row in rows:
        name = row.get("name")
        if not isinstance(name, str):
            continue
        if name in seen:
            yield CrossFault(("services", i, "name"), name, "choose a name not in use")
        seen.add(name)


def _prefix_faults(rows, team):
    """Yield a fault for each prefix outside the team's, or inside another one."""
    seen = []
    for i, row in rows:
        prefix = row.get("path_prefix")
        if not isinstance(prefix, str):
            continue
        path = ("services", i, "path_prefix")
        if isinstance(team, str) and not prefix.startswith(f"/{team}/"):
            yield CrossFault(path, prefix, f"start it with /{team}/")
        for other in seen:
            if prefix.startswith(other) or other.startswith(prefix):
                yield CrossFault(path, prefix, f"choose one that {other} can't match")
        seen.append(prefix)


def _target_faults(rows):
    """Yield a fault for each id or address that an earlier target has."""
    ids, addresses = set(), set()
    for path, target in _valid_targets(rows):
        if target.id in ids:
            yield CrossFault(path, target.id, "choose an id that no target has yet")
        address = (target.ip, target.port)
        if address in addresses:
            shown = f"{target.ip}:{target.port}"
            yield CrossFault(path, shown, "list each address for one target only")
        ids.add(target.id)
        addresses.add(address)


def _valid_targets(rows):
    """Yield each well-formed target with its path, ranges expanded."""
    for i, row in rows:
        for field, kind in (("targets", TargetAnswer), ("target_ranges", TargetRange)):
            for j, entry in _rows(row, field):
                try:
                    found = kind.model_validate(entry)
                except ValidationError:
                    continue  # Reported where the field itself is checked.
                many = found.targets() if kind is TargetRange else (found,)
                for target in many:
                    yield ("services", i, field, j), target
