"""Finds the service that a caller's path belongs to.

The path starts with the team's name: the service with prefix ``/lookup`` of team
``desk`` is reached under ``/desk/lookup``.  The path sent to the target does not
contain the team's name.
"""

from dataclasses import dataclass

from persimmonspoke.errors import UnknownPath
from persimmonspoke.ids import TeamId
from persimmonspoke.internal.callers.api import Configurations
from persimmonspoke.internal.questionnaire.configuration import (
    ServiceConfig,
    TargetConfig,
)


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """One service, with values precomputed so that no request has to derive them.

    Attributes
    ----------
    prefix : str
        The service's path prefix without a trailing slash.
    targets : dict of TargetId to TargetConfig
        The service's targets by id.
    """

    team: TeamId
    service: ServiceConfig
    prefix: str
    target_ids: tuple
    targets: dict[str, TargetConfig]

    @classmethod
    def of(cls, team: TeamId, service: ServiceConfig) -> "ServiceEntry":
        """Build the entry of one service."""
        return cls(
            team=team,
            service=service,
            prefix=service.path_prefix.rstrip("/"),
            target_ids=tuple(target.target_id for target in service.targets),
            targets={target.target_id: target for target in service.targets},
        )

    def covers(self, path: str) -> bool:
        """Return whether `path`, given without the team, is under the prefix."""
        if not path.startswith(self.prefix):
            return False
        return path[len(self.prefix) : len(self.prefix) + 1] in ("", "/")


class ServiceTable:
    """Finds services by path; rebuilt only when a configuration changes."""

    def __init__(self, configs: Configurations):
        self._configs = configs
        self._seen_change_count = None
        self._teams: dict[str, tuple[ServiceEntry, ...]] = {}

    def find(self, path: str) -> ServiceEntry:
        """Return the service with the longest prefix that covers a caller's `path`.

        Raises
        ------
        UnknownPath
            No service has this path.
        """
        self._refresh()
        team, slash, rest = path[1:].partition("/")
        for entry in self._teams.get(team, ()):
            if entry.covers(slash + rest):
                return entry
        raise UnknownPath("no service has this path")

    def _refresh(self):
        change_count = self._configs.change_count()
        if change_count == self._seen_change_count:
            return
        self._teams = {
            config.team: _longest_first(config) for config in self._configs.teams()
        }
        self._seen_change_count = change_count


def _longest_first(config):
    entries = [ServiceEntry.of(config.team, service) for service in config.services]
    return tuple(sorted(entries, key=lambda entry: -len(entry.prefix)))
