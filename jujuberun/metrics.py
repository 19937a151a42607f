"""Metrics of the process: plain counters, read when they are scraped."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import fields
from typing import Any

import anyio
from anyio.abc import TaskStatus
from prometheus_client import (
    CollectorRegistry,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric as Family
from prometheus_client.registry import Collector

from jujuberun.counters import PREFIX, Counters, Metric

# From 1 ms to 60 s; waits and run times of both deployments lie within.
TIME_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
    *(0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
)
Reading = float | Mapping[str, float]


def _gauge(name: str, unit: str, label: str, about: str, action: str) -> Metric:
    return Metric(PREFIX + name, "gauge", unit, label, about, action)


GAUGES = (
    _gauge(
        "generation",
        "generation",
        "",
        "Generation of the manifest in force.",
        "It must be equal on all processes 5 s after a publication.",
    ),
    _gauge(
        "generation_age_seconds",
        "seconds",
        "",
        "Time since the manifest in force came into force here.",
        "Nothing; it tells when the last change arrived.",
    ),
    _gauge(
        "platform_silence_seconds",
        "seconds",
        "",
        "Time since the platform last answered this process.",
        "Above 180 on all processes: repair the platform.",
    ),
    _gauge(
        "known_vms",
        "VMs",
        "state",
        "VMs in the platform's list.",
        "Compare with what was ordered.",
    ),
    _gauge(
        "cached_flows",
        "flows",
        "",
        "Flows in a balancer's cache.",
        "Close to balancer.cache_flows: raise it or add balancers.",
    ),
    _gauge(
        "suspected_peers",
        "peers",
        "",
        "Peers that are silent under traffic.",
        "More than a third: this VM is likely cut off itself.",
    ),
    _gauge(
        "suspected_targets",
        "targets",
        "service",
        "Targets that are suspected, by service.",
        "Read the evidence with jujuberun state; check the targets.",
    ),
    _gauge(
        "active_targets",
        "targets",
        "service",
        "Targets that take new work, by service.",
        "All of them for hours: raise slots or headroom.",
    ),
    _gauge(
        "open_flows",
        "flows",
        "service",
        "Flows that an agent owns, by service.",
        "Close to connection_limit: add targets.",
    ),
    _gauge(
        "directory_flows",
        "flows",
        "",
        "Entries in an agent's directory.",
        "Twice the open flows of the service by all its agents is normal.",
    ),
    _gauge(
        "busy_slots",
        "slots",
        "",
        "Slots of the target that run requests.",
        "Equal to slots for minutes: add targets.",
    ),
    _gauge(
        "queued_requests",
        "requests",
        "urgency",
        "Requests that wait for a slot, by urgency.",
        "urgent above 0 for more than 1 s: add targets.",
    ),
    _gauge(
        "unsettled",
        "0 or 1",
        "",
        "1 while the process rebuilds its state after a start or a pause.",
        "1 for more than 10 s: it finds no peer; check seeds and network.",
    ),
    _gauge(
        "draining",
        "0 or 1",
        "",
        "1 while a graceful stop waits for open work.",
        "Nothing; open work shows in open_flows.",
    ),
)

HISTOGRAMS = (
    Metric(
        PREFIX + "request_wait_seconds",
        "histogram",
        "seconds",
        "urgency",
        "Time that requests waited for a slot.",
        "A rising p99 of urgent requests: add targets.",
    ),
    Metric(
        PREFIX + "request_run_seconds",
        "histogram",
        "seconds",
        "service",
        "Time that the target took for requests.",
        "A rise on one target only: check this target.",
    ),
)

_PROCESS_ACTION = "Nothing; a basis for comparison."
PROCESS = (
    Metric(
        PREFIX + "process_cpu_seconds_total",
        "counter",
        "seconds",
        "",
        "CPU time of the process.",
        "Above 0.8 a second on a balancer: add balancers.",
    ),
    Metric(
        PREFIX + "process_resident_memory_bytes",
        "gauge",
        "bytes",
        "",
        "Resident memory of the process.",
        "Grows without more flows: report a fault.",
    ),
    Metric(
        PREFIX + "process_virtual_memory_bytes",
        "gauge",
        "bytes",
        "",
        "Virtual memory of the process.",
        _PROCESS_ACTION,
    ),
    Metric(
        PREFIX + "process_start_time_seconds",
        "gauge",
        "seconds",
        "",
        "Start of the process since 1970.",
        "A change without a planned restart: read the log.",
    ),
    Metric(
        PREFIX + "process_open_fds",
        "gauge",
        "descriptors",
        "",
        "Open file descriptors.",
        "Close to max_fds: raise the limit of the service manager.",
    ),
    Metric(
        PREFIX + "process_max_fds",
        "gauge",
        "descriptors",
        "",
        "Limit of open file descriptors.",
        _PROCESS_ACTION,
    ),
)


def list_metrics() -> tuple[Metric, ...]:
    """Returns the table of every metric, in the order of the page."""
    counters = (
        Metric(
            f"{PREFIX}{entry.name}_total",
            "counter",
            entry.metadata["unit"],
            entry.metadata["label"],
            entry.metadata["about"],
            entry.metadata["action"],
        )
        for entry in fields(Counters)
    )
    return (*counters, *GAUGES, *HISTOGRAMS, *PROCESS)


class Metrics(Collector):
    """Metrics of one process; the part "metrics".

    Attributes:
        counters: counters that the parts add to.
        registry: registry of this process.
        request_wait: histogram by urgency, seconds.
        request_run: histogram by service, seconds.
    """

    name = "metrics"

    def __init__(self) -> None:
        self.counters = Counters()
        self.registry = CollectorRegistry()
        self.request_wait = self._add_histogram(HISTOGRAMS[0])
        self.request_run = self._add_histogram(HISTOGRAMS[1])
        self._gauges = {
            gauge.name.removeprefix(PREFIX): gauge for gauge in GAUGES
        }
        self._readers: dict[str, Callable[[], Reading]] = {}
        self.registry.register(self)
        ProcessCollector(namespace=PREFIX[:-1], registry=self.registry)

    def watch(self, name: str, read: Callable[[], Reading]) -> None:
        """Reads a gauge at each scrape.

        Args:
            name: name in GAUGES without the prefix.
            read: returns the value, or values by label.

        Raises:
            KeyError: GAUGES has no such name.
        """
        self._readers[self._gauges[name].name] = read

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[Family]:
        """Yields the gauges and counters for the registry."""
        for gauge in GAUGES:
            read = self._readers.get(gauge.name)
            if read is None:
                continue
            try:
                yield _make_family(GaugeMetricFamily, gauge, read())
            except Exception:  # noqa: BLE001
                # One broken gauge must not hide all the other metrics.
                self.counters.scrape_errors += 1
        for metric, entry in zip(
            list_metrics(), fields(Counters), strict=False
        ):
            value = getattr(self.counters, entry.name)
            yield _make_family(CounterMetricFamily, metric, value)

    async def run(
        self, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Does nothing; the metrics are read when they are scraped."""
        task_status.started()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns the counters that are not 0."""
        values = {
            f.name: getattr(self.counters, f.name) for f in fields(Counters)
        }
        return {name: value for name, value in values.items() if value}

    def _add_histogram(self, metric: Metric) -> Histogram:
        return Histogram(
            metric.name,
            metric.about,
            [metric.label],
            buckets=TIME_BUCKETS_S,
            registry=self.registry,
        )


def _make_family(kind: type[Family], metric: Metric, value: Reading) -> Family:
    if not metric.label:
        return kind(metric.name, metric.about, value=value)
    family = kind(metric.name, metric.about, labels=[metric.label])
    for label, count in dict(value).items():
        family.add_metric([str(label)], count)
    return family
