"""An eventlet hub with virtual time.

Sleeps and timers of real green-thread code run in virtual time: hours pass in
milliseconds, and every run is deterministic.
"""

import eventlet
from eventlet.hubs import selects

MIN_STEP_S = 1e-9
MAX_POLLS_WITHOUT_PROGRESS = 1000


class VirtualHub(selects.Hub):
    """A hub that advances its clock to the next timer instead of waiting for it."""

    def __init__(self):
        self.virtual_now = 0.0
        self._polls_without_progress = 0
        super().__init__(clock=self._read)

    def _read(self):
        return self.virtual_now

    def wait(self, seconds=None):
        """Advance the clock by `seconds`; poll sockets, if any, without waiting."""
        if self.readers_watched():
            super().wait(0)
        if seconds is not None and seconds > 0:
            self._polls_without_progress = 0
            self.virtual_now += seconds
            return
        # Advance the clock after many polls at the same instant: a timer that is due
        # in less than the clock's precision would otherwise never fire.
        self._polls_without_progress += 1
        if self._polls_without_progress >= MAX_POLLS_WITHOUT_PROGRESS:
            self._polls_without_progress = 0
            self.virtual_now += MIN_STEP_S

    def readers_watched(self):
        """Return whether any socket is polled."""
        return bool(self.listeners["read"] or self.listeners["write"])


def install():
    """Use the virtual hub in this thread."""
    eventlet.hubs.use_hub(VirtualHub)


def now():
    """Return the virtual time, in seconds."""
    return eventlet.hubs.get_hub().virtual_now
