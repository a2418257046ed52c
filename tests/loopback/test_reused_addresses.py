"""Targets of another service at the addresses of targets that have ended, as processes.

An address may go to another service 2 s after its target has ended.  The entry of that
target lasts longer: on the bench up to 4.3 s, and in an outage until the store is back.
"""

import unittest

import eventlet

from persimmonspoke.internal.routing.config import TargetState
from tests.fakes.socket_fleet import SocketFleet, now

STOCK, PAY = "stock", "pay"
REUSE_DELAY_S = 2.0
ENTRY_LASTS_S = 4.0  # after the end of its target
SETTLE_S = 1.0
DRAINED_S = 5.0  # more than the longest hold while the store answers
OUTAGE_S = 5.0  # after the address was reused; a write is given up after 1.5 s
ENTRY_LATE_S = 0.2
REPLACED_S = 1.0  # docs/decisions/successors.md has 0.53 s; a hold lasts 1.9 s or more


class TestReusedAddresses(unittest.TestCase):
    def setUp(self):
        self.fleet = SocketFleet(services=(STOCK, PAY))
        self.addCleanup(self.fleet.stop)
        self.targets = [self.fleet.start_process(f"t{n}", STOCK) for n in range(3)]
        for process in self.targets:
            self.fleet.publish(process)
        for number in range(3):
            self.fleet.publish(self.fleet.start_process(f"p{number}", PAY))
        self.fleet.wait_until_held()
        eventlet.sleep(SETTLE_S)

    def reuse_address(self):
        """End a target; later start one of the other service at its address."""
        self.targets[0].kill()
        eventlet.sleep(REUSE_DELAY_S)
        self.fleet.start_process("p3", PAY, port=self.targets[0].port)

    # Guards against OWNER: the leader took the next process at the address for the
    # target that had ended, and granted it keys that another target of its service had.
    def test_a_target_of_another_service_gets_no_keys_of_the_one_before(self):
        self.reuse_address()
        eventlet.sleep(ENTRY_LASTS_S - REUSE_DELAY_S)
        del self.fleet.records["t0"]
        eventlet.sleep(SETTLE_S)
        self.assertEqual(self.fleet.long_double_holds()[:3], [])

    # Guards against OWNER: the same for as long as the store is down.
    def test_a_target_of_another_service_gets_no_keys_in_an_outage(self):
        self.fleet.platform.faults.down = True
        self.reuse_address()
        eventlet.sleep(OUTAGE_S)
        self.assertEqual(self.fleet.long_double_holds()[:3], [])

    # Guards against keys without an owner: the leader waited for the holds of a target
    # that had ended, because the next one at its address refused the release.
    def test_keys_of_a_target_that_is_replaced_at_once_do_not_wait_for_its_holds(self):
        self.targets[0].kill()
        found = self.fleet.start_process("t3", STOCK, port=self.targets[0].port)
        listens_at = now()
        eventlet.sleep(ENTRY_LATE_S)
        self.fleet.publish(found)
        self.fleet.wait_until_held()
        self.assertLess(now() - listens_at, REPLACED_S)


class TestDrainingTargets(unittest.TestCase):
    """A target works on over open connections while another listens at its address."""

    # Guards against OWNER: the refusal of a release by the next process at an address
    # counted as the end of the one before, which still answered on its connections.
    def test_keep_their_keys_until_their_holds_end(self):
        fleet = SocketFleet()
        self.addCleanup(fleet.stop)
        targets = [fleet.start_process(f"t{n}") for n in range(3)]
        for process in targets:
            fleet.publish(process)
        fleet.wait_until_held()
        eventlet.sleep(SETTLE_S)
        targets[0].tell("close")
        fleet.publish(fleet.start_process("t3", port=targets[0].port))
        fleet.publish(targets[0], state=TargetState.LEAVING)
        eventlet.sleep(DRAINED_S)
        self.assertEqual(fleet.long_double_holds()[:3], [])


if __name__ == "__main__":
    unittest.main()
