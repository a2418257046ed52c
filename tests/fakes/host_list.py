"""The platform's list of hosts, which lags behind the truth."""

import eventlet


class FakeHostList:
    """Live and leaving machines, by IP number, as the platform shows them.

    Attributes
    ----------
    lag_s : float
        How long a change takes to show.
    """

    def __init__(self, lag_s=5.0):
        self.lag_s = lag_s
        self._live = frozenset()
        self._leaving = frozenset()

    def live(self):
        """Return the machines that the platform says it runs."""
        return self._live

    def leaving(self):
        """Return the machines that the platform says are to stop."""
        return self._leaving

    def add(self, machine):
        """Show a machine, after the lag."""
        eventlet.spawn_after(self.lag_s, self._show, machine, True)

    def drop(self, machine):
        """Stop showing a machine, after the lag."""
        eventlet.spawn_after(self.lag_s, self._show, machine, False)

    def leave(self, machine):
        """Show a machine as leaving, after the lag."""
        eventlet.spawn_after(self.lag_s, self._show_leaving, machine)

    def _show(self, machine, there):
        self._live = self._live | {machine} if there else self._live - {machine}

    def _show_leaving(self, machine):
        self._leaving = self._leaving | {machine}
