"""Runs a short soak of real daemons on loopback with a fixed seed."""

import contextlib
import random
import tempfile
from pathlib import Path
from types import SimpleNamespace

import anyio
import testtools
from soak.faults import _replace_target
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

    def test_target_of_a_starting_agent_is_replaced(self):
        # Guards against a soak that never ends: an agent that was starting got
        # no SIGTERM, and the soak waited for its end.
        pools = []

        class StartingDaemon:
            should_run, signals = True, 0
            ended = anyio.Event()

            def signal(self, number):
                self.signals += 1
                if self.signals > 1:
                    self.ended.set()

        async def replace():
            daemon = StartingDaemon()
            vm = SimpleNamespace(
                host=SimpleNamespace(name="vm"),
                daemon=daemon,
                replace=pools.append,
            )
            promises = SimpleNamespace(
                mark_disturbed=lambda names: contextlib.nullcontext()
            )
            world = SimpleNamespace(promises=promises)
            with anyio.fail_after(10):
                await _replace_target(world, vm, random.Random(1))

        anyio.run(replace)
        self.assertEqual(1, len(pools))
