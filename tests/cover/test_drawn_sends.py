"""Drawn storms of tables, pauses, cuts and outages, while targets leave.

Whatever happens, no request may reach a target later than the bound after the store has
acknowledged that it leaves, unless the store was disturbed, or the host did not reach
it, within `STABLE_S`.  The examples are pinned; set PERSIMMONSPOKE_EXAMPLES to a number
for as many fresh ones.
"""

import os
import unittest

import eventlet
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from tests.fakes import virtual_hub
from tests.fakes.sending_fleet import OWNERS, SendingFleet
from tests.fakes.update_fleet import DRAIN_S

HOSTS = 12
START_S = 6.0
STABLE_S = 3.0  # the platform's `stable_window_s`
STORM_GAP_S = 0.08
PINNED_EXAMPLES = 15
STEPS = 10
TARGETS = 20
LEFT_AT_MOST = 7  # of each service

pauses = st.sampled_from([0.0, 0.3, 0.9, 1.7, 2.6])
hosts = st.integers(0, HOSTS - 1)


class Sends(RuleBasedStateMachine):
    """A fleet whose disturbances overlap; each rule ends with a pause."""

    def __init__(self):
        super().__init__()
        self.fleet = SendingFleet(HOSTS, small=0.1, large=0.2)
        self.version = 1
        self.store_disturbed = []  # spans
        self.cut = []  # (host, span)
        eventlet.sleep(START_S)

    def later(self, after_s, function, *args):
        """Call a function after a pause, beside whatever comes next."""
        eventlet.spawn_after(after_s, function, *args)

    @rule(divided=st.booleans(), pause_s=pauses)
    def target_leaves(self, divided, pause_s):
        first = 0 if divided else OWNERS
        names = [f"t{n}" for n in range(first, first + LEFT_AT_MOST)]
        staying = [name for name in names if name not in self.fleet.left]
        if staying:
            self.fleet.let_leave(staying[0])
        eventlet.sleep(pause_s)

    @rule(table_s=st.sampled_from([0.02, 0.05]), for_s=pauses, pause_s=pauses)
    def tables_change_all_the_time(self, table_s, for_s, pause_s):
        self.fleet.table_s = table_s
        eventlet.spawn(self._change_tables, virtual_hub.now() + for_s)
        eventlet.sleep(pause_s)

    def _change_tables(self, until):
        while virtual_hub.now() < until:
            self.version += 1
            self.fleet.put("config/main", {"version": self.version})
            eventlet.sleep(STORM_GAP_S)

    @rule(numbers=st.lists(hosts, min_size=1, max_size=4), for_s=pauses, pause_s=pauses)
    def hosts_are_paused(self, numbers, for_s, pause_s):
        for number in numbers:
            process = self.fleet.hosts[number].process
            process.pause()
            self.later(for_s, process.resume)
        eventlet.sleep(pause_s)

    @rule(number=hosts, core_s=st.sampled_from([0.05, 0.2, 0.4]), pause_s=pauses)
    def a_host_has_work_of_its_own(self, number, core_s, pause_s):
        self.fleet.hosts[number].process.work(core_s)
        eventlet.sleep(pause_s)

    @rule(number=hosts, for_s=pauses, pause_s=pauses)
    def a_host_loses_its_relays(self, number, for_s, pause_s):
        host = self.fleet.hosts[number].process.machine
        relays = [r.process.machine for r in self.fleet.relays()]
        self.fleet.network.cut([host], [r for r in relays if r != host])
        self.later(for_s, self.fleet.network.heal)
        eventlet.sleep(pause_s)

    @rule(for_s=pauses, is_down=st.booleans(), pause_s=pauses)
    def the_store_is_away(self, for_s, is_down, pause_s):
        faults = self.fleet.platform.faults
        faults.down, faults.silent = is_down, not is_down
        self.fleet.platform.wake()
        began_at = virtual_hub.now()
        eventlet.sleep(for_s)
        faults.down = faults.silent = False
        self.store_disturbed.append((began_at, virtual_hub.now()))
        eventlet.sleep(pause_s)

    @rule(number=hosts, for_s=pauses, pause_s=pauses)
    def a_host_reaches_no_store(self, number, for_s, pause_s):
        host = self.fleet.hosts[number]
        host.store.faults.silent = True
        began_at = virtual_hub.now()
        eventlet.sleep(for_s)
        host.store.faults.silent = False
        self.cut.append((host.process.name, (began_at, virtual_hub.now())))
        eventlet.sleep(pause_s)

    def is_excused(self, sent, left_at):
        """Return whether the store was disturbed, or the host cut from it, in time."""
        spans = self.store_disturbed + [s for name, s in self.cut if name == sent.host]
        return any(
            began_at <= sent.at and ended_at >= left_at - STABLE_S
            for began_at, ended_at in spans
        )

    def teardown(self):
        eventlet.sleep(2 * DRAIN_S)
        self.fleet.stop()
        late = [
            (late_s, sent)
            for late_s, sent in self.fleet.late_sends()
            if not self.is_excused(sent, self.fleet.left[sent.target_id])
        ]
        assert not late, late
        assert self.fleet.sent


class TestDrawnSends(unittest.TestCase):
    """Guards against DRAIN by a host that can't know that a target leaves."""

    def test_nothing_reaches_a_target_later_than_the_bound(self):
        fresh = os.environ.get("PERSIMMONSPOKE_EXAMPLES")
        run_state_machine_as_test(
            Sends,
            settings=settings(
                max_examples=int(fresh or PINNED_EXAMPLES),
                stateful_step_count=STEPS,
                deadline=None,
                database=None,
                derandomize=fresh is None,
                phases=[Phase.generate],  # shrinking takes minutes
                suppress_health_check=list(HealthCheck),
                print_blob=True,
            ),
        )


if __name__ == "__main__":
    unittest.main()
