"""The configurations in force at this host, read from its copy of the store."""

from persimmonspoke.ids import ServiceId, TargetId, TeamId
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.questionnaire.configuration import (
    Measure,
    ServiceConfig,
)
from persimmonspoke.internal.questionnaire.drains import (
    DRAINS_PREFIX,
    drained_targets,
)
from persimmonspoke.internal.questionnaire.in_force import ConfigurationsInForce

ServiceKey = tuple[TeamId, ServiceId]


class Configs:
    """The configurations of all teams, and the targets that operators drain.

    Attributes
    ----------
    in_force : ConfigurationsInForce
        The configurations, by team.
    """

    def __init__(self, store_view: StoreView):
        self._store_view = store_view
        self.in_force = ConfigurationsInForce(store_view)
        self._read_at_count = -1
        self._services: dict[ServiceKey, ServiceConfig] = {}
        self._drained: dict[TeamId, frozenset[TargetId]] = {}
        self._measures: dict[TeamId, Measure] = {}

    def divided(self) -> dict[ServiceKey, ServiceConfig]:
        """Return the services that are divided by key; their shards have owners."""
        self._refresh()
        return self._services

    def leaving(self, service: ServiceKey) -> frozenset[TargetId]:
        """Return the targets that operators drain, for the service's team."""
        self._refresh()
        return self._drained.get(service[0], frozenset())

    def measure(self, service: ServiceKey) -> Measure:
        """Return the measure that the service's team weighs most."""
        self._refresh()
        return self._measures[service[0]]

    def _refresh(self):
        count = self._store_view.change_count()
        if count == self._read_at_count:
            return
        self._read_at_count = count
        self._services = {
            (team.team, service.service): service
            for team in self.in_force.teams()
            for service in team.services
            if service.divided
        }
        self._measures = {team.team: team.measure for team in self.in_force.teams()}
        self._drained = {
            TeamId(item.key.removeprefix(DRAINS_PREFIX)): drained_targets(item.value)
            for item in self._store_view.items(DRAINS_PREFIX)
        }
