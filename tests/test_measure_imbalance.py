from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.measure import Options
from jujuberun.measure_imbalance import measure


class ImbalanceTest(TestCase):
    def test_default_policy_beats_the_naive_hash(self):
        # Guards against a default policy that spreads flows or requests worse
        # than the naive hash does.
        report = measure(Options(quick=True))
        against = [r for r in report.rows if "naive hash" in r.name]
        self.assertEqual(10, len(against))
        for row in against:
            self.assertThat(row.ours, LessThan(row.naive), row.name + row.unit)
