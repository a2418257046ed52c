"""Checks a configuration before operators send it, and compares it with another one."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from functools import singledispatch
from typing import Any

from persimmonspoke.errors import MalformedRequest
from persimmonspoke.internal.callers.request import checked_path
from persimmonspoke.internal.routing.config import (
    CallerLimits,
    RouteConfig,
    RoutedService,
    RouteKind,
    RoutingConfig,
)
from persimmonspoke.internal.routing.table import host_without_port

MAX_LIKELY_ATTEMPTS = 100
"""A configuration does not list targets, so that a service has fewer than a route's
attempts can't be known.  The largest service in docs/design/heavy-load.md has 84."""

CONFIGURATION = "configuration"
LIMITS = "limits"


class Severity(Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"
    """A difference from the version in force."""


class FindingKind(Enum):
    """What a finding is about."""

    UNREADABLE = "unreadable"
    MALFORMED_TABLE = "malformed_table"
    UNKNOWN_FIELD = "unknown_field"
    UNDEFINED_SERVICE = "undefined_service"
    UNUSED_SERVICE = "unused_service"
    DUPLICATE = "duplicate"
    NO_WEIGHT = "no_weight"
    VERSION_NOT_ABOVE = "version_not_above"
    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"
    ADDED = "added"
    REMOVED = "removed"
    MOVED = "moved"
    """A route has other services than before."""
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding about a configuration.

    Attributes
    ----------
    entry : str
        Name of the route or service, `LIMITS`, `CONFIGURATION`, or the name of a table.
    field : str or None
        Name of the field in the document; None if the finding is about the whole entry.
    """

    severity: Severity
    kind: FindingKind
    entry: str
    field: str | None
    message: str


@dataclass(frozen=True, slots=True)
class ConfigDraft:
    """A configuration with the faults of its tables that decoding passes over.

    Attributes
    ----------
    table_findings : tuple of Finding
        Findings about the document's tables, such as repeated names of services.
    """

    cfg: RoutingConfig
    table_findings: tuple[Finding, ...] = ()


class ConfigCheck:
    """Check of configurations, with the document's own names in its findings.

    Parameters
    ----------
    names : mapping of str to str
        The document's names of attributes and enumeration values, where they differ
        from the names in `RoutingConfig`.
    """

    def __init__(self, names: Mapping[str, str]):
        self._names = names

    def check(self, draft: ConfigDraft) -> tuple[Finding, ...]:
        """Return the errors and warnings about one configuration."""
        cfg = draft.cfg
        unreadable = _Unreadable(cfg)
        return (
            *self._unreadable(cfg),
            *draft.table_findings,
            *self._services_of_routes(cfg, unreadable),
            *self._unused_services(cfg),
            *self._duplicates(cfg),
            *self._splits(cfg),
            *self._unmatched(cfg),
            *self._contradictions(cfg, unreadable),
        )

    def compare(
        self, cfg: RoutingConfig, in_force: RoutingConfig
    ) -> tuple[Finding, ...]:
        """Return what differs from the version in force.

        A version that is not above the one in force is an error, and fields that can't
        be read in the version in force are warnings; all else is of severity `CHANGE`.
        """
        return (
            *self._version(cfg, in_force),
            *self._unreadable_in_force(in_force),
            *self._changed_routes(cfg, in_force),
            *self._changed_services(cfg, in_force),
            *self._changed_limits(cfg, in_force),
        )

    def _name(self, name):
        return self._names.get(name, name)

    def _finding(self, severity, kind, entry, field, message):
        column = None if field is None else self._name(field)
        return Finding(severity, kind, entry, column, message)

    def _error(self, kind, entry, field, message):
        return self._finding(Severity.ERROR, kind, entry, field, message)

    def _warning(self, kind, entry, field, message):
        return self._finding(Severity.WARNING, kind, entry, field, message)

    def _change(self, kind, entry, field, message):
        return self._finding(Severity.CHANGE, kind, entry, field, message)

    def _unreadable(self, cfg) -> Iterator[Finding]:
        for row in cfg.unreadable:
            message = f"the value {row.value} is missing or not valid"
            yield self._error(FindingKind.UNREADABLE, row.entry, row.name, message)

    def _services_of_routes(self, cfg, unreadable) -> Iterator[Finding]:
        """Return findings about routes whose service has no entry."""
        for route in cfg.routes:
            for service in _services(route):
                if service in cfg.services:
                    continue
                reason = "is not defined"
                if unreadable.has_entry(service):
                    reason = "has an entry that can't be read"
                yield self._error(
                    FindingKind.UNDEFINED_SERVICE,
                    route.name,
                    _parts_field(route),
                    f"service {service!r} {reason}",
                )

    def _unused_services(self, cfg) -> Iterator[Finding]:
        # The service of a route that can't be read may be unknown.
        if any(not route.parts for route in cfg.routes) or _misses_routes(cfg):
            return
        used = {service for route in cfg.routes for service in _services(route)}
        for service in cfg.services:
            if service not in used:
                message = f"no route uses service {service!r}"
                yield self._warning(FindingKind.UNUSED_SERVICE, service, None, message)

    def _duplicates(self, cfg) -> Iterator[Finding]:
        counts = Counter(route.name for route in cfg.routes)
        for name, count in counts.items():
            if count > 1:
                message = f"{count} routes have the name {name!r}"
                yield self._error(FindingKind.DUPLICATE, name, "name", message)
        for route in cfg.routes:
            counts = Counter(part.service for part in route.parts)
            for service, count in counts.items():
                if count > 1:
                    yield self._warning(
                        FindingKind.DUPLICATE,
                        route.name,
                        "parts",
                        f"the split lists service {service!r} {count} times; the "
                        "weights add up",
                    )

    def _splits(self, cfg) -> Iterator[Finding]:
        for route in cfg.routes:
            if not route.parts:
                continue
            if not any(part.weight for part in route.parts):
                yield self._error(
                    FindingKind.NO_WEIGHT,
                    route.name,
                    "parts",
                    "all weights of the split are 0, so that "
                    f"{route.parts[0].service!r} gets all requests",
                )
                continue
            for part in route.parts:
                if part.weight == 0:
                    yield self._warning(
                        FindingKind.NEVER_MATCHES,
                        route.name,
                        "parts",
                        f"service {part.service!r} has weight 0 and gets no requests",
                    )

    def _unmatched(self, cfg) -> Iterator[Finding]:
        """Return findings about routes that can't match any request."""
        last = {(route.host.lower(), route.prefix): route for route in cfg.routes}
        for route in cfg.routes:
            used = last[route.host.lower(), route.prefix]
            if used is not route:
                yield self._error(
                    FindingKind.NEVER_MATCHES,
                    route.name,
                    "prefix",
                    f"the later route {used.name!r} has the same host and prefix, "
                    f"{route.host}{route.prefix}",
                )
            fault = _host_fault(route.host)
            if fault is not None:
                yield self._error(FindingKind.NEVER_MATCHES, route.name, "host", fault)
            fault = _prefix_fault(route.prefix)
            if fault is not None:
                yield self._error(
                    FindingKind.NEVER_MATCHES, route.name, "prefix", fault
                )

    def _contradictions(self, cfg, unreadable) -> Iterator[Finding]:
        for route in cfg.routes:
            entries = _entries(route)
            readable = self._readable(unreadable, entries, "objective_s", "timeout_s")
            if readable and route.objective_s > route.timeout_s:
                message = self._above(route, "objective_s", "timeout_s")
                yield self._error(
                    FindingKind.CONTRADICTION, route.name, "objective_s", message
                )
            if route.max_attempts > MAX_LIKELY_ATTEMPTS:
                yield self._warning(
                    FindingKind.CONTRADICTION,
                    route.name,
                    "max_attempts",
                    f"{route.max_attempts} attempts are probably more than any service "
                    "has targets",
                )
        for service in cfg.services.values():
            # Targets may still say themselves that they are cold.
            if (
                self._readable(unreadable, (service.service,), "warmup_s")
                and service.cold_limit_per_s
                and not service.warmup_s
            ):
                rate = self._text(service.cold_limit_per_s)
                yield self._warning(
                    FindingKind.CONTRADICTION,
                    service.service,
                    "cold_limit_per_s",
                    f"{self._name('cold_limit_per_s')} {rate} without "
                    f"{self._name('warmup_s')} holds only for targets that say "
                    "themselves that they are cold",
                )
        for low, high in (
            ("header_timeout_s", "idle_timeout_s"),
            ("max_header_bytes", "max_body_bytes"),
        ):
            limits = cfg.limits
            if getattr(limits, low) > getattr(limits, high) and self._readable(
                unreadable, (LIMITS,), low, high
            ):
                message = self._above(limits, low, high)
                yield self._warning(FindingKind.CONTRADICTION, LIMITS, low, message)

    def _readable(self, unreadable, entries, *attributes):
        return not any(
            unreadable.has_field(entries, self._name(name)) for name in attributes
        )

    def _above(self, entry, low, high):
        """Return a message that the value of `low` is above that of `high`."""
        return (
            f"{self._name(low)} {self._text(getattr(entry, low))} is above "
            f"{self._name(high)} {self._text(getattr(entry, high))}"
        )

    def _version(self, cfg, in_force) -> Iterator[Finding]:
        if cfg.generation <= in_force.generation:
            yield self._error(
                FindingKind.VERSION_NOT_ABOVE,
                CONFIGURATION,
                "generation",
                f"{self._name('generation')} {cfg.generation} is not above "
                f"{in_force.generation}, which is in force",
            )

    def _unreadable_in_force(self, in_force) -> Iterator[Finding]:
        for row in in_force.unreadable:
            yield self._warning(
                FindingKind.UNREADABLE,
                row.entry,
                row.name,
                f"in the version in force, the value {row.value} is missing or not "
                "valid; the field is not compared",
            )

    def _changed_routes(self, cfg, in_force) -> Iterator[Finding]:
        unreadable = _Unreadable(cfg, in_force)
        pairs, added, removed = _matched_routes(cfg.routes, in_force.routes)
        for route in _not_unreadable(added, in_force, _entries):
            message = f"route {route.name!r} is new: {self._route_text(route)}"
            yield self._change(FindingKind.ADDED, route.name, None, message)
        for route in _not_unreadable(removed, cfg, _entries):
            message = f"route {route.name!r} is removed: {self._route_text(route)}"
            yield self._change(FindingKind.REMOVED, route.name, None, message)
        for route, previous in pairs:
            entries = (*_entries(route), *_entries(previous))
            yield from self._changes(route.name, route, previous, unreadable, entries)

    def _changed_services(self, cfg, in_force) -> Iterator[Finding]:
        unreadable = _Unreadable(cfg, in_force)
        added = [name for name in cfg.services if name not in in_force.services]
        for name in _not_unreadable(added, in_force, lambda name: (name,)):
            message = f"service {name!r} is new"
            yield self._change(FindingKind.ADDED, name, None, message)
        removed = [name for name in in_force.services if name not in cfg.services]
        for name in _not_unreadable(removed, cfg, lambda name: (name,)):
            message = f"service {name!r} is removed"
            yield self._change(FindingKind.REMOVED, name, None, message)
        for name, service in cfg.services.items():
            previous = in_force.services.get(name)
            if previous is not None:
                yield from self._changes(name, service, previous, unreadable, (name,))

    def _changed_limits(self, cfg, in_force) -> Iterator[Finding]:
        unreadable = _Unreadable(cfg, in_force)
        if self._readable(unreadable, (LIMITS,), LIMITS):
            yield from self._changes(
                LIMITS, cfg.limits, in_force.limits, unreadable, (LIMITS,)
            )

    def _changes(self, name, entry, previous, unreadable, entries) -> Iterator[Finding]:
        """Return a finding for each field that differs and can be read in both."""
        for attribute in fields(entry):
            before = getattr(previous, attribute.name)
            after = getattr(entry, attribute.name)
            if before == after or not self._readable(
                unreadable, entries, *_sources(attribute.name)
            ):
                continue
            kind, field = FindingKind.CHANGED, attribute.name
            if field == "parts":
                field = _parts_field(entry)
                if set(_services(entry)) != set(_services(previous)):
                    kind = FindingKind.MOVED
            message = (
                f"{self._text(previous)} {self._name(field)}: {self._text(before)} -> "
                f"{self._text(after)}"
            )
            yield self._change(kind, name, field, message)

    def _text(self, value):
        return _text(value, self._names)

    def _route_text(self, route):
        return f"{route.host}{route.prefix} to {self._text(route.parts)}"


class _Unreadable:
    """The fields of configurations that can't be read, by entry and field."""

    def __init__(self, *configs: RoutingConfig):
        rows = [row for cfg in configs for row in cfg.unreadable]
        self._fields = {(row.entry, row.name) for row in rows}
        self._entries = {row.entry for row in rows}

    def has_entry(self, entry: str) -> bool:
        return entry in self._entries

    def has_field(self, entries: Iterable[str], field: str) -> bool:
        return any((entry, field) in self._fields for entry in entries)


@singledispatch
def _text(value: Any, names: Mapping[str, str]) -> str:
    """Return a value, or what an entry is called, as operators read it."""
    return str(value)


@_text.register
def _(value: bool, names):
    return "true" if value else "false"


@_text.register
def _(value: float, names):
    return f"{value:.12g}"


@_text.register
def _(value: RouteKind, names):
    return names.get(value.value, value.value)


@_text.register
def _(value: tuple, names):
    if len(value) == 1:
        return str(value[0].service)
    return ", ".join(f"{part.service} {part.weight:.12g}" for part in value) or "none"


@_text.register
def _(value: RouteConfig, names):
    return f"route {value.name!r}"


@_text.register
def _(value: RoutedService, names):
    return f"service {value.service!r}"


@_text.register
def _(value: CallerLimits, names):
    return LIMITS


def _sources(attribute):
    """Return the attributes whose fields decide on the value of one."""
    if attribute == "objective_s":  # the timeout takes the place of a missing one
        return ("objective_s", "timeout_s")
    if attribute == "parts":
        return ("parts", "service")
    if attribute == "kind":  # unreadable if one of these is
        return ("kind", "timeout_s", "parts", "service")
    return (attribute,)


def _entries(route):
    """Return the names under which a route's unreadable fields are reported."""
    return (route.name, route.prefix)


def _services(route):
    """Return the services of a route, each once."""
    return tuple(dict.fromkeys(part.service for part in route.parts))


def _parts_field(route):
    return "service" if len(route.parts) == 1 else "parts"


def _not_unreadable(entries, other, names_of):
    """Return the entries that `other` does not have, not even unreadably."""
    unreadable = _Unreadable(other)
    return [
        entry
        for entry in entries
        if not any(map(unreadable.has_entry, names_of(entry)))
    ]


def _misses_routes(cfg):
    """Return whether a route, or a whole row, may be missing from `cfg`."""
    names = {name for route in cfg.routes for name in _entries(route)}
    names.update(cfg.services, (LIMITS,))
    return any(row.entry not in names for row in cfg.unreadable)


def _host_fault(host):
    """Return why no request has the host; None if one may."""
    if host_without_port(host) != host.lower():
        return f"host {host!r} has a port, which is left out of requests' hosts"
    if "/" in host or any(char.isspace() for char in host):
        return f"host {host!r} has a slash or a blank, which no host name has"
    return None


def _prefix_fault(prefix):
    """Return why no path of a request begins with the prefix; None if one may."""
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return f"prefix {prefix!r} does not begin and end with a slash"
    if "?" in prefix:
        return f"prefix {prefix!r} has a query, which is not part of the path"
    try:
        checked_path(prefix)
    except MalformedRequest as exc:
        return f"requests for prefix {prefix!r} are refused: {exc}"
    return None


def _matched_routes(routes, previous_routes):
    """Return pairs of the same route, and those without a counterpart on each side.

    Routes are the same if they have the same name or, among the others, the same host
    and prefix.
    """
    pairs, rest = [], list(routes)
    previous_rest = list(previous_routes)
    for key in (
        lambda route: route.name,
        lambda route: (route.host.lower(), route.prefix),
    ):
        by_key = {key(route): i for i, route in enumerate(previous_rest)}
        unmatched, matched = [], set()
        for route in rest:
            i = by_key.pop(key(route), None)
            if i is None:
                unmatched.append(route)
                continue
            pairs.append((route, previous_rest[i]))
            matched.add(i)
        rest = unmatched
        previous_rest = [
            route for i, route in enumerate(previous_rest) if i not in matched
        ]
    return pairs, rest, previous_rest
