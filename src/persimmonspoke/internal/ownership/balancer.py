"""Asking the planner now and then, for all services whose pages this host keeps."""

from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.configs import Configs
from persimmonspoke.internal.ownership.granters import Granters, service_of
from persimmonspoke.internal.ownership.keeper import Keeper
from persimmonspoke.internal.ownership.mover import Mover
from persimmonspoke.internal.ownership.routes import RouteTable
from persimmonspoke.internal.ownership.spread import Planner

PERIOD_S = 2.0


class Balancer:
    """Turns the planner's decisions into planned moves."""

    def __init__(
        self,
        keeper: Keeper,
        configs: Configs,
        granters: Granters,
        mover: Mover,
        routes: RouteTable,
        planner: Planner,
        clock: Clock,
        tasks: Tasks,
    ):
        self._keeper = keeper
        self._configs = configs
        self._granters = granters
        self._mover = mover
        self._routes = routes
        self._planner = planner
        self._clock = clock
        self._tasks = tasks

    def start(self) -> None:
        """Begin to plan."""
        self._tasks.every(PERIOD_S, self._plan_all)

    def _plan_all(self):
        kept = {service_of(item) for item in self._keeper.open_pages()}
        for key, service in self._configs.divided().items():
            if key not in kept:
                continue
            owners = self._routes.owners(*key)
            if len(owners) < service.shard_count:
                # A plan needs all pages; some keeper is not known yet.
                continue
            targets = self._granters.candidates(key)
            self._mover.wish(key, self._planner.plan(owners, targets))
