"""The interface for calls between the project's own processes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from persimmonspoke.ids import HostId, Instant


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The address on which one run of a daemon listens for its peers."""

    host_id: HostId
    ip: str
    port: int


class Liveness(Enum):
    """Result of a probe of the run that listens on a peer's address."""

    DEAD = "dead"
    """The connection was refused, or another run answered: the run has ended."""

    ANSWERS = "answers"
    SILENT = "silent"
    """No answer: the process may be dead, frozen or unreachable."""


class PeerLink(Protocol):
    """Calls between daemons.

    Messages are the dataclasses registered in the `messages` modules.
    """

    def call(self, peer: PeerAddress, message: Any, deadline: Instant) -> Any:
        """Send `message` and return the answer, or raise `PeerError`."""

    def post(self, peer: PeerAddress, message: Any) -> None:
        """Send `message` without an answer; it may be lost."""

    def probe(self, peer: PeerAddress, deadline: Instant) -> Liveness:
        """Return whether the run that `peer` names can still be alive."""

    def serve(self, kind: type, handler: Callable[[Any], Any]) -> None:
        """Answer messages of type `kind` with `handler`, each in its own task."""
