"""Differences between two questionnaires, field by field."""

from dataclasses import dataclass
from typing import Any

from persimmonspoke.internal.questionnaire.questions import Questionnaire

_ABSENT = None
_NAMING_FIELDS = ("name", "id", "id_prefix")


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs; the value of an absent field is None."""

    path: str
    before: Any
    after: Any

    def __str__(self):
        return f"{self.path}: {self.before!r} -> {self.after!r}"


def changes_between(
    before: Questionnaire | None, after: Questionnaire
) -> tuple[Change, ...]:
    """Return every field that differs, sorted by path.

    List entries are matched by name, so an entry that only moved within its list
    does not count as changed.
    """
    old = {} if before is None else _flatten("", before.model_dump(mode="json"))
    new = _flatten("", after.model_dump(mode="json"))
    return tuple(
        Change(path, old.get(path, _ABSENT), new.get(path, _ABSENT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path, _ABSENT) != new.get(path, _ABSENT)
    )


def _flatten(path, value):
    """Return the leaf values of nested `value` by path."""
    if isinstance(value, dict):
        pairs = [(f"{path}.{name}" if path else name, v) for name, v in value.items()]
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        pairs = [(f"{path}[{_entry_name(entry)}]", entry) for entry in value]
    else:
        return {path: value}
    leaves = {}
    for leaf_path, entry in pairs:
        leaves.update(_flatten(leaf_path, entry))
    return leaves


def _entry_name(entry):
    """Return the name or id of a list entry."""
    return next(entry[field] for field in _NAMING_FIELDS if field in entry)
