"""Drawn series of leaders that end, targets that crash, and stores that are restored.

What a leader owes the fleet has to outlive it; see docs/decisions/successors.md.  The
examples are pinned; set PERSIMMONSPOKE_EXAMPLES to a number for as many fresh ones.
"""

import os
import unittest
from dataclasses import replace

import eventlet
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from persimmonspoke.internal.ranges.planner import whole_move
from tests.fakes.range_fleet import SERVICE, RangeFleet, record
from tests.fakes.range_targets import FakeRangeTarget

HOSTS = 4
TARGETS = 4
SETTLE_S = 3.0
AWAY_S = 2.0  # until a host that has ended or a target that has crashed starts again
NOTICED_S = 3.0  # until the store no longer names a target that has crashed
OWNED_AGAIN_S = 34.0  # a lease, the longest grants, and as much for one more leader
PINNED_EXAMPLES = 30
STEPS = 10

seconds = st.sampled_from([0.0, 0.1, 0.4, 1.0, 2.5, 6.0])
target_ids = st.sampled_from([f"t{number}" for number in range(TARGETS)])


class Successions(RuleBasedStateMachine):
    """A fleet whose disturbances overlap; each rule ends with a pause."""

    def __init__(self):
        super().__init__()
        self.fleet = RangeFleet(hosts=HOSTS, targets=TARGETS)
        self.crashed = set()
        self.is_cut = False
        self.restored = 0
        self.fleet.run_for(SETTLE_S)

    def leaders(self):
        """Return the running hosts that may give orders."""
        return [
            host
            for host in self.fleet.hosts
            if host.alive() and host.leadership.may_order()
        ]

    def newest_leader(self):
        """Return the leader of the latest epoch, or None."""
        return max(self.leaders(), key=lambda h: h.leadership.epoch, default=None)

    @rule(how=st.sampled_from(["dies", "resigns", "steps aside"]), pause_s=seconds)
    def end_leader(self, how, pause_s):
        self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    def end_newest_leader(self, how):
        host = self.newest_leader()
        if host is None or host.process.paused:
            return
        if how == "resigns":
            host.hosts.leaving = True
            eventlet.spawn(host.leadership.resign)
        if how == "steps aside":
            host.leadership.step_aside("test")
        else:
            eventlet.spawn_after(AWAY_S, self.start_again, host)
        if how == "dies":
            host.kill()

    def start_again(self, host):
        """End a host's process if it still runs, and start the next one."""
        if host in self.fleet.hosts:
            if host.alive():
                host.kill()
            self.fleet.restart(host)

    @rule(pause_s=seconds)
    def freeze_leader(self, pause_s):
        host = self.newest_leader()
        if host is not None:
            host.process.pause()
        self.fleet.run_for(pause_s)

    @rule(pause_s=seconds)
    def thaw_hosts(self, pause_s):
        for host in self.fleet.hosts:
            host.process.resume()
        self.fleet.run_for(pause_s)

    @precondition(lambda self: not self.is_cut)
    @rule(pause_s=seconds)
    def cut_leader_off(self, pause_s):
        self.cut_newest_leader_off()
        self.fleet.run_for(pause_s)

    def cut_newest_leader_off(self):
        """Cut the leader from the store and the other hosts; return it, or None."""
        host = self.newest_leader()
        if host is not None:
            self.is_cut = True
            host.store.faults.silent = True
            others = {h.process.machine for h in self.fleet.hosts if h is not host}
            self.fleet.network.cut({host.process.machine}, others)
        return host

    @precondition(lambda self: not self.is_cut)
    @rule(
        target_id=target_ids,
        how=st.sampled_from(["dies", "resigns", "steps aside"]),
        pause_s=seconds,
    )
    def cut_leader_off_and_end_the_next(self, target_id, how, pause_s):
        """Leave a target to a leader that is cut off, and end its successor."""
        cut = self.cut_newest_leader_off()
        for host in self.fleet.hosts:
            if host is not cut:
                host.lost_targets.add(target_id)
        self.wait_for_another_than(cut)
        self.end_newest_leader(how)
        self.fleet.run_for(8 + pause_s)

    def wait_for_another_than(self, former):
        """Wait for some seconds until another host leads."""
        for _ in range(60):
            self.fleet.run_for(0.05)
            if self.newest_leader() not in (None, former):
                return

    @precondition(lambda self: self.is_cut)
    @rule(pause_s=seconds)
    def reconnect(self, pause_s):
        self.heal()
        self.fleet.run_for(pause_s)

    @rule(target_id=target_ids, pause_s=seconds)
    def lose_paths_to_a_target(self, target_id, pause_s):
        oldest = min(self.leaders(), key=lambda h: h.leadership.epoch, default=None)
        for host in self.fleet.hosts:
            if host is not oldest:
                host.lost_targets.add(target_id)
        self.fleet.run_for(pause_s)

    @rule(pause_s=seconds)
    def regain_paths(self, pause_s):
        for host in self.fleet.hosts:
            host.lost_targets.clear()
        self.fleet.run_for(pause_s)

    @rule(
        target_id=target_ids,
        same_id=st.booleans(),
        away_s=st.sampled_from([0.0, 0.4, 1.0, 6.0]),
        how=st.sampled_from(["dies", "resigns", "stays"]),
        pause_s=seconds,
    )
    def crash_target(self, target_id, same_id, away_s, how, pause_s):
        """Crash a target, and perhaps end the leader that has noticed it."""
        if target_id not in self.crashed:
            self.crashed.add(target_id)
            self.fleet.targets[target_id].crash()
            born_ms = 1 + len(self.crashed)
            name = f"{target_id}.{born_ms}"
            eventlet.spawn_after(away_s, self.start_target, target_id, name)
            change = self.register_again if same_id else self.replace_record
            eventlet.spawn_after(NOTICED_S + away_s, change, target_id, name, born_ms)
            if how != "stays":
                self.fleet.run_for(0.2)
                self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    def start_target(self, crashed, name):
        """Start another process at the address of a crashed target."""
        self.fleet.targets[name] = FakeRangeTarget(name)
        self.fleet.listening[crashed] = name

    def register_again(self, crashed, name, born_ms):
        """Let the store name the new process under the old id."""
        self.fleet.records[crashed] = record(crashed, born_ms=born_ms)

    def replace_record(self, crashed, name, born_ms):
        """Let the store name the new process under its own id."""
        self.fleet.records.pop(crashed, None)
        self.fleet.records[name] = record(name, born_ms=born_ms)

    @rule(target_id=target_ids, late_s=st.sampled_from([0.0, 0.2, 1.0]))
    def delay_orders(self, target_id, late_s):
        target = self.fleet.targets[target_id]
        target.late_s, target.late_share = late_s, 0.4

    @precondition(lambda self: self.restored < 2)
    @rule(age_s=st.sampled_from([0.5, 3.0, 9.0]), pause_s=seconds)
    def restore_store(self, age_s, pause_s):
        self.restored += 1
        self.fleet.platform.restore(age_s)
        self.fleet.run_for(pause_s)

    @precondition(lambda self: self.restored < 2)
    @rule(
        first=st.integers(0, 60000),
        target_id=target_ids,
        how=st.sampled_from(["dies", "resigns", "steps aside", "stays"]),
        pause_s=seconds,
    )
    def restore_store_without_its_leader(self, first, target_id, how, pause_s):
        """Lose the leader, its last moves, and perhaps the one that finds the copy."""
        self.restored += 1
        for step in range(3):
            self.move((first + 9000 * step) % 60000, target_id)
            self.fleet.run_for(0.3)
        lost = self.newest_leader()
        self.end_newest_leader("dies")
        self.fleet.platform.restore(1.0)
        self.wait_for_another_than(lost)
        if how != "stays":
            self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    @rule(first=st.integers(0, 60000), target_id=target_ids, pause_s=seconds)
    def move_keys(self, first, target_id, pause_s):
        self.move(first, target_id)
        self.fleet.run_for(pause_s)

    def move(self, first, target_id):
        """Start to move a run of keys, if there is a leader that may."""
        leader = self.newest_leader()
        ranges = leader and leader.keeper.ledger.map(SERVICE)
        if ranges and target_id in self.fleet.records and not leader.process.paused:
            entry = ranges.find(first)
            if not leader.keeper.ledger.in_transfer(SERVICE, entry):
                piece = replace(entry, first=first, last=min(entry.last, first + 3000))
                leader.keeper.start_move(SERVICE, whole_move(piece, target_id))

    @invariant()
    def no_key_has_two_holders_and_no_fence_goes_to_two(self):
        found = self.fleet.double_holds[:3]
        assert found == [], f"keys with two holders: {found}"
        low = self.fleet.fence_violations()[:3]
        assert low == [], f"fences that others have had: {low}"
        assert self.fleet.network.crashes == []

    def heal(self):
        """Undo all cuts between hosts and from the store."""
        self.is_cut = False
        self.fleet.network.heal()
        for host in self.fleet.hosts:
            host.store.faults.silent = False

    def teardown(self):
        try:
            self.heal()
            for host in self.fleet.hosts:
                host.process.resume()
                host.lost_targets.clear()
            for target in self.fleet.targets.values():
                target.late_s = 0.0
            self.fleet.run_for(OWNED_AGAIN_S)
            self.no_key_has_two_holders_and_no_fence_goes_to_two()
            unheld = self.fleet.unheld_keys()[:3]
            assert unheld == [], f"keys without a holder: {unheld}"
        finally:
            self.fleet.stop()


class TestDrawnSuccessions(unittest.TestCase):
    # Guards against OWNER: whatever a leader knew that its successors do not.
    def test_no_key_has_two_holders_and_all_have_one_again(self):
        fresh = os.environ.get("PERSIMMONSPOKE_EXAMPLES")
        run_state_machine_as_test(
            Successions,
            settings=settings(
                max_examples=int(fresh or PINNED_EXAMPLES),
                stateful_step_count=STEPS,
                derandomize=not fresh,
                database=None,
                deadline=None,
                phases=[Phase.generate],  # shrinking takes minutes
                suppress_health_check=list(HealthCheck),
                print_blob=True,
            ),
        )


if __name__ == "__main__":
    unittest.main()
