"""Extracts the key from a request."""

from urllib.parse import parse_qsl, unquote_to_bytes

from persimmonspoke.errors import MalformedRequest
from persimmonspoke.ids import KeyText
from persimmonspoke.internal.questionnaire.configuration import KeyRule, KeySource
from persimmonspoke.internal.targets.request_api import Headers

MAX_KEY_BYTES = 1024
MAX_QUERY_FIELDS = 100


def find_key(rule: KeyRule, path: str, query: str, headers: Headers) -> KeyText:
    """Return the key of a request, or raise `MalformedRequest`.

    Parameters
    ----------
    path : str
        The path after the service's prefix, still percent-encoded.
    query : str
        The query, still percent-encoded.
    """
    match rule.source:
        case KeySource.PATH:
            raw = _segment(path, int(rule.name))
        case KeySource.QUERY:
            return _checked_key(_query_field(query, rule.name))
        case KeySource.HEADER:
            return _checked_key(_header(headers, rule.name))
    return _checked_key(_decode(unquote_to_bytes(raw)))


def _segment(path, number):
    segments = path.split("/")[1:]
    if number >= len(segments):
        raise MalformedRequest(f"the path has no segment {number} for the key")
    return segments[number]


def _query_field(query, name):
    try:
        pairs = parse_qsl(
            query,
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as exc:
        raise MalformedRequest("the query can't be read") from exc
    return _single_value([value for field, value in pairs if field == name], name)


def _header(headers, name):
    name = name.lower()
    value = _single_value(
        [value for field, value in headers if field.lower() == name], name
    )
    return _decode(value.encode("latin-1"))


def _single_value(values, name):
    if len(values) != 1:
        raise MalformedRequest(f"{name} must be given once, to name the key")
    return values[0]


def _decode(raw):
    try:
        return raw.decode()
    except UnicodeDecodeError as exc:
        raise MalformedRequest("the key is not UTF-8") from exc


def _checked_key(text):
    if not text:
        raise MalformedRequest("the key is empty")
    if len(text.encode()) > MAX_KEY_BYTES:
        raise MalformedRequest(f"the key is longer than {MAX_KEY_BYTES} bytes")
    return KeyText(text)
