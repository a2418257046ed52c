"""Typed messages between hosts, encoded as msgpack.

A message is a frozen dataclass registered with `message`.  On the wire it is an
array of the name of its type and its fields in order; pydantic rebuilds nested
dataclasses, enums and tuples from the field annotations.
"""

from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from persimmonspoke.errors import MalformedMessage

_MESSAGE_TYPES: dict[str, tuple[type, tuple[str, ...], TypeAdapter | None]] = {}


def message(message_type: type) -> type:
    """Register a frozen dataclass as a message; a class decorator."""
    if message_type.__name__ in _MESSAGE_TYPES:
        raise ValueError(
            f"a message named {message_type.__name__} exists; rename this one"
        )
    names = tuple(field.name for field in fields(message_type))
    _MESSAGE_TYPES[message_type.__name__] = (
        message_type,
        names,
        TypeAdapter(message_type),
    )
    return message_type


def flat_message(message_type: type) -> type:
    """Register a frozen dataclass of plain values as a message; a class decorator.

    It is for messages that are sent several times per request.  Their fields are not
    validated when they are decoded, and sequences arrive as lists.
    """
    if message_type.__name__ in _MESSAGE_TYPES:
        raise ValueError(
            f"a message named {message_type.__name__} exists; rename this one"
        )
    names = tuple(field.name for field in fields(message_type))
    _MESSAGE_TYPES[message_type.__name__] = (message_type, names, None)
    return message_type


def encode(msg: Any) -> bytes:
    """Return `msg` encoded as msgpack."""
    message_type = type(msg)
    names = _MESSAGE_TYPES[message_type.__name__][1]
    body = [getattr(msg, name) for name in names]
    return msgpack.packb([message_type.__name__, body], default=_to_plain_value)


def decode(data: bytes) -> Any:
    """Return the message in `data`, or raise `MalformedMessage`."""
    try:
        name, body = msgpack.unpackb(data)
        message_type, names, adapter = _MESSAGE_TYPES[name]
        if adapter is None:
            return message_type(*body)
        return adapter.validate_python(dict(zip(names, body, strict=True)))
    except (ValueError, TypeError, KeyError, ValidationError) as exc:
        raise MalformedMessage(f"the message can't be decoded: {exc}") from exc


def _to_plain_value(value):
    """Return `value`, which msgpack can't encode, as a value that it can."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return {field.name: getattr(value, field.name) for field in fields(value)}
    raise TypeError(f"{type(value).__name__} cannot be sent; use plain fields")
