"""Adapters that give the administration API access to this daemon."""

from typing import Any

from persimmonspoke.ids import Instant, ServiceId, TeamId
from persimmonspoke.internal.admin.api import UnreachableHost
from persimmonspoke.internal.admin.messages import HostStatus, TeamGeneration
from persimmonspoke.internal.admin.statuses import collect_statuses
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.store.api import Store


class AdminNode:
    """Implements `persimmonspoke.internal.admin.api.Node` for one daemon."""

    def __init__(self, daemon):
        self._daemon = daemon

    def dump(self) -> dict[str, Any]:
        """Return the state of this daemon as JSON values."""
        return self._daemon.dump()

    def ready(self) -> bool:
        """Return whether this host accepts new requests."""
        return self._daemon.gate.open()

    def drain(self) -> None:
        """Accept no new requests; finish those in flight."""
        self._daemon.gate.draining = True

    def undrain(self) -> None:
        """Accept new requests again."""
        self._daemon.gate.draining = False

    def status(self) -> HostStatus:
        """Return the status of this host."""
        daemon = self._daemon
        generations = daemon.in_force.generations()
        return HostStatus(
            host_id=daemon.host_id,
            data_centre=daemon.settings.data_centre,
            ready=daemon.gate.open(),
            draining=daemon.gate.draining or daemon.gate.stopping,
            in_force=tuple(TeamGeneration(*pair) for pair in generations.items()),
        )


class AdminMembers:
    """Implements `persimmonspoke.internal.admin.api.Members` for one daemon."""

    def __init__(self, daemon):
        self._daemon = daemon

    def statuses(self, deadline: Instant) -> list[HostStatus | UnreachableHost]:
        """Return the status of every live host, or why it gave none."""
        daemon = self._daemon
        return collect_statuses(daemon.link, daemon.members.live(), deadline)


class AdminAssignments:
    """Implements `persimmonspoke.internal.admin.api.Assignments` from the store."""

    def __init__(self, store: Store):
        self._store = store

    def pages(
        self, team: TeamId, service: ServiceId, deadline: Instant
    ) -> tuple[Page, ...]:
        """Return the stored pages of `service`, in order."""
        listing = self._store.list(f"pages/{team}/{service}/", deadline)
        pages = [Page.from_value(item.value) for item in listing.items]
        return tuple(sorted(pages, key=lambda page: page.key.page))
