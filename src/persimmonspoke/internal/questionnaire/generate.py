"""Generation of a team's configuration from its questionnaire.

Generation is deterministic.  The previous configuration determines what must not
change while keys are owned: the number of shards of a service, and how keys are
extracted from its requests.
"""

import xxhash

from persimmonspoke.errors import UnsafeChange
from persimmonspoke.ids import Generation, ServiceId, TargetId, TeamId
from persimmonspoke.internal.checked_yaml import Fault
from persimmonspoke.internal.questionnaire.configuration import (
    KeyRule,
    KeySource,
    RetiredService,
    ServiceConfig,
    TargetConfig,
    TeamConfig,
)
from persimmonspoke.internal.questionnaire.questions import (
    Questionnaire,
    TargetAnswer,
)

NO_GENERATION = Generation(0)
SHARDS_PER_TARGET = 64
MIN_SHARDS = 1024
MAX_SHARDS = 65536
SHARDS_PER_PAGE = 256


def generate(answers: Questionnaire, previous: TeamConfig | None) -> TeamConfig:
    """Return the configuration that follows `previous`, None for a new team.

    Raises
    ------
    UnsafeChange
        The key of a current or removed service would be added, removed or extracted
        in another way; the message lists every such service.
    """
    fixed_by_service = _fixed_fields_by_service(previous)
    _check_keys_unchanged(answers, fixed_by_service)
    services = tuple(
        _service(answers.team, answer, fixed_by_service.get(ServiceId(answer.name)))
        for answer in sorted(answers.services, key=lambda answer: answer.name)
    )
    present = {service.service for service in services}
    return TeamConfig(
        team=TeamId(answers.team),
        generation=Generation((previous.generation if previous else 0) + 1),
        questionnaire_hash=answers.digest(),
        measure=answers.weighs_most,
        weight=answers.weight,
        services=services,
        retired=tuple(
            fixed_by_service[name]
            for name in sorted(fixed_by_service)
            if name not in present
        ),
    )


def shard_count_for(target_count: int) -> int:
    """Return the number of shards of a new service with `target_count` targets."""
    wanted = max(MIN_SHARDS, SHARDS_PER_TARGET * target_count)
    return min(MAX_SHARDS, 1 << (wanted - 1).bit_length())


def target_id_of(team: str, target: TargetAnswer) -> TargetId:
    """Return the id under which the router knows `target`.

    The last part is a hash that identifies the process.  A target that keeps its name
    but gets another address has another id, so that hosts with the old configuration
    and hosts with the new one never confuse the two processes.
    """
    process = f"{target.ip} {target.port} {target.checks_fence}"
    return TargetId(f"{team}.{target.id}.{xxhash.xxh32_hexdigest(process)}")


def questionnaire_target_id(target_id: TargetId) -> str:
    """Return the target's id in the questionnaire."""
    return target_id.split(".")[1]


def _fixed_fields_by_service(previous):
    """Return the fields that must not change, for each service that ever existed."""
    if previous is None:
        return {}
    fixed_by_service = {entry.service: entry for entry in previous.retired}
    for service in previous.services:
        fixed_by_service[service.service] = RetiredService(
            service=service.service,
            key=service.key,
            shard_count=service.shard_count,
            shards_per_page=service.shards_per_page,
        )
    return fixed_by_service


def _check_keys_unchanged(answers, fixed_by_service):
    """Raise `UnsafeChange` if a service's key would be extracted in another way."""
    faults = []
    for answer in answers.services:
        fixed = fixed_by_service.get(ServiceId(answer.name))
        if fixed is not None and fixed.key != _key_rule(answer):
            faults.append(
                Fault(
                    f"services.{answer.name}.key",
                    "not as before",
                    "hosts that differ on a request's key could give it two owners; "
                    "keep the key as it was, or use a new service name",
                )
            )
    if faults:
        raise UnsafeChange("\n".join(map(str, faults)), faults)


def _service(team, answer, fixed):
    """Return the configuration of one service."""
    targets = tuple(_target(team, target) for target in answer.all_targets())
    shard_count = shard_count_for(len(targets)) if answer.divided_by_key else 0
    return ServiceConfig(
        service=ServiceId(answer.name),
        path_prefix=answer.path_prefix,
        key=_key_rule(answer),
        shard_count=fixed.shard_count if fixed else shard_count,
        shards_per_page=fixed.shards_per_page if fixed else SHARDS_PER_PAGE,
        protected_methods=answer.all_protected(),
        precedence=answer.precedence,
        protected_precedence=answer.protected_precedence,
        wait_ms=answer.wait_ms,
        weight=answer.weight,
        max_body_bytes=answer.max_body_bytes,
        targets=tuple(sorted(targets, key=lambda target: target.target_id)),
    )


def _key_rule(answer):
    """Return how keys are extracted from a service's requests, None without a key."""
    if answer.key is None:
        return None
    in_path = answer.key.source is KeySource.PATH
    name = str(answer.key.segment) if in_path else answer.key.name
    return KeyRule(source=answer.key.source, name=name)


def _target(team, target):
    """Return the configuration of one target."""
    return TargetConfig(
        target_id=target_id_of(team, target),
        ip=target.ip,
        port=target.port,
        data_centre=target.data_centre,
        slots=target.slots,
        connections=target.connections,
        checks_fence=target.checks_fence,
    )
