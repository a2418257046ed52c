"""A process that can be paused, killed, and whose clock may drift."""

from enum import Enum

import eventlet
import eventlet.event
import greenlet

from persimmonspoke.ids import Instant
from tests.fakes import virtual_hub

MIN_SLEEP_S = 1e-6


class GateKind(Enum):
    """Places at which a process can be made to pause."""

    CLOCK = "clock"
    STORE = "store"
    PEER = "peer"
    ORDER = "order"
    REQUEST = "request"


class FakeProcess:
    """One run of one program on one machine.

    All that a process does to the outside passes its gate, once before it takes
    effect and once before the outcome is seen, so a pause can fall between any
    check and the send that follows it.

    Parameters
    ----------
    name : str
        Unique name of the run.
    machine : str
        IP number of the machine.
    rate : float
        Seconds that its clock shows for each second of virtual time.
    offset : float
        What its clock showed at virtual time 0.
    """

    def __init__(self, name, machine, rate=1.0, offset=0.0):
        self.name = name
        self.machine = machine
        self.rate = rate
        self.offset = offset
        self.killed = False
        self.resumed_at = float("-inf")
        self._resumed = None
        self._armed = None

    @property
    def paused(self):
        """Return whether the process stands still."""
        return self._resumed is not None

    def pause(self):
        """Stop the process at its next gates until it is resumed."""
        if self._resumed is None:
            self._resumed = eventlet.event.Event()

    def resume(self):
        """Let a paused process go on."""
        self._armed = None
        if self._resumed is not None:
            self.resumed_at = virtual_hub.now()
            self._resumed.send()
            self._resumed = None

    def pause_at(self, kind):
        """Pause the whole process as soon as a task reaches a gate of `kind`."""
        self._armed = kind

    def kill(self):
        """End the process: its tasks end at their next gates."""
        self.killed = True
        self.resume()

    def gate(self, kind, sending=False):
        """Pass the gate; `sending` marks the moment just before an effect."""
        if sending and self._armed is kind:
            self._armed = None
            self.pause()
        while self.paused:
            self._resumed.wait()
        if self.killed:
            raise greenlet.GreenletExit

    def local(self, virtual):
        """Return what the process's clock shows at a virtual time."""
        return Instant(self.offset + self.rate * virtual)

    def virtual(self, local):
        """Return the virtual time at which the process's clock shows `local`."""
        return (local - self.offset) / self.rate


class FakeClock:
    """The clock of one process; implements `Clock`."""

    def __init__(self, process):
        self.process = process

    def now(self):
        """Return what the process's clock shows."""
        return self.process.local(virtual_hub.now())

    def sleep_until(self, deadline):
        """Sleep, then stay asleep for as long as the process is paused."""
        eventlet.sleep(0)
        while self.now() < deadline:
            left = (deadline - self.now()) / self.process.rate
            eventlet.sleep(max(left, MIN_SLEEP_S))
        self.process.gate(GateKind.CLOCK)
