"""Handlers of the administration API's endpoints."""

import logging
from collections import Counter
from dataclasses import asdict
from functools import singledispatch
from typing import Any

from persimmonspoke.errors import UnknownService, UnknownTarget
from persimmonspoke.ids import ServiceId, TargetId, TeamId, WriteId
from persimmonspoke.internal.admin.api import (
    Assignments,
    Members,
    Node,
    UnreachableHost,
)
from persimmonspoke.internal.admin.messages import HostStatus
from persimmonspoke.internal.admin.request import AdminRequest, AdminResponse, Principal
from persimmonspoke.internal.ownership.page import Page
from persimmonspoke.internal.questionnaire.canonical import to_text
from persimmonspoke.internal.questionnaire.drains import Drains
from persimmonspoke.internal.questionnaire.generate import questionnaire_target_id
from persimmonspoke.internal.questionnaire.questions import read_questionnaire
from persimmonspoke.internal.questionnaire.teams import Teams

log = logging.getLogger(__name__)

YAML_TYPE = "application/yaml"
BODY_NAME = "the body"


class HostHandlers:
    """Handlers of endpoints about this host and the other hosts."""

    def __init__(self, node: Node, members: Members):
        self._node = node
        self._members = members

    def health(self, req: AdminRequest) -> AdminResponse:
        """Return a response that shows that the process is alive."""
        return AdminResponse({"alive": True})

    def ready(self, req: AdminRequest) -> AdminResponse:
        """Return whether this host accepts new requests; used by load balancers."""
        if self._node.ready():
            return AdminResponse({"ready": True})
        return AdminResponse({"ready": False}, "503 Service Unavailable")

    def status(self, req: AdminRequest) -> AdminResponse:
        """Return all live hosts with the generations that they have in force."""
        found = self._members.statuses(req.deadline)
        return AdminResponse(
            {"hosts": [host_row(entry, req.principal) for entry in found]}
        )

    def dump(self, req: AdminRequest) -> AdminResponse:
        """Return the state of this daemon."""
        return AdminResponse(self._node.dump())

    def drain(self, req: AdminRequest) -> AdminResponse:
        """Take this host out of service."""
        self._node.drain()
        log.info("admin: host drained")
        return AdminResponse({"draining": True})

    def undrain(self, req: AdminRequest) -> AdminResponse:
        """Put this host back into service."""
        self._node.undrain()
        log.info("admin: host undrained")
        return AdminResponse({"draining": False})


class TeamHandlers:
    """Handlers of endpoints about one team."""

    def __init__(self, teams: Teams, drains: Drains, assignments: Assignments):
        self._teams = teams
        self._drains = drains
        self._assignments = assignments

    def questionnaire(self, req: AdminRequest) -> AdminResponse:
        """Return the accepted questionnaire, with its generation as the ETag."""
        record = self._teams.read(_team_id(req), req.deadline)
        generation = record.config.generation
        body = {
            "team": record.config.team,
            "generation": generation,
            "questionnaire_hash": record.config.questionnaire_hash,
            "questionnaire": record.questionnaire.model_dump(mode="json"),
        }
        return AdminResponse(body, headers=(("ETag", f'"{generation}"'),))

    def apply(self, req: AdminRequest) -> AdminResponse:
        """Replace the generation in If-Match by the questionnaire in the body."""
        expected, key = req.expected_generation(), req.idempotency_key()
        answers = read_questionnaire(req.text(), BODY_NAME)
        # A script may reuse a key for another change; that counts as another attempt.
        attempt = f"{key}.{expected}.{answers.digest()}" if key else None
        accepted = self._teams.apply(
            _team_id(req), answers, expected, req.deadline, attempt and WriteId(attempt)
        )
        log.info(
            "admin: questionnaire accepted",
            extra={"team": accepted.team, "generation": accepted.generation},
        )
        return AdminResponse(
            asdict(accepted), headers=(("ETag", f'"{accepted.generation}"'),)
        )

    def diff(self, req: AdminRequest) -> AdminResponse:
        """Return what the questionnaire in the body would change."""
        answers = read_questionnaire(req.text(), BODY_NAME)
        generation, changes = self._teams.diff(_team_id(req), answers, req.deadline)
        rows = [asdict(change) for change in changes]
        return AdminResponse({"generation": generation, "changes": rows})

    def configuration(self, req: AdminRequest) -> AdminResponse:
        """Return the generated configuration as YAML."""
        config = self._teams.read(_team_id(req), req.deadline).config
        return AdminResponse(to_text(config), headers=(("Content-Type", YAML_TYPE),))

    def assignments(self, req: AdminRequest) -> AdminResponse:
        """Return the pages of one service; ``shards=1`` adds each shard's owner."""
        _, service = self._service(req)
        with_shards = req.flag("shards")
        pages = self._assignments.pages(_team_id(req), service.service, req.deadline)
        owners = Counter(entry.owner for page in pages for entry in page.assignments)
        body = {
            "team": _team_id(req),
            "service": service.service,
            "divided_by_key": service.divided,
            "shard_count": service.shard_count,
            "shards_by_owner": dict(sorted(owners.items())),
            "pages": [page_row(page, with_shards) for page in pages],
        }
        return AdminResponse(body)

    def drains(self, req: AdminRequest) -> AdminResponse:
        """Return the drained targets of the team."""
        self._teams.read(_team_id(req), req.deadline)
        return _drains_response(self._drains.read(_team_id(req), req.deadline))

    def drain(self, req: AdminRequest) -> AdminResponse:
        """Stop all hosts from giving one target new work, until it is undrained."""
        config, target = self._target(req)
        drained = self._drains.drain(config, target, req.deadline)
        log.info("admin: target drained", extra={"target": target})
        return _drains_response(drained)

    def undrain(self, req: AdminRequest) -> AdminResponse:
        """Let all hosts give one target new work again."""
        config, target = self._target(req)
        drained = self._drains.undrain(config, target, req.deadline)
        log.info("admin: target undrained", extra={"target": target})
        return _drains_response(drained)

    def _service(self, req):
        """Return the team's configuration and the service in the path."""
        config = self._teams.read(_team_id(req), req.deadline).config
        name = ServiceId(req.names["service"])
        for service in config.services:
            if service.service == name:
                return config, service
        raise UnknownService(f"team {_team_id(req)} has no service {name}")

    def _target(self, req):
        """Return the team's configuration and the id of the target in the path."""
        config, service = self._service(req)
        for target in service.targets:
            if questionnaire_target_id(target.target_id) == req.names["target"]:
                return config, target.target_id
        raise UnknownTarget(f"the service has no target {req.names['target']}")


@singledispatch
def host_row(entry: Any, principal: Principal) -> dict[str, Any]:
    """Return the fields of one host that `principal` may see, as JSON values."""
    raise TypeError(f"{type(entry).__name__} is not a host status")


@host_row.register
def _(entry: UnreachableHost, principal):
    return {"host_id": entry.host_id, "reachable": False, "reason": entry.reason}


@host_row.register
def _(entry: HostStatus, principal):
    return {
        "host_id": entry.host_id,
        "reachable": True,
        "data_centre": entry.data_centre,
        "ready": entry.ready,
        "draining": entry.draining,
        "in_force": {
            row.team: row.generation
            for row in entry.in_force
            if principal.may_see(row.team)
        },
    }


def page_row(page: Page, with_shards: bool) -> dict[str, Any]:
    """Return one page as JSON values."""
    row = {
        "page": page.key.page,
        "keeper": page.keeper,
        "epoch": page.epoch,
        "first_shard": page.first_shard,
        "shard_count": len(page.assignments),
    }
    if with_shards:
        row["owners"] = [entry.owner for entry in page.assignments]
    return row


def _team_id(req):
    """Return the id of the team in the path."""
    return TeamId(req.names["team"])


def _drains_response(targets: frozenset[TargetId]) -> AdminResponse:
    """Return a response that lists the drained targets, in order."""
    return AdminResponse({"drained_targets": sorted(targets)})
