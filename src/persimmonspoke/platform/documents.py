"""Decodes objects of the platform's store: the configuration and the targets."""

from typing import Any

from persimmonspoke.errors import MalformedDocument
from persimmonspoke.ids import DataCentreId, Generation, ServiceId, TargetId
from persimmonspoke.internal.routing.config import (
    CallerLimits,
    RouteConfig,
    RoutedService,
    RouteKind,
    RoutingConfig,
    SplitPart,
    TargetRecord,
    TargetState,
)

CONFIG_KEY = "config/main"
CONFIG_PREFIX = "config/"
TARGETS_PREFIX = "servers/"

_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.PROTECTED}
_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_config(value: dict[str, Any]) -> RoutingConfig:
    """Return the configuration that an object's value describes.

    Raises
    ------
    MalformedDocument
        A field is missing or has the wrong type.
    """
    try:
        routes = tuple(_route(row) for row in _rows(value["routes"]))
        services = [_service(row) for row in _rows(value["services"])]
        return RoutingConfig(
            generation=Generation(int(value["version"])),
            routes=routes,
            services={entry.service: entry for entry in services},
            limits=_limits(value.get("limits") or {}),
        )
    except _DECODE_ERRORS as exc:
        raise MalformedDocument(f"the configuration can't be read: {exc!r}") from exc


def decode_target(name: str, value: dict[str, Any]) -> TargetRecord:
    """Return the target that the entry called `name` describes.

    Raises
    ------
    MalformedDocument
        A field is missing or has the wrong type, or the state is unknown.
    """
    try:
        ip, _, port = value["address"].rpartition(":")
        if not ip:
            raise ValueError(f"address {value['address']!r} has no port")
        return TargetRecord(
            target_id=TargetId(name),
            service=ServiceId(_non_empty_str(value["service"])),
            ip=ip,
            port=int(port),
            data_centre=DataCentreId(_non_empty_str(value["zone"])),
            slots=_non_negative_int(value["slots"]),
            state=_STATES[value["state"]],
            born_ms=_non_negative_int(value.get("born", 0)),
            cold_s=float(value.get("warmup_left_s") or 0.0),
        )
    except _DECODE_ERRORS as exc:
        raise MalformedDocument(f"entry {name} can't be read: {exc!r}") from exc


def _rows(table):
    """Yield the rows of a table as dicts from column name to value, without nulls."""
    columns = table["columns"]
    for row in table["rows"]:
        yield {
            column: cell
            for column, cell in zip(columns, row, strict=False)
            if cell is not None
        }


def _route(row):
    split = row.get("traffic_split")
    if split:
        parts = tuple(
            SplitPart(ServiceId(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        parts = (SplitPart(ServiceId(row["service"]), 1.0),)
    return RouteConfig(
        name=row["name"],
        host=row["host"],
        prefix=row["path_prefix"],
        kind=_KINDS[row["route_kind"]],
        timeout_s=float(row["timeout_s"]),
        # The objective is optional; without one the timeout takes its place.
        objective_s=float(row.get("target_latency_s") or row["timeout_s"]),
        rank=int(row.get("priority") or 0),
        max_attempts=int(row.get("max_attempts") or 1),
        parts=parts,
    )


def _service(row):
    return RoutedService(
        service=ServiceId(row["name"]),
        max_connections=int(row["max_connections"]),
        divided=bool(row.get("sharded")),
    )


def _limits(table):
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(table.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(table.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=float(table.get("header_timeout_s", default.header_timeout_s)),
        idle_timeout_s=float(table.get("idle_timeout_s", default.idle_timeout_s)),
    )


def _non_empty_str(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def _non_negative_int(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    return value
