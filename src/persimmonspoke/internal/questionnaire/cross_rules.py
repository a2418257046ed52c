"""Rules across the services of a questionnaire, which may be malformed."""

from collections.abc import Iterator
from typing import Any

from pydantic import ValidationError

from persimmonspoke.internal.checked_yaml import CrossFault
from persimmonspoke.internal.questionnaire.target_answers import (
    TargetAnswer,
    TargetRange,
)

IndexedRows = list[tuple[int, dict[str, Any]]]


def mapping_entries(raw: dict[str, Any], name: str) -> IndexedRows:
    """Return the entries of the list `name` that are mappings, with their indices."""
    entries = raw.get(name)
    if not isinstance(entries, list | tuple):
        return []
    return [(i, row) for i, row in enumerate(entries) if isinstance(row, dict)]


def repeated_names(rows: IndexedRows) -> Iterator[CrossFault]:
    """Yield a fault for each service whose name an earlier service has."""
    seen = set()
    for i, row in rows:
        name = row.get("name")
        if not isinstance(name, str):
            continue
        if name in seen:
            yield CrossFault(("services", i, "name"), name, "choose a name not in use")
        seen.add(name)


def prefix_faults(rows: IndexedRows) -> Iterator[CrossFault]:
    """Yield a fault for each prefix that overlaps with an earlier service's."""
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


def target_faults(rows: IndexedRows) -> Iterator[CrossFault]:
    """Yield a fault for each target whose id or address an earlier target has."""
    ids, addresses = set(), set()
    for path, target in _valid_targets(rows):
        if target.id in ids:
            yield CrossFault(path, target.id, "choose an id that no target has yet")
        address = (target.ip, target.port)
        if address in addresses:
            address_text = f"{target.ip}:{target.port}"
            yield CrossFault(
                path, address_text, "list each address for one target only"
            )
        ids.add(target.id)
        addresses.add(address)


def _valid_targets(rows):
    """Yield the path and the target of each valid entry, with ranges expanded."""
    for i, row in rows:
        for field, kind in (("targets", TargetAnswer), ("target_ranges", TargetRange)):
            for j, entry in mapping_entries(row, field):
                try:
                    entry_model = kind.model_validate(entry)
                except ValidationError:
                    continue  # The check of the field itself reports the fault.
                expanded = (
                    entry_model.targets() if kind is TargetRange else (entry_model,)
                )
                for target in expanded:
                    yield ("services", i, field, j), target
