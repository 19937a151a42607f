"""Tests of the histogram of durations."""

import testtools

from jujuberun.durations import BOUNDS_S, Durations


class DurationsTest(testtools.TestCase):
    def test_buckets_are_cumulative(self):
        # Prometheus expects cumulative buckets. Guards against counts that
        # decrease from one bound to the next, which give negative rates.
        durations = Durations()
        for seconds in (0.0, 0.001, 0.03, 0.03, 99.0):
            durations.add(seconds)
        buckets = durations.list_buckets()
        counts = [count for _, count in buckets]
        self.assertEqual(sorted(counts), counts)
        self.assertEqual(("0.001", 2), buckets[0])
        self.assertEqual(("+Inf", 5), buckets[-1])
        self.assertEqual(len(BOUNDS_S) + 1, len(buckets))
        self.assertAlmostEqual(99.061, durations.total)
