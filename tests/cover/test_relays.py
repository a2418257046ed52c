"""Tests of the selection of relays."""

import unittest

from persimmonspoke.ids import DataCentreId, HostId
from persimmonspoke.internal.news.relays import (
    RELAYS_PER_DATA_CENTRE,
    RelayCandidate,
    choose_relays,
    relays_to_ask,
)
from persimmonspoke.internal.peers.api import PeerAddress


def fleet(per_data_centre, data_centres):
    return [
        RelayCandidate(
            PeerAddress(HostId(f"h{number}-{where}"), "127.0.0.1", 1),
            DataCentreId(f"dc{where}"),
        )
        for where in range(data_centres)
        for number in range(per_data_centre)
    ]


class TestRelays(unittest.TestCase):
    def test_each_data_centre_has_its_relays_and_no_more(self):
        relays = choose_relays(fleet(145, 9))
        self.assertEqual(len(relays), 9 * RELAYS_PER_DATA_CENTRE)
        self.assertEqual(len({relay.data_centre for relay in relays}), 9)

    def test_a_host_that_leaves_changes_one_relay_at_most(self):
        hosts = fleet(20, 3)
        before = set(choose_relays(hosts))
        for leaving in hosts:
            after = set(choose_relays([host for host in hosts if host != leaving]))
            self.assertLessEqual(len(before - after), 1)

    def test_a_host_asks_its_own_data_centre_first_and_never_itself(self):
        relays = choose_relays(fleet(5, 3))
        me = relays[0]
        asked = relays_to_ask(relays, me.address.host_id, me.data_centre)
        self.assertNotIn(me.address, asked)
        self.assertEqual(asked[0].host_id[-1], me.address.host_id[-1])
        self.assertEqual(len(asked), len(relays) - 1)
