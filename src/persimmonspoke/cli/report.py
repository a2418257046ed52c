"""Output of the commands: JSON values for scripts, or lines of text."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from persimmonspoke.cli.exit_status import ExitStatus
from persimmonspoke.errors import AdminRefused, InvalidSettings, NotInForce


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of a command.

    Attributes
    ----------
    value : dict
        The result, printed as JSON with ``--json``.
    lines : tuple of str
        The result as text, printed without ``--json``.
    status : ExitStatus
        Status with which the command ends after printing the report.
    """

    value: dict[str, Any]
    lines: tuple[str, ...]
    status: ExitStatus = ExitStatus.OK

    def text(self, as_json: bool) -> str:
        """Return the output of the command."""
        if as_json:
            return json.dumps(self.value, indent=2)
        return "\n".join(self.lines)


def table(rows: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    """Return `rows` as lines with aligned columns."""
    rows = [tuple(map(str, row)) for row in rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return tuple(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def change_lines(changes: list[dict[str, Any]]) -> tuple[str, ...]:
    """Return one line for each field that differs."""
    return tuple(
        f"  {row['path']}: {row['before']!r} -> {row['after']!r}" for row in changes
    )


@singledispatch
def failure_details(exc: Exception) -> dict[str, Any]:
    """Return the fields of a failure besides its type and message."""
    return {}


@failure_details.register
def _(exc: InvalidSettings):
    rows = [
        {"path": row.path, "value": row.value, "remedy": row.remedy}
        for row in exc.faults
    ]
    return {"faults": rows}


@failure_details.register
def _(exc: NotInForce):
    return {"hosts": list(exc.hosts)}


@failure_details.register
def _(exc: AdminRefused):
    return exc.failure.details


def failure_report(exc: Exception) -> Report:
    """Return the report of a failed command."""
    name = exc.failure.type if isinstance(exc, AdminRefused) else type(exc).__name__
    details = failure_details(exc)
    error = {"type": name, "message": str(exc), **details}
    lines = (f"persimmonspoke: {exc}",)
    if "changes" in details:
        lines += ("Your questionnaire would change:",)
        lines += change_lines(details["changes"]) or ("  nothing",)
    return Report({"error": error}, lines)
