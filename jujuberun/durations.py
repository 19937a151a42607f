"""Histogram of durations, for latency metrics."""

from bisect import bisect_left
from dataclasses import dataclass, field

# Upper bounds of the buckets. They range from a round trip within a failure
# domain to the longest time limit.
BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


@dataclass(slots=True)
class Durations:
    """Number of durations in each bucket, and their sum.

    Attributes:
        counts: number of durations in the bucket of each bound (not
            cumulative), and last the number above all bounds.
        total: sum of all durations, seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """Adds one duration to its bucket and to the sum."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total += seconds

    def list_buckets(self) -> list[tuple[str, int]]:
        """Returns the bounds as text, each with the cumulative count."""
        buckets = []
        count = 0
        for bound, bucket_count in zip(
            (*BOUNDS_S, "+Inf"), self.counts, strict=True
        ):
            count += bucket_count
            buckets.append((str(bound), count))
        return buckets
