"""Decodes objects of the platform's store: the configuration and the targets.

A route, service or limit that can't be read affects only itself.  Requests of a route
that can't be read are refused, because a guess could repeat or misdirect them.
"""

import difflib
import ipaddress
import re
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgpack

from persimmonspoke.errors import MalformedDocument
from persimmonspoke.ids import DataCentreId, Generation, ServiceId, TargetId
from persimmonspoke.internal.routing.check import (
    CONFIGURATION,
    LIMITS,
    ConfigDraft,
    Finding,
    FindingKind,
    Severity,
)
from persimmonspoke.internal.routing.config import (
    CallerLimits,
    RouteConfig,
    RoutedService,
    RouteKind,
    RoutingConfig,
    SplitPart,
    TargetRecord,
    TargetState,
    UnreadableField,
)

CONFIG_KEY = "config/main"
CONFIG_PREFIX = "config/"
TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "evacuations/"

DEFAULT_MAX_CONNECTIONS = 50  # for a service whose limit can't be read
MAX_PORT = 65535
MAX_SHOWN_CHARS = 80
MAX_REASON_CHARS = 200
MAX_SLOTS = 100_000
MAX_COUNT = 10_000_000
MAX_BODY_BYTES = 1 << 40
MAX_NUMBER = 1e7  # seconds, or a weight; timers bear no infinite ones

CONFIG_NAMES = {
    "generation": "version",
    "prefix": "path_prefix",
    "kind": "route_kind",
    "objective_s": "target_latency_s",
    "rank": "priority",
    "parts": "traffic_split",
    "divided": "sharded",
    "cold_limit_per_s": "warmup_per_s",
    "protected": "unsafe",
}
"""The platform's names of attributes and values of a configuration, where different."""

_FIELDS = {
    CONFIGURATION: ("version", "routes", "services", "limits"),
    "routes": (
        "name",
        "host",
        "path_prefix",
        "route_kind",
        "timeout_s",
        "target_latency_s",
        "priority",
        "traffic_split",
        "max_attempts",
        "service",
    ),
    "services": (
        "name",
        "max_connections",
        "sharded",
        "warmup_s",
        "warmup_per_s",
        "health_path",  # for the platform alone
    ),
    LIMITS: (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    ),
}

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_KINDS = {
    "safe": RouteKind.SAFE,
    "download": RouteKind.SAFE,  # large answers; otherwise like "safe"
    "unsafe": RouteKind.PROTECTED,
    "upload": RouteKind.PROTECTED,  # large bodies; otherwise like "unsafe"
}
_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)


def decode_config(value: dict[str, Any]) -> RoutingConfig:
    """Return the configuration that an object's value describes.

    Raises
    ------
    MalformedDocument
        The version or one of the tables is missing or has the wrong type.
    """
    return ConfigDecoder().decode(value)


class ConfigDecoder:
    """Decodes versions of a configuration, of each only the routes that are new.

    Tables have many routes, and most versions change few of them.
    """

    def __init__(self):
        self._routes: dict[bytes, RouteConfig] = {}

    def decode(self, value: dict[str, Any]) -> RoutingConfig:
        """Return the configuration that an object's value describes.

        Raises
        ------
        MalformedDocument
            The version or one of the tables is missing or has the wrong type.
        """
        unreadable: list[UnreadableField] = []
        try:
            generation = Generation(_non_negative_int(value["version"]))
            routes = self._decode_routes(value["routes"], unreadable)
            service_rows = _rows(value["services"], "services", unreadable)
        except _DECODE_ERRORS as exc:
            reason = f"{exc!r}"[:MAX_REASON_CHARS]
            raise MalformedDocument(
                f"the configuration can't be read: {reason}"
            ) from exc
        return _config(value, generation, routes, service_rows, unreadable)

    def _decode_routes(self, table, unreadable):
        """Return the routes of a table; those with a fault are decoded each time."""
        columns = [_non_empty_str(column) for column in table["columns"]]
        places = [columns.index(c) if c in columns else None for c in _FIELDS["routes"]]
        is_plain = len(columns) == len(set(columns))
        routes, known = [], {}
        for cells in table["rows"]:
            key = _packed(cells, places) if is_plain else None
            route = self._routes.get(key)
            if route is None:
                faults = len(unreadable)
                for row in _rows_of(columns, [cells], "routes", unreadable):
                    route = _route(row)
                if route is None or len(unreadable) > faults:
                    key = None
            if route is not None:
                routes.append(route)
            if key is not None:
                known[key] = route
        self._routes = known
        return routes


def _packed(cells, places):
    """Return bytes that differ if a row differs in what is read, also by type.

    None for cells that have no such bytes, as large integers and deep nesting.

    Parameters
    ----------
    places : list of int or None
        Where the fields of a route stand in the row; None for a column that is missing.
    """
    if not isinstance(cells, list):
        return None
    count = len(cells)
    read = [None if at is None or at >= count else cells[at] for at in places]
    try:
        return msgpack.packb(read)
    except (OverflowError, TypeError, ValueError):
        return None


def _config(value, generation, routes, service_rows, unreadable):
    services = [_service(row) for row in service_rows]
    return RoutingConfig(
        generation=generation,
        routes=tuple(routes),
        services={entry.service: entry for entry in services if entry is not None},
        limits=_limits(value.get("limits"), unreadable),
        unreadable=tuple(unreadable),
    )


def decode_draft(value: dict[str, Any]) -> ConfigDraft:
    """Return the configuration of an object's value, with the faults of its tables.

    Raises
    ------
    MalformedDocument
        The version or one of the tables is missing or has the wrong type.
    """
    cfg = decode_config(value)
    findings = _unknown_fields(CONFIGURATION, value)
    if isinstance(value.get("limits"), dict):
        findings += _unknown_fields(LIMITS, value["limits"])
    for name in ("routes", "services"):
        findings += _table_findings(name, value[name])
    names = Counter(row.text("name") for row in _rows(value["services"], "", []))
    for name, count in names.items():
        if name is not None and count > 1:
            message = f"{count} services have the name {name!r}; only the last counts"
            findings.append(
                Finding(Severity.ERROR, FindingKind.DUPLICATE, name, "name", message)
            )
    return ConfigDraft(cfg, tuple(findings))


def decode_target(name: str, value: dict[str, Any]) -> TargetRecord:
    """Return the target that the entry called `name` describes.

    Raises
    ------
    MalformedDocument
        A field is missing or has the wrong type, or the state is unknown.
    """
    unreadable: list[UnreadableField] = []
    try:
        ip, port = _address(value["address"])
        # An unreadable time must not take a target out of service.
        row = _Row({"name": name, **_without_nulls(value)}, unreadable)
        return TargetRecord(
            target_id=TargetId(name),
            service=ServiceId(_non_empty_str(value["service"])),
            ip=ip,
            port=port,
            data_centre=DataCentreId(_non_empty_str(value["zone"])),
            slots=_bounded_int(value["slots"], MAX_SLOTS),
            state=_STATES[value["state"]],
            born_ms=_non_negative_int(value.get("born", 0)),
            cold_s=row.optional("warmup_left_s", _non_negative_float, None),
            unreadable=tuple(unreadable),
        )
    except _DECODE_ERRORS as exc:
        reason = f"{exc!r}"[:MAX_REASON_CHARS]
        raise MalformedDocument(f"entry {name} can't be read: {reason}") from exc


def decode_evacuation(name: str, value: dict[str, Any]) -> DataCentreId:
    """Return the data centre that an entry called `name` evacuates.

    The name alone says which one: the spec may be empty, and nothing in it counts.
    """
    return DataCentreId(name)


def _without_nulls(value):
    return {column: cell for column, cell in value.items() if cell is not None}


class _Row:
    """One row of a table; fields that can't be read are added to `unreadable`."""

    def __init__(self, cells: dict[str, Any], unreadable: list[UnreadableField]):
        self.cells = cells
        self._unreadable = unreadable
        self._entry = self.text("name") or self.text("path_prefix") or "unnamed"

    def text(self, column) -> str | None:
        """Return a non-empty string, or None without a report."""
        cell = self.cells.get(column)
        return cell if isinstance(cell, str) and cell else None

    def required(self, column: str, convert: Callable[[Any], Any]):
        """Return the converted cell; None, with a report, if it can't be read."""
        try:
            return convert(self.cells[column])
        except _DECODE_ERRORS:
            self.report(column)
            return None

    def optional(self, column: str, convert: Callable[[Any], Any], default):
        """Return the converted cell; `default` if it is missing or can't be read."""
        if column not in self.cells:
            return default
        found = self.required(column, convert)
        return default if found is None else found

    def report(self, column) -> None:
        """Record that the cell can't be read."""
        shown = repr(self.cells.get(column))[:MAX_SHOWN_CHARS]
        self._unreadable.append(UnreadableField(self._entry, column, shown))


def _rows(table, name, unreadable):
    """Return the rows of a table, from column name to value, without nulls."""
    columns = [_non_empty_str(column) for column in table["columns"]]
    return _rows_of(columns, table["rows"], name, unreadable)


def _rows_of(columns, rows, name, unreadable):
    found = []
    for row in rows:
        if not isinstance(row, list):
            shown = repr(row)[:MAX_SHOWN_CHARS]
            unreadable.append(UnreadableField(name, "rows", shown))
            continue
        cells = {
            column: cell
            for column, cell in zip(columns, row, strict=False)
            if cell is not None
        }
        found.append(_Row(cells, unreadable))
    return found


def _table_findings(name, table):
    """Return findings about columns, and about rows of another length."""
    columns = table["columns"]
    findings = _unknown_fields(name, columns)
    for column, count in Counter(columns).items():
        if count > 1:
            message = f"table {name} has column {column!r} {count} times"
            findings.append(
                Finding(Severity.ERROR, FindingKind.DUPLICATE, name, column, message)
            )
    for i, row in enumerate(table["rows"]):
        if isinstance(row, list) and len(row) != len(columns):
            message = f"row {i + 1} has {len(row)} cells for {len(columns)} columns"
            findings.append(
                Finding(
                    Severity.ERROR, FindingKind.MALFORMED_TABLE, name, "rows", message
                )
            )
    return findings


def _unknown_fields(entry, names):
    """Return warnings about names that resemble those of fields.

    The platform may have fields that are not read here, so other names are no fault.
    """
    known = _FIELDS[entry]
    findings = []
    for name in dict.fromkeys(names):
        if name in known:
            continue
        similar = difflib.get_close_matches(name.lower(), known, n=1, cutoff=0.8)
        if similar:
            message = f"{name!r} is not read; {similar[0]!r} may be meant"
            findings.append(
                Finding(
                    Severity.WARNING, FindingKind.UNKNOWN_FIELD, entry, name, message
                )
            )
    return findings


def _route(row) -> RouteConfig | None:
    """Return the route of a row; None if it isn't known which requests it is for."""
    host = row.required("host", _non_empty_str)
    prefix = row.required("path_prefix", _non_empty_str)
    if host is None or prefix is None:
        return None
    kind = row.required("route_kind", lambda text: _KINDS[text])
    timeout_s = row.required("timeout_s", _positive_float)
    parts = _parts(row)
    if kind is None or timeout_s is None or not parts:
        kind = RouteKind.UNREADABLE
    timeout_s = timeout_s or 1.0
    return RouteConfig(
        name=row.text("name") or f"{host}{prefix}",
        host=host,
        prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        # The objective is optional; without one the timeout takes its place.
        objective_s=row.optional("target_latency_s", _positive_float, timeout_s),
        rank=row.optional("priority", _count, 0),
        max_attempts=row.optional("max_attempts", _positive_count, 1),
        parts=parts,
    )


def _parts(row) -> tuple[SplitPart, ...]:
    """Return the services of a route; none if they can't be read."""
    if row.cells.get("traffic_split"):
        return row.required("traffic_split", _split) or ()
    service = row.required("service", _non_empty_str)
    return () if service is None else (SplitPart(ServiceId(service), 1.0),)


def _split(parts):
    return tuple(
        SplitPart(
            ServiceId(_non_empty_str(part["service"])),
            _non_negative_float(part["weight"]),
        )
        for part in parts
    )


def _service(row) -> RoutedService | None:
    """Return the service of a row; None if its name or its kind can't be read."""
    name = row.required("name", _non_empty_str)
    divided = False
    if "sharded" in row.cells:
        divided = row.required("sharded", _bool)
    if name is None or divided is None:
        return None
    return RoutedService(
        service=ServiceId(name),
        max_connections=row.required("max_connections", _positive_count)
        or DEFAULT_MAX_CONNECTIONS,
        divided=divided,
        warmup_s=row.optional("warmup_s", _non_negative_float, 0.0),
        cold_limit_per_s=row.optional("warmup_per_s", _non_negative_float, 0.0),
    )


def _limits(table, unreadable):
    default = CallerLimits()
    if not isinstance(table, dict):
        if table is not None:
            shown = repr(table)[:MAX_SHOWN_CHARS]
            unreadable.append(UnreadableField("limits", "limits", shown))
        return default
    row = _Row({"name": "limits", **table}, unreadable)
    return CallerLimits(
        row.optional("max_header_bytes", _positive_count, default.max_header_bytes),
        row.optional("max_body_bytes", _positive_size, default.max_body_bytes),
        row.optional("header_timeout_s", _positive_float, default.header_timeout_s),
        row.optional("idle_timeout_s", _positive_float, default.idle_timeout_s),
    )


def _address(text):
    ip, _, port = _non_empty_str(text).rpartition(":")
    ipaddress.ip_address(ip)  # a host name would have to be looked up
    if not (_PORT.fullmatch(port) and 0 < int(port) <= MAX_PORT):
        raise ValueError("the address has no valid port")
    return ip, int(port)


def _non_empty_str(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def _bool(value):
    if not isinstance(value, bool):
        raise TypeError(f"{value!r} is neither true nor false")
    return value


def _non_negative_int(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    return value


def _bounded_int(value, most):
    if _non_negative_int(value) > most:
        raise ValueError(f"the value is above {most}")
    return value


def _count(value):
    return _bounded_int(value, MAX_COUNT)


def _positive_count(value):
    if _count(value) == 0:
        raise ValueError("the value is 0")
    return value


def _positive_size(value):
    if _bounded_int(value, MAX_BODY_BYTES) == 0:
        raise ValueError("the value is 0")
    return value


def _non_negative_float(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    number = float(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"the value is not between 0 and {MAX_NUMBER:g}")
    return number


def _positive_float(value):
    number = _non_negative_float(value)
    if number == 0:
        raise ValueError("the value is 0")
    return number
