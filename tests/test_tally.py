from testtools import TestCase

from jujuberun.ids import TargetId
from jujuberun.tally import Tally, find_quantile

A, B = TargetId("a"), TargetId("b")


class TallyTest(TestCase):
    def test_quantiles(self):
        values = [float(value) for value in range(100, 0, -1)]
        self.assertEqual(51.0, find_quantile(values, 0.5))
        self.assertEqual(100.0, find_quantile(values, 0.999))
        self.assertEqual(7.0, find_quantile([7.0], 0.99))

    def test_busy_time_is_split_at_seconds(self):
        tally = Tally()
        tally.note_busy(A, 0.5, 2.25)
        tally.note_busy(B, 1.0, 1.5)
        self.assertEqual({0: 0.5, 1: 1.0, 2: 0.25}, dict(tally.busy[A]))
        self.assertEqual(1.5, tally.count_in_use(1, 3))
        # Second 1: 1.0 of a mean of 0.75; second 2: 0.25 of 0.125.
        self.assertAlmostEqual(
            (4 / 3 + 2) / 2, tally.average_busy_peak(2, 1, 3)
        )

    def test_flow_peaks_skip_empty_samples(self):
        tally = Tally()
        tally.note_flows([0, 0])
        tally.note_flows([3, 1])
        self.assertEqual([1.5], tally.flow_peaks)
