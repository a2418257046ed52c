"""Which layout of its messages each peer reads, while several builds run side by side.

Builds before `Revision.TOLERANT` refuse a message with fields that they do not know.
They get it in their own layout: a refusal shows it to a caller, and the number of
fields in a call shows it to whoever answers.
"""

import logging
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from persimmonspoke.errors import PeerRefused
from persimmonspoke.ids import HostId

UNREADABLE = "the message can't be decoded"
"""Part of the reason with which all builds refuse a message that they can't decode."""

SINCE = "since"
"""Key in the metadata of a message's field, for the revision that has added it."""


class Revision(IntEnum):
    """Layouts of messages; a later one has more fields at the end of some."""

    ERAS = 0
    """The layout of build 5084d5b."""

    QUARANTINE = 1
    """The layout of build f4fd16b."""

    PATHS = 2
    """The layout of build 3e477da."""

    TOLERANT = 3
    """Fields at the end of a message that the reader does not know are ignored."""

    PROOFS = 4
    """Relays say up to when each kind of objects is proven to be the newest."""

    HEAVY_LOAD = 5
    """Hosts tell desks of cold targets and of the load that targets name.

    Reports to the leader have answer times by kind of request.
    """

    DEFERRED = 6
    """Relays name large objects that have changed, and hosts ask for them apart."""


LAST_STRICT = Revision.PATHS
NEWEST = max(Revision)

log = logging.getLogger(__name__)


def since(revision: Revision) -> dict:
    """Return the metadata of a message's field that a revision has added."""
    return {SINCE: revision}


class PeerRevisions:
    """Remembers which peers read only an earlier layout.

    Parameters
    ----------
    encode : callable
        Encodes a message in the layout of a revision.
    earlier : callable
        Returns the newest revision before a given one in which a type of message has
        fewer fields; None if there is none.
    """

    def __init__(
        self,
        encode: Callable[[Any, Revision], bytes],
        earlier: Callable[[type, Revision], Revision | None],
    ):
        self._encode = encode
        self._earlier = earlier
        self._older: dict[HostId, Revision] = {}

    def encode_for(self, host_id: HostId, message: Any) -> bytes:
        """Return a message in the newest layout that a peer is thought to read."""
        return self._encode(message, self._older.get(host_id, NEWEST))

    def call(
        self, host_id: HostId, message: Any, send: Callable[[bytes], bytes]
    ) -> bytes:
        """Send a message in a layout that a peer reads, and return the answer.

        Parameters
        ----------
        send : callable
            Sends an encoded message and returns the answer.

        Raises
        ------
        PeerRefused
            The peer refused it for another reason, or reads none of its layouts.
        """
        revision = self._older.get(host_id, NEWEST)
        while True:
            try:
                answer = send(self._encode(message, revision))
            except PeerRefused as exc:
                if UNREADABLE not in str(exc):
                    self._record(host_id, revision)
                    raise
                older = self._earlier(type(message), revision)
                if older is None:
                    raise
                revision = older
            else:
                self._record(host_id, revision)
                return answer

    def _record(self, host_id, revision):
        if revision < NEWEST and revision != self._older.get(host_id):
            self._older[host_id] = revision
            log.info(
                "link: the peer's build is older",
                extra={"peer": host_id, "revision": revision.name},
            )
