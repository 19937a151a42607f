import random

from fleet import make_manifest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.generations import HISTORY_RETENTION_S, Generations, OfferResult

OFFERS = st.lists(
    st.tuples(st.booleans(), st.integers(1, 6), st.integers(1, 2)), max_size=14
)


class GenerationsTest(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(OFFERS)
    def test_never_reverts(self, offers):
        # Guards against an offer or a history entry that replaces the
        # manifest in force by an older one or by other content of the same
        # generation.
        generations = Generations()
        seen = []
        generations.subscribe(lambda version: seen.append(version))
        highest, text = 0, b""
        for now, (is_history, generation, slots) in enumerate(offers):
            data = make_manifest(generation, slots)
            if is_history:
                generations.add_history(data, "peer", now - 2.0, now - 1.0)
            else:
                result = generations.offer(data, "platform", float(now))
                taken = result.ok() is OfferResult.IN_FORCE
                self.assertEqual(generation > highest, taken)
                if taken:
                    highest, text = generation, data
            self.assertEqual((highest, text), self.describe(generations))
        numbers = [version.manifest.generation for version in seen]
        self.assertEqual(sorted(set(numbers)), numbers)
        held = [v.manifest.generation for v in generations.list_history(20.0)]
        self.assertEqual(sorted(set(held), reverse=True), held)
        self.assertNotIn(highest, held)

    def describe(self, generations):
        return generations.position, generations.text

    def test_equal_generation_with_other_content_is_reported(self):
        generations = Generations()
        generations.offer(make_manifest(3), "platform", 0.0)
        result = generations.offer(make_manifest(3, slots=5), "10.0.0.9:1", 1.0)
        self.assertEqual("10.0.0.9:1", result.err_value.peer)
        self.assertIn("publish a higher generation", generations.refused[-1])

    def test_history_keeps_times_and_order(self):
        generations = Generations()
        generations.offer(make_manifest(9), "platform", 100.0)
        numbers = [5, 7, 6]
        random.Random(1).shuffle(numbers)
        for number in numbers:
            since = 10.0 * number
            generations.add_history(
                make_manifest(number), "peer", since, since + 10
            )
        history = generations.list_history(100.0)
        found = [(v.manifest.generation, v.replaced) for v in history]
        self.assertEqual([(7, 80.0), (6, 70.0), (5, 60.0)], found)
        late = generations.list_history(65.0 + HISTORY_RETENTION_S)
        self.assertEqual(2, len(late))
        result = generations.add_history(make_manifest(10), "peer", 0.0, 1.0)
        self.assertIn("not older", str(result.err_value))

    def test_old_versions_are_dropped(self):
        # Guards against expired versions that stay in memory until
        # MAX_VERSIONS of them, several MB each, have accumulated.
        generations = Generations()
        for number in range(1, 5):
            now = number * (HISTORY_RETENTION_S + 1)
            generations.offer(make_manifest(number), "platform", now)
        self.assertEqual(2, len(generations._versions))
