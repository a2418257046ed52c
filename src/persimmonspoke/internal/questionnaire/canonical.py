"""Serialization of a generated configuration, with a hash of its content."""

from typing import Any

import yaml
from pydantic import ValidationError

from persimmonspoke.errors import ConfigurationEdited
from persimmonspoke.internal.checked_yaml import parse_yaml
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.questionnaire.questions import digest

CONTENT_HASH = "content_hash"
_HEADER = """\
# Generated from the team's questionnaire.  Revise the questionnaire and generate
# this again; an edited configuration does not match its hash and is refused.
"""


def config_to_value(cfg: TeamConfig) -> dict[str, Any]:
    """Return `cfg` as a JSON object that includes a hash of its content."""
    body = cfg.model_dump(mode="json")
    return {CONTENT_HASH: digest(body), **body}


def config_from_value(value: Any) -> TeamConfig:
    """Return the configuration in `value`.

    Raises
    ------
    ConfigurationEdited
        `value` is not a configuration, or does not match its hash.
    """
    if not isinstance(value, dict):
        raise ConfigurationEdited("not a generated configuration")
    # The hash covers the fields as written.  Otherwise a field that a later version
    # adds with a default would make older configurations look edited.
    body = {name: entry for name, entry in value.items() if name != CONTENT_HASH}
    if digest(body) != value.get(CONTENT_HASH):
        raise ConfigurationEdited(
            "the configuration does not match its hash; generate it again from "
            "the questionnaire"
        )
    try:
        return TeamConfig.model_validate(body)
    except ValidationError as exc:
        raise ConfigurationEdited(f"not a generated configuration: {exc}") from exc


def to_text(cfg: TeamConfig) -> str:
    """Return `cfg` as YAML; equal configurations give identical text."""
    text = yaml.safe_dump(config_to_value(cfg), sort_keys=False, width=88)
    return _HEADER + text


def from_text(text: str, source_name: str) -> TeamConfig:
    """Return the configuration in the YAML document `text`.

    Raises
    ------
    InvalidSettings
        The document is not valid YAML.
    ConfigurationEdited
        It is not a configuration, or was edited after it was generated.
    """
    return config_from_value(parse_yaml(text, source_name))
