"""Options, reports and the list of the measurements."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a report.

    Attributes:
        name: what was measured.
        ours: figure of jujuberun.
        naive: figure of the naive version in the same run, or None.
        unit: unit of both figures.
        bound: text of the required bound, empty if there is none.
        met: whether ours meets the bound, None if that was not judged.
    """

    name: str
    ours: float
    naive: float | None
    unit: str
    bound: str = ""
    met: bool | None = None

    @property
    def ratio(self) -> float | None:
        """Ours divided by the naive figure, None without one or if it is 0."""
        if not self.naive:
            return None
        return self.ours / self.naive


@dataclass(frozen=True, slots=True)
class Series:
    """One line of a plot."""

    label: str
    x: tuple[float, ...]
    y: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """Result of one measurement.

    Attributes:
        name: name of the measurement.
        seed: seed of the run.
        rows: measured figures.
        notes: fits, residuals and remarks, one line each.
        series: lines of its plot.
        x_label: label of the plot's x axis, with unit.
        y_label: label of the plot's y axis, with unit.
    """

    name: str
    seed: int
    rows: tuple[Row, ...]
    notes: tuple[str, ...] = ()
    series: tuple[Series, ...] = ()
    x_label: str = ""
    y_label: str = ""


@dataclass(frozen=True, slots=True)
class Options:
    """Arguments of a measurement.

    Attributes:
        seed: seed of all random choices.
        quick: whether to make a short run with fewer points, for tests.
        progress: called with a short line of text as the run progresses.
    """

    seed: int = 1
    quick: bool = False
    progress: Callable[[str], None] = field(default=lambda line: None)


Measurement = Callable[[Options], Report]

# Maps the name of each measurement to the function that runs it. The modules
# are imported on use, because some need optional packages.
MEASUREMENTS: dict[str, str] = {
    "broken-flows": "jujuberun.measure_broken:measure",
    "imbalance": "jujuberun.measure_imbalance:measure",
    "flood": "jujuberun.measure_flood:measure",
    "headroom": "jujuberun.measure_headroom:measure",
    "retries": "jujuberun.measure_retries:measure",
    "forwarding": "jujuberun.measure_forwarding:measure",
    "control-cost": "jujuberun.measure_control:measure",
    "isolation": "jujuberun.measure_isolation:measure",
    "memory": "jujuberun.measure_memory:measure",
    "requests": "jujuberun.measure_requests:measure",
    "shares": "jujuberun.measure_shares:measure",
    "messages": "jujuberun.measure_messages:measure",
    "packets": "jujuberun.measure_packets:measure",
}
