"""Signals of the operator, which must reach the daemon whatever the event hub does."""

import signal
import time
import unittest

import eventlet
from eventlet import hubs

from persimmonspoke.daemon.command import run_on_signals

SIGNAL = signal.SIGALRM
LONG_S = 5.0
SOON_S = 1.0


class _SignalAfterLast(list):
    """Timers of the hub; a signal arrives just after the hub has copied them."""

    def __iter__(self):
        yield from super().__iter__()
        signal.raise_signal(SIGNAL)


class TestSignals(unittest.TestCase):
    def setUp(self):
        self.came = eventlet.event.Event()
        self.count = 0
        former = signal.getsignal(SIGNAL)
        self.addCleanup(signal.signal, SIGNAL, former)
        self.addCleanup(signal.set_wakeup_fd, -1)
        run_on_signals({SIGNAL: self.on_signal})
        eventlet.sleep(0)

    def on_signal(self):
        self.count += 1
        if not self.came.ready():
            self.came.send(time.monotonic())

    # Guards against LOST: a stop that begins late ends late, and its end cuts requests.
    def test_a_signal_wakes_a_hub_that_waits(self):
        timer = eventlet.spawn_after(LONG_S, lambda: None)
        self.addCleanup(timer.cancel)
        began = time.monotonic()
        signal.setitimer(signal.ITIMER_REAL, 0.05)
        self.assertLess(self.came.wait() - began, SOON_S)

    # Guards against LOST: a host that misses SIGTERM is killed with its requests.
    def test_a_signal_while_the_hub_copies_its_timers_is_not_lost(self):
        hub = hubs.get_hub()
        hub.next_timers = _SignalAfterLast(hub.next_timers)
        eventlet.sleep(0)
        hub.next_timers = list(hub.next_timers[:])
        with eventlet.Timeout(SOON_S, AssertionError("the signal was lost")):
            self.came.wait()

    def test_further_signals_run_the_callback_again(self):
        for expected in (1, 2):
            signal.raise_signal(SIGNAL)
            with eventlet.Timeout(SOON_S, AssertionError("the signal was lost")):
                while self.count < expected:
                    eventlet.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
