"""The platform's list of hosts, which lags behind the truth."""

import eventlet

from tests.fakes import virtual_hub


class FakeHostList:
    """Names of the hosts that the platform runs; implements `HostList`.

    Attributes
    ----------
    lag_s : float
        How long the loss of a host takes to show.
    """

    def __init__(self, lag_s=5.0):
        self.lag_s = lag_s
        self._gone_at = {}

    def drop(self, name):
        """Stop showing a host, after the lag."""
        self._gone_at[name] = virtual_hub.now() + self.lag_s

    def add(self, name):
        """Show a host again, after the lag."""
        eventlet.spawn_after(self.lag_s, self._gone_at.pop, name, None)

    def is_removed(self, name):
        """Return whether the platform says that the host called `name` is no more."""
        return virtual_hub.now() >= self._gone_at.get(name, float("inf"))
