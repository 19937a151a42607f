"""Linear fits over sizes."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fit:
    """Linear fit over sizes.

    Attributes:
        slope: per unit of x.
        intercept: value at x = 0.
        residual: largest deviation of a point, relative to the fit.
    """

    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(cls, x: list[float], y: list[float]) -> "Fit":
        """Fits a line by least squares."""
        slope, intercept = statistics.linear_regression(x, y)
        deviations = [
            abs(b - (intercept + slope * a)) / max(abs(b), 1e-12)
            for a, b in zip(x, y, strict=True)
        ]
        return cls(slope, intercept, max(deviations))

    def predict(self, x: float) -> float:
        """Returns the value of the line."""
        return self.intercept + self.slope * x
