"""Drawn series of leaders that end, targets that restart, and restored stores.

What a leader owes the fleet has to outlive it, and what it has granted at an address
may outlive the process there; see docs/decisions/successors.md.  Each target is a slot:
an address with one process after the other, whose entries come after they listen.  The
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
from persimmonspoke.internal.routing.config import RoutedService, TargetState
from persimmonspoke.internal.targets.notices import Incarnation
from tests.fakes.range_fleet import SERVICE, RangeFleet, record
from tests.fakes.range_targets import FakeRangeTarget
from tests.fakes.store import WriteFate

HOSTS = 4
TARGETS = 4
SETTLE_S = 3.0
AWAY_S = 2.0  # until a host that has ended or a target that has crashed starts again
NOTICED_S = 3.0  # until the store no longer names a target that has crashed
COLD_S = 8.0
COLD_PER_S = 4.0  # requests that a cold target may get
LOADED_KEYS = 64
LOAD_PER_S = 80.0
REUSED_S = 2.0  # until the address of a target goes to another service
OWNED_AGAIN_S = 34.0  # a lease, the longest grants, and as much for one more leader
PINNED_EXAMPLES = 30
STEPS = 10

seconds = st.sampled_from([0.0, 0.1, 0.4, 1.0, 2.5, 6.0])
delays = st.sampled_from([0.0, 0.05, 0.3, 0.7])
slots = st.integers(0, TARGETS - 1)
hosts = st.integers(0, HOSTS - 1)
ways_or_none = st.sampled_from(["dies", "resigns", "stays", "stays"])
restarts = st.tuples(
    st.booleans(),  # under the same id
    st.sampled_from([0.0, 0.05, 0.2, 0.6, 6.0]),  # until the next process listens
    st.sampled_from([0.0, 0.1, 0.4, 1.0, 3.0]),  # from then until its entry is known
    st.booleans(),  # cold
)


class Successions(RuleBasedStateMachine):
    """A fleet whose disturbances overlap; each rule ends with a pause."""

    def __init__(self):
        super().__init__()
        self.fleet = RangeFleet(hosts=HOSTS, targets=TARGETS)
        self.ids = [[f"t{slot}"] for slot in range(TARGETS)]
        self.starts = 0
        self.is_cut = False
        self.restored = 0
        self.loading = eventlet.spawn(self.load)
        self.fleet.run_for(SETTLE_S)

    def ranges(self):
        """Return the ranges as the leader knows them, or None."""
        leader = self.newest_leader()
        return leader and leader.keeper.ledger.map(SERVICE)

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
        slot=slots,
        how=st.sampled_from(["dies", "resigns", "steps aside"]),
        pause_s=seconds,
    )
    def cut_leader_off_and_end_the_next(self, slot, how, pause_s):
        """Leave a target to a leader that is cut off, and end its successor."""
        target_id = self.ids[slot][-1]
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

    @rule(slot=slots, pause_s=seconds)
    def lose_paths_to_a_target(self, slot, pause_s):
        target_id = self.ids[slot][-1]
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

    @rule(slot=slots, restart=restarts, how=ways_or_none, pause_s=seconds)
    def restart_a_target(self, slot, restart, how, pause_s):
        """End the process of a slot, and perhaps the leader that has noticed it."""
        self.restart(slot, *restart)
        if how != "stays":
            self.fleet.run_for(0.2)
            self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    @rule(chosen=st.sets(slots, min_size=2), restart=restarts, pause_s=seconds)
    def restart_targets_together(self, chosen, restart, pause_s):
        for slot in sorted(chosen):
            self.restart(slot, *restart)
        self.fleet.run_for(pause_s)

    @rule(slot=slots, restart=restarts, delay_s=delays, pause_s=seconds)
    def restart_a_target_that_gives_up_keys(self, slot, restart, delay_s, pause_s):
        """End a process whose release or grant is in progress."""
        process = self.process_of(slot)
        process.work_s = 0.8
        ranges = self.ranges()
        owned = ranges.owned_by(self.ids[slot][-1]) if ranges else ()
        if owned:
            self.move(owned[0].first, self.ids[(slot + 1) % TARGETS][-1])
            self.move(owned[-1].first, self.ids[(slot + 2) % TARGETS][-1])
        self.fleet.run_for(delay_s)
        self.restart(slot, *restart)
        self.fleet.run_for(pause_s)

    @precondition(lambda self: not self.is_cut)
    @rule(restart=restarts, delay_s=delays, pause_s=seconds)
    def cut_leader_off_and_restart_targets(self, restart, delay_s, pause_s):
        """Restart targets which the leader that is cut off may reach first."""
        cut = self.cut_newest_leader_off()
        self.wait_for_another_than(cut)
        self.fleet.run_for(0.5 + delay_s)
        for slot in range(TARGETS):
            self.restart(slot, *restart)
            self.fleet.run_for(0.25)
        self.fleet.run_for(pause_s)

    @rule(slot=slots, away_s=delays, pause_s=seconds)
    def lose_an_entry(self, slot, away_s, pause_s):
        """Let the entry of a process that runs lapse, and return."""
        found = self.fleet.records.pop(self.ids[slot][-1], None)
        if found is not None:
            eventlet.spawn_after(away_s, self.put_back, slot, found)
        self.fleet.run_for(pause_s)

    def put_back(self, slot, found):
        """Put back an entry, unless another process has started since."""
        if self.ids[slot][-1] == found.target_id:
            known = self.fleet.records.get(found.target_id)
            if known is None or known.born_ms < found.born_ms:
                self.fleet.records[found.target_id] = found

    def process_of(self, slot):
        """Return the process that listens at a slot's address, or was the last."""
        return self.fleet.targets[self.ids[slot][-1]]

    def restart(self, slot, same_id, down_s, entry_late_s, is_cold):
        """End the process at an address; another one starts there after a while.

        It listens before its entry is known.
        """
        process = self.process_of(slot)
        if process.down:
            return
        process.crash()
        process.work_s = 0.0
        self.starts += 1
        eventlet.spawn_after(
            down_s, self.start_process, slot, same_id, entry_late_s, is_cold
        )

    def start_process(self, slot, same_id, entry_late_s, is_cold):
        """Start the next process, under the same id or a new one."""
        before = self.ids[slot][-1]
        if same_id:
            self.fleet.targets[before].start()
        else:
            name = f"t{slot}.{self.starts}"
            self.fleet.targets[name] = FakeRangeTarget(name)
            self.fleet.listening.update(dict.fromkeys(self.ids[slot], name))
            self.ids[slot].append(name)
            eventlet.spawn_after(NOTICED_S, self.fleet.records.pop, before, None)
        born_ms = 1 + self.starts
        eventlet.spawn_after(
            entry_late_s, self.publish, self.ids[slot][-1], born_ms, is_cold
        )

    def publish(self, target_id, born_ms, is_cold):
        """Let the store name the new process, unless a later one is known."""
        known = self.fleet.records.get(target_id)
        if known is not None and known.born_ms >= born_ms:
            return
        self.fleet.records[target_id] = record(target_id, born_ms=born_ms)
        services = {SERVICE: RoutedService(SERVICE, 100, True, COLD_S, COLD_PER_S)}
        for host in self.fleet.hosts:
            host.warmups.update(self.fleet.records, services, lambda name: None)
            if is_cold:
                host.warmups.record(Incarnation(target_id, born_ms), COLD_S)

    def load(self):
        """Report requests for keys of all targets, so that cold ones have too many."""
        while True:
            for key in range(0, 65536, 65536 // LOADED_KEYS):
                leader = self.newest_leader()
                if leader is not None:
                    leader.reporter.load_recorder.record_request(SERVICE, str(key))
                eventlet.sleep(1 / LOAD_PER_S)

    @rule(slot=slots, late_s=st.sampled_from([0.0, 0.2, 1.0]))
    def delay_orders(self, slot, late_s):
        target = self.process_of(slot)
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
        slot=slots,
        how=st.sampled_from(["dies", "resigns", "steps aside", "stays"]),
        pause_s=seconds,
    )
    def restore_store_without_its_leader(self, first, slot, how, pause_s):
        """Lose the leader, its last moves, and perhaps the one that finds the copy."""
        target_id = self.ids[slot][-1]
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

    @rule(first=st.integers(0, 60000), slot=slots, pause_s=seconds)
    def move_keys(self, first, slot, pause_s):
        self.move(first, self.ids[slot][-1])
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
                target.late_s = target.work_s = 0.0
            self.fleet.run_for(OWNED_AGAIN_S)
            self.no_key_has_two_holders_and_no_fence_goes_to_two()
            unheld = self.fleet.unheld_keys()[:3]
            assert unheld == [], f"keys without a holder: {unheld}"
        finally:
            self.loading.kill()
            self.fleet.stop()


class PartialCuts(Successions):
    """The same beside cuts of single paths, and targets that change their address.

    The store may serve some hosts only, or lose answers.  Where a target has been,
    nothing listens at first, and later a process of another service.
    """

    def __init__(self):
        super().__init__()
        self.ips = [self.fleet.records[f"t{slot}"].ip for slot in range(TARGETS)]
        self.moves = 0

    @rule(chosen=st.sets(hosts, min_size=1), refuses=st.booleans(), pause_s=seconds)
    def turn_hosts_away(self, chosen, refuses, pause_s):
        """Let the store serve the other hosts only."""
        self.is_cut = True
        self.turn_away([self.fleet.hosts[number] for number in chosen], refuses)
        self.fleet.run_for(pause_s)

    def turn_away(self, chosen, refuses=False):
        for host in chosen:
            host.store.faults.silent, host.store.faults.down = not refuses, refuses

    @rule(pairs=st.sets(st.tuples(hosts, hosts), min_size=1), pause_s=seconds)
    def cut_single_paths(self, pairs, pause_s):
        """Cut paths between hosts, each in one direction."""
        self.is_cut = True
        for source, destination in pairs:
            if source != destination:
                machines = (
                    {self.fleet.hosts[number].process.machine}
                    for number in (source, destination)
                )
                self.fleet.network.cut(*machines, both=False)
        self.fleet.run_for(pause_s)

    @rule(
        others=st.sampled_from([(), (0,), (2,), (0, 1), (0, 2), (1, 2)]),
        serves=st.sampled_from(["the rest", "the rest", "a host", "nobody"]),
        slot=slots,
        moves=st.sampled_from([0, 1, 6]),  # six are all keys that a target had at first
        loses_paths=st.booleans(),
        delay_s=delays,
        restart=restarts,
        pause_s=seconds,
    )
    def part_hosts_and_restart_targets(
        self, others, serves, slot, moves, loses_paths, delay_s, restart, pause_s
    ):
        """Cut the leader and some hosts from the rest; move keys, restart targets."""
        leader = self.newest_leader()
        if leader is None:
            return
        self.heal()
        self.is_cut = True
        rest = [host for host in self.fleet.hosts if host is not leader]
        part = [leader, *(rest[number] for number in others)]
        rest = [host for host in rest if host not in part]
        served = {"the rest": rest, "a host": rest[:1], "nobody": []}[serves]
        self.turn_away([host for host in self.fleet.hosts if host not in served])
        self.fleet.network.cut(
            {host.process.machine for host in part},
            {host.process.machine for host in rest},
        )
        if served:
            self.wait_for_another_than(leader)
            self.wait_for_another_than(leader)  # without others it takes twice as long
            self.fleet.run_for(0.5)
        for step in range(moves):
            self.move(slot * 16384 + 3001 * step, self.ids[(slot + 1) % TARGETS][-1])
            self.fleet.run_for(0.05)
        self.fleet.run_for(delay_s)
        for number in range(TARGETS):
            if loses_paths:
                for host in rest:
                    host.lost_targets.add(self.ids[(slot + number) % TARGETS][-1])
            self.restart((slot + number) % TARGETS, *restart)
            self.fleet.run_for(0.25)
        self.fleet.run_for(pause_s)

    @rule(
        number=hosts,
        fates=st.lists(st.sampled_from(WriteFate), max_size=4),
        silent_s=delays,
        extra_s=st.sampled_from([0.0, 0.0, 0.2, 0.7]),
        pause_s=seconds,
    )
    def lose_answers_of_the_store(self, number, fates, silent_s, extra_s, pause_s):
        """Lose answers to writes of a host, and let the store be slow or silent."""
        faults = self.fleet.hosts[number].store.faults
        faults.lost.extend(fates)
        faults.late_s = 1.5
        if not faults.silent:
            faults.silent = silent_s > 0
            eventlet.spawn_after(silent_s, setattr, faults, "silent", False)
        faults.extra_s = extra_s
        eventlet.spawn_after(1.0, setattr, faults, "extra_s", 0.0)
        self.fleet.run_for(pause_s)

    @rule(slot=slots, restart=restarts, how=ways_or_none, pause_s=seconds)
    def restart_a_target_elsewhere(self, slot, restart, how, pause_s):
        """Start the next process of a target, under its id, at another address."""
        if not self.process_of(slot).down:
            self.leave_address(slot)
            _, *rest = restart
            self.restart(slot, True, *rest)
        if how != "stays":
            self.fleet.run_for(0.2)
            self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    def leave_address(self, slot):
        """Let nothing listen at a slot's address, and give the slot another one."""
        self.moves += 1
        name = f"other{self.moves}"
        self.fleet.targets[name] = FakeRangeTarget(name, down=True)
        self.fleet.strangers.add(name)
        for target_id in self.ids[slot]:
            self.fleet.listening.setdefault((target_id, self.ips[slot]), name)
        eventlet.spawn_after(REUSED_S, self.fleet.targets[name].start)
        self.ips[slot] = f"10.1.1.{self.moves}"

    def publish(self, target_id, born_ms, is_cold):
        slots_of = [n for n, ids in enumerate(self.ids) if target_id in ids]
        if not slots_of:
            return  # it has been replaced by plan
        super().publish(target_id, born_ms, is_cold)
        slot = slots_of[0]
        found = self.fleet.records[target_id]
        self.fleet.records[target_id] = replace(found, ip=self.ips[slot])

    @rule(
        slot=slots,
        is_told=st.booleans(),
        lasts_s=st.sampled_from([2.5, 6.0]),
        how=ways_or_none,
        pause_s=seconds,
    )
    def replace_a_target_by_plan(self, slot, is_told, lasts_s, how, pause_s):
        """Start another target elsewhere; the one before drains and then ends."""
        before = self.ids[slot][-1]
        if before in self.fleet.records and not self.process_of(slot).down:
            self.starts += 1
            name = f"t{slot}.{self.starts}"
            self.fleet.targets[name] = FakeRangeTarget(name)
            self.moves += 1
            self.ids[slot], self.ips[slot] = [name], f"10.1.1.{self.moves}"
            self.publish(name, 1 + self.starts, False)
            found = self.fleet.records.pop(before)
            if is_told:
                self.fleet.records[before] = replace(found, state=TargetState.LEAVING)
                eventlet.spawn_after(lasts_s, self.fleet.records.pop, before, None)
            eventlet.spawn_after(lasts_s, self.fleet.targets[before].crash)
        if how != "stays":
            self.fleet.run_for(0.2)
            self.end_newest_leader(how)
        self.fleet.run_for(pause_s)

    def heal(self):
        super().heal()
        for host in self.fleet.hosts:
            host.store.faults.down = False
            host.store.faults.lost.clear()


class DrawnCase(unittest.TestCase):
    def run_drawn(self, machine):
        fresh = os.environ.get("PERSIMMONSPOKE_EXAMPLES")
        run_state_machine_as_test(
            machine,
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


class TestDrawnSuccessions(DrawnCase):
    # Guards against OWNER: whatever a leader knew that its successors do not.
    def test_no_key_has_two_holders_and_all_have_one_again(self):
        self.run_drawn(Successions)


class TestDrawnPartialCuts(DrawnCase):
    # Guards against OWNER: two leaders that different hosts take for the only one, and
    # processes at addresses where others have been.
    def test_no_key_has_two_holders_and_all_have_one_again(self):
        self.run_drawn(PartialCuts)


if __name__ == "__main__":
    unittest.main()
