import json
from pathlib import Path

import anyio
from prometheus_client.parser import text_string_to_metric_families
from test_schema import VALID
from test_settings import good_document
from testtools import TestCase

from jujuberun.assembly import Network, add_role, assemble
from jujuberun.durations import Durations
from jujuberun.kernel import Kernel
from jujuberun.manifest import parse_manifest
from jujuberun.metric_table import PREFIX
from jujuberun.metrics import MAX_LABEL_VALUES, Metrics, list_metrics
from jujuberun.settings import parse_settings
from jujuberun.source import make_source
from jujuberun.standin_packets import PlainCodec


def make_durations(*seconds):
    durations = Durations()
    for value in seconds:
        durations.add(value)
    return durations


def make_target(**changes):
    names = ("left", "leaving", "suspected", "drained")
    return dict.fromkeys(names, False) | changes


STATES = {
    "generations": {"generation": 4, "in_force_for_s": 2.5, "refused": []},
    "peers": {
        "known": 9,
        "absent": {
            "10.0.0.1:1": {"state": "gone"},
            "10.0.0.2:1": {"state": "suspected"},
            "10.0.0.3:1": {"state": "gone"},
        },
        "refused_messages": {"mac": 3},
    },
    "balancer": {
        "addresses": {"192.0.2.1:443": {"service": "label", "cached_flows": 5}},
        "counts": {"resets": 2},
    },
    "agent": {
        "flows": {"label": 7},
        "open_requests": 1,
        "directory": {"entries": 6},
        "registrar": {"unacknowledged_messages": 0},
        "unsettled": False,
        "draining": True,
        "counts": {"reset_no-owner": 1},
    },
    "relay": {
        "flows": 8,
        "targets": {
            "t1": make_target(suspected=True),
            "t2": make_target(leaving=True),
            "t3": make_target(),
            "t4": make_target(drained=True),
        },
        "warmup": {
            "cold": {"t1": {"capacity_in_s": 0.4}, "t3": {"capacity_in_s": 0.0}}
        },
        "start_times": make_durations(0.002, 0.3),
        "uploads": {"in_progress": 2, "held": 1, "refused": 4},
        "overload": {
            "waiting": {"urgent": 0, "bulk": 4},
            "outcomes": {"bulk_refused": 5},
        },
    },
    "drains": {"domains": ["a", "b"], "held_for_s": 4.0},
    "sidecar": {"busy": 3, "answer_times": make_durations(0.04)},
    "runner": {
        "slots": 2,
        "running": 1,
        "waiting": 0,
        "outcomes": {"unknown": 1},
    },
    "beliefs": {"label": {"active": 2, "suspected": ["t1"], "leaving": []}},
    "offload": {"handed_on": 1, "accepted": 2, "expired": 0},
    "spread": {
        "confirmed": True,
        "reads": [{"same": 1}, {"same": 2}],
        "read_before_s": {"vms": 0.5},
    },
    "members": {"vms": 12, "held_for_s": 3.0},
    "link": {"sent_bytes": 10, "received_bytes": 20, "counts": {"served": 1}},
}


class FakePart:
    def __init__(self, name, state):
        self.name = name
        self.state = state

    def dump_state(self, now):
        return self.state or 1 / 0


def make_metrics(states):
    kernel = Kernel()
    for name, state in states.items():
        kernel.register(FakePart(name, state))
    metrics = Metrics(kernel, clock=lambda: 1.0)
    kernel.register(metrics)
    return metrics


def scrape(metrics):
    text = metrics.render().decode()
    return {f.name: f for f in text_string_to_metric_families(text)}


def read_samples(found, name):
    samples = found[PREFIX + name].samples
    return {
        tuple(value for _, value in sorted(s.labels.items(), reverse=True)): (
            s.value
        )
        for s in samples
    }


class MetricsTest(TestCase):
    def test_table_lists_exactly_what_is_scraped(self):
        # Guards against a metric that is missing in docs/operators.md, or
        # listed with another type.
        found = scrape(make_metrics(STATES))
        listed = {
            PREFIX + m.name.removesuffix("_total"): m for m in list_metrics()
        }
        self.assertEqual(set(listed), set(found))
        for name, metric in listed.items():
            self.assertEqual(metric.kind, found[name].type)
            self.assertTrue(metric.unit and metric.about and metric.action)

    def test_values(self):
        # Guards against a metric that reads the wrong field of the state.
        found = scrape(make_metrics(STATES))
        for name, values in {
            "generation": {(): 4},
            "absent_peers": {("gone",): 2, ("suspected",): 1},
            "refused_messages": {("mac",): 3},
            "cached_flows": {("label",): 5},
            "open_flows": {("label",): 7},
            "packet_flows": {(): 8},
            "packet_targets": {
                ("usable",): 1,
                ("suspected",): 1,
                ("drained",): 1,
                ("leaving",): 1,
            },
            "drained_domains": {(): 2},
            "cold_targets": {
                ("with capacity",): 1,
                ("without capacity",): 1,
            },
            "uploads": {
                ("in_progress",): 2,
                ("held",): 1,
                ("refused",): 4,
            },
            "waiting_starts": {("urgent",): 0, ("bulk",): 4},
            "start_outcomes": {("bulk_refused",): 5},
            "draining": {(): 1},
            "requests": {("unknown",): 1},
            "suspected_targets": {("label",): 1},
            "platform_reads": {("same",): 3},
            "platform_read_age_seconds": {("vms",): 0.5},
            "state_errors": {(): 0},
            "part_events": {
                ("balancer", "resets"): 2,
                ("agent", "reset_no-owner"): 1,
                ("link", "served"): 1,
            },
        }.items():
            self.assertEqual(values, read_samples(found, name), name)

    def test_real_parts(self):
        # Guards against a metric that cannot be read because a part renamed a
        # field of its state.
        for role, names in (
            ("balancer", {"known_peers", "cached_flows", "link_sent_bytes"}),
            (
                "agent",
                {"open_flows", "busy_slots", "active_targets", "offloads"},
            ),
        ):
            document = {**good_document, "role": role, "peer": "127.0.0.1:0"}
            document["platform"] = {"manifest": "none.json", "vms": "none"}
            found = self.scrape_daemon(
                parse_settings(document, Path("x")).unwrap()
            )
            self.assertEqual({(): 0}, read_samples(found, "state_errors"))
            self.assertEqual(set(), {PREFIX + n for n in names} - set(found))

    def test_real_parts_of_packet_roles(self):
        # Guards against metrics that read fields which the parts of packet
        # roles do not have.
        for role, names in (
            ("balancer", {"packet_flows", "start_duration_seconds"}),
            ("agent", {"busy_flows", "answer_duration_seconds"}),
        ):
            document = {**good_document, "role": role, "peer": "127.0.0.1:0"}
            document["platform"] = {"manifest": "none.json", "vms": "none"}
            document["packet"] = {
                "address": "127.0.0.1:0",
                "outbound": "127.0.0.1:0",
                "target": "127.0.0.1:9",
                "pool": "counts",
            }
            found = self.scrape_daemon(
                parse_settings(document, Path("x")).unwrap()
            )
            self.assertEqual({(): 0}, read_samples(found, "state_errors"))
            self.assertEqual(set(), {PREFIX + n for n in names} - set(found))

    def scrape_daemon(self, settings):
        """Returns the metrics of a daemon that is assembled but not running."""
        service = {**VALID["services"][0], "protocol": "datagram"}
        data = json.dumps({**VALID, "services": [service]}).encode()

        async def run():
            source = make_source(settings.platform, settings.vm)
            network = Network(source, PlainCodec())
            kernel = assemble(settings, network)
            manifest = parse_manifest(data).unwrap()
            add_role(kernel, settings, network, manifest)
            kernel.find("dump").reply("/metrics")
            return scrape(kernel.find("metrics"))

        return anyio.run(run)

    def test_no_manifest_yet(self):
        # Guards against generation 0 being reported before a manifest arrived.
        metrics = make_metrics({"generations": {"generation": None}})
        self.assertNotIn(PREFIX + "generation", scrape(metrics))

    def test_broken_part_hides_no_other_metric(self):
        # Guards against a scrape that fails because one part is broken.
        states = {**STATES, "agent": None, "peers": {"known": "x"}}
        found = scrape(make_metrics(states))
        self.assertEqual({("label",): 5}, read_samples(found, "cached_flows"))
        self.assertNotIn(PREFIX + "open_flows", found)
        self.assertTrue(read_samples(found, "state_errors")[()] > 1)

    def test_label_values_are_bounded(self):
        # Guards against a scrape that grows without bound when outsiders cause
        # new label values.
        counts = {f"reset_{n}": 1 for n in range(MAX_LABEL_VALUES + 10)}
        found = scrape(make_metrics({"agent": {"counts": counts}}))
        count = len(read_samples(found, "part_events"))
        self.assertEqual(MAX_LABEL_VALUES, count)
