"""Decodes answers of the platform's store, of which any item may come from anywhere.

What is nested too deeply, or can't be passed on from host to host, affects only the
field that holds it: the page around it is read, and its item's name if it has one.
"""

import json
import math
import re
from typing import Any

import eventlet

MAX_DEPTH = 32  # of an item; the deepest one that is used, a configuration, has 9
MAX_INT_CHARS = 19
MAX_INT = 2**63 - 1  # what hosts can pass on to each other
MAX_NAME_CHARS = 512
TOKENS_PER_TURN = 20_000

_TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


class Unreadable(ValueError):
    """An item has no name by which it can be known."""


def decode_page(data: bytes) -> Any:
    """Return the JSON value in `data`; items that are nested too deeply are cut.

    Raises
    ------
    ValueError
        The page is not JSON, or is itself nested too deeply.
    """
    try:
        return json.loads(data, parse_int=_parse_int)
    except RecursionError:
        return json.loads(_cut(data), parse_int=_parse_int)


def usable(value: Any, depth: int = 1) -> Any:
    """Return a value with NaN, which no field accepts, in place of what can't be used.

    That is what is nested too deeply, or what hosts can't pass on to each other.  Names
    of fields that can't be passed on are left out.
    """
    if depth > MAX_DEPTH:
        return math.nan
    if isinstance(value, dict):
        return {
            name: usable(inner, depth + 1)
            for name, inner in value.items()
            if _is_text(name)
        }
    if isinstance(value, list):
        return [usable(inner, depth + 1) for inner in value]
    if isinstance(value, str):
        return value if _is_text(value) else math.nan
    if isinstance(value, int) and abs(value) > MAX_INT:
        return math.nan
    return value


def check_name(name: Any) -> str:
    """Return an object's name, or raise `Unreadable`."""
    is_short = isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARS
    if not (is_short and _is_text(name)):
        raise Unreadable(f"its name is not a text of 1 to {MAX_NAME_CHARS} characters")
    return name


def _is_text(text):
    """Return whether a text can be encoded: half of a surrogate pair can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_int(text):
    """Return an integer; a longer one as a float, which no integer field accepts."""
    return int(text) if len(text) <= MAX_INT_CHARS else float(text)


def _cut(data: bytes) -> bytes:
    """Return the page with null in place of what is nested too deeply.

    What remains of an item is deeper than `usable` allows.
    """
    parts, depth, copied_to = [], 0, 0
    limit = MAX_DEPTH + 3  # the page, its list of items, and an event around an item
    for number, token in enumerate(_TOKENS.finditer(data)):
        if number % TOKENS_PER_TURN == 0:
            eventlet.sleep(0)
        symbol = data[token.start()]
        if symbol in b"[{":
            depth += 1
            if depth == limit + 1:
                parts.append(data[copied_to : token.start()])
        elif symbol in b"]}":
            depth -= 1
            if depth == limit:
                parts.append(b"null")
                copied_to = token.end()
    if depth > limit:
        raise ValueError("the page ends within an item")
    return b"".join((*parts, data[copied_to:]))
