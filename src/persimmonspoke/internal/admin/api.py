"""What the administration API needs of the rest of the daemon."""

from dataclasses import dataclass
from typing import Any, Protocol

from persimmonspoke.ids import HostId, Instant, ServiceId, TeamId
from persimmonspoke.internal.admin.messages import HostStatus
from persimmonspoke.internal.ownership.page import Page


@dataclass(frozen=True, slots=True)
class UnreachableHost:
    """A host that counts as live and gave no status."""

    host_id: HostId
    reason: str


class Node(Protocol):
    """This entry host."""

    def dump(self) -> dict[str, Any]:
        """Return the whole state of this process as JSON values."""

    def ready(self) -> bool:
        """Return whether this host takes new requests."""

    def drain(self) -> None:
        """Take no new requests from now on; finish those in flight."""

    def undrain(self) -> None:
        """Take new requests again."""

    def status(self) -> HostStatus:
        """Return the state of this host."""


class Members(Protocol):
    """All live entry hosts, this one among them."""

    def statuses(self, deadline: Instant) -> list[HostStatus | UnreachableHost]:
        """Ask every live host for its status."""


class Assignments(Protocol):
    """Owners of shards."""

    def pages(
        self, team: TeamId, service: ServiceId, deadline: Instant
    ) -> tuple[Page, ...]:
        """Return the pages of `service` that exist, in order."""
