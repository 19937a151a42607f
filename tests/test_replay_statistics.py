from testtools import TestCase

from jujuberun.ids import TargetId
from jujuberun.replay_statistics import ReplayStatistics, find_quantile

A, B = TargetId("a"), TargetId("b")


class ReplayStatisticsTest(TestCase):
    def test_quantiles(self):
        values = [float(value) for value in range(100, 0, -1)]
        self.assertEqual(51.0, find_quantile(values, 0.5))
        self.assertEqual(100.0, find_quantile(values, 0.999))
        self.assertEqual(7.0, find_quantile([7.0], 0.99))

    def test_busy_time_is_split_at_seconds(self):
        statistics = ReplayStatistics()
        statistics.record_busy_time(A, 0.5, 2.25)
        statistics.record_busy_time(B, 1.0, 1.5)
        self.assertEqual({0: 0.5, 1: 1.0, 2: 0.25}, dict(statistics.busy[A]))
        self.assertEqual(1.5, statistics.average_in_use(1, 3))
        # Second 1 has a peak of 1.0 and a mean of 0.75, second 2 a peak of
        # 0.25 and a mean of 0.125.
        self.assertAlmostEqual(
            (4 / 3 + 2) / 2, statistics.average_busy_peak_ratio(2, 1, 3)
        )

    def test_samples_without_flows_are_skipped(self):
        statistics = ReplayStatistics()
        statistics.record_flow_counts([0, 0])
        statistics.record_flow_counts([3, 1])
        self.assertEqual([1.5], statistics.flow_peak_ratios)
