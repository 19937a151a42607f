"""Runs a short soak of real daemons on loopback with a fixed seed."""

import tempfile
from pathlib import Path

import anyio
import testtools
from soak.run import run_soak
from soak.world import Size

SEED = 7
# Time with faults; recovery and calm periods are extra.
SECONDS = 6.0


class SoakTest(testtools.TestCase):
    def test_promises_hold_under_faults(self):
        # Guards against failures that only real processes show, when signals,
        # restarts, lost connections and unresponsive peers overlap.
        with tempfile.TemporaryDirectory() as folder:
            outcome = anyio.run(run_soak, SEED, SECONDS, Size(), Path(folder))
            logs = [path.read_text() for path in Path(folder).glob("*.log")]
        self.assertEqual((), outcome.broken, f"{outcome}\n{logs}")
        self.assertGreater(outcome.results["answered"], 100)
