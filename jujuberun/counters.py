"""Counters of the process, with what each means to an operator."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

PREFIX = "jujuberun_"
# A label value beyond this number is counted as OTHER, so that no peer can
# make the process hold any number of them.
MAX_LABEL_VALUES = 2000
OTHER = "other"


@dataclass(frozen=True, slots=True)
class Metric:
    """One line of the table of metrics.

    Attributes:
        name: full name, as it is scraped.
        kind: "counter", "gauge" or "histogram".
        unit: unit of its value.
        label: name of its label, empty when it has none.
        about: what it counts.
        action: what an operator does when it moves.
    """

    name: str
    kind: str
    unit: str
    label: str
    about: str
    action: str


class LabelCounts(defaultdict[str, int]):
    """Counts by the value of one label, bounded in number."""

    def __init__(self) -> None:
        super().__init__(int)

    def add(self, value: str, count: int = 1) -> None:
        """Adds to the count of a label value."""
        if value not in self and len(self) >= MAX_LABEL_VALUES:
            value = OTHER
        self[value] += count


def _count(unit: str, about: str, action: str) -> Any:
    metadata = {"unit": unit, "label": "", "about": about, "action": action}
    return field(default=0, metadata=metadata)


def _count_by(label: str, unit: str, about: str, action: str) -> Any:
    metadata = {"unit": unit, "label": label, "about": about, "action": action}
    return field(default_factory=LabelCounts, metadata=metadata)


@dataclass(slots=True)
class Counters:
    """Counters of one process; the packet path adds to plain integers."""

    received_packets: int = _count(
        "packets",
        "Datagrams that a balancer received from callers.",
        "Compare balancers; one that receives none is cut off from the fabric.",
    )
    forwarded_packets: int = _count(
        "packets",
        "Datagrams of callers that a balancer sent to agents.",
        "When it falls behind received packets, look at dropped packets.",
    )
    answered_packets: int = _count(
        "packets",
        "Datagrams that a balancer sent to callers.",
        "None while packets are forwarded: agents cannot reach this balancer.",
    )
    delivered_packets: int = _count(
        "packets",
        "Datagrams that an agent delivered to a flow of its own.",
        "Nothing; a basis for comparison.",
    )
    relayed_packets: int = _count(
        "packets",
        "Datagrams that an agent sent on to another agent.",
        "High for minutes: balancers do not learn owners; look at answers.",
    )
    dropped_packets: LabelCounts = _count_by(
        "reason",
        "packets",
        "Datagrams that were dropped.",
        "Read the reason; ask for the flow with jujuberun explain.",
    )
    refused_messages: LabelCounts = _count_by(
        "reason",
        "messages",
        "Messages of peers that were refused before they were used.",
        "mac: compare the keys; stale: compare the clocks; replay or "
        "malformed: a faulty network or a forger.",
    )
    sent_resets: LabelCounts = _count_by(
        "reason",
        "resets",
        "Resets that were sent to callers.",
        "unknown-flow after an agent failed is expected; overloaded: add "
        "slots or read the admission queue.",
    )
    cache_hits: int = _count(
        "packets",
        "Packets whose flow was in the balancer's cache.",
        "Nothing; a basis for comparison.",
    )
    cache_misses: int = _count(
        "packets",
        "Packets whose flow was not in the balancer's cache.",
        "High and lasting: raise balancer.cache_flows.",
    )
    started_flows: int = _count(
        "flows",
        "Flows that an agent began to own.",
        "Nothing; a basis for comparison.",
    )
    ended_flows: LabelCounts = _count_by(
        "cause",
        "flows",
        "Flows that an agent gave up, by cause.",
        "reset and conflict are broken flows: read the log at that time.",
    )
    claims: LabelCounts = _count_by(
        "result",
        "claims",
        "Claims that an agent sent to former homes, by result.",
        "timeout: the agents asked are gone or cut off.",
    )
    ownership_conflicts: int = _count(
        "flows",
        "Flows that had two owners; one was released.",
        "Expected after a partition; otherwise report a fault.",
    )
    registered_flows: int = _count(
        "flows",
        "Flow registrations that an agent received for its directory.",
        "Nothing; it rises with each change of homes.",
    )
    sent_probes: int = _count(
        "messages",
        "Probes to peers that were silent under traffic.",
        "Rises before peers are suspected; look at the network.",
    )
    requests: LabelCounts = _count_by(
        "outcome",
        "requests",
        "Requests by the outcome that the caller was told.",
        "unknown: a target failed during requests; check it.",
    )
    refused_requests: LabelCounts = _count_by(
        "reason",
        "requests",
        "Requests that were refused before they ran.",
        "queue-full or deadline: too little capacity for this urgency.",
    )
    duplicate_requests: int = _count(
        "requests",
        "Requests whose id had arrived before; they did not run again.",
        "High: callers resend, or a network duplicates.",
    )
    passed_requests: int = _count(
        "requests",
        "Requests that an agent passed to an idle agent.",
        "Nothing; high at uneven load.",
    )
    retries: int = _count(
        "requests",
        "Requests that were sent again.",
        "High: targets fail; find them among the suspected ones.",
    )
    denied_retries: int = _count(
        "requests",
        "Retries that the retry budget did not allow.",
        "Targets fail faster than retries can help; fix the targets.",
    )
    accepted_manifests: int = _count(
        "manifests",
        "Manifests that came into force.",
        "It must rise on every process after a publication.",
    )
    refused_manifests: LabelCounts = _count_by(
        "origin",
        "manifests",
        "Manifests that were refused, by where they came from.",
        "Run jujuberun manifest check; the reason is in the state dump.",
    )
    source_errors: LabelCounts = _count_by(
        "step",
        "errors",
        "Failed reads of the platform.",
        "The manifest in force stays; repair the platform.",
    )
    link_errors: LabelCounts = _count_by(
        "step",
        "errors",
        "Failed TCP exchanges with peers.",
        "Expected while peers are replaced; otherwise look at the network.",
    )
    sent_control_bytes: int = _count(
        "bytes",
        "Control traffic that was sent, without forwarded packets.",
        "Above 5 kB/s for minutes: report a fault.",
    )
    received_control_bytes: int = _count(
        "bytes",
        "Control traffic that was received, without forwarded packets.",
        "Above 5 kB/s for minutes: report a fault.",
    )
    clock_gaps: int = _count(
        "gaps",
        "Times that the process did not run for more than 1 s.",
        "The VM was paused or is short of CPU; move it.",
    )
    scrape_errors: int = _count(
        "errors",
        "Gauges that could not be read during a scrape.",
        "Report a fault; the other metrics are right.",
    )
