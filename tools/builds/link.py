"""Exchanges the examples over the link between hosts, by the code of one build."""

import json
import sys
from dataclasses import asdict

from eventlet import tpool

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.clock import SystemClock
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.peers.zmq_link import ZmqLink
from tools.builds import records
from tools.builds.examples import REFUSED

IP = "127.0.0.1"
CALL_S = 5.0
POSTED = ("Ask", "Lent", "Refused", "Done", "TableChange", "SuspectsChanged")


def serve() -> None:
    """Answer the examples until the input ends; print the port, then what came."""
    link = _link("server")
    received = {}

    def handler(name):
        def handle(msg):
            received[name] = records.plain(asdict(msg))
            return (
                records.example(records.ANSWERS[name])
                if name in records.ANSWERS
                else None
            )

        return handle

    for name in records.known_messages():
        link.serve(records.message_type(name), handler(name))
    print(link.address.port, flush=True)
    tpool.execute(sys.stdin.read)
    print(json.dumps(received), flush=True)


def call(port: int) -> None:
    """Send the examples to a process that serves; print what it answered."""
    link = _link("client")
    peer = PeerAddress(HostId("server"), IP, port)
    answers = {}
    for name in records.known_messages():
        if name in POSTED:
            link.post(peer, records.example(name))
        elif name in records.ANSWERS:
            answers[name] = _answer(link, peer, name)
    print(json.dumps(answers), flush=True)


def _answer(link, peer, name):
    deadline = Instant(SystemClock().now() + CALL_S)
    try:
        return records.plain(asdict(link.call(peer, records.example(name), deadline)))
    except PeerError as exc:
        return {REFUSED: f"{type(exc).__name__}: {exc}"}


def _link(host_id):
    return ZmqLink(PeerAddress(HostId(host_id), IP, 0), SystemClock())
