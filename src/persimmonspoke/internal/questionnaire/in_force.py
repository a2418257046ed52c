"""The configurations in force on this host, as read from store updates."""

import logging

from persimmonspoke.errors import ConfigurationEdited
from persimmonspoke.ids import Generation, TeamId
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.team_record import read_config

TEAMS_PREFIX = "teams/"

log = logging.getLogger(__name__)


class ConfigurationsInForce:
    """The newest configuration of each team; its generation never decreases.

    Implements `persimmonspoke.internal.callers.api.Configurations`.
    """

    def __init__(self, store_view: StoreView):
        self._store_view = store_view
        self._applied_change_count = -1
        self._count = 0
        self._teams: dict[str, TeamConfig] = {}
        self._seen_versions: dict[str, int] = {}

    def change_count(self) -> int:
        """Return a number that increases with every change of a configuration."""
        self._refresh()
        return self._count

    def teams(self) -> tuple[TeamConfig, ...]:
        """Return the configuration of every team."""
        self._refresh()
        return tuple(self._teams.values())

    def generations(self) -> dict[TeamId, Generation]:
        """Return the generation in force of every team."""
        return {config.team: config.generation for config in self.teams()}

    def _refresh(self):
        """Apply the store updates that have arrived since the last call."""
        count = self._store_view.change_count()
        if count == self._applied_change_count:
            return
        self._applied_change_count = count
        for stored in self._store_view.items(TEAMS_PREFIX):
            if self._seen_versions.get(stored.key) == stored.version:
                continue
            self._seen_versions[stored.key] = stored.version
            self._put_in_force(stored)

    def _put_in_force(self, stored):
        """Put one team's configuration in force, unless one as new is already."""
        try:
            config = read_config(stored)
        except ConfigurationEdited as exc:
            log.error(
                "configuration: one in the store is not ours; the last one stays",
                extra={"object": stored.key, "cause": str(exc)},
            )
            return
        known = self._teams.get(stored.key)
        if known is not None and known.generation >= config.generation:
            return
        self._teams[stored.key] = config
        self._count += 1
        log.info(
            "configuration: in force",
            extra={"team": config.team, "generation": config.generation},
        )
