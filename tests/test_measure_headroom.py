from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.measure import Options
from jujuberun.measure_headroom import measure


class HeadroomTest(TestCase):
    def test_less_headroom_uses_fewer_targets(self):
        # Guards against a headroom setting that has no effect, and against the
        # loss of requests that were not running in the lost failure domain.
        report = measure(Options(quick=True))
        in_use = report.series[0]
        self.assertEqual(tuple(sorted(in_use.y)), in_use.y)
        self.assertThat(in_use.y[0], LessThan(in_use.y[-1]))
        lost = [row for row in report.rows if "lost" in row.unit]
        for row in lost:
            # A failure domain has 5 targets with 2 slots each.
            self.assertTrue(row.ours <= 10)
