"""Which service a path belongs to.

A caller writes the team's name before the service's path: the service with prefix
``/lookup`` of team ``desk`` is reached under ``/desk/lookup``.  The target is sent
the path without the team's name.
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
    """One service, with what the request path would else work out each time.

    Attributes
    ----------
    prefix : str
        The service's path prefix, without a slash at its end.
    targets : dict of TargetId to TargetConfig
        The service's targets.
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
        """Return whether `path`, without the team, is under the prefix."""
        if not path.startswith(self.prefix):
            return False
        return path[len(self.prefix) : len(self.prefix) + 1] in ("", "/")


class ServiceTable:
    """Finds services by path; rebuilt only when a configuration has changed."""

    def __init__(self, configs: Configurations):
        self._configs = configs
        self._count = None
        self._teams: dict[str, tuple[ServiceEntry, ...]] = {}

    def find(self, path: str) -> ServiceEntry:
        """Return the service of a caller's `path`, or raise `UnknownPath`.

        The longest prefix wins.
        """
        self._refresh()
        team, slash, rest = path[1:].partition("/")
        for entry in self._teams.get(team, ()):
            if entry.covers(slash + rest):
                return entry
        raise UnknownPath("no service has this path")

    def _refresh(self):
        count = self._configs.count()
        if count == self._count:
            return
        self._teams = {
            config.team: _longest_first(config) for config in self._configs.teams()
        }
        self._count = count


def _longest_first(config):
    entries = [ServiceEntry.of(config.team, service) for service in config.services]
    return tuple(sorted(entries, key=lambda entry: -len(entry.prefix)))
