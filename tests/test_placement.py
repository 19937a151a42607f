import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from jujuberun.ids import DomainId, TargetId
from jujuberun.loads import LoadTable, TargetLoad
from jujuberun.manifest import Target
from jujuberun.placement import (
    ActiveSet,
    ActiveTargets,
    choose_owner,
    choose_peers,
    order_targets,
)

EXACT = settings(derandomize=True, deadline=None)


def make_targets(count: int, domains: int = 4, limit: int = 2000):
    return [
        Target(
            TargetId(f"t{index}"),
            ("127.0.0.1", 9000),
            ("127.0.0.1", 9001),
            DomainId(f"d{index % domains}"),
            2,
            limit,
        )
        for index in range(count)
    ]


def list_ids(targets) -> ActiveTargets:
    return ActiveTargets(target.id for target in targets)


def note_flows(
    loads: LoadTable, flows: dict[str, int], now: float = 0.0
) -> None:
    for name, count in flows.items():
        loads.record_load(TargetId(name), TargetLoad(0, 0, count), 0.0, now)


class OwnerTest(TestCase):
    @EXACT
    @given(
        st.lists(st.integers(0, 50), min_size=7, max_size=7),
        st.permutations([f"t{index}" for index in range(7)]),
        st.sets(st.integers(0, 6), min_size=2),
    )
    def test_equals_naive_choice(self, flows, order, active):
        # Compares the choice with a naive version: the one of the first two
        # active candidates that has fewer flows, the earlier one in a tie.
        targets = make_targets(7)
        loads = LoadTable(targets)
        note_flows(loads, {f"t{i}": n for i, n in enumerate(flows)})
        names = ActiveTargets(TargetId(f"t{index}") for index in active)
        usable = [name for name in order if name in names][:2]
        naive = min(usable, key=lambda name: flows[int(name[1:])])
        self.assertEqual(naive, choose_owner(order, loads, names, 1.0))

    def test_assigned_flows_count_before_the_next_report(self):
        # Guards against a rush of new flows to one target: it stays the least
        # loaded one in the reports until its next report arrives.
        loads = LoadTable(make_targets(2))
        note_flows(loads, {"t0": 10, "t1": 0})
        names = list_ids(make_targets(2))
        counts = {"t0": 10, "t1": 0}
        for _ in range(30):
            owner = choose_owner(("t0", "t1"), loads, names, 1.0)
            loads.count_assigned_flow(owner)
            counts[owner] += 1
        self.assertEqual({"t0": 20, "t1": 20}, counts)

    def test_connection_limit(self):
        # Guards against placing more flows on a target than its connection
        # limit allows.
        targets = make_targets(2, limit=3)
        loads = LoadTable(targets)
        names = list_ids(targets)
        owners = []
        for _ in range(7):
            owner = choose_owner(("t0", "t1"), loads, names, 0.0)
            owners.append(owner)
            if owner is not None:
                loads.count_assigned_flow(owner)
        self.assertEqual(3, owners.count("t0"))
        self.assertEqual(3, owners.count("t1"))
        self.assertIsNone(owners[-1])

    def test_candidates_outside_the_active_set(self):
        # Guards against new work on targets outside the active set when all
        # candidates of a flow are outside it.
        targets = make_targets(100)
        loads = LoadTable(targets)
        names = list_ids(targets[:5])
        rng = random.Random(1)
        counts = dict.fromkeys(names, 0)
        for _ in range(1000):
            candidates = tuple(rng.sample(list_ids(targets[5:]), 3))
            owner = choose_owner(candidates, loads, names, 0.0)
            loads.count_assigned_flow(owner)
            counts[owner] += 1
        self.assertThat(max(counts.values()), LessThan(1.25 * 1000 / 5))
        self.assertIsNone(choose_owner(("t7",), loads, ActiveTargets(()), 0.0))

    def test_cold_target_gets_a_small_share(self):
        def weigh(target: TargetId, now: float) -> float:
            return 0.1 if target == "t1" else 1.0

        loads = LoadTable(make_targets(2), weigh)
        names = list_ids(make_targets(2))
        owners = []
        for _ in range(110):
            owners.append(choose_owner(("t1", "t0"), loads, names, 0.0))
            loads.count_assigned_flow(owners[-1])
        self.assertEqual(10, owners.count("t1"))

    def test_cost_does_not_grow_with_the_service(self):
        # Guards against a scan of all targets for each new flow.
        def count_weighs(count: int) -> int:
            calls = []

            def weigh(target: TargetId, now: float) -> float:
                calls.append(target)
                return 1.0

            loads = LoadTable(make_targets(count), weigh)
            names = list_ids(make_targets(count)[3:])
            choose_owner(("t0", "t1", "t2"), loads, names, 0.0)
            return len(calls)

        self.assertEqual(count_weighs(7), count_weighs(3600))


class PeersTest(TestCase):
    def test_asks_any_active_target_but_itself(self):
        targets = make_targets(7)
        names = list_ids(targets[:6])  # t6 is suspected
        rng = random.Random(1)
        asked = set()
        for _ in range(300):
            peers = choose_peers(names[0], LoadTable(targets), names, 0.0, rng)
            self.assertEqual(2, len(set(peers)))
            asked.update(peers)
        self.assertEqual(set(names[1:]), asked)

    def test_target_that_fails_fast_is_seldom_asked(self):
        # Guards against handing requests to a target that has idle slots only
        # because it fails its requests fast.
        def weigh(target: TargetId, now: float) -> float:
            return 0.05 if target == "t1" else 1.0

        targets = make_targets(7)
        loads, names, rng = LoadTable(targets, weigh), list_ids(targets), None
        rng = random.Random(2)
        asked = [
            peer
            for _ in range(1000)
            for peer in choose_peers(names[0], loads, names, 0.0, rng)
        ]
        self.assertThat(asked.count("t1"), LessThan(asked.count("t2") / 4))

    def test_single_target_asks_no_peers(self):
        targets = make_targets(1)
        rng = random.Random(1)
        names = list_ids(targets)
        self.assertEqual(
            (), choose_peers(names[0], LoadTable(targets), names, 0.0, rng)
        )


def compute_active(
    headroom: float, targets, load: float, **kwargs
) -> ActiveTargets:
    return ActiveSet(headroom, order_targets(targets)).update(
        load, 0.0, **kwargs
    )


class ActiveSetTest(TestCase):
    @EXACT
    @given(st.integers(1, 40), st.integers(1, 10), st.randoms())
    def test_order_is_the_same_everywhere(self, count, domains, rng):
        # Guards against processes that keep different targets idle because
        # they know the targets in different orders.
        targets = make_targets(count, domains)
        shuffled = list(targets)
        rng.shuffle(shuffled)
        self.assertEqual(order_targets(targets), order_targets(shuffled))

    @EXACT
    @given(st.integers(1, 6), st.integers(1, 10), st.integers(1, 60))
    def test_prefixes_spread_over_domains(self, domains, each, count):
        # Guards against an active set that lies in one failure domain.
        ordered = order_targets(make_targets(domains * each, domains))
        chosen = [target.domain for target in ordered[:count]]
        counts = [chosen.count(f"d{index}") for index in range(domains)]
        self.assertTrue(max(counts) - min(counts) <= 1)

    @EXACT
    @given(
        st.floats(0, 200), st.floats(0, 200), st.floats(0, 1), st.floats(0, 1)
    )
    def test_sets_differ_only_at_the_end(self, load, other, low, high):
        # Guards against processes that choose disjoint sets: for any two loads
        # and headrooms one set must be a prefix of the other.
        targets = make_targets(30)
        first = compute_active(low, targets, load)
        second = compute_active(high, targets, other)
        short, long = sorted((first, second), key=len)
        self.assertEqual(short, long[: len(short)])
        if low <= high and load <= other:
            self.assertTrue(len(first) <= len(second))

    @EXACT
    @given(st.floats(0, 1), st.floats(0, 14), st.integers(1, 100))
    def test_slots_suffice(self, headroom, load, count):
        # Guards against a set with fewer slots than the load needs while there
        # are more targets.
        targets = make_targets(count)
        active = compute_active(headroom, targets, load)
        self.assertTrue(2 * len(active) >= min(load, 2 * count))
        if headroom == 1.0:
            self.assertEqual(count, len(active))

    @EXACT
    @given(
        st.floats(0.9, 1),
        st.floats(0, 0.6),
        st.integers(7, 100),
        st.integers(0, 3),
    )
    def test_tolerates_a_lost_domain(self, headroom, share, count, domain):
        # Guards against too small a headroom: when a failure domain is lost,
        # the remaining active targets must have enough slots for the load.
        targets = {target.id: target for target in make_targets(count)}
        load = share * 2 * count
        active = compute_active(headroom, targets.values(), load)
        left = [n for n in active if targets[n].domain != f"d{domain}"]
        self.assertTrue(2 * len(left) >= load)

    def test_replaces_suspects_and_leaving_at_once(self):
        targets = make_targets(20)
        active_set = ActiveSet(0.0, order_targets(targets))
        before = active_set.update(8.0, 0.0)
        after = active_set.update(8.0, 0.0, excluded=frozenset(before[:2]))
        self.assertEqual(len(before), len(after))
        self.assertEqual(frozenset(), set(before[:2]) & set(after))

    def test_all_excluded(self):
        targets = make_targets(3)
        names = frozenset(list_ids(targets))
        self.assertEqual((), compute_active(0.5, targets, 1.0, excluded=names))

    def test_all_active_until_the_load_is_known(self):
        # Guards against sending all work to the first target after a restart
        # of all agents, when no agent knows a load yet.
        active_set = ActiveSet(0.0, order_targets(make_targets(20)))
        self.assertEqual(20, len(active_set.update(None, 0.0)))
        self.assertEqual(1, len(active_set.update(0.0, 1.0)))
        self.assertEqual(1, len(active_set.update(None, 2.0)))

    def test_surge_is_not_smoothed(self):
        active_set = ActiveSet(0.0, order_targets(make_targets(20)))
        for second in range(60):
            active_set.update(4.0, float(second))
        active = active_set.update(36.0, 60.0)
        self.assertTrue(2 * len(active) >= 24)

    def test_flapping_load(self):
        # Guards against targets that become active and idle with each swing of
        # the load. The load swings faster than the 30 s after which the set
        # shrinks.
        active_set = ActiveSet(0.0, order_targets(make_targets(20)))
        naive_sizes = []
        sizes = []
        for second in range(600):
            load = 24.0 if second // 10 % 2 else 6.0
            sizes.append(len(active_set.update(load, float(second))))
            naive_sizes.append(len(compute_active(0.0, make_targets(20), load)))
        changes = sum(
            a != b for a, b in zip(sizes[60:], sizes[61:], strict=False)
        )
        naive = sum(
            a != b
            for a, b in zip(naive_sizes[60:], naive_sizes[61:], strict=False)
        )
        self.assertThat(naive, GreaterThan(50))
        self.assertThat(changes, LessThan(3))

    def test_shrinks_after_the_delay(self):
        active_set = ActiveSet(0.0, order_targets(make_targets(20)))
        for second in range(30):
            active_set.update(24.0, float(second))
        busy = len(active_set.update(24.0, 30.0))
        for second in range(31, 150):
            active = active_set.update(2.0, float(second))
            if second < 60:
                self.assertEqual(busy, len(active))
        self.assertThat(len(active), LessThan(4))
