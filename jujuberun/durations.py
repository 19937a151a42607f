"""Counts of durations by size, for latency histograms."""

from bisect import bisect_left
from dataclasses import dataclass, field

# Seconds; from a round trip in a failure domain to the longest time limit.
BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


@dataclass(slots=True)
class Durations:
    """How many durations were at most each bound, and their sum.

    Attributes:
        counts: for each bound, and one more for longer durations.
        total: sum in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """Counts one duration."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns upper bounds as texts with the count up to each."""
        buckets = []
        count = 0
        for bound, own in zip((*BOUNDS_S, "+Inf"), self.counts, strict=True):
            count += own
            buckets.append((str(bound), count))
        return buckets
