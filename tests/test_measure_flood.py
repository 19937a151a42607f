from testtools import TestCase

from jujuberun.measure import Options
from jujuberun.measure_flood import find_flooded, measure


class FloodTest(TestCase):
    def check(self, words: str) -> None:
        rows = [r for r in self.report.rows if words in r.name]
        self.assertNotEqual([], rows)
        failed = [f"{r.name}: {r.ours:.2f}" for r in rows if r.met is False]
        self.assertEqual([], failed)

    def setUp(self):
        super().setUp()
        self.report = _find_report()

    def test_other_work_keeps_its_capacity(self):
        # Guards against a flood of one service that reduces the share of the
        # other service's work that finishes in time.
        self.check("capacity kept")

    def test_urgent_work_gets_through(self):
        # Guards against urgent requests that queue behind those of a flood.
        self.check("longest wait of urgent work")

    def test_least_urgent_work_is_not_starved(self):
        # Guards against floods during which the less urgent service finishes
        # no request in time.
        self.check("done in time")

    def test_flood_at_balancers_does_not_delay_other_services(self):
        # Guards against packets of a flooded service that delay those of the
        # other service in balancers.
        for row in self.report.rows:
            if "balancers" in row.name and "over quiet" in row.name:
                self.assertTrue(row.met, row)

    def test_flood_at_shared_targets_does_not_delay_other_services(self):
        # Guards against floods that occupy the slots of the other service.
        for row in self.report.rows:
            if "shared" in row.name and "over quiet" in row.name:
                self.assertTrue(row.met, row)

    def test_series_cover_both_services(self):
        # Guards against a plot that lacks a service or a phase.
        self.assertEqual(4, len(self.report.series))
        for series in self.report.series:
            self.assertEqual((0.0, 89.0), (series.x[0], series.x[-1]))

    def test_phases_name_the_flooded_service(self):
        # Guards against a measurement that takes the wrong service or phase for
        # the flood.
        self.assertIsNone(find_flooded("montreal", 10.0))
        self.assertEqual("label", find_flooded("montreal", 50.0))
        self.assertEqual("meal-change", find_flooded("montreal", 65.0))


_reports = {}


def _find_report():
    """Returns the report of one full run, which takes about 35 s.

    All tests of this file share it.
    """
    if not _reports:
        _reports["full"] = measure(Options(seed=1))
    return _reports["full"]
