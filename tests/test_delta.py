import json

import zstandard
from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.delta import (
    MAX_DOCUMENT_BYTES,
    apply_delta,
    digest_document,
    make_delta,
    pack_document,
    unpack_document,
)

TEXTS = st.lists(
    st.sampled_from([b"{a}", b"{b}", b"{c}", b"}", b"x", b"[", b"{long text}"]),
    max_size=30,
).map(b"".join)


def make_document(count, changed=()):
    vms = [
        {"id": f"vm-{i}", "state": "leaving" if i in changed else "live"}
        for i in range(count)
    ]
    return json.dumps({"vms": vms}).encode()


class DeltaTest(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(TEXTS, TEXTS)
    @example(b"", b"")
    @example(b"{a}{b}", b"{b}{a}{a}")
    def test_delta_turns_base_into_data(self, base, data):
        digest = digest_document(data)
        delta = make_delta(base, data)
        self.assertEqual(data, apply_delta(base, delta, digest).ok_value)
        packed = pack_document(data)
        self.assertEqual(data, unpack_document(packed, digest).ok_value)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(TEXTS, TEXTS, st.integers(0, 200), st.binary(max_size=4))
    def test_damage_is_refused(self, base, data, place, damage):
        # Guards against a damaged delta that raises an exception or results
        # in another document.
        delta = make_delta(base, data)
        place = min(place, len(delta))
        damaged = delta[:place] + damage + delta[place + len(damage) :]
        result = apply_delta(base, damaged, digest_document(data))
        self.assertTrue(result.is_err() or result.ok_value == data)

    def test_other_base_is_refused(self):
        base, data = make_document(9), make_document(9, {3})
        delta = make_delta(base, data)
        other = make_document(9, {1})
        result = apply_delta(other, delta, digest_document(data))
        self.assertIn("digest", str(result.err_value))

    def test_announced_size_is_not_allocated(self):
        # Guards against a small message that uses up the memory when it is
        # decompressed.
        bomb = zstandard.ZstdCompressor().compress(b"0" * 50_000_000)
        for result in (
            unpack_document(bomb, b""),
            apply_delta(b"", bomb, b""),
        ):
            self.assertIn("not within", str(result.err_value))

    def test_repeated_copies_are_bounded(self):
        # Guards against a small delta that results in a huge document because
        # it copies the base many times.
        base = b"x" * 100_000
        steps = (0).to_bytes(4, "big") + len(base).to_bytes(4, "big") + bytes(4)
        delta = pack_document(steps * (MAX_DOCUMENT_BYTES // 100_000 + 1))
        result = apply_delta(base, delta, b"")
        self.assertIn("more than", str(result.err_value))

    def test_one_change_in_a_large_list_is_small(self):
        # Guards against sending the whole VM list after a change of one VM:
        # the traffic of 1,700 changes a day must fit in 5 KB/s.
        delta = make_delta(make_document(4170), make_document(4170, {2000}))
        self.assertThat(len(delta), LessThan(200))
