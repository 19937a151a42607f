"""Statistics of a replay through the placement decisions."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from jujuberun.ids import TargetId


def find_quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile of the values.

    Args:
        values: at least one value, in any order.
        share: position of the quantile, 0 to 1; 0.99 gives the 99th percentile.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


@dataclass(slots=True)
class ReplayStatistics:
    """Statistics collected during a replay.

    Attributes:
        waits: time of arrival of each request and its wait until it got a
            slot, both in seconds.
        flow_peak_ratios: for each sample, the largest number of open flows of
            a target divided by the mean of all targets.
        busy: slot seconds used on each target in each second.
        lost: number of requests that ran on a target when it failed.
    """

    waits: list[tuple[float, float]] = field(default_factory=list)
    flow_peak_ratios: list[float] = field(default_factory=list)
    busy: defaultdict[TargetId, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    lost: int = 0

    def record_busy_time(
        self, target: TargetId, start: float, end: float
    ) -> None:
        """Adds the time that one request occupied a slot, in seconds."""
        while start < end:
            piece_end = min(end, int(start) + 1)
            self.busy[target][int(start)] += piece_end - start
            start = piece_end

    def record_flow_counts(self, flows: Sequence[int]) -> None:
        """Adds a sample: the number of open flows of each target."""
        if any(flows):
            self.flow_peak_ratios.append(max(flows) * len(flows) / sum(flows))

    def list_waits(self, start: float, end: float) -> list[float]:
        """Returns the waits of requests that arrived in [start, end)."""
        return [wait for at, wait in self.waits if start <= at < end]

    def average_flow_peak_ratio(self, start: int) -> float:
        """Returns the mean peak-to-mean ratio of open flows.

        Args:
            start: index of the first sample to include.
        """
        ratios = self.flow_peak_ratios[start:]
        return sum(ratios) / len(ratios)

    def average_busy_peak_ratio(
        self, targets: int, start: int, end: int
    ) -> float:
        """Returns the mean peak-to-mean ratio of slot time per second.

        Args:
            targets: number of targets, including those that ran no request.
            start: first second.
            end: second after the last one.
        """
        ratios = []
        for second in range(start, end):
            times = [busy[second] for busy in self.busy.values()]
            if any(times):
                ratios.append(max(times) * targets / sum(times))
        return sum(ratios) / len(ratios)

    def average_in_use(self, start: int, end: int) -> float:
        """Returns the mean number of targets that were busy in a second."""
        used = sum(
            busy[second] > 0
            for busy in self.busy.values()
            for second in range(start, end)
        )
        return used / (end - start)
