"""The groups and endpoints of all teams, from their newest configurations."""

from persimmonspoke.ids import Instant, TargetId, TeamId
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.scheduling.api import Ticket
from persimmonspoke.internal.scheduling.groups import (
    Choice,
    Endpoint,
    Group,
    GroupId,
    ServiceKey,
    endpoint_of,
    make_groups,
)


class GroupDirectory:
    """Finds the group of each candidate target, and the endpoints that are leaving.

    Attributes
    ----------
    groups : dict of GroupId to Group
        The groups of all teams.
    """

    def __init__(self):
        self.groups: dict[GroupId, Group] = {}
        self._configs: dict[TeamId, TeamConfig] = {}
        self._group_of: dict[Endpoint, GroupId] = {}
        self._choices: dict[ServiceKey, dict[TargetId, Choice]] = {}
        self._leaving: dict[TeamId, dict[TargetId, Instant]] = {}

    def configure(self, cfg: TeamConfig) -> None:
        """Apply the newest configuration of one team."""
        self._configs[cfg.team] = cfg
        self._rebuild()

    def remove_team(self, team: TeamId) -> None:
        """Remove a team that no longer exists."""
        self._configs.pop(team, None)
        self._leaving.pop(team, None)
        self._rebuild()

    def weights(self) -> dict[TeamId, int]:
        """Return the weight of each team."""
        return {cfg.team: cfg.weight for cfg in self._configs.values()}

    def set_leaving(
        self, team: TeamId, targets: frozenset[TargetId], now: Instant
    ) -> None:
        """Replace the set of leaving targets of `team`."""
        known = self._leaving.get(team, {})
        self._leaving[team] = {target: known.get(target, now) for target in targets}

    def choices(
        self, ticket: Ticket, candidates: tuple[TargetId, ...]
    ) -> dict[GroupId, tuple[Choice, ...]]:
        """Return those of `candidates` that are known, by group."""
        known = self._choices.get(ServiceKey(ticket.team, ticket.service.service), {})
        found: dict[GroupId, tuple[Choice, ...]] = {}
        for target_id in candidates:
            choice = known.get(target_id)
            if choice is not None:
                group_id = self._group_of[choice.endpoint]
                found[group_id] = (*found.get(group_id, ()), choice)
        return found

    def closed(
        self, now: Instant, sole_owner_grace_s: float
    ) -> dict[GroupId, frozenset[Endpoint]]:
        """Return the endpoints of each group that get no new work at `now`.

        Endpoints of a pool are closed as soon as they leave, sole owners of keys
        `sole_owner_grace_s` later.
        """
        leaving = self._leaving_endpoints()
        closed = {}
        for group_id, group in self.groups.items():
            latest = now if group.pooled else now - sole_owner_grace_s
            closed[group_id] = frozenset(
                e for e in group.slots if e in leaving and leaving[e] <= latest
            )
        return closed

    def _leaving_endpoints(self):
        """Return the leaving endpoints, with the instant when each began to leave."""
        found: dict[Endpoint, Instant] = {}
        for key, choices in self._choices.items():
            for target_id, since in self._leaving.get(key.team, {}).items():
                if target_id in choices:
                    found[choices[target_id].endpoint] = since
        return found

    def _rebuild(self):
        groups = make_groups(self._configs.values())
        self.groups = {group.group_id: group for group in groups}
        self._group_of = {e: group.group_id for group in groups for e in group.slots}
        self._choices = {
            ServiceKey(cfg.team, service.service): {
                target.target_id: Choice(endpoint_of(target), target.target_id)
                for target in service.targets
            }
            for cfg in self._configs.values()
            for service in cfg.services
        }
