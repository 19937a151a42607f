import copy
import json

from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok
from test_schema import VALID, mutations
from testtools import TestCase

from jujuberun import manifest as manifest_module
from jujuberun.canonical import dump_manifest
from jujuberun.first_packet import FirstPacket
from jujuberun.manifest import (
    MAX_MANIFEST_BYTES,
    load_schema,
    parse_manifest,
)


def render(**changes):
    return json.dumps({**copy.deepcopy(VALID), **changes}).encode()


def change_service(**changes):
    return render(services=[{**VALID["services"][0], **changes}])


def change_target(**changes):
    first, second = VALID["targets"]
    return render(targets=[{**first, **changes}, second])


SERVICE = VALID["services"][0]
TARGET = VALID["targets"][0]
# By case: the manifest, a part of the key that the error names, and a part of
# what the error says about the allowed values.
REFUSED = {
    "unknown key": (render(extra=1), "extra", "known keys: generation"),
    "unknown service key": (change_service(x=1), "services.0.x", "known keys"),
    "unknown target key": (change_target(x=1), "targets.0.x", "known keys"),
    "long key": (render(**{"k" * 500: 1}), "kkk", "known keys"),
    "key with a line break": (render(**{"a\nb": 1}), '"a\\nb"', "known"),
    "missing key": (b'{"services": []}', "generation", "is missing"),
    "duplicate service id": (
        render(services=[SERVICE, {**SERVICE, "address": "192.0.2.2:443"}]),
        "services.1.id",
        "a unique id",
    ),
    "duplicate target id": (
        render(targets=[TARGET, TARGET, VALID["targets"][1]]),
        "targets.1.id",
        "a unique id",
    ),
    "two services on one address": (
        render(services=[SERVICE, {**SERVICE, "id": "other"}]),
        "services.1.address",
        "service 'label' does not use",
    ),
    "service with no target": (
        change_service(targets=[]),
        "services.0.targets",
        "at least one target id",
    ),
    "target named twice": (
        change_service(targets=["t1", "t1"]),
        "services.0.targets",
        "each once",
    ),
    "target not defined": (
        change_service(targets=["t1", "t9"]),
        "services.0.targets.1",
        "that the manifest defines",
    ),
    "no services": (render(services=[]), "services", "1 to 10,000"),
    "no targets": (render(targets=[]), "targets", "at least one target"),
    "negative slots": (change_target(slots=-2), "targets.0.slots", "from 1"),
    "no slots": (change_target(slots=0), "targets.0.slots", "from 1"),
    "slots as a float": (change_target(slots=2.0), "targets.0.slots", "whole"),
    "slots as true": (change_target(slots=True), "targets.0.slots", "whole"),
    "negative connection limit": (
        change_target(connection_limit=-1),
        "targets.0.connection_limit",
        "from 1",
    ),
    "negative generation": (render(generation=-1), "generation", "from 1"),
    "generation as a float": (render(generation=1.0), "generation", "whole"),
    "huge generation": (render(generation=10**30), "generation", "whole"),
    "number of 5000 digits": (
        render().replace(b'"generation": 3', b'"generation": ' + b"9" * 5000),
        "file",
        "one JSON object",
    ),
    "headroom above 1": (change_service(headroom=1.1), "headroom", "0 (sav"),
    "negative headroom": (change_service(headroom=-0.1), "headroom", "0 (sav"),
    "NaN": (change_service(headroom=float("nan")), "file", "NaN is not"),
    "infinity": (change_service(headroom=float("inf")), "file", "Infinity"),
    "overflowing float": (
        change_service(headroom=7.5).replace(b"7.5", b"1e999"),
        "services.0.headroom",
        "0 (savings)",
    ),
    "address without port": (
        change_service(address="192.0.2.1"),
        "services.0.address",
        "IPv4",
    ),
    "address of another script": (
        change_service(address="192.0.2.1:４43"),
        "services.0.address",
        "IPv4",
    ),
    "id with a line break": (change_target(id="t1\n"), "targets.0.id", "63"),
    "unknown rule": (change_service(first_packet="x"), "first_packet", "quic"),
    "oversize file": (
        render() + b" " * MAX_MANIFEST_BYTES,
        "file",
        f"at most {MAX_MANIFEST_BYTES:,} bytes",
    ),
    "deep nesting": (b"[" * 100_000, "file", "nested too deeply"),
    "deep value": (
        b'{"generation":' + b"[" * 300 + b"]" * 300 + b"}",
        "generation",
        "whole number",
    ),
    "key twice": (
        render().replace(
            b'"generation": 3', b'"generation": 3, "generation":4'
        ),
        "file",
        "appears twice",
    ),
    "UTF-16": (render().decode().encode("utf-16"), "file", "one JSON object"),
    "byte order mark": (b"\xef\xbb\xbf" + render(), "file", "BOM"),
    "not an object": (b"3", "manifest", "an object with generation"),
    "empty": (b"", "file", "one JSON object"),
}


class ManifestTest(TestCase):
    def check(self, data):
        """Returns whether the data is a valid manifest.

        Checks also that a refusal is one short line, and that the canonical
        text of an accepted manifest parses to an equal manifest.
        """
        match parse_manifest(data):
            case Err(error):
                line = str(error)
                self.assertEqual(1, len(line.splitlines()), line)
                self.assertTrue(len(line) < 400, line)
                return False
            case Ok(manifest):
                again = parse_manifest(dump_manifest(manifest)).unwrap()
                self.assertEqual(manifest, again)
                self.assertEqual(manifest.digest, again.digest)
                return True

    def test_valid_manifest(self):
        # Guards against checks that refuse values that operators may publish.
        for rule in ("quic", "any", "prefix:00ff"):
            self.assertTrue(self.check(change_service(first_packet=rule)), rule)
        self.assertTrue(self.check(change_service(headroom=0)))
        self.assertTrue(self.check(render(generation=2**62)))

    def test_refusals_name_key_and_remedy(self):
        # Guards against an invalid manifest that comes into force, and
        # against a refusal that does not tell the operator what to change.
        for name, (data, key, remedy) in REFUSED.items():
            self.assertFalse(self.check(data), name)
            line = str(parse_manifest(data).unwrap_err())
            self.assertIn(key, line, name)
            self.assertIn(remedy, line, name)

    def test_equal_content_has_equal_digest(self):
        # Guards against peers that report a conflict although their manifests
        # are equal: equal numbers can be written in several ways.
        texts = [b"0", b"0.0", b"-0.0", b"0e7"]
        data = change_service(headroom=7.5)
        found = [
            parse_manifest(data.replace(b"7.5", text)).unwrap()
            for text in texts
        ]
        self.assertEqual(1, len({manifest.digest for manifest in found}))

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.binary(max_size=300))
    @example(b'"\\ud800"')
    @example(b'{"\\ud800": 1, "\\ud800": 2}')
    def test_arbitrary_bytes_never_raise(self, data):
        # Guards against a damaged manifest that raises an exception and so
        # ends the daemon.
        self.assertFalse(self.check(data))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from([*VALID, *SERVICE, *TARGET]) | st.text(),
                    inner,
                )
            ),
        )
    )
    def test_arbitrary_json_never_raises(self, document):
        # Guards against a check that raises an exception for a value of an
        # unexpected type.
        self.assertFalse(self.check(json.dumps(document).encode()))

    @settings(derandomize=True, deadline=None, max_examples=1000)
    @given(mutations)
    def test_mutations_never_raise(self, document):
        # Guards against a check that raises an exception because another
        # value of the manifest is wrong or missing.
        self.check(json.dumps(document).encode())

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.integers(0, len(render()) * 8 - 1))
    def test_flipped_bits_never_raise(self, place):
        # Guards against a manifest that was damaged in transit from the
        # platform and raises an exception.
        data = bytearray(render())
        data[place // 8] ^= 1 << place % 8
        self.check(bytes(data))

    def test_first_packet_rules(self):
        # Guards against a rule that takes a packet from the middle of a flow
        # for the first one.
        quic = FirstPacket.from_config("quic")
        self.assertTrue(quic.accepts(b"\xc3\x00\x00\x00\x01"))
        self.assertFalse(quic.accepts(b"\xe3\x00\x00\x00\x01"))
        self.assertFalse(quic.accepts(b""))
        prefix = FirstPacket.from_config("prefix:00ff")
        self.assertTrue(prefix.accepts(b"\x00\xff1"))
        self.assertFalse(prefix.accepts(b"\x00"))
        self.assertTrue(FirstPacket.from_config("any").accepts(b""))


class LimitsTest(TestCase):
    def test_list_lengths_are_limited(self):
        self.patch(manifest_module, "MAX_MANIFEST_BYTES", 10_000_000)
        limit = load_schema()["properties"]["services"]["maxItems"]
        self.assertTrue(parse_manifest(render()).is_ok())
        for count in (0, limit + 1):
            data = render(services=[SERVICE] * count)
            self.assertIn("services", str(parse_manifest(data).err_value))

    def test_deep_nesting_is_refused(self):
        # Guards against a RecursionError that ends the process. It was raised
        # from 989 nesting levels on, which the JSON parser still accepts.
        for depth in (100, 970, 985, 989, 993, 2000):
            nested = "[" * depth + "]" * depth
            text = f'{{"generation":1,"services":[{nested}],"targets":[]}}'
            self.assertTrue(parse_manifest(text.encode()).is_err())


def make_packet_services(count):
    return [
        {
            "id": f"r-{index}",
            "address": f"198.18.{index >> 8}.{index & 255}:443",
            "urgency": "normal",
            "headroom": 1.0,
            "protocol": "packet",
            "first_packet": "any",
            "targets": [],
            "pools": [
                {"pool": "a", "weight": 1},
                {"pool": "b", "weight": 2},
            ],
        }
        for index in range(count)
    ]


def render_canonical(services, generation=1):
    document = {"generation": generation, "services": services, "targets": []}
    return json.dumps(document, separators=(",", ":")).encode()


class CanonicalTextTest(TestCase):
    """Texts that the cache of services serves, and texts close to them."""

    def test_equal_manifests_have_equal_digests_in_both_forms(self):
        services = make_packet_services(3)
        services[1] |= {"time_limit": 2.5, "kind": "non_idempotent"}
        text = render_canonical(services)
        spaced = json.dumps(json.loads(text), indent=1).encode()
        one, other = parse_manifest(text), parse_manifest(spaced)
        self.assertEqual(one, other)
        self.assertEqual(one.ok_value.digest, other.ok_value.digest)
        self.assertEqual(text, dump_manifest(one.ok_value))

    def test_unchanged_services_are_not_parsed_again(self):
        # Guards against a configuration that blocks packets: 1,800 services
        # took 92 ms at each of several changes a second.
        services = make_packet_services(1800)
        first = parse_manifest(render_canonical(services)).ok_value
        services[7] |= {"urgency": "bulk"}
        second = parse_manifest(render_canonical(services, 2)).ok_value
        changed = [
            name
            for name, service in second.services.items()
            if service is not first.services[name]
        ]
        self.assertEqual(["r-7"], changed)

    def test_invalid_canonical_texts_are_refused(self):
        one, two = make_packet_services(2)
        cases = {
            "unique id": [one, two | {"id": "r-0"}],
            "does not use": [one, two | {"address": one["address"]}],
            "1 to 100 pools": [one, two | {"pools": []}],
            "0 (savings) to 1": [one, two | {"headroom": 2.0}],
        }
        for allowed, services in cases.items():
            error = parse_manifest(render_canonical(services)).err_value
            self.assertIn(allowed, str(error))
        for broken in (
            render_canonical([one]).replace(b"1.0", b"NaN"),
            render_canonical([one]).replace(b'"r-0",', b'"r-0","id":"r-0",'),
            render_canonical([one], generation=0),
            render_canonical([one], generation=1 << 63),
            render_canonical([]),
        ):
            self.assertIsInstance(parse_manifest(broken), Err)

    @settings(max_examples=200, derandomize=True, database=None)
    @given(st.data())
    def test_damaged_texts_get_the_verdict_of_the_general_parser(self, data):
        text = bytearray(render_canonical(make_packet_services(3)))
        for _ in range(data.draw(st.integers(1, 3))):
            position = data.draw(st.integers(0, len(text) - 1))
            text[position] = data.draw(st.sampled_from(b'{}[],:"01ax\\ '))
        text = bytes(text)
        fast = parse_manifest(text)
        # A leading space keeps the text from the cache of services.
        general = parse_manifest(b" " + text)
        self.assertEqual(fast.is_ok(), general.is_ok())
        if fast.is_ok():
            self.assertEqual(fast.ok_value, general.ok_value)
            self.assertEqual(fast.ok_value.digest, general.ok_value.digest)
