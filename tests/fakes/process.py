"""A fake process that can be paused and killed, and whose clock may drift."""

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

    Every external effect of a process passes its gate twice: before it takes effect and
    before its outcome is visible.  A pause can therefore fall between any check and the
    send that follows it.

    Parameters
    ----------
    name : str
        Unique name of the run.
    machine : str
        IP number of the machine.
    rate : float
        Seconds by which its clock advances per second of virtual time.
    offset : float
        Reading of its clock at virtual time 0.

    Attributes
    ----------
    processor_share : float
        Share of a full core that the process gets.
    """

    def __init__(self, name, machine, rate=1.0, offset=0.0):
        self.name = name
        self.machine = machine
        self.rate = rate
        self.offset = offset
        self.killed = False
        self.processor_share = 1.0
        self._busy_until = float("-inf")
        self.resumed_at = float("-inf")
        self._resumed = None
        self._armed = None

    @property
    def paused(self):
        """Return whether the process is paused."""
        return self._resumed is not None

    def pause(self):
        """Stop the process at its next gates until it is resumed."""
        if self._resumed is None:
            self._resumed = eventlet.event.Event()

    def resume(self):
        """Resume a paused process."""
        self._armed = None
        if self._resumed is not None:
            self.resumed_at = virtual_hub.now()
            self._resumed.send()
            self._resumed = None

    def pause_at(self, kind):
        """Pause the whole process as soon as a task reaches a gate of `kind`."""
        self._armed = kind

    def kill(self):
        """Kill the process; its tasks end at their next gates."""
        self.killed = True
        self.resume()

    def gate(self, kind, sending=False):
        """Pass the gate, or wait while paused.

        `sending` marks a call just before an effect, at which `pause_at` takes hold.
        """
        if sending and self._armed is kind:
            self._armed = None
            self.pause()
        while self.paused or self._busy_until > virtual_hub.now():
            if self.paused:
                self._resumed.wait()
            else:
                eventlet.sleep(self._busy_until - virtual_hub.now())
        if self.killed:
            raise greenlet.GreenletExit

    def work(self, core_s):
        """Take processor time, in seconds of a full core; all tasks wait meanwhile."""
        began_at = max(virtual_hub.now(), self._busy_until)
        self._busy_until = began_at + core_s / self.processor_share

    def local(self, virtual):
        """Return the reading of the process's clock at a virtual time."""
        return Instant(self.offset + self.rate * virtual)

    def virtual(self, local):
        """Return the virtual time at which the process's clock reads `local`."""
        return (local - self.offset) / self.rate


class FakeClock:
    """The clock of one process; implements `Clock`."""

    def __init__(self, process):
        self.process = process

    def now(self):
        """Return the reading of the process's clock."""
        return self.process.local(virtual_hub.now())

    def sleep_until(self, deadline):
        """Sleep until `deadline`, and further while the process is paused."""
        eventlet.sleep(0)
        while self.now() < deadline:
            left = (deadline - self.now()) / self.process.rate
            eventlet.sleep(max(left, MIN_SLEEP_S))
        self.process.gate(GateKind.CLOCK)
