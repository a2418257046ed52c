"""Drawn series of changes, gaps in the store's watches, and relays that are lost.

Whatever happens, no host may hold an outdated copy for the newest, nor take a change
for newer than it is; see docs/decisions/freshness.md.  The examples are pinned; set
PERSIMMONSPOKE_EXAMPLES to a number for as many fresh ones.
"""

import os
import unittest

import eventlet
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from persimmonspoke.internal.news.packing import MIN_PACKED_BYTES
from tests.fakes import virtual_hub
from tests.fakes.store import WatchGap
from tests.fakes.update_fleet import DRAIN_S, UpdateFleet, UpdateHost

SETTLE_S = 3.0
STEP_S = 0.1  # between two checks
GAP_S = 1.0
STABLE_S = 3.0  # the platform's `stable_window_s`
RECORD_S = 1.0  # until the others know that a host has ended
PINNED_EXAMPLES = {30: 20, 200: 2}
STEPS = {30: 12, 200: 6}
ROUTES = "x" * (2 * MIN_PACKED_BYTES)  # a table that relays defer
BOUNDED = ("config/", "servers/")

seconds = st.sampled_from([0.0, 0.2, 0.5, 0.9, 1.4, 2.5])
offsets = st.sampled_from([0.0, 0.1, 0.35, 0.6, 0.85])


def is_seen(stored, known):
    """Return whether a host that has `known` under the key has heard of a write.

    A deletion may be known without its version, or by nothing at all.
    """
    if not stored.value and (known is None or not known.value):
        return True
    return known is not None and known.order >= stored.order


class Updates(RuleBasedStateMachine):
    """A fleet whose disturbances overlap; each rule ends with a pause."""

    HOSTS = 30

    def __init__(self):
        super().__init__()
        self.fleet = UpdateFleet(self.HOSTS)
        self.runs = 1
        self.version = 1
        self.leaving = 0
        self.writes = []
        self.out_of_touch_at = {}  # hosts that have just started, or reach no store
        self.newest = {}
        self.changes = {
            "config": self.change_configuration,
            "target": self.let_target_leave,
        }
        self.disturbed_at = {"store": -100.0, "watches": -100.0, "relays": -100.0}
        eventlet.sleep(SETTLE_S)

    def write(self, key, value):
        """Write an object, and remember when."""
        stored = self.fleet.put(key, value)
        self.writes.append((virtual_hub.now(), stored))

    def change_configuration(self):
        self.version += 1
        self.write("config/main", {"version": self.version, "routes": ROUTES})

    def let_target_leave(self):
        key = f"servers/t{self.leaving % 20}"
        self.leaving += 1
        self.write(key, {"state": "draining", "n": self.leaving})

    def disturb(self, what):
        self.disturbed_at[what] = virtual_hub.now()

    def run_for(self, pause_s):
        until = virtual_hub.now() + pause_s
        self.check()
        while virtual_hub.now() < until:
            eventlet.sleep(min(STEP_S, until - virtual_hub.now()))
            self.check()

    @rule(pause_s=seconds)
    def configuration_changes(self, pause_s):
        self.change_configuration()
        self.run_for(pause_s)

    @rule(pause_s=seconds)
    def target_leaves(self, pause_s):
        self.let_target_leave()
        self.run_for(pause_s)

    @rule(pause_s=seconds)
    def target_goes(self, pause_s):
        key = f"servers/t{self.leaving % 20}"
        self.leaving += 1
        if key in self.fleet.platform._objects:
            self.write(key, None)
        self.run_for(pause_s)

    @rule(number=st.integers(0, 29), pause_s=seconds)
    def host_restarts(self, number, pause_s):
        old = self.fleet.hosts[number]
        if old not in self.fleet.relays():
            old.kill()
            self.runs += 1
            new = UpdateHost(self.fleet, old.number, self.runs)
            self.out_of_touch_at[new.process.name] = virtual_hub.now()
            self.fleet.hosts[number] = new
            self.fleet.known = tuple(host.me for host in self.fleet.hosts)
        self.run_for(pause_s)

    @rule(gap=st.sampled_from(WatchGap), config_s=offsets, leaves_s=offsets)
    def watches_hear_nothing(self, gap, config_s, leaves_s):
        """Make changes meanwhile; drop the history at the end."""
        self.fleet.platform.begin_gap(gap)
        self.disturb("watches")
        began_at = virtual_hub.now()
        for at_s, key in sorted([(config_s, "config"), (leaves_s, "target")]):
            self.run_for(max(0.0, began_at + at_s - virtual_hub.now()))
            self.changes[key]()
        self.run_for(began_at + GAP_S - virtual_hub.now())
        self.fleet.platform.end_gap()
        self.disturb("watches")

    @rule(count=st.integers(1, 2), away_s=seconds, pause_s=seconds)
    def relays_are_killed(self, count, away_s, pause_s):
        """Start new runs of them later, which the others know at once."""
        self.disturb("relays")
        killed = self.fleet.relays()[:count]
        for relay in killed:
            relay.kill()
        self.run_for(away_s)
        self.runs += 1
        for relay in killed:
            new = UpdateHost(self.fleet, relay.number, self.runs)
            self.out_of_touch_at[new.process.name] = virtual_hub.now()
            self.fleet.hosts[self.fleet.hosts.index(relay)] = new
        self.fleet.known = tuple(host.me for host in self.fleet.hosts)
        self.disturb("relays")
        self.run_for(pause_s)

    @rule(
        fault=st.sampled_from(["silent", "down", "lose_changes"]),
        count=st.integers(1, 2),
        lasts_s=seconds,
    )
    def relays_lose_answers_of_the_store(self, fault, count, lasts_s):
        self.disturb("relays")
        relays = self.fleet.relays()[:count]
        for relay in relays:
            setattr(relay.store.faults, fault, True)
        self.fleet.platform.wake()
        self.run_for(lasts_s)
        for relay in relays:
            setattr(relay.store.faults, fault, False)
            if fault != "lose_changes":
                self.out_of_touch_at[relay.process.name] = virtual_hub.now()
        self.disturb("relays")

    @rule(fault=st.sampled_from(["silent", "slow"]), lasts_s=seconds)
    def store_is_disturbed(self, fault, lasts_s):
        self.disturb("store")
        faults = self.fleet.platform.faults
        faults.silent, faults.extra_s = fault == "silent", 0.2 * (fault == "slow")
        self.run_for(lasts_s)
        faults.silent, faults.extra_s = False, 0.0
        self.disturb("store")

    def check(self):
        now = virtual_hub.now()
        recent = {w for w, at in self.disturbed_at.items() if now - at < STABLE_S}
        # One of these at a time: the budget is for one failure.
        is_calm = len(recent) <= 1 and "store" not in recent
        for host in self.fleet.hosts:
            if host.process.killed:
                continue
            unseen = self.unseen(host)
            self.check_proofs(host, unseen)
            self.check_dates(host)
            self.check_versions(host)
            if is_calm and self.is_in_touch(host):
                late = [s.key for at, s in unseen if now - at > DRAIN_S]
                assert not late, f"{host.process.name} lacks {late}"

    def is_in_touch(self, host):
        """Return whether a host has run and reached the store for long enough."""
        since = self.out_of_touch_at.get(host.process.name, -100.0)
        faults = host.store.faults
        cut = faults.silent or faults.down
        return not cut and virtual_hub.now() - since >= STABLE_S

    def unseen(self, host):
        """Return the writes that a host has neither got nor got the successors of."""
        known = host.cache.snapshot()
        unseen, seen_keys = [], set()
        for at, stored in reversed(self.writes[-40:]):
            if stored.key in seen_keys or is_seen(stored, known.get(stored.key)):
                seen_keys.add(stored.key)
            else:
                unseen.append((at, stored))
        return unseen[::-1]

    def check_proofs(self, host, unseen):
        """Assert that no proof is later than the first change that a host lacks."""
        for kind in BOUNDED:
            proof = host.updates.knowledge.proof(kind)
            missed = [at for at, stored in unseen if stored.key.startswith(kind)]
            if proof is not None and missed:
                false_s = host.process.virtual(proof.at) - min(missed)
                assert false_s <= 0, f"{host.process.name} {kind} {false_s:.3f} s"

    def check_dates(self, host):
        """Assert that no change is taken for newer than it is."""
        for at, stored in self.writes[-40:]:
            known = host.cache.get(stored.key)
            if known is not None and known.order == stored.order:
                dated_at = host.process.virtual(host.cache.changed_at(stored.key))
                assert dated_at <= at, f"{host.process.name} {dated_at - at:.3f} s"

    def check_versions(self, host):
        """Assert that no older configuration replaces a newer one."""
        known = host.cache.get("config/main")
        if known is not None:
            name = host.process.name
            assert known.order >= self.newest.get(name, known.order), name
            self.newest[name] = known.order

    def teardown(self):
        self.run_for(SETTLE_S + DRAIN_S)
        self.fleet.stop()


class UpdatesOfManyHosts(Updates):
    HOSTS = 200


class TestDrawnUpdates(unittest.TestCase):
    """Guards against CONFIG and DRAIN by what is held for the newest, and is not."""

    def run_machine(self, machine):
        fresh = os.environ.get("PERSIMMONSPOKE_EXAMPLES")
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=int(fresh or PINNED_EXAMPLES[machine.HOSTS]),
                stateful_step_count=STEPS[machine.HOSTS],
                deadline=None,
                database=None,
                derandomize=fresh is None,
                phases=[Phase.generate],  # shrinking takes minutes
                suppress_health_check=list(HealthCheck),
                print_blob=True,
            ),
        )

    def test_no_copy_is_held_for_newer_than_it_is(self):
        self.run_machine(Updates)

    def test_no_copy_is_held_for_newer_than_it_is_on_many_hosts(self):
        self.run_machine(UpdatesOfManyHosts)


if __name__ == "__main__":
    unittest.main()
