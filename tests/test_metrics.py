from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from jujuberun.counters import MAX_LABEL_VALUES, OTHER, PREFIX
from jujuberun.metrics import GAUGES, Metrics, list_metrics


def scrape(metrics):
    text = metrics.render().decode()
    families = text_string_to_metric_families(text)
    return {f.name: f for f in families if not f.name.endswith("_created")}


def watch_all(metrics):
    for gauge in GAUGES:
        value = {"a": 1.0} if gauge.label else 1.0
        name = gauge.name.removeprefix(PREFIX)
        metrics.watch(name, lambda value=value: value)


class MetricsTest(TestCase):
    def test_table_lists_exactly_what_is_scraped(self):
        # Guards against a metric without a line on the operators' page.
        metrics = Metrics()
        watch_all(metrics)
        listed = {m.name.removesuffix("_total"): m for m in list_metrics()}
        scraped = scrape(metrics)
        self.assertEqual(set(listed), set(scraped))
        for name, metric in listed.items():
            self.assertEqual(metric.kind, scraped[name].type)
            self.assertTrue(name.startswith(PREFIX))
            self.assertTrue(metric.unit and metric.about and metric.action)

    def test_counts_are_read_at_scrape(self):
        # Guards against counters that are copied once and then stand still.
        metrics = Metrics()
        scrape(metrics)
        metrics.counters.received_packets += 3
        metrics.counters.dropped_packets.add("hops", 2)
        metrics.watch("open_flows", lambda: {"label": 5})
        found = scrape(metrics)
        sample = found["jujuberun_received_packets"].samples[0]
        self.assertEqual(3, sample.value)
        sample = found["jujuberun_dropped_packets"].samples[0]
        self.assertEqual(({"reason": "hops"}, 2), (sample.labels, sample.value))
        sample = found["jujuberun_open_flows"].samples[0]
        self.assertEqual(
            ({"service": "label"}, 5), (sample.labels, sample.value)
        )

    def test_broken_gauge_hides_no_other_metric(self):
        # Guards against a scrape that fails because one part is broken.
        metrics = Metrics()
        metrics.watch("generation", lambda: 1 / 0)
        metrics.watch("busy_slots", lambda: 2)
        found = scrape(metrics)
        self.assertNotIn("jujuberun_generation", found)
        self.assertEqual(2, found["jujuberun_busy_slots"].samples[0].value)
        self.assertEqual(1, found["jujuberun_scrape_errors"].samples[0].value)

    def test_unknown_gauge_is_refused(self):
        # Guards against a metric that the table does not describe.
        self.assertRaises(KeyError, Metrics().watch, "made_up", lambda: 1)

    def test_label_values_are_bounded(self):
        # Guards against memory that grows with label values from outside.
        counts = Metrics().counters.sent_resets
        for number in range(MAX_LABEL_VALUES + 10):
            counts.add(str(number))
        self.assertEqual(10, counts[OTHER])
        self.assertEqual(MAX_LABEL_VALUES + 1, len(counts))

    def test_two_processes_share_nothing(self):
        # Guards against metrics in the global registry of the library.
        first, second = Metrics(), Metrics()
        first.counters.retries += 1
        self.assertEqual({}, second.dump_state(0.0))
        self.assertEqual({"retries": 1}, first.dump_state(0.0))
