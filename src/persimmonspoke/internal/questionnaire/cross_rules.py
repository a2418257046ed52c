"""Rules between the services of a questionnaire, which may be malformed."""

from collections.abc import Iterator
from typing import Any

from pydantic import ValidationError

from persimmonspoke.internal.checked_yaml import CrossFault
from persimmonspoke.internal.questionnaire.target_answers import (
    TargetAnswer,
    TargetRange,
)

Rows = list[tuple[int, dict[str, Any]]]


def rows_of(raw: dict[str, Any], name: str) -> Rows:
    """Return the well-formed entries of a list, with their positions."""
    entries = raw.get(name)
    if not isinstance(entries, list | tuple):
        return []
    return [(i, row) for i, row in enumerate(entries) if isinstance(row, dict)]


def repeated_names(rows: Rows) -> Iterator[CrossFault]:
    """Yield a fault for each service that has the name of an earlier one."""
    seen = set()
    for i, row in rows:
        name = row.get("name")
        if not isinstance(name, str):
            continue
        if name in seen:
            yield CrossFault(("services", i, "name"), name, "choose a name not in use")
        seen.add(name)


def prefix_faults(rows: Rows) -> Iterator[CrossFault]:
    """Yield a fault for each prefix that matches paths of an earlier service."""
    seen = []
    for i, row in rows:
        prefix = row.get("path_prefix")
        if not isinstance(prefix, str):
            continue
        path = ("services", i, "path_prefix")
        for other in seen:
            if prefix.startswith(other) or other.startswith(prefix):
                yield CrossFault(path, prefix, f"choose one that {other} can't match")
        seen.append(prefix)


def target_faults(rows: Rows) -> Iterator[CrossFault]:
    """Yield a fault for each id or address that an earlier target has."""
    ids, addresses = set(), set()
    for path, target in _valid_targets(rows):
        if target.id in ids:
            yield CrossFault(path, target.id, "choose an id that no target has yet")
        address = (target.ip, target.port)
        if address in addresses:
            shown = f"{target.ip}:{target.port}"
            yield CrossFault(path, shown, "list each address for one target only")
        ids.add(target.id)
        addresses.add(address)


def _valid_targets(rows):
    """Yield each well-formed target with its path, ranges expanded."""
    for i, row in rows:
        for field, kind in (("targets", TargetAnswer), ("target_ranges", TargetRange)):
            for j, entry in rows_of(row, field):
                try:
                    found = kind.model_validate(entry)
                except ValidationError:
                    continue  # Reported where the field itself is checked.
                many = found.targets() if kind is TargetRange else (found,)
                for target in many:
                    yield ("services", i, field, j), target
