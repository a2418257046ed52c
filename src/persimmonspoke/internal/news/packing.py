"""Compressed values of large objects, as relays pass them on.

A relay compresses each version once, for all hosts that ask for it.
"""

import zlib
from typing import Any

import msgpack

from persimmonspoke.errors import MalformedMessage
from persimmonspoke.ids import Era, Version
from persimmonspoke.internal.store.api import StoredObject

MIN_PACKED_BYTES = 4096  # below, the values of most objects hardly shrink
MAX_VALUE_BYTES = 16 << 20
LEVEL = 1


class PackedValues:
    """The compressed values of the newest versions of large objects."""

    def __init__(self):
        self._values: dict[str, tuple[tuple[Era, Version], bytes | None]] = {}

    def get(self, stored: StoredObject) -> bytes | None:
        """Return the compressed value of an object; None if it isn't large."""
        if not stored.value:
            self._values.pop(stored.key, None)
            return None
        order, packed = self._values.get(stored.key, (None, None))
        if order != stored.order:
            data = msgpack.packb(stored.value)
            is_large = len(data) >= MIN_PACKED_BYTES
            packed = zlib.compress(data, LEVEL) if is_large else None
            self._values[stored.key] = stored.order, packed
        return packed


def unpack(data: bytes) -> dict[str, Any]:
    """Return the value that was compressed.

    Raises
    ------
    MalformedMessage
        The bytes are no compressed value, or one that is too large.
    """
    reader = zlib.decompressobj()
    try:
        value = msgpack.unpackb(reader.decompress(data, MAX_VALUE_BYTES))
    except (zlib.error, ValueError, msgpack.UnpackException) as exc:
        raise MalformedMessage(f"a compressed value can't be read: {exc}") from exc
    if not reader.eof or not isinstance(value, dict) or not value:
        raise MalformedMessage("a compressed value is cut off, too large or no object")
    return value
