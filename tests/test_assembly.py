"""Tests of what a daemon loads at its start."""

import subprocess
import sys

import testtools

# Modules that take long to load and that these daemons do not use.
UNUSED = ("httpx", "urllib.request", "email", "prometheus_client", "aioquic")
AGENT_UNUSED = ("h11", "zstandard", "jujuberun.relay", "jujuberun.manifest")
SCRIPT = """
import sys
import jujuberun.daemon, jujuberun.assembly, jujuberun.packet_parts
import jujuberun.{role_module}
print(*[name for name in {names!r} if name in sys.modules])
"""


class LoadedModulesTest(testtools.TestCase):
    def find_loaded(self, role_module, names):
        script = SCRIPT.format(role_module=role_module, names=names)
        done = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, check=True
        )
        return done.stdout.split()

    def test_agent_of_packet_targets_loads_only_what_it_uses(self):
        # Guards against a longer outage after all daemons lost power: loading
        # libraries is most of an agent's start.
        found = self.find_loaded("sidecar", UNUSED + AGENT_UNUSED)
        self.assertEqual([], found)

    def test_balancer_of_packet_targets_loads_only_what_it_uses(self):
        self.assertEqual([], self.find_loaded("document_parts", UNUSED))
