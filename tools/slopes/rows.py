"""Rows of the slopes: a quantity at several sizes, with a linear fit."""

import json
import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlopeRow:
    """A quantity measured at three sizes or more.

    Attributes
    ----------
    name : str
        What was measured.
    size : str
        What `sizes` counts.
    unit : str
        Unit of `values`.
    """

    name: str
    size: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def line(self) -> str:
        """Return the row as one line of JSON, with the linear fit.

        ``worst_off`` is the largest residual divided by the largest value; it is
        large if the quantity is not linear.
        """
        fit = statistics.linear_regression(self.sizes, self.values)
        fitted = [fit.intercept + fit.slope * size for size in self.sizes]
        residuals = [
            abs(value - fitted_value)
            for value, fitted_value in zip(self.values, fitted, strict=True)
        ]
        largest = max(abs(value) for value in self.values) or 1.0
        return json.dumps(
            {
                "name": self.name,
                "size": self.size,
                "unit": self.unit,
                "sizes": self.sizes,
                "values": [_rounded(value) for value in self.values],
                "slope": _rounded(fit.slope),
                "intercept": _rounded(fit.intercept),
                "worst_off": round(max(residuals) / largest, 3),
            }
        )


def _rounded(value):
    """Return `value` rounded to four significant digits."""
    return float(f"{value:.4g}")
