"""The judge of the soak: each rule, each of its exceptions, and unusual histories.

Without these tests a judge that finds nothing could pass for a router without faults.
"""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tools.soak import judge
from tools.soak.history import History, UnreadableHistory, read


def row(kind, at, **fields):
    return {"kind": kind, "at": at, **fields}


def process(name, role="target", begin=0.0, end=100.0, service="s", how="killed"):
    who = {"process": name, "id": name, "role": role, "service": service}
    start = row("process_start", begin, **who)
    return [start, row("process_end", end, process=name, how=how)]


def grant(name, at, fence, hold_s=4.0, keys=(0, 10), arrived=None, **more):
    fields = {"process": name, "fence": fence, "hold_s": hold_s, "outcome": "taken"}
    fields |= {"range_from": keys[0], "range_to": keys[1], "late": False}
    fields["arrived_at"] = at if arrived is None else arrived
    return row("grant", at, **(fields | more))


def release(name, at, fence, keys=(0, 10)):
    fields = {"process": name, "fence": fence, "outcome": "answered"}
    return row("release", at, range_from=keys[0], range_to=keys[1], **fields)


def work(name, request, at, end=None, key=3, protected=False, fence=None):
    fields = {"process": name, "request": request, "key": key, "protected": protected}
    fields |= {"started_at": at, "ended_at": end, "fence": fence}
    return row("work", at if end is None else end, **fields)


def sent(request, at, host="h1", key=-1, protected=False):
    fields = {"request": request, "key": key, "protected": protected, "service": "s"}
    return row("sent", at, host=host, **fields)


def answered(request, at, status=200, complete=True, body="a"):
    fields = {"status": status, "complete": complete, "body_process": body}
    return row("answered", at, request=request, **fields)


def lost(request, at, error="reset"):
    return row("lost", at, request=request, error=error)


def on(kind, at, name):
    return row(kind, at, process=name)


def cut(at, heal_at, end="b", host="h1"):
    link = {"what": "silent", "ends": [[host], ["a", end]]}
    return [row("cut", at, **link), row("heal", heal_at, **link)]


TARGETS = process("a") + process("b") + process("other", service="t")
HOSTS = process("h1", "host") + process("h2", "host") + process("db", "store")
A, B_SOONER, B_LATER = grant("a", 10, 5), grant("b", 13, 6), grant("b", 14, 6)


def verdicts(rows, torn=None):
    """Return (verdict, rule) of each finding."""
    found = judge.judge(History.of(TARGETS + HOSTS + rows, torn))
    return sorted({(finding.verdict.value, finding.rule) for finding in found})


class Table:
    """Cases of one rule: what comes of it ("" is nothing), a sentence, and the rows."""

    RULE = ""
    CASES = ()

    def test_each_history_gives_its_findings(self):
        for verdict, sentence, *rows in self.CASES:
            with self.subTest(sentence):
                expected = [(verdict, self.RULE)] if verdict else []
                self.assertEqual(verdicts(rows), expected)


NAMES, FIRST, LENGTH = st.sampled_from("ab"), st.integers(0, 5), st.integers(1, 6)
ORDERS = st.tuples(NAMES, FIRST, LENGTH, st.integers(0, 3))


class TestDoubleHolds(Table, unittest.TestCase):
    RULE = "OWNER double hold"
    THAW = on("resume", 12.8, "h1")
    VIA = row("conn", 1.0, via=7, host="h1", end="b")
    AGAIN, LATE = {"outcome": "duplicate"}, {"late": True, "arrived": 10.5}
    B_SHORT = grant("b", 13.6, 6, 0.7)
    CASES = (
        ("", "the next one is granted after the time", A, B_LATER),
        ("broken", "the next one is granted before the time", A, B_SOONER),
        ("", "half a second", A, grant("b", 13.5, 6)),
        ("broken", "more than that", A, grant("b", 13.49, 6)),
        ("", "a release ends a hold", A, release("a", 12.9, 6), B_SOONER),
        ("broken", "one of other keys", A, release("a", 12, 6, (0, 9)), B_SOONER),
        ("broken", "one by another process", A, release("b", 12, 6), B_SOONER),
        ("", "adjacent ranges", A, grant("b", 12, 6, keys=(10, 20))),
        ("broken", "ranges that share one key", A, grant("b", 12, 6, keys=(9, 20))),
        ("", "another service", A, grant("other", 12, 6)),
        ("", "a refused grant", A, B_SOONER | {"outcome": "refused"}),
        ("broken", "a renewal", A, grant("a", 13, 5) | AGAIN, grant("b", 14.2, 6)),
        ("broken", "two grants are one hold", A, grant("a", 13.8, 7, 0.6), B_SHORT),
        ("", "a new grant for less time", A, grant("a", 11, 6, 1), grant("b", 13, 7)),
        ("broken", "a paused target is up", A, on("pause", 12, "a"), B_SOONER),
        ("excused", "read after the pause of its target", A, B_SOONER)
        + (on("pause", 11, "b"), on("resume", 12.8, "b")),
        ("excused", "sent after a thaw", A, THAW, VIA, B_SOONER | {"via": 7})
        + (VIA | {"at": 13.1, "host": "h2"},),
        ("broken", "sent by another host", A, THAW, VIA | {"host": "h2"})
        + (B_SOONER | {"via": 7},),
        ("excused", "sent by who knows which host", A, THAW, B_SOONER),
        ("broken", "later after a thaw", A, THAW | {"at": 12.69}, B_SOONER),
        ("broken", "after a pause of the store", A, THAW | {"process": "db"}, B_SOONER),
        ("excused", "after a link has healed", A, *cut(11, 12.8), B_SOONER),
        ("broken", "later after that", A, *cut(11, 12.69), B_SOONER),
        ("broken", "after another one", A, *cut(11, 12.8, "b2", "h2"), VIA)
        + (B_SOONER | {"via": 7},),
        ("broken", "after the store has erred", A, *cut(11, 12.8, "a", "db"), B_SOONER),
        ("excused", "just before its line", A, *cut(11, 13.04), B_SOONER),
        ("broken", "while a link is cut", A, *cut(11, 13.06), B_SOONER),
        ("excused", "held up on its way", A, B_SOONER | {"held_up": True}),
        ("excused", "taken late", A, grant("b", 13, 6, **LATE)),
        ("broken", "a renewal taken late", A, grant("a", 11, 5, 9, **LATE), B_SOONER),
        ("broken", "the renewal of a grant that is excused", A, THAW)
        + (B_SOONER, grant("b", 13.2, 6)),
    )

    def test_a_grant_does_not_count_that_the_proxy_may_have_held_up(self):
        for at, verdict in ((13.2, "excused"), (12.7, "excused"), (12.69, "broken")):
            rows = [A, row("stall", at, for_s=0.2), B_SOONER]
            self.assertEqual(verdicts(rows), [(verdict, self.RULE)])

    def test_a_hold_ends_with_its_process(self):
        for end, expected in ((13.5, []), (13.6, [("broken", self.RULE)])):
            rows = [*process("c", end=end), grant("c", 10, 5), B_SOONER]
            self.assertEqual(verdicts(rows), expected)

    def test_a_process_without_an_end_counts_until_its_last_sign(self):
        rows = [process("c")[0], grant("c", 10, 5), B_SOONER]
        self.assertEqual(verdicts(rows), [("error", "history")])
        rows.append(on("draining", 13.6, "c"))
        self.assertEqual(verdicts(rows), [("broken", self.RULE), ("error", "history")])

    @seed(58)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.lists(ORDERS, max_size=12))
    def test_double_holds_are_those_that_a_look_at_each_moment_finds(self, drawn):
        rows, expected = [], set()
        until = {(name, key): 0 for name in "ab" for key in range(12)}
        for now, (name, first, length, hold_s) in enumerate(drawn):
            keys = (first, first + length)
            order = release(name, now, now + 1, keys)
            rows.append(grant(name, now, now + 1, hold_s, keys) if hold_s else order)
            until |= {(name, key): now + hold_s for key in range(*keys)}
            expected |= {
                k for k in range(12) if min(until["a", k], until["b", k]) > now
            }
        found = list(judge.double_holds(judge.Trial(History.of(TARGETS + rows))))
        keys = [range(finding.keys[0], finding.keys[1] + 1) for finding in found]
        self.assertEqual(set().union(*keys), expected)


class TestWorkAtBoth(Table, unittest.TestCase):
    RULE = "OWNER work at both"
    B = grant("b", 13.8, 6)
    WORK_A, WORK_B = work("a", "r1", 13.85, 13.9), work("b", "r2", 13.95, 14.2, key=4)
    CASES = (
        ("", "a short double hold without work", A, B),
        ("", "work at one", A, B, WORK_A),
        ("broken", "work at both", A, B, WORK_A, WORK_B),
        ("", "work at one, and later at the other", A, B, WORK_A, work("b", "r2", 14)),
        ("", "work on other keys", A, B, WORK_A, WORK_B | {"key": 12}),
        ("broken", "a grant that is taken late counts", A, WORK_A, WORK_B)
        + (grant("b", 13.8, 6, arrived=13, late=True),),
        ("excused", "after a thaw", A, B, on("resume", 13.6, "h2"), WORK_A, WORK_B),
    )


class TestFences(Table, unittest.TestCase):
    RULE = "OWNER fence"
    LATE = {"late": True}
    CASES = (
        ("", "a higher fence", A, B_LATER),
        ("broken", "the same fence", A, grant("b", 14, 5)),
        ("broken", "a lower fence, long after", A, grant("b", 90, 4)),
        ("", "a lower fence for other keys", A, grant("b", 14, 4, keys=(10, 12))),
        ("broken", "for one common key", A, grant("b", 14, 4, keys=(9, 12))),
        ("", "a lower fence in another service", A, grant("other", 14, 4)),
        ("", "a renewal", A, grant("b", 13.6, 6), grant("a", 13.7, 5, 0.4)),
        ("broken", "after its time it is a new grant", A, B_LATER)
        + (release("b", 15, 7), grant("a", 15.1, 5)),
        ("", "one after a release", A, release("a", 11, 6), grant("a", 15, 5))
        + (grant("b", 20, 6),),
        ("excused", "after a link has healed", A, *cut(12, 13.9), grant("b", 14, 4)),
        ("broken", "later after that", A, *cut(12, 13.69), grant("b", 14, 4)),
        ("broken", "and renewed then", A, *cut(12, 13.9), grant("b", 14, 4))
        + (grant("b", 14.5, 4),),
        ("broken", "held up", A, grant("b", 14, 4, held_up=True)),
        ("", "taken late, having arrived before the other one", grant("b", 9, 6, 0.5))
        + (grant("a", 10, 5, 9.0, arrived=5, **LATE),),
        ("broken", "taken late, having arrived after the other one", B_LATER)
        + (grant("a", 19, 5, arrived=18.5, **LATE),),
        ("", "taken after its time", B_LATER, grant("a", 20, 5, arrived=15, **LATE)),
    )

    def test_two_lives_at_one_address_are_two_targets(self):
        lives = process("a1", end=12.0) + process("a2", begin=12.0)
        rows = [*lives, grant("a1", 10, 5), grant("a2", 12.5, 5)]
        self.assertEqual(verdicts(rows), [("broken", self.RULE)])


class TestGrantsDuringWork(Table, unittest.TestCase):
    RULE = "OWNER grant during work"
    R = release("a", 12, 6)
    B, WORK = grant("b", 13.6, 6), work("a", "r1", 11, 13.5)
    CASES = (
        ("", "the work has ended", A, R, work("a", "r1", 11, 12.5), B_SOONER),
        ("broken", "the work goes on", A, R, WORK, B_SOONER),
        ("broken", "the work does not end", A, R, work("a", "r1", 11), B_SOONER),
        ("", "the time is over", A, R, work("a", "r1", 11, 14.5), B_LATER),
        ("", "work on another key", A, R, WORK | {"key": 12}, B_SOONER),
        ("", "a renewal", A, B, work("a", "r1", 13.65, 13.9), B | {"at": 13.7}),
        ("excused", "held up", A, R, WORK, B_SOONER | {"held_up": True}),
        ("excused", "after a thaw", A, R, WORK, on("resume", 12.9, "h1"), B_SOONER),
    )

    def test_work_ends_with_its_process(self):
        rows = [*process("c", end=12.5), grant("c", 10, 5), release("c", 12, 6)]
        self.assertEqual(verdicts([*rows, work("c", "r1", 11), B_SOONER]), [])


RUN = work("a", "r1", 11, 11.1, -1, True)
AGAIN = work("b", "r1", 12, 12.1, -1, True)


class TestRunsOfProtectedRequests(Table, unittest.TestCase):
    RULE = "TWICE"
    CASES = (
        ("", "begin and end of one", work("a", "r1", 11, None, -1, True), RUN),
        ("broken", "two", RUN, AGAIN),
        ("broken", "two at one process", RUN, AGAIN | {"process": "a"}),
        ("", "two that may be repeated", work("a", "r1", 11), work("b", "r1", 12)),
    )


class TestRefusals(Table, unittest.TestCase):
    RULE = "REFUSED"
    CASES = (
        *(
            ("broken", f"{status} after a run", RUN, sent("r1", 10), answer)
            for status in (408, 421, 429, 503)
            for answer in [answered("r1", 12, status)]
        ),
        ("broken", "a run after 503", sent("r1", 9), answered("r1", 10, 503), RUN),
        ("", "502 promises nothing", RUN, sent("r1", 10), answered("r1", 12, 502)),
        ("", "503 without a run", sent("r1", 10), answered("r1", 12, 503)),
    )


class TestWholeAnswers(Table, unittest.TestCase):
    RULE = "MIXED"
    ASKED = sent("r1", 10), work("a", "r1", 11, 11.5)
    CASES = (
        ("", "one's own", *ASKED, answered("r1", 12)),
        ("broken", "that of another target", *ASKED, answered("r1", 12, body="b")),
        ("broken", "that of no target", *ASKED, answered("r1", 12, body=None)),
        ("", "a failure of the host", *ASKED, answered("r1", 12, 502, body=None)),
        ("", "one seen to end early", *ASKED, answered("r1", 12, complete=False)),
        ("broken", "that to another one", *ASKED)
        + (answered("r1", 12) | {"body_request": "r2"},),
        ("broken", "two", *ASKED, answered("r1", 12), answered("r1", 13)),
        ("broken", "one without a request", ASKED[1], answered("r1", 12)),
    )

    def test_the_line_of_the_work_may_be_torn(self):
        rows = [sent("r1", 10), answered("r1", 12)]
        self.assertEqual(verdicts(rows), [("broken", self.RULE)])
        torn = {"target-a": '{"kind": "work", "request": "r1", "ke'}
        self.assertEqual(verdicts(rows, torn), [])


def losses(count, begin=20.0, passed_on=True, end=lost, **more):
    """Return requests that are lost 0.5 s after they were sent."""
    names, rows = [f"r{number}" for number in range(count)], []
    for name in names:
        rows += [sent(name, begin, **more), end(name, begin + 0.5)]
        rows += [work("a", name, begin + 0.1, begin + 0.4, -1)] * passed_on
    return rows


class TestLostAnswers(Table, unittest.TestCase):
    RULE = "LOST"
    FOUR, ONE = losses(4), losses(1)
    STOP = on("term", 19.0, "h1")
    CASES = (
        ("", "three at calm times", *losses(3)),
        ("broken", "four", *FOUR),
        ("broken", "four that end early")
        + (*losses(4, end=lambda *args: answered(*args, complete=False)),),
        ("", "four that were not passed on", *losses(4, passed_on=False)),
        ("", "four whose host is not known", *losses(4, host=None)),
        ("", "four callers that give up")
        + (*losses(4, end=lambda *args: lost(*args, "Timeout")),),
        ("", "a pause of the host", *FOUR, on("pause", 20.2, "h1")),
        ("", "a pause of the target", *FOUR, on("pause", 20.2, "a")),
        ("broken", "a pause of another host", *FOUR, on("pause", 20.2, "h2")),
        ("", "a pause shortly before", *FOUR, on("pause", 16, "h1"))
        + (on("resume", 17.6, "h1"),),
        ("broken", "a pause long before", *FOUR, on("pause", 16, "h1"))
        + (on("resume", 17.4, "h1"),),
        ("", "a cut", *FOUR, *cut(18, 19)),
        ("broken", "a cut of another host", *losses(4, host="h2"), *cut(18, 19)),
        ("", "a kill of the target", *FOUR, row("process_end", 20.4, process="a")),
        ("broken", "a pause of the store", *FOUR, on("pause", 20.2, "db")),
        ("", "the same, with keys", *losses(4, key=3), on("pause", 20.2, "db")),
        ("broken", "one of a host that stops", STOP, *ONE),
        ("", "beside a pause of another one", STOP, *ONE, on("pause", 20.2, "h2")),
        ("broken", "beside a planned restart of another one", STOP, *ONE)
        + (*process("h3.1", "host", 0, 18), on("term", 17.5, "h3.1"))
        + (*process("h3.2", "host", 18.1),),
        ("", "beside a restart after a kill", STOP, *ONE)
        + (*process("h3.1", "host", 0, 18), *process("h3.2", "host", 18.1)),
        ("broken", "at the end of its time", on("term", 13.6, "h1"), *ONE),
        ("", "after its time", on("term", 13.4, "h1"), *ONE),
        ("broken", "beside a pause of the store", STOP, *ONE, on("pause", 20.2, "db")),
        ("", "sent at the signal, at work in the last sixth", on("term", 18, "h1"))
        + (sent("r", 18), work("a", "r", 18.1, 23.5, -1), lost("r", 23.6)),
        ("broken", "sent later", on("term", 18, "h1"))
        + (sent("r", 21.1), work("a", "r", 21.2, 23.5, -1), lost("r", 23.6)),
    )


class TestLateSends(Table, unittest.TestCase):
    RULE = "DRAIN"
    LEFT = on("leaving", 10.0, "a")
    LATE = sent("r", 12.0), work("a", "r", 12.2, 12.4)
    CASES = (
        ("broken", "a send after the bound", LEFT, *LATE),
        ("", "one within it", LEFT, sent("r", 11.8), work("a", "r", 11.9, 12.4)),
        ("", "a target whose leaving the store has not acknowledged", *LATE),
        ("", "another target", on("leaving", 10.0, "b"), *LATE),
        ("", "a host that is not known", LEFT, sent("r", 12.0, None), LATE[1]),
        ("", "a host that was paused", LEFT, *LATE, on("pause", 8.0, "h1"))
        + (on("resume", 9.3, "h1"),),
        ("broken", "one that was paused long before", LEFT, *LATE)
        + (on("pause", 8.0, "h1"), on("resume", 9.1, "h1")),
        ("broken", "a pause of another host", LEFT, *LATE, on("pause", 11.0, "h2")),
        ("", "a pause of the store before", LEFT, *LATE, on("pause", 6.0, "db"))
        + (on("resume", 7.1, "db"),),
        ("broken", "a pause of the store long before", LEFT, *LATE)
        + (on("pause", 6.0, "db"), on("resume", 6.9, "db")),
        ("", "a pause of the store since", LEFT, *LATE, on("pause", 11.0, "db")),
    )


class TestConsistency(Table, unittest.TestCase):
    RULE = "history"
    CASES = (
        ("", "work under a hold", A, work("a", "r1", 11, 12, fence=5)),
        ("error", "work without a hold", A, work("a", "r1", 14.1, 15, fence=5)),
        ("", "work that needs none", work("a", "r1", 14.1, 15)),
        ("error", "a process that nobody started", *process("x")[1:]),
        ("error", "a sign after the end", on("draining", 101, "a")),
        ("error", "a grant from an unknown port", A | {"via": 7}),
        ("", "a proxy that is a little late", row("stall", 9, for_s=0.3)),
        ("error", "a proxy that stood still", row("stall", 9, for_s=0.31)),
    )


class TestFolders(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.write("runner", TARGETS + HOSTS)

    def write(self, name, rows, rest=""):
        text = "".join(json.dumps(row) + "\n" for row in rows)
        (self.folder / f"{name}.jsonl").write_text(text + rest)

    def run_judge(self, *words):
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(out),
        ):
            code = judge.main([str(self.folder), *words])
        return code, out.getvalue().splitlines()

    def test_the_command_tells_breaks_errors_and_excuses_apart(self):
        self.write("target-a", [A])
        code, lines = self.run_judge()
        self.assertEqual((code, lines[-1]), (0, "0 broken, 0 excused, 0 error"))
        self.write("target-b", [B_SOONER | {"held_up": True}])
        code, lines = self.run_judge()
        self.assertEqual((code, lines[-1]), (0, "0 broken, 1 excused, 0 error"))
        self.assertIn("held up on its way", self.run_judge("--excused")[1][0])
        self.write("target-b", [on("draining", 101, "b")])
        self.assertEqual(self.run_judge()[0], 2)
        self.write("target-b", [B_SOONER])
        code, lines = self.run_judge()
        self.assertEqual(code, 1)
        expected = "13.000 broken OWNER double hold keys 0 to 9: a, b: both for"
        self.assertIn(expected, lines[0])

    def test_the_command_says_how_holds_ended_before_keys_went_on(self):
        rows = [
            grant("a", 1, 1),
            release("a", 2, 2),
            grant("b", 3, 3),
            grant("a", 8, 4),
        ]
        rows += [grant("c", 13, 5), grant("b", 21, 6)]
        self.write("target-a", rows)
        self.write("runner", TARGETS + HOSTS + process("c", end=14))
        expected = "a release: 1, the end of the process: 1, the granted time: 2"
        self.assertEqual(self.run_judge()[1][-2], f"keys went on after {expected}")

    def test_an_incomplete_last_line_is_kept_apart(self):
        self.write("target-a", [A], '{"kind": "work", "at"')
        self.write("target-b", [on("draining", 5, "b")], json.dumps(B_SOONER))
        history = read(self.folder)
        self.assertEqual(sorted(history.torn), ["target-a", "target-b"])
        self.assertEqual(len(history.all("grant")), 1)

    def test_other_unreadable_lines_are_errors(self):
        for line in ("{", "[]", '{"at": 1}', '{"at": 1, "kind": "grant"}'):
            self.write("target-a", [], f"{line}\n")
            with (
                self.subTest(line),
                self.assertRaisesRegex(UnreadableHistory, "a.json"),
            ):
                read(self.folder)

    def test_unknown_kinds_and_fields_are_left_out(self):
        self.write("target-a", [row("over", 1.0), A | {"color": "red"}])
        self.assertEqual(len(read(self.folder).all("grant")), 1)

    def test_a_folder_without_a_run_is_an_error(self):
        (self.folder / "runner.jsonl").unlink()
        code, lines = self.run_judge()
        self.assertEqual(code, 2)
        self.assertIn("has no runner.jsonl", lines[0])
