"""A fake of the platform's list of hosts, which lags behind reality."""

import eventlet

from tests.fakes import virtual_hub


class FakeHostList:
    """The hosts that the platform lists; implements `HostList`.

    Attributes
    ----------
    lag_s : float
        Delay after which a change shows on the list.
    """

    def __init__(self, lag_s=5.0):
        self.lag_s = lag_s
        self._removed_at = {}

    def drop(self, name):
        """Remove a host from the list, after the lag."""
        self._removed_at[name] = virtual_hub.now() + self.lag_s

    def add(self, name):
        """List a removed host again, after the lag."""
        eventlet.spawn_after(self.lag_s, self._removed_at.pop, name, None)

    def is_removed(self, name):
        """Return whether the list shows the host `name` as removed."""
        return virtual_hub.now() >= self._removed_at.get(name, float("inf"))
