"""What the project needs of the link between its own processes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from persimmonspoke.ids import HostId, Instant


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where one daemon listens for its peers."""

    host_id: HostId
    ip: str
    port: int


class Liveness(Enum):
    """What a connection attempt says about the process behind an address."""

    DEAD = "dead"
    """The host refused the connection, or another run answers: that run is over."""

    ANSWERS = "answers"
    SILENT = "silent"
    """No answer; the process may be dead, frozen or cut off."""


class PeerLink(Protocol):
    """Calls between daemons; messages are the dataclasses of `messages`."""

    def call(self, peer: PeerAddress, message: Any, deadline: Instant) -> Any:
        """Send `message` and return the answer, or raise `PeerError`."""

    def post(self, peer: PeerAddress, message: Any) -> None:
        """Send `message` without an answer; it may be lost."""

    def probe(self, peer: PeerAddress, deadline: Instant) -> Liveness:
        """Find out whether that run of the peer can still be alive."""

    def serve(self, kind: type, handler: Callable[[Any], Any]) -> None:
        """Answer messages of type `kind` by `handler`, one task a message."""
