"""Router for servers that own keys exclusively.

Public names: `Questionnaire` and `read_questionnaire` validate a team's answers,
`generate` derives a `TeamConfig` from them, `Settings` are the settings of a daemon,
and `PersimmonspokeError` is the base class of all exceptions.  All else is internal.
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

    The daemon monkey-patches sockets before it imports the libraries that these
    modules use, so importing the package must not import any of them.
    """
    if name not in _HOMES:
        raise AttributeError(f"persimmonspoke has no public name {name}")
    return getattr(importlib.import_module(_HOMES[name]), name)
