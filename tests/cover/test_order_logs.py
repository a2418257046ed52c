"""The logs tell over which connection and on what evidence keys were granted."""

import logging
import unittest

from persimmonspoke.errors import TargetFenced
from persimmonspoke.internal.ranges.planner import whole_move
from tests.fakes.range_fleet import SERVICE, RangeFleet

SETTLE_S = 3.0


class _Lines(logging.Handler):
    """Keeps all records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def of(self, message, **fields):
        """Return the fields of the lines with a message and some values."""
        found = [vars(r) for r in self.records if r.getMessage() == message]
        return [f for f in found if fields.items() <= f.items()]


class OrderLogCase(unittest.TestCase):
    def setUp(self):
        self.lines = _Lines()
        logger = logging.getLogger("persimmonspoke")
        level = logger.level
        logger.setLevel(logging.INFO)
        logger.addHandler(self.lines)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, self.lines)
        self.fleet = RangeFleet(hosts=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.run_for(SETTLE_S)
        self.leader = self.fleet.leader()
        self.entry = self.leader.keeper.ledger.map(SERVICE).owned_by("t0")[0]

    def granted(self):
        """Return the last line about a grant to `t0`."""
        return self.lines.of("ranges: granted", target="t0")[-1]


class TestGrants(OrderLogCase):
    # Guards against a restart that the log can't tell from a renewal.
    def test_after_a_lost_connection_name_another_one_and_a_new_fence(self):
        before = self.granted()
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(1)
        ended = self.lines.of("ranges: connection has ended", target="t0")
        after = self.granted()
        self.assertEqual([line["conn"] for line in ended], [before["conn"]])
        self.assertGreater(after["conn"], before["conn"])
        self.assertGreater(after["fence"], before["fence"])
        self.assertFalse(after["renewal"])
        self.assertEqual(after["born_ms"], self.fleet.records["t0"].born_ms)

    # Guards against a grant by a replaced leader of which nobody knows who let it pass.
    def test_say_whether_the_store_or_other_hosts_have_confirmed_the_leader(self):
        self.assertEqual(self.granted()["confirmed_by"], "store")
        self.fleet.platform.faults.silent = True
        self.fleet.run_for(2)
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(1.5)
        line = self.granted()
        self.assertEqual(line["confirmed_by"], "hosts")
        self.assertEqual(line["confirmed_by_hosts"], [2, 2])
        self.assertLess(line["confirmed_age_s"], 0.5)

    # Guards against a confirmation that passes over the one host that knew better.
    def test_a_survey_names_the_hosts_that_were_not_heard(self):
        other = next(host for host in self.fleet.hosts if host is not self.leader)
        other.process.pause()
        self.fleet.platform.faults.silent = True
        self.fleet.run_for(2)
        self.fleet.targets["t0"].restart()
        self.fleet.run_for(1.5)
        survey = self.lines.of("leader: other hosts asked")[-1]
        self.assertEqual(survey["unheard"], [other.process.name])
        self.assertEqual((survey["heard"], survey["asked"]), (1, 2))

    # Guards against a refusal whose cause, an order before it, is not in the log.
    def test_that_are_refused_have_the_renewals_before_them_written(self):
        self.fleet.run_for(6)
        target = self.fleet.targets["t0"]
        target.fences = dict.fromkeys(target.fences, self.entry.fence + 1)
        self.fleet.run_for(1)
        refused = self.lines.of("ranges: grant refused", target="t0")[0]
        latest = self.lines.of("ranges: latest orders", target="t0")[0]
        self.assertEqual(refused["outcome"], "refused")
        renewals = latest["orders"][1]
        self.assertEqual(renewals["outcome"], "taken")
        self.assertEqual(renewals["conn"], refused["conn"])
        self.assertGreaterEqual(renewals["count"], 10)


class TestReleases(OrderLogCase):
    # Guards against a release that another process has answered than the one that
    # was granted the keys: its connection is not theirs, which may still be open.
    def test_name_their_connection_and_those_of_the_grants(self):
        conn = self.granted()["conn"]
        self.leader.keeper.start_move(SERVICE, whole_move(self.entry, "t1"))
        self.fleet.run_for(0.5)
        line = self.lines.of("ranges: release ended", target="t0")[-1]
        self.assertEqual(line["outcome"], "taken")
        self.assertGreater(line["conn"], conn)
        self.assertFalse(line["conn_has_carried_grants"])
        self.assertEqual(line["conns_for_grants"], [[conn, "open"]])
        self.assertEqual([row["conn"] for row in line["orders"]], [conn])
        self.assertGreater(line["orders"][0]["may_hold_for_s"], 1.5)

    # Guards against keys that were taken back by time alone, for a reason that is lost.
    def test_without_an_answer_say_what_was_waited_for(self):
        self.fleet.targets["t0"].silent = True
        self.fleet.run_for(8)
        line = self.lines.of("ranges: keys taken back without an answer")[-1]
        self.assertEqual((line["target"], line["answered"]), ("t0", []))
        self.assertGreater(line["waited_for"]["own_grants_left_s"], 0)


class TestSuccessions(OrderLogCase):
    # Guards against a former leader whose last orders nobody knows.
    def test_the_former_leader_writes_its_newest_grants(self):
        self.leader.process.pause()
        self.fleet.run_for(8)
        took_over = self.lines.of("leader: took over")[-1]
        address = f"{self.leader.process.machine}:7000"
        former = [[row[0], row[2]] for row in took_over["former"]]
        self.assertEqual(former, [[self.leader.process.name, address]])
        self.leader.process.resume()
        self.fleet.run_for(2)
        ended = self.lines.of("ranges: orders have ended")[-1]
        targets = {row["target"] for row in ended["newest_grants"]}
        self.assertEqual(targets, set(self.fleet.targets))


class TestNumberOfLines(OrderLogCase):
    # Guards against a line for each renewal, of which there are thousands a minute.
    def test_calm_targets_cause_none(self):
        self.lines.records.clear()
        self.fleet.run_for(60)
        self.assertEqual([r.getMessage() for r in self.lines.records], [])

    # Guards against the latest orders of a failing target filling the log.
    def test_failing_orders_have_those_before_them_written_every_five_seconds(self):
        def refuse(order, arrived, uncounted=False):
            raise TargetFenced("always")

        self.fleet.targets["t0"].grant = refuse
        self.fleet.run_for(60)
        latest = self.lines.of("ranges: latest orders", target="t0")
        self.assertGreater(len(latest), 1)
        self.assertLessEqual(len(latest), 13)
        self.assertLessEqual(max(len(line["orders"]) for line in latest), 16)


if __name__ == "__main__":
    unittest.main()
