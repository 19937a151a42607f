import tempfile
import tomllib
from pathlib import Path

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from jujuberun.ids import Role
from jujuberun.settings import (
    MAX_SETTINGS_BYTES,
    list_entries,
    load_settings,
    parse_settings,
)
from jujuberun.values import read_address

KEY = "00112233445566778899aabbccddeeff"
GOOD = f"""
role = "agent"
vm = "vm-1"
domain = "erie-a"
peer = "10.0.0.1:7100"
keys = ["{KEY}"]

[platform]
url = "http://10.0.0.9:8500"

[agent]
target = "t1"
"""

# Each entry: text in GOOD, its replacement, and the key in the error message.
WRONG = (
    ('role = "agent"', 'role = "target"', "role"),
    ('role = "agent"', "", "role"),
    ('vm = "vm-1"', 'vm = "a\\nb"', "vm"),
    ('vm = "vm-1"', "vm = []", "vm"),
    ('"erie-a"', '"erie a"', "domain"),
    ("10.0.0.1:7100", "10.0.0.1", "peer"),
    ("10.0.0.1:7100", "10.0.0.1:70000", "peer"),
    ("10.0.0.1:7100", "10.0.0.01:7100", "peer"),
    ("10.0.0.1:7100", "10.0.0.1:7_100", "peer"),
    ("10.0.0.1:7100", "10.0.0.1:+7100", "peer"),
    ("10.0.0.1:7100", "10.0.0.1:７１00", "peer"),
    (KEY, KEY[:30], "keys"),
    (KEY, f" {KEY}", "keys"),
    (f'"{KEY}"', f'"{KEY}", "{KEY}", "{KEY}"', "keys"),
    (f'["{KEY}"]', "[1]", "keys"),
    ("http://10.0.0.9:8500", "ftp://10.0.0.9", "platform.url"),
    ('url = "http://10.0.0.9:8500"', "", "platform"),
    ("[agent]", 'manifest = "m.json"\n[agent]', "platform"),
    ('target = "t1"', "", "agent.target"),
    ('target = "t1"', 'target = "t1"\ncertificate = "c"', "agent.private_key"),
    ('target = "t1"', 'target = "t1"\nprivate_key = "k"', "agent.certificate"),
    ('target = "t1"', 'target = "t1"\nidle_timeout = 0', "agent.idle_timeout"),
    ('target = "t1"', 'target = "t1"\nidle_timeout = -1', "agent.idle_timeout"),
    (
        'target = "t1"',
        'target = "t1"\nidle_timeout = nan',
        "agent.idle_timeout",
    ),
    (
        'target = "t1"',
        'target = "t1"\nidle_timeout = inf',
        "agent.idle_timeout",
    ),
    ('target = "t1"', 'target = "t1"\ndrain = 3', "agent.drain"),
    ("[agent]", "[balancer]\ncache_flows = true\n[agent]", "cache_flows"),
    ("[agent]", "[balancer]\ncache_flows = 1e3\n[agent]", "cache_flows"),
    (
        "[agent]",
        f"[balancer]\ncache_flows = 0x{'f' * 5000}\n[agent]",
        "cache_f",
    ),
    ("[agent]", f"[balancer]\ncache_flows = {'9' * 5000}\n[agent]", "file"),
    ("[agent]", "[log]\nlevel = []\n[agent]", "log.level"),
    ("[agent]", '[log]\nformat = "xml"\n[agent]', "log.format"),
    ("[platform]", 'admin = "10.0.0.1:7100"\n[platform]', "admin"),
    ("[platform]", 'seeds = "10.0.0.2:7100"\n[platform]', "seeds"),
    ("[platform]", '"a\\nb" = 1\n[platform]', "'a\\nb'"),
    ("[platform]", f"a = {'[' * 5000}\n[platform]", "file"),
    ("[platform]\n", "platform = 3\n", "platform"),
    (
        "[agent]",
        '[addresses]\n"10.9.0.1:443" = "10.0.0.1:443"\n'
        '"10.9.0.2:443" = "10.0.0.1:443"\n[agent]',
        "addresses.10.9.0.2:443",
    ),
    ("role", "role =", "file"),
)


def load(data):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "jujuberun.toml")
        path.write_bytes(data if isinstance(data, bytes) else data.encode())
        return load_settings(path)


json_like = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(["10.0.0.1:7100", "agent", KEY, "t1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
good_document = tomllib.loads(GOOD)
known_keys = st.sampled_from(
    sorted({e.key.split(".")[0] for e in list_entries()})
)


class SettingsTest(TestCase):
    def assert_refused(self, result, key):
        self.assertTrue(result.is_err(), f"accepted: {result}")
        line = str(result.err_value)
        self.assertEqual(1, len(line.splitlines()), line)
        self.assertIn(key, line)
        self.assertNotIn(KEY, line)
        return line

    def test_good_settings(self):
        found = load(GOOD).unwrap()
        self.assertEqual(Role.AGENT, found.role)
        self.assertEqual(("10.0.0.1", 7100), found.peer)
        self.assertEqual(bytes.fromhex(KEY), found.keys[0])
        self.assertEqual("t1", found.agent.target)
        self.assertEqual(("127.0.0.1", 0), found.admin)

    def test_wrong_settings_name_file_and_key(self):
        # Guards against invalid settings that are accepted, that raise an
        # exception, or whose error message does not name the key to change.
        for old, new, key in WRONG:
            self.assertIn(old, GOOD)
            line = self.assert_refused(load(GOOD.replace(old, new, 1)), key)
            self.assertIn("jujuberun.toml", line)

    def test_keys_are_never_shown(self):
        # Guards against error messages that contain the secret keys because
        # one of them is too short.
        text = GOOD.replace(f'"{KEY}"', f'"{KEY}", "0011"')
        self.assertIn("not shown", self.assert_refused(load(text), "keys"))

    def test_files_that_cannot_be_read(self):
        # Guards against an exception for a wrong path, a file that is too
        # large, or one that is not UTF-8.
        self.assert_refused(load_settings(Path("/nonexistent/a.toml")), "file")
        self.assert_refused(load_settings(Path("/")), "file")
        self.assert_refused(load(b"#" * (MAX_SETTINGS_BYTES + 1)), "file")
        self.assert_refused(load(b"\xff\xfe"), "file")

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    @example(b"[" * 10_000)
    def test_arbitrary_bytes_never_raise(self, data):
        # Guards against a settings file that ends the daemon with an
        # exception at start.
        self.assert_refused(load(data), "role" if not data else "")

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(known_keys | st.text(max_size=8), json_like)
    def test_mutated_settings_never_raise(self, key, value):
        # Guards against exceptions for values of an unexpected type.
        document = {**good_document, key: value}
        found = parse_settings(document, Path("x.toml"))
        if found.is_err():
            self.assertEqual(1, len(str(found.err_value).splitlines()))
            return
        again = parse_settings(document, Path("x.toml"))
        self.assertEqual(found.ok_value, again.unwrap())

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=20))
    @example("1.2.3.4:1\n")
    @example("1.2.3.4:٣")
    def test_address_is_strict(self, text):
        # Guards against accepting several spellings of one address, which
        # would compare unequal.
        try:
            host, port = read_address(text)
        except ValueError:
            return
        self.assertEqual(text, f"{host}:{port}")

    def test_reference_lists_every_key(self):
        # Guards against a settings reference without required keys, or with
        # wrong defaults.
        entries = {entry.key: entry for entry in list_entries()}
        self.assertEqual("", entries["role"].default)
        self.assertEqual("3600.0", entries["agent.drain_timeout"].default)
        self.assertEqual('"127.0.0.1:0"', entries["admin"].default)
