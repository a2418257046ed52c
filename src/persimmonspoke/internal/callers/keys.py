"""How a request yields its key."""

from urllib.parse import parse_qsl, unquote_to_bytes

from persimmonspoke.errors import MalformedRequest
from persimmonspoke.ids import KeyText
from persimmonspoke.internal.questionnaire.configuration import KeyRule, KeySource
from persimmonspoke.internal.targets.request_api import Headers

LONGEST_KEY_BYTES = 1024
MOST_QUERY_FIELDS = 100


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
            return _checked(_query_field(query, rule.name))
        case KeySource.HEADER:
            return _checked(_header(headers, rule.name))
    return _checked(_text(unquote_to_bytes(raw)))


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
            max_num_fields=MOST_QUERY_FIELDS,
        )
    except ValueError as exc:
        raise MalformedRequest("the query can't be read") from exc
    return _only([value for field, value in pairs if field == name], name)


def _header(headers, name):
    name = name.lower()
    value = _only([value for field, value in headers if field.lower() == name], name)
    return _text(value.encode("latin-1"))


def _only(values, name):
    if len(values) != 1:
        raise MalformedRequest(f"{name} must be given once, to name the key")
    return values[0]


def _text(raw):
    try:
        return raw.decode()
    except UnicodeDecodeError as exc:
        raise MalformedRequest("the key is not UTF-8") from exc


def _checked(text):
    if not text:
        raise MalformedRequest("the key is empty")
    if len(text.encode()) > LONGEST_KEY_BYTES:
        raise MalformedRequest(f"the key is longer than {LONGEST_KEY_BYTES} bytes")
    return KeyText(text)
