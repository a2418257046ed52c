"""Sample objects of a given size, as in a large fleet."""

from persimmonspoke.ids import Epoch, HostId, PageId, ServiceId, ShardId, TeamId
from persimmonspoke.internal.ownership.page import Assignment, Page, PageKey
from persimmonspoke.internal.questionnaire.canonical import config_to_value
from persimmonspoke.internal.questionnaire.generate import generate
from persimmonspoke.internal.questionnaire.questions import Questionnaire, digest
from persimmonspoke.internal.store.api import StoredObject

SHARDS_PER_PAGE = 256
TARGETS = 40


def sample_page(number: int, shards: int = SHARDS_PER_PAGE) -> Page:
    """Return a page whose shards are spread over targets with realistic ids."""
    first = number * shards
    assignments = tuple(
        Assignment(f"team.lookup-desk-{shard % TARGETS:02}.c5c568e8", Epoch(12))
        for shard in range(first, first + shards)
    )
    key = PageKey(TeamId("team"), ServiceId("lookup-desk"), PageId(number))
    keeper = HostId("host-0001.0123456789ab")
    return Page(key, keeper, Epoch(12), ShardId(first), assignments)


def sample_team(targets: int) -> StoredObject:
    """Return the stored object of a team with that many targets."""
    answers = Questionnaire.model_validate(
        {
            "team": "team",
            "weighs_most": "imbalance",
            "services": [
                {
                    "name": "lookup-desk",
                    "path_prefix": "/lookup-desk/",
                    "divided_by_key": True,
                    "key": {"source": "path", "segment": 0},
                    "precedence": "normal",
                    "wait_ms": 1000,
                    "max_body_bytes": 1000,
                    "targets": [_target(number) for number in range(targets)],
                }
            ],
        }
    )
    questionnaire = answers.model_dump(mode="json")
    config = generate(answers, None)
    config = config.model_copy(update={"questionnaire_hash": digest(questionnaire)})
    value = {
        "team": "team",
        "generation": 1,
        "questionnaire": questionnaire,
        "config": config_to_value(config),
        "write_id": "0",
    }
    return StoredObject("teams/team", value, 1)


def _target(number):
    return {
        "id": f"t-{number}",
        "ip": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        "port": 9000,
        "data_centre": "dc1",
        "slots": 3,
        "connections": 110,
        "checks_fence": True,
    }
