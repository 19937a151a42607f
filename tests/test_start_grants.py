import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, HasLength, LessThan

from jujuberun.ids import ServiceId
from jujuberun.measure import Options
from jujuberun.measure_shares import SENDERS, measure
from jujuberun.start_grants import (
    CPU_SHARE,
    GRANT_PERIOD_S,
    HANDSHAKE_CPU_S,
    REQUEST_CPU_S,
    StartGrants,
    compute_start_rate,
    divide_by_use,
    divide_max_min,
)
from jujuberun.start_limits import StartLimits

LABEL = ServiceId("label")
MEAL = ServiceId("meal-change")
AGENT = ("192.0.2.99", 7100)


def offer(start_grants: StartGrants, service: ServiceId, rate: float) -> None:
    for index in range(int(rate * GRANT_PERIOD_S)):
        start_grants.record_start(service, SENDERS[index % len(SENDERS)])


class StartGrantsTest(TestCase):
    def test_starts_fit_into_the_cpu_share(self):
        # Guards against handshakes that use the CPU time of known flows.
        for requests in (0.0, 500.0, 1500.0):
            rate = compute_start_rate(requests)
            used = (
                rate * (HANDSHAKE_CPU_S + REQUEST_CPU_S)
                + requests * REQUEST_CPU_S
            )
            self.assertThat(used, LessThan(CPU_SHARE + 1e-9))
        self.assertThat(compute_start_rate(1e6), GreaterThan(0.0))

    def test_quiet_agent_grants_nothing(self):
        # Guards against limiting starts without overload.
        start_grants = StartGrants.from_config()
        for period in range(5):
            offer(start_grants, LABEL, 20.0)
            self.assertEqual(
                [], start_grants.compute_grants(GRANT_PERIOD_S * period)
            )

    def test_only_the_flooding_service_is_limited(self):
        # Guards against a flood that uses up the start rate of other services.
        start_grants = StartGrants.from_config()
        start_grants.compute_grants(0.0)
        offer(start_grants, LABEL, 2000.0)
        offer(start_grants, MEAL, 20.0)
        grants = start_grants.compute_grants(GRANT_PERIOD_S)
        self.assertEqual({LABEL}, {grant.service for grant in grants})
        self.assertThat(grants, HasLength(len(SENDERS)))
        total = sum(grant.rate for grant in grants)
        self.assertAlmostEqual(compute_start_rate(0.0) - 20.0, total)

    def test_pause_gives_no_grants(self):
        # Guards against rates computed from counts that span a pause.
        start_grants = StartGrants.from_config()
        start_grants.compute_grants(0.0)
        offer(start_grants, LABEL, 2000.0)
        self.assertEqual([], start_grants.compute_grants(60.0))

    def test_flood_is_held_and_released(self):
        # Guards against a limit that is exceeded, oscillates or stays after the
        # flood.
        rng = random.Random(2)
        start_grants = StartGrants.from_config()
        limits = {s: StartLimits.from_config(rng) for s in SENDERS}
        accepted_rates = []
        for period in range(30):
            offered = 2000 if 5 <= period < 20 else 40
            count = 0
            for index in range(int(offered * GRANT_PERIOD_S)):
                now = GRANT_PERIOD_S * period + index / offered
                sender = rng.choice(SENDERS)
                if limits[sender].check_start(LABEL, now) is None:
                    start_grants.record_start(LABEL, sender)
                    count += 1
            accepted_rates.append(count / GRANT_PERIOD_S)
            now = GRANT_PERIOD_S * (period + 1)
            for grant in start_grants.compute_grants(now):
                limits[grant.balancer].grant(
                    LABEL, AGENT, grant.rate, grant.expires, 1, now
                )
        rate = compute_start_rate(0.0)
        for accepted_rate in accepted_rates[6:20]:
            self.assertThat(accepted_rate, GreaterThan(0.8 * rate))
            self.assertThat(accepted_rate, LessThan(1.1 * rate))
        self.assertEqual([40.0] * 6, accepted_rates[24:])
        for limit in limits.values():
            self.assertEqual({}, limit.describe(GRANT_PERIOD_S * 30))

    def test_idle_services_take_no_part_of_the_rate(self):
        # Guards against dividing the rate among removed services too: the even
        # part of a small service would shrink until it counts as a flood.
        start_grants = StartGrants.from_config()
        start_grants.compute_grants(0.0)
        for number in range(20):
            offer(start_grants, ServiceId(f"old-{number}"), 2.0)
        for period in range(1, 4):
            start_grants.compute_grants(GRANT_PERIOD_S * period)
        offer(start_grants, LABEL, 30.0)
        offer(start_grants, MEAL, 130.0)
        grants = start_grants.compute_grants(GRANT_PERIOD_S * 4)
        granted = sum(g.rate for g in grants if g.service == MEAL)
        self.assertThat(granted, GreaterThan(130.0))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        rate=st.floats(0.1, 1e4),
        wanted=st.dictionaries(
            st.sampled_from("abcdef"),
            st.floats(0.0, 1e4) | st.just(math.inf),
            min_size=1,
        ),
    )
    def test_fair_division(self, rate, wanted):
        # Guards against shares that exceed the rate or the demand, and against
        # an unused rate while a service wants more.
        shares = divide_max_min(rate, wanted)
        total = sum(shares.values())
        self.assertThat(total, LessThan(rate * 1.0001))
        for service, share in shares.items():
            self.assertTrue(share <= wanted[service])
            if share < wanted[service] * 0.9999:
                self.assertTrue(share >= max(shares.values()) * 0.9999)
                self.assertAlmostEqual(rate, total, delta=rate * 1e-4)

    def test_division_by_use_lets_all_begin(self):
        # Guards against a balancer that never gets a rate because it had no
        # recent starts.
        rates = divide_by_use(
            100.0, dict(zip(SENDERS, (9, 3, 0, 0), strict=True))
        )
        self.assertAlmostEqual(100.0, sum(rates.values()))
        self.assertThat(min(rates.values()), GreaterThan(0.0))

    def test_division_by_use_loses_to_equal_shares_nowhere(self):
        # Guards against a division by use that is worse than equal shares. A
        # difference of two starts is chance.
        for row in measure(Options(quick=True)).rows:
            if "by use" in row.name:
                self.assertThat(row.ours, GreaterThan(row.naive - 1.0))
