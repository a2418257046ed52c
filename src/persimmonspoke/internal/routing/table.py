"""Finds the route of a request by host and longest path prefix."""

from persimmonspoke.errors import UnknownPath
from persimmonspoke.internal.routing.config import RouteConfig, RoutingConfig


class RouteTable:
    """The routes of one configuration, indexed by host and prefix."""

    def __init__(self, cfg: RoutingConfig):
        self.cfg = cfg
        self._hosts: dict[str, dict[str, RouteConfig]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> RouteConfig:
        """Return the route of `host` with the longest prefix of `path`.

        Raises
        ------
        UnknownPath
            The host has no route with a prefix of the path.
        """
        routes = self._hosts.get(host_without_port(host), {})
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        raise UnknownPath(f"host {host!r} has no route for this path")


def host_without_port(host):
    """Return the lower-case host name without a port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
