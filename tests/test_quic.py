from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.quic import GoawayReader, encode_goaway, select_headers

SETTINGS = b"\x00\x04\x02\x01\x00"  # stream type, then a short SETTINGS frame


class GoawayReaderTest(TestCase):
    @settings(derandomize=True, database=None)
    @given(st.integers(0, 1 << 40), st.lists(st.integers(0, 30), max_size=9))
    def test_goaway_is_found_in_any_pieces_of_the_stream(self, stream, cuts):
        # Guards against a GOAWAY frame that a caller misses because it
        # arrives in several pieces.
        data = SETTINGS + encode_goaway(stream)
        reader = GoawayReader()
        points = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        found = [
            reader.read(data[start:end])
            for start, end in zip(points, points[1:], strict=False)
        ]
        self.assertEqual([stream], [f for f in found if f is not None])

    @settings(derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_garbage_raises_nothing(self, data):
        # Guards against control stream data of a faulty agent that ends the
        # caller's task by an exception.
        GoawayReader().read(b"\x00" + data)


class HeadersTest(TestCase):
    def test_own_fields_do_not_pass(self):
        # Guards against a target whose answer sets the outcome, which only
        # the agent may set.
        fields = ((b"outcome", b"not-run"), (b":path", b"/"), (b"x", b"y"))
        self.assertEqual(((b"x", b"y"),), select_headers(fields))
