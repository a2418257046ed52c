"""Tests of the precedence of requests, where protected ones have their own."""

import unittest

from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.api import Ticket
from tests.fakes.scheduling_fleet import make_service


class TestPrecedenceOfTickets(unittest.TestCase):
    def test_protected_requests_queue_by_their_own_precedence(self):
        service = make_service("ledger", targets=1).model_copy(
            update={
                "precedence": Precedence.LOW,
                "protected_precedence": Precedence.HIGH,
            }
        )
        posting = Ticket("qoyan", service, None, True, 1.0)
        report = Ticket("qoyan", service, None, False, 1.0)
        self.assertIs(posting.precedence, Precedence.HIGH)
        self.assertIs(report.precedence, Precedence.LOW)

    def test_a_method_that_http_does_not_define_is_protected(self):
        service = make_service("plain", targets=1)
        self.assertTrue(service.protects("LOCK"))
        self.assertFalse(service.protects("GET"))
