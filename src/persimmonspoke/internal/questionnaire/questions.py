"""The questionnaire: a team's answers about its services, keys and callers."""

import hashlib
import json
from collections.abc import Iterator
from typing import Annotated, Any

from pydantic import Field

from persimmonspoke.internal.checked_yaml import (
    CheckedModel,
    CrossFault,
    load_checked,
)
from persimmonspoke.internal.questionnaire.configuration import KeySource, Measure
from persimmonspoke.internal.questionnaire.cross_rules import (
    mapping_entries,
    prefix_faults,
    repeated_names,
    target_faults,
)
from persimmonspoke.internal.questionnaire.fields import (
    MAX_BODY_BYTES,
    MAX_PATH_SEGMENT,
    MAX_WAIT_MS,
    Count,
    FieldName,
    Flag,
    Method,
    Name,
    NamedPrecedence,
    Prefix,
)
from persimmonspoke.internal.questionnaire.target_answers import (
    TargetAnswer,
    TargetRange,
)

DEFAULT_PROTECTED = ("POST", "PUT", "PATCH", "DELETE")
DEFAULT_BODY_BYTES = 1 << 20


class KeyAnswer(CheckedModel):
    """The rule by which the key is extracted from a request.

    Attributes
    ----------
    segment : int or None
        For a key in the path: number of the segment after the prefix, from 0.
    name : str or None
        For a key in the query or a header: name of the parameter or header.
    """

    source: KeySource
    segment: Annotated[int, Field(strict=True, ge=0, le=MAX_PATH_SEGMENT)] | None = None
    name: FieldName | None = None

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault unless exactly the field that the source needs is given."""
        in_path = raw.get("source") == KeySource.PATH.value
        required, unused = ("segment", "name") if in_path else ("name", "segment")
        if raw.get(required) is None:
            yield CrossFault((required,), None, "say where in the source the key is")
        if raw.get(unused) is not None:
            yield CrossFault(
                (unused,), raw[unused], f"remove it; {required} is used here"
            )


class ServiceAnswer(CheckedModel):
    """One service.

    Attributes
    ----------
    path_prefix : str
        Starts and ends with ``/``.  In requests the team's name precedes it.
    protected_methods : tuple of str or None
        Methods that run at most once; by default `DEFAULT_PROTECTED`.
    treat_as_idempotent : tuple of str
        Methods to remove from the default, because the service makes them
        idempotent.
    protected_precedence : Precedence or None
        Precedence of protected requests; None if it is the same as of the others.
    wait_ms : int
        Longest time that callers tolerate from the request to its answer.
    weight : int
        Weight of the service among the team's services of the same precedence.
    """

    name: Name
    path_prefix: Prefix
    divided_by_key: Flag
    key: KeyAnswer | None = None
    protected_methods: tuple[Method, ...] | None = None
    treat_as_idempotent: tuple[Method, ...] = ()
    precedence: NamedPrecedence
    protected_precedence: NamedPrecedence | None = None
    wait_ms: Annotated[int, Field(strict=True, ge=1, le=MAX_WAIT_MS)]
    weight: Count = 1
    max_body_bytes: Annotated[int, Field(strict=True, ge=0, le=MAX_BODY_BYTES)] = (
        DEFAULT_BODY_BYTES
    )
    targets: tuple[TargetAnswer, ...] = ()
    target_ranges: tuple[TargetRange, ...] = ()

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield faults that concern several fields of one service."""
        divided, key = raw.get("divided_by_key"), raw.get("key")
        if divided is True and key is None:
            yield CrossFault(("key",), None, "say how a request yields its key")
        if divided is False and key is not None:
            yield CrossFault(("key",), key, "remove it, or set divided_by_key: true")
        if not raw.get("targets") and not raw.get("target_ranges"):
            yield CrossFault(("targets",), [], "list at least one target")
        if raw.get("protected_methods") is not None and raw.get("treat_as_idempotent"):
            yield CrossFault(
                ("treat_as_idempotent",),
                raw["treat_as_idempotent"],
                "remove it; protected_methods lists all methods that count",
            )

    def all_targets(self) -> tuple[TargetAnswer, ...]:
        """Return the individually listed targets, then those of the ranges."""
        ranges = (target for entry in self.target_ranges for target in entry.targets())
        return self.targets + tuple(ranges)

    def all_protected(self) -> tuple[str, ...]:
        """Return the methods that run at most once, sorted."""
        if self.protected_methods is not None:
            return tuple(sorted(set(self.protected_methods)))
        return tuple(sorted(set(DEFAULT_PROTECTED) - set(self.treat_as_idempotent)))


class Questionnaire(CheckedModel):
    """All answers of one team."""

    team: Name
    weighs_most: Measure
    weight: Count = 1
    services: tuple[ServiceAnswer, ...]

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield faults that concern several services, even if some are malformed."""
        if raw.get("services") == []:
            yield CrossFault(("services",), [], "describe at least one service")
        rows = mapping_entries(raw, "services")
        yield from repeated_names(rows)
        yield from prefix_faults(rows)
        yield from target_faults(rows)

    def digest(self) -> str:
        """Return a hash of the answers that does not depend on the file's layout."""
        return digest(self.model_dump(mode="json"))


def digest(value: Any) -> str:
    """Return the SHA-256 hash of a JSON value in canonical form."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), default=str)
    return hashlib.sha256(text.encode()).hexdigest()


def read_questionnaire(text: str, source_name: str) -> Questionnaire:
    """Return the questionnaire in `text`, or raise `InvalidSettings`."""
    return load_checked(Questionnaire, text, source_name)
