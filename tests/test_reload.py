"""Tests of settings that change while the daemon runs."""

import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Contains

from jujuberun.kernel import Kernel
from jujuberun.reload import Reloader
from jujuberun.settings import load_settings

TEXT = """
role = "balancer"
vm = "entry-1"
domain = "a"
peer = "10.1.0.1:7720"
keys = "unkeyed"
seeds = ["10.1.0.2:8166"]
seed_port = 7720

[platform]
url = "http://10.200.1.7:8169"
lists_balancers = false
"""


class FakeSpread:
    name = "spread"

    def set_seeds(self, seeds):
        self.seeds = seeds


class ReloadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.toml"
        self.path.write_text(TEXT)
        kernel = Kernel()
        self.spread = FakeSpread()
        kernel.register(self.spread)
        settings = load_settings(self.path).unwrap()
        self.reloader = Reloader(self.path, settings, kernel)

    def test_changed_seeds_are_applied(self):
        # Guards against a process that keeps asking seeds that were removed.
        self.path.write_text(TEXT.replace("10.1.0.2", "10.1.0.9"))
        self.reloader.reload()
        self.assertEqual((("10.1.0.9", 7720),), self.spread.seeds)

    def test_wrong_settings_change_nothing(self):
        # Guards against a daemon that ends, or applies wrong seeds, because its
        # settings file is invalid, half written or missing.
        for text in ("", TEXT.replace("balancer", "chef"), "role = ["):
            self.path.write_text(text)
            self.reloader.reload()
        self.path.unlink()
        self.reloader.reload()
        self.assertThat(vars(self.spread), testtools.matchers.Equals({}))
        self.path.write_text(TEXT)
        self.reloader.reload()
        self.assertThat(self.path.read_text(), Contains("seeds"))
