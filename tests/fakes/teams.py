"""Values of team objects, as stored by an accepted apply."""

from persimmonspoke.internal.questionnaire.canonical import config_to_value
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.questions import digest


def team_value(config: TeamConfig) -> dict:
    """Return the stored value for `config`, with an empty questionnaire."""
    sealed = config.model_copy(update={"questionnaire_hash": digest({})})
    return {
        "team": config.team,
        "generation": config.generation,
        "questionnaire": {},
        "config": config_to_value(sealed),
        "write_id": f"generation-{config.generation}",
    }
