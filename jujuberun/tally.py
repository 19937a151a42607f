"""Figures that a replay counts."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from jujuberun.ids import TargetId


def find_quantile(values: Sequence[float], share: float) -> float:
    """Returns the value that a share of the values does not exceed.

    Args:
        values: at least one, in any order.
        share: 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


@dataclass(slots=True)
class Tally:
    """What happened in a replay.

    Attributes:
        waits: arrival of each request and time until its start in a slot.
        flow_peaks: most flows of a target by the mean, each second.
        busy: seconds of slots in use for each target, by second.
        lost: requests that ran on a lost target.
    """

    waits: list[tuple[float, float]] = field(default_factory=list)
    flow_peaks: list[float] = field(default_factory=list)
    busy: defaultdict[TargetId, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    lost: int = 0

    def note_busy(self, target: TargetId, start: float, end: float) -> None:
        """Adds the time of one request in a slot."""
        while start < end:
            until = min(end, int(start) + 1)
            self.busy[target][int(start)] += until - start
            start = until

    def note_flows(self, flows: Sequence[int]) -> None:
        """Adds a sample of the open flows of all targets."""
        if any(flows):
            self.flow_peaks.append(max(flows) * len(flows) / sum(flows))

    def list_waits(self, start: float, end: float) -> list[float]:
        """Returns the waits of requests that arrived in a time."""
        return [wait for at, wait in self.waits if start <= at < end]

    def average_flow_peak(self, start: int) -> float:
        """Returns the mean peak-to-mean of open flows from a second on."""
        peaks = self.flow_peaks[start:]
        return sum(peaks) / len(peaks)

    def average_busy_peak(self, targets: int, start: int, end: int) -> float:
        """Returns the mean peak-to-mean of slot time over whole seconds.

        Args:
            targets: number of targets, also of those that never worked.
            start: first second.
            end: second after the last.
        """
        peaks = []
        for second in range(start, end):
            times = [busy[second] for busy in self.busy.values()]
            if any(times):
                peaks.append(max(times) * targets / sum(times))
        return sum(peaks) / len(peaks)

    def count_in_use(self, start: int, end: int) -> float:
        """Returns the mean number of targets that worked in a second."""
        used = sum(
            busy[second] > 0
            for busy in self.busy.values()
            for second in range(start, end)
        )
        return used / (end - start)
