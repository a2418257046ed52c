"""Commands about configurations of the users' platform."""

import argparse
import json
from collections import Counter
from typing import Any

from persimmonspoke.cli.exit_status import ExitStatus
from persimmonspoke.cli.questionnaire_commands import read_file
from persimmonspoke.cli.report import Report, table
from persimmonspoke.errors import MalformedDocument, UnreadableFile
from persimmonspoke.internal.routing.check import (
    CONFIGURATION,
    ConfigCheck,
    Finding,
    FindingKind,
    Severity,
)
from persimmonspoke.platform import documents


def check(args: argparse.Namespace) -> Report:
    """Check a configuration without any host.

    Raises
    ------
    UnreadableFile
        A file is not JSON, or the version in force can't be decoded.
    """
    value = _read_value(args.file)
    in_force = None
    if args.in_force is not None:
        try:
            in_force = documents.decode_config(_read_value(args.in_force))
        except MalformedDocument as exc:
            raise UnreadableFile(f"{args.in_force}: {exc}") from exc
    version = None
    try:
        draft = documents.decode_draft(value)
    except MalformedDocument as exc:
        findings = (
            Finding(
                Severity.ERROR, FindingKind.UNREADABLE, CONFIGURATION, None, str(exc)
            ),
        )
    else:
        version = draft.cfg.generation
        config_check = ConfigCheck(documents.CONFIG_NAMES)
        findings = config_check.check(draft)
        if in_force is not None:
            findings += config_check.compare(draft.cfg, in_force)
    return _report(args.file, version, findings)


def _report(path, version, findings) -> Report:
    counts = Counter(finding.severity for finding in findings)
    summary = ", ".join(
        f"{counts[severity]} {severity.value}{'' if counts[severity] == 1 else 's'}"
        for severity in Severity
    )
    value = {
        "version": version,
        "findings": [_finding_value(finding) for finding in findings],
    }
    name = "no readable version" if version is None else f"version {version}"
    lines = (f"{path}: {name}, {summary}",)
    if findings:
        lines += table(
            (row.severity.value, row.entry, row.field or "-", row.message)
            for row in sorted(findings, key=_severity_order)
        )
    status = ExitStatus.INVALID if counts[Severity.ERROR] else ExitStatus.OK
    return Report(value, lines, status)


def _severity_order(finding):
    return list(Severity).index(finding.severity)


def _finding_value(finding):
    """Return a finding as JSON."""
    return {
        "severity": finding.severity.value,
        "kind": finding.kind.value,
        "entry": finding.entry,
        "field": finding.field,
        "message": finding.message,
    }


def _read_value(path) -> dict[str, Any]:
    """Return the JSON object in a file, or raise `UnreadableFile`."""
    text = read_file(path)
    try:
        value = json.loads(
            text, object_pairs_hook=_without_repetition, parse_constant=_no_constant
        )
    except (ValueError, RecursionError) as exc:
        raise UnreadableFile(f"{path} is not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise UnreadableFile(f"{path} is not a JSON object")
    return value


def _without_repetition(pairs):
    """Return a JSON object; `json` itself would drop all but the last of equal keys."""
    found = dict(pairs)
    if len(found) != len(pairs):
        repeated = [key for key, n in Counter(key for key, _ in pairs).items() if n > 1]
        raise ValueError(f"an object has the key {repeated[0]!r} more than once")
    return found


def _no_constant(text):
    raise ValueError(f"{text} is no JSON number")
