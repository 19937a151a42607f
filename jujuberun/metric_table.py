"""Table of the metrics: how each is read, and what it means."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from jujuberun.durations import Durations
from jujuberun.events import NO_ACTION

PREFIX = "jujuberun_"
EVENTS_METRIC = "part_events_total"
PartState = Mapping[str, Any]
MetricValue = float | Mapping[str, float] | Durations | None


@dataclass(frozen=True, slots=True)
class Metric:
    """One line of the table of metrics.

    Attributes:
        name: name without PREFIX; the names of counters end in _total.
        unit: unit of the value.
        labels: names of the labels, joined by commas.
        about: help text.
        action: what an operator does when the value changes.
        part: part whose state contains the value; empty for metrics of the
            process.
        read: gets the value from the part's state; a metric whose value is
            None is left out.
    """

    name: str
    unit: str
    labels: str
    about: str
    action: str
    part: str = ""
    read: Callable[[PartState], MetricValue] = lambda state: None

    @property
    def kind(self) -> str:
        """Prometheus type of the metric, derived from its name."""
        if self.name.endswith("_duration_seconds"):
            return "histogram"
        return "counter" if self.name.endswith("_total") else "gauge"


def make_path_reader(*path: str) -> Callable[[PartState], Any]:
    """Returns a function that reads the value at a path of keys."""

    def read(state: PartState) -> Any:
        value: Any = state
        for key in path:
            value = value[key]
        return value

    return read


def _count_absent_peers(state: PartState) -> MetricValue:
    return Counter(peer["state"] for peer in state["absent"].values())


def _read_cached_flows(state: PartState) -> MetricValue:
    flows: Counter[str] = Counter()
    for listener in state["addresses"].values():
        flows[listener["service"]] += listener["cached_flows"]
    return flows


def _make_service_reader(key: str) -> Callable[[PartState], MetricValue]:
    def read(state: PartState) -> MetricValue:
        values = {name: service[key] for name, service in state.items()}
        return {
            service_id: value if isinstance(value, int) else len(value)
            for service_id, value in values.items()
        }

    return read


def _read_offload_counts(state: PartState) -> MetricValue:
    return {key: state[key] for key in ("handed_on", "accepted", "expired")}


def _sum_platform_reads(state: PartState) -> MetricValue:
    return sum((Counter(reads) for reads in state["reads"]), Counter())


STATE_METRICS = (
    Metric(
        "generation",
        "generation",
        "",
        "Generation of the manifest in force.",
        "It must be equal on all processes 5 s after a publication.",
        "generations",
        make_path_reader("generation"),
    ),
    Metric(
        "generation_age_seconds",
        "seconds",
        "",
        "Time since this manifest came into force here.",
        "No action; shows when the last change arrived.",
        "generations",
        lambda state: state.get("in_force_for_s"),
    ),
    Metric(
        "known_peers",
        "peers",
        "",
        "Peers that this process has exchanged messages with.",
        NO_ACTION,
        "peers",
        make_path_reader("known"),
    ),
    Metric(
        "absent_peers",
        "peers",
        "state",
        "Peers that are draining, suspected or gone.",
        "Read the evidence with jujuberun state. More than a third of the "
        "known peers: this VM is probably cut off itself.",
        "peers",
        _count_absent_peers,
    ),
    Metric(
        "refused_messages_total",
        "messages",
        "reason",
        "Messages of peers that were refused before they were used.",
        "mac: compare the keys. stale: compare the clocks. replay, truncated, "
        "malformed: a faulty network or a forger. unhandled, incomplete: "
        "compare versions.",
        "peers",
        make_path_reader("refused_messages"),
    ),
    Metric(
        "cached_flows",
        "flows",
        "service",
        "Flows in the cache of a balancer.",
        "Close to balancer.cache_flows: raise it or add balancers.",
        "balancer",
        _read_cached_flows,
    ),
    Metric(
        "open_flows",
        "flows",
        "service",
        "Flows that an agent owns.",
        "Close to connection_limit: add targets.",
        "agent",
        make_path_reader("flows"),
    ),
    Metric(
        "open_requests",
        "requests",
        "",
        "Requests in progress at an agent.",
        "Equal to the slots for minutes: add targets.",
        "agent",
        make_path_reader("open_requests"),
    ),
    Metric(
        "directory_flows",
        "flows",
        "",
        "Entries in the directory of an agent.",
        "Zero while others own flows of its services: report a fault.",
        "agent",
        make_path_reader("directory", "entries"),
    ),
    Metric(
        "unacknowledged_registrations",
        "messages",
        "",
        "Registrations that homes have not confirmed.",
        "Above 0 for minutes: a home is cut off; compare absent peers.",
        "agent",
        make_path_reader("registrar", "unacknowledged_messages"),
    ),
    Metric(
        "unsettled",
        "0 or 1",
        "",
        "1 while an agent rebuilds its state after a start or a pause.",
        "1 for more than 10 s: the VM is paused repeatedly.",
        "agent",
        make_path_reader("unsettled"),
    ),
    Metric(
        "draining",
        "0 or 1",
        "",
        "1 while a graceful stop waits for open work.",
        "No action; open_flows shows the open work.",
        "agent",
        make_path_reader("draining"),
    ),
    Metric(
        "slots",
        "slots",
        "",
        "Slots of the target beside an agent.",
        NO_ACTION,
        "runner",
        make_path_reader("slots"),
    ),
    Metric(
        "busy_slots",
        "slots",
        "",
        "Slots that run a request.",
        "Equal to slots for minutes: add targets.",
        "runner",
        make_path_reader("running"),
    ),
    Metric(
        "waiting_requests",
        "requests",
        "",
        "Requests that wait for a slot.",
        "Above 0 for minutes: add targets.",
        "runner",
        make_path_reader("waiting"),
    ),
    Metric(
        "requests_total",
        "requests",
        "outcome",
        "Requests by the outcome that the caller was told.",
        "not-run: too little capacity. unknown: the target failed during "
        "requests; check it.",
        "runner",
        make_path_reader("outcomes"),
    ),
    Metric(
        "active_targets",
        "targets",
        "service",
        "Targets that take new work, as an agent sees it.",
        "All of them for hours: add targets.",
        "beliefs",
        _make_service_reader("active"),
    ),
    Metric(
        "suspected_targets",
        "targets",
        "service",
        "Targets that an agent suspects, from traffic.",
        "Above 0 for minutes: check the targets; jujuberun state names them.",
        "beliefs",
        _make_service_reader("suspected"),
    ),
    Metric(
        "leaving_targets",
        "targets",
        "service",
        "Targets that leave and take no new work.",
        "Compare with planned work.",
        "beliefs",
        _make_service_reader("leaving"),
    ),
    Metric(
        "offloads_total",
        "requests",
        "event",
        "Requests handed on to an idle agent, accepted from another agent, "
        "and slots kept in vain (expired).",
        "expired close to accepted: agents lose messages; check the peers.",
        "offload",
        _read_offload_counts,
    ),
    Metric(
        "platform_reads_total",
        "reads",
        "result",
        "Reads of the platform by result: same, changed or failed.",
        "failed rises: repair the platform; the manifest in force is kept.",
        "spread",
        _sum_platform_reads,
    ),
    Metric(
        "platform_read_age_seconds",
        "seconds",
        "document",
        "Time since the platform last answered a read or a watch.",
        "Above the longest wait of a watch: the platform does not answer, or a "
        "connection to it is silent.",
        "spread",
        make_path_reader("read_before_s"),
    ),
    Metric(
        "confirmed",
        "0 or 1",
        "",
        "1 once peers or the platform confirmed the generation.",
        "0 for more than 10 s: no peer was found; check seeds and network.",
        "spread",
        make_path_reader("confirmed"),
    ),
    Metric(
        "known_vms",
        "VMs",
        "",
        "VMs in the platform's list.",
        "Compare with the VMs that should exist.",
        "members",
        make_path_reader("vms"),
    ),
    Metric(
        "vm_list_age_seconds",
        "seconds",
        "",
        "Time since this VM list arrived.",
        "Older than the last change of VMs: check the platform.",
        "members",
        make_path_reader("held_for_s"),
    ),
    Metric(
        "link_sent_bytes_total",
        "bytes",
        "",
        "Bytes sent to peers over TCP.",
        "Above 5 kB/s for minutes without requests: report a fault.",
        "link",
        make_path_reader("sent_bytes"),
    ),
    Metric(
        "link_received_bytes_total",
        "bytes",
        "",
        "Bytes received from peers over TCP.",
        "Above 5 kB/s for minutes without requests: report a fault.",
        "link",
        make_path_reader("received_bytes"),
    ),
)

OWN_METRICS = (
    Metric(
        EVENTS_METRIC,
        "events",
        "part,event",
        "Events that the parts count; see the table of events.",
        "See the table of events.",
    ),
    Metric(
        "state_errors_total",
        "errors",
        "",
        "Metrics that could not be read from the state of a part.",
        "Report a fault; the other metrics are correct.",
    ),
    Metric(
        "process_cpu_seconds_total",
        "seconds",
        "",
        "CPU time of the process.",
        "Above 0.8 s per second on a balancer: add balancers.",
    ),
    Metric(
        "process_resident_memory_bytes",
        "bytes",
        "",
        "Resident memory of the process.",
        "Grows without more flows: report a fault.",
    ),
    Metric(
        "process_virtual_memory_bytes",
        "bytes",
        "",
        "Virtual memory of the process.",
        NO_ACTION,
    ),
    Metric(
        "process_start_time_seconds",
        "seconds",
        "",
        "Start of the process since 1970.",
        "A change without a planned restart: read the log.",
    ),
    Metric(
        "process_open_fds",
        "descriptors",
        "",
        "Open file descriptors.",
        "Close to process_max_fds: raise the limit of the service manager.",
    ),
    Metric(
        "process_max_fds",
        "descriptors",
        "",
        "Limit of open file descriptors.",
        NO_ACTION,
    ),
)
