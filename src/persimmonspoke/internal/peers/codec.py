"""Typed messages between hosts, encoded as msgpack.

A message is a frozen dataclass registered with `message`.  On the wire it is an
array of the name of its type and its fields in order; pydantic rebuilds nested
dataclasses, enums and tuples from the field annotations.

Builds of several revisions may exchange messages, see `peers.revisions`.  New fields
stand at the end, with a default and with `since` in their metadata; a field that the
reader does not know is ignored.
"""

from dataclasses import Field, dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from persimmonspoke.errors import MalformedMessage
from persimmonspoke.internal.peers.revisions import (
    NEWEST,
    SINCE,
    UNREADABLE,
    Revision,
)


@dataclass(frozen=True, slots=True)
class _Layout:
    """How messages of one type are encoded.

    Attributes
    ----------
    names : tuple of str
        Fields of the newest revision.
    validated : bool
        Whether the fields are validated when they are decoded.
    names_in : tuple of tuple of str
        Fields in each revision.
    revision_of : tuple of Revision
        The newest revision with at most so many fields, by their number.
    """

    message_type: type
    names: tuple[str, ...]
    validated: bool
    names_in: tuple[tuple[str, ...], ...]
    revision_of: tuple[Revision, ...]


_MESSAGE_TYPES: dict[str, _Layout] = {}


def message(message_type: type) -> type:
    """Register a frozen dataclass as a message; a class decorator."""
    return _register(message_type, validated=True)


def flat_message(message_type: type) -> type:
    """Register a frozen dataclass of plain values as a message; a class decorator.

    It is for messages that are sent several times per request.  Their fields are not
    validated when they are decoded, and sequences arrive as lists.
    """
    return _register(message_type, validated=False)


def encode(msg: Any, revision: Revision = NEWEST) -> bytes:
    """Return `msg` encoded as msgpack, in the layout of a revision."""
    name = type(msg).__name__
    layout = _MESSAGE_TYPES[name]
    body = [getattr(msg, field_name) for field_name in layout.names_in[revision]]
    return msgpack.packb([name, body], default=_to_plain_value)


def decode(data: bytes) -> Any:
    """Return the message in `data`, or raise `MalformedMessage`."""
    return decode_with_revision(data)[0]


def decode_with_revision(data: bytes) -> tuple[Any, Revision]:
    """Return the message in `data` and the revision of its layout.

    Raises
    ------
    MalformedMessage
        It can't be decoded.
    """
    try:
        name, body = msgpack.unpackb(data)
        layout = _MESSAGE_TYPES[name]
        if len(body) > len(layout.names):
            body = body[: len(layout.names)]
        if layout.validated:
            by_name = dict(zip(layout.names, body, strict=False))
            msg = _adapter(layout.message_type).validate_python(by_name)
        else:
            msg = layout.message_type(*body)
        return msg, layout.revision_of[len(body)]
    except (ValueError, TypeError, KeyError, ValidationError) as exc:
        raise MalformedMessage(f"{UNREADABLE}: {exc}") from exc


def earlier_revision(message_type: type, revision: Revision) -> Revision | None:
    """Return the newest revision before one in which a message has fewer fields.

    Return None if there is none.
    """
    names_in = _MESSAGE_TYPES[message_type.__name__].names_in
    fewer = [r for r in Revision if len(names_in[r]) < len(names_in[revision])]
    return max(fewer, default=None)


def _register(message_type, *, validated):
    name = message_type.__name__
    if name in _MESSAGE_TYPES:
        raise ValueError(f"a message named {name} exists; rename this one")
    names = tuple(field.name for field in fields(message_type))
    names_in = tuple(
        tuple(field.name for field in fields(message_type) if _since(field) <= revision)
        for revision in Revision
    )
    revision_of = tuple(
        max((r for r in Revision if len(names_in[r]) <= count), default=min(Revision))
        for count in range(len(names) + 1)
    )
    _MESSAGE_TYPES[name] = _Layout(
        message_type, names, validated, names_in, revision_of
    )
    return message_type


@cache
def _adapter(message_type):
    """Return the adapter that validates messages of a type.

    Building one takes about 1 ms, so it is not done for all types when a daemon starts.
    """
    return TypeAdapter(message_type)


def _since(field: Field) -> Revision:
    """Return the revision that has added a field."""
    return field.metadata.get(SINCE, min(Revision))


def _to_plain_value(value):
    """Return `value`, which msgpack can't encode, as a value that it can."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return {field.name: getattr(value, field.name) for field in fields(value)}
    raise TypeError(f"{type(value).__name__} cannot be sent; use plain fields")
