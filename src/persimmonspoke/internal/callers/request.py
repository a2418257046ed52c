"""Parses and validates callers' requests."""

import itertools
import re
import secrets
from dataclasses import dataclass

from persimmonspoke.errors import MalformedRequest
from persimmonspoke.ids import Instant, KeyText, RequestId
from persimmonspoke.internal.callers.keys import find_key
from persimmonspoke.internal.callers.services import ServiceEntry, ServiceTable
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.routing.config import RouteConfig, TableState
from persimmonspoke.internal.targets import protocol
from persimmonspoke.internal.targets.request_api import ForwardedFields, Headers

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Lower-case names of the header fields that apply to a single connection."""

_CONNECTION_FIELDS = HOP_BY_HOP | {"content-length", "expect"}
_NOT_FORWARDED = _CONNECTION_FIELDS | protocol.PROTOCOL_HEADERS
_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_METHOD = re.compile(r"[A-Z][A-Z0-9-]{0,31}", re.ASCII)
_PATH = re.compile(r"/[!\"$-\[\]-~]*", re.ASCII)
_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:[/;]|%2f|$)", re.ASCII | re.IGNORECASE)
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})|%00", re.ASCII)
_QUERY = re.compile(r"[!\"$-~]*", re.ASCII)
_FIELD_NAMES = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]*", re.ASCII)
_FIELD_VALUES = re.compile(r"[\t -~\x80-\xff]*")
_MILLISECONDS = re.compile(r"[0-9]{1,9}", re.ASCII)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, apart from its body.

    Attributes
    ----------
    path : str
        Path and query as sent to the target, still percent-encoded.
    headers : Headers
        Header fields that are forwarded to the target.
    route : RouteConfig or None
        The route that selected the service, for a routed service.
    objective : Instant or None
        End of the route's latency objective, up to which an answer has its full
        value; None without a route.
    table : TableState or None
        The routing table that contains the route, when the request was read.
    forwarded : ForwardedFields or None
        Set if another host took the request from its caller.
    blocks_others : bool
        Whether other requests wait behind this one on its connection.
    """

    request_id: RequestId
    entry: ServiceEntry
    method: str
    path: str
    headers: Headers
    key: KeyText | None
    protected: bool
    deadline: Instant
    route: RouteConfig | None = None
    objective: Instant | None = None
    table: TableState | None = None
    forwarded: ForwardedFields | None = None
    blocks_others: bool = False


class RequestReader:
    """Reads requests from WSGI environments."""

    def __init__(self, table: ServiceTable, clock: Clock):
        self._table = table
        self._clock = clock
        # The random prefix keeps the ids of different hosts and runs distinct.
        self._prefix = secrets.token_hex(8)
        self._counter = itertools.count()

    def request_id(self, environ: dict) -> RequestId:
        """Return the caller's request id if it is well formed, else a new id."""
        given = environ.get("HTTP_X_REQUEST_ID")
        if given is not None and _REQUEST_ID.fullmatch(given):
            return RequestId(given)
        return RequestId(f"{self._prefix}-{next(self._counter):x}")

    def read(self, environ: dict, request_id: RequestId) -> CallerRequest:
        """Return the checked request, or raise `MalformedRequest`."""
        started = self._clock.now()
        method = environ["REQUEST_METHOD"]
        if not _METHOD.fullmatch(method):
            raise MalformedRequest("the method is no token of capital letters")
        path = checked_path(environ["RAW_PATH_INFO"])
        query = checked_query(environ.get("QUERY_STRING", ""))
        entry = self._table.find(path)
        headers = forwarded_headers(environ["headers_raw"])
        service_path = path[1 + len(entry.team) :]
        return CallerRequest(
            request_id=request_id,
            entry=entry,
            method=method,
            path=join_query(service_path, query),
            headers=headers,
            key=_key(entry, service_path, query, headers),
            protected=entry.service.protects(method),
            deadline=_deadline(environ, entry, started),
        )


def join_query(path: str, query: str) -> str:
    """Return `path` and `query` joined as in an HTTP request line."""
    path = path or "/"
    return f"{path}?{query}" if query else path


def checked_query(query: str) -> str:
    """Return `query`, or raise `MalformedRequest`."""
    if not _QUERY.fullmatch(query):
        raise MalformedRequest("the query holds a forbidden character")
    return query


def checked_path(path: str) -> str:
    """Return `path`, or raise `MalformedRequest`."""
    if not _PATH.fullmatch(path):
        raise MalformedRequest("the path must start with / and hold no blanks")
    if "%" in path and _BAD_ESCAPE.search(path):
        raise MalformedRequest("the path holds a broken percent-encoding")
    # A target that resolves dot segments would read a different key than this host.
    if _DOT_SEGMENT.search(path):
        raise MalformedRequest("the path holds a dot segment")
    return path


def _key(entry, path, query, headers):
    rule = entry.service.key
    if rule is None:
        return None
    return find_key(rule, path[len(entry.prefix) :], query, headers)


def _deadline(environ, entry, started):
    wait_ms = entry.service.wait_ms
    given = environ.get("HTTP_X_DEADLINE_MS")
    if given is not None:
        if not _MILLISECONDS.fullmatch(given):
            raise MalformedRequest("X-Deadline-Ms must be a whole number")
        wait_ms = min(wait_ms, int(given))
    return Instant(started + wait_ms / protocol.MS_PER_S)


def forwarded_headers(pairs, keep_protocol_headers: bool = False) -> Headers:
    """Return the header fields to forward, or raise `MalformedRequest`.

    Parameters
    ----------
    keep_protocol_headers : bool
        Whether to forward fields that have names of the project's own target
        protocol, because the targets use another protocol.
    """
    dropped = _CONNECTION_FIELDS if keep_protocol_headers else _NOT_FORWARDED
    forwarded = []
    hosts = 0
    # Matching the joined text once is cheaper than matching each field.
    names = "".join([name for name, _ in pairs])
    values = "".join([value for _, value in pairs])
    if not _FIELD_NAMES.fullmatch(names) or not _FIELD_VALUES.fullmatch(values):
        raise MalformedRequest("a header field holds a forbidden character")
    for name, value in pairs:
        lower = name.lower()
        if lower == "connection":
            dropped = dropped | _tokens(value)
        elif lower == "host":
            hosts += 1
        # Many servers treat an underscore as a hyphen, so such a name could imitate
        # a field that only this host may set.
        if "_" not in name:
            forwarded.append((lower, name, value))
    if hosts > 1:
        raise MalformedRequest("Host is given more than once")
    return tuple(
        (name, value) for lower, name, value in forwarded if lower not in dropped
    )


def _tokens(value):
    return {token.strip().lower() for token in value.split(",")} - {"host"}
