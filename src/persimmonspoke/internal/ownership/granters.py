"""The granters of all targets of the services whose pages this host keeps."""

from persimmonspoke.ids import TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.configs import Configs, ServiceKey
from persimmonspoke.internal.ownership.granter import Granter, TargetState
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.kept import ManagedPage
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.api import TargetOrders

REFRESH_PERIOD_S = 0.2


class Granters:
    """Runs one granter for each target that is configured or still owns shards."""

    def __init__(
        self,
        keeper: Keeper,
        configs: Configs,
        clock: Clock,
        orders: TargetOrders,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._configs = configs
        self._clock = clock
        self._orders = orders
        self._tasks = tasks
        self._granters: dict[ServiceKey, dict[TargetId, Granter]] = {}

    def start(self) -> None:
        """Start to follow the configuration."""
        self._keeper.on_install = self._renew_soon
        self._tasks.every(REFRESH_PERIOD_S, self.refresh)

    def refresh(self) -> None:
        """Start and end granters to match the configuration."""
        for key, service in self._configs.divided().items():
            by_target = self._granters.setdefault(key, {})
            for target in service.targets:
                granter = by_target.get(target.target_id)
                if granter is None:
                    self._start(key, target)
                elif granter.cfg != target:
                    granter.cfg = target
        for key, by_target in self._granters.items():
            for target_id in [
                item for item in by_target if not self._wanted(key, item)
            ]:
                del by_target[target_id]

    def get(self, service: ServiceKey, target: TargetId) -> Granter | None:
        """Return the granter of one target, or None if it has none."""
        return self._granters.get(service, {}).get(target)

    def for_service(self, service: ServiceKey) -> dict[TargetId, Granter]:
        """Return the granters of a service, by target."""
        return self._granters.get(service, {})

    def leaving(self, service: ServiceKey) -> frozenset[TargetId]:
        """Return the targets that are drained or no longer configured."""
        drained = self._configs.leaving(service)
        return drained | (set(self.for_service(service)) - self._configured(service))

    def candidates(self, service: ServiceKey) -> tuple[TargetConfig, ...]:
        """Return the targets that may become owners of shards now."""
        leaving = self.leaving(service)
        return tuple(
            granter.cfg
            for target_id, granter in sorted(self.for_service(service).items())
            if granter.state is TargetState.ALIVE and target_id not in leaving
        )

    def grant_owners(self, managed: ManagedPage, targets) -> None:
        """Grant to `targets`, concurrently, their shards of one page."""
        service = service_of(managed)
        granters = [self.get(service, target) for target in targets]
        self._tasks.gather(
            lambda granter: granter.grant(managed), [item for item in granters if item]
        )

    def _renew_soon(self, managed):
        for granter in self.for_service(service_of(managed)).values():
            granter.renew_soon()

    def _start(self, key, target):
        granter = Granter(key, target, self._keeper, self._clock, self._orders)
        self._granters[key][target.target_id] = granter
        target_id = target.target_id
        self._tasks.spawn(granter.run, lambda: self.get(key, target_id) is granter)

    def _configured(self, key):
        service = self._configs.divided().get(key)
        return {target.target_id for target in service.targets} if service else set()

    def _wanted(self, key, target_id):
        """Return whether a target is configured or still owns shards here."""
        return target_id in self._configured(key) or any(
            target_id in managed.owners()
            for managed in self._keeper.open_pages()
            if service_of(managed) == key
        )


def service_of(managed: ManagedPage) -> ServiceKey:
    """Return the service to which a page belongs."""
    return managed.page.key.team, managed.page.key.service
