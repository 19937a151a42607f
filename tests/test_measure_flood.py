from testtools import TestCase

from jujuberun.measure import Options
from jujuberun.measure_flood import (
    BUFFER_PACKETS,
    RoundRobin,
    find_flooded,
    measure,
)
from jujuberun.trace import load_trace


class FloodTest(TestCase):
    def check(self, words: str) -> None:
        rows = [r for r in self.report.rows if words in r.name]
        self.assertNotEqual([], rows)
        failed = [f"{r.name}: {r.ours:.2f}" for r in rows if r.met is False]
        self.assertEqual([], failed)

    def setUp(self):
        super().setUp()
        self.report = _find_report()

    def test_other_work_keeps_its_capacity(self):
        # Guards against floods that displace other services.
        self.check("capacity kept")

    def test_urgent_work_gets_through(self):
        # Guards against urgent work that waits behind a flood.
        self.check("longest wait of urgent work")

    def test_least_urgent_work_is_not_starved(self):
        # Guards against floods in which the least urgent work stops.
        self.check("done in time")

    def test_balancers_keep_the_wait_of_other_services(self):
        # Guards against one service's packets that delay all others.
        for row in self.report.rows:
            if "balancers" in row.name and "over quiet" in row.name:
                self.assertTrue(row.met, row)

    def test_shared_targets_keep_the_wait_of_other_services(self):
        # Guards against floods that hold the slots others would have got.
        for row in self.report.rows:
            if "shared" in row.name and "over quiet" in row.name:
                self.assertTrue(row.met, row)

    def test_phases_name_the_flooded_service(self):
        # Guards against a measurement that calls other work the flood.
        self.assertIsNone(find_flooded("montreal", 10.0))
        self.assertEqual("label", find_flooded("montreal", 50.0))
        self.assertEqual("meal-change", find_flooded("montreal", 65.0))

    def test_round_robin_bounds_and_empties_its_buffers(self):
        # Guards against lost packets and buffers that grow in a flood.
        buffers = RoundRobin()
        packets = load_trace("montreal")[:400]
        kept = [packet for packet in packets if buffers.push(packet)]
        self.assertEqual(2 * BUFFER_PACKETS, len(kept))
        popped = [buffers.pop() for _ in kept]
        self.assertCountEqual(kept, popped)
        self.assertIsNone(buffers.pop())


_reports = {}


def _find_report():
    """Measures once for all tests of this file."""
    if not _reports:
        _reports["quick"] = measure(Options(seed=1, quick=True))
    return _reports["quick"]
