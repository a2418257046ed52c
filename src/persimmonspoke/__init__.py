"""Router for servers that own keys exclusively.

The public face: `Questionnaire` and `read_questionnaire` check a team's answers,
`generate` makes the configuration from them, `Settings` are a daemon's, and
`PersimmonspokeError` is the root of all failures.  All else is internal.
"""

import importlib
from typing import Any

__version__ = "0.1.0"

_QUESTIONS = "persimmonspoke.internal.questionnaire.questions"
_HOMES = {
    "PersimmonspokeError": "persimmonspoke.errors",
    "Questionnaire": _QUESTIONS,
    "Settings": "persimmonspoke.daemon.settings",
    "TeamConfig": "persimmonspoke.internal.questionnaire.configuration",
    "generate": "persimmonspoke.internal.questionnaire.generate",
    "read_questionnaire": _QUESTIONS,
}

__all__ = ["__version__", *_HOMES]


def __getattr__(name: str) -> Any:
    """Import a public name on first use.

    The daemon has to patch sockets before the libraries behind these are imported,
    so importing the package alone must import none of them.
    """
    if name not in _HOMES:
        raise AttributeError(f"persimmonspoke has no public name {name}")
    return getattr(importlib.import_module(_HOMES[name]), name)
