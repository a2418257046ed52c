"""Interfaces through which the administration API uses the rest of the daemon."""

from dataclasses import dataclass
from typing import Any, Protocol

from persimmonspoke.ids import HostId, Instant, ServiceId, TeamId
from persimmonspoke.internal.admin.messages import HostStatus
from persimmonspoke.internal.ownership.page import Page


@dataclass(frozen=True, slots=True)
class UnreachableHost:
    """A live host that did not report its status, and why."""

    host_id: HostId
    reason: str


class Node(Protocol):
    """The entry host that serves the request."""

    def dump(self) -> dict[str, Any]:
        """Return the state of this daemon as JSON values."""

    def ready(self) -> bool:
        """Return whether this host accepts new requests."""

    def drain(self) -> None:
        """Accept no new requests; finish those in flight."""

    def undrain(self) -> None:
        """Accept new requests again."""

    def status(self) -> HostStatus:
        """Return the status of this host."""


class Members(Protocol):
    """All live entry hosts, this one included."""

    def statuses(self, deadline: Instant) -> list[HostStatus | UnreachableHost]:
        """Return the status of every live host, or why it gave none."""


class Assignments(Protocol):
    """The stored assignments of shards to targets."""

    def pages(
        self, team: TeamId, service: ServiceId, deadline: Instant
    ) -> tuple[Page, ...]:
        """Return the stored pages of `service`, in order."""
