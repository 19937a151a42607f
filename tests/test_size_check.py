"""Tests of the size check of encoded messages."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.errors import WireError
from jujuberun.size_check import check_sizes
from jujuberun.wire import Forward, Sighting, Status, encode

HUGE = b"\x7f\xff\xff\xff"


class SizeCheckTest(TestCase):
    def test_valid_messages_pass(self):
        # Guards against a check that refuses a message of the Thrift codec.
        sightings = [Sighting(b"\0" * 6, 5)] * 3
        for message in (
            Forward("s", 1, b"a" * 6, ["t-1", "t-2"], 0, payload=b"\x0f" * 99),
            Status("v", 1, b"", 2, b"", [], sightings=sightings, read_age=3),
        ):
            check_sizes(encode(message))

    def test_sizes_beyond_the_message_are_refused(self):
        # Guards against a daemon that a few bytes of a peer block: the codec
        # works for minutes on a list that declares 2**31 elements.
        for body in (
            b"\x0f\x00\x63\x02" + HUGE + b"\x00",
            b"\x0e\x00\x63\x02" + HUGE + b"\x00",
            b"\x0d\x00\x63\x02\x02" + HUGE + b"\x00",
            b"\x0b\x00\x01" + HUGE,
            b"\x0f\x00\x01\x0f\x00\x00\x00\x01\x02" + HUGE + b"\x00",
            b"\x0f\x00\x01\x01\x00\x00\x00\x01\x00\x00",
            b"\x0c\x00\x63" * 20_000,
            b"",
        ):
            self.assertRaises(WireError, check_sizes, body)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    @example(b"\x0f\x00\x01\x0c\x00\x00\x00\x02\x00")
    def test_arbitrary_bytes_raise_only_wire_errors(self, body):
        # Guards against an exception that the receiver does not handle.
        try:
            check_sizes(body)
        except WireError:
            return
