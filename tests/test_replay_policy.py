from testtools import TestCase

from jujuberun.evidence import HealthReport
from jujuberun.ids import FlowId
from jujuberun.loads import TargetLoad
from jujuberun.measure_imbalance import build_targets
from jujuberun.replay_policy import (
    choose_by_bounded_load,
    choose_by_hash,
    choose_home,
)
from jujuberun.service_view import LoadReport, ServiceView

FLOW = FlowId((10).to_bytes(8, "big"))


class ReplayPolicyTest(TestCase):
    def test_naive_choices(self):
        # Guards against naive policies that choose another target than the one
        # that they are named after.
        view = ServiceView(build_targets(7), 1.0)
        names = view.target_ids
        self.assertEqual(names[3], choose_by_hash(view, FLOW, names[:2], 0.0))
        self.assertEqual(names[0], choose_home(view, FLOW, names[:2], 0.0))

    def test_bounded_load_passes_over_the_full_home(self):
        # Guards against bounded loads that choose a home far above the mean.
        view = ServiceView(build_targets(7), 1.0)
        for name in view.target_ids:
            flows = 30 if name == view.target_ids[0] else 10
            claim = HealthReport(healthy=True, draining=False, age=0.0)
            view.handle_report(
                LoadReport(name, TargetLoad(0, 0, flows), claim), 0.0
            )
        owner = choose_by_bounded_load(view, FLOW, view.target_ids[:3], 0.0)
        self.assertEqual(view.target_ids[1], owner)
