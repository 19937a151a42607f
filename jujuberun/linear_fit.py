"""Linear fits of measured values over sizes, such as a number of processes."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Line fitted to measured values.

    Attributes:
        slope: change of the value per unit of x.
        intercept: value at x = 0.
        residual: largest deviation of a point from the line, relative to the
            value of the point.
    """

    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(cls, x: list[float], y: list[float]) -> "LinearFit":
        """Fits a line to the points by least squares."""
        slope, intercept = statistics.linear_regression(x, y)
        deviations = [
            abs(b - (intercept + slope * a)) / max(abs(b), 1e-12)
            for a, b in zip(x, y, strict=True)
        ]
        return cls(slope, intercept, max(deviations))

    def predict(self, x: float) -> float:
        """Returns the value of the line at x."""
        return self.intercept + self.slope * x
