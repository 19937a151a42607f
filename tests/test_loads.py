from testtools import TestCase

from jujuberun.loads import LoadTable, TargetLoad
from jujuberun.measure_imbalance import build_targets


def list_ids(targets):
    return [target.id for target in targets]


class ReportTest(TestCase):
    def setUp(self):
        super().setUp()
        self.loads = LoadTable(build_targets(2))
        self.first, self.second = list_ids(build_targets(2))

    def note(self, target, flows: int, now: float, age: float = 0.0) -> None:
        self.loads.record_load(target, TargetLoad(0, 0, flows), age, now)

    def compare(self, now: float) -> float:
        """Returns a positive number when the second target scores better."""
        first = self.loads.score_flows(self.first, now)
        return first - self.loads.score_flows(self.second, now)

    def test_older_report_does_not_replace_a_newer_one(self):
        self.note(self.first, 5, now=10.0)
        self.note(self.second, 1, now=10.0)
        self.note(self.second, 90, now=10.5, age=3.0)
        self.assertTrue(self.compare(11.0) > 0)

    def test_stale_report_counts_as_the_mean_load(self):
        # Guards against a target that looks idle because its reports stopped.
        self.note(self.second, 0, now=0.0)
        for second in range(40):
            self.note(self.first, 5, now=float(second))
        self.note(self.first, 2, now=40.0)
        self.assertTrue(self.compare(40.0) < 0)

    def test_report_of_another_service_is_ignored(self):
        self.note("other", 1, now=0.0)
        self.assertEqual([], self.loads.list_reports(0.0, 8, ()))

    def test_newest_reports_come_first(self):
        self.note(self.first, 1, now=10.0, age=2.0)
        self.note(self.second, 1, now=10.0, age=1.0)
        listed = [entry[0] for entry in self.loads.list_reports(10.0, 8, ())]
        self.assertEqual([self.second, self.first], listed)
        self.assertEqual(1, len(self.loads.list_reports(11.0, 1, ())))
        self.assertEqual([], self.loads.list_reports(30.0, 8, ()))


class DemandTest(TestCase):
    def test_extrapolates_from_targets_with_reports(self):
        targets = build_targets(10)
        loads = LoadTable(targets)
        names = list_ids(targets[:8])
        for target in targets[:4]:
            loads.record_load(target.id, TargetLoad(1, 1, 0), 0.0, 0.0)
        loads.record_load(targets[9].id, TargetLoad(1, 0, 0), 0.0, 0.0)
        self.assertEqual(8 * 2 + 1, loads.estimate_demand(names, 1.0))

    def test_unknown_without_enough_fresh_reports(self):
        # Guards against an estimate for a whole service from the report of one
        # busy target.
        targets = build_targets(10)
        loads = LoadTable(targets)
        loads.record_load(targets[0].id, TargetLoad(2, 9, 0), 0.0, 0.0)
        self.assertIsNone(loads.estimate_demand(list_ids(targets), 0.5))
        for target in targets:
            loads.record_load(target.id, TargetLoad(1, 0, 0), 0.0, 1.0)
        self.assertEqual(10, loads.estimate_demand(list_ids(targets), 2.0))
        loads.discard_reports()
        self.assertIsNone(loads.estimate_demand(list_ids(targets), 2.0))
