"""Tests of the fingerprints by which the repetitions of a request are recognized."""

import unittest

from persimmonspoke.internal.callers.fingerprint import fingerprint_of
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.callers.services import ServiceEntry
from persimmonspoke.internal.targets.request_api import StreamedBody
from tests.fakes.caller_parts import service

ATTEMPT_FIELDS = frozenset({"attempt-id", "deadline"})


def request(**fields):
    """Return a caller's request."""
    entry = ServiceEntry.of("team", service())
    default = {
        "request_id": "r1",
        "entry": entry,
        "method": "GET",
        "path": "/stock/1",
        "headers": (("Cookie", "session=1"), ("Key", "7")),
        "key": "7",
        "protected": False,
        "deadline": 1.0,
    }
    return CallerRequest(**{**default, **fields})


def fingerprint(body=b"", **fields):
    return fingerprint_of(request(**fields), body, ATTEMPT_FIELDS)


class TestRepetitions(unittest.TestCase):
    def test_they_have_one_fingerprint_whatever_their_id_and_deadline(self):
        again = fingerprint(
            request_id="r2",
            deadline=2.0,
            headers=(
                ("Attempt-Id", "2"),
                ("Key", "7"),
                ("cookie", "session=1"),
                ("traceparent", "00-2"),
            ),
        )
        self.assertEqual(again, fingerprint())

    # Guards against BUDGET after a change of the configuration, and on split routes.
    def test_they_have_it_at_whatever_service_they_are_sent_to(self):
        other = ServiceEntry.of("team", service("other"))
        self.assertEqual(fingerprint(entry=other), fingerprint())

    def test_a_streamed_body_counts_as_far_as_it_was_buffered(self):
        whole = StreamedBody(iter(()), 10, b"12345")
        chunked = StreamedBody(iter(()), None, b"12345")
        other = StreamedBody(iter(()), 10, b"12344")
        self.assertEqual(fingerprint(whole), fingerprint(chunked))
        self.assertNotEqual(fingerprint(whole), fingerprint(other))


class TestOtherRequests(unittest.TestCase):
    def test_they_have_other_fingerprints(self):
        others = [
            fingerprint(),
            fingerprint(b"body"),
            fingerprint(method="HEAD"),
            fingerprint(path="/stock/2"),
            fingerprint(path="/stock/1?x=1"),
            fingerprint(headers=(("Cookie", "session=2"), ("Key", "7"))),
            fingerprint(headers=(("Cookie", "session=1"), ("Key", "8"))),
            fingerprint(headers=(("Cookie", "session=1"),)),
        ]
        self.assertEqual(len(set(others)), len(others))

    def test_the_borders_between_their_parts_count(self):
        one = fingerprint(path="/a", headers=(("b", "c"),))
        other = fingerprint(path="/ab", headers=(("c", ""),))
        self.assertNotEqual(one, other)


if __name__ == "__main__":
    unittest.main()
