"""A caller's request on a routed service, read and checked."""

from collections.abc import Callable
from dataclasses import dataclass

from persimmonspoke.errors import HostClosed, MalformedRequest
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


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What the header fields of one request say to the router.

    Attributes
    ----------
    patience_s : float or None
        How long the caller waits, from its request on; None if it does not say.
    key : int or None
        Which key the request is about.
    """

    request_id: RequestId
    patience_s: float | None
    key: int | None


class RoutedReader:
    """Reads requests out of WSGI environments, by the routes in force.

    Parameters
    ----------
    fields_of : callable
        Reads the header fields; the platform's adapter knows their names.
    """

    def __init__(
        self,
        state: RoutingState,
        fields_of: Callable[[dict], CallerFields],
        clock: Clock,
    ):
        self._state = state
        self._fields_of = fields_of
        self._clock = clock
        self._longest_s: dict[str, float] = {}

    def request_id(self, environ: dict) -> RequestId:
        """Return the caller's id for the request, which may be empty."""
        return self._fields_of(environ).request_id

    def read(self, environ: dict, request_id: RequestId) -> CallerRequest:
        """Return the checked request, or raise `RequestFailure`."""
        now = self._clock.now()
        fields = self._fields_of(environ)
        if not fields.request_id:
            raise MalformedRequest("the request carries no id")
        path = checked_path(environ["RAW_PATH_INFO"])
        query = checked_query(environ.get("QUERY_STRING", ""))
        table = self._state.table
        if table is None:
            raise HostClosed("this host knows no configuration yet")
        route = table.find(environ.get("HTTP_HOST", ""), path)
        entry = self._state.entry(route)
        if entry.service.divided and fields.key is None:
            raise MalformedRequest("the service is divided by key, and no key came")
        wait_s = route.timeout_s
        if fields.patience_s is not None:
            wait_s = min(wait_s, fields.patience_s)
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
            objective=Instant(now + self._objective_s(route, fields.patience_s)),
            generation=table.cfg.generation,
        )

    def _objective_s(self, route, patience_s):
        """Return what is left of the route's objective.

        Objectives count from a caller's first try.  Callers of a route start with
        the same patience, so one that has less left has spent it on earlier tries.
        """
        if patience_s is None:
            return route.objective_s
        longest = max(patience_s, self._longest_s.get(route.name, 0.0))
        self._longest_s[route.name] = longest
        return route.objective_s - (longest - patience_s)
