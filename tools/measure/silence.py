"""What to do about a kept connection on which a request gets no answer.

A model in virtual time: idempotent requests over kept connections to targets with a
few slots, which shed what they can't queue.  Some connections are dead, or all targets
are slow.
"""

import random
from enum import Enum

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore
from tests.fakes import virtual_hub

from persimmonspoke.internal.targets.settings import TargetSettings
from tools.measure.rows import MeasureRow

SEED = 34
SECONDS = 60.0
PATIENCE_S = 1.0
TARGETS = 8
SLOTS = 2
QUEUE = 2
WORK_S = 0.06
RATE_PER_S = 130.0
DEAD_SHARE = 0.1  # of requests that meet a dead connection, while there are any
SLOWNESS = 5.0
RETRY_RATIO = 0.1
RETRY_MIN = 5.0


class Way(Enum):
    """What is done about silence."""

    DROP = "drop and send again"
    LISTEN = "send again and listen to both"
    WAIT = "no second send"


class _Target:
    """A target with slots and a queue; it sheds what does not fit."""

    def __init__(self, work_s):
        self._work_s = work_s
        self._slots = Semaphore(SLOTS)
        self._inside = 0

    def run(self, rng, on_shed, on_answer):
        """Run one request."""
        if self._inside >= SLOTS + QUEUE:
            on_shed()
            return
        self._inside += 1
        try:
            with self._slots:
                eventlet.sleep(rng.expovariate(1 / self._work_s))
            on_answer()
        finally:
            self._inside -= 1


class _Model:
    """Requests of one host, and their tally."""

    def __init__(self, way, dead_share, work_s, works_on):
        self.way = way
        self._works_on = works_on
        self.rng = random.Random(SEED)
        self._dead_share = dead_share
        self._targets = [_Target(work_s) for _ in range(TARGETS)]
        self._budget = RETRY_MIN
        self.sent = self.served = 0
        self.duplicates = self.broken_off = self.refused_at_work = 0
        self.dead_waits = []

    def play(self):
        """Send requests for a while, and wait for all of them."""
        tasks = []
        end = virtual_hub.now() + SECONDS
        while virtual_hub.now() < end:
            eventlet.sleep(self.rng.expovariate(RATE_PER_S))
            # All random numbers are drawn here, so that each way meets the same ones.
            target = self.rng.choice(self._targets)
            is_dead = self.rng.random() < self._dead_share
            seed = self.rng.random()
            tasks.append(eventlet.spawn(self._request, target, is_dead, seed))
        for task in tasks:
            task.wait()
        return self

    def _request(self, target, is_dead, seed):
        rng = random.Random(seed)
        self.sent += 1
        self._budget += RETRY_RATIO
        began = virtual_hub.now()
        done = Event()
        running = set() if is_dead else {"first"}
        is_broken_off = False
        first = None
        if not is_dead:
            first = eventlet.spawn(self._exchange, target, rng, done, running, "first")
        self._wait(done, TargetSettings().silence_share * PATIENCE_S)
        second = None
        if not done.ready() and self._may_send_again():
            if self.way is not Way.LISTEN:
                is_broken_off = "first" in running
                running.clear()
                self._drop(first)
            if is_dead:
                self.dead_waits.append(virtual_hub.now() - began)
            else:
                self.duplicates += 1
            running.add("second")
            second = eventlet.spawn(
                self._exchange, target, rng, done, running, "second"
            )
        self._wait(done, began + PATIENCE_S - virtual_hub.now())
        result = done.wait() if done.ready() else None
        self.served += result == "answer"
        self.broken_off += is_broken_off
        self.refused_at_work += is_broken_off and result == "shed"
        if is_dead and second is None:
            self.dead_waits.append(virtual_hub.now() - began)
        for task in (first, second):
            self._drop(task)

    def _drop(self, task):
        """Close the connection of an exchange, if there is one."""
        if task is not None and not self._works_on:
            task.kill()

    def _may_send_again(self):
        """Return whether the way has a second send, and the budget grants it."""
        if self.way is Way.WAIT or self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def _exchange(self, target, rng, done, running, name):
        def end(result):
            if name not in running:
                return
            running.discard(name)
            if not done.ready() and (result == "answer" or not running):
                done.send(result)

        target.run(rng, lambda: end("shed"), lambda: end("answer"))

    def _wait(self, done, seconds):
        done.wait(timeout=max(0.0, seconds))


def rows():
    """Yield the rows of each way, in four situations."""
    slow = f"targets {SLOWNESS:g} times slower"
    for name, dead_share, work_s, works_on in (
        ("sound targets, no dead connection", 0.0, WORK_S, False),
        (f"{DEAD_SHARE:.0%} on dead connections", DEAD_SHARE, WORK_S, False),
        (slow, 0.0, SLOWNESS * WORK_S, False),
        (f"{slow} that work on after a close", 0.0, SLOWNESS * WORK_S, True),
    ):
        for way in Way:
            model = _Model(way, dead_share, work_s, works_on).play()
            scenario = f"{name}: {way.value}"
            for measure, value, unit in (
                ("served", model.served / model.sent, "share"),
                ("duplicates", model.duplicates / model.sent, "a request"),
                ("broken_off", model.broken_off / model.sent, "a request"),
                ("refused_at_work", model.refused_at_work / model.sent, "a request"),
                ("dead_noticed", _mean(model.dead_waits), "s"),
            ):
                yield MeasureRow(scenario, measure, round(value, 4), unit)


def _mean(values):
    return sum(values) / len(values) if values else 0.0
