"""Finds the route of a request: by host, then by the longest prefix of the path."""

from persimmonspoke.errors import UnknownPath
from persimmonspoke.internal.routing.config import RouteConfig, RoutingConfig


class RouteTable:
    """The routes of one configuration, ready for look-ups."""

    def __init__(self, cfg: RoutingConfig):
        self.cfg = cfg
        self._hosts: dict[str, dict[str, RouteConfig]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> RouteConfig:
        """Return the route with the longest prefix that begins `path`.

        Raises
        ------
        UnknownPath
            No route of that host begins the path.
        """
        routes = self._hosts.get(_bare(host), {})
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise UnknownPath(f"host {host!r} has no route for this path")


def _bare(host):
    """Return the host's name without a port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
