import random

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.evidence import Failed, HealthReport, Listed, Silent
from jujuberun.ids import VmState
from jujuberun.loads import TargetLoad
from jujuberun.measure_imbalance import build_targets
from jujuberun.placement import choose_owner
from jujuberun.service_view import MAX_REPORTS, LoadReport, ServiceView

HEALTHY = HealthReport(healthy=True, draining=False, age=0.0)


def report_all(view: ServiceView, busy: int, now: float) -> None:
    for name in view.target_ids:
        load = TargetLoad(busy, 0, 10)
        view.handle_report(LoadReport(name, load, HEALTHY), now)


class ServiceViewTest(TestCase):
    def test_leaving_target_gets_no_new_work(self):
        view = ServiceView(build_targets(7), 1.0)
        report_all(view, 1, 0.0)
        view.update(0.0)
        target = view.target_ids[0]
        view.record(target, Listed(VmState.LEAVING, 3.0), 0.5)
        self.assertNotIn(target, view.active)

    def test_leaving_spreads_with_load_messages(self):
        # Guards against processes that learn of a leaving target only from the
        # platform's VM list.
        first, second = (
            ServiceView(build_targets(7), 1.0),
            ServiceView(build_targets(7), 1.0),
        )
        target = first.target_ids[0]
        first.record(target, HealthReport(True, True, 0.0), 0.0)
        for report in first.list_reports(0.5):
            second.handle_report(report, 0.5)
        self.assertNotIn(target, second.active)

    def test_lost_target_spreads_with_load_messages(self):
        first, second = (
            ServiceView(build_targets(7), 1.0),
            ServiceView(build_targets(7), 1.0),
        )
        target = first.target_ids[0]
        first.record(target, Silent(), 0.0)
        for report in first.list_reports(0.5):
            second.handle_report(report, 0.5)
        self.assertNotIn(target, second.active)
        # A later healthy report of the target itself overrides the adverse one.
        second.handle_report(
            LoadReport(target, TargetLoad(0, 0, 0), HEALTHY), 1.0
        )
        second.update(1.0)
        self.assertIn(target, second.active)

    def test_false_reports_do_not_empty_a_service(self):
        view = ServiceView(build_targets(7), 1.0)
        for name in view.target_ids:
            unhealthy = HealthReport(healthy=False, draining=False, age=0.0)
            view.handle_report(LoadReport(name, None, unhealthy), 0.0)
        view.update(0.0)
        self.assertEqual(7, len(view.active))

    def test_fast_errors_do_not_attract_flows(self):
        # Guards against a target that gets flows because its errors keep its
        # reported load at 0. The limit of a third of suspects is not reached
        # here.
        view = ServiceView(build_targets(7), 1.0)
        bad = view.target_ids[0]
        rng = random.Random(1)
        chosen = 0
        for step in range(300):
            now = step * 0.1
            report_all(view, 1, now)
            load = TargetLoad(0, 0, 0)
            view.handle_report(LoadReport(bad, load, HEALTHY), now)
            if step % 10 == 0:
                view.update(now)
            candidates = (bad, *rng.sample(view.target_ids[1:], 2))
            owner = choose_owner(candidates, view.loads, view.active, now)
            if owner == bad:
                chosen += 1
                view.record(bad, Failed(), now)
        # The target is a candidate of every flow; a choice by reported load
        # alone would give it all 300.
        self.assertThat(chosen, LessThan(30))

    def test_message_stays_small(self):
        view = ServiceView(build_targets(100), 1.0)
        report_all(view, 1, 0.0)
        for name in view.target_ids[:20]:
            view.record(name, Silent(), 0.0)
        reports = view.list_reports(0.1)
        self.assertEqual(MAX_REPORTS, len(reports))
        self.assertThat(
            sum(report.load is not None for report in reports), GreaterThan(3)
        )

    def test_clock_gap_discards_loads_and_health(self):
        view = ServiceView(build_targets(7), 0.0)
        view.check_clock(0.0)
        report_all(view, 1, 0.0)
        view.record(view.target_ids[0], Silent(), 0.0)
        self.assertTrue(view.check_clock(10.0))
        view.update(10.0)
        self.assertEqual([], view.list_reports(10.0))
        self.assertFalse(view.health.is_excluded(view.target_ids[0], 10.0))

    def test_new_manifest_keeps_known_state(self):
        # Guards against losing loads and suspicion with each change of the
        # manifest, about 420 a day, and against a new target that gets a full
        # share at once.
        targets = build_targets(8)
        view = ServiceView(targets[:7], 1.0)
        report_all(view, 1, 0.0)
        view.record(view.target_ids[0], Silent(), 0.0)
        view.change_targets(targets[:2] + targets[3:], 1.0, 1.0)
        self.assertNotIn(targets[0].id, view.active)
        self.assertNotIn(targets[2].id, view.active)
        self.assertEqual(
            5, len(view.loads.list_reports(1.0, 8, view.target_ids[:1]))
        )
        self.assertThat(view.health.weigh(targets[7].id, 1.0), LessThan(0.1))
        self.assertEqual(1.0, view.health.weigh(targets[1].id, 1.0))

    def test_pushes_are_limited(self):
        # Guards against a storm of pushes when many targets become suspects at
        # the same time.
        view = ServiceView(build_targets(100), 1.0)
        pushes = [view.record(name, Silent(), 1.0) for name in view.target_ids]
        self.assertEqual(1, sum(pushes))
        self.assertTrue(view.record(view.target_ids[0], Silent(), 30.0))
