"""Hosts that are paused or short of processor time while targets leave."""

import unittest

import eventlet

from tests.fakes.sending_fleet import SendingFleet
from tests.fakes.update_fleet import DRAIN_S

START_S = 6.0


class SendingCase(unittest.TestCase):
    def start(self, hosts=12, **fields):
        fleet = SendingFleet(hosts, **fields)
        self.addCleanup(fleet.stop)
        eventlet.sleep(START_S)
        return fleet

    def assert_no_late_send(self, fleet):
        self.assertEqual(fleet.late_sends(), [])
        self.assertGreater(len(fleet.sent), 0)


class TestPausedHosts(SendingCase):
    # Guards against DRAIN: a host that comes back serves what piled up by the list of
    # targets that it had before.
    def test_a_host_reads_the_news_before_it_sends_what_piled_up(self):
        fleet = self.start()
        host = fleet.others()[0]
        host.process.pause()
        for number in range(20):
            fleet.let_leave(f"t{number}") if number % 2 else None
        eventlet.sleep(DRAIN_S + 1.0)
        since = len(fleet.sent)
        host.process.resume()
        eventlet.sleep(DRAIN_S)
        self.assert_no_late_send(fleet)
        served = [s for s in fleet.sent[since:] if s.host == host.process.name]
        self.assertGreater(len(served), 5)

    # Guards against DRAIN: nothing has arrived at the host that it could apply first.
    def test_a_host_asks_for_what_no_answer_has_told_it(self):
        fleet = self.start()
        host = fleet.others()[0]
        host.process.pause()
        eventlet.sleep(1.0)  # the answers to its questions have been given
        for number in range(1, 20, 2):
            fleet.let_leave(f"t{number}")
        eventlet.sleep(DRAIN_S + 0.2)
        host.process.resume()
        eventlet.sleep(DRAIN_S)
        self.assert_no_late_send(fleet)

    # Guards against slots that targets keep free for requests that may not be sent.
    def test_a_request_takes_no_slot_until_its_host_has_read_the_news(self):
        fleet = self.start()
        host = fleet.others()[0]
        host.process.pause()
        eventlet.sleep(DRAIN_S + 1.0)
        acquire, allowed = host.scheduler.acquire, []

        def recorded(ticket, candidates):
            allowed.append(host.fresh_targets.may_send())
            return acquire(ticket, candidates)

        host.scheduler.acquire = recorded
        host.process.resume()
        eventlet.sleep(DRAIN_S)
        self.assertEqual(set(allowed), {True})


class TestStorms(SendingCase):
    # Guards against DRAIN: large tables take the processor time in which a host would
    # have heard of a target that leaves.
    def test_no_host_sends_late_while_tables_change_all_the_time(self):
        fleet = self.start(small=0.06)
        fleet.table_s = 0.05
        for version in range(2, 100):
            fleet.put("config/main", {"version": version})
            if version % 12 == 0:
                fleet.let_leave(f"t{version // 12}")
                fleet.let_leave(f"t{10 + version // 12}")
            eventlet.sleep(0.08)
        eventlet.sleep(DRAIN_S)
        self.assert_no_late_send(fleet)


class TestLostNews(SendingCase):
    # Guards against DRAIN: a host that no relay answers, and that reaches the store,
    # sends by what it has heard last.
    def test_a_host_that_no_relay_answers_does_not_send_by_an_old_list(self):
        fleet = self.start()
        host = fleet.others()[0]
        relays = [relay.process.machine for relay in fleet.relays()]
        fleet.network.cut([host.process.machine], relays)
        fleet.platform.faults.lose_changes = True  # of the host's own watch as well
        fleet.let_leave("t3")
        fleet.let_leave("t13")
        eventlet.sleep(2 * DRAIN_S)
        self.assert_no_late_send(fleet)


if __name__ == "__main__":
    unittest.main()
