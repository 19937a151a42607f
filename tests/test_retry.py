import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.ids import DomainId, Outcome, TargetId
from jujuberun.measure import Options
from jujuberun.measure_retries import measure
from jujuberun.retry import (
    BASE_DELAY_S,
    MAX_DELAY_S,
    MIN_RETRY_RATE,
    RETRY_BURST,
    RETRY_SHARE,
    RetryBudget,
    choose_delay,
    choose_next_target,
    may_resend,
)

DOMAINS = {
    TargetId("a1"): DomainId("a"),
    TargetId("a2"): DomainId("a"),
    TargetId("b1"): DomainId("b"),
}


class RetryTest(TestCase):
    def test_resend_only_when_nothing_runs_twice(self):
        # Guards against running a non-idempotent request twice: it may only be
        # sent again if it certainly has not run.
        cases = {
            (Outcome.NOT_RUN, False): True,
            (Outcome.NOT_RUN, True): True,
            (Outcome.UNKNOWN, False): False,
            (Outcome.UNKNOWN, True): True,
            (Outcome.ANSWERED, False): False,
            (Outcome.ANSWERED, True): False,
        }
        for (outcome, idempotent), expected in cases.items():
            self.assertEqual(expected, may_resend(outcome, idempotent))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        events=st.lists(
            st.tuples(st.floats(0.0, 30.0), st.booleans()), max_size=300
        )
    )
    def test_budget_holds(self, events):
        # Guards against more retries than share, minimum rate and burst allow.
        budget = RetryBudget.from_config()
        now, requests, retries = 1000.0, 0, 0
        for gap, is_request in events:
            now += gap
            if is_request:
                budget.record_request(now)
                requests += 1
            else:
                retries += budget.allow_retry(now)
        allowed = (
            RETRY_BURST
            + RETRY_SHARE * requests
            + MIN_RETRY_RATE * (now - 1000.0)
        )
        self.assertThat(retries, LessThan(allowed + 1e-6))

    def test_idle_caller_may_retry(self):
        # Guards against a budget that never lets a caller with few requests
        # retry.
        budget = RetryBudget.from_config()
        while budget.allow_retry(0.0):
            pass
        self.assertFalse(budget.allow_retry(1.0))
        self.assertTrue(budget.allow_retry(1.0 + 1.0 / MIN_RETRY_RATE))

    def test_pause_gives_no_burst(self):
        # Guards against retries that accumulate over a pause of the process.
        budget = RetryBudget.from_config()
        budget.allow_retry(0.0)
        allowed = sum(budget.allow_retry(600.0) for _ in range(100))
        self.assertEqual(int(RETRY_BURST), allowed)

    def test_delay_has_full_jitter_and_honours_retry_after(self):
        # Guards against callers that retry simultaneously or too early.
        rng = random.Random(1)
        for attempt in (1, 3, 40, 5000):
            delays = [choose_delay(attempt, rng, 2.0) for _ in range(500)]
            ceiling = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** min(attempt, 32))
            self.assertThat(min(delays), GreaterThan(2.0 - 1e-9))
            self.assertThat(min(delays), LessThan(2.0 + 0.1 * ceiling))
            self.assertThat(max(delays), GreaterThan(2.0 + 0.9 * ceiling))
            self.assertThat(max(delays), LessThan(2.0 + ceiling + 1e-9))

    def test_next_target_is_in_another_domain(self):
        # Guards against a second attempt in a failure domain that just failed.
        names = list(DOMAINS)
        self.assertEqual("b1", choose_next_target(names, {"a1"}, DOMAINS))
        self.assertEqual("a2", choose_next_target(names, {"a1", "b1"}, DOMAINS))
        self.assertEqual("a1", choose_next_target(names, set(names), DOMAINS))
        self.assertIsNone(choose_next_target([], {"a1"}, DOMAINS))

    def test_no_retry_storm(self):
        # Guards against retries that multiply the load of the remaining targets
        # when a third of them fail at full load, and against repeated runs.
        for row in measure(Options(quick=True)).rows:
            if row.met is not None:
                self.assertTrue(row.met, row)
            if "answered in time" in row.name:
                self.assertThat(row.ours, GreaterThan(row.naive), row.name)
