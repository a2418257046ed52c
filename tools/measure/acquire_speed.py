"""Wall-clock time of acquiring and releasing one slot while nothing waits.

Run as ``python -m tools.measure.acquire_speed``.
"""

import time

import eventlet
from tests.fakes.scheduling_fleet import candidates_of, make_service, make_team

from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.scheduling.api import SlotOutcome, Ticket
from persimmonspoke.internal.scheduling.settings import SchedulingSettings
from persimmonspoke.internal.scheduling.shared import LocalScheduler
from tools.measure.rows import MeasureRow

_CALLS_PER_RUN = 20_000
_RUNS = 5
_YIELD_EVERY = 100


def rows():
    """Yield the shortest of several runs, for one candidate and for ten."""
    clock = SystemClock()
    pool = make_service("pool", targets=10)
    keyed = make_service("keyed", targets=10, shard_count=64)
    me = PeerAddress("h.r", "10.1.0.1", 1)
    scheduler = LocalScheduler(SchedulingSettings(), clock, me)
    scheduler.configure(make_team(pool, keyed))
    for service, names in ((pool, candidates_of(pool)), (keyed, ("keyed-0",))):
        shortest_s = min(
            _time_once(scheduler, clock, service, names) for _ in range(_RUNS)
        )
        name = f"one host, {len(names)} candidates, nothing waits"
        yield MeasureRow(name, "acquire_and_done", round(1e6 * shortest_s, 1), "us")


def _time_once(scheduler, clock, service, names):
    started_at = time.perf_counter()
    for number in range(_CALLS_PER_RUN):
        ticket = Ticket("laurentide", service, None, False, clock.now() + 1)
        scheduler.acquire(ticket, names).done(SlotOutcome.ANSWERED)
        if number % _YIELD_EVERY == 0:
            eventlet.sleep(0)
    return (time.perf_counter() - started_at) / _CALLS_PER_RUN


if __name__ == "__main__":
    for row in rows():
        print(row.line())
