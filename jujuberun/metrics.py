"""Prometheus metrics, read from the state of the parts at each scrape.

Parts count in plain integers, so a metric costs the packet path only one
addition. Labels and text are created at the scrape.
"""

import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import anyio
from anyio.abc import TaskStatus
from prometheus_client import (
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric as MetricFamily
from prometheus_client.registry import Collector

from jujuberun.durations import Durations
from jujuberun.kernel import Kernel
from jujuberun.metric_table import (
    OWN_METRICS,
    PREFIX,
    STATE_METRICS,
    Metric,
    MetricValue,
    PartState,
)
from jujuberun.packet_metric_table import PACKET_METRICS

# Maximum number of label values per metric, which bounds the size of a scrape.
# Peers and callers can cause new label values, such as reasons of resets.
MAX_LABEL_VALUES = 1000


class Metrics(Collector):
    """Part "metrics": collector of the metrics of one process.

    Attributes:
        registry: registry of the process; collectors may be added to it.
    """

    name = "metrics"

    def __init__(
        self, kernel: Kernel, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.registry = CollectorRegistry()
        self._kernel = kernel
        self._clock = clock
        self._state_errors = 0
        self.registry.register(self)
        ProcessCollector(namespace=PREFIX[:-1], registry=self.registry)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Returns at once; metrics are read only at a scrape."""
        task_status.started()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the number of errors while reading states and metrics."""
        return {"state_errors": self._state_errors}

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def describe(self) -> list[MetricFamily]:
        """Returns an empty list, so registration does not read the state."""
        return []

    def collect(self) -> Iterator[MetricFamily]:
        """Yields the metrics of all parts for the registry."""
        states = dict(self._read_states())
        for metric in (*STATE_METRICS, *PACKET_METRICS):
            if metric.part not in states:
                continue
            try:
                value = metric.read(states[metric.part])
                family = _make_family(metric, value)
            except (KeyError, TypeError, ValueError, AttributeError):
                # A part with inconsistent state must not hide other metrics.
                self._state_errors += 1
                continue
            if value is not None:
                yield family
        yield _make_event_family(states)
        yield _make_family(OWN_METRICS[1], self._state_errors)

    def _read_states(self) -> Iterator[tuple[str, PartState]]:
        now = self._clock()
        for part in self._kernel.list_parts():
            try:
                yield part.name, part.dump_state(now)
            except Exception:  # noqa: BLE001
                self._state_errors += 1


def _make_family(metric: Metric, value: MetricValue) -> MetricFamily:
    if isinstance(value, Durations):
        return HistogramMetricFamily(
            PREFIX + metric.name,
            metric.about,
            buckets=value.list_buckets(),
            sum_value=value.total,
        )
    kinds = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily}
    kind = kinds[metric.kind]
    name = PREFIX + metric.name
    if not metric.labels:
        return kind(name, metric.about, value=float(value or 0))
    family = kind(name, metric.about, labels=[metric.labels])
    for label, count in list((value or {}).items())[:MAX_LABEL_VALUES]:
        family.add_metric([str(label)], float(count))
    return family


def _make_event_family(states: Mapping[str, PartState]) -> MetricFamily:
    metric = OWN_METRICS[0]
    labels = metric.labels.split(",")
    family = CounterMetricFamily(
        PREFIX + metric.name, metric.about, labels=labels
    )
    for part, state in states.items():
        counts = state.get("counts")
        if not isinstance(counts, Mapping):
            continue
        for event, count in list(counts.items())[:MAX_LABEL_VALUES]:
            if isinstance(count, int):
                family.add_metric([part, str(event)], count)
    return family


def list_metrics() -> tuple[Metric, ...]:
    """Returns all metrics in the order of docs/operators.md."""
    return (*STATE_METRICS, *PACKET_METRICS, *OWN_METRICS)
