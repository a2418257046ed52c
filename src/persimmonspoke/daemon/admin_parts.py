"""What the administration API asks of this daemon."""

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
        """Return the whole state of this process as JSON values."""
        return self._daemon.dump()

    def ready(self) -> bool:
        """Return whether this host takes new requests."""
        return self._daemon.gate.open()

    def drain(self) -> None:
        """Take no new requests from now on; finish those in flight."""
        self._daemon.gate.draining = True

    def undrain(self) -> None:
        """Take new requests again."""
        self._daemon.gate.draining = False

    def status(self) -> HostStatus:
        """Return the state of this host."""
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
        """Ask every live host for its status."""
        daemon = self._daemon
        return collect_statuses(daemon.link, daemon.members.live(), deadline)


class AdminAssignments:
    """Implements `persimmonspoke.internal.admin.api.Assignments` by the store."""

    def __init__(self, store: Store):
        self._store = store

    def pages(
        self, team: TeamId, service: ServiceId, deadline: Instant
    ) -> tuple[Page, ...]:
        """Return the pages of `service` that exist, in order."""
        listing = self._store.list(f"pages/{team}/{service}/", deadline)
        pages = [Page.from_value(item.value) for item in listing.items]
        return tuple(sorted(pages, key=lambda page: page.key.page))
