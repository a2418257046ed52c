"""Moving shards by measured load.

Every host counts the requests that it sends to each shard, and reports them to the
one host that plans for the service: the keeper of its first page.  That host tells
all keepers which shards should move.  A plan is advice: a keeper makes a move only
under its own lease, so a lost or doubled plan costs balance and no promise.
"""

import logging

from persimmonspoke.errors import PeerError
from persimmonspoke.ids import HostId, Instant, PageId, ShardId, TargetId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.member import Member
from persimmonspoke.internal.membership.tasks import Tasks
from persimmonspoke.internal.ownership.api import Route
from persimmonspoke.internal.ownership.configs import Configs, ServiceKey
from persimmonspoke.internal.ownership.granters import Granters
from persimmonspoke.internal.ownership.mover import Mover
from persimmonspoke.internal.ownership.page import PageKey
from persimmonspoke.internal.ownership.routes import RouteTable
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.placement.loads import LoadReport, ShardLoads, merge
from persimmonspoke.internal.placement.messages import (
    LoadNotice,
    LoadNoticeReply,
    PlannedMove,
    PlanNotice,
    PlanNoticeReply,
)
from persimmonspoke.internal.placement.planner import plan
from persimmonspoke.internal.placement.view import PlacementView, TargetView
from persimmonspoke.internal.questionnaire.configuration import ServiceConfig

REPORT_S = 1.0
PLAN_S = 2.0
FRESH_S = 3.0
CALL_S = 0.5
HALF_LIFE_S = 6.0
MOST_NAMED = 96
LEAST_RATE = 10.0
"""Requests a second and target below which load is noise."""

FIRST_PAGE = PageId(0)

_LOG = logging.getLogger(__name__)


class Balancer:
    """Counts load, reports it, and plans for the services that fall to this host."""

    def __init__(
        self,
        member: Member,
        configs: Configs,
        granters: Granters,
        mover: Mover,
        routes: RouteTable,
        clock: Clock,
        link: PeerLink,
        tasks: Tasks,
    ):
        self._member = member
        self._configs = configs
        self._granters = granters
        self._mover = mover
        self._routes = routes
        self._clock = clock
        self._link = link
        self._tasks = tasks
        self._loads: dict[ServiceKey, ShardLoads] = {}
        self._reports: dict[ServiceKey, dict[HostId, tuple[Instant, LoadReport]]] = {}
        self._owners: dict[ServiceKey, dict[ShardId, TargetId]] = {}
        self._moved_at: dict[ServiceKey, dict[ShardId, Instant]] = {}
        routes.on_request = self.count

    def start(self) -> None:
        """Begin to report and to plan."""
        self._link.serve(LoadNotice, self._on_report)
        self._link.serve(PlanNotice, self._on_plan)
        self._tasks.every(REPORT_S, self._report_all)
        self._tasks.every(PLAN_S, self._plan_all)

    def count(self, route: Route) -> None:
        """Count one request."""
        loads = self._loads.get((route.page.team, route.page.service))
        if loads is not None:
            loads.add(route.shard, self._clock.now())

    def imbalance(self) -> dict[ServiceKey, float]:
        """Return, for each service that this host plans for, how uneven its load is.

        Returns
        -------
        dict of ServiceKey to float
            Load of the busiest owner over the mean of all owners; 1 is even.
        """
        found = {}
        for key, service in self._configs.divided().items():
            owners = self._owners.get(key)
            if owners and self._planner(key) == self._member.host_id:
                found[key] = _unevenness(owners, self._merged(key, service))
        return found

    def _report_all(self):
        """Report the load of each service to the host that plans for it."""
        for key, service in self._configs.divided().items():
            loads = self._loads.get(key)
            if loads is None:
                now = self._clock.now()
                loads = ShardLoads(service.shard_count, HALF_LIFE_S, now)
                self._loads[key] = loads
            planner = self._planner(key)
            if planner is None:
                continue
            report = loads.report(MOST_NAMED, self._clock.now())
            notice = LoadNotice(self._member.host_id, *key, report)
            if planner == self._member.host_id:
                self._on_report(notice)
            else:
                self._tasks.spawn(self._tell, planner, notice)

    def _on_report(self, notice: LoadNotice) -> LoadNoticeReply:
        """Take in what one host saw."""
        seen = self._reports.setdefault((notice.team, notice.service), {})
        seen[notice.host] = (self._clock.now(), notice.report)
        return LoadNoticeReply()

    def _on_plan(self, notice: PlanNotice) -> PlanNoticeReply:
        """Wish for what the planning host wants moved."""
        moves = {move.shard: move.target for move in notice.moves}
        self._mover.wish((notice.team, notice.service), moves)
        return PlanNoticeReply()

    def _plan_all(self):
        """Plan for each service that falls to this host, and tell the keepers."""
        if not self._member.holds_lease():
            return
        for key, service in self._configs.divided().items():
            if self._planner(key) != self._member.host_id:
                continue
            owners = self._routes.owners(*key)
            if len(owners) < service.shard_count:
                # A plan needs all pages; some keeper is not known yet.
                continue
            self._note_moves(key, owners)
            notice = PlanNotice(*key, self._plan(key, service, owners))
            self._on_plan(notice)
            for record in self._member.directory.active():
                if record.host_id != self._member.host_id:
                    self._tasks.spawn(self._tell, record.host_id, notice)

    def _plan(self, key, service, owners) -> tuple[PlannedMove, ...]:
        """Return the moves that the load and the team's measure ask for."""
        targets = self._granters.candidates(key)
        view = PlacementView(
            measure=self._configs.measure(key),
            now=self._clock.now(),
            owners=[owners[shard] for shard in range(service.shard_count)],
            loads=self._merged(key, service),
            targets=[
                TargetView(target.target_id, float(target.slots)) for target in targets
            ],
            moved_at=self._moved_at.get(key, {}),
        )
        # Forced moves belong to the keeper, who knows when the old owner is safe.
        return tuple(
            PlannedMove(move.shard, move.target)
            for move in plan(view)
            if not move.forced
        )

    def _merged(self, key: ServiceKey, service: ServiceConfig) -> list[float]:
        """Return the load of each shard, over the hosts that reported lately."""
        limit = self._clock.now() - FRESH_S
        known = self._reports.get(key, {})
        fresh = {host: entry for host, entry in known.items() if entry[0] > limit}
        self._reports[key] = fresh
        loads = merge((report for _, report in fresh.values()), service.shard_count)
        if sum(loads) < LEAST_RATE * len(service.targets):
            # So few requests say nothing; the planner then evens out counts.
            return [0.0] * service.shard_count
        return loads

    def _note_moves(self, key, owners):
        """Take note of when shards changed owner, so that they rest."""
        now = self._clock.now()
        before = self._owners.get(key, owners)
        moved = self._moved_at.setdefault(key, {})
        for shard, owner in owners.items():
            if before.get(shard, owner) != owner:
                moved[shard] = now
        self._owners[key] = owners

    def _planner(self, key: ServiceKey) -> HostId | None:
        """Return the host that plans for a service, if it is known."""
        return self._routes.keeper_of(PageKey(*key, FIRST_PAGE))

    def _tell(self, host_id, notice):
        """Send one notice; the next one makes up for a lost one."""
        record = self._member.directory.get(host_id)
        if record is None:
            return
        deadline = Instant(self._clock.now() + CALL_S)
        try:
            self._link.call(record.address, notice, deadline)
        except PeerError as exc:
            _LOG.debug("balancer: a notice was lost", extra={"cause": str(exc)})


def _unevenness(owners, loads):
    """Return the load of the busiest owner over the mean."""
    by_owner: dict[TargetId, float] = {}
    for shard, owner in owners.items():
        by_owner[owner] = by_owner.get(owner, 0.0) + loads[shard]
    total = sum(by_owner.values())
    return max(by_owner.values()) * len(by_owner) / total if total else 1.0
