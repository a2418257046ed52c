"""Rows of the measurements."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class MeasureRow:
    """One measurement, with its target value and a baseline to compare it with.

    Attributes
    ----------
    target : float or None
        Upper limit of `value`, or lower limit for shares of requests served; None if
        there is no limit.
    baseline : str or None
        Name of the alternative that gave `baseline_value`.
    """

    scenario: str
    measure: str
    value: float
    unit: str
    target: float | None = None
    baseline: str | None = None
    baseline_value: float | None = None

    def line(self) -> str:
        """Return the row as one line of JSON."""
        return json.dumps(asdict(self))
