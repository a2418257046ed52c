"""Tests of hosts of several builds that run side by side.

The files in ``tests/recorded`` hold what the code of earlier landings has written:
``python -m tools.builds`` has made them, and proves the same against that code itself.
"""

import json
import pathlib
import unittest
from dataclasses import asdict, dataclass, field

import msgpack
from tools.builds import records

from persimmonspoke.errors import MalformedMessage, PeerRefused
from persimmonspoke.internal.fleet.messages import (
    RouteRow,
    entry_fields,
    entry_from,
    row_fields,
)
from persimmonspoke.internal.peers import codec
from persimmonspoke.internal.peers.codec import flat_message, message
from persimmonspoke.internal.peers.revisions import (
    LAST_STRICT,
    NEWEST,
    UNREADABLE,
    PeerRevisions,
    Revision,
    since,
)
from persimmonspoke.internal.quarantine.messages import SuspectRow
from persimmonspoke.internal.quarantine.messages import row_fields as suspect_fields
from persimmonspoke.internal.routing.config import TargetState
from persimmonspoke.internal.store.writes import WRITE_ID
from tests.fakes import range_fleet
from tests.fakes.range_fleet import SERVICE, RangeFleet

RECORDED_IN = pathlib.Path(__file__).resolve().parent.parent / "recorded"
BUILDS = {
    "5084d5b": Revision.ERAS,
    "f4fd16b": Revision.QUARANTINE,
    "3e477da": Revision.PATHS,
    "a03c2fb": Revision.TOLERANT,
    "5fd2213": Revision.PROOFS,
    "566f3b9": Revision.PROOFS,
    "293ccd2": Revision.HEAVY_LOAD,
    "e8e1d6b": Revision.DEFERRED,
}
SETTLE_S = 3.0


@flat_message
@dataclass(frozen=True, slots=True)
class FlatSample:
    first: int
    second: int = field(default=2, metadata=since(Revision.PATHS))


@message
@dataclass(frozen=True, slots=True)
class CheckedSample:
    first: int
    second: int = field(default=2, metadata=since(Revision.PATHS))


def recorded(commit):
    """Return what the code of an earlier landing has written."""
    return json.loads((RECORDED_IN / f"{commit}.json").read_text())


def recorded_messages():
    """Return commit, name and record of each message of each build."""
    return [
        (commit, name, entry)
        for commit in BUILDS
        for name, entry in recorded(commit)["messages"].items()
    ]


def recorded_documents():
    """Return commit, key and record of each document of each build."""
    return [
        (commit, key, entry)
        for commit in BUILDS
        for key, entry in recorded(commit)["documents"].items()
    ]


class TestWhatEarlierBuildsWrite(unittest.TestCase):
    # Guards against hosts that do not follow a leader of another build.
    def test_messages_have_their_values_and_nothing_in_later_fields(self):
        for commit, name, entry in recorded_messages():
            with self.subTest(commit=commit, message=name):
                msg = codec.decode(bytes.fromhex(entry["bytes"]))
                found = records.plain(asdict(msg))
                self.assertEqual(type(msg).__name__, name)
                self.assertEqual(found, {**found, **entry["values"]})
                later = found.keys() - entry["values"].keys()
                self.assertFalse(any(found[field_name] for field_name in later))

    # Guards against an answer with fields that the host that has reported refuses.
    def test_reports_show_which_answers_their_build_reads(self):
        for commit in BUILDS:
            messages = recorded(commit)["messages"]
            report = bytes.fromhex(messages["HostReport"]["bytes"])
            _, revision = codec.decode_with_revision(report)
            answer = codec.encode(
                records.example("LeaderReply"), min(revision, LAST_STRICT)
            )
            self.assertEqual(answer.hex(), messages["LeaderReply"]["bytes"])

    # Guards against a new leader that begins with no owners, or with wrong ones.
    def test_documents_are_read_as_their_build_reads_them(self):
        for commit, key, entry in recorded_documents():
            with self.subTest(commit=commit, document=key):
                found = records.read_document(key, entry["value"])
                self.assertEqual(found, entry["read"])


class TestWhatEarlierBuildsRead(unittest.TestCase):
    """They refuse a field too many, so the present code writes what they wrote."""

    # Guards against a leader of an earlier build that refuses all reports.
    def test_messages_in_their_layout_are_those_that_they_wrote(self):
        for commit, name, entry in recorded_messages():
            with self.subTest(commit=commit, message=name):
                data = codec.encode(records.example(name), BUILDS[commit])
                self.assertEqual(data.hex(), entry["bytes"])

    # Guards against a field that was put in without the revision that has added it.
    def test_only_the_fields_of_later_revisions_are_refused(self):
        for commit, name, entry in recorded_messages():
            with self.subTest(commit=commit, message=name):
                _, old = msgpack.unpackb(bytes.fromhex(entry["bytes"]))
                _, new = msgpack.unpackb(codec.encode(records.example(name)))
                self.assertEqual(new[: len(old)], old)
                older = codec.earlier_revision(records.message_type(name), NEWEST)
                self.assertTrue(len(new) == len(old) or older is not None)

    # Guards against rows within messages, which no build reads with a field more.
    def test_rows_have_as_many_fields_as_ever(self):
        for commit in BUILDS:
            messages = recorded(commit)["messages"]
            values = {name: entry["values"] for name, entry in messages.items()}
            sender = values["HostReport"]["sender"]
            self.assertEqual(entry_fields(entry_from(sender)), sender)
            for row in values["TableChange"]["rows"]:
                self.assertEqual(row_fields(RouteRow(*row)), row)
            for row in values.get("SuspectsChanged", {}).get("rows", ()):
                self.assertEqual(suspect_fields(SuspectRow(*row)), row)

    # Guards against a leader of an earlier build that can't read who owns the keys.
    def test_documents_have_the_fields_that_they_wrote(self):
        written = records.written_documents()
        for commit, key, entry in recorded_documents():
            with self.subTest(commit=commit, document=key):
                value = {**entry["value"], WRITE_ID: written[key][WRITE_ID]}
                self.assertEqual({name: written[key][name] for name in value}, value)


class TestLaterBuilds(unittest.TestCase):
    """What a later build may add is read by the present one."""

    # Guards against the next upgrade, whose messages have more fields.
    def test_fields_that_are_not_known_here_are_ignored(self):
        for sample in (FlatSample(1, 3), CheckedSample(1, 3)):
            name = type(sample).__name__
            data = msgpack.packb([name, [1, 3, "later", {"x": []}]])
            self.assertEqual(codec.decode_with_revision(data), (sample, NEWEST))

    def test_a_message_without_a_field_that_it_always_had_is_malformed(self):
        for name in ("FlatSample", "CheckedSample"):
            with self.assertRaises(MalformedMessage):
                codec.decode(msgpack.packb([name, []]))


class TestPeerRevisions(unittest.TestCase):
    """A peer that refuses all layouts but one."""

    def setUp(self):
        self.revisions = PeerRevisions(codec.encode, codec.earlier_revision)
        self.sent = []

    def call(self, reads, msg=CheckedSample(1, 3), reason=UNREADABLE):  # noqa: B008
        """Call a peer that reads the layout of `reads` only."""

        def send(data):
            self.sent.append(data)
            if data != codec.encode(msg, reads):
                raise PeerRefused(f"MalformedMessage: {reason}")
            return data

        return self.revisions.call("h1.1", msg, send)

    def test_a_layout_that_a_peer_reads_is_found_and_kept(self):
        for _ in range(2):
            data = self.call(Revision.ERAS)
            self.assertEqual(codec.decode(data), CheckedSample(1))
        self.assertEqual(len(self.sent), 3)
        self.assertEqual(self.revisions.encode_for("h1.1", CheckedSample(1, 3)), data)

    def test_another_run_is_taken_for_the_newest_build(self):
        self.call(Revision.ERAS)
        msg = CheckedSample(1, 3)
        self.assertEqual(self.revisions.encode_for("h1.2", msg), codec.encode(msg))

    def test_a_refusal_for_another_reason_is_final(self):
        with self.assertRaises(PeerRefused):
            self.call(Revision.ERAS, reason="this host does not lead")
        self.assertEqual(len(self.sent), 1)

    # Guards against calls without end to a peer that does not know the message.
    def test_a_message_that_a_peer_does_not_know_is_sent_once_in_each_layout(self):
        def refuse(data):
            self.sent.append(data)
            raise PeerRefused(f"MalformedMessage: {UNREADABLE}: 'CheckedSample'")

        with self.assertRaises(PeerRefused):
            self.revisions.call("h1.1", CheckedSample(1, 3), refuse)
        self.assertEqual(len(self.sent), 2)
        msg = CheckedSample(1, 3)
        self.assertEqual(self.revisions.encode_for("h1.1", msg), codec.encode(msg))


class TestRollingUpgrades(unittest.TestCase):
    """Hosts of an earlier build are replaced one after the other, in virtual time."""

    def play(self, revision, leader_first):
        """Replace all hosts, and check the fleet after each."""
        fleet = RangeFleet(hosts=4, revision=revision)
        self.addCleanup(fleet.stop)
        fleet.run_for(SETTLE_S)
        fleet.revision = NEWEST
        replaced = set()
        names = iter(fleet.targets)
        while len(replaced) < len(fleet.hosts):
            rest = [h for h in fleet.hosts if h not in replaced]
            rest.sort(key=lambda host: host.leadership.leading, reverse=leader_first)
            rest[0].kill()
            replaced.add(fleet.restart(rest[0]))
            fleet.run_for(2 * SETTLE_S)
            self.assert_agreed(fleet)
            # Owners change while builds are mixed.
            name = next(names)
            if len(replaced) < len(fleet.hosts) - 1:
                fleet.records[name] = range_fleet.record(name, TargetState.LEAVING)
                fleet.run_for(SETTLE_S)
                self.assert_agreed(fleet)
        self.assertEqual(fleet.double_holds, [])
        self.assertEqual(fleet.fence_violations(), [])
        self.assertEqual(fleet.network.crashes, [])

    def assert_agreed(self, fleet):
        """Check that all hosts follow one leader and know each other and all owners."""
        leader = fleet.leader()
        self.assertEqual(fleet.unheld_keys(), [])
        everyone = {host.hosts.me() for host in fleet.hosts}
        rows = leader.routes.table.services[SERVICE]
        for host in fleet.hosts:
            self.assertEqual(host.leadership.leader, leader.hosts.me())
            self.assertEqual(set(host.hosts.live()), everyone)
            self.assertEqual(
                [row.owner for row in host.routes.table.services[SERVICE]],
                [row.owner for row in rows],
            )

    # Guards against OWNER and STALE: new hosts lose an old leader, or old ones a new.
    def test_all_hosts_agree_when_the_leader_is_replaced_last(self):
        for revision in BUILDS.values():
            with self.subTest(revision=revision):
                self.play(revision, leader_first=False)

    def test_all_hosts_agree_when_the_leader_is_replaced_first(self):
        for revision in BUILDS.values():
            with self.subTest(revision=revision):
                self.play(revision, leader_first=True)

    # Guards against BUDGET: hosts of two builds count the ends of targets apart.
    def test_crashes_that_hosts_of_both_builds_have_seen_are_counted_together(self):
        fleet = RangeFleet(hosts=4, revision=Revision.QUARANTINE)
        self.addCleanup(fleet.stop)
        fleet.run_for(SETTLE_S)
        fleet.revision = NEWEST
        for host in fleet.hosts[1:3]:
            host.kill()
            fleet.restart(host)
        fleet.run_for(SETTLE_S)
        for number, host in enumerate(fleet.hosts[:3]):
            host.suspects.record_crash("bad", f"t{number}/1", "r")
        fleet.run_for(1.0)
        for host in fleet.hosts:
            self.assertFalse(host.suspects.allows("bad"))


if __name__ == "__main__":
    unittest.main()
