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
LIBRARY_CHECK = jsonschema.Draft202012Validator(SCHEMA)
COMPILED_CHECK = compile_schema(SCHEMA)
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


def list_paths(document, path=()):
    yield path
    items = ()
    if isinstance(document, dict):
        items = document.items()
    if isinstance(document, list):
        items = enumerate(document)
    for key, inner in items:
        yield from list_paths(inner, (*path, key))


PATHS = sorted(list_paths(VALID), key=str)


def mutate(path, action, value):
    document = copy.deepcopy(VALID)
    if not path:
        return value
    container = document
    for key in path[:-1]:
        container = container[key]
    match action:
        case "replace":
            container[path[-1]] = value
        case "remove":
            del container[path[-1]]
        case "add" if isinstance(container, dict):
            container["extra"] = value
        case "add":
            container.append(value)
    return document


mutations = st.builds(
    mutate,
    st.sampled_from(PATHS),
    st.sampled_from(["replace", "remove", "add"]),
    values,
)


class SchemaTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(mutations)
    def test_same_result_as_the_library(self, document):
        # Guards against a compiled check that accepts a document that the
        # schema forbids, or refuses one that the schema allows.
        violation = COMPILED_CHECK(document)
        self.assertEqual(
            LIBRARY_CHECK.is_valid(document), violation is None, violation
        )

    def test_whole_numbers_are_stricter(self):
        # Guards against accepting 1.0, which the library accepts as an
        # integer. It would be put as a float into messages between daemons.
        document = {**VALID, "generation": 1.0}
        self.assertTrue(LIBRARY_CHECK.is_valid(document))
        self.assertEqual(("generation",), COMPILED_CHECK(document).path)

    def test_unknown_keyword_is_refused(self):
        # Guards against a keyword of the schema that the compiled check
        # ignores.
        schema = copy.deepcopy(SCHEMA)
        schema["properties"]["generation"]["multipleOf"] = 2
        self.assertRaises(ManifestError, compile_schema, schema)

    def test_malformed_manifest_costs_little(self):
        # Guards against a malformed manifest of the largest size that blocks
        # a balancer. The library needed 13 s for it.
        targets = [0] * 490_000
        document = {**VALID, "targets": targets}
        self.assertThat(len(json.dumps(document)), LessThan(2_000_000))
        self.assertThat(self.measure(COMPILED_CHECK, document), LessThan(1.0))

    def test_faster_than_the_library(self):
        # Guards against a compiled check that is slower than the library:
        # speed is the reason for not using the library.
        rng = random.Random(3)
        service = {**VALID["services"][0], "targets": ["t1"]}
        services = [{**service, "id": f"s{i}"} for i in range(200)]
        rng.shuffle(services)
        document = {**VALID, "services": services}
        compiled_time = self.measure(COMPILED_CHECK, document)
        library_time = self.measure(
            lambda d: list(LIBRARY_CHECK.iter_errors(d)), document
        )
        self.assertThat(compiled_time, LessThan(library_time))

    def measure(self, check, document):
        start = time.process_time()
        check(document)
        return time.process_time() - start
