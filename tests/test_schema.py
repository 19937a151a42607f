import copy
import json
import random
import time

import jsonschema
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import LessThan

from jujuberun.errors import ManifestError
from jujuberun.manifest import load_schema
from jujuberun.schema import compile_schema

SCHEMA = load_schema()
NAIVE = jsonschema.Draft202012Validator(SCHEMA)
CHECK = compile_schema(SCHEMA)
VALID = {
    "generation": 3,
    "services": [
        {
            "id": "label",
            "address": "192.0.2.1:443",
            "urgency": "urgent",
            "headroom": 0.5,
            "protocol": "request",
            "first_packet": "quic",
            "targets": ["t1", "t2"],
        }
    ],
    "targets": [
        {
            "id": name,
            "address": "127.0.0.1:9000",
            "agent": "10.0.0.1:7100",
            "domain": "erie-a",
            "slots": 2,
            "connection_limit": 2000,
        }
        for name in ("t1", "t2")
    ],
}

values = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False).filter(lambda x: not x.is_integer())
    | st.text(max_size=5)
    | st.sampled_from(["t1", "t1\n", "any", "prefix:ab", "0.0.0.0:1", [], {}])
    | st.lists(st.integers() | st.sampled_from(["t1", "t2"]), max_size=3)
)


def list_places(document, path=()):
    yield path
    items = ()
    if isinstance(document, dict):
        items = document.items()
    if isinstance(document, list):
        items = enumerate(document)
    for key, inner in items:
        yield from list_places(inner, (*path, key))


PLACES = sorted(list_places(VALID), key=str)


def mutate(path, action, value):
    document = copy.deepcopy(VALID)
    if not path:
        return value
    holder = document
    for key in path[:-1]:
        holder = holder[key]
    match action:
        case "replace":
            holder[path[-1]] = value
        case "remove":
            del holder[path[-1]]
        case "add" if isinstance(holder, dict):
            holder["extra"] = value
        case "add":
            holder.append(value)
    return document


mutations = st.builds(
    mutate,
    st.sampled_from(PLACES),
    st.sampled_from(["replace", "remove", "add"]),
    values,
)


class SchemaTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(mutations)
    def test_same_verdict_as_the_library(self, document):
        # Guards against a compiled checker that accepts what the schema
        # refuses, or refuses what it accepts.
        problem = CHECK(document)
        self.assertEqual(NAIVE.is_valid(document), problem is None, problem)

    def test_whole_numbers_are_stricter(self):
        # Guards against 1.0, which the library takes as a whole number; it
        # would reach messages between daemons as a float.
        document = {**VALID, "generation": 1.0}
        self.assertTrue(NAIVE.is_valid(document))
        self.assertEqual(("generation",), CHECK(document).path)

    def test_unknown_keyword_is_refused(self):
        # Guards against a schema rule that the compiled checker ignores.
        schema = copy.deepcopy(SCHEMA)
        schema["properties"]["generation"]["multipleOf"] = 2
        self.assertRaises(ManifestError, compile_schema, schema)

    def test_malformed_manifest_costs_little(self):
        # Guards against a balancer that stands still over a malformed
        # manifest of the largest size; the library took 13 s.
        targets = [0] * 490_000
        document = {**VALID, "targets": targets}
        self.assertThat(len(json.dumps(document)), LessThan(2_000_000))
        self.assertThat(self.measure(CHECK, document), LessThan(1.0))

    def test_faster_than_the_library(self):
        # Guards against losing the reason for which this module exists.
        rng = random.Random(3)
        service = {**VALID["services"][0], "targets": ["t1"]}
        services = [{**service, "id": f"s{i}"} for i in range(200)]
        rng.shuffle(services)
        document = {**VALID, "services": services}
        ours = self.measure(CHECK, document)
        naive = self.measure(lambda d: list(NAIVE.iter_errors(d)), document)
        self.assertThat(ours, LessThan(naive))

    def measure(self, check, document):
        begun = time.process_time()
        check(document)
        return time.process_time() - begun
