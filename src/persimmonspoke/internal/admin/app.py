"""The administration API as a WSGI application."""

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass

from persimmonspoke.errors import (
    MethodNotAllowed,
    PersimmonspokeError,
    Unauthenticated,
    UnknownAdminPath,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.admin.api import Assignments, Members, Node
from persimmonspoke.internal.admin.failures import error_response
from persimmonspoke.internal.admin.handlers import HostHandlers, TeamHandlers
from persimmonspoke.internal.admin.request import (
    Access,
    AdminRequest,
    AdminResponse,
    Principal,
    authorize,
    check_names,
    identify,
)
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.drains import Drains
from persimmonspoke.internal.questionnaire.teams import Teams

log = logging.getLogger(__name__)

INTERNAL_MESSAGE = "this host failed to answer; its log says why"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One method of one path; path segments in braces are parameters."""

    method: str
    path: tuple[str, ...]
    access: Access
    handler: Callable[[AdminRequest], AdminResponse]

    def names(self, parts: tuple[str, ...]) -> dict[str, str] | None:
        """Return the path parameters if the path matches, else None."""
        if len(parts) != len(self.path):
            return None
        names = {}
        for pattern, part in zip(self.path, parts, strict=True):
            if pattern.startswith("{"):
                names[pattern.strip("{}")] = part
            elif pattern != part:
                return None
        return names


class AdminApp:
    """The application; responses are JSON, except configurations, which are YAML."""

    def __init__(
        self, cfg: AdminSettings, clock: Clock, endpoints: tuple[Endpoint, ...]
    ):
        self._cfg = cfg
        self._clock = clock
        self._endpoints = endpoints

    def __call__(self, environ, start_response):
        """Handle one request; the entry point for the WSGI server."""
        try:
            response = self._handle_request(environ)
        except PersimmonspokeError as exc:
            response = _handle_failure(environ, exc)
        except Exception as exc:
            log.exception("admin: request failed", extra=_log_fields(environ))
            response = AdminResponse(
                error_response(exc).body(exc, INTERNAL_MESSAGE),
                error_response(exc).status,
            )
        data, headers = _encode(response)
        start_response(response.status, headers)
        return [data]

    def _handle_request(self, environ):
        """Match the endpoint, authorize the sender, and run the handler."""
        endpoint, names = self._match_endpoint(environ)
        principal = Principal()
        if endpoint.access is not Access.ANYBODY:
            principal = identify(self._cfg, environ)
            check_names(names)
            authorize(principal, endpoint.access, names)
        deadline = Instant(self._clock.now() + self._cfg.call_s)
        req = AdminRequest(principal, names, deadline, environ, self._cfg)
        return endpoint.handler(req)

    def _match_endpoint(self, environ):
        """Return the endpoint of a request and its path parameters."""
        parts = tuple(environ.get("PATH_INFO", "").strip("/").split("/"))
        method = environ.get("REQUEST_METHOD", "")
        allowed = []
        for endpoint in self._endpoints:
            names = endpoint.names(parts)
            if names is None:
                continue
            if endpoint.method == method:
                return endpoint, names
            allowed.append(endpoint.method)
        if allowed:
            raise MethodNotAllowed(f"this path supports only {' or '.join(allowed)}")
        raise UnknownAdminPath("no endpoint exists at this path")


def make_admin_app(
    cfg: AdminSettings,
    clock: Clock,
    teams: Teams,
    drains: Drains,
    node: Node,
    members: Members,
    assignments: Assignments,
) -> AdminApp:
    """Return the administration API of one daemon."""
    hosts = HostHandlers(node, members)
    team = TeamHandlers(teams, drains, assignments)
    target = "/v1/teams/{team}/services/{service}/targets/{target}"
    table = (
        ("GET", "/health", Access.ANYBODY, hosts.health),
        ("GET", "/ready", Access.ANYBODY, hosts.ready),
        ("GET", "/v1/status", Access.ANY_TOKEN, hosts.status),
        ("GET", "/v1/dump", Access.OPERATOR, hosts.dump),
        ("POST", "/v1/drain", Access.OPERATOR, hosts.drain),
        ("POST", "/v1/undrain", Access.OPERATOR, hosts.undrain),
        ("GET", "/v1/teams/{team}/questionnaire", Access.OWN_TEAM, team.questionnaire),
        ("PUT", "/v1/teams/{team}/questionnaire", Access.OWN_TEAM, team.apply),
        ("GET", "/v1/teams/{team}/configuration", Access.OWN_TEAM, team.configuration),
        ("POST", "/v1/teams/{team}/diff", Access.OWN_TEAM, team.diff),
        ("GET", "/v1/teams/{team}/drains", Access.OWN_TEAM, team.drains),
        ("POST", f"{target}/drain", Access.OWN_TEAM, team.drain),
        ("POST", f"{target}/undrain", Access.OWN_TEAM, team.undrain),
        (
            "GET",
            "/v1/assignments/{team}/{service}",
            Access.OWN_TEAM,
            team.assignments,
        ),
    )
    endpoints = tuple(
        Endpoint(method, tuple(path.strip("/").split("/")), access, handler)
        for method, path, access, handler in table
    )
    return AdminApp(cfg, clock, endpoints)


def _handle_failure(environ, exc):
    """Log a request that failed with a known exception; return the response."""
    response = error_response(exc)
    fields = {**_log_fields(environ), "failure": type(exc).__name__, "reason": str(exc)}
    log.warning("admin: request refused", extra=fields)
    headers = ()
    if isinstance(exc, Unauthenticated):
        headers = (("WWW-Authenticate", "Bearer"),)
    return AdminResponse(response.body(exc, str(exc)), response.status, headers)


def _encode(response):
    """Return the body as bytes, and the header fields."""
    headers = dict(response.headers)
    if "Content-Type" in headers:
        data = response.body.encode()
    else:
        headers["Content-Type"] = "application/json"
        data = json.dumps(response.body, default=str).encode() + b"\n"
    headers["Content-Length"] = str(len(data))
    headers["Cache-Control"] = "no-store"
    return data, list(headers.items())


def _log_fields(environ):
    """Return the log fields that identify the request."""
    return {
        "method": environ.get("REQUEST_METHOD"),
        "path": environ.get("PATH_INFO"),
    }
