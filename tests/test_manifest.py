import copy
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun import manifest
from jujuberun.manifest import load_schema, parse_manifest

TARGET = {
    "id": "t0",
    "address": "127.0.0.1:8000",
    "agent": "127.0.0.1:7100",
    "domain": "d0",
    "slots": 2,
    "connection_limit": 2000,
}
SERVICE = {
    "id": "s0",
    "address": "192.0.2.1:443",
    "urgency": "normal",
    "headroom": 0.5,
    "protocol": "datagram",
    "first_packet": "any",
    "targets": ["t0"],
}
VALID = {"generation": 1, "services": [SERVICE], "targets": [TARGET]}
VALUES = st.sampled_from([None, True, 1, 1.0, 2, "", "t0", [], ["t0"], {}])


def parse(document):
    return parse_manifest(json.dumps(document).encode())


class CheckedEntriesTest(TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.sampled_from(["services", "targets"]),
        st.sampled_from(sorted(SERVICE | TARGET)),
        VALUES,
    )
    def test_verdict_is_the_same_after_a_valid_manifest(self, kind, key, value):
        # Guards against an entry that is taken as checked because it equals
        # a valid one in Python (1, 1.0 and true).
        document = copy.deepcopy(VALID)
        document["targets"][0]["slots"] = 1
        document["services"][0]["headroom"] = 1
        changed = copy.deepcopy(document)
        changed[kind][0][key] = value
        text = json.dumps(changed).encode()
        self.assertTrue(parse({**VALID, "generation": 9}).is_ok())
        fresh = parse_manifest(text)
        self.assertTrue(parse(document).is_ok())
        again = parse_manifest(text)
        self.assertEqual(fresh.is_ok(), again.is_ok())
        if fresh.is_err():
            self.assertEqual(str(fresh.err_value), str(again.err_value))

    def test_length_limits_hold_for_checked_entries(self):
        self.patch(manifest, "MAX_MANIFEST_BYTES", 10_000_000)
        limit = load_schema()["properties"]["services"]["maxItems"]
        self.assertTrue(parse(VALID).is_ok())
        for count in (0, limit + 1):
            document = {**VALID, "services": [SERVICE] * count}
            self.assertIn("services", str(parse(document).err_value))

    def test_deep_nesting_is_refused(self):
        # Guards against a RecursionError that ends the process; it was
        # raised for nesting from 989 levels on, below the parser's limit.
        for depth in (100, 970, 985, 989, 993, 2000):
            nested = "[" * depth + "]" * depth
            text = f'{{"generation":1,"services":[{nested}],"targets":[]}}'
            self.assertTrue(parse_manifest(text.encode()).is_err())
