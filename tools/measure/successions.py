"""The longest time for which keys have no holder, and the writes of the store.

A fleet in virtual time, whose targets and leaders restart, with and without the store.
"""

from dataclasses import dataclass, replace
from statistics import mean

import eventlet
from tests.fakes import virtual_hub
from tests.fakes.range_fleet import RangeFleet

from tools.measure.rows import MeasureRow

PHASES = 5  # of the rounds of renewals, which differ by where a fault falls in them
ROUND_S = 0.6
SETTLE_S = 4.0
WATCHED_S = 20.0
STEP_S = 0.005
OUTAGE_S = 10.0
DOWN_S = 0.2  # between the end of a target's process and the start of the next


@dataclass
class _Run:
    """One run of a fleet, and what it measured."""

    fleet: RangeFleet
    longest_gap_s: float = 0.0

    def watch(self):
        gap_s = 0.0
        while True:
            gap_s = gap_s + STEP_S if self.fleet.unheld_keys() else 0.0
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            eventlet.sleep(STEP_S)

    def restart_target(self, entry_late_s, new_id=False):
        """Restart a target at its address; its entry follows after a while."""
        fleet = self.fleet
        fleet.targets["t0"].crash()
        eventlet.sleep(DOWN_S)
        if new_id:
            fleet.start_at_address_of("t0", "u0")
            eventlet.sleep(entry_late_s)
            del fleet.records["t0"]
            fleet.register("u0")
            return
        fleet.targets["t0"].start()
        eventlet.sleep(entry_late_s)
        fleet.records["t0"] = replace(fleet.records["t0"], born_ms=2)

    def crash_target(self):
        self.fleet.targets["t0"].crash()

    def kill_leader(self):
        self.fleet.leader().kill()

    def stop_leader(self):
        leader = self.fleet.leader()
        leader.leadership.resign()
        leader.kill()

    def silence_store(self):
        faults = self.fleet.platform.faults
        faults.silent = True
        eventlet.spawn_after(OUTAGE_S, setattr, faults, "silent", False)

    def restore_store(self):
        self.fleet.platform.restore(2.0)

    def lose_follower(self, how):
        """Freeze or kill a host that does not lead."""
        leader = self.fleet.leader()
        host = next(h for h in self.fleet.hosts if h is not leader)
        if how == "freeze":
            host.process.pause()
        else:
            host.kill()

    def pause(self, seconds):
        eventlet.sleep(seconds)


SCENARIOS = {
    "nothing": lambda run: None,
    "a target restarts under its id, entry 0.2 s late": lambda run: run.restart_target(
        0.2
    ),
    "the same under a new id": lambda run: run.restart_target(0.2, new_id=True),
    "the same, entry 1 s late": lambda run: run.restart_target(1.0, new_id=True),
    "a target crashes for good": lambda run: run.crash_target(),
    "planned stop of the leader": lambda run: run.stop_leader(),
    "the leader is killed": lambda run: run.kill_leader(),
    "the leader is killed, and a target restarts 1 s later": lambda run: (
        run.kill_leader(),
        run.pause(1.0),
        run.restart_target(0.2),
    ),
    "the store is silent for 10 s": lambda run: run.silence_store(),
    "the store is silent, and a target restarts after 0.1 s": lambda run: (
        run.silence_store(),
        run.pause(0.1),
        run.restart_target(0.2),
    ),
    "the store is silent, and a target restarts after 3 s": lambda run: (
        run.silence_store(),
        run.pause(3.0),
        run.restart_target(0.2),
    ),
    "the store is silent, with a frozen follower, the same": lambda run: (
        run.silence_store(),
        run.pause(1.0),
        run.lose_follower("freeze"),
        run.pause(2.0),
        run.restart_target(0.2),
    ),
    "the store is silent, with a killed follower, the same": lambda run: (
        run.silence_store(),
        run.pause(1.0),
        run.lose_follower("kill"),
        run.pause(2.0),
        run.restart_target(0.2),
    ),
    "the store is restored": lambda run: run.restore_store(),
    "the store is restored, with a frozen follower": lambda run: (
        run.lose_follower("freeze"),
        run.pause(1.0),
        run.restore_store(),
    ),
}


def _play(scenario, phase):
    """Play a scenario; return the longest gap, and the writes and orders counted."""
    run = _Run(RangeFleet(hosts=4, targets=4))
    fleet = run.fleet
    fleet.run_for(SETTLE_S + phase * ROUND_S / PHASES)
    orders = [host.orders.sent for host in fleet.hosts]
    watch = eventlet.spawn(run.watch)
    since = virtual_hub.now()
    SCENARIOS[scenario](run)
    fleet.run_for(WATCHED_S - (virtual_hub.now() - since))
    until = virtual_hub.now()
    watch.kill()
    writes = fleet.platform.rate(since, until, writes=True) * (until - since)
    sent = sum(host.orders.sent for host in fleet.hosts) - sum(orders)
    fleet.stop()
    return run.longest_gap_s, writes, sent


def rows():
    """Yield the rows of all scenarios."""
    for scenario in SCENARIOS:
        gaps, writes, orders = zip(
            *(_play(scenario, phase) for phase in range(PHASES)), strict=True
        )
        yield MeasureRow(scenario, "unheld_s_max", round(max(gaps), 2), "s")
        yield MeasureRow(scenario, "unheld_s_mean", round(mean(gaps), 2), "s")
        yield MeasureRow(scenario, "store_writes", round(mean(writes), 1), "calls")
        yield MeasureRow(scenario, "orders", round(mean(orders), 1), "orders")
