"""Field types that questionnaires and settings share."""

import ipaddress
from typing import Annotated

from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    PlainSerializer,
    StringConstraints,
)

from persimmonspoke.internal.questionnaire.configuration import Precedence

MAX_BODY_BYTES = 1 << 30
MAX_PATH_SEGMENT = 15
MAX_PORT = 65535
MAX_RANGE = 10_000
MAX_WAIT_MS = 600_000


def _usable_address(text):
    """Return `text` as a canonical unicast IP address, or raise `ValueError`."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ValueError("write an IP address, such as 10.0.0.7") from None
    if address.is_multicast or address.is_unspecified:
        raise ValueError("write the IP address of one machine")
    return str(address)


def _precedence(value):
    """Return the precedence with the name `value`, or raise `ValueError`."""
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
    StringConstraints(pattern=r"^/([A-Za-z0-9][A-Za-z0-9._~-]*/)*$", max_length=200),
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
