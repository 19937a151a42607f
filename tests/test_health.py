import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.evidence import (
    Answered,
    Failed,
    HealthReport,
    Listed,
    MessageReceived,
    Refused,
    Silent,
    Started,
    WasReset,
)
from jujuberun.health import MAX_TRACKED_TARGETS, HealthTracker
from jujuberun.ids import TargetId, VmState

NAMES = frozenset(TargetId(f"t{index}") for index in range(7))
T0, T1, T2 = (TargetId(f"t{index}") for index in range(3))
EXACT = settings(derandomize=True, deadline=None)
UNHEALTHY = HealthReport(healthy=False, draining=False, age=0.0)
HEALTHY = HealthReport(healthy=True, draining=False, age=0.0)
DRAINING = HealthReport(healthy=True, draining=True, age=0.5)
LIVE, LEAVING = Listed(VmState.LIVE, 0.0), Listed(VmState.LEAVING, 0.0)
ALL_EVIDENCE = (Answered(0.1), Answered(9.0), Failed(), Refused())
ALL_EVIDENCE += (
    Refused(True),
    WasReset(),
    Silent(),
    MessageReceived(),
    Started(),
)
ALL_EVIDENCE += (UNHEALTHY, HEALTHY, DRAINING, LIVE, LEAVING, Listed(None, 2.0))


class HealthTest(TestCase):
    def setUp(self):
        super().setUp()
        self.health = HealthTracker()

    def record(self, now: float, *evidence, target: TargetId = T0) -> None:
        for entry in evidence:
            self.health.record(target, entry, now)

    def suspects(self, now: float) -> frozenset[TargetId]:
        return self.health.find_suspects(NAMES, now)

    def leaving(self, now: float) -> frozenset[TargetId]:
        return self.health.find_leaving(NAMES, now)

    def test_fast_errors_reduce_weight(self):
        # Guards against a target that attracts work because its errors are
        # faster than the answers of others.
        for step in range(20):
            for name in sorted(NAMES):
                self.record(step * 0.1, Answered(0.2), target=name)
            self.record(step * 0.1, Failed())
        self.assertThat(self.health.weigh(T0, 2.0), LessThan(0.5))
        self.assertEqual(1.0, self.health.weigh(T1, 2.0))

    def test_errors_and_resets_make_a_suspect(self):
        for evidence in (Failed(), WasReset()):
            self.health = HealthTracker()
            self.record(0.1, *[evidence] * 5)
            self.assertEqual({T0}, self.suspects(0.2))

    def test_slow_target_weighs_less(self):
        for step in range(100):
            for name in sorted(NAMES):
                seconds = 2.0 if name == T0 else 0.2
                self.record(step, Answered(seconds), target=name)
        self.assertThat(self.health.weigh(T0, 100.0), LessThan(0.6))
        self.assertEqual(1.0, self.health.weigh(T1, 100.0))

    def test_varying_work_keeps_weight(self):
        # Guards against a weight that drops because of the normal variation of
        # answer times.
        rng = random.Random(3)
        for step in range(2000):
            name = TargetId(f"t{step % 7}")
            answer = Answered(rng.lognormvariate(-1.9, 0.8))
            self.record(step, answer, target=name)
            if step > 100:
                weight = self.health.weigh(name, step)
                self.assertThat(weight, GreaterThan(0.5))

    def test_slow_start(self):
        self.record(100.0, Started())
        ages = (0, 10, 20, 30)
        weights = [self.health.weigh(T0, 100.0 + age) for age in ages]
        self.assertEqual(sorted(weights), weights)
        self.assertThat(weights[0], LessThan(0.1))
        self.assertThat(weights[1], LessThan(0.4))
        self.assertEqual(1.0, weights[3])
        self.assertEqual(1.0, self.health.weigh(T1, 100.0))

    @EXACT
    @given(
        st.lists(
            st.tuples(st.sampled_from(ALL_EVIDENCE), st.floats(0, 20)),
            max_size=40,
        )
    )
    def test_weight_stays_in_range(self, steps):
        # Guards against a weight of 0, by which callers divide, after any
        # sequence of evidence.
        self.health, now = HealthTracker(), 0.0
        for evidence, passed in steps:
            now += passed
            self.record(now, evidence)
            self.assertTrue(0.0 < self.health.weigh(T0, now) <= 1.0)
            self.suspects(now)
            self.health.list_adverse_reports(now, 4)

    def test_silence_and_its_end(self):
        self.record(1.0, Silent())
        self.assertEqual({T0}, self.suspects(1.0))
        self.record(2.0, MessageReceived())
        self.assertEqual(frozenset(), self.suspects(2.0))
        self.assertEqual(1.0, self.health.weigh(T0, 2.0))

    def test_silent_target_is_tried_less_and_less_often(self):
        # Guards against a target that stays suspected after it recovered, and
        # against frequent trials of a target that did not recover.
        trials = 0
        for step in range(600):
            if T0 not in self.suspects(step * 0.5):
                self.record(step * 0.5, Silent())
                trials += 1
        self.assertThat(trials, LessThan(10))
        self.assertThat(trials, GreaterThan(4))

    def test_more_than_a_third_suspected(self):
        # Guards against a service without usable targets: when more than a
        # third of the targets are suspected, suspicion is ignored.
        self.record(0.0, Silent())
        self.record(0.0, Silent(), target=T1)
        self.assertEqual({T0, T1}, self.suspects(0.0))
        self.record(0.0, Silent(), target=T2)
        self.assertEqual(frozenset(), self.suspects(0.0))
        # The suspects still weigh less than the others.
        self.assertThat(self.health.weigh(T2, 0.0), LessThan(0.1))

    def test_healthy_report_does_not_hide_failures(self):
        # Guards against a health endpoint that reports a failing target as
        # healthy.
        for step in range(6):
            self.record(step * 0.1, Failed(), HEALTHY)
        self.assertEqual({T0}, self.suspects(0.6))

    def test_unhealthy_report_does_not_stop_a_working_target(self):
        # Guards against a health endpoint that reports a working target as
        # unhealthy.
        for second in range(50):
            self.record(float(second), Answered(0.2), UNHEALTHY)
            self.assertEqual(frozenset(), self.suspects(second))
            self.assertEqual(1.0, self.health.weigh(T0, second))

    def test_unhealthy_report_without_traffic_is_tried(self):
        # Guards against a wrong report that keeps a target idle permanently.
        suspected = []
        for second in range(60):
            self.record(float(second), UNHEALTHY)
            suspected.append(T0 in self.suspects(second))
        self.assertTrue(suspected[0])
        self.assertIn(False, suspected)
        self.assertIn(True, suspected[30:])

    def test_unhealthy_report_expires(self):
        self.record(0.0, UNHEALTHY)
        self.assertEqual({T0}, self.suspects(1.0))
        self.assertEqual(frozenset(), self.suspects(20.0))
        self.record(23.0, UNHEALTHY)
        self.assertEqual({T0}, self.suspects(24.0))

    def test_vm_missing_from_an_outdated_list(self):
        # Guards against an outdated VM list that stops a target that answers,
        # and against a list written before the target started.
        self.record(100.0, Answered(0.2), Listed(None, 5.0))
        self.record(100.0, Started(), Listed(None, 5.0), target=T1)
        self.record(100.0, Listed(None, 0.0), target=T2)
        self.assertEqual({T2}, self.suspects(100.0))

    def test_each_source_of_leaving(self):
        # Guards against new work for a leaving target more than 3 s after the
        # first sign of it: evidence from each source takes effect at once.
        for evidence in (Refused(draining=True), LEAVING, DRAINING):
            self.health = HealthTracker()
            self.record(10.0, Answered(0.2), evidence)
            self.assertEqual({T0}, self.leaving(10.0))
            self.assertTrue(self.health.is_excluded(T0, 10.0))

    def test_older_evidence_does_not_undo_leaving(self):
        # Guards against outdated VM lists and delayed reports that make a
        # leaving target look available.
        self.record(10.0, DRAINING)
        self.record(11.0, HealthReport(True, False, age=3.0))
        self.record(12.0, LIVE, UNHEALTHY)
        self.assertEqual({T0}, self.leaving(12.0))
        self.record(10.0, LEAVING, target=T1)
        self.record(11.0, Listed(VmState.LIVE, age=5.0), target=T1)
        self.assertEqual({T0, T1}, self.leaving(12.0))

    def test_new_incarnation_is_not_leaving(self):
        self.record(10.0, LEAVING)
        self.record(20.0, Started())
        self.assertEqual(frozenset(), self.leaving(20.0))

    def test_all_leaving(self):
        # The limit of a third applies to suspects, not to leaving targets.
        for name in NAMES:
            self.record(1.0, LEAVING, target=name)
        self.assertEqual(NAMES, self.leaving(1.0))
        self.assertEqual(frozenset(), self.suspects(1.0))

    def test_memory_is_bounded(self):
        # Guards against state that grows with the fleet.
        for index in range(5000):
            self.record(1.0, HEALTHY, LIVE, target=TargetId(f"x{index}"))
        self.assertEqual(0, len(self.health._targets))
        for index in range(5000):
            self.record(1.0, Silent(), target=TargetId(f"x{index}"))
        self.assertEqual(MAX_TRACKED_TARGETS, len(self.health._targets))
        self.assertEqual(MAX_TRACKED_TARGETS, len(self.health._impaired))

    def test_clock_gap_discards_health(self):
        # Guards against decisions based on health data from before the process
        # was paused.
        self.assertFalse(self.health.check_clock(0.0))
        self.record(0.5, Silent())
        self.assertFalse(self.health.check_clock(1.0))
        self.assertEqual({T0}, self.suspects(1.0))
        self.assertTrue(self.health.check_clock(2.1))
        self.assertEqual(frozenset(), self.suspects(2.1))

    def test_older_report_does_not_override_a_healthy_one(self):
        # Guards against pushes that trigger each other: a forwarded report
        # excluded a target again that had just reported itself healthy.
        self.record(10.0, UNHEALTHY, HEALTHY)
        self.record(10.1, HealthReport(False, False, age=0.5))
        self.assertEqual(frozenset(), self.suspects(10.1))

    def test_forwarded_reports_expire(self):
        # Guards against two processes that renew an adverse report by
        # forwarding it to each other.
        other = HealthTracker()
        self.record(0.0, Silent())
        known = []
        for step in range(1, 60):
            now = step * 0.5
            for source, sink in ((self.health, other), (other, self.health)):
                for target, report in source.list_adverse_reports(now, 4):
                    sink.record(target, report, now)
            known.append(bool(other.list_adverse_reports(now, 4)))
        self.assertTrue(known[0])
        self.assertFalse(any(known[12:]))
        self.assertEqual(frozenset(), other.find_suspects(NAMES, 30.0))
