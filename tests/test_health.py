import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.evidence import (
    Answered,
    Claimed,
    Failed,
    Heard,
    Listed,
    Refused,
    Silent,
    Started,
    WasReset,
)
from jujuberun.health import (
    MAX_BELIEFS,
    Health,
    Silence,
    SilenceState,
)
from jujuberun.ids import TargetId, VmState

NAMES = frozenset(TargetId(f"t{index}") for index in range(7))
T0, T1, T2 = (TargetId(f"t{index}") for index in range(3))
EXACT = settings(derandomize=True, deadline=None)
UNHEALTHY = Claimed(healthy=False, draining=False, age=0.0)
HEALTHY = Claimed(healthy=True, draining=False, age=0.0)


def answer_all(health: Health, now: float, seconds: float = 0.2) -> None:
    for name in sorted(NAMES):
        health.record(name, Answered(seconds), now)


class WeightTest(TestCase):
    def test_fails_fast(self):
        # Guards against a target that attracts work because its errors are
        # faster than the answers of others.
        health = Health()
        weights = []
        for step in range(20):
            answer_all(health, step * 0.1)
            health.record(T0, Failed(), step * 0.1 + 0.05)
            weights.append(health.weigh(T0, step * 0.1 + 0.05))
        self.assertThat(weights[-1], LessThan(0.5))
        self.assertEqual(1.0, health.weigh(T1, 2.0))

    def test_only_errors_make_a_suspect_within_five(self):
        health = Health()
        answer_all(health, 0.0)
        for step in range(5):
            health.record(T0, Failed(), 0.1 + step * 0.001)
        self.assertEqual({T0}, health.find_suspects(NAMES, 0.2))

    def test_resets_count_as_errors(self):
        health = Health()
        for step in range(5):
            health.record(T0, WasReset(), step * 0.1)
        self.assertEqual({T0}, health.find_suspects(NAMES, 0.5))

    def test_slow_target_weighs_less(self):
        health = Health()
        for step in range(100):
            for name in sorted(NAMES - {T0}):
                health.record(name, Answered(0.2), float(step))
            health.record(T0, Answered(2.0), float(step))
        self.assertThat(health.weigh(T0, 100.0), LessThan(0.6))
        self.assertEqual(1.0, health.weigh(T1, 100.0))

    def test_varying_work_keeps_weight(self):
        # Guards against a weight that follows the usual spread of times.
        health = Health()
        rng = random.Random(3)
        low = 1.0
        for step in range(2000):
            name = TargetId(f"t{step % 7}")
            health.record(name, Answered(rng.lognormvariate(-1.9, 0.8)), step)
            low = min(low, health.weigh(name, step)) if step > 100 else 1.0
        self.assertThat(low, GreaterThan(0.5))

    def test_slow_start(self):
        health = Health()
        health.record(T0, Started(), 100.0)
        weights = [health.weigh(T0, 100.0 + age) for age in (0, 10, 20, 30)]
        self.assertEqual(sorted(weights), weights)
        self.assertThat(weights[0], LessThan(0.1))
        self.assertThat(weights[1], LessThan(0.4))
        self.assertEqual(1.0, weights[3])
        self.assertEqual(1.0, health.weigh(T1, 100.0))

    @EXACT
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([T0, T1]),
                st.sampled_from(
                    [
                        Answered(0.1),
                        Answered(9.0),
                        Failed(),
                        Refused(),
                        Refused(True),
                        WasReset(),
                        Silent(),
                        Heard(),
                        Started(),
                        UNHEALTHY,
                        HEALTHY,
                        Listed(VmState.LEAVING, 1.0),
                        Listed(VmState.LIVE, 0.0),
                        Listed(None, 2.0),
                    ]
                ),
                st.floats(0, 20),
            )
        )
    )
    def test_weight_stays_in_range(self, steps):
        # Guards against a division by a weight of 0 at any sequence.
        health = Health()
        now = 0.0
        for target, evidence, passed in steps:
            now += passed
            health.record(target, evidence, now)
            self.assertTrue(0.0 < health.weigh(target, now) <= 1.0)
            health.find_suspects(NAMES, now)
            health.list_claims(now, 4)


class SuspicionTest(TestCase):
    def test_silence_and_its_end(self):
        health = Health()
        health.record(T0, Silent(), 1.0)
        self.assertEqual({T0}, health.find_suspects(NAMES, 1.0))
        health.record(T0, Heard(), 2.0)
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 2.0))
        self.assertEqual(1.0, health.weigh(T0, 2.0))

    def test_silent_target_is_tried_again_ever_more_rarely(self):
        # Guards against a target that stays suspected after it came back,
        # and against steady trials of one that did not.
        health = Health()
        free = 0
        for step in range(600):
            if T0 not in health.find_suspects(NAMES, step * 0.5):
                health.record(T0, Silent(), step * 0.5)
                free += 1
        self.assertThat(free, LessThan(10))
        self.assertThat(free, GreaterThan(4))

    def test_more_than_a_third_suspected(self):
        # Guards against evidence that empties a service.
        health = Health()
        for index in range(2):
            health.record(TargetId(f"t{index}"), Silent(), 0.0)
        self.assertEqual(2, len(health.find_suspects(NAMES, 0.0)))
        health.record(T2, Silent(), 0.0)
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 0.0))
        # The suspects still weigh less than the others.
        self.assertThat(health.weigh(T2, 0.0), LessThan(0.1))

    def test_healthy_claim_does_not_hide_failures(self):
        # Guards against a misleading health endpoint.
        health = Health()
        for step in range(6):
            health.record(T0, Failed(), step * 0.1)
            health.record(T0, HEALTHY, step * 0.1)
        self.assertEqual({T0}, health.find_suspects(NAMES, 0.6))

    def test_unhealthy_claim_does_not_stop_a_working_target(self):
        # Guards against a health endpoint that reports a working target down.
        health = Health()
        for step in range(100):
            health.record(T0, Answered(0.2), step * 0.5)
            health.record(T0, UNHEALTHY, step * 0.5)
            self.assertEqual(
                frozenset(), health.find_suspects(NAMES, step * 0.5)
            )
            self.assertEqual(1.0, health.weigh(T0, step * 0.5))

    def test_unhealthy_claim_without_traffic_is_tried(self):
        # Guards against a wrong claim that keeps a target idle for good.
        health = Health()
        suspected = []
        for second in range(60):
            health.record(T0, UNHEALTHY, float(second))
            suspected.append(T0 in health.find_suspects(NAMES, float(second)))
        self.assertTrue(suspected[0])
        self.assertIn(False, suspected)
        self.assertIn(True, suspected[30:])

    def test_claim_lapses(self):
        health = Health()
        health.record(T0, UNHEALTHY, 0.0)
        self.assertEqual({T0}, health.find_suspects(NAMES, 1.0))
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 20.0))
        health.record(T0, UNHEALTHY, 23.0)
        self.assertEqual({T0}, health.find_suspects(NAMES, 24.0))

    def test_vm_missing_from_a_lagging_list(self):
        # Guards against a lagging list that stops a target that answers, and
        # against a list from before the target started.
        health = Health()
        health.record(T0, Answered(0.2), 100.0)
        health.record(T0, Listed(None, 5.0), 100.0)
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 100.0))
        health.record(T1, Started(), 100.0)
        health.record(T1, Listed(None, 5.0), 101.0)
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 101.0))
        health.record(T2, Listed(None, 0.0), 101.0)
        self.assertEqual({T2}, health.find_suspects(NAMES, 101.0))


class LeavingTest(TestCase):
    def test_each_source_of_leaving(self):
        # Guards against new work for a leaving target more than 3 s after
        # the news: each source counts at once.
        draining = Claimed(healthy=True, draining=True, age=0.5)
        for evidence in (
            Refused(draining=True),
            Listed(VmState.LEAVING, 2.0),
            draining,
        ):
            health = Health()
            answer_all(health, 9.9)
            health.record(T0, evidence, 10.0)
            self.assertEqual({T0}, health.find_leaving(NAMES, 10.0))
            self.assertTrue(health.is_excluded(T0, 10.0))

    def test_older_news_does_not_undo_leaving(self):
        # Guards against a lagging list and late claims.
        health = Health()
        health.record(T0, Claimed(True, True, 0.0), 10.0)
        health.record(T0, Claimed(True, False, 3.0), 11.0)
        health.record(T0, Listed(VmState.LIVE, 0.0), 12.0)
        health.record(T0, UNHEALTHY, 12.0)
        self.assertEqual({T0}, health.find_leaving(NAMES, 12.0))
        health.record(T1, Listed(VmState.LEAVING, 0.0), 10.0)
        health.record(T1, Listed(VmState.LIVE, 5.0), 11.0)
        self.assertEqual({T0, T1}, health.find_leaving(NAMES, 12.0))

    def test_new_incarnation_is_not_leaving(self):
        health = Health()
        health.record(T0, Listed(VmState.LEAVING, 0.0), 10.0)
        health.record(T0, Started(), 20.0)
        self.assertEqual(frozenset(), health.find_leaving(NAMES, 20.0))

    def test_all_leaving(self):
        # The rule of a third holds for suspicion, not for leaving.
        health = Health()
        for name in NAMES:
            health.record(name, Listed(VmState.LEAVING, 0.0), 1.0)
        self.assertEqual(NAMES, health.find_leaving(NAMES, 1.0))
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 1.0))


class BoundTest(TestCase):
    def test_memory_is_bounded(self):
        # Guards against state that grows with the fleet.
        health = Health()
        for index in range(5000):
            health.record(TargetId(f"x{index}"), Silent(), 1.0)
        self.assertEqual(MAX_BELIEFS, len(health._beliefs))
        self.assertEqual(MAX_BELIEFS, len(health._troubled))

    def test_nothing_is_kept_of_idle_healthy_targets(self):
        health = Health()
        for index in range(5000):
            health.record(TargetId(f"x{index}"), HEALTHY, 1.0)
            health.record(TargetId(f"x{index}"), Listed(VmState.LIVE, 1.0), 1.0)
        self.assertEqual(0, len(health._beliefs))

    def test_clock_gap_voids_beliefs(self):
        # Guards against decisions on beliefs from before a pause.
        health = Health()
        self.assertFalse(health.tick(0.0))
        health.record(T0, Silent(), 0.5)
        self.assertFalse(health.tick(1.0))
        self.assertEqual({T0}, health.find_suspects(NAMES, 1.0))
        self.assertTrue(health.tick(2.1))
        self.assertEqual(frozenset(), health.find_suspects(NAMES, 2.1))

    def test_claims_do_not_go_round(self):
        # Guards against two processes that keep a doubt alive between them.
        first, second = Health(), Health()
        first.record(T0, Silent(), 0.0)
        listed = []
        for step in range(1, 60):
            now = step * 0.5
            for source, sink in ((first, second), (second, first)):
                for target, claim in source.list_claims(now, 4):
                    sink.record(target, claim, now)
            listed.append(bool(second.list_claims(now, 4)))
        self.assertTrue(listed[0])
        self.assertFalse(any(listed[12:]))
        self.assertEqual(frozenset(), second.find_suspects(NAMES, 30.0))


class SilenceTest(TestCase):
    def test_states(self):
        silence = Silence()
        self.assertEqual(SilenceState.HEARD, silence.judge(50.0))
        silence.note_sent(100.0)
        expected = (
            (100.4, SilenceState.HEARD),
            (100.5, SilenceState.PROBE),
            (101.0, SilenceState.SUSPECT),
            (104.9, SilenceState.SUSPECT),
            (105.0, SilenceState.GONE),
        )
        for now, state in expected:
            silence.note_sent(now)
            self.assertEqual(state, silence.judge(now))
        silence.note_heard(105.1)
        self.assertEqual(SilenceState.HEARD, silence.judge(200.0))

    def test_lull_is_not_silence(self):
        # Guards against a peer that is gone at the first packet after a lull.
        silence = Silence()
        silence.note_sent(0.0)
        silence.note_sent(100.0)
        self.assertEqual(SilenceState.HEARD, silence.judge(100.1))

    def test_forget_after_a_pause(self):
        # Guards against peers that are gone after a pause of this process.
        silence = Silence()
        silence.note_sent(0.0)
        silence.forget()
        self.assertEqual(SilenceState.HEARD, silence.judge(600.0))

    @EXACT
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 4).map(float))))
    def test_as_naive_log(self, events):
        # Differential against a log of all packets, with lulls below 5 s.
        silence, unanswered, now = Silence(), [], 0.0
        for sent, passed in events:
            now += passed
            if sent:
                silence.note_sent(now)
                unanswered.append(now)
            else:
                silence.note_heard(now)
                unanswered.clear()
            silent = now - unanswered[0] if unanswered else 0.0
            gone = silence.judge(now) is SilenceState.GONE
            self.assertEqual(silent >= 5.0, gone)
