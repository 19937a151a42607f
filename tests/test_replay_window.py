from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.replay_window import REPLAY_WINDOW_SIZE, ReplayWindow

NOW = 1_700_000_000_000


class ReplayWindowTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(st.integers(0, 3 * REPLAY_WINDOW_SIZE), max_size=200))
    def test_window_matches_set_of_all_numbers(self, sequences):
        # Guards against a window that accepts a sequence number twice, or
        # refuses a new one that is not too old. Compares the window with a set
        # of all accepted numbers.
        window = ReplayWindow()
        seen = set()
        for sequence in sequences:
            highest = max(seen, default=0)
            new = (
                sequence not in seen and highest - sequence < REPLAY_WINDOW_SIZE
            )
            self.assertEqual(new, window.accept(sequence, NOW), sequence)
            if new:
                seen.add(sequence)
