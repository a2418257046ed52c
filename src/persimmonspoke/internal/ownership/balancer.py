"""Balancing of measured load by moves of shards.

Every host counts the requests that it sends to each shard, and reports the counts to
the host that plans for the service: the keeper of its first page.  That host sends
the planned moves to all keepers.  A plan is advisory: a keeper moves shards only
under its own lease, so a lost or duplicated plan affects only the balance of load,
never correctness.
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

REPORT_PERIOD_S = 1.0
PLAN_PERIOD_S = 2.0
MAX_REPORT_AGE_S = 3.0
CALL_TIMEOUT_S = 0.5
HALF_LIFE_S = 6.0
MAX_NAMED_SHARDS = 96
MIN_RATE = 10.0
"""Requests per second and target; a lower load is treated as noise."""

FIRST_PAGE = PageId(0)

_LOG = logging.getLogger(__name__)


class Balancer:
    """Counts and reports load, and plans moves where this host is the planner."""

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
        """Start to serve load messages and to report and plan periodically."""
        self._link.serve(LoadNotice, self._on_report)
        self._link.serve(PlanNotice, self._on_plan)
        self._tasks.every(REPORT_PERIOD_S, self._send_reports)
        self._tasks.every(PLAN_PERIOD_S, self._make_plans)

    def count(self, route: Route) -> None:
        """Count one request on the shard of `route`."""
        loads = self._loads.get((route.page.team, route.page.service))
        if loads is not None:
            loads.add(route.shard, self._clock.now())

    def imbalance(self) -> dict[ServiceKey, float]:
        """Return the load imbalance of each service that this host plans for.

        Returns
        -------
        dict of ServiceKey to float
            Load of the busiest owner divided by the mean over all owners; 1 is even.
        """
        found = {}
        for key, service in self._configs.divided().items():
            owners = self._owners.get(key)
            if owners and self._planner(key) == self._member.host_id:
                found[key] = _load_imbalance(owners, self._merged_loads(key, service))
        return found

    def _send_reports(self):
        """Send the load of each service to the host that plans for it."""
        for key, service in self._configs.divided().items():
            loads = self._loads.get(key)
            if loads is None:
                now = self._clock.now()
                loads = ShardLoads(service.shard_count, HALF_LIFE_S, now)
                self._loads[key] = loads
            planner = self._planner(key)
            if planner is None:
                continue
            report = loads.report(MAX_NAMED_SHARDS, self._clock.now())
            notice = LoadNotice(self._member.host_id, *key, report)
            if planner == self._member.host_id:
                self._on_report(notice)
            else:
                self._tasks.spawn(self._send_notice, planner, notice)

    def _on_report(self, notice: LoadNotice) -> LoadNoticeReply:
        """Store the latest load report of one host."""
        seen = self._reports.setdefault((notice.team, notice.service), {})
        seen[notice.host] = (self._clock.now(), notice.report)
        return LoadNoticeReply()

    def _on_plan(self, notice: PlanNotice) -> PlanNoticeReply:
        """Replace the planned moves of one service."""
        moves = {move.shard: move.target for move in notice.moves}
        self._mover.set_planned_moves((notice.team, notice.service), moves)
        return PlanNoticeReply()

    def _make_plans(self):
        """Plan moves for each service planned here, and send them to all hosts."""
        if not self._member.holds_lease():
            return
        for key, service in self._configs.divided().items():
            if self._planner(key) != self._member.host_id:
                continue
            owners = self._routes.owners(*key)
            if len(owners) < service.shard_count:
                # A plan needs all pages, and some are not known yet.
                continue
            self._record_moves(key, owners)
            notice = PlanNotice(*key, self._plan(key, service, owners))
            self._on_plan(notice)
            for record in self._member.directory.active():
                if record.host_id != self._member.host_id:
                    self._tasks.spawn(self._send_notice, record.host_id, notice)

    def _plan(self, key, service, owners) -> tuple[PlannedMove, ...]:
        """Return the moves that suit the measured load and the team's measure."""
        targets = self._granters.candidates(key)
        view = PlacementView(
            measure=self._configs.measure(key),
            now=self._clock.now(),
            owners=[owners[shard] for shard in range(service.shard_count)],
            loads=self._merged_loads(key, service),
            targets=[
                TargetView(target.target_id, float(target.slots)) for target in targets
            ],
            moved_at=self._moved_at.get(key, {}),
        )
        # Forced moves are left to the keeper, which knows when the old owner's grants
        # have lapsed.
        return tuple(
            PlannedMove(move.shard, move.target)
            for move in plan(view)
            if not move.forced
        )

    def _merged_loads(self, key: ServiceKey, service: ServiceConfig) -> list[float]:
        """Return the load of each shard, summed over recent reports of all hosts."""
        limit = self._clock.now() - MAX_REPORT_AGE_S
        known = self._reports.get(key, {})
        fresh = {host: entry for host, entry in known.items() if entry[0] > limit}
        self._reports[key] = fresh
        loads = merge((report for _, report in fresh.values()), service.shard_count)
        if sum(loads) < MIN_RATE * len(service.targets):
            # The load is noise; with zero loads the planner evens out shard counts.
            return [0.0] * service.shard_count
        return loads

    def _record_moves(self, key, owners):
        """Record when shards changed owner; the planner lets them rest for a while."""
        now = self._clock.now()
        before = self._owners.get(key, owners)
        moved = self._moved_at.setdefault(key, {})
        for shard, owner in owners.items():
            if before.get(shard, owner) != owner:
                moved[shard] = now
        self._owners[key] = owners

    def _planner(self, key: ServiceKey) -> HostId | None:
        """Return the host that plans for a service, or None if it is not known."""
        return self._routes.keeper_of(PageKey(*key, FIRST_PAGE))

    def _send_notice(self, host_id, notice):
        """Send one notice; a lost one is superseded by the next."""
        record = self._member.directory.get(host_id)
        if record is None:
            return
        deadline = Instant(self._clock.now() + CALL_TIMEOUT_S)
        try:
            self._link.call(record.address, notice, deadline)
        except PeerError as exc:
            _LOG.debug("balancer: a notice was lost", extra={"cause": str(exc)})


def _load_imbalance(owners, loads):
    """Return the load of the busiest owner divided by the mean over all owners."""
    by_owner: dict[TargetId, float] = {}
    for shard, owner in owners.items():
        by_owner[owner] = by_owner.get(owner, 0.0) + loads[shard]
    total = sum(by_owner.values())
    return max(by_owner.values()) * len(by_owner) / total if total else 1.0
