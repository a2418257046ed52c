"""What differs between two questionnaires, for people to read."""

from dataclasses import dataclass
from typing import Any

from persimmonspoke.internal.questionnaire.questions import Questionnaire

_ABSENT = None
_NAMING_FIELDS = ("name", "id", "id_prefix")


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs; None stands for a field that is absent."""

    path: str
    before: Any
    after: Any

    def __str__(self):
        return f"{self.path}: {self.before!r} -> {self.after!r}"


def changes_between(
    before: Questionnaire | None, after: Questionnaire
) -> tuple[Change, ...]:
    """Return every field that differs, sorted by path.

    Entries of lists are matched by their names, so an entry that moved within its
    list has not changed.
    """
    old = {} if before is None else _flat("", before.model_dump(mode="json"))
    new = _flat("", after.model_dump(mode="json"))
    return tuple(
        Change(path, old.get(path, _ABSENT), new.get(path, _ABSENT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path, _ABSENT) != new.get(path, _ABSENT)
    )


def _flat(path, value):
    """Return the leaves of `value` by path."""
    if isinstance(value, dict):
        pairs = [(f"{path}.{name}" if path else name, v) for name, v in value.items()]
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        pairs = [(f"{path}[{_name(entry)}]", entry) for entry in value]
    else:
        return {path: value}
    leaves = {}
    for inner, entry in pairs:
        leaves.update(_flat(inner, entry))
    return leaves


def _name(entry):
    """Return what names an entry of a list."""
    return next(entry[field] for field in _NAMING_FIELDS if field in entry)
