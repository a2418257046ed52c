"""The configurations in force on this host, as read from the news."""

import logging

from persimmonspoke.errors import ConfigurationEdited
from persimmonspoke.ids import Generation, TeamId
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.team_record import read_config

TEAMS = "teams/"

log = logging.getLogger(__name__)


class InForce:
    """The newest configuration of each team; a generation never goes back.

    Implements `persimmonspoke.internal.callers.api.Configurations`.
    """

    def __init__(self, store_view: StoreView):
        self._store_view = store_view
        self._news_count = -1
        self._count = 0
        self._teams: dict[str, TeamConfig] = {}
        self._versions: dict[str, int] = {}

    def change_count(self) -> int:
        """Return a number that grows with every change of a configuration."""
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
        """Read the news, if there are any since the last time."""
        count = self._store_view.change_count()
        if count == self._news_count:
            return
        self._news_count = count
        for stored in self._store_view.items(TEAMS):
            if self._versions.get(stored.key) == stored.version:
                continue
            self._versions[stored.key] = stored.version
            self._take_in(stored)

    def _take_in(self, stored):
        """Put one team's configuration in force, unless a later one is."""
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
