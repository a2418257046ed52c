"""Typed messages between entry hosts, as msgpack on the wire.

A message is a frozen dataclass registered with `message`.  On the wire it is an
array of its type's name and its fields in order; nested dataclasses, enums and
tuples are rebuilt from the field annotations by pydantic.
"""

from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from persimmonspoke.errors import MalformedMessage

_KINDS: dict[str, tuple[type, tuple[str, ...], TypeAdapter | None]] = {}


def message(kind: type) -> type:
    """Class decorator: make a frozen dataclass a message."""
    if kind.__name__ in _KINDS:
        raise ValueError(f"a message named {kind.__name__} exists; rename this one")
    names = tuple(field.name for field in fields(kind))
    _KINDS[kind.__name__] = (kind, names, TypeAdapter(kind))
    return kind


def flat_message(kind: type) -> type:
    """Class decorator: make a frozen dataclass of plain values a message.

    For messages of which each request makes several.  They are rebuilt without a
    check of their fields, and sequences arrive as lists.
    """
    if kind.__name__ in _KINDS:
        raise ValueError(f"a message named {kind.__name__} exists; rename this one")
    names = tuple(field.name for field in fields(kind))
    _KINDS[kind.__name__] = (kind, names, None)
    return kind


def encode(msg: Any) -> bytes:
    """Return `msg` as bytes."""
    kind = type(msg)
    names = _KINDS[kind.__name__][1]
    body = [getattr(msg, name) for name in names]
    return msgpack.packb([kind.__name__, body], default=_plain)


def decode(data: bytes) -> Any:
    """Return the message in `data`, or raise `MalformedMessage`."""
    try:
        name, body = msgpack.unpackb(data)
        kind, names, adapter = _KINDS[name]
        if adapter is None:
            return kind(*body)
        return adapter.validate_python(dict(zip(names, body, strict=True)))
    except (ValueError, TypeError, KeyError, ValidationError) as exc:
        raise MalformedMessage(f"not a message: {exc}") from exc


def _plain(value):
    """Return a value that msgpack does not know in terms of those that it does."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return {field.name: getattr(value, field.name) for field in fields(value)}
    raise TypeError(f"{type(value).__name__} cannot be sent; use plain fields")
