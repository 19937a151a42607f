import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.ids import ServiceId
from jujuberun.request import Reason
from jujuberun.start_limits import (
    BURST_S,
    MAX_RETRY_AFTER_S,
    MIN_BURST_PACKETS,
    StartLimits,
)

LABEL = ServiceId("label")
AGENT = ("192.0.2.1", 7100)
OTHER = ("192.0.2.2", 7100)


def make_limits() -> StartLimits:
    return StartLimits.from_config(random.Random(5))


def count_passed(limits, start: float, end: float, gap: float) -> int:
    times = range(int((end - start) / gap))
    return sum(
        limits.check_start(LABEL, start + gap * index) is None
        for index in times
    )


class StartLimitsTest(TestCase):
    def test_no_grant_means_no_limit(self):
        # Guards against refusing starts before any agent has granted a rate.
        limits = make_limits()
        self.assertEqual(1000, count_passed(limits, 0.0, 1.0, 0.001))

    def test_limit_ends_with_its_grant(self):
        # Guards against a limit that stays after its agent has left.
        limits = make_limits()
        limits.grant(LABEL, AGENT, 10.0, 2.0, 1, 0.0)
        self.assertThat(count_passed(limits, 0.0, 1.9, 0.001), LessThan(30))
        self.assertEqual(1000, count_passed(limits, 2.0, 3.0, 0.001))

    def test_agents_without_grant_count_with_the_mean(self):
        # Guards against one overloaded agent that limits the whole service to
        # its own rate.
        limits = make_limits()
        limits.grant(LABEL, AGENT, 10.0, 60.0, 7, 0.0)
        passed = count_passed(limits, 0.0, 10.0, 0.001)
        self.assertThat(passed, GreaterThan(690))
        self.assertThat(passed, LessThan(720))
        limits.grant(LABEL, OTHER, 30.0, 60.0, 7, 10.0)
        passed = count_passed(limits, 10.0, 20.0, 0.001)
        self.assertThat(passed, GreaterThan(1390))
        self.assertThat(passed, LessThan(1430))

    def test_pause_gives_no_burst(self):
        # Guards against tokens that accumulate while the process is paused.
        limits = make_limits()
        limits.grant(LABEL, AGENT, 100.0, 600.0, 1, 0.0)
        limits.check_start(LABEL, 0.0)
        passed = sum(
            limits.check_start(LABEL, 300.0) is None for _ in range(1000)
        )
        self.assertEqual(int(100.0 * BURST_S), passed)

    def test_refusal_is_spread_and_grows_with_the_flood(self):
        # Guards against refused callers that retry simultaneously or too soon.
        means = []
        for gap in (0.005, 0.0005):
            limits = make_limits()
            limits.grant(LABEL, AGENT, 100.0, 600.0, 1, 0.0)
            refusals = [
                limits.check_start(LABEL, gap * index) for index in range(4000)
            ]
            times = [r.retry_after for r in refusals[2000:] if r is not None]
            means.append(sum(times) / len(times))
            self.assertThat(max(times), GreaterThan(2 * min(times)))
            self.assertThat(max(times), LessThan(1.5 * MAX_RETRY_AFTER_S + 0.1))
        self.assertThat(means[1], GreaterThan(3 * means[0]))
        self.assertEqual(Reason.OVERLOADED, refusals[-1].reason)

    def test_removed_service_is_forgotten(self):
        # Guards against memory that grows with every service ever seen.
        limits = make_limits()
        limits.grant(LABEL, AGENT, 1.0, 60.0, 1, 0.0)
        limits.set_agent_counts({}, 1.0)
        self.assertEqual({}, limits.describe(1.0))
        self.assertEqual(100, count_passed(limits, 1.0, 2.0, 0.01))

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(
        rate=st.floats(0.0, 1000.0),
        gaps=st.lists(st.floats(0.0, 5.0), min_size=1, max_size=200),
    )
    def test_rate_is_never_exceeded(self, rate, gaps):
        # Guards against passing more than the granted rate due to rounding or
        # refilling.
        limits = make_limits()
        limits.grant(LABEL, AGENT, rate, 1e9, 1, 0.0)
        now, passed = 0.0, 0
        for gap in gaps:
            now += gap
            passed += limits.check_start(LABEL, now) is None
        burst = max(MIN_BURST_PACKETS, BURST_S * rate)
        self.assertThat(passed, LessThan(burst + rate * now + 1.0))
