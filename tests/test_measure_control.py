import random

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.linear_fit import LinearFit
from jujuberun.measure import Options
from jujuberun.measure_control import measure
from jujuberun.standin_gossip import simulate_spread


class MeasureControlTest(TestCase):
    def test_quick_run(self):
        # Guards against peers that do not receive the newest documents over
        # loopback sockets, and against traffic above the limit.
        report = measure(Options(quick=True))
        rows = {row.name: row for row in report.rows}
        for row in report.rows:
            # CPU time depends on the machine, so only the report compares it
            # with its limit.
            if row.met is not None and "CPU" not in row.name:
                self.assertTrue(row.met, row)
        rejoin = "worst minute, a third rejoins, 9 processes"
        self.assertThat(
            rows[f"{rejoin}: bytes/s over the minute"].ours, GreaterThan(10)
        )
        self.assertEqual(3, len(report.series))

    def test_fit_recovers_a_line(self):
        fit = LinearFit.from_points([1.0, 2.0, 3.0], [5.0, 7.0, 9.0])
        self.assertEqual(
            (2.0, 3.0, 0.0), (fit.slope, fit.intercept, fit.residual)
        )
        self.assertEqual(23.0, fit.predict(10))

    def test_simulated_gossip_reaches_all_in_time(self):
        # Guards against gossip that needs more than 5 s to reach all processes
        # of a full-size fleet, each of which takes 0.2 s to apply the manifest.
        rng = random.Random(1)
        worst = max(simulate_spread(4170, 1, 0.2, rng) for _ in range(5))
        self.assertThat(worst, LessThan(5.0))
