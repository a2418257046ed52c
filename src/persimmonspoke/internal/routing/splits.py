"""Distributes the requests of a route over its services, in proportion to weights."""

from persimmonspoke.ids import ServiceId
from persimmonspoke.internal.routing.config import RouteConfig


class WeightedRoundRobin:
    """Smooth weighted round-robin choice, with separate state for each route.

    Unlike random choice, it keeps close to the weights in every short sequence of
    requests.
    """

    def __init__(self):
        self._credit: dict[tuple, dict[ServiceId, float]] = {}

    def choose(self, route: RouteConfig) -> ServiceId:
        """Return the service for the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        credit = self._credit.setdefault((route.name, route.parts), {})
        for part in route.parts:
            previous = credit.get(part.service, 0.0)
            credit[part.service] = previous + part.weight / total
        best = max(route.parts, key=lambda part: credit[part.service]).service
        credit[best] -= 1.0
        return best

    def reset(self) -> None:
        """Drop the state of all routes, since a new configuration may change them."""
        self._credit.clear()
