"""One measured figure."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class MeasureRow:
    """One figure, with the value that it should reach and one to compare it with.

    Attributes
    ----------
    target : float or None
        The value that `value` should not exceed (or, for shares served, fall
        short of); None if there is none.
    baseline : str or None
        What `baseline_value` belongs to.
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
