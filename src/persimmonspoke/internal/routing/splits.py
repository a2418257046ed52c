"""Spreads a route's requests over its services, in the proportions of the weights."""

from persimmonspoke.ids import ServiceId
from persimmonspoke.internal.routing.config import RouteConfig


class WeightedRoundRobin:
    """Smooth weighted round robin, one wheel for each route.

    Every run of requests, however short, then keeps close to the weights, which
    random choice would not.
    """

    def __init__(self):
        self._credit: dict[tuple, dict[ServiceId, float]] = {}

    def pick(self, route: RouteConfig) -> ServiceId:
        """Return the service of the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        credit = self._credit.setdefault((route.name, route.parts), {})
        for part in route.parts:
            known = credit.get(part.service, 0.0)
            credit[part.service] = known + part.weight / total
        best = max(route.parts, key=lambda part: credit[part.service]).service
        credit[best] -= 1.0
        return best

    def forget(self) -> None:
        """Drop the state of routes that a new configuration may have changed."""
        self._credit.clear()
