"""Reads and validates callers' requests for routed services."""

from collections.abc import Callable
from dataclasses import dataclass

from persimmonspoke.errors import (
    HostClosed,
    MalformedRequest,
    RouteUnconfirmed,
    UnknownPath,
)
from persimmonspoke.ids import Instant, KeyText, RequestId
from persimmonspoke.internal.callers.request import (
    CallerRequest,
    checked_path,
    checked_query,
    forwarded_headers,
    join_query,
)
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.routing.config import RouteKind
from persimmonspoke.internal.routing.state import RoutingState

UNCONFIRMED_RETRY_S = 0.5  # other hosts may know by then


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Header fields of one request that the router interprets.

    Attributes
    ----------
    caller_timeout_s : float or None
        How long the caller waits for the answer; None if the field is missing or
        invalid.
    key : int or None
        Key that the request belongs to; None if the field is missing or invalid.
    """

    request_id: RequestId
    caller_timeout_s: float | None
    key: int | None


class RoutedReader:
    """Reads requests from WSGI environments, with the routes in force.

    Parameters
    ----------
    fields_of : callable
        Returns the `CallerFields` of a WSGI environment; provided by the platform's
        adapter, which knows the names of the fields.
    max_age_s : float
        Time within which a configuration must be in force.  A table that was last known
        to be the newest before that can't show that a path has no route.
    apply : callable or None
        Puts a configuration that has arrived into force; by default `state.refresh`.
    """

    def __init__(
        self,
        state: RoutingState,
        fields_of: Callable[[dict], CallerFields],
        clock: Clock,
        max_age_s: float,
        apply: Callable[[], object] | None = None,
    ):
        self._state = state
        self._max_age_s = max_age_s
        self._apply = state.refresh if apply is None else apply
        self._fields_of = fields_of
        self._clock = clock
        self._max_timeout_s: dict[str, float] = {}

    def request_id(self, environ: dict) -> RequestId:
        """Return the caller's id for the request, which may be empty."""
        return self._fields_of(environ).request_id

    def read(self, environ: dict, request_id: RequestId) -> CallerRequest:
        """Return the validated request, or raise `RequestFailure`."""
        now = self._clock.now()
        fields = self._fields_of(environ)
        if not fields.request_id:
            raise MalformedRequest("the request carries no id")
        path = checked_path(environ["RAW_PATH_INFO"])
        query = checked_query(environ.get("QUERY_STRING", ""))
        if self._state.is_behind():
            self._apply()
        table = self._state.table
        if table is None:
            raise HostClosed("this host knows no configuration yet")
        table_state = self._state.table_state()
        route = self._find(table, environ.get("HTTP_HOST", ""), path, table_state)
        entry = self._state.entry(route)
        if entry.service.divided and fields.key is None:
            raise MalformedRequest("the service is divided by key, and no key came")
        wait_s = route.timeout_s
        if fields.caller_timeout_s is not None:
            wait_s = min(wait_s, fields.caller_timeout_s)
        key = None
        if entry.service.divided:
            key = KeyText(str(fields.key))
        return CallerRequest(
            request_id=fields.request_id,
            entry=entry,
            method=environ["REQUEST_METHOD"],
            path=join_query(path, query),
            headers=forwarded_headers(
                environ["headers_raw"], keep_protocol_headers=True
            ),
            key=key,
            protected=route.kind is RouteKind.PROTECTED,
            deadline=Instant(now + wait_s),
            route=route,
            objective=Instant(now + self._objective_s(route, fields.caller_timeout_s)),
            table=table_state,
        )

    def _find(self, table, host, path, table_state):
        """Return the route of a path.

        Raises
        ------
        UnknownPath
            No configuration that must be in force has a route for the path.
        RouteUnconfirmed
            This host can't know whether one has.
        """
        try:
            return table.find(host, path)
        except UnknownPath as exc:
            age_s = table_state.age_s
            if age_s is not None and age_s <= self._max_age_s:
                exc.table = table_state
                raise
            failure = RouteUnconfirmed(
                f"{exc}, but a newer configuration may have one; try again",
                UNCONFIRMED_RETRY_S,
            )
            failure.table = table_state
            raise failure from exc

    def _objective_s(self, route, caller_timeout_s):
        """Return the time that remains of the route's objective.

        Objectives count from a caller's first attempt.  Callers of a route start with
        the same timeout, so a caller with a shorter one has used the difference for
        earlier attempts.
        """
        if caller_timeout_s is None:
            return route.objective_s
        max_timeout_s = max(caller_timeout_s, self._max_timeout_s.get(route.name, 0.0))
        self._max_timeout_s[route.name] = max_timeout_s
        return route.objective_s - (max_timeout_s - caller_timeout_s)
