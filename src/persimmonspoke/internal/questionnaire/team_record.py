"""A team's object in the store."""

from dataclasses import dataclass

from pydantic import ValidationError

from persimmonspoke.errors import ConfigurationEdited
from persimmonspoke.ids import Version, WriteId
from persimmonspoke.internal.questionnaire.canonical import seal, unseal
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.questions import Questionnaire, digest
from persimmonspoke.internal.store.api import StoredObject, Value

TEAMS_PREFIX = "teams/"


@dataclass(frozen=True, slots=True)
class TeamRecord:
    """A team's accepted answers and what was generated from them.

    Attributes
    ----------
    recent_write_ids : tuple of WriteId
        Ids of the last writes, the newest last.  They tell a writer whose answer
        was lost that its write took effect, even if another one followed.
    """

    questionnaire: Questionnaire
    config: TeamConfig
    recent_write_ids: tuple[WriteId, ...]
    version: Version

    def to_value(self) -> Value:
        """Return the JSON object that the store keeps."""
        return {
            "team": self.config.team,
            "generation": self.config.generation,
            "questionnaire": self.questionnaire.model_dump(mode="json"),
            "questionnaire_hash": self.config.questionnaire_hash,
            "config": seal(self.config),
            "write_id": self.recent_write_ids[-1],
            "recent_write_ids": list(self.recent_write_ids),
        }

    @classmethod
    def from_stored(cls, stored: StoredObject) -> "TeamRecord":
        """Read the object that the store keeps.

        Raises
        ------
        ConfigurationEdited
            Its parts don't fit together, so it was changed by other means.
        """
        config = read_config(stored)
        try:
            questionnaire = Questionnaire.model_validate(stored.value["questionnaire"])
            write_ids = tuple(
                WriteId(name) for name in stored.value["recent_write_ids"]
            )
        except (KeyError, TypeError, ValidationError) as exc:
            raise ConfigurationEdited(f"{stored.key} is no team: {exc}") from exc
        return cls(questionnaire, config, write_ids, stored.version)


def read_config(stored: StoredObject) -> TeamConfig:
    """Return the configuration in a team's object; all that an entry host needs.

    Raises
    ------
    ConfigurationEdited
        The object was changed by other means than `Teams.apply`.
    """
    value = stored.value
    config = unseal(value.get("config"))
    told = (value.get("team"), value.get("generation"))
    if told != (config.team, config.generation):
        raise ConfigurationEdited(f"{stored.key} and its configuration differ")
    if digest(value.get("questionnaire")) != config.questionnaire_hash:
        raise ConfigurationEdited(f"{stored.key} has another questionnaire")
    return config
