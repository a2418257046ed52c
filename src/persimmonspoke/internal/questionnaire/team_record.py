"""The stored object of a team."""

from dataclasses import dataclass

from pydantic import ValidationError

from persimmonspoke.errors import ConfigurationEdited
from persimmonspoke.ids import Version, WriteId
from persimmonspoke.internal.questionnaire.canonical import (
    config_from_value,
    config_to_value,
)
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.questions import Questionnaire, digest
from persimmonspoke.internal.store.api import StoredObject, Value

TEAMS_PREFIX = "teams/"


@dataclass(frozen=True, slots=True)
class TeamRecord:
    """A team's accepted questionnaire and the configuration generated from it.

    Attributes
    ----------
    recent_write_ids : tuple of WriteId
        Ids of the last writes, the newest last.  From them a writer whose response
        was lost learns that its write took effect, even if another one followed.
    """

    questionnaire: Questionnaire
    config: TeamConfig
    recent_write_ids: tuple[WriteId, ...]
    version: Version

    def to_value(self) -> Value:
        """Return the JSON object to store."""
        return {
            "team": self.config.team,
            "generation": self.config.generation,
            "questionnaire": self.questionnaire.model_dump(mode="json"),
            "questionnaire_hash": self.config.questionnaire_hash,
            "config": config_to_value(self.config),
            "write_id": self.recent_write_ids[-1],
            "recent_write_ids": list(self.recent_write_ids),
        }

    @classmethod
    def from_stored(cls, stored: StoredObject) -> "TeamRecord":
        """Return the record in a stored object.

        Raises
        ------
        ConfigurationEdited
            The object is inconsistent, so it was not written by `Teams.apply`.
        """
        config = read_config(stored)
        try:
            questionnaire = Questionnaire.model_validate(stored.value["questionnaire"])
            write_ids = tuple(
                WriteId(name) for name in stored.value["recent_write_ids"]
            )
        except (KeyError, TypeError, ValidationError) as exc:
            raise ConfigurationEdited(
                f"{stored.key} is not a valid team object: {exc}"
            ) from exc
        return cls(questionnaire, config, write_ids, stored.version)


def read_config(stored: StoredObject) -> TeamConfig:
    """Return the configuration in a team's object, all that an entry host needs.

    Raises
    ------
    ConfigurationEdited
        The object is inconsistent, so it was not written by `Teams.apply`.
    """
    value = stored.value
    config = config_from_value(value.get("config"))
    named = (value.get("team"), value.get("generation"))
    if named != (config.team, config.generation):
        raise ConfigurationEdited(
            f"{stored.key} and its configuration differ in team or generation"
        )
    if digest(value.get("questionnaire")) != config.questionnaire_hash:
        raise ConfigurationEdited(
            f"{stored.key}: the questionnaire does not match its hash"
        )
    return config
