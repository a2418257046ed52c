"""Metrics that are sent to statsd over UDP."""

import socket
import unittest

from persimmonspoke.daemon.settings import Observe
from persimmonspoke.internal.observe.statsd_metrics import StatsdMetrics


class TestStatsdMetrics(unittest.TestCase):
    def test_a_counter_reaches_statsd_under_the_projects_prefix(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
            listener.bind(("127.0.0.1", 0))
            listener.settimeout(30)
            port = listener.getsockname()[1]
            cfg = Observe(statsd_ip="127.0.0.1", statsd_port=port)
            StatsdMetrics(cfg).incr("callers.answered")
            self.assertEqual(listener.recv(100), b"persimmonspoke.callers.answered:1|c")

    def test_without_an_address_nothing_is_sent(self):
        StatsdMetrics(Observe()).timing("callers.begun", 1.0)
