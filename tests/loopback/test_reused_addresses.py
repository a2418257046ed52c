"""Targets of another service at the addresses of targets that have ended, as processes.

An address may go to another service 2 s after its target has ended.  The entry of that
target lasts longer: it is removed after three reports are missing, and hosts learn of
it once the store answers.
"""

import unittest

import eventlet

from tests.fakes.socket_fleet import SocketFleet

STOCK, PAY = "stock", "pay"
REUSE_DELAY_S = 2.0
SETTLE_S = 1.0
OUTAGE_S = 5.0  # after the address was reused; a write is given up after 1.5 s


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

    # Guards against OWNER: the leader took the next process at the address for the
    # target that had ended, and granted it keys that another target of its service had.
    def test_a_target_of_another_service_gets_no_keys_of_the_one_before(self):
        self.fleet.platform.faults.down = True
        self.targets[0].kill()
        eventlet.sleep(REUSE_DELAY_S)
        self.fleet.start_process("p3", PAY, port=self.targets[0].port)
        eventlet.sleep(OUTAGE_S)
        self.assertEqual(self.fleet.long_double_holds()[:3], [])


if __name__ == "__main__":
    unittest.main()
