"""Checks that an answer shows in one way only where it ends (RFC 9112, section 6.3)."""

import re

from persimmonspoke.errors import AnswerLost
from persimmonspoke.internal.targets.request_api import Headers

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
CHUNKED = "chunked"

_LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)


def framed_headers(headers: Headers) -> Headers:
    """Return the fields of an answer with at most one length, which holds.

    In an answer in chunks the chunks decide, and a length beside them is dropped.

    Raises
    ------
    AnswerLost
        The length can't be read or contradicts another one, or the answer has an
        encoding that hides its end.
    """
    encodings = _values(headers, TRANSFER_ENCODING)
    if encodings not in ([], [CHUNKED]):
        raise AnswerLost(f"the transfer encodings {encodings!r} can't be read")
    lengths = _values(headers, CONTENT_LENGTH)
    if not lengths or (len(lengths) == 1 and not encodings and _is_length(lengths[0])):
        return headers
    rest = tuple(field for field in headers if field[0].lower() != CONTENT_LENGTH)
    if encodings:
        return rest
    if len(set(lengths)) > 1 or not _is_length(lengths[0]):
        raise AnswerLost(f"the lengths {lengths!r} can't be read or contradict")
    return (*rest, ("Content-Length", lengths[0]))


def _values(headers, name):
    """Return the values of a field, in lower case, of all its lines."""
    return [
        part.strip().lower()
        for field, value in headers
        if field.lower() == name
        for part in value.split(",")
    ]


def _is_length(text):
    return _LENGTH.fullmatch(text) is not None
