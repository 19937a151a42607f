"""Table of the metrics of packet flows."""

from collections import Counter

from jujuberun.metric_table import (
    Metric,
    MetricValue,
    PartState,
    make_path_reader,
)


def _count_targets(state: PartState) -> MetricValue:
    names = ("usable", "suspected", "drained", "leaving")
    states = Counter(dict.fromkeys(names, 0))
    for target in state["targets"].values():
        if target["left"] or target["leaving"]:
            states["leaving"] += 1
        elif target["drained"]:
            states["drained"] += 1
        else:
            states["suspected" if target["suspected"] else "usable"] += 1
    return states


def _count_cold_targets(state: PartState) -> MetricValue:
    states = Counter({"with capacity": 0, "without capacity": 0})
    for target in state["warmup"]["cold"].values():
        is_full = target["capacity_in_s"] > 0
        states["without capacity" if is_full else "with capacity"] += 1
    return states


def _read_uploads(state: PartState) -> MetricValue:
    uploads = state["uploads"]
    if not uploads:
        return None
    return {name: uploads[name] for name in ("in_progress", "held", "refused")}


PACKET_METRICS = (
    Metric(
        "packet_flows",
        "flows",
        "",
        "Packet flows that a balancer knows.",
        "Close to balancer.cache_flows: raise it or add balancers.",
        "relay",
        make_path_reader("flows"),
    ),
    Metric(
        "packet_targets",
        "targets",
        "state",
        "Registered targets as a balancer sees them.",
        "suspected above 0 for minutes: find them with jujuberun state. "
        "drained: compare with the drains that you requested.",
        "relay",
        _count_targets,
    ),
    Metric(
        "drained_domains",
        "domains",
        "",
        "Failure domains whose targets take no new flows.",
        "It must be equal on all balancers 5 s after a drain was requested or "
        "taken back.",
        "drains",
        lambda state: len(state["domains"]),
    ),
    Metric(
        "drain_list_age_seconds",
        "seconds",
        "",
        "Time since this drain list arrived.",
        "Older than the last change of a drain: check the platform.",
        "drains",
        lambda state: state["held_for_s"],
    ),
    Metric(
        "cold_targets",
        "targets",
        "state",
        "Targets that have just started and to which this balancer limits "
        "starts.",
        "without capacity for longer than a warm-up: add targets, or compare "
        "warmup_rate with what a cold target can handle.",
        "relay",
        _count_cold_targets,
    ),
    Metric(
        "uploads",
        "flows",
        "state",
        "Uploads through a balancer whose link is slow: in progress, held "
        "now, and refused since its start.",
        "held above 0 for minutes, or refused rising: add balancers, or give "
        "them faster links.",
        "relay",
        _read_uploads,
    ),
    Metric(
        "start_duration_seconds",
        "seconds",
        "",
        "Time from a start packet to its confirmation by an agent.",
        "More values above 0.05 than usual: targets are full or agents do not "
        "answer; read part_events_total of relay.",
        "relay",
        make_path_reader("start_times"),
    ),
    Metric(
        "waiting_starts",
        "starts",
        "urgency",
        "Starts that wait at a balancer until a target has room, by class.",
        "Above 0 for minutes: read the section on overload.",
        "relay",
        make_path_reader("overload", "waiting"),
    ),
    Metric(
        "start_outcomes_total",
        "starts",
        "outcome",
        "Starts that were placed in time, placed late or refused, by class.",
        "refused of a class that matters: read the section on overload.",
        "relay",
        make_path_reader("overload", "outcomes"),
    ),
    Metric(
        "busy_flows",
        "flows",
        "",
        "Packet flows that wait for an answer of the target.",
        "Above the slots for minutes: add targets.",
        "sidecar",
        make_path_reader("busy"),
    ),
    Metric(
        "answer_duration_seconds",
        "seconds",
        "",
        "Time from a request to the first packet of its answer, queue of the "
        "target included.",
        "Longer than at other agents of the pool: check this target.",
        "sidecar",
        make_path_reader("answer_times"),
    ),
)
