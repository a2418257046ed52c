"""Generation of a team's configuration from its questionnaire.

The same questionnaire and the same previous configuration always give the same
result.  The previous one matters for what can't change while keys are owned: the
number of shards of a service and the way its requests yield their keys.
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
    """Return the configuration that follows `previous`, which is None at first.

    Raises
    ------
    UnsafeChange
        A service that was divided by key is divided otherwise or not at all, or
        the reverse; the message lists every such service.
    """
    shapes = _former_shapes(previous)
    _refuse_unsafe(answers, shapes)
    services = tuple(
        _service(answers.team, answer, shapes.get(ServiceId(answer.name)))
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
        retired=tuple(shapes[name] for name in sorted(shapes) if name not in present),
    )


def shard_count_for(target_count: int) -> int:
    """Return the number of shards of a new service with `target_count` targets."""
    wanted = max(MIN_SHARDS, SHARDS_PER_TARGET * target_count)
    return min(MAX_SHARDS, 1 << (wanted - 1).bit_length())


def target_id_of(team: str, target: TargetAnswer) -> TargetId:
    """Return the id under which the router knows `target`.

    The last part stands for the process behind the name.  A name that gets another
    address is then another target, to hosts with the old configuration as well as
    to those with the new one, so that neither takes one process for the other.
    """
    process = f"{target.ip} {target.port} {target.checks_fence}"
    return TargetId(f"{team}.{target.id}.{xxhash.xxh32_hexdigest(process)}")


def questionnaire_name(target_id: TargetId) -> str:
    """Return the id that the questionnaire gives to a target."""
    return target_id.split(".")[1]


def _former_shapes(previous):
    """Return what each service that ever existed must keep to."""
    if previous is None:
        return {}
    shapes = {entry.service: entry for entry in previous.retired}
    for service in previous.services:
        shapes[service.service] = RetiredService(
            service=service.service,
            key=service.key,
            shard_count=service.shard_count,
            shards_per_page=service.shards_per_page,
        )
    return shapes


def _refuse_unsafe(answers, shapes):
    """Raise `UnsafeChange` if a service would divide its keys in another way."""
    faults = []
    for answer in answers.services:
        shape = shapes.get(ServiceId(answer.name))
        if shape is not None and shape.key != _key_rule(answer):
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


def _service(team, answer, shape):
    """Return the configuration of one service."""
    targets = tuple(_target(team, target) for target in answer.all_targets())
    shard_count = shard_count_for(len(targets)) if answer.divided_by_key else 0
    return ServiceConfig(
        service=ServiceId(answer.name),
        path_prefix=answer.path_prefix,
        key=_key_rule(answer),
        shard_count=shape.shard_count if shape else shard_count,
        shards_per_page=shape.shards_per_page if shape else SHARDS_PER_PAGE,
        protected_methods=answer.all_protected(),
        precedence=answer.precedence,
        protected_precedence=answer.protected_precedence,
        wait_ms=answer.wait_ms,
        weight=answer.weight,
        max_body_bytes=answer.max_body_bytes,
        targets=tuple(sorted(targets, key=lambda target: target.target_id)),
    )


def _key_rule(answer):
    """Return how requests of a service yield their keys, if they do."""
    if answer.key is None:
        return None
    by_path = answer.key.source is KeySource.PATH
    name = str(answer.key.segment) if by_path else answer.key.name
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
