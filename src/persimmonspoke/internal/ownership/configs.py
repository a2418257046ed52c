"""The configurations in force at this host, read from the news."""

from persimmonspoke.ids import ServiceId, TargetId, TeamId
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.questionnaire.configuration import (
    ServiceConfig,
    TeamConfig,
)

TEAMS = "teams/"
DRAINS = "drains/"

ServiceKey = tuple[TeamId, ServiceId]


class Configs:
    """All teams' configurations, and the targets that operators drain."""

    def __init__(self, news: News):
        self._news = news
        self._count = -1
        self._teams: dict[str, tuple[int, TeamConfig]] = {}
        self._services: dict[ServiceKey, ServiceConfig] = {}
        self._drains: dict[ServiceKey, frozenset[TargetId]] = {}

    def divided(self) -> dict[ServiceKey, ServiceConfig]:
        """Return the services whose keys have owners."""
        self._refresh()
        return self._services

    def leaving(self, service: ServiceKey) -> frozenset[TargetId]:
        """Return the targets of a service that operators have told to leave."""
        self._refresh()
        return self._drains.get(service, frozenset())

    def _refresh(self):
        count = self._news.count()
        if count == self._count:
            return
        self._count = count
        for item in self._news.items(TEAMS):
            known = self._teams.get(item.key)
            config = item.value.get("config")
            if config and (known is None or known[0] < item.version):
                team = TeamConfig.model_validate(config)
                self._teams[item.key] = (item.version, team)
        self._services = {
            (team.team, service.service): service
            for _, team in self._teams.values()
            for service in team.services
            if service.divided
        }
        self._drains = {
            (TeamId(item.key.removeprefix(DRAINS)), ServiceId(service)): frozenset(ids)
            for item in self._news.items(DRAINS)
            for service, ids in item.value.get("targets", {}).items()
        }
