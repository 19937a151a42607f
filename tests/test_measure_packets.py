from testtools import TestCase

from jujuberun.measure import Options
from jujuberun.measure_packets import measure


class MeasurePacketsTest(TestCase):
    def test_every_figure_is_positive(self):
        # Guards against a measurement whose packets are all dropped.
        report = measure(Options(quick=True))
        self.assertEqual(8, len(report.rows))
        for row in report.rows:
            self.assertGreater(row.ours, 0, row.name)
